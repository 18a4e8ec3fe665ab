#include "boragepier/control/fleet_fixture.h"

#include <CppUTest/TestHarness.h>

namespace boragepier::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time within which all instances must know an accepted configuration or a departure.
constexpr Duration kPropagationBound = seconds(3);
constexpr int kInstances = 15;
constexpr std::uint64_t kSeeds = 20;

const Network kLossyNetwork{ 0.2, 0.1, milliseconds(1), milliseconds(200) };

} // namespace

TEST_GROUP(Fleet){
  // Runs a scenario on fleets with different seeds, half of them on a lossy network.
  static void ForAllSeeds(const std::function<void(Fleet&)>& aScenario){
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed){ Fleet fleet(seed);
fleet.network_ = seed % 2 == 0 ? kLossyNetwork : Network{};
fleet.Publish("stock");
fleet.AddUpstream("u-1", "stock");
fleet.AddUpstream("u-2", "stock");
fleet.StartAll(kInstances);
fleet.clock_.RunFor(seconds(20));
const std::string context = "seed " + std::to_string(seed);
CHECK_TRUE_TEXT(TimeUntilAllHave(fleet, "stock", 1) == Duration::zero(), context.c_str());
aScenario(fleet);
CHECK_TRUE_TEXT(fleet.violations_.empty(), context.c_str());
}
}

static Duration
TimeUntilAllHave(Fleet& aFleet, const std::string& aService, std::uint64_t aVersion)
{
  return aFleet.RunUntil(kPropagationBound, [&](const Instance& aInstance) {
    return aInstance.ConfigVersionOf(aService) >= aVersion;
  });
}

static Duration
TimeUntilAllKnowLeaving(Fleet& aFleet, const std::string& aId)
{
  return aFleet.RunUntil(kPropagationBound,
                         [&](const Instance& aInstance) { return aInstance.KnowsLeaving(aId, 1); });
}
}
;

// Guards against a configuration that takes too long to reach instances that do not poll.
TEST(Fleet, PublishedConfigReachesAllFromTheStore)
{
  ForAllSeeds([](Fleet& aFleet) {
    aFleet.Publish("stock");
    CHECK(TimeUntilAllHave(aFleet, "stock", 2) <= kPropagationBound);
  });
}

// Guards against a configuration that is lost if the store fails right after accepting it.
TEST(Fleet, ConfigThatOneInstanceHasReachesAllWithoutTheStore)
{
  ForAllSeeds([](Fleet& aFleet) {
    const ConfigRecord record = aFleet.Publish("stock");
    aFleet.storeDown_ = true;
    aFleet.listDown_ = true;
    CHECK(aFleet.instances_[7]->plane_.Announce(record));
    CHECK(TimeUntilAllHave(aFleet, "stock", 2) <= kPropagationBound);
  });
}

// Guards against an instance that gets no configuration, upstreams or departures after a start
// while the store and the list are down.
TEST(Fleet, InstanceThatStartsWithoutTheStoreGetsStateFromPeers)
{
  ForAllSeeds([](Fleet& aFleet) {
    aFleet.storeDown_ = true;
    aFleet.listDown_ = true;
    aFleet.instances_[4]->plane_.ReportLeaving(UpstreamId("u-1"), 1);
    CHECK(TimeUntilAllKnowLeaving(aFleet, "u-1") <= kPropagationBound);
    aFleet.Kill(9);
    aFleet.clock_.RunFor(seconds(5));
    aFleet.Start(9);
    CHECK(!aFleet.instances_[9]->plane_.Ready());
    CHECK(TimeUntilAllHave(aFleet, "stock", 1) <= kPropagationBound);
    CHECK(TimeUntilAllKnowLeaving(aFleet, "u-1") <= kPropagationBound);
    const auto hasOtherUpstream = [](const Instance& aInstance) {
      return aInstance.FindUpstream("u-2") != nullptr;
    };
    CHECK(aFleet.RunUntil(kPropagationBound, hasOtherUpstream) <= kPropagationBound);
    CHECK(!aFleet.instances_[9]->FindUpstream("u-2")->leaving_);
    aFleet.Start(kInstances + 1); // not in the list
    CHECK(TimeUntilAllHave(aFleet, "stock", 1) <= kPropagationBound);
    CHECK(TimeUntilAllKnowLeaving(aFleet, "u-1") <= kPropagationBound);
  });
}

