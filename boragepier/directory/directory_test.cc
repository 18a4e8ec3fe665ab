#include <map>
#include <memory>

#include "boragepier/directory/directory_fakes.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

constexpr MonotonicTime kStart{ std::chrono::hours(1) };

} // namespace

TEST_GROUP(DirectoryState)
{
  DirectoryState state_{ InstanceId("i-1"), FleetSettings{} };

  void ApplyItem(const DecodedFeedRow& aItem, MonotonicTime aNow)
  {
    state_.ApplyChanges(std::span(&aItem, 1), aNow);
  }
  void ApplyConfig(std::uint64_t aVersion)
  {
    state_.ApplyConfigParts(DivideConfig(MakeConfig(aVersion), aVersion));
    state_.ActivateConfig(0);
  }
  std::size_t UpstreamCount() const
  {
    const auto table = state_.MakeRoutingTable();
    return table->services_.empty() ? 0 : table->services_[0].upstreams_.size();
  }
  void setup() override
  {
    ApplyConfig(5);
  }
};

// Guards against a delayed answer of the store that restores an older configuration.
TEST(DirectoryState, ConfigVersionNeverDecreases)
{
  ApplyConfig(9);
  ApplyConfig(7);
  CHECK_EQUAL(9, state_.ConfigVersion());
  CHECK_EQUAL(9, state_.MakeRoutingTable()->routesVersion_);
}

// Guards against a part that cannot be decoded and leaves the others in force with a new version.
TEST(DirectoryState, UnreadablePartKeepsTheCurrentConfig)
{
  auto parts = DivideConfig(MakeConfig(9), 9);
  parts.front().value_.resize(parts.front().value_.size() / 2);
  state_.ApplyConfigParts(parts);
  state_.ActivateConfig(0);
  CHECK_EQUAL(5, state_.ConfigVersion());
  CHECK_EQUAL(1, state_.MakeRoutingTable()->routes_->Size());
  ApplyConfig(9);
  CHECK_EQUAL(9, state_.ConfigVersion());
}

TEST(DirectoryState, RemovalWithoutAnOutageTakesEffectAtOnce)
{
  ApplyItem(UpstreamItem("u-1"), kStart);
  ApplyItem(UpstreamItem("u-2"), kStart);
  CHECK_EQUAL(2, UpstreamCount());
  ApplyItem({ "u-1", RemovedEntry{} }, kStart);
  CHECK_EQUAL(1, UpstreamCount());
}

// Guards against an outage of the store that takes live upstreams out of service.
TEST(DirectoryState, EntriesThatExpiredInAnOutageAreKeptForTheGracePeriod)
{
  ApplyItem(UpstreamItem("u-1"), kStart);
  ApplyItem(UpstreamItem("u-2"), kStart);
  state_.OnUpstreamsObserved(kStart, kStart);
  const MonotonicTime outageEnd = kStart + std::chrono::seconds(20);
  state_.OnUpstreamsObserved(outageEnd, outageEnd);
  ApplyItem({ "u-1", RemovedEntry{} }, outageEnd);
  ApplyItem({ "u-2", RemovedEntry{} }, outageEnd);
  CHECK_EQUAL(2, UpstreamCount());
  ApplyItem(UpstreamItem("u-1"), outageEnd + std::chrono::milliseconds(1900));
  state_.RemoveMissing(outageEnd + DirectoryState::kReregistrationGrace);
  CHECK_EQUAL(1, UpstreamCount());
  CHECK(!state_.NextRemoval());
}

// Guards against requests to an upstream that shut down during an outage of the store.
TEST(DirectoryState, LeavingUpstreamIsRemovedAfterAnOutageWithoutGracePeriod)
{
  ApplyItem(UpstreamItem("u-1", true), kStart);
  state_.OnUpstreamsObserved(kStart, kStart);
  const MonotonicTime outageEnd = kStart + std::chrono::seconds(20);
  state_.OnUpstreamsObserved(outageEnd, outageEnd);
  ApplyItem({ "u-1", RemovedEntry{} }, outageEnd);
  CHECK_EQUAL(0, UpstreamCount());
}

