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
#include "boragepier/directory/relay_tree.h"
#include "boragepier/ports/peer_transport.h"
#include "boragepier/ports/scheduler.h"

namespace boragepier {

/// Intervals and timeouts of a DirectoryWatch. Retry delays, the coalescing delay and the subscribe
/// interval get a random jitter of up to 15 %.
struct DirectoryTiming
{
  /// Longest time for which the store holds a long poll for configuration or upstreams. Bounds the
  /// age of the data of a reader whose connection to the store goes silent.
  Duration longPollWait_ = std::chrono::milliseconds(1000);
  /// The same for the list of instances, which may be out of date.
  Duration instancesLongPollWait_ = std::chrono::seconds(25);
  /// Delay before the next read after an answer with changes, so that changes in quick succession
  /// arrive in one answer.
  Duration coalescingDelay_ = std::chrono::milliseconds(150);
  /// Delay before the root of the relay tree retries a failed call; doubles with each further
  /// failure up to maxBackoff_.
  Duration initialBackoff_ = std::chrono::milliseconds(100);
  Duration maxBackoff_ = std::chrono::milliseconds(800);
  /// Time from the start of a failed call to its retry by the other instances, also for the
  /// registration and the first read of the list of instances. Bounds on the age of the data of
  /// such an instance hold only once the store has answered it again for longer than this.
  Duration nonRootRetryDelay_ = std::chrono::milliseconds(2000);
  /// Time between two PeerSubscribe messages to the current source.
  Duration subscribeInterval_ = std::chrono::milliseconds(250);
  /// A source that has not confirmed its data for this time is replaced. Covers three subscribe
  /// intervals and the network delay. A subscriber that is silent for twice this time is dropped.
  Duration sourceTimeout_ = std::chrono::milliseconds(900);
  /// Data counts as fresh if the store was observed to hold nothing newer less than this ago. Must
  /// cover longPollWait_ and two subscribe intervals, and leave enough time to read the store
  /// before a change must be active.
  Duration stalenessBound_ = std::chrono::milliseconds(1700);
  /// Delay between registration and the second read of the list of instances. Instances that are
  /// started together have all registered after this time.
  Duration registrationSettleTime_ = std::chrono::milliseconds(400);
  /// After the start, time that a source has to send all data before the store is read instead.
  Duration initialSyncTimeout_ = std::chrono::milliseconds(300);
  /// Time between two attempts to return to the preferred source.
  Duration preferredSourceRetryInterval_ = std::chrono::seconds(4);
};

/// Keeps a DirectoryState up to date from a store that many instances share.
///
/// One instance, the root, reads the store with long polls. The others receive the changes over
/// PeerTransport along a tree that all instances compute alike (ComputeRelayRole()): each
/// subscribes to one source, its parent in the tree, by sending it PeerSubscribe at intervals, and
/// receives PeerStoreUpdate messages from it. An instance without a source, or whose data is no
/// longer fresh (see DirectoryTiming::stalenessBound_), reads the store itself. It can do so at any
/// time, so no instance depends on the tree.
///
/// All functions are called, and all callbacks run, in the thread of the scheduler.
template<Scheduler S, DirectoryFeed F, PeerTransport P>
class DirectoryWatch
{
public:
  using RoutingCallback = std::function<void(std::shared_ptr<const RoutingTable>)>;
  using EventCallback = std::function<void(const DirectoryEvent&)>;
  /// Receives whether the store answers this instance, and the error of the failed call if not.
  using StoreReachableCallback = std::function<void(bool, const std::string&)>;
  /// Receives the instance that is the source from now on, or nothing if the store is read instead.
  using SourceCallback = std::function<void(const std::optional<InstanceId>&)>;

