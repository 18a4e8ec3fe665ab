#ifndef BORAGEPIER_TELEMETRY_LATENCY_WINDOW_H
#define BORAGEPIER_TELEMETRY_LATENCY_WINDOW_H

#include <array>
#include <cstdint>
#include <optional>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include "boragepier/base/time.h"

namespace boragepier {

/// Quantiles of latencies over the last window of time, by the extended P² algorithm. Reads no
/// clock; not thread-safe.
class LatencyWindow
{
public:
  static constexpr std::array<double, 3> kQuantiles = { 0.5, 0.99, 0.999 };
  /// Estimates follow changes within this time.
  static constexpr Duration kWindow = std::chrono::seconds(30);
  /// Fewer samples give no estimate.
  static constexpr std::uint64_t kMinSamples = 20;

  using Estimates = std::array<double, kQuantiles.size()>; ///< in ms, in the order of kQuantiles

  LatencyWindow();

  void Add(Duration aLatency, MonotonicTime aNow);
  /// @return estimates of the last complete window, or of the present one during the first window;
  /// nothing if there are too few samples or the last complete window is too old
  std::optional<Estimates> Quantiles(MonotonicTime aNow) const;
  std::uint64_t Count() const { return count_; }
  double SumSeconds() const { return sumMs_ / 1000; }

private:
  // The estimates at its own probabilities are those of extended_p_square_quantile, which leaves a
  // member uninitialised when it is copied (Boost 1.74).
  using Accumulator = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::extended_p_square>>;

  static Accumulator NewAccumulator();
  std::optional<Estimates> Estimate() const;

  Accumulator present_;
  std::uint64_t presentCount_ = 0;
  MonotonicTime presentStart_;
  std::optional<Estimates> last_;
  bool hasLast_ = false; ///< a window has ended
  std::uint64_t count_ = 0;
  double sumMs_ = 0;
};

} // namespace boragepier

#endif
