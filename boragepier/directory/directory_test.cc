#include <deque>
#include <map>

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

FeedItem
ConfigItem(std::uint64_t aVersion)
{
  return { "config", Config(aVersion) };
}

FeedItem
UpstreamItem(const std::string& aId, bool aLeaving = false)
{
  UpstreamEntry entry;
  entry.service_ = ServiceName("s");
  entry.endpoint_ = { UpstreamId(aId), "127.0.0.1", 80, ZoneName("z"), 1, aLeaving };
  return { aId, entry };
}

// A store whose answers the test gives.
class FakeFeed
{
public:
  struct Call
  {
    FeedTopic topic_;
    bool wait_ = false;
    std::uint64_t position_ = 0;
    FeedCallback done_;
  };

  void Read(FeedTopic aTopic, FeedCallback aDone)
  {
    calls_.push_back({ aTopic, false, 0, std::move(aDone) });
  }
  void Wait(FeedTopic aTopic, std::uint64_t aPosition, Duration, FeedCallback aDone)
  {
    calls_.push_back({ aTopic, true, aPosition, std::move(aDone) });
  }
  void Register(const InstanceEntry& aInstance, FeedCallback aDone)
  {
    registered_.push_back(aInstance.id_);
    aDone({ FeedStatus::Ok, {}, 0, {} });
  }

  // Answers the oldest open call for a topic.
  Call Answer(FeedTopic aTopic, FeedStatus aStatus, std::vector<FeedItem> aItems, std::uint64_t aAt)
  {
    for (auto call = calls_.begin(); call != calls_.end(); ++call) {
      if (call->topic_ == aTopic) {
        Call taken = std::move(*call);
        calls_.erase(call);
        taken.done_({ aStatus, std::move(aItems), aAt, "test" });
        return taken;
      }
    }
    FAIL("no call is open for the topic");
    return {};
  }

  std::size_t Open(FeedTopic aTopic) const
  {
    return static_cast<std::size_t>(
      std::count_if(calls_.begin(), calls_.end(), [&](const Call& aCall) {
        return aCall.topic_ == aTopic;
      }));
  }

  std::deque<Call> calls_;
  std::vector<InstanceId> registered_;
};

static_assert(DirectoryFeed<FakeFeed>);

} // namespace

TEST_GROUP(DirectoryState)
{
  DirectoryState state_{ InstanceId("i-1"), FleetTerms{} };

  void Snapshot(std::vector<FeedItem> aItems, MonotonicTime aNow)
  {
    state_.OnSnapshot(FeedTopic::Upstreams, aItems, aNow);
  }
  void Change(const FeedItem& aItem, MonotonicTime aNow)
  {
    state_.OnChanges(FeedTopic::Upstreams, std::span(&aItem, 1), aNow);
  }
  std::size_t Upstreams() const
  {
    const auto table = state_.Table();
    return table->services_.empty() ? 0 : table->services_[0].upstreams_.size();
  }
  void setup() override { Change(ConfigItem(5), kStart); }
};

// Guards against a late answer of the store that brings back an older configuration.
TEST(DirectoryState, ConfigurationNeverStepsBack)
{
  Change(ConfigItem(9), kStart);
  Change(ConfigItem(7), kStart);
  state_.OnSnapshot(FeedTopic::Configuration, std::vector{ ConfigItem(6) }, kStart);
  CHECK_EQUAL(9, state_.ConfigVersion());
  CHECK_EQUAL(9, state_.Table()->version_);
}

// Guards against a missing or broken configuration entry that empties the routing table.
TEST(DirectoryState, LostConfigurationEntryKeepsTheOneInForce)
{
  state_.OnSnapshot(FeedTopic::Configuration, {}, kStart);
  Change({ "config", UnreadableEntry{ "cut off" } }, kStart);
  CHECK_EQUAL(5, state_.ConfigVersion());
}

TEST(DirectoryState, CalmRemovalTakesEffectAtOnce)
{
  Snapshot({ UpstreamItem("u-1"), UpstreamItem("u-2") }, kStart);
  CHECK_EQUAL(2, Upstreams());
  Change({ "u-1", RemovedEntry{} }, kStart);
  CHECK_EQUAL(1, Upstreams());
  Snapshot({}, kStart);
  CHECK_EQUAL(0, Upstreams());
}

// Guards against an outage of the store that takes living upstreams out of service.
TEST(DirectoryState, EntriesThatLapsedInAnOutageAreKeptUntilTheyAreBack)
{
  Snapshot({ UpstreamItem("u-1"), UpstreamItem("u-2") }, kStart);
  state_.OnTrouble(kStart);
  const MonotonicTime back = kStart + std::chrono::seconds(20);
  state_.OnContact(back);
  Snapshot({}, back);
  CHECK_EQUAL(2, Upstreams());
  Change(UpstreamItem("u-1"), back + std::chrono::milliseconds(1900));
  state_.Advance(back + DirectoryState::kReturnGrace);
  CHECK_EQUAL(1, Upstreams());
  CHECK(!state_.NextAdvance());
}