  /// @param aScheduler must outlive this object, like aFeed and aPeers
  /// @param aFeed calls to the store
  /// @param aPeers messages to and from other instances
  /// @param aSelf id of this instance and the address at which others reach it
  /// @param aCapacity relay capacity of this instance; see InstanceEntry::capacity_
  /// @param aSettings settings that apply to all instances together
  /// @param aTiming intervals and timeouts
  /// @param aSeed seed of the random jitter
  DirectoryWatch(S& aScheduler,
                 F& aFeed,
                 P& aPeers,
                 PeerEndpoint aSelf,
                 double aCapacity,
                 const FleetSettings& aSettings,
                 DirectoryTiming aTiming,
                 std::uint64_t aSeed)
    : scheduler_(aScheduler)
    , feed_(aFeed)
    , peers_(aPeers)
    , self_(std::move(aSelf))
    , capacity_(aCapacity)
    , timing_(aTiming)
    , random_(aSeed)
    , state_(self_.id_, aSettings)
  {
  }

  /// Called with each new routing table; set before Start().
  void OnRoutingChanged(RoutingCallback aCallback) { onRoutingChanged_ = std::move(aCallback); }
  /// Called for each change in the directory; set before Start().
  void OnEvent(EventCallback aCallback) { onEvent_ = std::move(aCallback); }
  /// Called when the store stops or starts to answer; set before Start().
  void OnStoreReachableChanged(StoreReachableCallback aCallback)
  {
    onStoreReachableChanged_ = std::move(aCallback);
  }
  /// Called when the origin of the data changes; set before Start().
  void OnSourceChanged(SourceCallback aCallback) { onSourceChanged_ = std::move(aCallback); }

  /// Registers this instance and starts to read the store and to subscribe to a source.
  void Start()
  {
    startedAt_ = scheduler_.Now();
    peers_.Start(
      self_,
      [this](const PeerEndpoint& aSender, PeerMessage aMessage, std::size_t) {
        OnMessage(aSender, aMessage);
      },
      [this](const InstanceId& aPeer) { OnUnreachable(aPeer); });
    ReadInstanceList();
    OnSubscribeTimer();
  }

  /// Replaces the settings, for example after a reload, and publishes a new routing table.
  void SetFleetSettings(const FleetSettings& aSettings)
  {
    state_.SetFleetSettings(aSettings);
    Publish();
  }

  /// Tells the subscribers of this instance that it confirms no more data, so that they change to
  /// another source. Its own reads and subscription go on.
  void BeginShutdown()
  {
    shuttingDown_ = true;
    SendStoreUpdateToAll(false);
  }

  const DirectoryState& State() const { return state_; }

private:
  /// Number of sources that are tried before the store is read instead.
  static constexpr std::size_t kMaxSources = 4;
  static constexpr std::array<FeedTopic, kFeedTopicCount> kTopics = { FeedTopic::Configuration,
                                                                      FeedTopic::Upstreams,
                                                                      FeedTopic::Instances };

  /// While the store does not answer, instances other than the root ask for this topic only.
  static constexpr FeedTopic kProbeTopic = FeedTopic::Configuration;
  using TimerId = decltype(std::declval<S&>().After(std::declval<Duration>(),
                                                    std::declval<std::function<void()>>()));

  struct TopicState
  {
    FeedMirror mirror_;
    bool synced_ = false;  ///< the mirror has all rows up to its position
    bool reading_ = false; ///< a call to the store, or the delay before the next, is pending
    std::optional<TimerId> nextRequest_; ///< end of the delay before the next call, if pending
    Duration backoff_{};                 ///< delay before the last retry; 0 after a success
    std::optional<MonotonicTime> confirmedAt_; ///< when the store last held nothing newer
  };

  struct Subscriber
  {
    PeerEndpoint endpoint_;
    MonotonicTime heardAt_;      ///< arrival of its last PeerSubscribe
    std::uint64_t sentAtMs_ = 0; ///< PeerSubscribe::sentAtMs_ of that message
    std::array<std::uint64_t, kFeedTopicCount> positions_{}; ///< up to which it has the rows
  };

  TopicState& TopicStateOf(FeedTopic aTopic) { return topics_[static_cast<std::size_t>(aTopic)]; }
  // Routing needs the topic up to date; the list of instances may be out of date.
  static bool IsRoutingTopic(FeedTopic aTopic) { return aTopic != FeedTopic::Instances; }

