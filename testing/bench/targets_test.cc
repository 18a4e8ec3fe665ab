#include <algorithm>
#include <string>

#include "testing/bench/simulation.h"
#include "testing/bench/suites.h"

#include <CppUTest/TestHarness.h>

namespace boragepier::bench {

namespace {

/// Runs a scenario with several seeds, because p99 of a single run of one minute varies by about
/// 0.5 ms.
/// @return p99, p99.9 and the probe rate as means over the seeds; other members are not set
RunStatistics
MeanOverSeeds(Scenario aScenario)
{
  constexpr int kSeeds = 4;
  RunStatistics mean;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    aScenario.seed_ = static_cast<std::uint64_t>(seed);
    const RunStatistics statistics = RunScenario(aScenario);
    mean.p99Ms_ += statistics.p99Ms_ / kSeeds;
    mean.p999Ms_ += statistics.p999Ms_ / kSeeds;
    mean.probesPerUpstreamSecond_ += statistics.probesPerUpstreamSecond_ / kSeeds;
  }
  return mean;
}

/// @return MeanOverSeeds() of the scenario with the named policy
RunStatistics
MeanWithPolicy(Scenario aScenario, std::string_view aPolicy)
{
  aScenario.selection_ = FindPolicy(aPolicy);
  return MeanOverSeeds(aScenario);
}

/// @return the scenario with the default policy and the default hedge budget of ServiceConfig
Scenario
WithDefaultPolicy(Scenario aScenario)
{
  const ServiceConfig config;
  aScenario.hedgeBudget_ = config.hedgeRatio_;
  const auto& policies = AllPolicies();
  aScenario.selection_ =
    *std::find_if(policies.begin(), policies.end(), [&](const SelectionPolicy& aPolicy) {
      return !aPolicy.usesGlobalState_ && aPolicy.policy_ == config.policy_;
    });
  return aScenario;
}

void
CheckAtMost(double aValue, double aLimit, const std::string& aDescription)
{
  const std::string message =
    aDescription + ": " + std::to_string(aValue) + " exceeds " + std::to_string(aLimit);
  CHECK_TEXT(aValue <= aLimit, message.c_str());
}

/// Checks that the default policy closes a share of the gap in tail latency between power of two
/// choices and the choice by exact global state, within its probe budget.
void
CheckGapClosed(const Scenario& aScenario, double aProbesPerUpstreamSecond, double aClosedShare)
{
  const RunStatistics powerOfTwo = MeanWithPolicy(aScenario, "power-of-two");
  const RunStatistics globalState = MeanWithPolicy(aScenario, "central");
  Scenario defaultPolicy = WithDefaultPolicy(aScenario);
  defaultPolicy.probesPerUpstreamSecond_ = aProbesPerUpstreamSecond;
  const RunStatistics statistics = MeanOverSeeds(defaultPolicy);
  CheckAtMost(statistics.p99Ms_,
              powerOfTwo.p99Ms_ - aClosedShare * (powerOfTwo.p99Ms_ - globalState.p99Ms_),
              "p99");
  CheckAtMost(statistics.p999Ms_,
              powerOfTwo.p999Ms_ - aClosedShare * (powerOfTwo.p999Ms_ - globalState.p999Ms_),
              "p99.9");
  CheckAtMost(statistics.probesPerUpstreamSecond_, aProbesPerUpstreamSecond, "probes");
}

/// Checks that no simpler policy has a lower p99 or p99.9 than the default policy.
void
CheckTailNotWorse(Scenario aScenario, double aLoad)
{
  aScenario.load_ = aLoad;
  const RunStatistics statistics = MeanOverSeeds(WithDefaultPolicy(aScenario));
  for (const char* simplerPolicy :
       { "random", "round-robin", "power-of-two", "least-outstanding" }) {
    const RunStatistics simplerResult = MeanWithPolicy(aScenario, simplerPolicy);
    CheckAtMost(statistics.p99Ms_, simplerResult.p99Ms_, std::string("p99 of ") + simplerPolicy);
    CheckAtMost(
      statistics.p999Ms_, simplerResult.p999Ms_, std::string("p99.9 of ") + simplerPolicy);
  }
}

Scenario
HeavyTailedScenario()
{
  Scenario scenario;
  scenario.serviceTimeDistribution_ = ServiceTimeDistribution::HeavyTailed;
  return scenario;
}

Scenario
UnequalSpeedScenario()
{
  Scenario scenario;
  scenario.upstreamSpeeds_ = { 0.6, 1.4, 1 };
  return scenario;
}

} // namespace

