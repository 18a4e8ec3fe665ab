#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "boragepier/directory/directory_fakes.h"
#include "boragepier/directory/store_clock.h"

#include <CppUTest/TestHarness.h>

// Tests of the parts of DirectoryWatch, each on its own.

namespace boragepier {

namespace {

constexpr MonotonicTime kNow{ std::chrono::hours(1) };
const std::vector<FeedRow> kNoRows;
const InstanceId kSender("sender");

InstanceEntry
MakeInstance(const std::string& aId)
{
  return { InstanceId(aId), "127.0.0.1", 7, 100, ZoneName("z") };
}

RelayRole
MakeRole(const std::vector<std::string>& aSources)
{
  RelayRole role;
  for (const std::string& source : aSources) {
    role.sources_.push_back(MakeInstance(source));
  }
  return role;
}

FeedResponse
MakeResponse(std::uint64_t aPosition, std::vector<FeedRow> aRows)
{
  return { FeedStatus::Ok, std::move(aRows), aPosition, {}, {}, {}, 0 };
}

} // namespace

TEST_GROUP(StoreView)
{
  StoreView view_;
};

// Guards against data that counts as up to date while a part of it is still missing.
TEST(StoreView, PartOfTheRowsIsNoConfirmation)
{
  view_.ApplyResponse(FeedTopic::Configuration, MakeResponse(3, kNoRows), false, kNow);
  view_.ApplyResponse(FeedTopic::Evacuations, MakeResponse(3, kNoRows), false, kNow);
  PeerStoreUpdate::Topic part{ 0, 2, 0, false, { MakeRow("u-1", 2) }, {} };
  CHECK(view_.ApplyUpdate(FeedTopic::Upstreams, kSender, 0, part, kNow).has_value());
  CHECK(!view_.HasRoutingData());
  PeerStoreUpdate::Topic rest{ 2, 5, 0, true, { MakeRow("u-2", 4) }, {} };
  CHECK(view_.ApplyUpdate(FeedTopic::Upstreams, kSender, 0, rest, kNow).has_value());
  CHECK(view_.HasRoutingData());
}

// Guards against rows that are skipped because a message before them was lost.
TEST(StoreView, UpdateThatDoesNotContinueThePositionIsIgnored)
{
  const PeerStoreUpdate::Topic late{ 2, 5, 0, true, { MakeRow("u-2", 4) }, {} };
  CHECK(!view_.ApplyUpdate(FeedTopic::Upstreams, kSender, 0, late, kNow).has_value());
  CHECK_EQUAL(0, view_.Position(FeedTopic::Upstreams));
}

// Guards against a removed row that stays in use for good: a sender that has read all rows from the
// store lists no removal before that read.
TEST(StoreView, RowsRemovedBeforeTheSnapshotOfTheSenderAreRemoved)
{
  view_.ApplyResponse(FeedTopic::Upstreams,
                      MakeResponse(5, { MakeRow("u-gone", 2), MakeRow("u-stays", 4) }),
                      false,
                      kNow);
  StoreView sender;
  std::vector<FeedRow> rows = { MakeRow("u-stays", 4) };
  for (std::uint64_t i = 10; i < 200; ++i) {
    rows.push_back(MakeRow("u-" + std::to_string(i), i, std::string(200, 'x')));
  }
  sender.ApplyResponse(FeedTopic::Upstreams, MakeResponse(300, rows), false, kNow);
  std::vector<FeedRow> changed;
  bool complete = false;
  std::size_t parts = 0;
  while (!complete && parts < 100) {
    const auto update = sender.UpdateSince(
      FeedTopic::Upstreams, view_.SubscribePosition(FeedTopic::Upstreams, kSender), 5000, kNow);
    const auto applied = view_.ApplyUpdate(FeedTopic::Upstreams, kSender, 0, update, kNow);
    CHECK(applied.has_value());
    changed.insert(changed.end(), applied->begin(), applied->end());
    complete = view_.IsSynced(FeedTopic::Upstreams);
    ++parts;
  }
  CHECK(complete);
  CHECK(parts > 2);
  CHECK_EQUAL(300, view_.Position(FeedTopic::Upstreams));
  CHECK_EQUAL(1, std::count_if(changed.begin(), changed.end(), [](const FeedRow& aRow) {
                return aRow.removed_ && aRow.key_ == "u-gone";
              }));
  CHECK_EQUAL(191, changed.size()); // "u-stays" is unchanged
}

// Guards against confirming, or passing on as complete, rows among which removals may be missing.
TEST(StoreView, RowsAreUnconfirmedWhileAllAreCollectedAnew)
{
  const MonotonicTime later = kNow + std::chrono::seconds(1);
  view_.ApplyResponse(FeedTopic::Configuration, MakeResponse(5, kNoRows), false, later);
  view_.ApplyResponse(FeedTopic::Evacuations, MakeResponse(5, kNoRows), false, later);
  view_.ApplyResponse(FeedTopic::Upstreams, MakeResponse(5, { MakeRow("u-1", 2) }), false, kNow);
  const PeerStoreUpdate::Topic update{ 5, 9, 0, true, {}, { { 0, 9 } } };
  CHECK(view_.ApplyUpdate(FeedTopic::Upstreams, kSender, 0, update, later).has_value());
  CHECK(view_.IsRelisting(FeedTopic::Upstreams));
  CHECK(*view_.ConfirmedAt() == kNow);
  CHECK(!view_.IsSynced(FeedTopic::Upstreams));
  CHECK_EQUAL(0, view_.UpdateSince(FeedTopic::Upstreams, 1, 1000, later).position_);
  CHECK_EQUAL(0, view_.SubscribePosition(FeedTopic::Upstreams, kSender));
  // All rows from the store do as well.
  view_.ApplyResponse(FeedTopic::Upstreams, MakeResponse(9, kNoRows), false, later);
  CHECK(!view_.IsRelisting(FeedTopic::Upstreams));
  CHECK(*view_.ConfirmedAt() == later);
}

// Guards against removals that are missed at the second instance of a chain, and against instances
// that collect all rows though no removal can be missing.
TEST(StoreView, GapsArePassedOnOnlyAsFarAsTheyMatter)
{
  StoreView root;
  root.ApplyResponse(FeedTopic::Upstreams, MakeResponse(5, { MakeRow("u-1", 2) }), false, kNow);
  root.ApplyResponse(FeedTopic::Upstreams, MakeResponse(20, { MakeRow("u-2", 15) }), false, kNow);
  // A subscriber that had all rows before the second read learns the removal as usual.
  view_.ApplyResponse(FeedTopic::Upstreams, MakeResponse(5, { MakeRow("u-1", 2) }), false, kNow);
  view_.ApplyUpdate(
    FeedTopic::Upstreams, kSender, 0, root.UpdateSince(FeedTopic::Upstreams, 5, 1000, kNow), kNow);
  CHECK_EQUAL(20, view_.Position(FeedTopic::Upstreams));
  // "u-3" was written at 8, after the first read, and removed before the second.
  StoreView subscriber;
  subscriber.ApplyResponse(
    FeedTopic::Upstreams, MakeResponse(9, { MakeRow("u-1", 2), MakeRow("u-3", 8) }), false, kNow);
  subscriber.ApplyUpdate(
    FeedTopic::Upstreams, kSender, 0, view_.UpdateSince(FeedTopic::Upstreams, 9, 1000, kNow), kNow);
  CHECK(subscriber.IsRelisting(FeedTopic::Upstreams));
  const auto changed = subscriber.ApplyUpdate(
    FeedTopic::Upstreams, kSender, 0, view_.UpdateSince(FeedTopic::Upstreams, 0, 1000, kNow), kNow);
  CHECK_EQUAL(3, changed->size());
  CHECK(!subscriber.IsRelisting(FeedTopic::Upstreams));
}

// Guards against a late answer of the store that replaces newer rows.
TEST(StoreView, OlderResponseIsIgnored)
{
  view_.ApplyResponse(FeedTopic::Upstreams, MakeResponse(9, { MakeRow("u-1", 8) }), false, kNow);
  CHECK(!view_.ApplyResponse(FeedTopic::Upstreams, MakeResponse(5, kNoRows), false, kNow));
  CHECK_EQUAL(9, view_.Position(FeedTopic::Upstreams));
}

namespace {

FeedResponse
MakeResponseOfEra(std::uint64_t aEra, std::uint64_t aPosition, std::vector<FeedRow> aRows)
{
  FeedResponse response = MakeResponse(aPosition, std::move(aRows));
  response.era_ = aEra;
  return response;
}

} // namespace

// Guards against a restored store whose rows are refused because the known ones are newer, and
// against a late response from before the restore that brings those back.
TEST(StoreView, RowsOfANewerEraReplaceNewerOnes)
{
  constexpr FeedTopic kTopic = FeedTopic::Upstreams;
  view_.ApplyResponse(
    kTopic, MakeResponse(9, { MakeRow("u-1", 3), MakeRow("u-2", 8) }), false, kNow);
  CHECK(view_.ObserveEra(1));
  CHECK(!view_.ObserveEra(1));
  CHECK(!view_.IsSynced(kTopic));
  CHECK_EQUAL(0, view_.UpdateSince(kTopic, 0, 1000, kNow).position_);
  CHECK_EQUAL(0, view_.SubscribePosition(kTopic, kSender));
  CHECK(!view_.ApplyResponse(kTopic, MakeResponse(12, { MakeRow("u-3", 12) }), false, kNow));
  // Changes continue a position of the older era.
  CHECK(!view_.ApplyResponse(kTopic, MakeResponseOfEra(1, 10, {}), true, kNow));
  const auto changed = view_.ApplyResponse(
    kTopic, MakeResponseOfEra(1, 5, { MakeRow("u-1", 3), MakeRow("u-4", 5) }), false, kNow);
  CHECK_EQUAL(2, changed->size());
  STRCMP_EQUAL("u-2", changed->at(0).key_.c_str());
  CHECK(changed->at(0).removed_);
  STRCMP_EQUAL("u-4", changed->at(1).key_.c_str());
  CHECK_EQUAL(5, view_.CompletePosition(kTopic));
  // Within the era nothing goes back.
  CHECK(!view_.ApplyResponse(kTopic, MakeResponseOfEra(1, 4, {}), false, kNow));
  CHECK(!view_.ApplyResponse(kTopic, MakeResponse(20, {}), false, kNow));
  CHECK_EQUAL(2, view_.UpdateSince(kTopic, 0, 1000, kNow).rows_.size());
}

// Guards against rows of an older era from another instance, and against rows of the newer one that
// are in use before all have arrived.
TEST(StoreView, UpdatesAreOrderedByEra)
{
  constexpr FeedTopic kTopic = FeedTopic::Upstreams;
  view_.ApplyResponse(kTopic, MakeResponse(9, { MakeRow("u-1", 8) }), false, kNow);
  view_.ObserveEra(2);
  const PeerStoreUpdate::Topic older{ 0, 12, 0, true, { MakeRow("u-2", 12) }, {} };
  CHECK(!view_.ApplyUpdate(kTopic, kSender, 1, older, kNow).has_value());
  const PeerStoreUpdate::Topic part{ 0, 3, 0, false, { MakeRow("u-3", 3) }, {} };
  CHECK(view_.ApplyUpdate(kTopic, kSender, 2, part, kNow)->empty());
  CHECK_EQUAL(0, view_.Era(kTopic));
  const PeerStoreUpdate::Topic rest{ 3, 4, 0, true, { MakeRow("u-4", 4) }, {} };
  CHECK_EQUAL(3, view_.ApplyUpdate(kTopic, kSender, 2, rest, kNow)->size());
  CHECK_EQUAL(2, view_.Era(kTopic));
  CHECK_EQUAL(4, view_.CompletePosition(kTopic));
  CHECK(view_.IsSynced(kTopic));
}

// Guards against a log event and a grace period at the start of an instance, which reads its first
// rows in a later era than 0.
TEST(StoreView, FirstEraIsNoRestore)
{
  CHECK(!view_.ObserveEra(3));
  CHECK(!view_.IsBehindEra());
  const auto changed = view_.ApplyResponse(
    FeedTopic::Upstreams, MakeResponseOfEra(3, 5, { MakeRow("u-1", 5) }), false, kNow);
  CHECK_EQUAL(1, changed->size());
  CHECK(view_.ObserveEra(4));
}

// Guards against a routing table without routes because the copy has no configuration that can be
// read.
TEST(StoreView, ConfigurationStaysIfTheCopyHasNone)
{
  constexpr FeedTopic kTopic = FeedTopic::Configuration;
  view_.ApplyResponse(
    kTopic, MakeResponse(ToPartPosition(9), DivideConfig(MakeConfig(7), 9)), false, kNow);
  view_.ObserveEra(1);
  const auto changed =
    view_.ApplyResponse(kTopic, MakeResponseOfEra(1, ToPartPosition(5), {}), false, kNow);
  CHECK(changed->empty());
  CHECK_EQUAL(DivideConfig(MakeConfig(7), 9).size(),
              view_.UpdateSince(kTopic, 0, 100000, kNow).rows_.size());
}

TEST_GROUP(SourceFollower)
{
  DirectoryTiming timing_;
  SourceFollower follower_{ timing_ };
};

// Guards against instances that are without a source whenever the list of instances changes.
TEST(SourceFollower, SourceStaysInUseUntilTheNewPreferredOneHasReplied)
{
  follower_.SetRole(MakeRole({ "a", "b" }), kNow);
  follower_.SetRole(MakeRole({ "c", "d" }), kNow);
  CHECK(follower_.IsCurrent(InstanceId("a")));
  CHECK_EQUAL(2, follower_.Renewals(kNow, false).size());
  CHECK_EQUAL(1, follower_.Renewals(kNow, false).size());
  CHECK_EQUAL(2, follower_.Renewals(kNow, true).size());
  follower_.OnReply(InstanceId("c"), false, kNow);
  CHECK(follower_.IsCurrent(InstanceId("a")));
  follower_.OnReply(InstanceId("c"), true, kNow);
  CHECK(follower_.IsCurrent(InstanceId("c")));
}

TEST(SourceFollower, NoSourceIsLeftAfterTheLastOneUnlessTheSearchStartsAgain)
{
  follower_.SetRole(MakeRole({ "a", "b" }), kNow);
  follower_.SelectNext(false, kNow);
  CHECK(follower_.IsCurrent(InstanceId("b")));
  follower_.SelectNext(true, kNow);
  CHECK(follower_.IsCurrent(InstanceId("a")));
  follower_.SelectNext(false, kNow);
  follower_.SelectNext(false, kNow);
  CHECK(!follower_.Source());
}

TEST(SourceFollower, RootHasNoSource)
{
  follower_.SetRole(MakeRole({ "a" }), kNow);
  RelayRole root;
  root.level_ = RelayLevel::Root;
  follower_.SetRole(root, kNow);
  CHECK(!follower_.Source());
  CHECK(follower_.Renewals(kNow, true).empty());
}

namespace {

// Keeps the messages that are sent.
class RecordingTransport
{
public:
  void Start(const PeerEndpoint&, const PeerMessageCallback&, const PeerUnreachableCallback&) {}
  std::size_t Send(const PeerEndpoint&, const PeerMessage& aMessage)
  {
    sent_.push_back(std::get<PeerStoreUpdate>(aMessage));
    return 1;
  }
  PeerCounters Counters() const { return {}; }