  // Whether configuration and upstreams were both confirmed within the staleness bound.
  bool IsFresh(MonotonicTime aNow)
  {
    return std::all_of(kTopics.begin(), kTopics.end(), [&](FeedTopic aTopic) {
      const auto& confirmed = TopicStateOf(aTopic).confirmedAt_;
      return !IsRoutingTopic(aTopic) || (confirmed && aNow - *confirmed <= timing_.stalenessBound_);
    });
  }

  bool IsReadingStore() const
  {
    return std::any_of(
      topics_.begin(), topics_.end(), [](const TopicState& aState) { return aState.reading_; });
  }

  bool ShouldReadStore(MonotonicTime aNow)
  {
    if (!instanceListRead_ || (sourceIndex_ && aNow - startedAt_ < timing_.initialSyncTimeout_)) {
      return false;
    }
    return !sourceIndex_ || !IsFresh(aNow);
  }

  // --- reading the store ---

  void ReadInstanceList()
  {
    feed_.Read(FeedTopic::Instances, [this, startedAt = scheduler_.Now()](FeedResponse aPage) {
      TopicState& topicState = TopicStateOf(FeedTopic::Instances);
      if (aPage.status_ != FeedStatus::Ok) {
        instanceListRead_ = true;
        OnStoreFailed(aPage.error_);
        scheduler_.After(NonRootRetryPause(startedAt), [this] { ReadInstanceList(); });
        StartStoreReads();
        return;
      }
      OnStoreAnswered();
      ApplyRows(FeedTopic::Instances,
                topicState.mirror_.ApplySnapshot(aPage.rows_, aPage.position_),
                scheduler_.Now());
      topicState.synced_ = true;
      Publish();
      if (!registrationSent_ && !IsSelfListed()) {
        // Other instances may start at the same moment, so the list is read again after a delay.
        registrationSent_ = true;
        Register(SelfEntry());
        scheduler_.After(timing_.registrationSettleTime_, [this] { ReadInstanceList(); });
        return;
      }
      instanceListRead_ = true;
      startedAt_ = scheduler_.Now();
      SubscribeToPreferredSource();
      StartStoreReads();
    });
  }

  bool IsSelfListed() const
  {
    const auto instances = state_.Instances();
    return std::find(instances.begin(), instances.end(), SelfEntry()) != instances.end();
  }

  void Register(const InstanceEntry& aSelfEntry)
  {
    feed_.Register(aSelfEntry,
                   [this, aSelfEntry, startedAt = scheduler_.Now()](const FeedResponse& aPage) {
                     if (aPage.status_ != FeedStatus::Ok) {
                       // Registration is idempotent, so it is safe to repeat a call whose answer
                       // was lost.
                       scheduler_.After(NonRootRetryPause(startedAt),
                                        [this, aSelfEntry] { Register(aSelfEntry); });
                     }
                   });
  }

  bool ShouldReadTopic(FeedTopic aTopic)
  {
    return ShouldReadStore(scheduler_.Now()) &&
           (relayRole_.isRoot_ ||
            (IsRoutingTopic(aTopic) && (!storeFailing_ || aTopic == kProbeTopic)));
  }

  // Starts to read each topic that should come from the store and is not being read yet.
  void StartStoreReads()
  {
    for (const FeedTopic topic : kTopics) {
      if (!TopicStateOf(topic).reading_ && ShouldReadTopic(topic)) {
        TopicStateOf(topic).reading_ = true;
        RequestTopic(topic);
      }
    }
    ReportSource();
  }

  // A call to the store that was sent.
  struct PendingCall
  {
    FeedTopic topic_;
    bool changesOnly_; ///< reads the changes since a position rather than all rows
    MonotonicTime startedAt_;
    Duration wait_; ///< longest time that the store holds the call
  };

  void RequestTopic(FeedTopic aTopic)
  {
    const TopicState& topicState = TopicStateOf(aTopic);
    // A long poll would show only after its wait that the store still does not answer.
    const Duration wait = storeFailing_            ? Duration(0)
                          : IsRoutingTopic(aTopic) ? timing_.longPollWait_
                                                   : timing_.instancesLongPollWait_;
    const PendingCall call{ aTopic, topicState.synced_, scheduler_.Now(), wait };
    const auto done = [this, call](const FeedResponse& aPage) { OnStoreReply(call, aPage); };
    if (call.changesOnly_) {
      feed_.Wait(aTopic, topicState.mirror_.Position(), wait, done);
    } else {
      feed_.Read(aTopic, done);
    }
  }

