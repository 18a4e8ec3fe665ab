#include "boragepier/control/fleet_fixture.h"

#include <CppUTest/TestHarness.h>

namespace boragepier::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time within which an accepted configuration and a departure are known everywhere.
constexpr Duration kKnownEverywhere = seconds(3);
constexpr int kInstances = 15;
constexpr std::uint64_t kSeeds = 20;

const Network kBadNetwork{ 0.2, 0.1, milliseconds(1), milliseconds(200) };

} // namespace

TEST_GROUP(Fleet){
  // Runs a scenario on fleets with different seeds, on a good and on a bad network.
  static void ForAllSeeds(const std::function<void(Fleet&)>& aScenario){
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed){ Fleet fleet(seed);
fleet.network_ = seed % 2 == 0 ? kBadNetwork : Network{};
fleet.Publish("stock");
fleet.AddUpstream("u-1", "stock");
fleet.AddUpstream("u-2", "stock");
fleet.StartAll(kInstances);
fleet.clock_.RunFor(seconds(20));
const std::string context = "seed " + std::to_string(seed);
CHECK_TRUE_TEXT(AllHave(fleet, "stock", 1) == Duration::zero(), context.c_str());
aScenario(fleet);
CHECK_TRUE_TEXT(fleet.violations_.empty(), context.c_str());
}
}

static Duration
AllHave(Fleet& aFleet, const std::string& aService, std::uint64_t aVersion)
{
  return aFleet.Until(kKnownEverywhere, [&](const Instance& aInstance) {
    return aInstance.VersionOf(aService) >= aVersion;
  });
}

static Duration
AllKnowLeaving(Fleet& aFleet, const std::string& aId)
{
  return aFleet.Until(kKnownEverywhere,
                      [&](const Instance& aInstance) { return aInstance.KnowsLeaving(aId, 1); });
}
}
;

// Guards against a record in the store that takes long to reach instances that do not poll.
TEST(Fleet, APublishedRecordReachesAllFromTheStore)
{
  ForAllSeeds([](Fleet& aFleet) {
    aFleet.Publish("stock");
    CHECK(AllHave(aFleet, "stock", 2) <= kKnownEverywhere);
  });
}

// Guards against a record that is lost when the store fails right after accepting it.
TEST(Fleet, ARecordThatOnlyOneInstanceHasReachesAllWithoutTheStore)
{
  ForAllSeeds([](Fleet& aFleet) {
    const ConfigRecord record = aFleet.Publish("stock");
    aFleet.storeDown_ = true;
    aFleet.listDown_ = true;
    CHECK(aFleet.instances_[7]->plane_.Announce(record));
    CHECK(AllHave(aFleet, "stock", 2) <= kKnownEverywhere);
  });
}

// Guards against an instance that stays without configuration, upstreams or departures while the
// store and the list are down.
TEST(Fleet, AnInstanceThatStartsWithoutTheStoreIsServedByPeers)
{
  ForAllSeeds([](Fleet& aFleet) {
    aFleet.storeDown_ = true;
    aFleet.listDown_ = true;
    aFleet.instances_[4]->plane_.ReportLeaving(UpstreamId("u-1"), 1);
    CHECK(AllKnowLeaving(aFleet, "u-1") <= kKnownEverywhere);
    aFleet.Kill(9);
    aFleet.clock_.RunFor(seconds(5));
    aFleet.Start(9);
    CHECK(!aFleet.instances_[9]->plane_.Ready());
    CHECK(AllHave(aFleet, "stock", 1) <= kKnownEverywhere);
    CHECK(AllKnowLeaving(aFleet, "u-1") <= kKnownEverywhere);
    const auto hasOther = [](const Instance& aInstance) {
      return aInstance.FindUpstream("u-2") != nullptr;
    };
    CHECK(aFleet.Until(kKnownEverywhere, hasOther) <= kKnownEverywhere);
    CHECK(!aFleet.instances_[9]->FindUpstream("u-2")->leaving_);
    aFleet.Start(kInstances + 1); // known to no list
    CHECK(AllHave(aFleet, "stock", 1) <= kKnownEverywhere);
    CHECK(AllKnowLeaving(aFleet, "u-1") <= kKnownEverywhere);
  });
}

