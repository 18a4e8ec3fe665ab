#include "boragepier/decision/upstream_estimate.h"

#include <algorithm>
#include <cmath>

namespace boragepier {

namespace {

// Outcomes lose half of their weight in this time, so that a recovered upstream is used again.
constexpr double kFailureHalfLifeMs = 3000;
// The prior assumption that requests succeed counts as this many outcomes.
constexpr double kPriorOutcomes = 3;
constexpr double kRoundTripEwmaWeight = 0.2;
// After a rejection an upstream is assumed to have this many requests in flight beyond its slots.
constexpr unsigned kRejectedExcessInFlight = 4;

} // namespace

void
UpstreamEstimate::Reset()
{
  report_.reset();
  ownSinceReport_ = 0;
  decayedFailures_ = 0;
  decayedOutcomes_ = 0;
  failedProbes_ = 0;
}

void
UpstreamEstimate::OnDispatch(MonotonicTime aNow)
{
  sendTimes_.push_back(aNow);
  ++ownSinceReport_;
}

void
UpstreamEstimate::OnAttemptEnded(Duration aLatency, MonotonicTime aNow)
{
  const auto nearest =
    std::min_element(sendTimes_.begin(), sendTimes_.end(), [&](auto aLeft, auto aRight) {
      return std::chrono::abs(aNow - aLatency - aLeft) < std::chrono::abs(aNow - aLatency - aRight);
    });
  if (nearest != sendTimes_.end()) {
    sendTimes_.erase(nearest);
    --ownSinceReport_;
  }
}

void
UpstreamEstimate::OnReport(const LoadReport& aReport, MonotonicTime aWrittenAt)
{
  if (report_ && aWrittenAt < reportTime_) {
    return;
  }
  report_ = aReport;
  reportTime_ = aWrittenAt;
  // A request reaches the upstream half a round trip after its dispatch, so the report does not
  // count requests that were sent later than this.
  const MonotonicTime lastCountedSend = aWrittenAt - FromMilliseconds(roundTripMs_ / 2);
  ownSinceReport_ = static_cast<int>(std::count_if(
    sendTimes_.begin(), sendTimes_.end(), [&](auto aSent) { return aSent > lastCountedSend; }));
}

void
UpstreamEstimate::OnRejected(unsigned aSlots, MonotonicTime aNow)
{
  LoadReport fullReport = report_.value_or(LoadReport{});
  fullReport.inFlight_ = aSlots + kRejectedExcessInFlight;
  report_ = fullReport;
  reportTime_ = aNow;
  ownSinceReport_ = 0;
}

double
UpstreamEstimate::DecayFactor(MonotonicTime aNow) const
{
  return std::exp2(-ToMilliseconds(aNow - decayedAt_) / kFailureHalfLifeMs);
}

void
UpstreamEstimate::Decay(MonotonicTime aNow)
{
  if (aNow > decayedAt_) {
    const double factor = DecayFactor(aNow);
    decayedFailures_ *= factor;
    decayedOutcomes_ *= factor;
    decayedAt_ = aNow;
  }
}

void
UpstreamEstimate::OnOutcome(bool aFailed, double aWeight, MonotonicTime aNow)
{
  Decay(aNow);
  decayedOutcomes_ += aWeight;
  decayedFailures_ += aFailed ? aWeight : 0;
}

void
UpstreamEstimate::OnProbeEnded(bool aAnswered, Duration aRoundTrip)
{
  probeInFlight_ = false;
  if (!aAnswered) {
    ++failedProbes_;
    report_.reset();
    return;
  }
  failedProbes_ = 0;
  roundTripMs_ += kRoundTripEwmaWeight * (ToMilliseconds(aRoundTrip) - roundTripMs_);
}

std::optional<Duration>
UpstreamEstimate::ReportAge(MonotonicTime aNow) const
{
  if (!report_) {
    return std::nullopt;
  }
  return std::max(Duration(0), aNow - reportTime_);
}

unsigned
UpstreamEstimate::InFlight() const
{
  const int reported = report_ ? static_cast<int>(report_->inFlight_) : 0;
  return std::max(OwnOutstanding(), static_cast<unsigned>(std::max(0, reported + ownSinceReport_)));
}

double
UpstreamEstimate::FailureProbability(MonotonicTime aNow) const
{
  const double factor = DecayFactor(aNow);
  return decayedFailures_ * factor / (decayedOutcomes_ * factor + kPriorOutcomes);
}

} // namespace boragepier
