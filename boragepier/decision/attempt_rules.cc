#include "boragepier/decision/attempt_rules.h"

#include <algorithm>

namespace boragepier {

std::optional<RetryReason>
RetryReasonOf(const AttemptReport& aReport)
{
  switch (aReport.failure_) {
    case AttemptFailure::None:
      break;
    case AttemptFailure::ConnectFailed:
    case AttemptFailure::NothingWritten:
      return RetryReason::ConnectFailed;
    case AttemptFailure::Refused:
      return RetryReason::Refused;
    case AttemptFailure::ConnectionLost:
      return RetryReason::ConnectionLost;
    case AttemptFailure::Timeout:
      return RetryReason::AttemptTimeout;
    case AttemptFailure::Truncated:
    case AttemptFailure::MalformedResponse:
    case AttemptFailure::MixedResponse:
      return RetryReason::TruncatedResponse;
    case AttemptFailure::LocalLimit:
    case AttemptFailure::ResponseTooLarge:
    case AttemptFailure::Cancelled:
    case AttemptFailure::Withdrawn:
      return std::nullopt;
  }
  if (aReport.status_ >= 500) {
    return RetryReason::ServerError;
  }
  return std::nullopt;
}

bool
ReachedUpstream(const AttemptReport& aReport)
{
  return aReport.outcome_ != Outcome::NotRun || aReport.failure_ == AttemptFailure::Refused;
}

bool
WasTried(const CallInfo& aCall, std::uint32_t aIndex)
{
  const auto& tried = aCall.triedUpstreams_;
  return std::find(tried.begin(), tried.end(), UpstreamHandle{ aIndex }) != tried.end();
}

} // namespace boragepier
