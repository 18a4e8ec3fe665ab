#include "boragepier/entry/request_checks.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

#include "boragepier/state/claim_record.h"

namespace boragepier {

namespace {

constexpr std::size_t kMaxKeyLength = 128;
constexpr std::string_view kReservedPrefix = "boragepier-";

char
ToLower(char aChar)
{
  return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar - 'A' + 'a') : aChar;
}

bool
StartsWithIgnoringCase(std::string_view aText, std::string_view aLowerPrefix)
{
  return aText.size() >= aLowerPrefix.size() &&
         std::equal(aLowerPrefix.begin(),
                    aLowerPrefix.end(),
                    aText.begin(),
                    [](char aLeft, char aRight) { return aLeft == ToLower(aRight); });
}

bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aOne, char aOther) {
      return ToLower(aOne) == ToLower(aOther);
    });
}

template<typename Number>
std::optional<Number>
ParseNumber(std::string_view aText)
{
  Number value{};
  const char* const end = aText.data() + aText.size();
  if (const auto [stop, error] = std::from_chars(aText.data(), end, value);
      error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return value;
}

// "." or "..", with each dot plain or written as "%2e".
bool
IsDotSegment(std::string_view aSegment)
{
  int dots = 0;
  while (!aSegment.empty()) {
    if (aSegment.front() == '.') {
      aSegment.remove_prefix(1);
    } else if (StartsWithIgnoringCase(aSegment, "%2e")) {
      aSegment.remove_prefix(3);
    } else {
      return false;
    }
    ++dots;
  }
  return dots == 1 || dots == 2;
}

void
RefuseDotSegments(std::string_view aPath)
{
  while (!aPath.empty()) {
    const std::size_t slash = std::min(aPath.find('/'), aPath.size());
    if (IsDotSegment(aPath.substr(0, slash))) {
      throw RequestRefused(RefusalReason::MalformedRequest);
    }
    aPath.remove_prefix(std::min(slash + 1, aPath.size()));
  }
}

std::string_view
WithoutAuthority(std::string_view aTarget)
{
  constexpr std::array<std::string_view, 2> kSchemes = { "http://", "https://" };
  for (std::string_view scheme : kSchemes) {
    if (StartsWithIgnoringCase(aTarget, scheme)) {
      aTarget.remove_prefix(scheme.size());
      const std::size_t slash = aTarget.find('/');
      return slash == std::string_view::npos ? std::string_view("/") : aTarget.substr(slash);
    }
  }
  return aTarget;
}

// Nothing if the caller states no deadline.
std::optional<Duration>
StatedDeadline(const http::Request& aRequest, const WireDialect& aDialect)
{
  const auto field = aRequest.headers_.Get(aDialect.deadlineField_);
  if (!field) {
    return std::nullopt;
  }
  // A second deadline that differs leaves open which one the upstream would follow.
  for (const http::Headers::Field& other : aRequest.headers_) {
    if (EqualIgnoringCase(other.name_, aDialect.deadlineField_) && other.value_ != *field) {
      throw RequestRefused(RefusalReason::MalformedRequest);
    }
  }
  constexpr std::uint64_t kMaxMilliseconds = 24ULL * 60 * 60 * 1000;
  const auto milliseconds = ParseNumber<std::uint64_t>(*field);
  if (!milliseconds || *milliseconds > kMaxMilliseconds) {
    throw RequestRefused(RefusalReason::MalformedRequest);
  }
  return std::chrono::milliseconds(*milliseconds);
}

std::optional<std::string>
CheckedKey(const http::Request& aRequest, const WireDialect& aDialect)
{
  const auto field =
    aDialect.keyField_.empty() ? std::nullopt : aRequest.headers_.Get(aDialect.keyField_);
  if (!field) {
    return std::nullopt;
  }
  const bool visible = std::all_of(
    field->begin(), field->end(), [](char aChar) { return aChar > ' ' && aChar < '\x7f'; });
  if (field->empty() || field->size() > kMaxKeyLength || !visible) {
    throw RequestRefused(RefusalReason::KeyInvalid);
  }
  return std::string(*field);
}

} // namespace

std::string_view
PathOf(std::string_view aTarget)
{
  const std::string_view target = WithoutAuthority(aTarget);
  const std::string_view path = target.substr(0, std::min(target.find('?'), target.size()));
  if (!path.starts_with('/')) {
    throw RequestRefused(RefusalReason::MalformedRequest);
  }
  RefuseDotSegments(path);
  return path;
}

CallTerms
CheckTerms(const http::Request& aRequest,
           std::string_view aPath,
           const ServiceConfig& aConfig,
           const WireDialect& aDialect)
{
  if (aRequest.body_.size() > aConfig.maxRequestBody_) {
    throw RequestRefused(RefusalReason::BodyTooLarge);
  }
  CallTerms terms;
  terms.repeatability_ = RepeatabilityOf(aConfig, aRequest.method_, aPath);
  terms.timeLimit_ = std::min(StatedDeadline(aRequest, aDialect).value_or(aConfig.defaultDeadline_),
                              aConfig.maxDeadline_);
  terms.latencyTarget_ = terms.timeLimit_;
  terms.key_ = CheckedKey(aRequest, aDialect);
  if (terms.repeatability_ == Repeatability::AtMostOnce && aConfig.keyRequired_ && !terms.key_) {
    throw RequestRefused(RefusalReason::KeyRequired);
  }
  return terms;
}

CallTerms
CheckTerms(const http::Request& aRequest, const RouteConfig& aRoute, const WireDialect& aDialect)
{
  CallTerms terms;
  terms.repeatability_ = aRoute.repeatability_;
  terms.timeLimit_ =
    std::min(StatedDeadline(aRequest, aDialect).value_or(aRoute.timeLimit_), aRoute.timeLimit_);
  terms.latencyTarget_ = std::min(aRoute.latencyTarget_, terms.timeLimit_);
  return terms;
}

std::string
FingerprintOf(const http::Request& aRequest)
{
  const std::array<std::string_view, 3> parts = { aRequest.method_,
                                                  aRequest.target_,
                                                  aRequest.body_ };
  return RequestFingerprint(parts);
}

void
RemoveReservedFields(http::Headers& aHeaders)
{
  std::vector<std::string> reserved;
  for (const http::Headers::Field& field : aHeaders) {
    if (StartsWithIgnoringCase(field.name_, kReservedPrefix)) {
      reserved.push_back(field.name_);
    }
  }
  for (const std::string& name : reserved) {
    aHeaders.Remove(name);
  }
}

std::optional<std::uint32_t>
ReportedLoad(const http::Headers& aHeaders)
{
  constexpr std::string_view kInFlight = "in-flight=";
  const auto field = aHeaders.Get(kLoadHeader);
  if (!field || !field->starts_with(kInFlight)) {
    return std::nullopt;
  }
  return ParseNumber<std::uint32_t>(field->substr(kInFlight.size()));
}

} // namespace boragepier
