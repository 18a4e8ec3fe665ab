#ifndef BORAGEPIER_DIRECTORY_DIRECTORY_WATCH_H
#define BORAGEPIER_DIRECTORY_DIRECTORY_WATCH_H

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "boragepier/base/internal_error.h"
#include "boragepier/directory/directory_state.h"
#include "boragepier/directory/directory_timing.h"
#include "boragepier/directory/instance_registrar.h"
#include "boragepier/directory/relay_tree.h"
#include "boragepier/directory/source_follower.h"
#include "boragepier/directory/store_reader.h"
#include "boragepier/directory/store_view.h"
#include "boragepier/directory/subscriber_set.h"
#include "boragepier/ports/peer_transport.h"
#include "boragepier/ports/scheduler.h"

namespace boragepier {

/// How up to date the data of a DirectoryWatch is, and where it comes from.
struct DirectoryFreshness
{
  /// Time since the store was last known to hold nothing newer. Nothing without data.
  std::optional<Duration> age_;
  RelayLevel level_ = RelayLevel::Leaf;
  std::optional<InstanceId> source_; ///< instance that is followed, if there is one
  bool storeFailing_ = false;        ///< the last call to the store failed
  bool receiving_ = false;           ///< a transfer from the source is not complete
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
/// An instance that finds no source, and whose data the store does not confirm either, asks
/// instances at random and follows the first one that has fresh data, wherever that is in the tree.
/// The root does so too while the store does not answer it. So a change reaches every instance that
/// reaches one that has it. An instance that follows one in this way confirms nothing to its own
/// subscribers.
///
/// An instance that starts reads the list of instances and subscribes. It looks for a source that
/// replies, and waits a short time for one that has no data itself, so that instances that start
/// together do not all read the store. Those at the top of the tree wait the shortest time. An
/// instance that is not listed yet asks its source to register it; the requests go up the tree to
/// the root, which writes them in batches.
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

  /// Receives a message and its sender.
  using MessageCallback = std::function<void(const PeerEndpoint&, const PeerMessage&)>;

  /// @param aScheduler must outlive this object, like aFeed and aPeers
  /// @param aFeed calls to the store
  /// @param aPeers messages to and from other instances
  /// @param aSelf this instance as it registers itself
  /// @param aSettings settings that apply to all instances together
  /// @param aTiming intervals and timeouts
  /// @param aSeed seed of the random jitter
  DirectoryWatch(S& aScheduler,
                 F& aFeed,
                 P& aPeers,
                 InstanceEntry aSelf,
                 const FleetSettings& aSettings,
                 DirectoryTiming aTiming,
                 std::uint64_t aSeed)
    : scheduler_(aScheduler)
    , feed_(aFeed)
    , peers_(aPeers)
    , self_(std::move(aSelf))
    , timing_(aTiming)
    , jitter_(aSeed)
    , state_(self_.id_, aSettings)
    , follower_(timing_)
    , subscribers_(aPeers, view_, state_, timing_)
    , reader_(aScheduler, aFeed, view_, timing_, jitter_, ReaderCallbacks())
    , registrar_(
        aScheduler,
        aFeed,
        timing_,
        [this](auto aBatch) { OnRegistrationBatch(std::move(aBatch)); },
        [this](std::size_t aCount, const std::string& aError) {
          if (onEvent_) {
            onEvent_({ DirectoryEventType::RegistrationFailed, std::to_string(aCount), aError });
          }
        })
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

  /// Receives the messages that do not concern the directory; set before Start().
  void OnOtherMessage(MessageCallback aCallback) { onOtherMessage_ = std::move(aCallback); }
  /// Called when an instance cannot be reached; set before Start().
  void OnPeerUnreachable(PeerUnreachableCallback aCallback)
  {
    onPeerUnreachable_ = std::move(aCallback);
  }