  void OnStoreReply(const PendingCall& aCall, const FeedResponse& aPage)
  {
    const MonotonicTime now = scheduler_.Now();
    const FeedTopic topic = aCall.topic_;
    TopicState& topicState = TopicStateOf(topic);
    Duration pause{};
    if (aPage.status_ == FeedStatus::Ok && aPage.position_ >= topicState.mirror_.Position()) {
      OnStoreAnswered();
      // An answer without changes describes the store at the end of the wait, however late it
      // arrives.
      const bool waitTimedOut = aCall.changesOnly_ && aPage.rows_.empty();
      const MonotonicTime observedAt =
        waitTimedOut ? std::min(now, aCall.startedAt_ + aCall.wait_) : now;
      RecordObservation(topic, observedAt, now);
      const auto changed = aCall.changesOnly_
                             ? topicState.mirror_.ApplyChanges(aPage.rows_, aPage.position_)
                             : topicState.mirror_.ApplySnapshot(aPage.rows_, aPage.position_);
      ApplyRows(topic, changed, now);
      topicState.synced_ = true;
      topicState.confirmedAt_ = observedAt;
      topicState.backoff_ = {};
      if (!changed.empty()) {
        pause = Jittered(timing_.coalescingDelay_);
        SendStoreUpdateToAll(true);
      }
    } else if (aPage.status_ == FeedStatus::HistoryLost) {
      OnStoreAnswered();
      topicState.synced_ = false;
    } else {
      // The answer is older than the mirror if its position is lower.
      const bool isStale = aPage.status_ == FeedStatus::Ok;
      OnStoreFailed(isStale ? std::string("stale answer") : aPage.error_);
      topicState.backoff_ =
        std::clamp(2 * topicState.backoff_, timing_.initialBackoff_, timing_.maxBackoff_);
      pause =
        relayRole_.isRoot_ ? Jittered(topicState.backoff_) : NonRootRetryPause(aCall.startedAt_);
    }
    Publish();
    topicState.nextRequest_ = scheduler_.After(pause, [this, topic] { ContinueReading(topic); });
  }

  // Sends the next call for a topic that is being read, or stops to read it.
  void ContinueReading(FeedTopic aTopic)
  {
    TopicState& topicState = TopicStateOf(aTopic);
    topicState.nextRequest_.reset();
    if (ShouldReadTopic(aTopic)) {
      RequestTopic(aTopic);
    } else {
      topicState.reading_ = false;
      ReportSource();
    }
  }

  // Returns the delay before the retry of a call that failed now.
  Duration NonRootRetryPause(MonotonicTime aStartedAt)
  {
    const Duration elapsed = scheduler_.Now() - aStartedAt;
    return std::max(timing_.initialBackoff_, Jittered(timing_.nonRootRetryDelay_) - elapsed);
  }

  void OnStoreAnswered()
  {
    if (!std::exchange(storeFailing_, false)) {
      return;
    }
    if (onStoreReachableChanged_) {
      onStoreReachableChanged_(true, {});
    }
    // The other topics need not wait until their retry delays end.
    for (const FeedTopic topic : kTopics) {
      if (const auto timer = TopicStateOf(topic).nextRequest_) {
        scheduler_.Cancel(*timer);
        ContinueReading(topic);
      }
    }
    StartStoreReads();
  }

  void OnStoreFailed(const std::string& aError)
  {
    if (!std::exchange(storeFailing_, true)) {
      SendStoreUpdateToAll(false);
      if (onStoreReachableChanged_) {
        onStoreReachableChanged_(false, aError);
      }
    }
  }

  // --- sources and subscribers ---

  // Subscribes to the preferred source, after the start or a change of the tree.
  void SubscribeToPreferredSource()
  {
    sourceIndex_.reset();
    if (instanceListRead_ && !relayRole_.sources_.empty()) {
      SubscribeToSource(0);
    }
  }

