#include "boragepier/state/claim_record.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <tuple>

#include <msgpack.hpp>
#include <xxhash.h>

namespace boragepier {

namespace {

constexpr int kFormatVersion = 1;
constexpr std::size_t kMaxFields = 4096;
constexpr std::size_t kMaxText = std::size_t{ 1 } << 20;
constexpr std::size_t kMaxDepth = 8;

using Fields = std::vector<std::pair<std::string, std::string>>;
// Version, claim id, fingerprint, creation time in ms, status (0 without an answer), header fields,
// body, body omitted.
using Row = std::tuple<int, std::string, std::string, std::int64_t, int, Fields, std::string, bool>;

constexpr std::array<std::string_view, 9> kHopByHop = {
  "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
  "transfer-encoding", "upgrade",    "content-length",
};

std::string
LowerCase(std::string_view aText)
{
  std::string lower(aText);
  std::ranges::transform(
    lower, lower.begin(), [](unsigned char aChar) { return std::tolower(aChar); });
  return lower;
}

std::string
Hex(const XXH128_hash_t& aHash)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, aHash);
  std::string text;
  for (const unsigned char byte : canonical.digest) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

// Adds the names in the value of a Connection field, which are hop-by-hop too.
void
AddNamedFields(std::string_view aValue, std::vector<std::string>& aNames)
{
  while (!aValue.empty()) {
    const std::size_t comma = std::min(aValue.find(','), aValue.size());
    std::string name = LowerCase(aValue.substr(0, comma));
    std::erase_if(name, [](char aChar) { return aChar == ' ' || aChar == '\t'; });
    aNames.push_back(std::move(name));
    aValue.remove_prefix(std::min(comma + 1, aValue.size()));
  }
}

} // namespace

std::string
ClaimRowKey(const ServiceName& aService, std::string_view aIdempotencyKey)
{
  return std::string(kClaimPrefix) + aService.Text() + '/' +
         Hex(XXH3_128bits(aIdempotencyKey.data(), aIdempotencyKey.size()));
}

std::string
RequestFingerprint(std::span<const std::string_view> aParts)
{
  std::string lengths;
  for (const std::string_view part : aParts) {
    lengths += std::to_string(part.size()) + ' ';
  }
  XXH3_state_t* state = XXH3_createState();
  XXH3_128bits_reset(state);
  XXH3_128bits_update(state, lengths.data(), lengths.size());
  for (const std::string_view part : aParts) {
    XXH3_128bits_update(state, part.data(), part.size());
  }
  const XXH128_hash_t hash = XXH3_128bits_digest(state);
  XXH3_freeState(state);
  return Hex(hash);
}

ClaimRecord
WithAnswer(ClaimRecord aRecord, RecordedAnswer aAnswer)
{
  std::vector<std::string> removed(kHopByHop.begin(), kHopByHop.end());
  for (const auto& [name, value] : aAnswer.headers_) {
    if (LowerCase(name) == "connection") {
      AddNamedFields(value, removed);
    }
  }
  std::erase_if(aAnswer.headers_, [&](const auto& aField) {
    return std::ranges::find(removed, LowerCase(aField.first)) != removed.end();
  });
  aRecord.bodyOmitted_ = aAnswer.body_.size() > kMaxRecordedBody;
  if (aRecord.bodyOmitted_) {
    aAnswer.body_.clear();
  }
  aRecord.answer_ = std::move(aAnswer);
  return aRecord;
}

std::string
EncodeClaimRecord(const ClaimRecord& aRecord)
{
  const RecordedAnswer answer = aRecord.answer_.value_or(RecordedAnswer{});
  msgpack::sbuffer buffer;
  msgpack::pack(buffer,
                Row(kFormatVersion,
                    aRecord.claimId_,
                    aRecord.fingerprint_,
                    aRecord.created_.time_since_epoch().count(),
                    answer.status_,
                    answer.headers_,
                    answer.body_,
                    aRecord.bodyOmitted_));
  return { buffer.data(), buffer.size() };
}

ClaimRecord
DecodeClaimRecord(std::string_view aValue)
{
  try {
    std::size_t used = 0;
    const msgpack::unpack_limit limit(kMaxFields, 0, kMaxText, kMaxText, 0, kMaxDepth);
    const msgpack::object_handle handle =
      msgpack::unpack(aValue.data(), aValue.size(), used, nullptr, nullptr, limit);
    if (used != aValue.size() || handle.get().type != msgpack::type::ARRAY ||
        handle.get().via.array.size != std::tuple_size_v<Row>) {
      throw ClaimRecordError("invalid claim row: wrong length");
    }
    auto [version, id, fingerprint, created, status, headers, body, omitted] =
      handle.get().as<Row>();
    if (version != kFormatVersion || id.empty() || status < 0) {
      throw ClaimRecordError("invalid claim row: wrong version or field");
    }
    ClaimRecord record{ std::move(id),
                        std::move(fingerprint),
                        WallTime(std::chrono::milliseconds(created)),
                        {},
                        omitted };
    if (status != 0) {
      record.answer_ = RecordedAnswer{ status, std::move(headers), std::move(body) };
    }
    return record;
  } catch (const msgpack::unpack_error& error) {
    throw ClaimRecordError(std::string("invalid claim row: ") + error.what());
  } catch (const msgpack::type_error& error) {
    throw ClaimRecordError(std::string("invalid claim row: ") + error.what());
  }
}

} // namespace boragepier
