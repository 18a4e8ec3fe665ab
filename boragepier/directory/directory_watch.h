#ifndef BORAGEPIER_DIRECTORY_DIRECTORY_WATCH_H
#define BORAGEPIER_DIRECTORY_DIRECTORY_WATCH_H

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "boragepier/base/random.h"
#include "boragepier/directory/directory_state.h"
#include "boragepier/directory/feed_mirror.h"
#include "boragepier/directory/reader_choice.h"
#include "boragepier/ports/peer_transport.h"
#include "boragepier/ports/scheduler.h"

namespace boragepier {

/// How often the store and other instances are asked.
struct DirectoryTiming
{
  /// Longest time that the store holds a question for changes. Bounds the age of what a reader
  /// knows when its connection to the store goes silent.
  Duration wait_ = std::chrono::milliseconds(1000);
  /// The same for the instances, which are a hint.
  Duration instancesWait_ = std::chrono::seconds(25);
  /// Pause after an answer with changes, so that changes in quick succession come in one answer.
  Duration pause_ = std::chrono::milliseconds(150);
  /// First pause after a failed call; doubled up to the second with every further one.
  Duration firstRetry_ = std::chrono::milliseconds(100);
  Duration lastRetry_ = std::chrono::milliseconds(800);
  /// Pause after a failed call of an instance that nobody follows. A store that refuses it must
  /// serve it for longer than this before any bound applies to it.
  Duration loneRetry_ = std::chrono::milliseconds(2000);
  /// Between two messages to the source that is followed.
  Duration beat_ = std::chrono::milliseconds(250);
  /// A source that confirms nothing for this time is given up: three beats and a trip.
  Duration silence_ = std::chrono::milliseconds(900);
  /// What is known is confirmed if the store was seen to have nothing else less than this ago. It
  /// must cover wait_ and two beats, and leave time to ask the store before a change must be in
  /// force.
  Duration confirmed_ = std::chrono::milliseconds(1700);
  /// Instances that are started together have registered after this time.
  Duration registration_ = std::chrono::milliseconds(400);
  /// After the start, time in which a source is given the chance to send everything.
  Duration patience_ = std::chrono::milliseconds(300);
  /// Between two attempts to return to the first source.
  Duration return_ = std::chrono::seconds(4);
};

/// Keeps a DirectoryState up to date from a store that many instances share.
///
/// One instance reads the store; what changes spreads from it over PeerTransport, along a tree on
/// which all instances agree (PlaceInRelay). An instance that finds no source, or whose knowledge
/// was not confirmed recently, reads the store itself: that it can do at any time, so nothing
/// depends on the tree.
/// Everything runs in the thread of the scheduler.
template<Scheduler S, DirectoryFeed F, PeerTransport P>
class DirectoryWatch
{
public:
  using TableCallback = std::function<void(std::shared_ptr<const RoutingTable>)>;
  using EventCallback = std::function<void(const DirectoryEvent&)>;
  /// Receives whether the store answers this instance, with the error of the call that failed.
  using ContactCallback = std::function<void(bool, const std::string&)>;
  /// Receives the instance that is followed from now on; nothing while the store is read.
  using SourceCallback = std::function<void(const std::optional<InstanceId>&)>;

  /// @param aScheduler outlives this object, like aFeed and aPeers
  /// @param aSelf this instance as others reach it
  /// @param aCapacity of this instance for relaying news
  /// @param aSeed of the jitter of pauses
  DirectoryWatch(S& aScheduler,
                 F& aFeed,
                 P& aPeers,
                 PeerEndpoint aSelf,
                 double aCapacity,
                 const FleetTerms& aTerms,
                 DirectoryTiming aTiming,
                 std::uint64_t aSeed)
    : scheduler_(aScheduler)
    , feed_(aFeed)
    , peers_(aPeers)
    , self_(std::move(aSelf))
    , capacity_(aCapacity)
    , timing_(aTiming)
    , random_(aSeed)
    , state_(self_.id_, aTerms)
  {
  }

  void OnTable(TableCallback aCallback) { onTable_ = std::move(aCallback); }
  void OnEvent(EventCallback aCallback) { onEvent_ = std::move(aCallback); }
  void OnContact(ContactCallback aCallback) { onContact_ = std::move(aCallback); }
  void OnSource(SourceCallback aCallback) { onSource_ = std::move(aCallback); }

  void Start()
  {
    started_ = scheduler_.Now();
    peers_.Start(
      self_,
      [this](const PeerEndpoint& aSender, PeerMessage aMessage, std::size_t) {
        OnMessage(aSender, aMessage);
      },
      [this](const InstanceId& aPeer) { OnUnreachable(aPeer); });
    ReadInstances();
    Beat();
  }