  void SubscribeToSource(std::size_t aSourceIndex)
  {
    sourceIndex_ = aSourceIndex;
    sourceAliveAt_ = scheduler_.Now();
    SendSubscribe(aSourceIndex);
  }

  // Gives up the current source. After the last one, the store is read until the preferred source
  // is back.
  void SubscribeToNextSource()
  {
    if (*sourceIndex_ + 1 < relayRole_.sources_.size()) {
      SubscribeToSource(*sourceIndex_ + 1);
    } else {
      sourceIndex_.reset();
      preferredSourceTriedAt_ = scheduler_.Now();
      StartStoreReads();
    }
  }

  bool IsCurrentSource(const InstanceId& aId) const
  {
    return sourceIndex_ && relayRole_.sources_[*sourceIndex_].id_ == aId;
  }

  void SendSubscribe(std::size_t aSourceIndex)
  {
    PeerSubscribe subscribe;
    subscribe.sentAtMs_ = ToClockMs(scheduler_.Now());
    for (const TopicState& topicState : topics_) {
      subscribe.positions_.push_back(topicState.mirror_.Position());
    }
    const InstanceEntry& source = relayRole_.sources_[aSourceIndex];
    peers_.Send({ source.id_, source.address_, source.port_ }, subscribe);
  }

  void OnSubscribeTimer()
  {
    const MonotonicTime now = scheduler_.Now();
    std::erase_if(subscribers_, [&](const auto& aSubscriber) {
      return now - aSubscriber.second.heardAt_ > 2 * timing_.sourceTimeout_;
    });
    if (sourceIndex_ && now - sourceAliveAt_ > timing_.sourceTimeout_) {
      SubscribeToNextSource();
    } else if (sourceIndex_) {
      SendSubscribe(*sourceIndex_);
    }
    // While the store or another source is used, the preferred source is tried again at intervals.
    if (sourceIndex_ != 0 && instanceListRead_ && !relayRole_.sources_.empty() &&
        now - preferredSourceTriedAt_ > timing_.preferredSourceRetryInterval_) {
      preferredSourceTriedAt_ = now;
      SendSubscribe(0);
    }
    StartStoreReads();
    scheduler_.After(Jittered(timing_.subscribeInterval_), [this] { OnSubscribeTimer(); });
  }

  void OnUnreachable(const InstanceId& aPeer)
  {
    if (IsCurrentSource(aPeer)) {
      SubscribeToNextSource();
    }
    subscribers_.erase(aPeer);
  }

  void OnMessage(const PeerEndpoint& aSender, const PeerMessage& aMessage)
  {
    if (const auto* const subscribe = std::get_if<PeerSubscribe>(&aMessage)) {
      OnSubscribe(aSender, *subscribe);
    } else if (const auto* const storeUpdate = std::get_if<PeerStoreUpdate>(&aMessage)) {
      OnStoreUpdate(aSender, *storeUpdate);
    }
  }

  void OnSubscribe(const PeerEndpoint& aSender, const PeerSubscribe& aSubscribe)
  {
    if (aSubscribe.positions_.size() != kFeedTopicCount) {
      return;
    }
    Subscriber& subscriber = subscribers_[aSender.id_];
    subscriber.endpoint_ = aSender;
    subscriber.heardAt_ = scheduler_.Now();
    subscriber.sentAtMs_ = aSubscribe.sentAtMs_;
    std::copy(
      aSubscribe.positions_.begin(), aSubscribe.positions_.end(), subscriber.positions_.begin());
    SendStoreUpdate(subscriber);
  }

  // Sends a store update to all subscribers, or only to those that lack rows.
  void SendStoreUpdateToAll(bool aOnlyIfBehind)
  {
    for (auto& [id, subscriber] : subscribers_) {
      bool behind = false;
      for (std::size_t i = 0; i < kFeedTopicCount; ++i) {
        behind = behind || subscriber.positions_[i] < topics_[i].mirror_.Position();
      }
      if (behind || !aOnlyIfBehind) {
        SendStoreUpdate(subscriber);
      }
    }
  }

