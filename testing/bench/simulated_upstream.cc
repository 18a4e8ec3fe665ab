#include "testing/bench/simulated_upstream.h"

#include <algorithm>

namespace boragepier::bench {

namespace {

// Time over which the slowdown after a restart fades.
constexpr double kColdStartRampMs = 3000;
// For this long after a zone is lost, requests on open connections get no answer and no error;
// later, connection attempts fail.
constexpr Duration kZoneLossDropPeriod = std::chrono::milliseconds(300);

} // namespace

void
SimulatedUpstream::BeginFault(const Fault& aFault, MonotonicTime aNow)
{
  ++activeFaults_.at(static_cast<std::size_t>(aFault.kind_));
  if (aFault.kind_ == FaultKind::Straggler) {
    stragglerFactor_ = aFault.slowdownFactor_;
  } else if (aFault.kind_ == FaultKind::ColdStart) {
    coldStartFactor_ = aFault.slowdownFactor_;
    coldStartedAt_ = aNow;
  } else if (aFault.kind_ == FaultKind::ZoneLoss) {
    zoneLostAt_ = aNow;
  }
}

void
SimulatedUpstream::EndFault(const Fault& aFault)
{
  --activeFaults_.at(static_cast<std::size_t>(aFault.kind_));
}

SimulatedUpstream::Admission
SimulatedUpstream::Admit(const Request& aRequest, MonotonicTime aNow)
{
  if (HasFault(FaultKind::ZoneLoss)) {
    return aNow < zoneLostAt_ + kZoneLossDropPeriod ? Admission::Dropped : Admission::Unreachable;
  }
  if (HasFault(FaultKind::FailFast)) {
    return Admission::Failed;
  }
  if (HasFault(FaultKind::Shedding) && running_ >= slots_) {
    return Admission::Shed;
  }
  queue_.push_back(aRequest);
  return Admission::Accepted;
}

std::optional<std::pair<SimulatedUpstream::Request, Duration>>
SimulatedUpstream::StartNext(MonotonicTime aNow)
{
  if (queue_.empty() || running_ >= slots_) {
    return std::nullopt;
  }
  const Request request = queue_.front();
  queue_.pop_front();
  ++running_;
  double factor = HasFault(FaultKind::Straggler) ? stragglerFactor_ : 1;
  if (HasFault(FaultKind::ColdStart)) {
    const double rampShare =
      std::min(1.0, ToMilliseconds(aNow - coldStartedAt_) / kColdStartRampMs);
    factor *= coldStartFactor_ + (1 - coldStartFactor_) * rampShare;
  }
  return std::pair(request, FromMilliseconds(request.serviceTimeMs_ * factor / speed_));
}

bool
SimulatedUpstream::Cancel(std::uint64_t aAttempt)
{
  return std::erase_if(
           queue_, [&](const Request& aRequest) { return aRequest.attemptId_ == aAttempt; }) > 0;
}

std::optional<unsigned>
SimulatedUpstream::ReportInFlight(bool aIncludeAnswered, MonotonicTime aNow)
{
  if (HasFault(FaultKind::ReportsStop)) {
    return std::nullopt;
  }
  const unsigned answered = aIncludeAnswered ? 1 : 0;
  if (HasFault(FaultKind::MisleadingReports) || HasFault(FaultKind::FailFast)) {
    return answered;
  }
  if (reportRefreshInterval_ <= Duration(0)) {
    return running_ + static_cast<unsigned>(queue_.size()) + answered;
  }
  if (aNow >= lastReportRefresh_ + reportRefreshInterval_) {
    lastReportRefresh_ = aNow;
    cachedInFlight_ = running_ + static_cast<unsigned>(queue_.size());
  }
  return cachedInFlight_ + answered;
}

} // namespace boragepier::bench