  /// Changes the limits, as after a reload of the settings.
  void SetTerms(const FleetTerms& aTerms)
  {
    state_.SetTerms(aTerms);
    Publish();
  }

  /// Asks those who follow this instance to follow another one.
  void BeginShutdown()
  {
    leaving_ = true;
    SendNewsToAll(false);
  }

  const DirectoryState& State() const { return state_; }

private:
  /// Sources that are tried before the store is read instead.
  static constexpr std::size_t kSources = 4;
  static constexpr std::array<FeedTopic, kFeedTopicCount> kTopics = { FeedTopic::Configuration,
                                                                      FeedTopic::Upstreams,
                                                                      FeedTopic::Instances };

  struct Topic
  {
    FeedMirror mirror_;
    bool known_ = false;  ///< all rows up to the mirror's position are known
    bool asking_ = false; ///< a call, or the pause before it, is under way
    Duration retry_{};
    std::optional<MonotonicTime> confirmedAt_;
  };

  struct Follower
  {
    PeerEndpoint endpoint_;
    MonotonicTime heardAt_;
    std::uint64_t sentAtMs_ = 0; ///< of its last message, by its own clock
    std::array<std::uint64_t, kFeedTopicCount> positions_{};
  };

  Topic& Of(FeedTopic aTopic) { return topics_[static_cast<std::size_t>(aTopic)]; }
  static bool IsVital(FeedTopic aTopic) { return aTopic != FeedTopic::Instances; }

  // Whether configuration and upstreams were confirmed within aLimit.
  bool Confirmed(MonotonicTime aNow)
  {
    return std::all_of(kTopics.begin(), kTopics.end(), [&](FeedTopic aTopic) {
      const auto& confirmed = Of(aTopic).confirmedAt_;
      return !IsVital(aTopic) || (confirmed && aNow - *confirmed <= timing_.confirmed_);
    });
  }

  bool IsAsking() const
  {
    return std::any_of(
      topics_.begin(), topics_.end(), [](const Topic& aTopic) { return aTopic.asking_; });
  }
  bool WantsStore(MonotonicTime aNow)
  {
    if (!instancesRead_ || (target_ && aNow - started_ < timing_.patience_)) {
      return false;
    }
    return !target_ || !Confirmed(aNow);
  }

  // --- the store ---------------------------------------------------------------------------

  void ReadInstances()
  {
    feed_.Read(FeedTopic::Instances, [this](FeedResponse aPage) {
      Topic& topic = Of(FeedTopic::Instances);
      if (aPage.status_ != FeedStatus::Ok) {
        instancesRead_ = true;
        OnFailed(aPage.error_);
        scheduler_.After(Jittered(timing_.loneRetry_), [this] { ReadInstances(); });
        FollowStore();
        return;
      }
      OnAnswered();
      TakeIn(FeedTopic::Instances,
             topic.mirror_.OnSnapshot(aPage.rows_, aPage.position_),
             scheduler_.Now());
      topic.known_ = true;
      Publish();
      if (!registered_ && !IsListed()) {
        // Others may be starting at the same moment, so the list is read again a little later.
        registered_ = true;
        Register(Entry());
        scheduler_.After(timing_.registration_, [this] { ReadInstances(); });
        return;
      }
      instancesRead_ = true;
      started_ = scheduler_.Now();
      FollowFirst();
      FollowStore();
    });
  }

  bool IsListed() const
  {
    const auto instances = state_.Instances();
    return std::find(instances.begin(), instances.end(), Entry()) != instances.end();
  }

  void Register(const InstanceEntry& aSelf)
  {
    feed_.Register(aSelf, [this, aSelf](const FeedResponse& aPage) {
      if (aPage.status_ != FeedStatus::Ok) {
        // Writing the same row twice has no effect, so a lost answer needs no reading back.
        scheduler_.After(Jittered(timing_.loneRetry_), [this, aSelf] { Register(aSelf); });
      }
    });
  }

  // Starts to ask the store for what is wanted from it and not being asked for.
  void FollowStore()
  {
    if (!WantsStore(scheduler_.Now())) {
      return;
    }
    for (const FeedTopic topic : kTopics) {
      if (!Of(topic).asking_ && (IsVital(topic) || place_.reads_)) {
        Of(topic).asking_ = true;
        Ask(topic);
      }
    }
    TellSource();
  }

