#include "boragepier/entry/attempt_reports.h"

#include "boragepier/entry/request_checks.h"

namespace boragepier {

AttemptReport
ReportOf(UpstreamHandle aUpstream, const http::SendResult& aResult)
{
  AttemptReport report;
  report.upstream_ = aUpstream;
  report.outcome_ = aResult.outcome_;
  report.failure_ = aResult.failure_;
  report.latency_ = aResult.latency_;
  if (aResult.outcome_ != Outcome::Answered) {
    return report;
  }
  const http::Headers& headers = aResult.response_.headers_;
  report.status_ = aResult.response_.status_;
  report.draining_ = headers.Get(kDrainingHeader) == "true";
  if (const auto inFlight = ReportedLoad(headers)) {
    report.load_ = LoadReport{ *inFlight };
  }
  if (headers.Get(kNotRunHeader) == "true" && report.status_ >= 400) {
    report.outcome_ = Outcome::NotRun;
    report.failure_ = AttemptFailure::Refused;
  }
  return report;
}

RefusalReason
ReasonOf(AttemptFailure aFailure, bool aExpired)
{
  switch (aFailure) {
    case AttemptFailure::ConnectFailed:
    case AttemptFailure::NothingWritten:
      return RefusalReason::NoUpstream;
    case AttemptFailure::Refused:
      return RefusalReason::Overloaded;
    case AttemptFailure::Timeout:
      return aExpired ? RefusalReason::DeadlineExpired : RefusalReason::UpstreamTimeout;
    case AttemptFailure::Truncated:
    case AttemptFailure::MalformedResponse:
      return RefusalReason::UpstreamTruncated;
    case AttemptFailure::ResponseTooLarge:
      return RefusalReason::ResponseTooLarge;
    case AttemptFailure::None:
    case AttemptFailure::ConnectionLost:
    case AttemptFailure::Cancelled:
      break;
  }
  return RefusalReason::UpstreamLost;
}

} // namespace boragepier
