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
Config(std::uint64_t aVersion)
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
  return { "config", Config(aVersion) };
}

DecodedFeedRow
UpstreamItem(const std::string& aId, bool aLeaving = false)
{
  UpstreamEntry entry;
  entry.service_ = ServiceName("s");
  entry.endpoint_ = { UpstreamId(aId), "127.0.0.1", 80, ZoneName("z"), 1, aLeaving };
  return { aId, entry };
}

// Rows of the fake store: the value of a configuration is its version, that of an instance its
// capacity, that of an upstream empty.
FeedRow
Row(const std::string& aKey, std::uint64_t aVersion, const std::string& aValue = {})
{
  return { aKey, aVersion, false, aValue };
}

// Decodes the rows of the fake store.
class FakeFeed
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
  DirectoryState state_{ InstanceId("i-1"), FleetTerms{} };

  void Change(const DecodedFeedRow& aItem, MonotonicTime aNow)
  {
    state_.OnChanges(std::span(&aItem, 1), aNow);
  }
  std::size_t Upstreams() const
  {
    const auto table = state_.Table();
    return table->services_.empty() ? 0 : table->services_[0].upstreams_.size();
  }
  void setup() override
  {
    Change(ConfigItem(5), kStart);
  }
};

// Guards against a late answer of the store that brings back an older configuration.
TEST(DirectoryState, ConfigurationNeverStepsBack)
{
  Change(ConfigItem(9), kStart);
  Change(ConfigItem(7), kStart);
  CHECK_EQUAL(9, state_.ConfigVersion());
  CHECK_EQUAL(9, state_.Table()->version_);
}

// Guards against a missing or broken configuration entry that empties the routing table.
TEST(DirectoryState, LostConfigurationEntryKeepsTheOneInForce)
{
  Change({ "config", RemovedEntry{} }, kStart);
  Change({ "config", UnreadableEntry{ "cut off" } }, kStart);
  CHECK_EQUAL(5, state_.ConfigVersion());
}

TEST(DirectoryState, CalmRemovalTakesEffectAtOnce)
{
  Change(UpstreamItem("u-1"), kStart);
  Change(UpstreamItem("u-2"), kStart);
  CHECK_EQUAL(2, Upstreams());
  Change({ "u-1", RemovedEntry{} }, kStart);
  CHECK_EQUAL(1, Upstreams());
}

// Guards against an outage of the store that takes living upstreams out of service.
TEST(DirectoryState, EntriesThatLapsedInAnOutageAreKeptUntilTheyAreBack)
{
  Change(UpstreamItem("u-1"), kStart);
  Change(UpstreamItem("u-2"), kStart);
  state_.OnUpstreamsSeen(kStart, kStart);
  const MonotonicTime back = kStart + std::chrono::seconds(20);
  state_.OnUpstreamsSeen(back, back);
  Change({ "u-1", RemovedEntry{} }, back);
  Change({ "u-2", RemovedEntry{} }, back);
  CHECK_EQUAL(2, Upstreams());
  Change(UpstreamItem("u-1"), back + std::chrono::milliseconds(1900));
  state_.Advance(back + DirectoryState::kReturnGrace);
  CHECK_EQUAL(1, Upstreams());
  CHECK(!state_.NextAdvance());
}

// Guards against work for an upstream that left during an outage.
TEST(DirectoryState, LeavingUpstreamIsNotKeptAfterAnOutage)
{
  Change(UpstreamItem("u-1", true), kStart);
  state_.OnUpstreamsSeen(kStart, kStart);
  const MonotonicTime back = kStart + std::chrono::seconds(20);
  state_.OnUpstreamsSeen(back, back);
  Change({ "u-1", RemovedEntry{} }, back);
  CHECK_EQUAL(0, Upstreams());
}

// Guards against work for an upstream that left while the store was away too briefly for entries to
// lapse.
TEST(DirectoryState, RemovalAfterABriefInterruptionTakesEffectAtOnce)
{
  Change(UpstreamItem("u-1"), kStart);
  state_.OnUpstreamsSeen(kStart, kStart);
  const MonotonicTime back = kStart + std::chrono::milliseconds(2900);
  state_.OnUpstreamsSeen(back, back);
  Change({ "u-1", RemovedEntry{} }, back);
  CHECK_EQUAL(0, Upstreams());
}