  /// Starts to follow the store, directly or through a source.
  /// @param aFleetStarts all instances start now, and none is listed yet. Those with more capacity
  /// then begin earlier, so that the others find relays in the list.
  void Start(bool aFleetStarts)
  {
    peers_.Start(
      { self_.id_, self_.address_, self_.port_ },
      [this](const PeerEndpoint& aSender, PeerMessage aMessage, std::size_t) {
        OnMessage(aSender, aMessage);
      },
      [this](const InstanceId& aPeer) { OnUnreachable(aPeer); });
    scheduler_.After(aFleetStarts ? DiscoveryDelay() : Duration(0), [this] { ReadInstanceList(); });
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
    subscribers_.SendToAll(Status(), scheduler_.Now());
  }

  const DirectoryState& State() const { return state_; }

  DirectoryFreshness Freshness() const
  {
    DirectoryFreshness freshness;
    if (const auto confirmedAt = view_.ConfirmedAt()) {
      freshness.age_ = scheduler_.Now() - *confirmedAt;
    }
    freshness.level_ = follower_.Role().level_;
    if (const auto& source = follower_.Source()) {
      freshness.source_ = source->id_;
      freshness.receiving_ = view_.IsTransferringFrom(source->id_);
    }
    freshness.storeFailing_ = reader_.IsFailing();
    return freshness;
  }

private:
  /// Number of sources that are tried before the store is read instead.
  static constexpr std::size_t kMaxSources = 5;
  /// Number of instances that one without a source asks at a time for their observations.
  static constexpr std::size_t kMaxInstancesAsked = 3;
  /// While the store does not answer, instances other than the root ask for this topic only.
  static constexpr FeedTopic kProbeTopic = FeedTopic::Configuration;

  typename StoreReader<S, F>::Callbacks ReaderCallbacks()
  {
    return { .shouldRead_ = [this](FeedTopic aTopic) { return ShouldReadTopic(aTopic); },
             .onEra_ = [this](std::uint64_t aEra) { ObserveEra(aEra); },
             .isRoot_ = [this] { return follower_.Role().IsRoot(); },
             .onRows_ =
               [this](FeedTopic aTopic, const auto& aRows, MonotonicTime aObservedAt) {
                 ApplyRows(aTopic, aRows, aObservedAt);
               },
             .onUnreadable_ = [this](const auto& aKey,
                                     const auto& aError) { state_.OnUnreadable(aKey, aError); },
             .onCallEnded_ =
               [this] {
                 if (!reader_.IsFailing()) {
                   follower_.ReleaseAdopted();
                 }
                 Publish();
                 subscribers_.SendChanges(Status(), scheduler_.Now());
                 ReportSource();
               },
             .onReachableChanged_ =
               [this](bool aReachable, const std::string& aError) {
                 if (!aReachable) {
                   subscribers_.SendToAll(Status(), scheduler_.Now());
                 }
                 if (onStoreReachableChanged_) {
                   onStoreReachableChanged_(aReachable, aError);
                 }
               } };
  }

  // Records the era of a response or message, before its rows are applied. If the store was
  // restored from an older copy, everything is read anew, and missing instances register again.
  void ObserveEra(std::uint64_t aEra)
  {
    if (!view_.ObserveEra(aEra)) {
      return;
    }
    state_.OnStoreRestored(aEra);
    eraObservedAt_ = scheduler_.Now();
    sourceKnowsEra_ = false;
    registrationTriedAt_.reset();
    registrationInterval_ = {};
    reader_.ReadAnew();
  }

  // Whether this instance has rows of an older era and leaves its source, which knows the newer
  // one, time to send the rows of that.
  bool IsAwaitingEra() const
  {
    return sourceKnowsEra_ && view_.IsBehindEra() &&
           scheduler_.Now() - eraObservedAt_ < timing_.initialSyncTimeout_;
  }

  // --- reading the store ---