// Guards against requests to an upstream that shut down during an outage of the store that was too
// short for entries to expire.
TEST(DirectoryState, RemovalAfterABriefOutageTakesEffectAtOnce)
{
  ApplyItem(UpstreamItem("u-1"), kStart);
  state_.OnUpstreamsObserved(kStart, kStart);
  const MonotonicTime outageEnd = kStart + std::chrono::milliseconds(2900);
  state_.OnUpstreamsObserved(outageEnd, outageEnd);
  ApplyItem({ "u-1", RemovedEntry{} }, outageEnd);
  CHECK_EQUAL(0, UpstreamCount());
}

// Guards against a second outage that takes upstreams out of service which had not registered again
// since the first.
TEST(DirectoryState, GracePeriodRestartsAfterASecondOutage)
{
  ApplyItem(UpstreamItem("u-1"), kStart);
  state_.OnUpstreamsObserved(kStart, kStart);
  MonotonicTime outageEnd = kStart + std::chrono::seconds(20);
  state_.OnUpstreamsObserved(outageEnd, outageEnd);
  ApplyItem({ "u-1", RemovedEntry{} }, outageEnd);
  outageEnd += std::chrono::milliseconds(2400);
  state_.OnUpstreamsObserved(outageEnd, outageEnd);
  state_.RemoveMissing(outageEnd + std::chrono::milliseconds(200));
  CHECK_EQUAL(1, UpstreamCount());
  state_.RemoveMissing(outageEnd + DirectoryState::kReregistrationGrace);
  CHECK_EQUAL(0, UpstreamCount());
}

// Guards against requests to an upstream that left while this instance was cut off: it takes its
// own gap for an outage until it learns that another instance has observed the store in that time.
TEST(DirectoryState, GracePeriodEndsIfAnotherInstanceSawNoOutage)
{
  ApplyItem(UpstreamItem("u-1"), kStart);
  state_.OnUpstreamsObserved(kStart, kStart);
  const MonotonicTime gapEnd = kStart + std::chrono::seconds(8);
  state_.OnUpstreamsObserved(gapEnd, gapEnd);
  ApplyItem({ "u-1", RemovedEntry{} }, gapEnd);
  CHECK_EQUAL(1, UpstreamCount());
  state_.OnObservedElsewhere(kStart - std::chrono::seconds(9), gapEnd, gapEnd);
  CHECK_EQUAL(0, UpstreamCount());
  CHECK(!state_.InGracePeriod(gapEnd));
}

// Guards against upstreams that are dropped right after a restore because another instance has
// observed the store all the time.
TEST(DirectoryState, GracePeriodOfARestoreIsNotEndedByAnotherInstance)
{
  ApplyItem(UpstreamItem("u-1"), kStart);
  state_.OnUpstreamsObserved(kStart, kStart);
  const MonotonicTime restored = kStart + std::chrono::milliseconds(500);
  state_.OnStoreRestored(1);
  state_.OnUpstreamsObserved(restored, restored);
  ApplyItem({ "u-1", RemovedEntry{} }, restored);
  state_.OnObservedElsewhere(kStart - std::chrono::seconds(9), restored, restored);
  CHECK_EQUAL(1, UpstreamCount());
  state_.RemoveMissing(restored + DirectoryState::kReregistrationGrace);
  CHECK_EQUAL(0, UpstreamCount());
}

// Guards against a lower version that is refused in a newer era, and against one that is accepted
// within an era.
TEST(DirectoryState, ConfigVersionMayBeLowerInANewerEraOnly)
{
  state_.ApplyConfigParts(DivideConfig(MakeConfig(3), 3));
  state_.ActivateConfig(1);
  CHECK_EQUAL(3, state_.ConfigVersion());
  state_.ApplyConfigParts(DivideConfig(MakeConfig(2), 4));
  state_.ActivateConfig(1);
  CHECK_EQUAL(3, state_.ConfigVersion());
  // The same version with another content.
  state_.ApplyConfigParts(DivideConfig(MakeConfig(3, 2), 5));
  state_.ActivateConfig(2);
  CHECK_EQUAL(2, state_.MakeRoutingTable()->routes_->Size());
}