  void SendStoreUpdate(Subscriber& aSubscriber)
  {
    const MonotonicTime now = scheduler_.Now();
    PeerStoreUpdate storeUpdate;
    storeUpdate.storeAnswers_ = !storeFailing_ && !shuttingDown_ && IsFresh(now);
    storeUpdate.subscribeSentAtMs_ = aSubscriber.sentAtMs_;
    storeUpdate.subscribeHeldMs_ =
      static_cast<std::uint64_t>(ToMilliseconds(now - aSubscriber.heardAt_));
    for (const FeedTopic topic : kTopics) {
      const TopicState& topicState = TopicStateOf(topic);
      std::uint64_t& position = aSubscriber.positions_[static_cast<std::size_t>(topic)];
      PeerStoreUpdate::Topic& update = storeUpdate.topics_.emplace_back();
      if (!topicState.confirmedAt_) {
        continue; // position 0 tells the subscriber to ignore this topic
      }
      update.from_ = position;
      update.position_ = position;
      update.complete_ = true;
      update.ageMs_ = static_cast<std::uint64_t>(ToMilliseconds(now - *topicState.confirmedAt_));
      if (topicState.synced_ && topicState.mirror_.Position() > position) {
        auto changes =
          topicState.mirror_.ChangesSince(position, kMaxStoreUpdateBytes / kFeedTopicCount);
        update.complete_ = changes.position_ >= topicState.mirror_.Position();
        update.rows_ = std::move(changes.rows_);
        update.position_ = changes.position_;
        position = changes.position_;
      }
    }
    peers_.Send(aSubscriber.endpoint_, storeUpdate);
  }

  void OnStoreUpdate(const PeerEndpoint& aSender, const PeerStoreUpdate& aStoreUpdate)
  {
    const bool fromCurrentSource = IsCurrentSource(aSender.id_);
    const bool fromPreferredSource =
      !relayRole_.sources_.empty() && relayRole_.sources_.front().id_ == aSender.id_;
    if ((!fromCurrentSource && !fromPreferredSource) ||
        aStoreUpdate.topics_.size() != kFeedTopicCount) {
      return;
    }
    const MonotonicTime now = scheduler_.Now();
    // Earliest time, by the clock of this instance, at which the sender can have composed the
    // message: the network delay of the PeerSubscribe is not included, so data counts as older, not
    // newer.
    const std::uint64_t composedAtMs =
      aStoreUpdate.subscribeSentAtMs_ + aStoreUpdate.subscribeHeldMs_;
    if (composedAtMs > ToClockMs(now)) {
      return;
    }
    bool moreRowsPending = false;
    bool changed = false;
    for (const FeedTopic topic : kTopics) {
      const PeerStoreUpdate::Topic& update = aStoreUpdate.topics_[static_cast<std::size_t>(topic)];
      TopicState& topicState = TopicStateOf(topic);
      if (update.position_ == 0 || update.from_ > topicState.mirror_.Position()) {
        continue;
      }
      const MonotonicTime observedAt =
        FromClockMs(composedAtMs - std::min(update.ageMs_, composedAtMs));
      RecordObservation(topic, observedAt, now);
      ApplyRows(topic, topicState.mirror_.ApplyChanges(update.rows_, update.position_), now);
      topicState.synced_ = true;
      changed = changed || !update.rows_.empty();
      moreRowsPending = moreRowsPending || (!update.rows_.empty() && !update.complete_);
      if (update.complete_ && update.position_ >= topicState.mirror_.Position()) {
        topicState.confirmedAt_ =
          std::max(topicState.confirmedAt_.value_or(observedAt), observedAt);
      }
    }
    if (changed) {
      SendStoreUpdateToAll(true);
    }
    if (aStoreUpdate.storeAnswers_ && !IsReadingStore()) {
      // This instance does not read the store now, so a working source ends the reported failure.
      OnStoreAnswered();
    }
    Publish();
    if (fromPreferredSource && !fromCurrentSource && aStoreUpdate.storeAnswers_) {
      sourceIndex_ = 0;
    }
    if (IsCurrentSource(aSender.id_)) {
      // A source that cannot confirm its data times out like a silent one.
      if (aStoreUpdate.storeAnswers_) {
        sourceAliveAt_ = now;
      }
      if (moreRowsPending) {
        SendSubscribe(*sourceIndex_);
      }
    }
    ReportSource();
  }

