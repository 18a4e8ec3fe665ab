#ifndef BORAGEPIER_DECISION_OCCUPANCY_MODEL_H
#define BORAGEPIER_DECISION_OCCUPANCY_MODEL_H

#include <array>
#include <cstddef>

namespace boragepier {

/// Learns how much longer work takes at an upstream whose other slots are in use: some upstreams
/// slow down when they are nearly full.
class OccupancyModel
{
public:
  /// Takes in the end of a request.
  /// @param aInFlight requests that were at the upstream when it was sent
  /// @param aSlots slots of the upstream
  /// @param aWorkMs work that its duration stands for, at the usual pace
  /// @param aUsualMs usual work of such requests at an empty upstream
  void Add(unsigned aInFlight, unsigned aSlots, double aWorkMs, double aUsualMs);

  /// @return expected work as a multiple of that at an empty upstream, at least 1
  double Factor(unsigned aInFlight, unsigned aSlots) const;

  static bool IsEmpty(unsigned aInFlight) { return aInFlight == 0; }

private:
  static constexpr std::size_t kLevels = 5; ///< empty, and quarters of the slots
  static std::size_t LevelOf(unsigned aInFlight, unsigned aSlots);

  std::array<double, kLevels> factors_{ 1, 1, 1, 1, 1 };
};

} // namespace boragepier

#endif