TEST(DirectoryState, GracePeriodStaysIfTheOtherInstanceMissedAPartOfTheGap)
{
  ApplyItem(UpstreamItem("u-1"), kStart);
  state_.OnUpstreamsObserved(kStart, kStart);
  const MonotonicTime gapEnd = kStart + std::chrono::seconds(8);
  state_.OnUpstreamsObserved(gapEnd, gapEnd);
  ApplyItem({ "u-1", RemovedEntry{} }, gapEnd);
  // Began to observe too late, and stopped too early.
  state_.OnObservedElsewhere(kStart + std::chrono::seconds(3), gapEnd, gapEnd);
  state_.OnObservedElsewhere(kStart, gapEnd - std::chrono::seconds(3), gapEnd);
  CHECK_EQUAL(1, UpstreamCount());
  CHECK(state_.InGracePeriod(gapEnd));
}

TEST(DirectoryState, ObservationsOfAnotherInstanceContinueThoseOfThisOne)
{
  state_.OnUpstreamsObserved(kStart, kStart);
  const MonotonicTime later = kStart + std::chrono::seconds(8);
  state_.OnObservedElsewhere(kStart - std::chrono::seconds(9), later, later);
  state_.OnUpstreamsObserved(later, later);
  CHECK(!state_.InGracePeriod(later));
  CHECK(state_.ObservedSince() == kStart - std::chrono::seconds(9));
}

TEST(DirectoryState, UnreadableEntryRemovesOnlyItsOwnUpstream)
{
  ApplyItem(UpstreamItem("u-1"), kStart);
  ApplyItem({ "u-2", UnreadableEntry{ "broken" } }, kStart);
  CHECK_EQUAL(1, UpstreamCount());
  ApplyItem({ "u-1", UnreadableEntry{ "overwritten" } }, kStart);
  CHECK_EQUAL(0, UpstreamCount());
}

TEST(DirectoryState, FleetSettingsAreAppliedToTheServices)
{
  state_.SetFleetSettings({ 0.3, 12, std::chrono::seconds(4), 33 });
  const auto table = state_.MakeRoutingTable();
  DOUBLES_EQUAL(0.3, table->services_[0].config_.retryRatio_, 0);
  DOUBLES_EQUAL(12, table->services_[0].config_.retrySlack_, 0);
  DOUBLES_EQUAL(33, table->services_[0].config_.probesPerUpstreamSecond_, 0);
  CHECK_EQUAL(1, table->services_[0].settingsVersion_);
}

TEST_GROUP(FeedMirror)
{
  FeedMirror mirror_;
};

// Guards against an instance that never learns of the removal of an entry if the store no longer
// has the history of changes and the instance reads a snapshot instead.
TEST(FeedMirror, RowsMissingFromASnapshotAreMarkedAsRemoved)
{
  mirror_.ApplySnapshot(std::vector{ MakeRow("a", 3), MakeRow("b", 4) }, 5);
  const auto changed = mirror_.ApplySnapshot(std::vector{ MakeRow("a", 3) }, 9);
  CHECK_EQUAL(1, changed.size());
  CHECK(changed[0].removed_);
  const auto since = mirror_.ChangesSince(5, 1000);
  CHECK_EQUAL(1, since.rows_.size());
  CHECK(since.rows_[0].key_ == "b");
  CHECK_EQUAL(9, since.position_);
}

// Guards against an outdated answer that reverts later changes.
TEST(FeedMirror, OlderPositionsAndVersionsAreIgnored)
{
  mirror_.ApplyChanges(std::vector{ MakeRow("a", 8, "new") }, 8);
  CHECK(mirror_.ApplySnapshot(std::vector{ MakeRow("a", 3, "old") }, 5).empty());
  CHECK(mirror_.ApplyChanges(std::vector{ MakeRow("a", 3, "old") }, 9).empty());
  CHECK(mirror_.ChangesSince(0, 1000).rows_[0].value_ == "new");
}

// Guards against a partial result whose position claims more rows than it has, or that splits a
// transaction.
TEST(FeedMirror, SizeLimitSplitsOnlyBetweenVersions)
{
  const std::string large(100, 'x');
  mirror_.ApplyChanges(std::vector{ MakeRow("a", 1, large),
                                    MakeRow("b", 2, large),
                                    MakeRow("c", 2, large),
                                    MakeRow("d", 3, large) },
                       7);
  const auto first = mirror_.ChangesSince(0, 150);
  CHECK_EQUAL(1, first.rows_.size());
  CHECK_EQUAL(1, first.position_);
  const auto second = mirror_.ChangesSince(1, 50);
  CHECK_EQUAL(2, second.rows_.size());
  CHECK_EQUAL(2, second.position_);
  CHECK_EQUAL(7, mirror_.ChangesSince(2, 150).position_);
}

