#include "boragepier/decision/latency_profile.h"

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

} // namespace

LatencyProfile::LatencyProfile()
  : counts_(static_cast<std::size_t>(kAxis.size()))
{
}

void
LatencyProfile::Add(Duration aLatency)
{
  const int bucket = kAxis.index(ToMilliseconds(aLatency));
  const int clamped = bucket < 0 ? 0 : std::min(bucket, kAxis.size() - 1);
  counts_[static_cast<std::size_t>(clamped)] += 1;
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

} // namespace boragepier