  void Ask(FeedTopic aTopic)
  {
    const Topic& topic = Of(aTopic);
    const Duration wait = IsVital(aTopic) ? timing_.wait_ : timing_.instancesWait_;
    // The store says that nothing changed at the end of the wait, however late that arrives.
    const MonotonicTime waitedUntil = scheduler_.Now() + wait;
    const auto done =
      [this, aTopic, waitedUntil, wasKnown = topic.known_](const FeedResponse& aPage) {
        OnPage(aTopic, wasKnown, waitedUntil, aPage);
      };
    if (topic.known_) {
      feed_.Wait(aTopic, topic.mirror_.Position(), wait, done);
    } else {
      feed_.Read(aTopic, done);
    }
  }

  void OnPage(FeedTopic aTopic,
              bool aChangesOnly,
              MonotonicTime aWaitedUntil,
              const FeedResponse& aPage)
  {
    const MonotonicTime now = scheduler_.Now();
    Topic& topic = Of(aTopic);
    Duration pause{};
    if (aPage.status_ == FeedStatus::Ok && aPage.position_ >= topic.mirror_.Position()) {
      OnAnswered();
      const bool silentWait = aChangesOnly && aPage.rows_.empty();
      const MonotonicTime seenAt = silentWait ? std::min(now, aWaitedUntil) : now;
      SeeTopic(aTopic, seenAt, now);
      const auto changed = aChangesOnly ? topic.mirror_.OnChanges(aPage.rows_, aPage.position_)
                                        : topic.mirror_.OnSnapshot(aPage.rows_, aPage.position_);
      TakeIn(aTopic, changed, now);
      topic.known_ = true;
      topic.confirmedAt_ = seenAt;
      topic.retry_ = {};
      if (!changed.empty()) {
        pause = Jittered(timing_.pause_);
        SendNewsToAll(true);
      }
    } else if (aPage.status_ == FeedStatus::HistoryLost) {
      OnAnswered();
      topic.known_ = false;
    } else {
      // A position below the known one is an answer from before it.
      const bool stale = aPage.status_ == FeedStatus::Ok;
      OnFailed(stale ? std::string("stale answer") : aPage.error_);
      topic.retry_ = std::clamp(2 * topic.retry_, timing_.firstRetry_, timing_.lastRetry_);
      pause = Jittered(place_.reads_ ? topic.retry_ : timing_.loneRetry_);
    }
    Publish();
    scheduler_.After(pause, [this, aTopic] {
      if (WantsStore(scheduler_.Now()) && (IsVital(aTopic) || place_.reads_)) {
        Ask(aTopic);
      } else {
        Of(aTopic).asking_ = false;
        TellSource();
      }
    });
  }

  void OnAnswered()
  {
    if (std::exchange(failing_, false) && onContact_) {
      onContact_(true, {});
    }
  }

  void OnFailed(const std::string& aError)
  {
    if (!std::exchange(failing_, true)) {
      SendNewsToAll(false);
      if (onContact_) {
        onContact_(false, aError);
      }
    }
  }

  // --- other instances ---------------------------------------------------------------------

  // Begins to follow the first source, after the start or a change of the tree.
  void FollowFirst()
  {
    target_.reset();
    if (instancesRead_ && !place_.sources_.empty()) {
      Target(0);
    }
  }

  void Target(std::size_t aSource)
  {
    target_ = aSource;
    heardAt_ = scheduler_.Now();
    SendFollow(aSource);
  }

  // Gives up the source. Without a further one the store is read until the first one is back.
  void NextSource()
  {
    if (*target_ + 1 < place_.sources_.size()) {
      Target(*target_ + 1);
    } else {
      target_.reset();
      triedFirstAt_ = scheduler_.Now();
      FollowStore();
    }
  }

  bool Follows(const InstanceId& aId) const
  {
    return target_ && place_.sources_[*target_].id_ == aId;
  }

  void SendFollow(std::size_t aSource)
  {
    PeerSubscribe follow;
    follow.sentAtMs_ = ToClockMs(scheduler_.Now());
    for (const Topic& topic : topics_) {
      follow.positions_.push_back(topic.mirror_.Position());
    }
    const InstanceEntry& source = place_.sources_[aSource];
    peers_.Send({ source.id_, source.address_, source.port_ }, follow);
  }

