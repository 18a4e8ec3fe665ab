#include "boragepier/decision/load_view.h"

#include <algorithm>
#include <cmath>

namespace boragepier {

namespace {

// Assumed before the first answer.
constexpr double kInitialServiceMs = 10;
// Keeps ages in service times finite.
constexpr double kMinServiceMs = 0.01;
// An upper bound for the estimate of the round trip, which is the shortest latency seen. Without
// it a service of constant duration would be taken for a long trip.
constexpr double kMaxTripMs = 2;
// Each further request to wait for costs this factor more. Minimising the mean wait (factor 1) left
// a p99 that is 1.4 ms higher at 85 % load.
constexpr double kWaitGrowth = 1.6;
constexpr double kMaxSamples = 60;
// The same for recent slowness, which finds stragglers.
constexpr double kMaxRecent = 12;
constexpr double kMaxMeanSamples = 500;
// The mean of all upstreams counts as this many samples of each upstream.
constexpr double kPriorSamples = 4;

} // namespace

LoadView::LoadView(unsigned aSlots)
  : slots_(aSlots)
  , meanServiceMs_(kInitialServiceMs)
  , tripMs_(kMaxTripMs)
{
  SetSlots(aSlots);
}

void
LoadView::SetSlots(unsigned aSlots)
{
  slots_ = std::max(1U, aSlots);
  for (std::size_t own = 0; own < waits_.size(); ++own) {
    for (std::size_t others = 0; others < waits_[own].size(); ++others) {
      const std::size_t total = own + others + 1;
      const auto ahead = total > slots_ ? static_cast<double>(total - slots_) : 0;
      waits_[own][others] = ahead / slots_;
      waitCosts_[own][others] = (std::pow(kWaitGrowth, ahead) - 1) / (kWaitGrowth - 1) / slots_;
    }
  }
}

void
LoadView::Reset(std::size_t aIndex)
{
  Upstream& upstream = upstreams_[aIndex];
  upstream.reported_ = false;
  upstream.samples_ = 0;
  upstream.slowness_ = 1;
  upstream.recentSlowness_ = 1;
}

void
LoadView::OnDispatch(std::size_t aIndex, MonotonicTime aNow)
{
  upstreams_[aIndex].sent_.push_back(aNow);
  ++ownTotal_;
}

void
LoadView::OnEnded(std::size_t aIndex, Duration aLatency, MonotonicTime aNow)
{
  auto& sent = upstreams_[aIndex].sent_;
  if (sent.empty()) {
    return;
  }
  // The report names no request; the one whose sending time fits best has ended.
  const MonotonicTime started = aNow - aLatency;
  const auto best = std::min_element(sent.begin(), sent.end(), [&](auto aLeft, auto aRight) {
    return std::chrono::abs(aLeft - started) < std::chrono::abs(aRight - started);
  });
  sent.erase(best);
  --ownTotal_;
}

void
LoadView::OnAnswer(std::size_t aIndex, Duration aLatency, unsigned aInFlight)
{
  Upstream& upstream = upstreams_[aIndex];
  const double latencyMs = ToMilliseconds(aLatency);
  tripMs_ = std::min(tripMs_, latencyMs);
  // An answer that left no queue behind hardly waited: its latency is the service time. Others
  // are counted after division by the turns that they probably waited for.
  const unsigned turns = aInFlight <= slots_ ? 1 : 1 + (aInFlight - 1) / slots_;
  const double serviceMs = std::max(0.0, latencyMs - tripMs_) / turns;
  const double bounded = std::max(kMinServiceMs, serviceMs);
  const double logMs = std::log(bounded);
  meanSamples_ = std::min(kMaxMeanSamples, meanSamples_ + 1);
  meanServiceMs_ += (bounded - meanServiceMs_) / meanSamples_;
  meanLogMs_ += (logMs - meanLogMs_) / meanSamples_;
  upstream.samples_ = std::min(kMaxSamples, upstream.samples_ + 1);
  upstream.logMs_ += (logMs - upstream.logMs_) / upstream.samples_;
  const double recent = std::min(kMaxRecent, upstream.samples_);
  upstream.recentLogMs_ += (logMs - upstream.recentLogMs_) / recent;
  const auto relative = [&](double aLogMs, double aSamples) {
    return std::exp(aSamples / (aSamples + kPriorSamples) * (aLogMs - meanLogMs_));
  };
  upstream.slowness_ = relative(upstream.logMs_, upstream.samples_);
  upstream.recentSlowness_ = relative(upstream.recentLogMs_, recent);
}

void
LoadView::OnReport(std::size_t aIndex, unsigned aInFlight, MonotonicTime aNow)
{
  Upstream& upstream = upstreams_[aIndex];
  // Own requests that were still on their way when the report was written are not part of it.
  const MonotonicTime written = aNow - FromMilliseconds(tripMs_);
  const auto arrived = static_cast<unsigned>(
    std::count_if(upstream.sent_.begin(), upstream.sent_.end(), [&](MonotonicTime aSent) {
      return aSent <= written;
    }));
  const unsigned others = aInFlight > arrived ? aInFlight - arrived : 0;
  if (upstream.reported_) {
    const double ageMs = ToMilliseconds(aNow - upstream.reportTime_);
    model_.AddPair(ageMs / meanServiceMs_, upstream.reportedOthers_, others);
  }
  model_.AddReport(others);
  upstream.reportedOthers_ = others;
  upstream.reportTime_ = aNow;
  upstream.reported_ = true;
}

Duration
LoadView::OldestOwn(std::size_t aIndex, MonotonicTime aNow) const
{
  const auto& sent = upstreams_[aIndex].sent_;
  return sent.empty() ? Duration(0) : aNow - *std::min_element(sent.begin(), sent.end());
}

double
LoadView::Expect(const ReportModel::Values& aValues, std::size_t aIndex, MonotonicTime aNow) const
{
  const Upstream& upstream = upstreams_[aIndex];
  if (!upstream.reported_) {
    return model_.ExpectUnreported(aValues);
  }
  const double ageMs = ToMilliseconds(aNow - upstream.reportTime_);
  return model_.Expect(ageMs / meanServiceMs_, upstream.reportedOthers_, aValues);
}

double
LoadView::Others(std::size_t aIndex, MonotonicTime aNow) const
{
  ReportModel::Values counts{};
  for (std::size_t i = 0; i < counts.size(); ++i) {
    counts[i] = static_cast<double>(i);
  }
  return Expect(counts, aIndex, aNow);
}

double
LoadView::ExpectedWait(std::size_t aIndex, MonotonicTime aNow) const
{
  const std::size_t own = std::min<std::size_t>(Own(aIndex), waits_.size() - 1);
  return Expect(waits_[own], aIndex, aNow);
}

double
LoadView::WaitCost(std::size_t aIndex, const LatencyProfile& aLatencies, MonotonicTime aNow) const
{
  double own = 0;
  for (const MonotonicTime sent : upstreams_[aIndex].sent_) {
    own += aLatencies.RemainingFactor(aNow - sent);
  }
  const auto row = std::min(static_cast<std::size_t>(std::lround(own)), waitCosts_.size() - 1);
  return Expect(waitCosts_[row], aIndex, aNow);
}

} // namespace boragepier
