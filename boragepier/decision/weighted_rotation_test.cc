#include "boragepier/decision/weighted_rotation.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <cmath>
#include <limits>
#include <vector>

#include "boragepier/base/random.h"

namespace boragepier {

TEST_GROUP(WeightedRotation){};

// Guards against an instance whose requests go to one service for a while and then to another: each
// run of requests, wherever it starts, must be close to the weights.
TEST(WeightedRotation, EveryRunOfSelectionsIsCloseToTheWeights)
{
  constexpr int kSelections = 2000;
  constexpr int kRun = 20;
  constexpr double kMaxDeviation = 0.1 * kRun;
  const std::vector<double> weights = { 0.6, 0.3, 0.1 };
  WeightedRotation rotation(12345);
  std::vector<std::size_t> selections;
  selections.reserve(kSelections);
  for (int i = 0; i < kSelections; ++i) {
    selections.push_back(rotation.Next(weights).value());
  }
  for (int start = 0; start + kRun <= kSelections; ++start) {
    std::array<int, 3> counts{};
    for (int i = start; i < start + kRun; ++i) {
      ++counts.at(selections[static_cast<std::size_t>(i)]);
    }
    for (std::size_t target = 0; target < counts.size(); ++target) {
      DOUBLES_EQUAL(weights[target] * kRun, counts.at(target), kMaxDeviation);
    }
  }
}

// Guards against a bias of single selections, which a fleet sums up when each of its instances
// selects for few requests.
TEST(WeightedRotation, EachSelectionAfterARandomStartFollowsTheWeights)
{
  constexpr int kRotations = 4000;
  constexpr int kSelections = 5;
  constexpr double kMaxDeviation = 0.1;
  Random random(1);
  std::array<int, kSelections> firstTargetCounts{};
  for (int i = 0; i < kRotations; ++i) {
    WeightedRotation rotation(random());
    for (int& count : firstTargetCounts) {
      count += rotation.Next(std::array{ 3.0, 1.0 }) == std::size_t{ 0 } ? 1 : 0;
    }
  }
  for (const int count : firstTargetCounts) {
    DOUBLES_EQUAL(0.75, static_cast<double>(count) / kRotations, kMaxDeviation);
  }
}

TEST(WeightedRotation, TargetsWithoutPositiveWeightAreNeverSelected)
{
  WeightedRotation rotation(7);
  for (int i = 0; i < 1000; ++i) {
    CHECK(rotation.Next(std::array{ 0.0, 1.0, -1.0 }) == std::size_t{ 1 });
  }
  CHECK(!rotation.Next(std::array{ 0.0, 0.0 }));
  CHECK(!rotation.Next({}));
}

// Guards against an index out of range when the point lies at the end of the interval.
TEST(WeightedRotation, LastPointOfTheIntervalBelongsToTheLastTarget)
{
  WeightedRotation rotation(std::numeric_limits<std::uint64_t>::max());
  CHECK(rotation.Next(std::array{ 0.1, 0.1, 0.1 }) == std::size_t{ 2 });
  CHECK(WeightedRotation(0).Next(std::array{ 0.1, 0.1, 0.1 }) == std::size_t{ 0 });
}

} // namespace boragepier