  std::vector<PeerStoreUpdate> sent_;
};

} // namespace

TEST_GROUP(SubscriberSet)
{
  DirectoryTiming timing_;
  StoreView view_;
  RecordingTransport transport_;
  DirectoryState state_{ InstanceId("self"), FleetSettings{} };
  SubscriberSet<RecordingTransport> subscribers_{ transport_, view_, state_, timing_ };
  MonotonicTime now_ = kNow;

  void setup() override
  {
    std::vector<FeedRow> rows;
    for (std::uint64_t i = 1; i <= 500; ++i) {
      rows.push_back(MakeRow("u-" + std::to_string(i), i, std::string(200, 'x')));
    }
    view_.ApplyResponse(FeedTopic::Configuration, MakeResponse(600, kNoRows), false, now_);
    view_.ApplyResponse(FeedTopic::Upstreams, MakeResponse(600, rows), false, now_);
  }

  void Subscribe(std::uint64_t aUpstreamsPosition, std::uint64_t aEra = 0)
  {
    const PeerEndpoint sender{ InstanceId("i"), "127.0.0.1", 7 };
    subscribers_.OnSubscribe(
      sender, { 1, { 0, aUpstreamsPosition, 0, 0 }, {}, aEra }, ViewStatus::Fresh, now_);
  }
  // Returns the number of rows of upstreams in the last message.
  std::size_t LastRowCount() const
  {
    return transport_.sent_.back()
      .topics_.at(static_cast<std::size_t>(FeedTopic::Upstreams))
      .rows_.size();
  }
  std::uint64_t LastPosition() const
  {
    return transport_.sent_.back()
      .topics_.at(static_cast<std::size_t>(FeedTopic::Upstreams))
      .position_;
  }
};

// Guards against rows that are sent again with each renewal of the subscription while the link is
// slow, so that the link carries less and less.
TEST(SubscriberSet, RenewalDoesNotRepeatRowsThatAreOnTheirWay)
{
  Subscribe(0);
  const std::uint64_t firstPart = LastPosition();
  CHECK(LastRowCount() > 0);
  now_ += timing_.subscribeInterval_;
  Subscribe(0);
  CHECK_EQUAL(0, LastRowCount());
  Subscribe(firstPart);
  CHECK(LastRowCount() > 0);
  CHECK(LastPosition() > firstPart);
}

// Guards against a subscriber that never receives rows of a message that was lost.
TEST(SubscriberSet, RowsAreSentAgainIfTheyAreNotConfirmed)
{
  Subscribe(0);
  const std::uint64_t firstPart = LastPosition();
  now_ += timing_.sourceTimeout_ + std::chrono::milliseconds(1);
  Subscribe(0);
  CHECK_EQUAL(firstPart, LastPosition());
  CHECK(LastRowCount() > 0);
}

// Guards against a subscriber that waits for a timeout when it starts again or collects all rows.
TEST(SubscriberSet, SubscriberThatStartsAgainGetsAllRowsAtOnce)
{
  Subscribe(600);
  CHECK_EQUAL(0, LastRowCount());
  Subscribe(0);
  CHECK(LastRowCount() > 0);
}

// Guards against rows of a restored store that a subscriber never receives because its positions in
// the older era are higher, and against rows of the older era that are sent as those of the new
// one.
TEST(SubscriberSet, SubscriberOfAnOlderEraGetsAllRowsOfTheNewOne)
{
  Subscribe(600);
  view_.ObserveEra(1);
  Subscribe(600);
  CHECK_EQUAL(1, transport_.sent_.back().era_);
  CHECK_EQUAL(0, LastPosition());
  FeedResponse response = MakeResponse(300, { MakeRow("u-1", 1), MakeRow("u-2", 300) });
  response.era_ = 1;
  view_.ApplyResponse(FeedTopic::Upstreams, response, false, now_);
  subscribers_.SendChanges(ViewStatus::Pending, now_);
  CHECK_EQUAL(2, LastRowCount());
  CHECK_EQUAL(300, LastPosition());
  // It has not received them yet; after that, there is nothing to send.
  now_ += timing_.sourceTimeout_ + std::chrono::milliseconds(1);
  Subscribe(600);
  CHECK_EQUAL(2, LastRowCount());
  Subscribe(300, 1);
  CHECK_EQUAL(0, LastRowCount());
}

// Guards against a change that waits for the next renewal of the subscription.
TEST(SubscriberSet, ChangesAndConfirmationsAreSentAtOnce)
{
  Subscribe(600);
  const std::size_t sentBefore = transport_.sent_.size();
  subscribers_.SendChanges(ViewStatus::Fresh, now_);
  CHECK_EQUAL(sentBefore, transport_.sent_.size());
  view_.ApplyResponse(FeedTopic::Upstreams, MakeResponse(601, { MakeRow("u-1", 601) }), true, now_);
  subscribers_.SendChanges(ViewStatus::Fresh, now_);
  CHECK_EQUAL(1, LastRowCount());
  const MonotonicTime later = now_ + std::chrono::seconds(1);
  view_.ApplyResponse(FeedTopic::Configuration, MakeResponse(601, kNoRows), true, later);
  view_.ApplyResponse(FeedTopic::Upstreams, MakeResponse(601, kNoRows), true, later);
  subscribers_.SendChanges(ViewStatus::Fresh, later);
  CHECK_EQUAL(sentBefore + 2, transport_.sent_.size());
}

TEST_GROUP(InstanceRegistrar)
{
  FakeScheduler scheduler_;
  FakeStore store_{ scheduler_ };
  FakeNetwork network_{ scheduler_ };
  FakeFeed feed_{ store_, network_, InstanceId("i") };
  DirectoryTiming timing_;
  std::vector<std::vector<InstanceEntry>> batches_;
  std::vector<std::string> errors_;
  InstanceRegistrar<FakeScheduler, FakeFeed> registrar_{
    scheduler_,
    feed_,
    timing_,
    [this](auto aBatch) { batches_.push_back(std::move(aBatch)); },
    [this](std::size_t, const std::string& aError) { errors_.push_back(aError); }
  };
};

TEST(InstanceRegistrar, BatchesHoldEachInstanceOnceAndAreBounded)
{
  const int count = 2 * static_cast<int>(kMaxRegistrations) + 1;
  for (int i = 0; i < 2 * count; ++i) {
    registrar_.Add(MakeInstance("i-" + std::to_string(i % count)));
  }
  CHECK(batches_.empty());
  scheduler_.Advance(timing_.registrationBatchDelay_);
  CHECK_EQUAL(3, batches_.size());
  CHECK_EQUAL(kMaxRegistrations, batches_[0].size());
  CHECK_EQUAL(1, batches_[2].size());
}

// Guards against a failure to register that nobody sees.
TEST(InstanceRegistrar, FailedCallIsReported)
{
  store_.writingUntil_ = scheduler_.Now() + std::chrono::seconds(5);
  const InstanceEntry instance = MakeInstance("i");
  registrar_.Write(std::span(&instance, 1));
  scheduler_.Advance(std::chrono::seconds(1));
  CHECK_EQUAL(1, errors_.size());
}

TEST_GROUP(StoreReader)
{
  FakeScheduler scheduler_;
  FakeStore store_{ scheduler_ };
  FakeNetwork network_{ scheduler_ };
  FakeFeed feed_{ store_, network_, InstanceId("i") };
  DirectoryTiming timing_;
  Jitter jitter_{ 1 };
  StoreView view_;
  bool wanted_ = true;
  std::vector<bool> reachable_;
  StoreReader<FakeScheduler, FakeFeed> reader_{
    scheduler_,
    feed_,
    view_,
    timing_,
    jitter_,
    { .shouldRead_ = [this](FeedTopic aTopic) { return wanted_ && IsRoutingTopic(aTopic); },
      .onEra_ = [this](std::uint64_t aEra) { view_.ObserveEra(aEra); },
      .isRoot_ = [] { return false; },
      .onRows_ = [](FeedTopic, const auto&, MonotonicTime) {},
      .onUnreadable_ = [](const auto&, const auto&) {},
      .onCallEnded_ = [] {},
      .onReachableChanged_ = [this](bool aReachable,
                                    const auto&) { reachable_.push_back(aReachable); } }
  };

  void setup() override
  {
    store_.Put(FeedTopic::Configuration, "config", "1");
    reader_.Start();
    scheduler_.Advance(std::chrono::milliseconds(100));
  }
};

// Guards against an instance that starts to read the store and learns only after a long poll that
// nothing has changed.
TEST(StoreReader, FirstCallAfterAPauseIsAnsweredAtOnce)
{
  wanted_ = false;
  scheduler_.Advance(std::chrono::seconds(3));
  CHECK(!reader_.IsReading());
  wanted_ = true;
  reader_.Start();
  scheduler_.Advance(std::chrono::milliseconds(20));
  CHECK(*view_.ConfirmedAt() >= scheduler_.Now() - std::chrono::milliseconds(20));
}

// The store becomes silent: calls made in its last moments are never answered. Guards against a
// reader that waits for them for good, and against a change that is in force late afterwards.
TEST(StoreReader, CallsOfASilentOutageEndAndTheNextChangeArrives)
{
  store_.unansweredInstances_.insert(InstanceId("i"));
  scheduler_.Advance(std::chrono::milliseconds(3300));
  CHECK(reader_.IsFailing());
  store_.unansweredInstances_.clear();
  store_.Put(FeedTopic::Configuration, "config", "2");
  const std::uint64_t changed = store_.position_;
  scheduler_.Advance(std::chrono::milliseconds(3000));
  CHECK(!reader_.IsFailing());
  CHECK(view_.Position(FeedTopic::Configuration) >= changed);
  CHECK(!reachable_.front());
  CHECK(reachable_.back());
}

// Guards against a change that is in force late because old rows count as new: a response that was
// long on its way shows the store as it was when it was created, not when it arrived.
TEST(StoreReader, LateResponseDoesNotCountAsNew)
{
  constexpr Duration kDelay = std::chrono::milliseconds(800);
  store_.answerDelay_ = kDelay;
  store_.Put(FeedTopic::Configuration, "config", "2");
  store_.Put(FeedTopic::Upstreams, "u-1", {});
  const MonotonicTime changedAt = scheduler_.Now();
  while (view_.Position(FeedTopic::Upstreams) < store_.position_ ||
         view_.CompletePosition(FeedTopic::Configuration) < ToPartPosition(store_.position_ - 1)) {
    scheduler_.Advance(std::chrono::milliseconds(10));
  }
  CHECK(scheduler_.Now() >= changedAt + kDelay);
  CHECK(*view_.ConfirmedAt() <= changedAt + std::chrono::milliseconds(50));
}

TEST_GROUP(StoreClock)
{
  StoreClock clock_;

  // Returns how long before its arrival a response counts as created. The store's clock is 100 s
  // ahead.
  double AgeMs(int aSentMs, int aCreatedMs, int aReceivedMs)
  {
    const auto received = MonotonicTime(std::chrono::milliseconds(aReceivedMs));
    return ToMilliseconds(received -
                          clock_.CreatedAt(MonotonicTime(std::chrono::milliseconds(aSentMs)),
                                           received,
                                           std::chrono::milliseconds(aCreatedMs + 100'000)));
  }
};

TEST(StoreClock, ShortCallsTellWhenTheResponseOfALongOneWasCreated)
{
  DOUBLES_EQUAL(1000, AgeMs(0, 500, 1000), 0.001); // nothing is known yet
  DOUBLES_EQUAL(4, AgeMs(2000, 2002, 2004), 0.001);
  DOUBLES_EQUAL(702, AgeMs(3000, 3300, 4000), 0.001);
}

// Guards against responses that count as too new for good after a machine was suspended, for which
// its steady clock stood still.
TEST(StoreClock, JumpOfAClockIsNoticed)
{
  AgeMs(2000, 2002, 2004);
  DOUBLES_EQUAL(1000, AgeMs(3000, 8500, 4000), 0.001);
  DOUBLES_EQUAL(4, AgeMs(5000, 10002, 5004), 0.001);
}

// Guards against a store that does not tell its time.
TEST(StoreClock, WithoutATimeAResponseIsAsOldAsItsCall)
{
  const MonotonicTime sent(std::chrono::seconds(1));
  CHECK(sent == clock_.CreatedAt(sent, sent + std::chrono::seconds(2), std::nullopt));
}

} // namespace boragepier