// Guards against a second outage that takes upstreams out of service which could not yet return
// after the first.
TEST(DirectoryState, GraceTimeStartsAgainAfterAnotherOutage)
{
  Change(UpstreamItem("u-1"), kStart);
  state_.OnUpstreamsSeen(kStart, kStart);
  MonotonicTime back = kStart + std::chrono::seconds(20);
  state_.OnUpstreamsSeen(back, back);
  Change({ "u-1", RemovedEntry{} }, back);
  back += std::chrono::milliseconds(2400);
  state_.OnUpstreamsSeen(back, back);
  state_.Advance(back + std::chrono::milliseconds(200));
  CHECK_EQUAL(1, Upstreams());
  state_.Advance(back + DirectoryState::kReturnGrace);
  CHECK_EQUAL(0, Upstreams());
}

TEST(DirectoryState, UnreadableEntryNamesNoUpstreamAndHidesNoOther)
{
  Change(UpstreamItem("u-1"), kStart);
  Change({ "u-2", UnreadableEntry{ "broken" } }, kStart);
  CHECK_EQUAL(1, Upstreams());
  Change({ "u-1", UnreadableEntry{ "overwritten" } }, kStart);
  CHECK_EQUAL(0, Upstreams());
}

TEST(DirectoryState, TermsOfTheSettingsReachTheServices)
{
  state_.SetTerms({ 0.3, 12, std::chrono::seconds(4), 33 });
  const auto table = state_.Table();
  DOUBLES_EQUAL(0.3, table->services_[0].config_.retryRatio_, 0);
  DOUBLES_EQUAL(12, table->services_[0].config_.retrySlack_, 0);
  DOUBLES_EQUAL(33, table->services_[0].config_.probesPerUpstreamSecond_, 0);
  CHECK_EQUAL(1, table->services_[0].termsVersion_);
}

TEST_GROUP(FeedMirror)
{
  FeedMirror mirror_;
};

// Guards against an instance that never learns of an entry that vanished while history was lost.
TEST(FeedMirror, MissingRowsOfASnapshotAreRemovedAndPassedOn)
{
  mirror_.OnSnapshot(std::vector{ Row("a", 3), Row("b", 4) }, 5);
  const auto changed = mirror_.OnSnapshot(std::vector{ Row("a", 3) }, 9);
  CHECK_EQUAL(1, changed.size());
  CHECK(changed[0].removed_);
  const auto since = mirror_.Since(5, 1000);
  CHECK_EQUAL(1, since.rows_.size());
  CHECK(since.rows_[0].key_ == "b");
  CHECK_EQUAL(9, since.position_);
}

// Guards against an answer from before the known position that undoes later changes.
TEST(FeedMirror, OlderPositionsAreIgnored)
{
  mirror_.OnChanges(std::vector{ Row("a", 8, "new") }, 8);
  CHECK(mirror_.OnSnapshot(std::vector{ Row("a", 3, "old") }, 5).empty());
  CHECK(mirror_.OnChanges(std::vector{ Row("a", 3, "old") }, 9).empty());
  CHECK(mirror_.Since(0, 1000).rows_[0].value_ == "new");
}

// Guards against a part that claims to be complete, or splits a transaction.
TEST(FeedMirror, PartsEndBetweenVersions)
{
  const std::string large(100, 'x');
  mirror_.OnChanges(
    std::vector{ Row("a", 1, large), Row("b", 2, large), Row("c", 2, large), Row("d", 3, large) },
    7);
  const auto first = mirror_.Since(0, 150);
  CHECK_EQUAL(1, first.rows_.size());
  CHECK_EQUAL(1, first.position_);
  const auto second = mirror_.Since(1, 50);
  CHECK_EQUAL(2, second.rows_.size());
  CHECK_EQUAL(2, second.position_);
  CHECK_EQUAL(7, mirror_.Since(2, 150).position_);
}

