#include "boragepier/entry/wire_dialect.h"

#include "boragepier/entry/request_checks.h"

namespace boragepier {

namespace {

UpstreamSigns
ReadOwnSigns(const http::Response& aResponse)
{
  const http::Headers& headers = aResponse.headers_;
  UpstreamSigns signs;
  signs.draining_ = headers.Get(kDrainingHeader) == "true";
  signs.notRun_ = headers.Get(kNotRunHeader) == "true" && aResponse.status_ >= 400;
  if (const auto inFlight = ParseLoadHeader(headers)) {
    signs.load_ = LoadReport{ *inFlight };
  }
  return signs;
}

bool
AcceptAnyUpstream(const http::Response&, const UpstreamEndpoint&)
{
  return true;
}

} // namespace

const WireDialect&
OwnDialect()
{
  static const WireDialect dialect{
    .deadlineField_ = std::string(kDeadlineHeader),
    .requestIdField_ = std::string(kRequestIdHeader),
    .callerNamesRequests_ = false,
    .keyField_ = std::string(kKeyHeader),
    .signatureField_ = {},
    .expectedUpstreamField_ = {},
    .readSigns_ = ReadOwnSigns,
    .isFrom_ = AcceptAnyUpstream,
  };
  return dialect;
}

} // namespace boragepier
