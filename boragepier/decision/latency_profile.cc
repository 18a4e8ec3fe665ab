#include "boragepier/decision/latency_profile.h"

#include <algorithm>

#include <boost/histogram/axis/regular.hpp>

namespace boragepier {

namespace {

using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

// Bucket bounds grow by about 8 %, from 0.05 ms to 60 s.
const LogAxis kBucketAxis(180, 0.05, 60'000);

// Quantiles and remaining factors are recomputed after this many samples.
constexpr std::size_t kSamplesPerUpdate = 32;
// All counts are halved when their sum reaches this value, so that older samples lose weight.
constexpr double kMaxTotalCount = 4000;
// With fewer samples above an age, its remaining factor is that of the next shorter age.
constexpr double kMinSamplesForMean = 20;
// Upper limit of the remaining factor: without it one long request would make an upstream look
// worse than one with a queue.
constexpr double kMaxRemainingFactor = 8;

std::size_t
BucketOf(Duration aLatency)
{
  const int bucket = kBucketAxis.index(ToMilliseconds(aLatency));
  return static_cast<std::size_t>(std::clamp(bucket, 0, kBucketAxis.size() - 1));
}

} // namespace

LatencyProfile::LatencyProfile()
  : counts_(static_cast<std::size_t>(kBucketAxis.size()))
  , remainingFactors_(counts_.size(), 1)
{
}

void
LatencyProfile::Add(Duration aLatency)
{
  counts_[BucketOf(aLatency)] += 1;
  total_ += 1;
  if (total_ >= kMaxTotalCount) {
    for (double& count : counts_) {
      count /= 2;
    }
    total_ /= 2;
  }
  if (++samplesAdded_ % kSamplesPerUpdate == 0 || samplesAdded_ == kMinSamples) {
    p95Ms_ = Quantile(0.95);
    p99Ms_ = Quantile(0.99);
    UpdateRemainingFactors();
  }
}

double
LatencyProfile::Quantile(double aShare) const
{
  double remainingCount = total_ * aShare;
  for (std::size_t bucket = 0; bucket < counts_.size(); ++bucket) {
    remainingCount -= counts_[bucket];
    if (remainingCount <= 0) {
      return kBucketAxis.value(static_cast<double>(bucket) + 1);
    }
  }
  return kBucketAxis.value(kBucketAxis.size());
}

double
LatencyProfile::RemainingFactor(Duration aAge) const
{
  return remainingFactors_[BucketOf(aAge)];
}

void
LatencyProfile::UpdateRemainingFactors()
{
  // Mean residual life: walks from the longest latency down and keeps the number and the sum of the
  // latencies in this bucket and above.
  double count = 0;
  double sumMs = 0;
  for (std::size_t i = counts_.size(); i-- > 0;) {
    const auto bucket = static_cast<double>(i);
    count += counts_[i];
    sumMs += counts_[i] * kBucketAxis.value(bucket + 0.5);
    const double meanRemainingMs = count > 0 ? sumMs / count - kBucketAxis.value(bucket) : 0;
    remainingFactors_[i] = static_cast<float>(count >= kMinSamplesForMean ? meanRemainingMs : 0);
  }
  const float meanRemainingAtStart = remainingFactors_[0];
  float lastKnown = meanRemainingAtStart;
  for (float& factor : remainingFactors_) {
    lastKnown = factor > 0 ? factor : lastKnown;
    factor =
      std::clamp(lastKnown / meanRemainingAtStart, 1.0F, static_cast<float>(kMaxRemainingFactor));
  }
}

} // namespace boragepier
