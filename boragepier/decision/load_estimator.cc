#include "boragepier/decision/load_estimator.h"

#include <algorithm>
#include <cmath>

namespace boragepier {

namespace {

// Mean service time before the first answer.
constexpr double kInitialServiceTimeMs = 10;
// Lower limit of service times, which keeps ages in service times finite.
constexpr double kMinServiceTimeMs = 0.01;
// Upper limit of the estimated round trip, which is the shortest latency seen. Without the limit a
// constant service time would be taken for a long round trip.
constexpr double kMaxRoundTripMs = 2;
// Each further queued request adds this factor times the cost of the one before it. Factor 1, which
// minimises the mean wait, raises p99 by 1.4 ms at 85 % load.
constexpr double kWaitCostGrowth = 1.6;
// Window lengths of the moving averages, in samples: of one upstream, of its recent slowness, which
// detects stragglers, and over all upstreams.
constexpr double kMaxUpstreamSamples = 60;
constexpr double kMaxRecentSamples = 12;
constexpr double kMaxOverallSamples = 500;
// Weight of the mean over all upstreams in the slowness of one, in samples.
constexpr double kPriorSamples = 4;

} // namespace

LoadEstimator::LoadEstimator(unsigned aSlots)
  : slots_(aSlots)
  , meanServiceTimeMs_(kInitialServiceTimeMs)
  , roundTripMs_(kMaxRoundTripMs)
{
  SetSlots(aSlots);
}

void
LoadEstimator::SetSlots(unsigned aSlots)
{
  slots_ = std::max(1U, aSlots);
  for (std::size_t own = 0; own < waitTable_.size(); ++own) {
    for (std::size_t others = 0; others < waitTable_[own].size(); ++others) {
      const std::size_t total = own + others + 1;
      const auto ahead = total > slots_ ? static_cast<double>(total - slots_) : 0;
      waitTable_[own][others] = ahead / slots_;
      waitCostTable_[own][others] =
        (std::pow(kWaitCostGrowth, ahead) - 1) / (kWaitCostGrowth - 1) / slots_;
    }
  }
}

void
LoadEstimator::Reset(std::size_t aIndex)
{
  Upstream& upstream = upstreams_[aIndex];
  upstream.hasReport_ = false;
  upstream.samples_ = 0;
  upstream.slowness_ = 1;
  upstream.recentSlowness_ = 1;
}

void
LoadEstimator::OnDispatch(std::size_t aIndex, MonotonicTime aNow)
{
  upstreams_[aIndex].sendTimes_.push_back(aNow);
  ++totalOwnOutstanding_;
}

void
LoadEstimator::OnAttemptEnded(std::size_t aIndex, Duration aLatency, MonotonicTime aNow)
{
  auto& sent = upstreams_[aIndex].sendTimes_;
  if (sent.empty()) {
    return;
  }
  // The request is not identified: the one whose time of dispatch fits best has ended.
  const MonotonicTime sentAt = aNow - aLatency;
  const auto nearest = std::min_element(sent.begin(), sent.end(), [&](auto aLeft, auto aRight) {
    return std::chrono::abs(aLeft - sentAt) < std::chrono::abs(aRight - sentAt);
  });
  sent.erase(nearest);
  --totalOwnOutstanding_;
}

void
LoadEstimator::OnAnswer(std::size_t aIndex, Duration aLatency, unsigned aInFlight)
{
  Upstream& upstream = upstreams_[aIndex];
  const double latencyMs = ToMilliseconds(aLatency);
  roundTripMs_ = std::min(roundTripMs_, latencyMs);
  // A request that left no queue behind hardly waited: its latency without the round trip is the
  // service time. Otherwise the latency is divided by the number of service times that it probably
  // spans, those of the requests ahead included.
  const unsigned serviceTimes = aInFlight <= slots_ ? 1 : 1 + (aInFlight - 1) / slots_;
  const double serviceTimeMs = std::max(0.0, latencyMs - roundTripMs_) / serviceTimes;
  const double boundedMs = std::max(kMinServiceTimeMs, serviceTimeMs);
  const double logMs = std::log(boundedMs);
  overallSamples_ = std::min(kMaxOverallSamples, overallSamples_ + 1);
  meanServiceTimeMs_ += (boundedMs - meanServiceTimeMs_) / overallSamples_;
  meanLogServiceTimeMs_ += (logMs - meanLogServiceTimeMs_) / overallSamples_;
  upstream.samples_ = std::min(kMaxUpstreamSamples, upstream.samples_ + 1);
  upstream.logServiceTimeMs_ += (logMs - upstream.logServiceTimeMs_) / upstream.samples_;
  const double recent = std::min(kMaxRecentSamples, upstream.samples_);
  upstream.recentLogServiceTimeMs_ += (logMs - upstream.recentLogServiceTimeMs_) / recent;
  const auto relativeSlowness = [&](double aLogMs, double aSamples) {
    return std::exp(aSamples / (aSamples + kPriorSamples) * (aLogMs - meanLogServiceTimeMs_));
  };
  upstream.slowness_ = relativeSlowness(upstream.logServiceTimeMs_, upstream.samples_);
  upstream.recentSlowness_ = relativeSlowness(upstream.recentLogServiceTimeMs_, recent);
}

void
LoadEstimator::OnReport(std::size_t aIndex, unsigned aInFlight, MonotonicTime aNow)
{
  Upstream& upstream = upstreams_[aIndex];
  // The report does not include own requests that had not reached the upstream when it was written.
  const MonotonicTime writtenAt = aNow - FromMilliseconds(roundTripMs_);
  const auto ownArrived = static_cast<unsigned>(
    std::count_if(upstream.sendTimes_.begin(), upstream.sendTimes_.end(), [&](MonotonicTime aSent) {
      return aSent <= writtenAt;
    }));
  const unsigned others = aInFlight > ownArrived ? aInFlight - ownArrived : 0;
  if (upstream.hasReport_) {
    const double ageMs = ToMilliseconds(aNow - upstream.reportTime_);
    reportAgingModel_.AddPair(ageMs / meanServiceTimeMs_, upstream.reportedOthers_, others);
  }
  reportAgingModel_.AddReport(others);
  upstream.reportedOthers_ = others;
  upstream.reportTime_ = aNow;
  upstream.hasReport_ = true;
}

Duration
LoadEstimator::OldestOwnAge(std::size_t aIndex, MonotonicTime aNow) const
{
  const auto& sent = upstreams_[aIndex].sendTimes_;
  return sent.empty() ? Duration(0) : aNow - *std::min_element(sent.begin(), sent.end());
}

double
LoadEstimator::ExpectedValue(const ReportAgingModel::Values& aValues,
                             std::size_t aIndex,
                             MonotonicTime aNow) const
{
  const Upstream& upstream = upstreams_[aIndex];
  if (!upstream.hasReport_) {
    return reportAgingModel_.ExpectedValueWithoutReport(aValues);
  }
  const double ageMs = ToMilliseconds(aNow - upstream.reportTime_);
  return reportAgingModel_.ExpectedValue(
    ageMs / meanServiceTimeMs_, upstream.reportedOthers_, aValues);
}

double
LoadEstimator::OthersEstimate(std::size_t aIndex, MonotonicTime aNow) const
{
  ReportAgingModel::Values counts{};
  for (std::size_t i = 0; i < counts.size(); ++i) {
    counts[i] = static_cast<double>(i);
  }
  return ExpectedValue(counts, aIndex, aNow);
}

double
LoadEstimator::ExpectedWaitServiceTimes(std::size_t aIndex, MonotonicTime aNow) const
{
  const std::size_t own = std::min<std::size_t>(OwnOutstanding(aIndex), waitTable_.size() - 1);
  return ExpectedValue(waitTable_[own], aIndex, aNow);
}

double
LoadEstimator::WaitCost(std::size_t aIndex,
                        const LatencyProfile& aLatencies,
                        MonotonicTime aNow) const
{
  double weightedOwn = 0;
  for (const MonotonicTime sent : upstreams_[aIndex].sendTimes_) {
    weightedOwn += aLatencies.RemainingFactor(aNow - sent);
  }
  const auto row =
    std::min(static_cast<std::size_t>(std::lround(weightedOwn)), waitCostTable_.size() - 1);
  return ExpectedValue(waitCostTable_[row], aIndex, aNow);
}

} // namespace boragepier