  // --- directory state ---

  void RecordObservation(FeedTopic aTopic, MonotonicTime aObservedAt, MonotonicTime aNow)
  {
    if (aTopic == FeedTopic::Upstreams) {
      state_.OnUpstreamsObserved(aObservedAt, aNow);
    }
  }

  void ApplyRows(FeedTopic aTopic, std::span<const FeedRow> aRows, MonotonicTime aNow)
  {
    std::vector<DecodedFeedRow> items;
    for (const FeedRow& row : aRows) {
      items.push_back(feed_.Decode(aTopic, row, aNow));
    }
    state_.ApplyChanges(items, aNow);
  }

  void Publish()
  {
    for (const DirectoryEvent& event : state_.TakeEvents()) {
      if (onEvent_) {
        onEvent_(event);
      }
    }
    if (state_.TakeRoutingChanged()) {
      UpdateRelayRole();
      if (onRoutingChanged_) {
        onRoutingChanged_(state_.MakeRoutingTable());
      }
    }
    if (const auto nextRemoval = state_.NextRemoval(); nextRemoval && !removalTimerArmed_) {
      removalTimerArmed_ = true;
      scheduler_.After(std::max(Duration(0), *nextRemoval - scheduler_.Now()), [this] {
        removalTimerArmed_ = false;
        state_.RemoveMissingUpstreams(scheduler_.Now());
        Publish();
      });
    }
  }

  void UpdateRelayRole()
  {
    std::vector<InstanceEntry> instances = state_.Instances();
    if (!IsSelfListed()) {
      std::erase_if(instances,
                    [&](const InstanceEntry& aInstance) { return aInstance.id_ == self_.id_; });
      instances.push_back(SelfEntry());
    }
    RelayRole role = ComputeRelayRole(instances, self_.id_, kMaxSources);
    if (role.sources_ != relayRole_.sources_ || role.isRoot_ != relayRole_.isRoot_) {
      relayRole_ = std::move(role);
      SubscribeToPreferredSource();
    }
  }

  InstanceEntry SelfEntry() const { return { self_.id_, self_.address_, self_.port_, capacity_ }; }

  void ReportSource()
  {
    std::optional<InstanceId> source;
    if (!IsReadingStore() && sourceIndex_) {
      source = relayRole_.sources_[*sourceIndex_].id_;
    }
    if (!sourceReported_ || source != reportedSource_) {
      sourceReported_ = true;
      reportedSource_ = source;
      if (onSourceChanged_) {
        onSourceChanged_(source);
      }
    }
  }

  // Returns the duration times a random factor of 0.85 to 1.14.
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
  std::array<TopicState, kFeedTopicCount> topics_{};
  MonotonicTime startedAt_;       ///< begin of initialSyncTimeout_
  bool instanceListRead_ = false; ///< the first reads of the list of instances have ended
  bool registrationSent_ = false;
  bool storeFailing_ = false; ///< as last reported by the callback
  bool shuttingDown_ = false;
  bool removalTimerArmed_ = false;

  RelayRole relayRole_;
  std::optional<std::size_t> sourceIndex_; ///< of the current source in relayRole_, if any
  MonotonicTime sourceAliveAt_;          ///< when the source was chosen or last confirmed its data
  MonotonicTime preferredSourceTriedAt_; ///< when it was last tried again
  std::map<InstanceId, Subscriber> subscribers_;

  bool sourceReported_ = false;              ///< reportedSource_ holds a reported value
  std::optional<InstanceId> reportedSource_; ///< nothing if the store
  RoutingCallback onRoutingChanged_;
  EventCallback onEvent_;
  StoreReachableCallback onStoreReachableChanged_;
  SourceCallback onSourceChanged_;
};

} // namespace boragepier

#endif
