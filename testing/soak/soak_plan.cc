#include "testing/soak/soak_plan.h"

#include <random>

#include "boragepier/base/random.h"

namespace boragepier::testing {

namespace {

// Between two series, between two faults of a series, and how long a fault lasts, in ms. The ranges
// let several faults overlap and leave calm spells of about a second.
using Range = std::uniform_int_distribution<int>;
constexpr int kSeriesGapMs[] = { 200, 1200 };
constexpr int kFaultGapMs[] = { 0, 150 };
constexpr int kLastsMs[] = { 50, 2500 };
constexpr int kMostInSeries = 4;

} // namespace

std::vector<PlannedFault>
MakeSoakPlan(std::uint64_t aSeed, Duration aLength, std::span<const FaultKind> aKinds)
{
  Random random(aSeed);
  std::vector<int> weights;
  for (const FaultKind& kind : aKinds) {
    weights.push_back(kind.weight_);
  }
  std::discrete_distribution<std::size_t> drawKind(weights.begin(), weights.end());
  const auto draw = [&](const int(&aRange)[2]) {
    return std::chrono::milliseconds(Range(aRange[0], aRange[1])(random));
  };
  std::vector<PlannedFault> plan;
  Duration at = draw(kSeriesGapMs);
  while (at < aLength) {
    const int count = Range(1, kMostInSeries)(random);
    const std::size_t kind = drawKind(random);
    // Half of the series repeat one kind, the others mix.
    const bool repeats = Range(0, 1)(random) == 0;
    for (int i = 0; i < count; ++i) {
      PlannedFault fault{ at, draw(kLastsMs), repeats ? kind : drawKind(random), 0 };
      const std::size_t subjects = aKinds[fault.kind_].subjects_;
      fault.subject_ = std::uniform_int_distribution<std::size_t>(0, subjects - 1)(random);
      plan.push_back(fault);
      at += draw(kFaultGapMs);
    }
    at += draw(kSeriesGapMs);
  }
  return plan;
}

} // namespace boragepier::testing
