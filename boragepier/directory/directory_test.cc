#include <map>
#include <memory>
#include <set>

#include "boragepier/directory/directory_watch.h"
#include "boragepier/entry/pipeline_fakes.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

constexpr MonotonicTime kStart{ std::chrono::hours(1) };

FleetConfig
MakeConfig(std::uint64_t aVersion)
{
  FleetConfig config;
  config.version_ = aVersion;
  config.routes_.push_back({ "r", "a.example", "/x/", { { ServiceName("s"), 1 } } });
  config.services_.emplace_back().name_ = ServiceName("s");
  return config;
}

DecodedFeedRow
ConfigItem(std::uint64_t aVersion)
{
  return { "config", MakeConfig(aVersion) };
}

DecodedFeedRow
UpstreamItem(const std::string& aId, bool aLeaving = false)
{
  UpstreamEntry entry;
  entry.service_ = ServiceName("s");
  entry.endpoint_ = { UpstreamId(aId), "127.0.0.1", 80, ZoneName("z"), 1, aLeaving };
  return { aId, entry };
}

// A row of the fake store. The value of a configuration is its version, that of an instance its
// relay capacity; that of an upstream is empty.
FeedRow
MakeRow(const std::string& aKey, std::uint64_t aVersion, const std::string& aValue = {})
{
  return { aKey, aVersion, false, aValue };
}

// Decodes the rows of the fake store.
class RowDecoder
{
public:
  DecodedFeedRow Decode(FeedTopic aTopic, const FeedRow& aRow, MonotonicTime) const
  {
    if (aRow.removed_) {
      return { aRow.key_, RemovedEntry{} };
    }
    switch (aTopic) {
      case FeedTopic::Configuration:
        return ConfigItem(std::stoull(aRow.value_));
      case FeedTopic::Upstreams:
        return UpstreamItem(aRow.key_);
      case FeedTopic::Instances:
        break;
    }
    return { aRow.key_,
             InstanceEntry{ InstanceId(aRow.key_), "127.0.0.1", 7, std::stod(aRow.value_) } };
  }
};

} // namespace

TEST_GROUP(DirectoryState)
{
  DirectoryState state_{ InstanceId("i-1"), FleetSettings{} };

  void ApplyItem(const DecodedFeedRow& aItem, MonotonicTime aNow)
  {
    state_.ApplyChanges(std::span(&aItem, 1), aNow);
  }
  std::size_t UpstreamCount() const
  {
    const auto table = state_.MakeRoutingTable();
    return table->services_.empty() ? 0 : table->services_[0].upstreams_.size();
  }
  void setup() override
  {
    ApplyItem(ConfigItem(5), kStart);
  }
};

// Guards against a delayed answer of the store that restores an older configuration.
TEST(DirectoryState, ConfigVersionNeverDecreases)
{
  ApplyItem(ConfigItem(9), kStart);
  ApplyItem(ConfigItem(7), kStart);
  CHECK_EQUAL(9, state_.ConfigVersion());
  CHECK_EQUAL(9, state_.MakeRoutingTable()->routesVersion_);
}

