#include "boragepier/entry/request_checks.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

#include "boragepier/base/text.h"
#include "boragepier/state/claim_record.h"

namespace boragepier {

namespace {

constexpr std::size_t kMaxKeyBytes = 128;
constexpr std::size_t kMaxRequestIdBytes = 128;
constexpr std::string_view kReservedFieldPrefix = "boragepier-";

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
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aLeftChar, char aRightChar) {
      return ToLower(aLeftChar) == ToLower(aRightChar);
    });
}

template<typename Number>
std::optional<Number>
ParseNumber(std::string_view aText)
{
  Number value{};
  const char* const end = aText.data() + aText.size();
  if (const auto [parsedEnd, error] = std::from_chars(aText.data(), end, value);
      error != std::errc() || parsedEnd != end) {
    return std::nullopt;
  }
  return value;
}

// Whether a segment is "." or "..", with each dot plain or percent-encoded.
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
RejectDotSegments(std::string_view aPath)
{
  while (!aPath.empty()) {
    const std::size_t slash = std::min(aPath.find('/'), aPath.size());
    if (IsDotSegment(aPath.substr(0, slash))) {
      throw RequestRefusedError(RefusalReason::MalformedRequest);
    }
    aPath.remove_prefix(std::min(slash + 1, aPath.size()));
  }
}

std::string_view
StripSchemeAndAuthority(std::string_view aTarget)
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

bool
IsToken(std::string_view aText, std::size_t aMaxBytes)
{
  return !aText.empty() && aText.size() <= aMaxBytes && IsVisibleAscii(aText);
}

// Returns the value of a field that has one meaning: with two different values it would be
// undefined which one the upstream uses.
std::optional<std::string_view>
SingleValue(const http::Request& aRequest, std::string_view aName)
{
  const auto value = aRequest.headers_.Get(aName);
  for (const http::Headers::Field& field : aRequest.headers_) {
    if (EqualIgnoringCase(field.name_, aName) && field.value_ != *value) {
      throw RequestRefusedError(RefusalReason::MalformedRequest);
    }
  }
  return value;
}

// Returns the deadline that the caller requested, if any.
std::optional<Duration>
ParseDeadline(const http::Request& aRequest, const WireDialect& aDialect)
{
  const auto field = SingleValue(aRequest, aDialect.deadlineField_);
  if (!field) {
    return std::nullopt;
  }
  constexpr std::uint64_t kMaxDeadlineMs = 24ULL * 60 * 60 * 1000;
  const auto milliseconds = ParseNumber<std::uint64_t>(*field);
  if (!milliseconds || *milliseconds > kMaxDeadlineMs) {
    throw RequestRefusedError(RefusalReason::MalformedRequest);
  }
  return std::chrono::milliseconds(*milliseconds);
}

std::optional<std::string>
ParseIdempotencyKey(const http::Request& aRequest, const WireDialect& aDialect)
{
  const auto field = aDialect.idempotencyKeyField_.empty()
                       ? std::nullopt
                       : aRequest.headers_.Get(aDialect.idempotencyKeyField_);
  if (!field) {
    return std::nullopt;
  }
  if (!IsToken(*field, kMaxKeyBytes)) {
    throw RequestRefusedError(RefusalReason::KeyInvalid);
  }
  return std::string(*field);
}

} // namespace

std::optional<Duration>
ParseRequestedTimeLimit(const http::Request& aRequest, const WireDialect& aDialect)
{
  try {
    return ParseDeadline(aRequest, aDialect);
  } catch (const RequestRefusedError&) {
    return std::nullopt;
  }
}

std::string_view
ParseRequestPath(std::string_view aTarget)
{
  const std::string_view target = StripSchemeAndAuthority(aTarget);
  const std::string_view path = target.substr(0, std::min(target.find('?'), target.size()));
  if (!path.starts_with('/')) {
    throw RequestRefusedError(RefusalReason::MalformedRequest);
  }
  RejectDotSegments(path);
  return path;
}

std::optional<RequestId>
ParseCallerRequestId(const http::Request& aRequest, const WireDialect& aDialect)
{
  if (!aDialect.callerSetsRequestId_) {
    return std::nullopt;
  }
  const auto field = SingleValue(aRequest, aDialect.requestIdField_);
  if (!field) {
    return std::nullopt;
  }
  if (!IsToken(*field, kMaxRequestIdBytes)) {
    throw RequestRefusedError(RefusalReason::MalformedRequest);
  }
  return RequestId(std::string(*field));
}

std::optional<KeyDigest>
ParseCallerKey(const http::Request& aRequest, const WireDialect& aDialect)
{
  std::optional<KeyDigest> key;
  for (const http::Headers::Field& field : aRequest.headers_) {
    if (EqualIgnoringCase(field.name_, aDialect.callerKeyField_)) {
      if (key) {
        return std::nullopt;
      }
      key = DigestOfKey(field.value_);
    }
  }
  return key;
}

CallOptions
ResolveCallOptions(const http::Request& aRequest,
                   std::string_view aPath,
                   const ServiceConfig& aConfig,
                   const WireDialect& aDialect)
{
  if (aRequest.body_.size() > aConfig.maxRequestBody_) {
    throw RequestRefusedError(RefusalReason::BodyTooLarge);
  }
  CallOptions options;
  options.repeatability_ = RepeatabilityOf(aConfig, aRequest.method_, aPath);
  options.timeLimit_ = std::min(
    ParseDeadline(aRequest, aDialect).value_or(aConfig.defaultDeadline_), aConfig.maxDeadline_);
  options.latencyTarget_ = options.timeLimit_;
  options.idempotencyKey_ = ParseIdempotencyKey(aRequest, aDialect);
  if (options.repeatability_ == Repeatability::AtMostOnce && aConfig.keyRequired_ &&
      !options.idempotencyKey_) {
    throw RequestRefusedError(RefusalReason::KeyRequired);
  }
  return options;
}

CallOptions
ResolveCallOptions(const http::Request& aRequest,
                   const RouteConfig& aRoute,
                   const WireDialect& aDialect)
{
  CallOptions options;
  options.repeatability_ = aRoute.repeatability_;
  options.timeLimit_ =
    std::min(ParseDeadline(aRequest, aDialect).value_or(aRoute.timeLimit_), aRoute.timeLimit_);
  options.latencyTarget_ = std::min(aRoute.latencyTarget_, options.timeLimit_);
  return options;
}

std::string
FingerprintRequest(const http::Request& aRequest)
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
    if (StartsWithIgnoringCase(field.name_, kReservedFieldPrefix)) {
      reserved.push_back(field.name_);
    }
  }
  for (const std::string& name : reserved) {
    aHeaders.Remove(name);
  }
}

std::optional<std::uint32_t>
ParseLoadHeader(const http::Headers& aHeaders)
{
  constexpr std::string_view kInFlightPrefix = "in-flight=";
  const auto field = aHeaders.Get(kLoadHeader);
  if (!field || !field->starts_with(kInFlightPrefix)) {
    return std::nullopt;
  }
  return ParseNumber<std::uint32_t>(field->substr(kInFlightPrefix.size()));
}

} // namespace boragepier
