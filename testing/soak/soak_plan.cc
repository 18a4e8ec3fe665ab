#include "testing/soak/soak_plan.h"

#include <random>

#include "boragepier/base/random.h"

namespace boragepier::testing {

namespace {

// Ranges of the time between two bursts, the time between two faults of a burst, and the duration
// of a fault, in ms. Several faults can overlap, and periods of about a second are without a fault.
using UniformInt = std::uniform_int_distribution<int>;
constexpr int kBurstGapMs[] = { 200, 1200 };
constexpr int kFaultGapMs[] = { 0, 150 };
constexpr int kFaultDurationMs[] = { 50, 2500 };
constexpr int kMaxFaultsPerBurst = 4;

} // namespace

std::vector<PlannedFault>
MakeSoakPlan(std::uint64_t aSeed, Duration aFaultPeriod, std::span<const FaultKind> aKinds)
{
  Random random(aSeed);
  std::vector<int> weights;
  for (const FaultKind& kind : aKinds) {
    weights.push_back(kind.weight_);
  }
  std::discrete_distribution<std::size_t> drawKind(weights.begin(), weights.end());
  const auto draw = [&](const int(&aRange)[2]) {
    return std::chrono::milliseconds(UniformInt(aRange[0], aRange[1])(random));
  };
  std::vector<PlannedFault> plan;
  Duration startOffset = draw(kBurstGapMs);
  while (startOffset < aFaultPeriod) {
    const int count = UniformInt(1, kMaxFaultsPerBurst)(random);
    const std::size_t burstKind = drawKind(random);
    // Half of the bursts consist of one kind of fault, the others mix kinds.
    const bool sameKind = UniformInt(0, 1)(random) == 0;
    for (int i = 0; i < count; ++i) {
      PlannedFault fault{
        startOffset, draw(kFaultDurationMs), sameKind ? burstKind : drawKind(random), 0
      };
      const std::size_t targetCount = aKinds[fault.kindIndex_].targetCount_;
      fault.targetIndex_ = std::uniform_int_distribution<std::size_t>(0, targetCount - 1)(random);
      plan.push_back(fault);
      startOffset += draw(kFaultGapMs);
    }
    startOffset += draw(kBurstGapMs);
  }
  return plan;
}

} // namespace boragepier::testing
