#include "boragepier/decision/occupancy_model.h"

#include <algorithm>

namespace boragepier {

namespace {

// Weight of one request in the mean; about 50 requests determine it.
constexpr double kWeight = 0.02;
// A single request counts at most as this factor.
constexpr double kMaxFactor = 5;

} // namespace

std::size_t
OccupancyModel::LevelOf(unsigned aInFlight, unsigned aSlots)
{
  if (aInFlight == 0) {
    return 0;
  }
  const unsigned slots = std::max(1U, aSlots);
  const unsigned quarter = std::min(aInFlight, slots - 1) * (kLevels - 1) / slots;
  return std::min<std::size_t>(kLevels - 1, std::max(1U, quarter));
}

void
OccupancyModel::Add(unsigned aInFlight, unsigned aSlots, double aWorkMs, double aUsualMs)
{
  if (aInFlight >= std::max(1U, aSlots) || aUsualMs <= 0) {
    return; // it waited for a slot
  }
  double& factor = factors_.at(LevelOf(aInFlight, aSlots));
  factor += kWeight * (std::min(aWorkMs / aUsualMs, kMaxFactor) - factor);
}

double
OccupancyModel::Factor(unsigned aInFlight, unsigned aSlots) const
{
  const std::size_t level = LevelOf(aInFlight, aSlots);
  return level == 0 ? 1 : std::max(1.0, factors_.at(level) / std::max(0.5, factors_.front()));
}

} // namespace boragepier
