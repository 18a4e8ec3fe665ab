#include <algorithm>
#include <map>
#include <string>

#include "boragepier/decision/admission_queue.h"
#include "boragepier/decision/choice_policy.h"
#include "boragepier/decision/latency_profile.h"
#include "boragepier/decision/preferred_subset.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

constexpr MonotonicTime kStart{ std::chrono::seconds(1) };

CallInfo
MakeCall(std::uint64_t aId, TrafficClass aClass, Duration aDeadline)
{
  CallInfo call;
  call.id_ = aId;
  call.deadline_ = kStart + aDeadline;
  call.trafficClass_ = aClass;
  return call;
}

std::vector<InstanceId>
MakeInstances(int aCount)
{
  std::vector<InstanceId> instances;
  instances.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    instances.emplace_back("instance-" + std::to_string(i));
  }
  return instances;
}

} // namespace

TEST_GROUP(BalancerComponents){};

// Guards against background requests that delay interactive ones or fill the queue before them.
TEST(BalancerComponents, InteractiveRequestsLeaveFirstAndDisplaceBackground)
{
  AdmissionQueue queue(2);
  std::optional<std::uint64_t> displaced;
  CHECK(queue.Push(MakeCall(1, TrafficClass::Background, std::chrono::seconds(1)), displaced));
  CHECK(queue.Push(MakeCall(2, TrafficClass::Interactive, std::chrono::seconds(1)), displaced));
  CHECK(!queue.Push(MakeCall(3, TrafficClass::Background, std::chrono::seconds(1)), displaced));
  CHECK(!displaced);
  CHECK(queue.Push(MakeCall(4, TrafficClass::Interactive, std::chrono::seconds(1)), displaced));
  LONGS_EQUAL(1, *displaced);
  LONGS_EQUAL(2, queue.Front()->id_);
  queue.PopFront();
  LONGS_EQUAL(4, queue.Front()->id_);
  LONGS_EQUAL(1, queue.Size());
}

// Guards against requests that stay in the queue after their deadline or after their caller has
// left.
TEST(BalancerComponents, ExpiredAndCancelledRequestsLeaveTheQueue)
{
  AdmissionQueue queue(4);
  std::optional<std::uint64_t> displaced;
  queue.Push(MakeCall(1, TrafficClass::Interactive, std::chrono::seconds(1)), displaced);
  queue.Push(MakeCall(2, TrafficClass::Interactive, std::chrono::seconds(3)), displaced);
  CHECK(queue.EarliestDeadline() == kStart + std::chrono::seconds(1));
  LONGS_EQUAL(1, queue.TakeExpired(kStart + std::chrono::seconds(2)).at(0));
  CHECK(queue.Remove(2));
  CHECK(!queue.Remove(2));
  LONGS_EQUAL(0, queue.Size());
}

// Guards against an upstream that is in the subsets of too many instances, and against instances
// that compute different assignments from the same lists.
TEST(BalancerComponents, PreferredSubsetsAreBalancedAndIndependentOfInstanceOrder)
{
  auto instances = MakeInstances(15);
  std::vector<std::string> names;
  names.reserve(15);
  for (int i = 0; i < 15; ++i) {
    names.push_back("upstream-" + std::to_string(i));
  }
  const std::vector<std::string_view> ids(names.begin(), names.end());
  std::map<std::size_t, int> instancesPerUpstream;
  for (const InstanceId& self : MakeInstances(15)) {
    const auto subset = PreferredSubset(self, instances, ids, 2);
    CHECK(subset.size() <= 2);
    for (const std::size_t upstream : subset) {
      CHECK(++instancesPerUpstream[upstream] <= 2);
    }
    std::reverse(instances.begin(), instances.end());
    CHECK(subset == PreferredSubset(self, instances, ids, 2));
  }
  CHECK(PreferredSubset(InstanceId("unknown"), instances, ids, 2).empty());
}

// Guards against a pick by position instead of load, and against a round robin that skips
// upstreams.
TEST(BalancerComponents, PoliciesPickByTheirCriterion)
{
  Random random(3);
  const std::vector<Candidate> candidates = { { 0, 2, 1 }, { 1, 1, 5 }, { 2, 3, 4 } };
  LONGS_EQUAL(1, LeastOutstandingChoice().Pick(candidates, random));
  LONGS_EQUAL(0, ReportedChoice().Pick(candidates, random));
  RoundRobinChoice roundRobin;
  std::map<std::size_t, int> picks;
  for (int i = 0; i < 30; ++i) {
    ++picks[roundRobin.Pick(candidates, random)];
    CHECK(PowerOfTwoChoice().Pick(candidates, random) != 2);
  }
  LONGS_EQUAL(10, picks[0]);
  LONGS_EQUAL(10, picks[2]);
}

// Guards against wrong quantiles, from which attempt timeouts and hedging delays follow.
TEST(BalancerComponents, LatencyProfileComputesQuantiles)
{
  LatencyProfile profile;
  CHECK(!profile.HasEnoughSamples());
  for (int i = 1; i <= 1024; ++i) {
    profile.Add(std::chrono::microseconds(i % 100 * 1000 + 500));
  }
  CHECK(profile.HasEnoughSamples());
  DOUBLES_EQUAL(95, profile.P95Ms(), 8);
  DOUBLES_EQUAL(99, profile.P99Ms(), 9);
  CHECK(profile.RemainingFactor(std::chrono::milliseconds(50)) >= 1);
}

} // namespace boragepier