TEST_GROUP(RelayPlace){};

// Guards against a tree in which two instances wait for each other, or one sends to all.
TEST(RelayPlace, SourcesComeFirstAndFollowersAreFew)
{
  std::vector<InstanceEntry> instances;
  instances.reserve(110);
  for (int i = 0; i < 110; ++i) {
    instances.push_back(
      { InstanceId("i-" + std::to_string(i)), "127.0.0.1", 7, i % 3 == 0 ? 200.0 : 10.0 });
  }
  std::map<InstanceId, int> followers;
  std::map<InstanceId, InstanceId> sourceOf;
  int readers = 0;
  for (const InstanceEntry& instance : instances) {
    const RelayPlace place = PlaceInRelay(instances, instance.id_, 4);
    readers += place.reads_ ? 1 : 0;
    if (!place.reads_) {
      ++followers[place.sources_[0].id_];
      sourceOf[instance.id_] = place.sources_[0].id_;
      DOUBLES_EQUAL(200, place.sources_[0].relayCapacity_, 0);
    }
  }
  CHECK_EQUAL(1, readers);
  for (const auto& [id, count] : followers) {
    CHECK(count <= 11);
  }
  for (auto [id, source] : sourceOf) {
    int depth = 1;
    for (; sourceOf.contains(source); source = sourceOf[source]) {
      CHECK(++depth <= 3);
    }
  }
}

TEST(RelayPlace, ALoneInstanceReads)
{
  CHECK(PlaceInRelay({}, InstanceId("i"), 4).reads_);
}

namespace {

// Carries messages between the watches of one test.
class FakePeers
{
public:
  struct Network
  {
    FakeScheduler& scheduler_;
    std::map<InstanceId, FakePeers*> nodes_;
    std::set<InstanceId> cutOff_;
    Duration trip_ = std::chrono::milliseconds(2);
  };

  explicit FakePeers(Network& aNetwork)
    : network_(aNetwork)
  {
  }

  void Start(const PeerEndpoint& aSelf,
             PeerMessageCallback aOnMessage,
             const PeerUnreachableCallback& /*aOnUnreachable*/)
  {
    self_ = aSelf;
    onMessage_ = std::move(aOnMessage);
    network_.nodes_[aSelf.id_] = this;
  }

