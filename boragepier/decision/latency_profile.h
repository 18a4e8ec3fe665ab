#ifndef BORAGEPIER_DECISION_LATENCY_PROFILE_H
#define BORAGEPIER_DECISION_LATENCY_PROFILE_H

#include <cstddef>
#include <vector>

#include "boragepier/base/time.h"

namespace boragepier {

/// Histogram of the recent latencies of one service. Older samples lose weight.
class LatencyProfile
{
public:
  LatencyProfile();

  void Add(Duration aLatency);
  /// @return whether there are enough samples for the quantiles and RemainingFactor()
  bool HasEnoughSamples() const { return samplesAdded_ >= kMinSamples; }
  /// @return the 95th percentile in milliseconds
  double P95Ms() const { return p95Ms_; }
  /// @return the 99th percentile in milliseconds
  double P99Ms() const { return p99Ms_; }
  /// @return mean remaining time of a request that was sent aAge ago and has not ended, divided by
  /// the mean time of a new request; between 1 and 8. About 1 for exponentially distributed
  /// latencies; grows with the age if the distribution is heavy-tailed.
  double RemainingFactor(Duration aAge) const;

private:
  static constexpr std::size_t kMinSamples = 50;

  double Quantile(double aShare) const;
  void UpdateRemainingFactors();

  std::vector<double> counts_;
  std::vector<float> remainingFactors_; ///< result of RemainingFactor() by bucket of the age
  double total_ = 0;
  std::size_t samplesAdded_ = 0;
  double p95Ms_ = 0;
  double p99Ms_ = 0;
};

} // namespace boragepier

#endif