  void Beat()
  {
    const MonotonicTime now = scheduler_.Now();
    std::erase_if(followers_, [&](const auto& aFollower) {
      return now - aFollower.second.heardAt_ > 2 * timing_.silence_;
    });
    if (target_ && now - heardAt_ > timing_.silence_) {
      NextSource();
    } else if (target_) {
      SendFollow(*target_);
    }
    if (target_ != 0 && instancesRead_ && !place_.sources_.empty() &&
        now - triedFirstAt_ > timing_.return_) {
      triedFirstAt_ = now;
      SendFollow(0);
    }
    FollowStore();
    scheduler_.After(Jittered(timing_.beat_), [this] { Beat(); });
  }

  void OnUnreachable(const InstanceId& aPeer)
  {
    if (Follows(aPeer)) {
      NextSource();
    }
    followers_.erase(aPeer);
  }

  void OnMessage(const PeerEndpoint& aSender, const PeerMessage& aMessage)
  {
    if (const auto* const follow = std::get_if<PeerSubscribe>(&aMessage)) {
      OnFollow(aSender, *follow);
    } else if (const auto* const news = std::get_if<PeerStoreUpdate>(&aMessage)) {
      OnNews(aSender, *news);
    }
  }

  void OnFollow(const PeerEndpoint& aSender, const PeerSubscribe& aFollow)
  {
    if (aFollow.positions_.size() != kFeedTopicCount) {
      return;
    }
    Follower& follower = followers_[aSender.id_];
    follower.endpoint_ = aSender;
    follower.heardAt_ = scheduler_.Now();
    follower.sentAtMs_ = aFollow.sentAtMs_;
    std::copy(aFollow.positions_.begin(), aFollow.positions_.end(), follower.positions_.begin());
    SendNews(follower);
  }

  void SendNewsToAll(bool aOnlyChanges)
  {
    for (auto& [id, follower] : followers_) {
      bool behind = false;
      for (std::size_t i = 0; i < kFeedTopicCount; ++i) {
        behind = behind || follower.positions_[i] < topics_[i].mirror_.Position();
      }
      if (behind || !aOnlyChanges) {
        SendNews(follower);
      }
    }
  }

  void SendNews(Follower& aFollower)
  {
    const MonotonicTime now = scheduler_.Now();
    PeerStoreUpdate news;
    news.storeAnswers_ = !failing_ && !leaving_ && Confirmed(now);
    news.subscribeSentAtMs_ = aFollower.sentAtMs_;
    news.subscribeHeldMs_ = static_cast<std::uint64_t>(ToMilliseconds(now - aFollower.heardAt_));
    for (const FeedTopic name : kTopics) {
      const Topic& topic = Of(name);
      std::uint64_t& position = aFollower.positions_[static_cast<std::size_t>(name)];
      PeerStoreUpdate::Topic& part = news.topics_.emplace_back();
      if (!topic.confirmedAt_) {
        continue; // a part without a position says nothing
      }
      part.from_ = position;
      part.position_ = position;
      part.complete_ = true;
      part.ageMs_ = static_cast<std::uint64_t>(ToMilliseconds(now - *topic.confirmedAt_));
      if (topic.known_ && topic.mirror_.Position() > position) {
        auto changes = topic.mirror_.Since(position, kMaxStoreUpdateBytes / kFeedTopicCount);
        part.complete_ = changes.position_ >= topic.mirror_.Position();
        part.rows_ = std::move(changes.rows_);
        part.position_ = changes.position_;
        position = changes.position_;
      }
    }
    peers_.Send(aFollower.endpoint_, news);
  }

  void OnNews(const PeerEndpoint& aSender, const PeerStoreUpdate& aNews)
  {
    const bool fromTarget = Follows(aSender.id_);
    const bool fromFirst = !place_.sources_.empty() && place_.sources_.front().id_ == aSender.id_;
    if ((!fromTarget && !fromFirst) || aNews.topics_.size() != kFeedTopicCount) {
      return;
    }
    const MonotonicTime now = scheduler_.Now();
    const std::uint64_t madeAtMs = aNews.subscribeSentAtMs_ + aNews.subscribeHeldMs_;
    if (madeAtMs > ToClockMs(now)) {
      return;
    }
    bool partial = false;
    bool changed = false;
    for (const FeedTopic name : kTopics) {
      const PeerStoreUpdate::Topic& part = aNews.topics_[static_cast<std::size_t>(name)];
      Topic& topic = Of(name);
      if (part.position_ == 0 || part.from_ > topic.mirror_.Position()) {
        continue;
      }
      const MonotonicTime seenAt = FromClockMs(madeAtMs - std::min(part.ageMs_, madeAtMs));
      SeeTopic(name, seenAt, now);
      TakeIn(name, topic.mirror_.OnChanges(part.rows_, part.position_), now);
      topic.known_ = true;
      changed = changed || !part.rows_.empty();
      partial = partial || (!part.rows_.empty() && !part.complete_);
      if (part.complete_ && part.position_ >= topic.mirror_.Position()) {
        topic.confirmedAt_ = std::max(topic.confirmedAt_.value_or(seenAt), seenAt);
      }
    }
    if (changed) {
      SendNewsToAll(true);
    }
    if (aNews.storeAnswers_ && !IsAsking()) {
      // Trouble of this instance with the store ends for it with news from a reader.
      OnAnswered();
    }
    Publish();
    if (fromFirst && !fromTarget && aNews.storeAnswers_) {
      target_ = 0;
    }
    if (Follows(aSender.id_)) {
      // A source that cannot confirm what it knows is given up like a silent one.
      if (aNews.storeAnswers_) {
        heardAt_ = now;
      }
      if (partial) {
        SendFollow(*target_);
      }
    }
    TellSource();
  }

