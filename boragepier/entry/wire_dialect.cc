#include "boragepier/entry/wire_dialect.h"

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
  return feedback;
}

bool
AcceptAnyUpstream(const http::Response&, const UpstreamEndpoint&)
{
  return true;
}

} // namespace

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
    .parseFeedback_ = ParseNativeFeedback,
    .isFromUpstream_ = AcceptAnyUpstream,
  };
  return dialect;
}

} // namespace boragepier
