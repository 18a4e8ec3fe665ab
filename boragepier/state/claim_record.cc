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
constexpr std::size_t kMaxArrayElements = 4096;
constexpr std::size_t kMaxStringBytes = std::size_t{ 1 } << 20;
constexpr std::size_t kMaxNestingDepth = 8;
constexpr std::size_t kMaxFieldBytes = 65533; // of a name or a value, as Beast writes them

using HeaderFields = std::vector<std::pair<std::string, std::string>>;
// Format version, claim id, fingerprint, creation time in ms since the epoch, status (0 if there is
// no answer), header fields, body, whether the body was omitted.
using ClaimRow =
  std::tuple<int, std::string, std::string, std::int64_t, int, HeaderFields, std::string, bool>;

constexpr std::array<std::string_view, 9> kUnrecordedFields = {
  "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
  "transfer-encoding", "upgrade",    "content-length",
};

std::string
LowerCase(std::string_view aText)
{
  std::string lowerCase(aText);
  std::ranges::transform(
    lowerCase, lowerCase.begin(), [](unsigned char aChar) { return std::tolower(aChar); });
  return lowerCase;
}

std::string
ToHex(const XXH128_hash_t& aHash)
{
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, aHash);
  std::string text;
  for (const unsigned char byte : canonical.digest) {
    text += kHexDigits[byte >> 4];
    text += kHexDigits[byte & 15];
  }
  return text;
}

// Whether a recorded answer can be written as a response; status 0 stands for no answer.
bool
IsResponse(int aStatus, const HeaderFields& aHeaders)
{
  return (aStatus == 0 || (aStatus >= 200 && aStatus <= 999)) &&
         std::ranges::all_of(aHeaders, [](const auto& aField) {
           return aField.first.size() <= kMaxFieldBytes && aField.second.size() <= kMaxFieldBytes;
         });
}

// Adds the field names listed in the value of a Connection field. Those fields are hop-by-hop.
void
AddConnectionOptions(std::string_view aValue, std::vector<std::string>& aNames)
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
  return std::string(kClaimKeyPrefix) + aService.Text() + '/' +
         ToHex(XXH3_128bits(aIdempotencyKey.data(), aIdempotencyKey.size()));
}

std::string
RequestFingerprint(std::span<const std::string_view> aParts)
{
  std::string partLengths;
  for (const std::string_view part : aParts) {
    partLengths += std::to_string(part.size()) + ' ';
  }
  XXH3_state_t* state = XXH3_createState();
  XXH3_128bits_reset(state);
  XXH3_128bits_update(state, partLengths.data(), partLengths.size());
  for (const std::string_view part : aParts) {
    XXH3_128bits_update(state, part.data(), part.size());
  }
  const XXH128_hash_t hash = XXH3_128bits_digest(state);
  XXH3_freeState(state);
  return ToHex(hash);
}

ClaimRecord
WithAnswer(ClaimRecord aRecord, RecordedAnswer aAnswer)
{
  std::vector<std::string> removedNames(kUnrecordedFields.begin(), kUnrecordedFields.end());
  for (const auto& [name, value] : aAnswer.headers_) {
    if (LowerCase(name) == "connection") {
      AddConnectionOptions(value, removedNames);
    }
  }
  std::erase_if(aAnswer.headers_, [&](const auto& aField) {
    return std::ranges::find(removedNames, LowerCase(aField.first)) != removedNames.end();
  });
  aRecord.bodyOmitted_ = aAnswer.body_.size() > kMaxRecordedBodyBytes;
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
                ClaimRow(kFormatVersion,
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
    std::size_t bytesRead = 0;
    const msgpack::unpack_limit limit(
      kMaxArrayElements, 0, kMaxStringBytes, kMaxStringBytes, 0, kMaxNestingDepth);
    const msgpack::object_handle handle =
      msgpack::unpack(aValue.data(), aValue.size(), bytesRead, nullptr, nullptr, limit);
    if (bytesRead != aValue.size() || handle.get().type != msgpack::type::ARRAY ||
        handle.get().via.array.size != std::tuple_size_v<ClaimRow>) {
      throw ClaimRecordError("invalid claim row: not an array of the expected length");
    }
    auto [version, id, fingerprint, created, status, headers, body, omitted] =
      handle.get().as<ClaimRow>();
    if (version != kFormatVersion || id.empty() || !IsResponse(status, headers)) {
      throw ClaimRecordError("invalid claim row: unsupported format version or invalid field");
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
