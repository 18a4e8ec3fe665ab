#include "boragepier/telemetry/latency_window.h"

#include <algorithm>

namespace boragepier {

namespace accumulators = boost::accumulators;

namespace {

// Probabilities at which P² keeps its markers. Those that are not reported improve the accuracy of
// the tail estimates.
constexpr std::array<double, 6> kMarkerProbabilities = { 0.5, 0.75, 0.9, 0.97, 0.99, 0.999 };

} // namespace

LatencyWindow::Accumulator
LatencyWindow::MakeAccumulator()
{
  return Accumulator(accumulators::extended_p_square_probabilities = kMarkerProbabilities);
}

LatencyWindow::LatencyWindow()
  : current_(MakeAccumulator())
{
}

void
LatencyWindow::Add(Duration aLatency, MonotonicTime aNow)
{
  if (currentCount_ == 0 && !hasPreviousWindow_) {
    currentStart_ = aNow;
  }
  if (aNow - currentStart_ >= kWindow) {
    // Estimates of a window that ended more than one window length ago are stale.
    previousEstimates_ =
      aNow - currentStart_ < 2 * kWindow ? EstimateCurrentWindow() : std::nullopt;
    hasPreviousWindow_ = true;
    current_ = MakeAccumulator();
    currentCount_ = 0;
    currentStart_ = aNow;
  }
  const double milliseconds = ToMilliseconds(aLatency);
  current_(milliseconds);
  ++currentCount_;
  ++totalCount_;
  totalMs_ += milliseconds;
}

std::optional<LatencyWindow::Estimates>
LatencyWindow::EstimateCurrentWindow() const
{
  if (currentCount_ < kMinSamples) {
    return std::nullopt;
  }
  Estimates estimates{};
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    const auto* marker =
      std::find(kMarkerProbabilities.begin(), kMarkerProbabilities.end(), kQuantiles[i]);
    estimates[i] = accumulators::extended_p_square(current_)[marker - kMarkerProbabilities.begin()];
  }
  return estimates;
}

std::optional<LatencyWindow::Estimates>
LatencyWindow::Quantiles(MonotonicTime aNow) const
{
  const Duration age = aNow - currentStart_;
  if (age >= 2 * kWindow) {
    return std::nullopt;
  }
  return !hasPreviousWindow_ || age >= kWindow ? EstimateCurrentWindow() : previousEstimates_;
}

} // namespace boragepier
