#include "boragepier/decision/latency_profile.h"

#include <algorithm>

#include <boost/histogram/axis/regular.hpp>

namespace boragepier {

namespace {

using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

// Buckets grow by about 8 %, from 0.05 ms to 60 s.
const LogAxis kAxis(180, 0.05, 60'000);

// The quantiles are computed anew after this many latencies; the counts are halved when they reach
// the total.
constexpr std::size_t kRefresh = 32;
constexpr double kMaxTotal = 4000;
// Longer latencies are too few for a mean.
constexpr double kMinForMean = 20;
// Bounds of the factor; a single request should not make an upstream look worse than a queue.
constexpr double kMaxRemaining = 8;

std::size_t
BucketOf(Duration aLatency)
{
  const int bucket = kAxis.index(ToMilliseconds(aLatency));
  return static_cast<std::size_t>(std::clamp(bucket, 0, kAxis.size() - 1));
}

} // namespace

LatencyProfile::LatencyProfile()
  : counts_(static_cast<std::size_t>(kAxis.size()))
  , remaining_(counts_.size(), 1)
{
}

void
LatencyProfile::Add(Duration aLatency)
{
  counts_[BucketOf(aLatency)] += 1;
  total_ += 1;
  if (total_ >= kMaxTotal) {
    for (double& count : counts_) {
      count /= 2;
    }
    total_ /= 2;
  }
  if (++added_ % kRefresh == 0 || added_ == kMinimum) {
    p95Ms_ = Quantile(0.95);
    p99Ms_ = Quantile(0.99);
    RefreshRemaining();
  }
}

double
LatencyProfile::Quantile(double aShare) const
{
  double left = total_ * aShare;
  for (std::size_t bucket = 0; bucket < counts_.size(); ++bucket) {
    left -= counts_[bucket];
    if (left <= 0) {
      return kAxis.value(static_cast<double>(bucket) + 1);
    }
  }
  return kAxis.value(kAxis.size());
}

double
LatencyProfile::RemainingFactor(Duration aAge) const
{
  return remaining_[BucketOf(aAge)];
}

void
LatencyProfile::RefreshRemaining()
{
  // From the longest latency down: number and sum of the latencies above each bucket.
  double number = 0;
  double sumMs = 0;
  for (std::size_t i = counts_.size(); i-- > 0;) {
    const auto bucket = static_cast<double>(i);
    number += counts_[i];
    sumMs += counts_[i] * kAxis.value(bucket + 0.5);
    const double leftMs = number > 0 ? sumMs / number - kAxis.value(bucket) : 0;
    remaining_[i] = static_cast<float>(number >= kMinForMean ? leftMs : 0);
  }
  const float fresh = remaining_[0];
  float known = fresh;
  for (float& factor : remaining_) {
    known = factor > 0 ? factor : known;
    factor = std::clamp(known / fresh, 1.0F, static_cast<float>(kMaxRemaining));
  }
}

} // namespace boragepier
