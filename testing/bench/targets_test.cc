#include <algorithm>
#include <string>

#include "testing/bench/simulation.h"
#include "testing/bench/suites.h"

#include <CppUTest/TestHarness.h>

namespace boragepier::bench {

namespace {

/// Means over several seeds: one run of a minute leaves an error of about 0.5 ms at p99.
Figures
RunSeeds(Scenario aScenario)
{
  constexpr int kSeeds = 4;
  Figures mean;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    aScenario.seed_ = static_cast<std::uint64_t>(seed);
    const Figures figures = RunScenario(aScenario);
    mean.p99Ms_ += figures.p99Ms_ / kSeeds;
    mean.p999Ms_ += figures.p999Ms_ / kSeeds;
    mean.probesPerSecond_ += figures.probesPerSecond_ / kSeeds;
  }
  return mean;
}

/// Runs the scenario with the named policy.
Figures
RunWith(Scenario aScenario, std::string_view aPolicy)
{
  aScenario.chooser_ = FindChooser(aPolicy);
  return RunSeeds(aScenario);
}

/// The policy that ServiceConfig chooses, with its hedge budget.
Scenario
DefaultPolicy(Scenario aScenario)
{
  const ServiceConfig config;
  aScenario.hedgeBudget_ = config.hedgeRatio_;
  const auto& choosers = AllChoosers();
  aScenario.chooser_ =
    *std::find_if(choosers.begin(), choosers.end(), [&](const Chooser& aChooser) {
      return !aChooser.central_ && aChooser.policy_ == config.policy_;
    });
  return aScenario;
}

void
CheckAtMost(double aValue, double aLimit, const std::string& aWhat)
{
  const std::string text =
    aWhat + ": " + std::to_string(aValue) + " exceeds " + std::to_string(aLimit);
  CHECK_TEXT(aValue <= aLimit, text.c_str());
}

/// Checks the share of the distance from power of two choices to central knowledge that the default
/// policy closes.
void
CheckClosed(const Scenario& aScenario, double aProbes, double aShare)
{
  const Figures from = RunWith(aScenario, "power-of-two");
  const Figures limit = RunWith(aScenario, "central");
  Scenario own = DefaultPolicy(aScenario);
  own.probes_ = aProbes;
  const Figures figures = RunSeeds(own);
  CheckAtMost(figures.p99Ms_, from.p99Ms_ - aShare * (from.p99Ms_ - limit.p99Ms_), "p99");
  CheckAtMost(figures.p999Ms_, from.p999Ms_ - aShare * (from.p999Ms_ - limit.p999Ms_), "p99.9");
  CheckAtMost(figures.probesPerSecond_, aProbes, "probes");
}

/// Checks that no simpler policy has a better tail.
void
CheckNeverWorse(Scenario aScenario, double aLoad)
{
  aScenario.load_ = aLoad;
  const Figures figures = RunSeeds(DefaultPolicy(aScenario));
  for (const char* simpler : { "random", "round-robin", "power-of-two", "least-outstanding" }) {
    const Figures other = RunWith(aScenario, simpler);
    CheckAtMost(figures.p99Ms_, other.p99Ms_, std::string("p99 of ") + simpler);
    CheckAtMost(figures.p999Ms_, other.p999Ms_, std::string("p99.9 of ") + simpler);
  }
}

Scenario
HeavyTailed()
{
  Scenario scenario;
  scenario.workKind_ = WorkKind::HeavyTailed;
  return scenario;
}

Scenario
UnequalSpeed()
{
  Scenario scenario;
  scenario.speeds_ = { 0.6, 1.4, 1 };
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

// Guards against a default policy that loses most of the gain that is possible without probes.
TEST(TargetNoProbe, ClosesSeventyPercentOfTheDistance)
{
  CheckClosed(Scenario(), 0, 0.70);
}

// Guards against probes that cost their budget without bringing the gain.
TEST(TargetDefaultProbes, ClosesEightyFivePercentOfTheDistance)
{
  const double probes = ServiceConfig().probesPerUpstreamSecond_;
  CHECK_TEXT(probes > 0, "the default probe budget is zero");
  CheckClosed(Scenario(), probes, 0.85);
}

// Guards against a policy that is tuned to one load.
TEST(TargetLoads, NeverWorseThanASimplerPolicyAtHalfLoad)
{
  CheckNeverWorse(Scenario(), 0.5);
}

TEST(TargetLoads, NeverWorseThanASimplerPolicyNearSaturation)
{
  CheckNeverWorse(Scenario(), 0.95);
}

// Guards against a policy that is tuned to exponential service times.
TEST(TargetHeavyTailed, ClosesSeventyPercentOfTheDistance)
{
  CheckClosed(HeavyTailed(), 0, 0.70);
}

TEST(TargetHeavyTailed, NeverWorseThanASimplerPolicy)
{
  CheckNeverWorse(HeavyTailed(), 0.5);
  CheckNeverWorse(HeavyTailed(), 0.95);
}

// Guards against a policy that takes all upstreams for equally fast.
TEST(TargetUnequalSpeed, ClosesSeventyPercentOfTheDistance)
{
  CheckClosed(UnequalSpeed(), 0, 0.70);
}

TEST(TargetUnequalSpeed, NeverWorseThanASimplerPolicy)
{
  CheckNeverWorse(UnequalSpeed(), 0.5);
  CheckNeverWorse(UnequalSpeed(), 0.95);
}

// Guards against capacity that is spent on requests whose answers come too late.
TEST(TargetOverload, GoodputStaysAtNinetyFivePercentOfCapacity)
{
  for (const auto deadline : { 500, 2000 }) {
    Scenario scenario = DefaultPolicy(Scenario());
    scenario.load_ = 1.2;
    scenario.deadline_ = std::chrono::milliseconds(deadline);
    const Figures figures = RunScenario(scenario);
    CheckAtMost(0.95, figures.goodput_, "goodput");
    LONGS_EQUAL(figures.calls_, figures.answered_ + figures.errors_ + figures.onceErrors_);
  }
}

// Guards against figures that cannot be repeated.
TEST(TargetRepeatable, SameSeedGivesTheSameBytes)
{
  Scenario scenario = WithFault(MakeFault(FaultKind::Straggler, 4), 0.85);
  scenario.probes_ = 200;
  const Row first{ scenario, RunScenario(scenario) };
  const Row second{ scenario, RunScenario(scenario) };
  CHECK(FormatCsv({ &first, 1 }) == FormatCsv({ &second, 1 }));
  scenario.seed_ = 2;
  const Row other{ scenario, RunScenario(scenario) };
  CHECK(FormatCsv({ &first, 1 }) != FormatCsv({ &other, 1 }));
}

} // namespace boragepier::bench
