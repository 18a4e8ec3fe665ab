#include "boragepier/entry/wire_dialect.h"

#include <charconv>

#include "boragepier/entry/request_checks.h"

namespace boragepier {

namespace {

UpstreamFeedback
ParseNativeFeedback(const http::Response& aResponse)
{
  const http::Headers& headers = aResponse.headers_;
  UpstreamFeedback feedback;
  feedback.draining_ = headers.Get(kDrainingHeader) == "true";
  feedback.notRun_ = headers.Get(kNotRunHeader) == "true" && aResponse.status_ >= 400;
  if (const auto inFlight = ParseLoadHeader(headers)) {
    feedback.load_ = LoadReport{ *inFlight };
  }
  ParsePause(aResponse, feedback);
  return feedback;
}

bool
AcceptAnyUpstream(const http::Response&, const UpstreamEndpoint&)
{
  return true;
}

// Callers rely on the outcome field, not on the status.
bool
NoStatusPromisesNotRun(int)
{
  return false;
}

} // namespace

void
ParsePause(const http::Response& aResponse, UpstreamFeedback& aFeedback)
{
  constexpr int kStatusUnavailable = 503;
  const auto text = aResponse.headers_.Get("Retry-After");
  if (aResponse.status_ != kStatusUnavailable || !text) {
    return;
  }
  double seconds = -1;
  const char* const end = text->data() + text->size();
  const auto [stop, error] = std::from_chars(text->data(), end, seconds, std::chars_format::fixed);
  const double maxSeconds = ToMilliseconds(kMaxPause) / 1000;
  // The comparisons are false for NaN.
  if (error == std::errc() && stop == end && seconds >= 0 && seconds <= maxSeconds) {
    aFeedback.pause_ = FromMilliseconds(1000 * seconds);
  } else {
    aFeedback.invalidPause_ = true;
  }
}

void
WireDialect::SetResponseFields(http::SendOptions& aOptions) const
{
  aOptions.singleFields_ = singleFields_;
  // Upstreams name the request only where callers set the id.
  if (callerSetsRequestId_) {
    aOptions.requestIdField_ = requestIdField_;
  }
}

const WireDialect&
NativeDialect()
{
  static const WireDialect dialect{
    .deadlineField_ = std::string(kDeadlineHeader),
    .requestIdField_ = std::string(kRequestIdHeader),
    .callerSetsRequestId_ = false,
    .idempotencyKeyField_ = std::string(kIdempotencyKeyHeader),
    .signatureField_ = {},
    .expectedUpstreamField_ = {},
    .singleFields_ = { std::string(kLoadHeader),
                       std::string(kDrainingHeader),
                       std::string(kNotRunHeader) },
    .callerKeyField_ = {},
    .teamField_ = {},
    .promisesNotRun_ = NoStatusPromisesNotRun,
    .parseFeedback_ = ParseNativeFeedback,
    .isFromUpstream_ = AcceptAnyUpstream,
  };
  return dialect;
}

} // namespace boragepier