  std::size_t Send(const PeerEndpoint& aPeer, const PeerMessage& aMessage)
  {
    network_.scheduler_.After(network_.trip_, [this, to = aPeer.id_, aMessage] {
      const auto found = network_.nodes_.find(to);
      if (found != network_.nodes_.end() && !network_.cutOff_.contains(to) &&
          !network_.cutOff_.contains(self_.id_)) {
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

// A store that answers by itself in virtual time.
class FakeStore
{
public:
  explicit FakeStore(FakeScheduler& aScheduler)
    : scheduler_(aScheduler)
  {
  }

  void Put(FeedTopic aTopic, const std::string& aKey, const std::string& aValue)
  {
    const FeedRow row = Row(aKey, ++position_, aValue);
    rows_[aTopic][aKey] = row;
  }

  void Remove(FeedTopic aTopic, const std::string& aKey)
  {
    rows_[aTopic][aKey] = { aKey, ++position_, true, {} };
  }

  std::vector<FeedRow> Since(FeedTopic aTopic, std::uint64_t aPosition)
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
  std::map<InstanceId, int> calls_;
  std::set<InstanceId> silentFor_; ///< calls of these instances are never answered
};

// The calls of one instance to the store. A call without an answer fails after 1.5 s.
class StoreCalls : public FakeFeed
{
public:
  StoreCalls(FakeStore& aStore, InstanceId aSelf)
    : store_(aStore)
    , self_(std::move(aSelf))
  {
  }

  void Read(FeedTopic aTopic, const FeedCallback& aDone) { Wait(aTopic, 0, Duration(0), aDone); }

  void Wait(FeedTopic aTopic, std::uint64_t aPosition, Duration aWait, const FeedCallback& aDone)
  {
    ++store_.calls_[self_];
    Poll(aTopic, aPosition, store_.scheduler_.Now() + aWait, aDone);
  }

  void Register(const InstanceEntry& aInstance, const FeedCallback& aDone)
  {
    ++store_.calls_[self_];
    store_.Put(
      FeedTopic::Instances, aInstance.id_.Text(), std::to_string(aInstance.relayCapacity_));
    store_.scheduler_.After(kTrip, [aDone] { aDone({ FeedStatus::Ok, {}, 0, {} }); });
  }

private:
  static constexpr Duration kTrip = std::chrono::milliseconds(4);
  static constexpr Duration kTimeout = std::chrono::milliseconds(1500);

  void Poll(FeedTopic aTopic,
            std::uint64_t aPosition,
            MonotonicTime aUntil,
            const FeedCallback& aDone)
  {
    store_.scheduler_.After(kTrip, [=, this] {
      if (store_.silentFor_.contains(self_)) {
        store_.scheduler_.After(kTimeout, [aDone] {
          aDone({ FeedStatus::Unreachable, {}, 0, "timeout" });
        });
        return;
      }
      auto rows = store_.Since(aTopic, aPosition);
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
  using Watch = DirectoryWatch<FakeScheduler, StoreCalls, FakePeers>;

  struct Instance
  {
    Instance(FakeScheduler& aScheduler,
             FakeStore& aStore,
             FakePeers::Network& aNetwork,
             const InstanceId& aId,
             double aCapacity)
      : calls_(aStore, aId)
      , peers_(aNetwork)
      , watch_(aScheduler,
               calls_,
               peers_,
               PeerEndpoint{ aId, "127.0.0.1", 7 },
               aCapacity,
               FleetTerms{},
               DirectoryTiming{},
               aCapacity > 0 ? static_cast<std::uint64_t>(aCapacity) : 1)
    {
      watch_.OnContact([this](bool aAnswers, const auto&) { contacts_.push_back(aAnswers); });
    }

    StoreCalls calls_;
    FakePeers peers_;
    Watch watch_;
    std::vector<bool> contacts_;
  };

  FakeScheduler scheduler_;
  FakeStore store_{ scheduler_ };
  FakePeers::Network network_{ scheduler_, {}, {}, std::chrono::milliseconds(2) };
  std::vector<std::unique_ptr<Instance>> instances_;

  // i-0 has the largest capacity and reads the store.
  void StartAll(int aCount)
  {
    store_.Put(FeedTopic::Configuration, "config", "1");
    for (int i = 0; i < aCount; ++i) {
      const InstanceId id("i-" + std::to_string(i));
      instances_.push_back(std::make_unique<Instance>(scheduler_, store_, network_, id, 100.0 - i));
      instances_.back()->watch_.Start();
    }
    Run(std::chrono::seconds(5));
  }

  void Run(Duration aDuration)
  {
    scheduler_.Advance(aDuration);
  }

  void CheckVersions(std::uint64_t aVersion)
  {
    for (const auto& instance : instances_) {
      CHECK_EQUAL(aVersion, instance->watch_.State().ConfigVersion());
    }
  }

  int Calls()
  {
    int calls = 0;
    for (const auto& [id, count] : store_.calls_) {
      calls += count;
    }
    return calls;
  }
};

// Guards against requests to upstreams that left, kept because some instances cannot reach the
// store although it serves the others.
TEST(DirectoryWatch, TroubleOfSomeInstancesKeepsNoRemovedUpstreamInService)
{
  store_.Put(FeedTopic::Upstreams, "u-1", {});
  StartAll(16);
  store_.silentFor_ = { InstanceId("i-0"), InstanceId("i-1") };
  Run(std::chrono::seconds(2));
  store_.Remove(FeedTopic::Upstreams, "u-1");
  Run(std::chrono::milliseconds(2000));
  for (std::size_t i = 2; i < instances_.size(); ++i) {
    CHECK_EQUAL(0, instances_[i]->watch_.State().Table()->services_.at(0).upstreams_.size());
  }
}

// Guards against an outage of the store after which instances drop the upstreams whose entries
// lapsed in it, whichever way they learn of that.
TEST(DirectoryWatch, AllInstancesKeepLapsedUpstreamsAfterAnOutage)
{
  store_.Put(FeedTopic::Upstreams, "u-1", {});
  StartAll(16);
  for (int i = 0; i < 16; ++i) {
    store_.silentFor_.insert(InstanceId("i-" + std::to_string(i)));
  }
  Run(std::chrono::seconds(6));
  store_.Remove(FeedTopic::Upstreams, "u-1");
  store_.silentFor_.clear();
  Run(std::chrono::milliseconds(2400));
  for (const auto& instance : instances_) {
    CHECK_EQUAL(1, instance->watch_.State().Table()->services_.at(0).upstreams_.size());
  }
  Run(std::chrono::seconds(5));
  for (const auto& instance : instances_) {
    CHECK_EQUAL(0, instance->watch_.State().Table()->services_.at(0).upstreams_.size());
  }
}

// Guards against news that were long under way and count as fresh, so that a change of the store is
// missed.
TEST(DirectoryWatch, LateNewsDoNotConfirmWhatIsKnown)
{
  StartAll(16);
  network_.trip_ = std::chrono::milliseconds(1500);
  Run(std::chrono::seconds(4));
  store_.Put(FeedTopic::Configuration, "config", "2");
  Run(std::chrono::milliseconds(2000));
  CheckVersions(2);
}

// Guards against calls to the store that grow with the number of instances.
TEST(DirectoryWatch, OneInstanceReadsForAll)
{
  StartAll(16);
  CheckVersions(1);
  const int atStart = Calls();
  Run(std::chrono::seconds(20));
  CHECK(Calls() - atStart <= 60); // two topics once a second, and the instances
  store_.Put(FeedTopic::Configuration, "config", "2");
  Run(std::chrono::milliseconds(50));
  CheckVersions(2);
  CHECK_EQUAL(16, instances_[7]->watch_.State().Table()->instances_.size());
}

// Guards against followers that miss a change because their reader lost the store or its machine.
TEST(DirectoryWatch, ChangesArriveInTimeWhateverHappensToTheReader)
{
  StartAll(16);
  std::uint64_t version = 1;
  const auto change = [&](std::size_t aFirst) {
    store_.Put(FeedTopic::Configuration, "config", std::to_string(++version));
    Run(std::chrono::milliseconds(2000));
    for (std::size_t i = aFirst; i < instances_.size(); ++i) {
      CHECK_EQUAL(version, instances_[i]->watch_.State().ConfigVersion());
    }
  };
  store_.silentFor_ = { InstanceId("i-0") };
  change(1);
  Run(std::chrono::seconds(5));
  change(1);
  store_.silentFor_ = {};
  Run(std::chrono::seconds(5));
  network_.cutOff_ = { InstanceId("i-0") };
  change(1);
  network_.cutOff_ = { InstanceId("i-0"), InstanceId("i-1"), InstanceId("i-2"), InstanceId("i-3") };
  change(4);
  network_.cutOff_ = {};
  Run(std::chrono::seconds(8));
  const int before = Calls();
  change(0);
  Run(std::chrono::seconds(8));
  CHECK(Calls() - before <= 40);
}

// Guards against all instances asking a store that is away again and again.
TEST(DirectoryWatch, AnOutageCostsFewCallsAndEndsForAll)
{
  StartAll(16);
  for (int i = 0; i < 16; ++i) {
    store_.silentFor_.insert(InstanceId("i-" + std::to_string(i)));
  }
  Run(std::chrono::seconds(4));
  const int before = Calls();
  Run(std::chrono::seconds(10));
  CHECK(Calls() - before <= 16 * 2 * 4);
  store_.silentFor_.clear();
  store_.Put(FeedTopic::Configuration, "config", "2");
  Run(std::chrono::seconds(5));
  CheckVersions(2);
  CHECK(!instances_[0]->contacts_.empty());
  CHECK(instances_[0]->contacts_.back());
}

} // namespace boragepier