// Guards against a removed or unreadable configuration entry that empties the routing table.
TEST(DirectoryState, RemovedOrUnreadableConfigEntryKeepsTheCurrentConfig)
{
  ApplyItem({ "config", RemovedEntry{} }, kStart);
  ApplyItem({ "config", UnreadableEntry{ "cut off" } }, kStart);
  CHECK_EQUAL(5, state_.ConfigVersion());
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
  state_.RemoveMissingUpstreams(outageEnd + DirectoryState::kReregistrationGrace);
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
  state_.RemoveMissingUpstreams(outageEnd + std::chrono::milliseconds(200));
  CHECK_EQUAL(1, UpstreamCount());
  state_.RemoveMissingUpstreams(outageEnd + DirectoryState::kReregistrationGrace);
  CHECK_EQUAL(0, UpstreamCount());
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

TEST_GROUP(RelayRole){};

// Guards against a tree in which instances subscribe to each other in a cycle, or one sends to all.
TEST(RelayRole, SourcesRankAboveTheirSubscribersWhoseNumberIsBounded)
{
  std::vector<InstanceEntry> instances;
  instances.reserve(110);
  for (int i = 0; i < 110; ++i) {
    instances.push_back(
      { InstanceId("i-" + std::to_string(i)), "127.0.0.1", 7, i % 3 == 0 ? 200.0 : 10.0 });
  }
  std::map<InstanceId, int> subscriberCounts;
  std::map<InstanceId, InstanceId> sourceOf;
  int roots = 0;
  for (const InstanceEntry& instance : instances) {
    const RelayRole role = ComputeRelayRole(instances, instance.id_, 4);
    roots += role.isRoot_ ? 1 : 0;
    if (!role.isRoot_) {
      ++subscriberCounts[role.sources_[0].id_];
      sourceOf[instance.id_] = role.sources_[0].id_;
      DOUBLES_EQUAL(200, role.sources_[0].relayCapacity_, 0);
    }
  }
  CHECK_EQUAL(1, roots);
  for (const auto& [id, count] : subscriberCounts) {
    CHECK(count <= 11);
  }
  for (auto [id, source] : sourceOf) {
    int depth = 1;
    for (; sourceOf.contains(source); source = sourceOf[source]) {
      CHECK(++depth <= 3);
    }
  }
}

TEST(RelayRole, UnlistedInstanceIsRoot)
{
  CHECK(ComputeRelayRole({}, InstanceId("i"), 4).isRoot_);
}

namespace {

// Carries messages between the instances of one test in virtual time.
class FakeTransport
{
public:
  struct Network
  {
    FakeScheduler& scheduler_;
    std::map<InstanceId, FakeTransport*> transports_;
    std::set<InstanceId> isolated_;
    Duration delay_ = std::chrono::milliseconds(2);
  };

  explicit FakeTransport(Network& aNetwork)
    : network_(aNetwork)
  {
  }

  void Start(const PeerEndpoint& aSelf,
             PeerMessageCallback aOnMessage,
             const PeerUnreachableCallback& /*aOnUnreachable*/)
  {
    self_ = aSelf;
    onMessage_ = std::move(aOnMessage);
    network_.transports_[aSelf.id_] = this;
  }

  std::size_t Send(const PeerEndpoint& aPeer, const PeerMessage& aMessage)
  {
    network_.scheduler_.After(network_.delay_, [this, to = aPeer.id_, aMessage] {
      const auto found = network_.transports_.find(to);
      if (found != network_.transports_.end() && !network_.isolated_.contains(to) &&
          !network_.isolated_.contains(self_.id_)) {
        found->second->onMessage_(self_, aMessage, 1);
      }
    });
    return 1;
  }

  PeerCounters Counters() const { return {}; }

private:
  Network& network_;
  PeerEndpoint self_;
  PeerMessageCallback onMessage_;
};

// State of the store that the instances of one test share.
class FakeStore
{
public:
  explicit FakeStore(FakeScheduler& aScheduler)
    : scheduler_(aScheduler)
  {
  }

  void Put(FeedTopic aTopic, const std::string& aKey, const std::string& aValue)
  {
    const FeedRow row = MakeRow(aKey, ++position_, aValue);
    rows_[aTopic][aKey] = row;
  }

  void Remove(FeedTopic aTopic, const std::string& aKey)
  {
    rows_[aTopic][aKey] = { aKey, ++position_, true, {} };
  }

  std::vector<FeedRow> ChangesSince(FeedTopic aTopic, std::uint64_t aPosition)
  {
    std::vector<FeedRow> rows;
    for (const auto& [key, row] : rows_[aTopic]) {
      if (row.version_ > aPosition) {
        rows.push_back(row);
      }
    }
    return rows;
  }

  FakeScheduler& scheduler_;
  std::uint64_t position_ = 1;
  std::map<FeedTopic, std::map<std::string, FeedRow>> rows_;
  std::map<InstanceId, int> callCounts_;
  std::set<InstanceId> unansweredInstances_; ///< whose calls are never answered
};

// Calls of one instance to the fake store, in virtual time. A call that is not answered fails after
// 1.5 s.
class FakeFeed : public RowDecoder
{
public:
  FakeFeed(FakeStore& aStore, InstanceId aSelf)
    : store_(aStore)
    , self_(std::move(aSelf))
  {
  }

  void Read(FeedTopic aTopic, const FeedCallback& aDone) { Wait(aTopic, 0, Duration(0), aDone); }

  void Wait(FeedTopic aTopic, std::uint64_t aPosition, Duration aWait, const FeedCallback& aDone)
  {
    ++store_.callCounts_[self_];
    Poll(aTopic, aPosition, store_.scheduler_.Now() + aWait, aDone);
  }

  void Register(const InstanceEntry& aInstance, const FeedCallback& aDone)
  {
    ++store_.callCounts_[self_];
    store_.Put(
      FeedTopic::Instances, aInstance.id_.Text(), std::to_string(aInstance.relayCapacity_));
    store_.scheduler_.After(kStoreDelay, [aDone] { aDone({ FeedStatus::Ok, {}, 0, {} }); });
  }

private:
  static constexpr Duration kStoreDelay = std::chrono::milliseconds(4);
  static constexpr Duration kTimeout = std::chrono::milliseconds(1500);

  void Poll(FeedTopic aTopic,
            std::uint64_t aPosition,
            MonotonicTime aUntil,
            const FeedCallback& aDone)
  {
    store_.scheduler_.After(kStoreDelay, [=, this] {
      if (store_.unansweredInstances_.contains(self_)) {
        store_.scheduler_.After(kTimeout, [aDone] {
          aDone({ FeedStatus::Unreachable, {}, 0, "timeout" });
        });
        return;
      }
      auto rows = store_.ChangesSince(aTopic, aPosition);
      if (rows.empty() && store_.scheduler_.Now() < aUntil) {
        Poll(aTopic, aPosition, aUntil, aDone);
      } else {
        aDone({ FeedStatus::Ok, std::move(rows), store_.position_, {} });
      }
    });
  }

  FakeStore& store_;
  const InstanceId self_;
};

} // namespace

TEST_GROUP(DirectoryWatch)
{
  using Watch = DirectoryWatch<FakeScheduler, FakeFeed, FakeTransport>;

  struct Instance
  {
    Instance(FakeScheduler& aScheduler,
             FakeStore& aStore,
             FakeTransport::Network& aNetwork,
             const InstanceId& aId,
             double aCapacity)
      : feed_(aStore, aId)
      , peers_(aNetwork)
      , watch_(aScheduler,
               feed_,
               peers_,
               PeerEndpoint{ aId, "127.0.0.1", 7 },
               aCapacity,
               FleetSettings{},
               DirectoryTiming{},
               aCapacity > 0 ? static_cast<std::uint64_t>(aCapacity) : 1)
    {
      watch_.OnStoreReachableChanged(
        [this](bool aReachable, const auto&) { reachabilityReports_.push_back(aReachable); });
    }

    FakeFeed feed_;
    FakeTransport peers_;
    Watch watch_;
    std::vector<bool> reachabilityReports_;
  };

  FakeScheduler scheduler_;
  FakeStore store_{ scheduler_ };
  FakeTransport::Network network_{ scheduler_, {}, {}, std::chrono::milliseconds(2) };
  std::vector<std::unique_ptr<Instance>> instances_;

  // Instance i-0 has the largest capacity and is the root of the relay tree.
  void StartAll(int aCount)
  {
    store_.Put(FeedTopic::Configuration, "config", "1");
    for (int i = 0; i < aCount; ++i) {
      const InstanceId id("i-" + std::to_string(i));
      instances_.push_back(std::make_unique<Instance>(scheduler_, store_, network_, id, 100.0 - i));
      instances_.back()->watch_.Start();
    }
    RunFor(std::chrono::seconds(5));
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