// Guards against a side of a partition that steps back, or that stays behind after it heals.
TEST(Fleet, APartitionThatHealsBringsTheNewerVersionToBothSides)
{
  ForAllSeeds([](Fleet& aFleet) {
    for (int i = 1; i <= kInstances; ++i) {
      aFleet.group_[i] = i % 2;
    }
    aFleet.storeGroups_ = { 0 };
    aFleet.Publish("stock");
    aFleet.instances_[1]->plane_.ReportLeaving(UpstreamId("u-2"), 1);
    aFleet.clock_.RunFor(seconds(40));
    CHECK_EQUAL(2U, aFleet.instances_[2]->VersionOf("stock"));
    CHECK_EQUAL(1U, aFleet.instances_[1]->VersionOf("stock"));
    CHECK(!aFleet.instances_[2]->KnowsLeaving("u-2", 1));
    aFleet.group_.clear();
    CHECK(AllHave(aFleet, "stock", 2) <= kKnownEverywhere);
    CHECK(AllKnowLeaving(aFleet, "u-2") <= kKnownEverywhere);
  });
}

// Guards against new work for a leaving upstream because the signal came through one channel only.
TEST(Fleet, ADepartureIsKnownEverywhereWhicheverSignalArrivesFirst)
{
  ForAllSeeds([](Fleet& aFleet) {
    aFleet.FindListed("u-1")->leaving_ = true; // the list
    CHECK(AllKnowLeaving(aFleet, "u-1") <= kKnownEverywhere);
    aFleet.storeDown_ = true;
    aFleet.listDown_ = true;
    aFleet.instances_[2]->plane_.ReportLeaving(UpstreamId("u-2"), 1); // an answer or a refusal
    CHECK(AllKnowLeaving(aFleet, "u-2") <= kKnownEverywhere);
  });
}

// Guards against a departed start that comes back after 60 s because the list shows what it showed
// before, and against a new start that is taken for the departed one.
TEST(Fleet, ADepartureHoldsWhileTheListIsDownAndEndsWithANewStart)
{
  ForAllSeeds([](Fleet& aFleet) {
    aFleet.listDown_ = true;
    aFleet.instances_[2]->plane_.ReportLeaving(UpstreamId("u-2"), 1);
    aFleet.clock_.RunFor(seconds(200));
    CHECK(AllKnowLeaving(aFleet, "u-2") == Duration::zero());
    aFleet.FindListed("u-2")->startNumber_ = 2;
    aFleet.listDown_ = false;
    const auto usable = [](const Instance& aInstance) {
      return !aInstance.FindUpstream("u-2")->leaving_;
    };
    CHECK(aFleet.Until(seconds(5), usable) <= seconds(5));
  });
}

// Guards against an upstream that is lost for good after a false signal.
TEST(Fleet, AFalseDepartureEndsAfterAMinuteIfTheListShowsTheUpstream)
{
  ForAllSeeds([](Fleet& aFleet) {
    aFleet.instances_[2]->plane_.ReportLeaving(UpstreamId("u-2"), 1);
    aFleet.clock_.RunFor(seconds(50));
    CHECK(AllKnowLeaving(aFleet, "u-2") == Duration::zero());
    const auto usable = [](const Instance& aInstance) {
      return !aInstance.FindUpstream("u-2")->leaving_;
    };
    CHECK(aFleet.Until(seconds(30), usable) <= seconds(30));
    aFleet.violations_.clear(); // the return is intended here
  });
}

// Guards against instances that keep counting on one that is shutting down.
TEST(Fleet, AnInstanceThatShutsDownIsNoLongerCounted)
{
  ForAllSeeds([](Fleet& aFleet) {
    aFleet.instances_[5]->plane_.BeginShutdown();
    const auto gone = [](const Instance& aInstance) {
      return aInstance.number_ == 5 || aInstance.table_->instances_.size() == kInstances - 1;
    };
    CHECK(aFleet.Until(kKnownEverywhere, gone) <= kKnownEverywhere);
  });
}

} // namespace boragepier::fleet