TEST_GROUP(DirectoryWatch)
{
  FakeScheduler scheduler_;
  FakeStore store_{ scheduler_ };
  FakeNetwork network_{ scheduler_ };
  std::vector<std::unique_ptr<FakeInstance>> instances_;

  // Instance i-0 has the largest capacity and is the root of the relay tree.
  void StartAll(int aCount)
  {
    store_.Put(FeedTopic::Configuration, "config", "1");
    for (int i = 0; i < aCount; ++i) {
      Start(i);
    }
    RunFor(std::chrono::seconds(5));
  }

  FakeInstance& Make(int aIndex, const std::string& aZone = "z")
  {
    const InstanceEntry entry{
      InstanceId("i-" + std::to_string(aIndex)), "127.0.0.1", 7, 100.0 - aIndex, ZoneName(aZone)
    };
    instances_.push_back(std::make_unique<FakeInstance>(
      scheduler_, store_, network_, entry, static_cast<std::uint64_t>(100 - aIndex)));
    return *instances_.back();
  }

  FakeInstance& Start(int aIndex, const std::string& aZone = "z")
  {
    FakeInstance& instance = Make(aIndex, aZone);
    instance.watch_.Start(false);
    return instance;
  }

  void RunFor(Duration aDuration)
  {
    scheduler_.Advance(aDuration);
  }

  void CheckConfigVersion(std::uint64_t aVersion)
  {
    for (const auto& instance : instances_) {
      CHECK_EQUAL(aVersion, instance->watch_.State().ConfigVersion());
    }
  }

  int TotalCalls()
  {
    int calls = 0;
    for (const auto& [id, count] : store_.callCounts_) {
      calls += count;
    }
    return calls;
  }
};

// Guards against a removed or unreadable configuration entry that empties the routing table.
TEST(DirectoryWatch, RemovedOrUnreadableConfigEntryKeepsTheCurrentConfig)
{
  StartAll(4);
  store_.Put(FeedTopic::Configuration, "config", {});
  RunFor(std::chrono::seconds(2));
  CheckConfigVersion(1);
  store_.Remove(FeedTopic::Configuration, "config");
  RunFor(std::chrono::seconds(2));
  CheckConfigVersion(1);
  Start(4);
  RunFor(std::chrono::seconds(2));
  for (const auto& instance : instances_) {
    const auto table = instance->watch_.State().MakeRoutingTable();
    CHECK(table->routes_ && table->routes_->Size() == 1);
  }
  store_.Put(FeedTopic::Configuration, "config", "2");
  RunFor(std::chrono::seconds(2));
  CheckConfigVersion(2);
}

// Guards against an evacuation that reaches only those who read the store, and against one that a
// new configuration ends.
TEST(DirectoryWatch, EvacuationsReachAllInstancesAndEndWithTheirRow)
{
  store_.Put(FeedTopic::Upstreams, "u-1", {});
  StartAll(16);
  const ZoneName zone =
    instances_[0]->watch_.State().MakeRoutingTable()->services_.at(0).upstreams_.at(0).zone_;
  const auto checkEvacuated = [&](bool aEvacuated) {
    for (const auto& instance : instances_) {
      const auto table = instance->watch_.State().MakeRoutingTable();
      CHECK_EQUAL(aEvacuated ? 1U : 0U, table->evacuatedZones_.size());
      CHECK_EQUAL(aEvacuated, table->services_.at(0).upstreams_.at(0).evacuated_);
    }
  };
  checkEvacuated(false);
  store_.Put(FeedTopic::Evacuations, zone.Text(), {});
  RunFor(std::chrono::seconds(1));
  checkEvacuated(true);
  store_.Put(FeedTopic::Configuration, "config", "2");
  RunFor(std::chrono::seconds(1));
  CheckConfigVersion(2);
  checkEvacuated(true);
  Start(16);
  RunFor(std::chrono::seconds(1));
  checkEvacuated(true);
  store_.Remove(FeedTopic::Evacuations, zone.Text());
  RunFor(std::chrono::seconds(1));
  checkEvacuated(false);
}

