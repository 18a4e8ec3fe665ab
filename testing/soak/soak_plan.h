#ifndef BORAGEPIER_TESTING_SOAK_SOAK_PLAN_H
#define BORAGEPIER_TESTING_SOAK_SOAK_PLAN_H

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "boragepier/base/time.h"

namespace boragepier::testing {

/// A kind of fault that a plan may contain.
struct FaultKind
{
  std::string name_;
  std::size_t subjects_ = 1; ///< number of processes or links that it can hit
  int weight_ = 1;           ///< how often it is drawn, relative to the others
};

/// One fault of a plan.
struct PlannedFault
{
  Duration at_{}; ///< since the start
  Duration for_{};
  std::size_t kind_ = 0;    ///< index into the kinds
  std::size_t subject_ = 0; ///< below subjects_ of the kind

  friend bool operator==(const PlannedFault&, const PlannedFault&) = default;
};

/// Draws faults that come in series and overlap. The same seed gives the same plan.
/// @param aLength time in which faults begin
/// @return the faults in order of time
std::vector<PlannedFault>
MakeSoakPlan(std::uint64_t aSeed, Duration aLength, std::span<const FaultKind> aKinds);

} // namespace boragepier::testing

#endif