  // --- what is known -----------------------------------------------------------------------

  void SeeTopic(FeedTopic aTopic, MonotonicTime aSeenAt, MonotonicTime aNow)
  {
    if (aTopic == FeedTopic::Upstreams) {
      state_.OnUpstreamsSeen(aSeenAt, aNow);
    }
  }

  void TakeIn(FeedTopic aTopic, std::span<const FeedRow> aRows, MonotonicTime aNow)
  {
    std::vector<DecodedFeedRow> items;
    for (const FeedRow& row : aRows) {
      items.push_back(feed_.Decode(aTopic, row, aNow));
    }
    state_.OnChanges(items, aNow);
  }

  void Publish()
  {
    for (const DirectoryEvent& event : state_.TakeEvents()) {
      if (onEvent_) {
        onEvent_(event);
      }
    }
    if (state_.TakeChanged()) {
      RefreshPlace();
      if (onTable_) {
        onTable_(state_.Table());
      }
    }
    if (const auto next = state_.NextAdvance(); next && !advanceArmed_) {
      advanceArmed_ = true;
      scheduler_.After(std::max(Duration(0), *next - scheduler_.Now()), [this] {
        advanceArmed_ = false;
        state_.Advance(scheduler_.Now());
        Publish();
      });
    }
  }

  void RefreshPlace()
  {
    std::vector<InstanceEntry> instances = state_.Instances();
    if (!IsListed()) {
      std::erase_if(instances,
                    [&](const InstanceEntry& aInstance) { return aInstance.id_ == self_.id_; });
      instances.push_back(Entry());
    }
    RelayPlace place = PlaceInRelay(instances, self_.id_, kSources);
    if (place.sources_ != place_.sources_ || place.reads_ != place_.reads_) {
      place_ = std::move(place);
      FollowFirst();
    }
  }

  InstanceEntry Entry() const { return { self_.id_, self_.address_, self_.port_, capacity_ }; }

  void TellSource()
  {
    std::optional<InstanceId> source;
    if (!IsAsking() && target_) {
      source = place_.sources_[*target_].id_;
    }
    if (!told_ || source != source_) {
      told_ = true;
      source_ = source;
      if (onSource_) {
        onSource_(source);
      }
    }
  }

  Duration Jittered(Duration aDuration)
  {
    return aDuration * (85 + static_cast<int>(random_(30))) / 100;
  }

  static std::uint64_t ToClockMs(MonotonicTime aTime)
  {
    return static_cast<std::uint64_t>(ToMilliseconds(aTime.time_since_epoch()));
  }
  static MonotonicTime FromClockMs(std::uint64_t aMs)
  {
    return MonotonicTime(std::chrono::milliseconds(aMs));
  }

  S& scheduler_;
  F& feed_;
  P& peers_;
  const PeerEndpoint self_;
  const double capacity_;
  const DirectoryTiming timing_;
  Random random_;
  DirectoryState state_;
  std::array<Topic, kFeedTopicCount> topics_{};
  MonotonicTime started_;
  bool instancesRead_ = false;
  bool registered_ = false;
  bool failing_ = false;
  bool leaving_ = false;
  bool advanceArmed_ = false;

  RelayPlace place_;
  std::optional<std::size_t> target_; ///< the source that is followed, if any
  MonotonicTime heardAt_;             ///< when the target was chosen or heard from last
  MonotonicTime triedFirstAt_;
  std::map<InstanceId, Follower> followers_;

  bool told_ = false;
  std::optional<InstanceId> source_;
  TableCallback onTable_;
  EventCallback onEvent_;
  ContactCallback onContact_;
  SourceCallback onSource_;
};

} // namespace boragepier

#endif
