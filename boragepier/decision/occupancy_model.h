#ifndef BORAGEPIER_DECISION_OCCUPANCY_MODEL_H
#define BORAGEPIER_DECISION_OCCUPANCY_MODEL_H

#include <array>
#include <cstddef>

namespace boragepier {

/// Learns how much longer requests take at an upstream whose other slots are in use, because some
/// upstreams slow down when nearly full. Work is a service time in milliseconds, normalised to an
/// upstream of normal speed (see SlownessModel).
class OccupancyModel
{
public:
  /// Adds an answered request as a sample. Requests that found no free slot are ignored, because
  /// their latency includes a wait.
  /// @param aInFlight requests in flight at the upstream when the request was sent, without it
  /// @param aSlots number of requests that the upstream runs concurrently
  /// @param aWorkMs work of the request, derived from its latency
  /// @param aIdleWorkMs mean work of such requests at an idle upstream; 0 if unknown
  void Add(unsigned aInFlight, unsigned aSlots, double aWorkMs, double aIdleWorkMs);

  /// @return expected work with aInFlight other requests in flight, as a multiple of that at an
  /// idle upstream; at least 1
  double SlowdownFactor(unsigned aInFlight, unsigned aSlots) const;

  /// @return whether a request that found aInFlight others in flight shows the work at an idle
  /// upstream
  static bool IsIdle(unsigned aInFlight) { return aInFlight == 0; }

private:
  static constexpr std::size_t kLevels = 5; ///< idle, and quarters of the slots
  static std::size_t OccupancyLevel(unsigned aInFlight, unsigned aSlots);

  std::array<double, kLevels> factors_{ 1, 1, 1, 1, 1 }; ///< mean slowdown by occupancy level
};

} // namespace boragepier

#endif
