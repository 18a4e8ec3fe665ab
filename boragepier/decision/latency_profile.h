#ifndef BORAGEPIER_DECISION_LATENCY_PROFILE_H
#define BORAGEPIER_DECISION_LATENCY_PROFILE_H

#include <cstddef>
#include <vector>

#include "boragepier/base/time.h"

namespace boragepier {

/// Recent distribution of the latencies of one service. Older latencies lose weight.
class LatencyProfile
{
public:
  LatencyProfile();

  void Add(Duration aLatency);
  /// @return whether enough latencies are known for the quantiles to mean something
  bool Ready() const { return added_ >= kMinimum; }
  /// @return the 95th percentile in milliseconds
  double P95Ms() const { return p95Ms_; }
  /// @return the 99th percentile in milliseconds
  double P99Ms() const { return p99Ms_; }
  /// @return expected time to the end of a request that was sent aAge ago, as a multiple of that of
  /// a new one. About 1 for exponential times; grows with the age for heavy-tailed ones.
  double RemainingFactor(Duration aAge) const;

private:
  static constexpr std::size_t kMinimum = 50;

  double Quantile(double aShare) const;
  void RefreshRemaining();

  std::vector<double> counts_;
  std::vector<float> remaining_; ///< RemainingFactor() per bucket
  double total_ = 0;
  std::size_t added_ = 0;
  double p95Ms_ = 0;
  double p99Ms_ = 0;
};

} // namespace boragepier

#endif