// Guards against an evacuation that is late for some of a large fleet, or that instances on
// different sources learn of out of order.
TEST(DirectoryWatch, EvacuationsReachALargeFleetWithinASecond)
{
  constexpr int kInstances = 100;
  constexpr int kZones = 4;
  const Duration limit = std::chrono::seconds(1);
  store_.Put(FeedTopic::Configuration, "config", "1");
  store_.Put(FeedTopic::Upstreams, "u-1", {});
  for (int i = 0; i < kInstances; ++i) {
    Start(i, "z-" + std::to_string(i % kZones));
  }
  RunFor(std::chrono::seconds(10));
  // The store is silent for some, which learn everything from others.
  for (int i = 1; i < kInstances; i += 3) {
    store_.unansweredInstances_.insert(InstanceId("i-" + std::to_string(i)));
  }
  RunFor(std::chrono::seconds(6));
  const auto checkZones = [&](const std::vector<ZoneName>& aZones) {
    for (const auto& instance : instances_) {
      CHECK(instance->watch_.State().MakeRoutingTable()->evacuatedZones_ == aZones);
    }
  };
  store_.Put(FeedTopic::Evacuations, "z-1", {});
  RunFor(limit);
  checkZones({ ZoneName("z-1") });
  // The end and the start of another one follow each other faster than they are passed on.
  store_.Remove(FeedTopic::Evacuations, "z-1");
  RunFor(std::chrono::milliseconds(30));
  store_.Put(FeedTopic::Evacuations, "z-2", {});
  RunFor(std::chrono::milliseconds(30));
  store_.Put(FeedTopic::Evacuations, "z-1", {});
  RunFor(std::chrono::milliseconds(30));
  store_.Remove(FeedTopic::Evacuations, "z-2");
  RunFor(limit);
  checkZones({ ZoneName("z-1") });
  store_.Remove(FeedTopic::Evacuations, "z-1");
  RunFor(limit);
  checkZones({});
}

// Guards against an instance that starts while the store is silent for it and sends requests to an
// evacuated zone until it learns of the evacuation.
TEST(DirectoryWatch, FirstRoutingTableHoldsTheEvacuations)
{
  store_.Put(FeedTopic::Upstreams, "u-1", {});
  StartAll(4);
  store_.Put(FeedTopic::Evacuations, "z", {});
  RunFor(std::chrono::seconds(1));
  FakeInstance& added = Make(4);
  std::vector<std::shared_ptr<const RoutingTable>> tables;
  added.watch_.OnRoutingChanged([&](auto aTable) { tables.push_back(std::move(aTable)); });
  added.watch_.Start(false);
  // It reads the list of instances, and no more.
  RunFor(std::chrono::milliseconds(5));
  store_.unansweredInstances_.insert(InstanceId("i-4"));
  RunFor(std::chrono::seconds(3));
  CHECK(!tables.empty());
  for (const auto& table : tables) {
    CHECK(table->evacuatedZones_ == std::vector{ ZoneName("z") });
    CHECK_EQUAL(1U, table->services_.size());
    CHECK_EQUAL(1U, table->services_.at(0).upstreams_.size());
  }
}

