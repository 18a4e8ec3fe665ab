#ifndef BORAGEPIER_DECISION_WEIGHTED_ROTATION_H
#define BORAGEPIER_DECISION_WEIGHTED_ROTATION_H

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace boragepier {

/// Distributes requests over targets in proportion to their weights.
///
/// Each selection takes the next point of an additive low-discrepancy sequence on [0, 1), whose
/// step is the golden ratio. The targets divide [0, 1) in proportion to their weights, and the one
/// that contains the point is selected. A run of selections is spread evenly. If the start is
/// uniformly random, each single selection follows the weights, the first one too, so the shares
/// hold over many instances of which each selects for few requests. The state does not depend on
/// the weights, which may change between selections.
///
/// Thread-safe.
///
///   WeightedRotation rotation(random());
///   const auto target = rotation.Next(weights);
class WeightedRotation
{
public:
  /// @param aStart start of the sequence, in units of 2^-64
  explicit WeightedRotation(std::uint64_t aStart)
    : position_(aStart)
  {
  }

  /// Selects the target of the next request.
  /// @param aWeights weight of each target, relative to the others; targets whose weight is not
  ///   positive are never selected
  /// @return index of the target, or nothing if no weight is positive
  std::optional<std::size_t> Next(std::span<const double> aWeights);

private:
  std::atomic<std::uint64_t> position_; ///< next point, in units of 2^-64; wraps around
};

} // namespace boragepier

#endif