// Guards against an instance that goes back to a lower version during a network partition, or keeps
// an old one after the partition ends.
TEST(Fleet, HealedPartitionHasTheNewerVersionOnBothSides)
{
  ForAllSeeds([](Fleet& aFleet) {
    for (int i = 1; i <= kInstances; ++i) {
      aFleet.partitions_[i] = i % 2;
    }
    aFleet.partitionsWithPlatform_ = { 0 };
    aFleet.Publish("stock");
    aFleet.instances_[1]->plane_.ReportLeaving(UpstreamId("u-2"), 1);
    aFleet.clock_.RunFor(seconds(40));
    CHECK_EQUAL(2U, aFleet.instances_[2]->ConfigVersionOf("stock"));
    CHECK_EQUAL(1U, aFleet.instances_[1]->ConfigVersionOf("stock"));
    CHECK(!aFleet.instances_[2]->KnowsLeaving("u-2", 1));
    aFleet.partitions_.clear();
    CHECK(TimeUntilAllHave(aFleet, "stock", 2) <= kPropagationBound);
    CHECK(TimeUntilAllKnowLeaving(aFleet, "u-2") <= kPropagationBound);
  });
}

// Guards against requests to a leaving upstream by instances that got no signal themselves.
TEST(Fleet, DepartureIsKnownEverywhereFromTheListOrFromAnInstance)
{
  ForAllSeeds([](Fleet& aFleet) {
    aFleet.FindListedProcess("u-1")->leaving_ = true; // signal from the list
    CHECK(TimeUntilAllKnowLeaving(aFleet, "u-1") <= kPropagationBound);
    aFleet.storeDown_ = true;
    aFleet.listDown_ = true;
    aFleet.instances_[2]->plane_.ReportLeaving(UpstreamId("u-2"), 1); // signal from a response
    CHECK(TimeUntilAllKnowLeaving(aFleet, "u-2") <= kPropagationBound);
  });
}

// Guards against a departed start that is used again after 60 s because the list still shows it as
// before, and against a new start that is taken for the departed one.
TEST(Fleet, DepartureLastsWhileTheListIsDownAndEndsWithANewStart)
{
  ForAllSeeds([](Fleet& aFleet) {
    aFleet.listDown_ = true;
    aFleet.instances_[2]->plane_.ReportLeaving(UpstreamId("u-2"), 1);
    aFleet.clock_.RunFor(seconds(200));
    CHECK(TimeUntilAllKnowLeaving(aFleet, "u-2") == Duration::zero());
    aFleet.FindListedProcess("u-2")->startNumber_ = 2;
    aFleet.listDown_ = false;
    const auto usable = [](const Instance& aInstance) {
      return !aInstance.FindUpstream("u-2")->leaving_;
    };
    CHECK(aFleet.RunUntil(seconds(5), usable) <= seconds(5));
  });
}

// Guards against an upstream that is never used again after a false signal.
TEST(Fleet, FalseDepartureEndsAfterAMinuteIfTheListShowsTheUpstream)
{
  ForAllSeeds([](Fleet& aFleet) {
    aFleet.instances_[2]->plane_.ReportLeaving(UpstreamId("u-2"), 1);
    aFleet.clock_.RunFor(seconds(50));
    CHECK(TimeUntilAllKnowLeaving(aFleet, "u-2") == Duration::zero());
    const auto usable = [](const Instance& aInstance) {
      return !aInstance.FindUpstream("u-2")->leaving_;
    };
    CHECK(aFleet.RunUntil(seconds(30), usable) <= seconds(30));
    aFleet.violations_.clear(); // here the upstream is meant to return
  });
}

// Guards against an instance that is shutting down but still counted as live.
TEST(Fleet, InstanceThatShutsDownIsNoLongerCounted)
{
  ForAllSeeds([](Fleet& aFleet) {
    aFleet.instances_[5]->plane_.BeginShutdown();
    const auto notCounted = [](const Instance& aInstance) {
      return aInstance.number_ == 5 || aInstance.table_->instances_.size() == kInstances - 1;
    };
    CHECK(aFleet.RunUntil(kPropagationBound, notCounted) <= kPropagationBound);
  });
}

} // namespace boragepier::fleet