  // Returns the delay of the first read when the whole fleet starts: the time in which the instance
  // could relay a first copy of the rows, so that instances with more capacity begin earlier.
  Duration DiscoveryDelay()
  {
    const double seconds = timing_.discoveryMegabits_ / std::max(self_.relayCapacity_, 1e-9);
    const Duration delay = std::min(
      timing_.maxDiscoveryDelay_,
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(seconds, 1e6))));
    return delay + jitter_.UpTo(delay / 2);
  }

  void ReadInstanceList()
  {
    reader_.ReadInstanceList([this](std::optional<Duration> aRetryAfter) {
      if (!std::exchange(instanceListRead_, true)) {
        syncStartedAt_ = scheduler_.Now();
      }
      if (aRetryAfter) {
        scheduler_.After(*aRetryAfter, [this] { ReadInstanceList(); });
      } else {
        wasListed_ = wasListed_ || (!view_.HasRoutingData() && IsSelfListed());
        Publish();
        UpdateRelayRole(); // also if the list is empty
      }
      reader_.Start();
      ReportSource();
      if (wasListed_ && !view_.HasRoutingData()) {
        // The first reply may be late, so the search does not wait for the timer of the start.
        scheduler_.Cancel(subscribeTimer_);
        ArmSubscribeTimer();
        const Duration delay = FirstReadDelay();
        for (const Duration limit :
             { delay, delay + timing_.pendingSourceExtension_, ReceivingLimit() }) {
          scheduler_.After(limit, [this] {
            reader_.Start();
            ReportSource();
          });
        }
      }
    });
  }

  bool IsFresh() const { return !IsOlderThan(StalenessBound()); }

  Duration StalenessBound() const
  {
    const auto levelsAboveLeaves =
      static_cast<int>(RelayLevel::Leaf) - static_cast<int>(follower_.Role().level_);
    return timing_.stalenessBound_ - levelsAboveLeaves * timing_.stalenessBoundStep_;
  }

  bool ShouldReadStore() const
  {
    if (!instanceListRead_) {
      return false;
    }
    if (ActsAsRoot()) {
      return true;
    }
    if (!view_.HasRoutingData()) {
      return !IsAwaitingFirstData() || IsFirstReadDue();
    }
    return !IsFresh() && !IsTransferAwaited() && !IsAwaitingEra();
  }

  // Whether the current source is sending rows. To ask another source for the same rows would take
  // longer.
  bool IsTransferInProgress() const
  {
    return follower_.Source() && view_.IsTransferringFrom(follower_.Source()->id_) &&
           scheduler_.Now() - transferProgressAt_ <= timing_.transferTimeout_;
  }

  // Whether a transfer in progress will probably make the data fresh sooner than the store could.
  bool IsTransferAwaited() const
  {
    const auto confirmedAt = view_.ConfirmedAt();
    return IsTransferInProgress() && confirmedAt &&
           scheduler_.Now() - *confirmedAt <= StalenessBound() + timing_.maxTransferExtension_;
  }

  // Whether there is no source, and the store does not confirm the data either. Any instance may
  // then be the source.
  bool IsSearchingSource() const
  {
    return instanceListRead_ && !follower_.Source() && !IsAwaitingFirstData() &&
           IsOlderThanThatOfReaders();
  }

  // Whether the data is older than that of an instance which reads the store, or follows one that
  // does. Unlike IsNearlyStale(), the same at each place in the tree, because an adopted source may
  // have any.
  bool IsOlderThanThatOfReaders() const
  {
    return IsOlderThan(timing_.stalenessBound_ - timing_.sourceChangeMargin_);
  }

  bool IsOlderThan(Duration aAge) const
  {
    const auto confirmedAt = view_.ConfirmedAt();
    return !confirmedAt || scheduler_.Now() - *confirmedAt > aAge;
  }

  // Whether this instance has no data and leaves its sources more time to send it.
  bool IsAwaitingFirstData() const
  {
    const Duration limit =
      sourceReplied_ ? timing_.initialSyncTimeout_ : timing_.initialReplyTimeout_;
    return !view_.HasRoutingData() && scheduler_.Now() - syncStartedAt_ < limit;
  }

  // Whether the current source is sending the first data.
  bool IsReceivingFirstData() const
  {
    return follower_.Source() && view_.IsTransferringFrom(follower_.Source()->id_) &&
           scheduler_.Now() - transferProgressAt_ <= timing_.initialReplyTimeout_;
  }

  // Whether this instance has no data, and has waited for it as long as its place in the tree
  // allows. Its sources remain in use.
  bool IsFirstReadDue() const
  {
    if (view_.HasRoutingData() || !wasListed_) {
      return false;
    }
    Duration limit = FirstReadDelay();
    if (IsReceivingFirstData()) {
      limit = ReceivingLimit();
    } else if (sourceReplied_ && follower_.Role().level_ > RelayLevel::Head) {
      limit += timing_.pendingSourceExtension_;
    }
    return scheduler_.Now() - syncStartedAt_ >= limit;
  }

  // How long this instance waits for a source that replies before it reads the store.
  Duration FirstReadDelay() const
  {
    switch (follower_.Role().level_) {
      case RelayLevel::Root:
      case RelayLevel::Head:
        return timing_.firstReadDelay_;
      case RelayLevel::Relay:
        return timing_.firstReadDelay_ + timing_.firstReadDelayStep_;
      case RelayLevel::Leaf:
        break;
    }
    return timing_.firstReadDelay_ + LeafReadDelay();
  }

  // The same while the source is sending the first data.
  Duration ReceivingLimit() const { return 2 * (timing_.firstReadDelay_ + LeafReadDelay()); }

  // How much later than a head a leaf reads the store. In a larger fleet, relays send more first
  // copies, of more rows each.
  Duration LeafReadDelay() const
  {
    const auto count = static_cast<Duration::rep>(state_.Instances().size());
    return 2 * timing_.firstReadDelayStep_ +
           std::min(count * count * timing_.firstReadDelayPerPair_, timing_.maxFirstReadDelay_);
  }

  // Whether this instance reads the store for its subscribers: the root does, and one that finds no
  // source in its place.
  bool ActsAsRoot() const { return follower_.Role().IsRoot() || !follower_.Source(); }

  bool ShouldReadTopic(FeedTopic aTopic) const
  {
    if (!ShouldReadStore() || (!IsRoutingTopic(aTopic) && !ActsAsRoot())) {
      return false;
    }
    return follower_.Role().IsRoot() || !reader_.IsFailing() || aTopic == kProbeTopic;
  }

  // --- sources and subscribers ---

  ViewStatus Status() const
  {
    // An adopted source may be one of the subscribers of this instance. If they confirmed each
    // other's data, neither would go on to read the store.
    if (reader_.IsFailing() || follower_.IsAdopted() || shuttingDown_) {
      return ViewStatus::Unconfirmed;
    }
    if (!view_.HasRoutingData() || view_.IsBehindEra()) {
      return ViewStatus::Pending;
    }
    return IsFresh() ? ViewStatus::Fresh : ViewStatus::Unconfirmed;
  }

  void SendSubscribe(const InstanceEntry& aSource, std::vector<InstanceEntry> aRegistrations)
  {
    PeerSubscribe subscribe;
    subscribe.sentAtMs_ = ToClockMs(scheduler_.Now());
    const FeedPositions positions = view_.SubscribePositions(aSource.id_);
    subscribe.positions_.assign(positions.begin(), positions.end());
    subscribe.registrations_ = std::move(aRegistrations);
    subscribe.era_ = view_.Era();
    peers_.Send({ aSource.id_, aSource.address_, aSource.port_ }, subscribe);
  }

  // Renews the subscription, and asks for the registration of this instance if it is due.
  void SendSubscribes()
  {
    const MonotonicTime now = scheduler_.Now();
    std::vector<InstanceEntry> registrations;
    if (IsRegistrationDue(now)) {
      registrationTriedAt_ = now;
      registrationInterval_ = std::clamp(2 * registrationInterval_,
                                         timing_.initialRegistrationInterval_,
                                         timing_.maxRegistrationInterval_);
      if (ActsAsRoot() ||
          now - std::max(syncStartedAt_, eraObservedAt_) > timing_.registrationTimeout_) {
        registrar_.Write(std::span(&self_, 1));
      } else {
        registrations.push_back(self_);
      }
    }
    // During a grace period another instance may know that the store was not down.
    const bool inGracePeriod = state_.InGracePeriod(now);
    const bool isSearching = IsSearchingSource();
    for (const InstanceEntry& source : follower_.Renewals(now, inGracePeriod || isSearching)) {
      SendSubscribe(source, registrations);
    }
    if (isSearching || (inGracePeriod && ActsAsRoot())) {
      AskOthers();
    }
  }

  // Subscribes for a short time to some instances that are no sources: for the period in which they
  // have observed the store, or to follow one of them. Their rows are ignored otherwise.
  void AskOthers()
  {
    std::vector<InstanceEntry> others = state_.Instances();
    std::erase_if(others, [this](const InstanceEntry& aOther) { return aOther.id_ == self_.id_; });
    for (std::size_t asked = 0; asked < kMaxInstancesAsked && !others.empty(); ++asked) {
      const auto chosen =
        others.begin() + static_cast<std::ptrdiff_t>(jitter_.Below(others.size()));
      SendSubscribe(*chosen, {});
      others.erase(chosen);
    }
  }

  bool IsRegistrationDue(MonotonicTime aNow) const
  {
    return view_.IsSynced(FeedTopic::Instances) && !IsSelfListed() &&
           (!registrationTriedAt_ || aNow - *registrationTriedAt_ >= registrationInterval_);
  }

  void OnSubscribeTimer()
  {
    RunContained(ErrorScope::Task, [this] { RenewSubscriptions(); });
    ArmSubscribeTimer();
  }

  void ArmSubscribeTimer()
  {
    const Duration interval = !IsAwaitingFirstData() ? timing_.subscribeInterval_
                              : wasListed_           ? timing_.returnSubscribeInterval_
                              : sourceReplied_       ? timing_.subscribeInterval_
                                                     : timing_.initialSubscribeInterval_;
    subscribeTimer_ = scheduler_.After(jitter_(interval), [this] { OnSubscribeTimer(); });
  }

  void RenewSubscriptions()
  {
    const MonotonicTime now = scheduler_.Now();
    subscribers_.RemoveExpired(now);
    if (ShouldChangeSource(now)) {
      SelectNextSource(now);
    }
    SendSubscribes();
    reader_.Start();
    ReportSource();
  }

  bool ShouldChangeSource(MonotonicTime aNow) const
  {
    if (IsAwaitingFirstData()) {
      const bool isQuick = wasListed_ && !follower_.HasReplied();
      return !IsReceivingFirstData() &&
             follower_.IsSilentFor(
               isQuick ? timing_.initialSourceTimeout_ : timing_.sourceTimeout_ / 2, aNow);
    }
    if (IsTransferInProgress()) {
      return false;
    }
    if (follower_.IsSilentFor(timing_.sourceTimeout_, aNow)) {
      return true;
    }
    if (IsAwaitingEra()) {
      return false;
    }
    // The heads of the zones have no other source with newer data than the root.
    const bool isOld = follower_.IsAdopted()
                         ? IsOlderThanThatOfReaders()
                         : follower_.Role().level_ > RelayLevel::Head && IsNearlyStale(aNow);
    return isOld && follower_.IsInUseFor(timing_.sourceChangeMargin_, aNow);
  }

  // While there is no data, goes around among the sources in the own zone: to read the store takes
  // less time and fewer bytes between zones than a transfer from another zone.
  void SelectNextSource(MonotonicTime aNow)
  {
    const bool awaitsFirstData = IsAwaitingFirstData();
    follower_.SelectNext(awaitsFirstData, aNow);
    if (awaitsFirstData && wasListed_ && !reader_.IsFailing() &&
        follower_.Role().level_ > RelayLevel::Head) {
      follower_.SkipSourcesOutside(self_.zone_, aNow);
    }
  }

  // Whether the data is so old that another source is tried.
  bool IsNearlyStale(MonotonicTime aNow) const
  {
    const auto confirmedAt = view_.ConfirmedAt();
    return confirmedAt && aNow - *confirmedAt > StalenessBound() - timing_.sourceChangeMargin_;
  }

  void OnUnreachable(const InstanceId& aPeer)
  {
    if (onPeerUnreachable_) {
      onPeerUnreachable_(aPeer);
    }
    subscribers_.Remove(aPeer);
    // A source that starts at the same time may not listen yet, so it is tried again later.
    if (!follower_.IsCurrent(aPeer) || (IsAwaitingFirstData() && !wasListed_)) {
      return;
    }
    SelectNextSource(scheduler_.Now());
    if (const auto& source = follower_.Source()) {
      SendSubscribe(*source, {});
    }
    reader_.Start();
    ReportSource();
  }

  void OnMessage(const PeerEndpoint& aSender, const PeerMessage& aMessage)
  {
    if (const auto* const subscribe = std::get_if<PeerSubscribe>(&aMessage)) {
      OnSubscribe(aSender, *subscribe);
    } else if (const auto* const storeUpdate = std::get_if<PeerStoreUpdate>(&aMessage)) {
      OnStoreUpdate(aSender, *storeUpdate);
    } else if (onOtherMessage_) {
      onOtherMessage_(aSender, aMessage);
    }
  }

  void OnSubscribe(const PeerEndpoint& aSender, const PeerSubscribe& aSubscribe)
  {
    if (aSubscribe.positions_.size() != kFeedTopicCount) {
      return;
    }
    ObserveEra(aSubscribe.era_);
    subscribers_.OnSubscribe(aSender, aSubscribe, Status(), scheduler_.Now());
    for (const InstanceEntry& instance : aSubscribe.registrations_) {
      if (!state_.IsListed(instance)) {
        registrar_.Add(instance);
      }
    }
  }

  void OnRegistrationBatch(std::vector<InstanceEntry> aBatch)
  {
    if (ActsAsRoot()) {
      registrar_.Write(aBatch);
    } else {
      SendSubscribe(*follower_.Source(), std::move(aBatch));
    }
  }

  void OnStoreUpdate(const PeerEndpoint& aSender, const PeerStoreUpdate& aStoreUpdate)
  {
    if (aStoreUpdate.topics_.size() != kFeedTopicCount) {
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
    ObserveEra(aStoreUpdate.era_);
    if (aStoreUpdate.era_ < view_.Era()) {
      return; // the sender learns of the newer era from the next subscription
    }
    ApplyObservations(aStoreUpdate, composedAtMs, now);
    if (wasListed_ && IsAwaitingFirstData() &&
        (aStoreUpdate.storeAnswers_ || aStoreUpdate.pending_)) {
      follower_.OnFirstReply(aSender.id_, now);
    }
    if (IsSearchingSource() && HoldsFreshData(aStoreUpdate)) {
      AdoptSource(aSender.id_, now);
    }
    if (!follower_.IsCurrent(aSender.id_) && !follower_.IsPreferred(aSender.id_)) {
      Publish();
      return;
    }
    bool moreRowsPending = false;
    for (const FeedTopic topic : kFeedTopics) {
      const PeerStoreUpdate::Topic& update = aStoreUpdate.topics_[static_cast<std::size_t>(topic)];
      const MonotonicTime observedAt =
        FromClockMs(composedAtMs - std::min(update.ageMs_, composedAtMs));
      const bool wasRelisting = view_.IsRelisting(topic);
      if (const auto changed =
            view_.ApplyUpdate(topic, aSender.id_, aStoreUpdate.era_, update, observedAt)) {
        const bool relistingStarts = view_.IsRelisting(topic) && !wasRelisting;
        if (!view_.IsRelisting(topic) || !changed->empty()) {
          ApplyRows(topic, *changed, observedAt);
        }
        moreRowsPending =
          moreRowsPending || relistingStarts || (!update.rows_.empty() && !update.complete_);
      }
    }
    if (aStoreUpdate.storeAnswers_ && !reader_.IsReading()) {
      // This instance does not read the store now, so a working source ends the reported failure.
      reader_.OnAnswered();
    }
    Publish();
    // A source that cannot confirm its data times out like a silent one.
    const bool awaitsData =
      aStoreUpdate.pending_ && (!view_.HasRoutingData() || view_.IsBehindEra());
    if (aStoreUpdate.storeAnswers_ || awaitsData) {
      sourceReplied_ = true;
      sourceKnowsEra_ = true;
      // The preferred source is no better than the current one if it would be given up at once, and
      // a transfer from the current one comes first.
      const bool returnsToPreferred =
        aStoreUpdate.storeAnswers_ && !IsNearlyStale(now) && !IsTransferInProgress();
      follower_.OnReply(aSender.id_, returnsToPreferred, now);
    }
    if (moreRowsPending && follower_.IsCurrent(aSender.id_)) {
      transferProgressAt_ = now;
      SendSubscribe(*follower_.Source(), {});
    }
    subscribers_.SendChanges(Status(), now);
    ReportSource();
  }

  // Whether a message continues the routing topics with data that is up to date.
  bool HoldsFreshData(const PeerStoreUpdate& aStoreUpdate) const
  {
    return aStoreUpdate.storeAnswers_ &&
           std::all_of(kFeedTopics.begin(), kFeedTopics.end(), [&](FeedTopic aTopic) {
             return !IsRoutingTopic(aTopic) ||
                    aStoreUpdate.topics_[static_cast<std::size_t>(aTopic)].position_ > 0;
           });
  }

  void AdoptSource(const InstanceId& aId, MonotonicTime aNow)
  {
    const std::vector<InstanceEntry> instances = state_.Instances();
    const auto found = std::find_if(
      instances.begin(), instances.end(), [&](const auto& aEntry) { return aEntry.id_ == aId; });
    if (found != instances.end()) {
      follower_.Adopt(*found, aNow);
    }
  }

  // --- directory state ---

  // Takes over what the sender of a message knows of outages of the store.
  // @param aComposedAtMs earliest time at which the message can have been created
  void ApplyObservations(const PeerStoreUpdate& aStoreUpdate,
                         std::uint64_t aComposedAtMs,
                         MonotonicTime aNow)
  {
    const auto& upstreams = aStoreUpdate.topics_[static_cast<std::size_t>(FeedTopic::Upstreams)];
    if (upstreams.position_ == 0) {
      return;
    }
    // The message can have been created as late as now, so the period counts as shorter, not
    // longer.
    const std::uint64_t nowMs = ToClockMs(aNow);
    state_.OnObservedElsewhere(
      FromClockMs(nowMs - std::min(aStoreUpdate.observedForMs_, nowMs)),
      FromClockMs(aComposedAtMs - std::min(upstreams.ageMs_, aComposedAtMs)),
      aNow);
  }

  void ApplyRows(FeedTopic aTopic, std::span<const FeedRow> aRows, MonotonicTime aObservedAt)
  {
    const MonotonicTime now = scheduler_.Now();
    if (aTopic == FeedTopic::Configuration) {
      state_.ApplyConfigParts(aRows);
      if (view_.IsComplete(aTopic)) {
        state_.ActivateConfig(view_.Era(aTopic));
      }
      return;
    }
    if (aTopic == FeedTopic::Evacuations) {
      state_.ApplyEvacuations(aRows);
      return;
    }
    if (aTopic == FeedTopic::Upstreams) {
      const bool wasInGracePeriod = state_.InGracePeriod(now);
      state_.OnUpstreamsObserved(aObservedAt, now);
      if (state_.InGracePeriod(now) && !wasInGracePeriod) {
        SendSubscribes();
      }
    }
    if (aTopic == FeedTopic::Instances) {
      state_.OnInstancesObserved(now);
    }
    std::vector<DecodedFeedRow> items;
    items.reserve(aRows.size());
    for (const FeedRow& row : aRows) {
      DecodedFeedRow& item =
        items.emplace_back(DecodedFeedRow{ row.key_, UnreadableEntry{ "an internal error" } });
      RunContained(ErrorScope::StoreEntry, [&] { item = feed_.Decode(aTopic, row, now); });
    }
    state_.ApplyChanges(items, now);
  }

  // Passes on the events. Entries that are known before the first complete state are only counted.
  void ReportEvents()
  {
    for (const DirectoryEvent& event : state_.TakeEvents()) {
      const bool isInstance = event.type_ == DirectoryEventType::InstanceAdded;
      if (!loaded_ && (isInstance || event.type_ == DirectoryEventType::UpstreamAdded)) {
        ++(isInstance ? firstInstances_ : firstUpstreams_);
      } else if (onEvent_) {
        onEvent_(event);
      }
    }
    if (loaded_ || !view_.HasRoutingData()) {
      return;
    }
    loaded_ = true;
    if (onEvent_) {
      onEvent_({ DirectoryEventType::Loaded,
                 std::to_string(firstUpstreams_) + " upstreams",
                 std::to_string(firstInstances_) + " other instances" });
    }
  }

  void Publish()
  {
    ReportEvents();
    if (state_.TakeInstancesChanged()) {
      UpdateRelayRole();
    }
    // Without all topics, requests would find no upstreams, or those of evacuated zones.
    if (loaded_ && state_.TakeRoutingChanged() && onRoutingChanged_) {
      RunContained(ErrorScope::StoreEntry,
                   [this] { onRoutingChanged_(state_.MakeRoutingTable()); });
    }
    if (const auto nextRemoval = state_.NextRemoval(); nextRemoval && !removalTimerArmed_) {
      removalTimerArmed_ = true;
      scheduler_.After(std::max(Duration(0), *nextRemoval - scheduler_.Now()), [this] {
        removalTimerArmed_ = false;
        state_.RemoveMissing(scheduler_.Now());
        Publish();
      });
    }
  }

  bool IsSelfListed() const { return state_.IsListed(self_); }

  void UpdateRelayRole()
  {
    RelayRole role = ComputeRelayRole(state_.Instances(), self_, kMaxSources);
    if (role != follower_.Role()) {
      follower_.SetRole(std::move(role), scheduler_.Now());
      SendSubscribes();
      reader_.Start();
    }
  }

  // To be called after each change of the source or of the reads of the store.
  void ReportSource()
  {
    std::optional<InstanceId> source;
    if (follower_.Source()) {
      source = follower_.Source()->id_;
    }
    view_.AbandonOtherTransfers(source);
    if (reader_.IsReading()) {
      source.reset();
    }
    if (!sourceReported_ || source != reportedSource_) {
      sourceReported_ = true;
      reportedSource_ = source;
      if (onSourceChanged_) {
        onSourceChanged_(source);
      }
    }
  }

  static std::uint64_t ToClockMs(MonotonicTime aTime)
  {
    return static_cast<std::uint64_t>(ToMilliseconds(aTime.time_since_epoch()));
  }
  static MonotonicTime FromClockMs(std::uint64_t aMs)
  {
    return MonotonicTime(std::chrono::milliseconds(aMs));
  }

  using TimerId = decltype(std::declval<S&>().After(std::declval<Duration>(),
                                                    std::declval<std::function<void()>>()));

  S& scheduler_;
  F& feed_;
  P& peers_;
  const InstanceEntry self_;
  const DirectoryTiming timing_;
  Jitter jitter_;
  DirectoryState state_;
  StoreView view_;
  SourceFollower follower_;
  SubscriberSet<P> subscribers_;
  StoreReader<S, F> reader_;
  InstanceRegistrar<S, F> registrar_;
  TimerId subscribeTimer_{};         ///< next call of OnSubscribeTimer()
  MonotonicTime syncStartedAt_;      ///< end of the first read of the list of instances
  MonotonicTime transferProgressAt_; ///< arrival of the last message of a transfer
  bool instanceListRead_ = false;    ///< the first read of the list of instances has ended
  /// Was listed when it started. Its sources then start as well, or have run all the time; those of
  /// an instance that is not listed may take longer to find data.
  bool wasListed_ = false;
  bool sourceReplied_ = false;     ///< a source has sent data, or that it waits for data
  bool loaded_ = false;            ///< configuration and upstreams were complete once
  std::size_t firstInstances_ = 0; ///< InstanceAdded events before that
  std::size_t firstUpstreams_ = 0; ///< UpstreamAdded events before that
  MonotonicTime eraObservedAt_;    ///< when rows became those of an older era of the store
  bool sourceKnowsEra_ = false;    ///< a source has replied in the newest era
  bool shuttingDown_ = false;
  bool removalTimerArmed_ = false;
  std::optional<MonotonicTime> registrationTriedAt_;
  Duration registrationInterval_{}; ///< from the last try to the next

  bool sourceReported_ = false;              ///< reportedSource_ holds a reported value
  std::optional<InstanceId> reportedSource_; ///< nothing if the store
  RoutingCallback onRoutingChanged_;
  EventCallback onEvent_;
  StoreReachableCallback onStoreReachableChanged_;
  SourceCallback onSourceChanged_;
  MessageCallback onOtherMessage_;
  PeerUnreachableCallback onPeerUnreachable_;
};

} // namespace boragepier

#endif
