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

/// Estimates latency quantiles over tumbling time windows with the extended P² algorithm, in
/// constant memory. Reads no clock; not thread-safe.
class LatencyWindow
{
public:
  static constexpr std::array<double, 3> kQuantiles = { 0.5, 0.99, 0.999 };
  /// Length of a window. A change of the latencies shows in the estimates after about this time.
  static constexpr Duration kWindow = std::chrono::seconds(30);
  /// A window with fewer samples gives no estimate.
  static constexpr std::uint64_t kMinSamples = 20;

  /// Milliseconds, in the order of kQuantiles.
  using Estimates = std::array<double, kQuantiles.size()>;

  LatencyWindow();

  void Add(Duration aLatency, MonotonicTime aNow);
  /// @return estimates of the last complete window, or of the current one during the first window;
  ///   empty if the window has too few samples or ended more than one window length ago
  std::optional<Estimates> Quantiles(MonotonicTime aNow) const;
  /// @return the number of samples since construction
  std::uint64_t Count() const { return totalCount_; }
  /// @return the sum of all samples since construction, in seconds
  double SumSeconds() const { return totalMs_ / 1000; }

private:
  // extended_p_square_quantile gives the same estimates at the marker probabilities, but leaves a
  // member uninitialised when it is copied (Boost 1.74).
  using Accumulator = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::extended_p_square>>;

  static Accumulator MakeAccumulator();
  std::optional<Estimates> EstimateCurrentWindow() const;

  Accumulator current_;
  std::uint64_t currentCount_ = 0;
  MonotonicTime currentStart_;
  std::optional<Estimates> previousEstimates_;
  bool hasPreviousWindow_ = false; ///< whether a window has ended since construction
  std::uint64_t totalCount_ = 0;
  double totalMs_ = 0;
};

} // namespace boragepier

#endif