// Guards against work for an upstream that left during an outage.
TEST(DirectoryState, LeavingUpstreamIsNotKeptAfterAnOutage)
{
  Snapshot({ UpstreamItem("u-1", true) }, kStart);
  state_.OnTrouble(kStart);
  state_.OnContact(kStart);
  Snapshot({}, kStart);
  CHECK_EQUAL(0, Upstreams());
}

TEST(DirectoryState, UnreadableEntryNamesNoUpstreamAndHidesNoOther)
{
  Snapshot({ UpstreamItem("u-1"), { "u-2", UnreadableEntry{ "broken" } } }, kStart);
  CHECK_EQUAL(1, Upstreams());
  Change({ "u-1", UnreadableEntry{ "overwritten" } }, kStart);
  CHECK_EQUAL(0, Upstreams());
}

TEST(DirectoryState, TermsOfTheSettingsReachTheServices)
{
  state_.SetTerms({ 0.3, 12, std::chrono::seconds(4), 33 });
  const auto table = state_.Table();
  DOUBLES_EQUAL(0.3, table->services_[0].config_.retryBudget_, 0);
  DOUBLES_EQUAL(12, table->services_[0].config_.retrySlack_, 0);
  DOUBLES_EQUAL(33, table->services_[0].config_.probesPerUpstreamSecond_, 0);
  CHECK_EQUAL(1, table->services_[0].termsVersion_);
}

TEST_GROUP(DirectoryWatch)
{
  FakeScheduler scheduler_;
  FakeFeed feed_;
  std::vector<std::shared_ptr<const RoutingTable>> tables_;
  std::vector<bool> contacts_;
  DirectoryWatch<FakeScheduler, FakeFeed> watch_{
    scheduler_, feed_, InstanceId("i-1"), FleetTerms{}, DirectoryTiming{}, 1
  };

  void setup() override
  {
    watch_.OnTable([this](auto aTable) { tables_.push_back(std::move(aTable)); });
    watch_.OnContact([this](bool aAnswers, const auto&) { contacts_.push_back(aAnswers); });
    watch_.Start();
  }

  void Settle() { scheduler_.Advance(std::chrono::seconds(1)); }
};

// Guards against a change between the first reading and the first wait that is never seen.
TEST(DirectoryWatch, WaitsFromThePositionOfTheReading)
{
  feed_.Answer(FeedTopic::Configuration, FeedStatus::Ok, { ConfigItem(3) }, 40);
  Settle();
  CHECK_EQUAL(3, tables_.back()->version_);
  const auto call = feed_.Answer(FeedTopic::Configuration, FeedStatus::Ok, { ConfigItem(4) }, 41);
  CHECK(call.wait_);
  CHECK_EQUAL(40, call.position_);
  CHECK_EQUAL(4, tables_.back()->version_);
}

// Guards against changes that fell out of the store's history and are missed for good.
TEST(DirectoryWatch, LostHistoryIsReadAnew)
{
  feed_.Answer(FeedTopic::Upstreams, FeedStatus::Ok, { UpstreamItem("u-1") }, 40);
  feed_.Answer(FeedTopic::Configuration, FeedStatus::Ok, { ConfigItem(3) }, 40);
  Settle();
  feed_.Answer(FeedTopic::Upstreams, FeedStatus::HistoryLost, {}, 0);
  Settle();
  const auto call = feed_.Answer(FeedTopic::Upstreams, FeedStatus::Ok, {}, 50);
  CHECK(!call.wait_);
  CHECK(tables_.back()->services_[0].upstreams_.empty());
}

// Guards against a busy loop of calls while the store refuses this instance, and against silence
// about it.
TEST(DirectoryWatch, FailedCallsAreRepeatedWithPausesAndReportedOnce)
{
  int calls = 0;
  for (int i = 0; i < 100; ++i) {
    if (feed_.Open(FeedTopic::Configuration) > 0) {
      feed_.Answer(FeedTopic::Configuration, FeedStatus::Refused, {}, 0);
      ++calls;
    }
    scheduler_.Advance(std::chrono::milliseconds(100));
  }
  CHECK(calls >= 8);
  CHECK(calls <= 20);
  CHECK_EQUAL(1, contacts_.size());
  feed_.Answer(FeedTopic::Upstreams, FeedStatus::Ok, {}, 1);
  CHECK_EQUAL(2, contacts_.size());
  CHECK(contacts_.back());
}

TEST(DirectoryWatch, RegistersOnceAndCountsTheOthers)
{
  feed_.Answer(FeedTopic::Instances, FeedStatus::Ok, {}, 1);
  CHECK_EQUAL(1, feed_.registered_.size());
  scheduler_.Advance(std::chrono::seconds(5));
  feed_.Answer(FeedTopic::Instances,
               FeedStatus::Ok,
               { { "i-1", InstanceEntry{ InstanceId("i-1") } },
                 { "i-2", InstanceEntry{ InstanceId("i-2") } } },
               2);
  CHECK_EQUAL(1, feed_.registered_.size());
  CHECK_EQUAL(2, watch_.State().Table()->instances_.size());
}

} // namespace boragepier
