#include "boragepier/decision/occupancy_model.h"

#include <algorithm>

namespace boragepier {

namespace {

// Weight of one sample in the exponentially weighted moving averages: about 50 samples determine
// them.
constexpr double kEwmaWeight = 0.02;
// Larger slowdowns of a single request are clamped to this factor.
constexpr double kMaxSampleFactor = 5;

} // namespace

std::size_t
OccupancyModel::OccupancyLevel(unsigned aInFlight, unsigned aSlots)
{
  if (aInFlight == 0) {
    return 0;
  }
  const unsigned slots = std::max(1U, aSlots);
  const unsigned quarter = std::min(aInFlight, slots - 1) * (kLevels - 1) / slots;
  return std::min<std::size_t>(kLevels - 1, std::max(1U, quarter));
}

void
OccupancyModel::Add(unsigned aInFlight, unsigned aSlots, double aWorkMs, double aIdleWorkMs)
{
  if (aInFlight >= std::max(1U, aSlots) || aIdleWorkMs <= 0) {
    return; // the request waited for a slot, or there is nothing to compare it with
  }
  double& factor = factors_.at(OccupancyLevel(aInFlight, aSlots));
  factor += kEwmaWeight * (std::min(aWorkMs / aIdleWorkMs, kMaxSampleFactor) - factor);
}

double
OccupancyModel::SlowdownFactor(unsigned aInFlight, unsigned aSlots) const
{
  const std::size_t level = OccupancyLevel(aInFlight, aSlots);
  return level == 0 ? 1 : std::max(1.0, factors_.at(level) / std::max(0.5, factors_.front()));
}

} // namespace boragepier