// Guards against requests that are refused because the configuration is read before the upstreams,
// and against thousands of log lines at the start.
TEST(DirectoryWatch, FirstStateIsPublishedAndLoggedAsAWhole)
{
  constexpr std::size_t kUpstreams = 600; // two pages
  store_.Put(FeedTopic::Configuration, "config", "1");
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    store_.Put(FeedTopic::Upstreams, "u-" + std::to_string(i), {});
  }
  FakeInstance& root = Make(0);
  std::vector<std::shared_ptr<const RoutingTable>> tables;
  std::vector<DirectoryEvent> events;
  root.watch_.OnRoutingChanged([&](auto aTable) { tables.push_back(std::move(aTable)); });
  root.watch_.OnEvent([&](const DirectoryEvent& aEvent) { events.push_back(aEvent); });
  root.watch_.Start(false);
  RunFor(std::chrono::seconds(1));
  CHECK(!tables.empty());
  CHECK_EQUAL(kUpstreams, tables.front()->services_.at(0).upstreams_.size());
  const auto count = [&](DirectoryEventType aType) {
    return std::count_if(events.begin(), events.end(), [&](const DirectoryEvent& aEvent) {
      return aEvent.type_ == aType;
    });
  };
  CHECK_EQUAL(1, count(DirectoryEventType::Loaded));
  CHECK_EQUAL(0, count(DirectoryEventType::UpstreamAdded));
  store_.Put(FeedTopic::Upstreams, "u-new", {});
  RunFor(std::chrono::seconds(1));
  CHECK_EQUAL(1, count(DirectoryEventType::Loaded));
  CHECK_EQUAL(1, count(DirectoryEventType::UpstreamAdded));
}

// Guards against a zone that stays empty for an instance that missed the end of its evacuation.
TEST(DirectoryWatch, EndOfAnEvacuationReachesAnInstanceThatWasCutOff)
{
  store_.Put(FeedTopic::Evacuations, "z-1", {});
  StartAll(4);
  const InstanceId cutOff("i-2");
  network_.isolated_ = { cutOff };
  store_.unansweredInstances_ = { cutOff };
  store_.Remove(FeedTopic::Evacuations, "z-1");
  store_.Put(FeedTopic::Evacuations, "z-2", {});
  RunFor(std::chrono::seconds(5));
  CHECK(instances_[2]->watch_.State().MakeRoutingTable()->evacuatedZones_ ==
        std::vector{ ZoneName("z-1") });
  network_.isolated_.clear();
  store_.unansweredInstances_.clear();
  RunFor(std::chrono::seconds(3));
  CHECK(instances_[2]->watch_.State().MakeRoutingTable()->evacuatedZones_ ==
        std::vector{ ZoneName("z-2") });
}

// Guards against requests to removed upstreams if some instances cannot reach the store but others
// can.
TEST(DirectoryWatch, RemovedUpstreamIsNotKeptIfOnlySomeInstancesLoseTheStore)
{
  store_.Put(FeedTopic::Upstreams, "u-1", {});
  StartAll(16);
  store_.unansweredInstances_ = { InstanceId("i-0"), InstanceId("i-1") };
  RunFor(std::chrono::seconds(2));
  store_.Remove(FeedTopic::Upstreams, "u-1");
  RunFor(std::chrono::milliseconds(2000));
  for (std::size_t i = 2; i < instances_.size(); ++i) {
    CHECK_EQUAL(
      0, instances_[i]->watch_.State().MakeRoutingTable()->services_.at(0).upstreams_.size());
  }
}

// Guards against an upstream that an instance uses for good after it has left: the root restarts,
// so that the rows it reads do not tell of the removal, while a follower cannot reach the store.
// The follower must know kContactTime after it reaches the store again.
TEST(DirectoryWatch, RemovalDuringARestartOfTheRootReachesAFollowerThatWasCutOff)
{
  constexpr Duration kContactTime = std::chrono::milliseconds(3000);
  for (int i = 0; i < 300; ++i) { // more rows than fit into one message
    store_.Put(FeedTopic::Upstreams, "u-" + std::to_string(i), std::string(200, 'x'));
  }
  StartAll(4);
  const auto& follower = *instances_[1];
  const auto upstreamCount = [&] {
    return follower.watch_.State().MakeRoutingTable()->services_.at(0).upstreams_.size();
  };
  CHECK_EQUAL(300, upstreamCount());
  instances_[0]->Stop(false);
  for (int i = 1; i < 4; ++i) {
    store_.unansweredInstances_.insert(InstanceId("i-" + std::to_string(i)));
  }
  RunFor(std::chrono::milliseconds(500));
  store_.Remove(FeedTopic::Upstreams, "u-7");
  RunFor(std::chrono::milliseconds(500));
  Start(0);
  RunFor(std::chrono::seconds(4));
  store_.unansweredInstances_.clear();
  RunFor(kContactTime);
  CHECK_EQUAL(299, upstreamCount());
  CHECK(follower.watch_.State().MakeRoutingTable()->instances_.size() == 4);
}

