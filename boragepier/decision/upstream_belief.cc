#include "boragepier/decision/upstream_belief.h"

#include <algorithm>
#include <cmath>

namespace boragepier {

namespace {

// Failures lose half of their weight in this time, so that a recovered upstream is used again.
constexpr double kFailureHalfLifeMs = 3000;
// Weight of the prior belief that an upstream does not fail, in outcomes.
constexpr double kPriorOutcomes = 3;
constexpr double kRoundTripWeight = 0.2;
// Requests that are reported for an upstream beyond its slots after it rejected one.
constexpr unsigned kFullBeyondSlots = 4;

} // namespace

void
UpstreamBelief::Reset()
{
  report_.reset();
  sinceReport_ = 0;
  failures_ = 0;
  outcomes_ = 0;
  failedProbes_ = 0;
}

void
UpstreamBelief::OnDispatch(MonotonicTime aNow)
{
  sent_.push_back(aNow);
  ++sinceReport_;
}

void
UpstreamBelief::OnEnded(Duration aLatency, MonotonicTime aNow)
{
  const auto nearest = std::min_element(sent_.begin(), sent_.end(), [&](auto aLeft, auto aRight) {
    return std::chrono::abs(aNow - aLatency - aLeft) < std::chrono::abs(aNow - aLatency - aRight);
  });
  if (nearest != sent_.end()) {
    sent_.erase(nearest);
    --sinceReport_;
  }
}

void
UpstreamBelief::OnReport(const LoadReport& aReport, MonotonicTime aTakenAt)
{
  if (report_ && aTakenAt < takenAt_) {
    return;
  }
  report_ = aReport;
  takenAt_ = aTakenAt;
  // A request reaches the upstream half a round trip after it was sent.
  const MonotonicTime lastCounted = aTakenAt - FromMilliseconds(roundTripMs_ / 2);
  sinceReport_ = static_cast<int>(
    std::count_if(sent_.begin(), sent_.end(), [&](auto aSent) { return aSent > lastCounted; }));
}

void
UpstreamBelief::OnFull(unsigned aSlots, MonotonicTime aNow)
{
  LoadReport full = report_.value_or(LoadReport{});
  full.inFlight_ = aSlots + kFullBeyondSlots;
  report_ = full;
  takenAt_ = aNow;
  sinceReport_ = 0;
}

double
UpstreamBelief::FadeFactor(MonotonicTime aNow) const
{
  return std::exp2(-ToMilliseconds(aNow - fadedAt_) / kFailureHalfLifeMs);
}

void
UpstreamBelief::Fade(MonotonicTime aNow)
{
  if (aNow > fadedAt_) {
    const double factor = FadeFactor(aNow);
    failures_ *= factor;
    outcomes_ *= factor;
    fadedAt_ = aNow;
  }
}

void
UpstreamBelief::OnOutcome(bool aFailed, double aWeight, MonotonicTime aNow)
{
  Fade(aNow);
  outcomes_ += aWeight;
  failures_ += aFailed ? aWeight : 0;
}

void
UpstreamBelief::OnProbeEnded(bool aAnswered, Duration aRoundTrip)
{
  probing_ = false;
  if (!aAnswered) {
    ++failedProbes_;
    report_.reset();
    return;
  }
  failedProbes_ = 0;
  roundTripMs_ += kRoundTripWeight * (ToMilliseconds(aRoundTrip) - roundTripMs_);
}

std::optional<Duration>
UpstreamBelief::Age(MonotonicTime aNow) const
{
  if (!report_) {
    return std::nullopt;
  }
  return std::max(Duration(0), aNow - takenAt_);
}

unsigned
UpstreamBelief::InFlight() const
{
  const int reported = report_ ? static_cast<int>(report_->inFlight_) : 0;
  return std::max(Own(), static_cast<unsigned>(std::max(0, reported + sinceReport_)));
}

double
UpstreamBelief::FailureShare(MonotonicTime aNow) const
{
  const double factor = FadeFactor(aNow);
  return failures_ * factor / (outcomes_ * factor + kPriorOutcomes);
}

} // namespace boragepier