TEST_GROUP(TargetNoProbe){};
TEST_GROUP(TargetDefaultProbes){};
TEST_GROUP(TargetLoads){};
TEST_GROUP(TargetHeavyTailed){};
TEST_GROUP(TargetUnequalSpeed){};
TEST_GROUP(TargetOverload){};
TEST_GROUP(TargetRepeatable){};

// Guards against a default policy that, without probes, gains too little over power of two choices.
TEST(TargetNoProbe, ClosesSeventyPercentOfTheGapToGlobalState)
{
  CheckGapClosed(Scenario(), 0, 0.70);
}

// Guards against probes that use up their budget without reducing the tail latency.
TEST(TargetDefaultProbes, ClosesEightyFivePercentOfTheGapToGlobalState)
{
  const double probes = ServiceConfig().probesPerUpstreamSecond_;
  CHECK_TEXT(probes > 0, "the default probe budget is zero");
  CheckGapClosed(Scenario(), probes, 0.85);
}

// Guards against a default policy that is good at one load only.
TEST(TargetLoads, TailNotWorseThanSimplerPoliciesAtHalfLoad)
{
  CheckTailNotWorse(Scenario(), 0.5);
}

TEST(TargetLoads, TailNotWorseThanSimplerPoliciesNearSaturation)
{
  CheckTailNotWorse(Scenario(), 0.95);
}

// Guards against a default policy that is good for exponential service times only.
TEST(TargetHeavyTailed, ClosesSeventyPercentOfTheGapToGlobalState)
{
  CheckGapClosed(HeavyTailedScenario(), 0, 0.70);
}

TEST(TargetHeavyTailed, TailNotWorseThanSimplerPolicies)
{
  CheckTailNotWorse(HeavyTailedScenario(), 0.5);
  CheckTailNotWorse(HeavyTailedScenario(), 0.95);
}

// Guards against a default policy that assumes that all upstreams are equally fast.
TEST(TargetUnequalSpeed, ClosesSeventyPercentOfTheGapToGlobalState)
{
  CheckGapClosed(UnequalSpeedScenario(), 0, 0.70);
}

TEST(TargetUnequalSpeed, TailNotWorseThanSimplerPolicies)
{
  CheckTailNotWorse(UnequalSpeedScenario(), 0.5);
  CheckTailNotWorse(UnequalSpeedScenario(), 0.95);
}

// Guards against capacity that is spent on requests whose answers miss the deadline.
TEST(TargetOverload, GoodputStaysAtNinetyFivePercentOfCapacity)
{
  for (const auto deadlineMs : { 500, 2000 }) {
    Scenario scenario = WithDefaultPolicy(Scenario());
    scenario.load_ = 1.2;
    scenario.deadline_ = std::chrono::milliseconds(deadlineMs);
    const RunStatistics statistics = RunScenario(scenario);
    CheckAtMost(0.95, statistics.goodput_, "goodput");
    LONGS_EQUAL(statistics.calls_,
                statistics.answered_ + statistics.errors_ + statistics.atMostOnceErrors_);
  }
}

// Guards against results that are not reproducible.
TEST(TargetRepeatable, SameSeedGivesIdenticalCsv)
{
  Scenario scenario = MakeFaultScenario(MakeFault(FaultKind::Straggler, 4), 0.85);
  scenario.probesPerUpstreamSecond_ = 200;
  const RunResult first{ scenario, RunScenario(scenario) };
  const RunResult second{ scenario, RunScenario(scenario) };
  CHECK(FormatCsv({ &first, 1 }) == FormatCsv({ &second, 1 }));
  scenario.seed_ = 2;
  const RunResult other{ scenario, RunScenario(scenario) };
  CHECK(FormatCsv({ &first, 1 }) != FormatCsv({ &other, 1 }));
}

} // namespace boragepier::bench
