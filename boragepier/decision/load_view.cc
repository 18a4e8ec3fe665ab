#include "boragepier/decision/load_view.h"

#include <algorithm>
#include <cmath>

namespace boragepier {

namespace {

// Assumed before the first answer.
constexpr double kInitialServiceMs = 10;
// An upper bound for the estimate of the round trip, which is the shortest latency seen. Without
// it a service of constant duration would be taken for a long trip.
constexpr double kMaxTripMs = 2;
// A report loses its weight with this time constant, in service times.
constexpr double kReportLifetime = 2.0;
// Decay per report of the distribution of reported values.
constexpr double kReportDecay = 0.995;
constexpr double kMaxSamples = 20;
constexpr double kMaxMeanSamples = 200;
// The mean of all upstreams counts as this many samples of each upstream.
constexpr double kPriorSamples = 5;

} // namespace

LoadView::LoadView(unsigned aSlots)
  : slots_(aSlots)
  , meanServiceMs_(kInitialServiceMs)
  , tripMs_(kMaxTripMs)
{
}

void
LoadView::Reset(std::size_t aIndex)
{
  Upstream& upstream = upstreams_[aIndex];
  upstream.reported_ = false;
  upstream.serviceMs_ = 0;
  upstream.samples_ = 0;
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
  upstream.samples_ = std::min(kMaxSamples, upstream.samples_ + 1);
  upstream.serviceMs_ += (serviceMs - upstream.serviceMs_) / upstream.samples_;
  meanSamples_ = std::min(kMaxMeanSamples, meanSamples_ + 1);
  meanServiceMs_ += (serviceMs - meanServiceMs_) / meanSamples_;
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
  upstream.reportedOthers_ = others;
  upstream.reportTime_ = aNow;
  upstream.reported_ = true;

  for (double& count : reports_) {
    count *= kReportDecay;
  }
  const std::size_t bucket = std::min<std::size_t>(others, kMaxOthers - 1);
  reports_.at(bucket) += 1;
  reportWeight_ = reportWeight_ * kReportDecay + 1;
  reportSum_ = reportSum_ * kReportDecay + others;
}

Duration
LoadView::OldestOwn(std::size_t aIndex, MonotonicTime aNow) const
{
  const auto& sent = upstreams_[aIndex].sent_;
  return sent.empty() ? Duration(0) : aNow - *std::min_element(sent.begin(), sent.end());
}

double
LoadView::Confidence(const Upstream& aUpstream, MonotonicTime aNow) const
{
  if (!aUpstream.reported_) {
    return 0;
  }
  const double ageMs = ToMilliseconds(aNow - aUpstream.reportTime_);
  return std::exp(-ageMs / (kReportLifetime * std::max(0.1, meanServiceMs_)));
}

double
LoadView::Others(std::size_t aIndex, MonotonicTime aNow) const
{
  const Upstream& upstream = upstreams_[aIndex];
  const double confidence = Confidence(upstream, aNow);
  const double mean = reportWeight_ > 0 ? reportSum_ / reportWeight_ : 0;
  return confidence * upstream.reportedOthers_ + (1 - confidence) * mean;
}

double
LoadView::TypicalWait(unsigned aOwn) const
{
  if (reportWeight_ <= 0) {
    return aOwn + 1 > slots_ ? static_cast<double>(aOwn + 1 - slots_) / slots_ : 0;
  }
  double sum = 0;
  for (std::size_t others = 0; others < kMaxOthers; ++others) {
    const std::size_t total = others + aOwn + 1;
    if (total > slots_) {
      sum += reports_[others] * static_cast<double>(total - slots_);
    }
  }
  return sum / reportWeight_ / slots_;
}

double
LoadView::ExpectedWait(std::size_t aIndex, MonotonicTime aNow) const
{
  const Upstream& upstream = upstreams_[aIndex];
  const double confidence = Confidence(upstream, aNow);
  const unsigned own = Own(aIndex);
  const unsigned total = upstream.reportedOthers_ + own + 1;
  const double known = total > slots_ ? static_cast<double>(total - slots_) / slots_ : 0;
  return confidence * known + (1 - confidence) * TypicalWait(own);
}

double
LoadView::ServiceMs(std::size_t aIndex) const
{
  const Upstream& upstream = upstreams_[aIndex];
  return (upstream.serviceMs_ * upstream.samples_ + meanServiceMs_ * kPriorSamples) /
         (upstream.samples_ + kPriorSamples);
}

} // namespace boragepier
