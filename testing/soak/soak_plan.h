#ifndef BORAGEPIER_TESTING_SOAK_SOAK_PLAN_H
#define BORAGEPIER_TESTING_SOAK_SOAK_PLAN_H

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "boragepier/base/time.h"

namespace boragepier::testing {

/// A kind of fault that a plan can contain.
struct FaultKind
{
  std::string name_;
  std::size_t targetCount_ = 1; ///< number of processes or links that it can affect
  int weight_ = 1;              ///< relative frequency
};

/// One fault of a plan.
struct PlannedFault
{
  Duration startOffset_{}; ///< from the start of the run
  Duration duration_{};
  std::size_t kindIndex_ = 0;   ///< index into the kinds given to MakeSoakPlan()
  std::size_t targetIndex_ = 0; ///< below targetCount_ of the kind

  friend bool operator==(const PlannedFault&, const PlannedFault&) = default;
};

/// Generates random faults in bursts that can overlap. The plan is a function of the arguments.
/// @param aFaultPeriod period in which faults start
/// @param aKinds kinds of faults to choose from
/// @return the faults in order of their start
std::vector<PlannedFault>
MakeSoakPlan(std::uint64_t aSeed, Duration aFaultPeriod, std::span<const FaultKind> aKinds);

} // namespace boragepier::testing

#endif