// Guards against requests to an upstream that left while an instance was cut off from the store and
// from the other instances, kContactTime after the cut, whatever reaches it first.
TEST(DirectoryWatch, UpstreamThatLeftDuringACutIsNotKeptForTheGracePeriod)
{
  constexpr Duration kContactTime = std::chrono::milliseconds(3000);
  StartAll(16);
  for (int round = 0; round < 40; ++round) {
    const std::size_t index = round % 2 == 0 ? 7 : 0; // a leaf and the root of the relay tree
    const InstanceId cutOff("i-" + std::to_string(index));
    const std::string upstream = "u-" + std::to_string(round);
    store_.Put(FeedTopic::Upstreams, upstream, {});
    RunFor(std::chrono::seconds(2));
    network_.isolated_ = { cutOff };
    store_.unansweredInstances_ = { cutOff };
    RunFor(std::chrono::milliseconds(3500 + 85 * round));
    store_.Remove(FeedTopic::Upstreams, upstream);
    RunFor(std::chrono::seconds(1));
    network_.isolated_ = {};
    store_.unansweredInstances_ = {};
    RunFor(kContactTime);
    CHECK_EQUAL(
      0, instances_[index]->watch_.State().MakeRoutingTable()->services_.at(0).upstreams_.size());
    RunFor(std::chrono::seconds(8));
  }
}

// Guards against an outage of the store that is overlooked because an instance was cut off as well:
// the upstreams whose entries expired in the outage must be kept.
TEST(DirectoryWatch, UpstreamsThatExpireInAnOutageDuringACutAreKept)
{
  store_.Put(FeedTopic::Upstreams, "u-1", {});
  StartAll(16);
  network_.isolated_ = { InstanceId("i-7") };
  store_.unansweredInstances_ = { InstanceId("i-7") };
  RunFor(std::chrono::seconds(4));
  for (int i = 0; i < 16; ++i) {
    store_.unansweredInstances_.insert(InstanceId("i-" + std::to_string(i)));
  }
  RunFor(std::chrono::seconds(6));
  store_.Remove(FeedTopic::Upstreams, "u-1");
  store_.unansweredInstances_.clear();
  network_.isolated_ = {};
  RunFor(std::chrono::milliseconds(2400));
  for (const auto& instance : instances_) {
    CHECK_EQUAL(1, instance->watch_.State().MakeRoutingTable()->services_.at(0).upstreams_.size());
  }
}

// Guards against instances that drop upstreams whose entries expired in an outage of the store,
// whether they learn of it from the store or from another instance.
TEST(DirectoryWatch, AllInstancesKeepExpiredUpstreamsAfterAnOutage)
{
  store_.Put(FeedTopic::Upstreams, "u-1", {});
  StartAll(16);
  for (int i = 0; i < 16; ++i) {
    store_.unansweredInstances_.insert(InstanceId("i-" + std::to_string(i)));
  }
  RunFor(std::chrono::seconds(6));
  store_.Remove(FeedTopic::Upstreams, "u-1");
  store_.unansweredInstances_.clear();
  RunFor(std::chrono::milliseconds(2400));
  for (const auto& instance : instances_) {
    CHECK_EQUAL(1, instance->watch_.State().MakeRoutingTable()->services_.at(0).upstreams_.size());
  }
  RunFor(std::chrono::seconds(5));
  for (const auto& instance : instances_) {
    CHECK_EQUAL(0, instance->watch_.State().MakeRoutingTable()->services_.at(0).upstreams_.size());
  }
}

// Guards against delayed PeerStoreUpdate messages that count as fresh, so that a change in the
// store is missed.
TEST(DirectoryWatch, DelayedStoreUpdatesDoNotConfirmTheData)
{
  StartAll(16);
  network_.delay_ = std::chrono::milliseconds(1500);
  RunFor(std::chrono::seconds(4));
  store_.Put(FeedTopic::Configuration, "config", "2");
  RunFor(std::chrono::milliseconds(2000));
  CheckConfigVersion(2);
}

