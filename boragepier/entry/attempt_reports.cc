#include "boragepier/entry/attempt_reports.h"

#include <utility>

namespace boragepier {

AttemptReport
MakeAttemptReport(UpstreamHandle aUpstream,
                  const http::SendResult& aResult,
                  const WireDialect& aDialect)
{
  AttemptReport report;
  report.upstream_ = aUpstream;
  report.outcome_ = aResult.outcome_;
  report.failure_ = aResult.failure_;
  report.latency_ = aResult.latency_;
  if (aResult.outcome_ != Outcome::Answered) {
    return report;
  }
  report.status_ = aResult.response_.status_;
  report.answerBytes_ = aResult.response_.body_.size();
  const UpstreamFeedback feedback = aDialect.parseFeedback_(aResult.response_);
  report.load_ = feedback.load_;
  report.draining_ = feedback.draining_;
  report.pause_ = feedback.pause_;
  report.invalidPause_ = feedback.invalidPause_;
  if (feedback.notRun_) {
    report.outcome_ = Outcome::NotRun;
    report.failure_ = AttemptFailure::Refused;
  }
  return report;
}

http::SendResult
ValidateResponse(http::SendResult aResult, const RequestId& aRequestId, const WireDialect& aDialect)
{
  if (aResult.outcome_ != Outcome::Answered) {
    return aResult;
  }
  const http::Response& response = aResult.response_;
  const bool wrongRequestId = aDialect.callerSetsRequestId_ && !aRequestId.Empty() &&
                              response.headers_.Get(aDialect.requestIdField_) != aRequestId.View();
  const bool missingSignature = !aDialect.signatureField_.empty() && response.status_ < 300 &&
                                !response.headers_.Get(aDialect.signatureField_);
  const bool foreignBody =
    aDialect.bodiesAreNotEncoded_ && response.headers_.Get("Content-Encoding").has_value();
  if (wrongRequestId || missingSignature || foreignBody) {
    aResult.outcome_ = Outcome::Unknown;
    aResult.failure_ = AttemptFailure::MalformedResponse;
    aResult.response_ = {};
  }
  return aResult;
}

bool
MayForwardStatus(int aStatus, Repeatability aRepeatability, const WireDialect& aDialect)
{
  return aRepeatability == Repeatability::Repeatable || !aDialect.promisesNotRun_(aStatus);
}

RefusalReason
RefusalReasonFor(AttemptFailure aFailure, bool aDeadlinePassed)
{
  switch (aFailure) {
    case AttemptFailure::ConnectFailed:
    case AttemptFailure::NothingWritten:
      return RefusalReason::NoUpstream;
    case AttemptFailure::LocalLimit:
    case AttemptFailure::Refused:
    case AttemptFailure::Withdrawn:
      return RefusalReason::Overloaded;
    case AttemptFailure::Timeout:
      return aDeadlinePassed ? RefusalReason::DeadlineExpired : RefusalReason::UpstreamTimeout;
    case AttemptFailure::Truncated:
    case AttemptFailure::MalformedResponse:
    case AttemptFailure::MixedResponse:
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
