#include "boragepier/telemetry/latency_window.h"

#include <algorithm>

namespace boragepier {

namespace accumulators = boost::accumulators;

namespace {

// P² places its markers by these probabilities. The additional ones between 0.5 and 0.999 make the
// estimates of the tail closer.
constexpr std::array<double, 6> kMarkers = { 0.5, 0.75, 0.9, 0.97, 0.99, 0.999 };

} // namespace

LatencyWindow::Accumulator
LatencyWindow::NewAccumulator()
{
  return Accumulator(accumulators::extended_p_square_probabilities = kMarkers);
}

LatencyWindow::LatencyWindow()
  : present_(NewAccumulator())
{
}

void
LatencyWindow::Add(Duration aLatency, MonotonicTime aNow)
{
  if (presentCount_ == 0 && !hasLast_) {
    presentStart_ = aNow;
  }
  if (aNow - presentStart_ >= kWindow) {
    // A window that ended long ago says nothing about now.
    last_ = aNow - presentStart_ < 2 * kWindow ? Estimate() : std::nullopt;
    hasLast_ = true;
    present_ = NewAccumulator();
    presentCount_ = 0;
    presentStart_ = aNow;
  }
  const double milliseconds = ToMilliseconds(aLatency);
  present_(milliseconds);
  ++presentCount_;
  ++count_;
  sumMs_ += milliseconds;
}

std::optional<LatencyWindow::Estimates>
LatencyWindow::Estimate() const
{
  if (presentCount_ < kMinSamples) {
    return std::nullopt;
  }
  Estimates estimates{};
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    const auto* marker = std::find(kMarkers.begin(), kMarkers.end(), kQuantiles[i]);
    estimates[i] = accumulators::extended_p_square(present_)[marker - kMarkers.begin()];
  }
  return estimates;
}

std::optional<LatencyWindow::Estimates>
LatencyWindow::Quantiles(MonotonicTime aNow) const
{
  const Duration age = aNow - presentStart_;
  if (age >= 2 * kWindow) {
    return std::nullopt;
  }
  return !hasLast_ || age >= kWindow ? Estimate() : last_;
}

} // namespace boragepier