// Guards against a number of calls to the store that grows with the number of instances.
TEST(DirectoryWatch, OneInstanceReadsTheStoreForAll)
{
  StartAll(16);
  CheckConfigVersion(1);
  const int atStart = TotalCalls();
  RunFor(std::chrono::seconds(20));
  CHECK(TotalCalls() - atStart <= 60); // two topics once a second, and the list of instances
  store_.Put(FeedTopic::Configuration, "config", "2");
  RunFor(std::chrono::milliseconds(50));
  CheckConfigVersion(2);
  CHECK_EQUAL(16, instances_[7]->watch_.State().MakeRoutingTable()->instances_.size());
}

// Guards against subscribers that miss a change because the root lost its connection to the store
// or to the other instances.
TEST(DirectoryWatch, ChangesArriveInTimeWhenTheRootLosesTheStoreOrTheNetwork)
{
  StartAll(16);
  std::uint64_t version = 1;
  const auto changeAndCheck = [&](std::size_t aFirst) {
    store_.Put(FeedTopic::Configuration, "config", std::to_string(++version));
    RunFor(std::chrono::milliseconds(2000));
    for (std::size_t i = aFirst; i < instances_.size(); ++i) {
      CHECK_EQUAL(version, instances_[i]->watch_.State().ConfigVersion());
    }
  };
  store_.unansweredInstances_ = { InstanceId("i-0") };
  changeAndCheck(1);
  RunFor(std::chrono::seconds(5));
  changeAndCheck(1);
  store_.unansweredInstances_ = {};
  RunFor(std::chrono::seconds(5));
  network_.isolated_ = { InstanceId("i-0") };
  changeAndCheck(1);
  network_.isolated_ = {
    InstanceId("i-0"), InstanceId("i-1"), InstanceId("i-2"), InstanceId("i-3")
  };
  changeAndCheck(4);
  network_.isolated_ = {};
  RunFor(std::chrono::seconds(8));
  const int before = TotalCalls();
  changeAndCheck(0);
  RunFor(std::chrono::seconds(8));
  CHECK(TotalCalls() - before <= 40);
}

// Guards against an instance that takes a change long after the store answers it again, because its
// calls of each topic time out and pause one after the other. An instance must have the change
// kContactTime after the end of the disturbance, whenever in its cycle of calls that is.
TEST(DirectoryWatch, InstanceThatWasCutOffTakesChangesSoonAfterTheStoreAnswersAgain)
{
  constexpr Duration kContactTime = std::chrono::milliseconds(3000);
  constexpr Duration kLongestCycle = std::chrono::milliseconds(5000);
  StartAll(16);
  const InstanceId cutOff("i-7");
  std::uint64_t version = 1;
  for (Duration phase{}; phase < kLongestCycle; phase += std::chrono::milliseconds(100)) {
    network_.isolated_ = { cutOff };
    store_.unansweredInstances_ = { cutOff };
    RunFor(std::chrono::seconds(6) + phase);
    const std::string upstream = "u-" + std::to_string(++version);
    store_.Put(FeedTopic::Configuration, "config", std::to_string(version));
    store_.Put(FeedTopic::Upstreams, upstream, {});
    store_.unansweredInstances_ = {};
    RunFor(kContactTime);
    CheckConfigVersion(version);
    CHECK_EQUAL(
      version - 1,
      instances_[7]->watch_.State().MakeRoutingTable()->services_.at(0).upstreams_.size());
    network_.isolated_ = {};
    RunFor(std::chrono::seconds(8));
  }
}

// Guards against all instances calling an unavailable store at a high rate.
TEST(DirectoryWatch, OutageCausesFewCallsAndAllInstancesRecover)
{
  StartAll(16);
  for (int i = 0; i < 16; ++i) {
    store_.unansweredInstances_.insert(InstanceId("i-" + std::to_string(i)));
  }
  RunFor(std::chrono::seconds(4));
  const int before = TotalCalls();
  RunFor(std::chrono::seconds(10));
  CHECK(TotalCalls() - before <= 16 * 2 * 4);
  store_.unansweredInstances_.clear();
  store_.Put(FeedTopic::Configuration, "config", "2");
  RunFor(std::chrono::seconds(5));
  CheckConfigVersion(2);
  CHECK(!instances_[0]->reachabilityReports_.empty());
  CHECK(instances_[0]->reachabilityReports_.back());
}

} // namespace boragepier
