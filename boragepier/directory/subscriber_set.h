#ifndef BORAGEPIER_DIRECTORY_SUBSCRIBER_SET_H
#define BORAGEPIER_DIRECTORY_SUBSCRIBER_SET_H

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "boragepier/directory/directory_state.h"
#include "boragepier/directory/directory_timing.h"
#include "boragepier/directory/store_view.h"
#include "boragepier/ports/peer_transport.h"

namespace boragepier {

/// What an instance tells its subscribers about its own rows.
enum class ViewStatus : std::uint8_t
{
  Fresh,       ///< known to be up to date
  Unconfirmed, ///< possibly out of date
  Pending,     ///< not known yet, but expected from a source or the store
};

/// The instances that subscribed to this one, and what each of them has received.
template<PeerTransport P>
class SubscriberSet
{
public:
  /// @param aPeers must outlive this object, like aView and aState
  SubscriberSet(P& aPeers,
                const StoreView& aView,
                const DirectoryState& aState,
                const DirectoryTiming& aTiming)
    : peers_(aPeers)
    , view_(aView)
    , state_(aState)
    , timing_(aTiming)
  {
  }

  /// Adds a subscriber or renews its subscription, and sends it what it lacks.
  /// @param aSubscribe its era has been observed by the StoreView
  void OnSubscribe(const PeerEndpoint& aSender,
                   const PeerSubscribe& aSubscribe,
                   ViewStatus aStatus,
                   MonotonicTime aNow)
  {
    Subscriber& subscriber = subscribers_[aSender.id_];
    subscriber.endpoint_ = aSender;
    subscriber.heardAt_ = aNow;
    subscriber.sentAtMs_ = aSubscribe.sentAtMs_;
    EnterEra(subscriber);
    // Positions in an older era say nothing about the rows of this one.
    const bool knowsEra = aSubscribe.era_ == view_.Era();
    for (std::size_t i = 0; i < kFeedTopicCount; ++i) {
      Progress& progress = subscriber.progress_[i];
      const std::uint64_t received = knowsEra ? aSubscribe.positions_[i] : 0;
      // Rows that are not confirmed yet are probably on their way, unless the subscriber starts
      // again from a lower position.
      if (received >= progress.sent_ || received < progress.received_ ||
          aNow - progress.rowsSentAt_ > timing_.sourceTimeout_) {
        progress.sent_ = received;
        progress.partial_ = false;
      }
      progress.received_ = received;
    }
    Send(subscriber, aStatus, aNow);
  }

  /// Sends an update to the subscribers that lack rows, and to all if the time until which the data
  /// is confirmed has advanced since the last one.
  void SendChanges(ViewStatus aStatus, MonotonicTime aNow)
  {
    const FeedPositions positions = view_.CompletePositions();
    const auto confirmedAt = view_.ConfirmedAt();
    for (auto& [id, subscriber] : subscribers_) {
      EnterEra(subscriber);
      bool due = aStatus == ViewStatus::Fresh && confirmedAt &&
                 *confirmedAt >= subscriber.confirmedAt_ + timing_.minConfirmationAdvance_;
      for (std::size_t i = 0; i < positions.size(); ++i) {
        due = due ||
              (subscriber.progress_[i].sent_ < positions[i] && !subscriber.progress_[i].partial_);
      }
      if (due) {
        Send(subscriber, aStatus, aNow);
      }
    }
  }

  /// Sends an update to all subscribers.
  void SendToAll(ViewStatus aStatus, MonotonicTime aNow)
  {
    for (auto& [id, subscriber] : subscribers_) {
      Send(subscriber, aStatus, aNow);
    }
  }

  /// Drops the subscribers that have not renewed their subscription in time.
  void RemoveExpired(MonotonicTime aNow)
  {
    std::erase_if(subscribers_, [&](const auto& aSubscriber) {
      return aNow - aSubscriber.second.heardAt_ > 2 * timing_.sourceTimeout_;
    });
  }

  void Remove(const InstanceId& aId) { subscribers_.erase(aId); }
  std::size_t Size() const { return subscribers_.size(); }

private:
  // What a subscriber was sent of one topic.
  struct Progress
  {
    std::uint64_t sent_ = 0;     ///< position up to which it was sent the rows
    std::uint64_t received_ = 0; ///< position of its last PeerSubscribe
    /// It was sent a part of the rows that it lacks. The next part follows once it has confirmed
    /// this one, so that its renewals of the subscription do not multiply the rows on their way.
    bool partial_ = false;
    MonotonicTime rowsSentAt_{}; ///< time of the last message with rows
  };

  struct Subscriber
  {
    PeerEndpoint endpoint_;
    MonotonicTime heardAt_;      ///< arrival of its last PeerSubscribe
    std::uint64_t sentAtMs_ = 0; ///< PeerSubscribe::sentAtMs_ of that message
    std::uint64_t era_ = 0;      ///< StoreView::Era() to which progress_ belongs
    std::array<Progress, kFeedTopicCount> progress_{};
    MonotonicTime confirmedAt_; ///< StoreView::ConfirmedAt() as last sent to it
  };

  // A subscriber has no rows of a newer era yet.
  void EnterEra(Subscriber& aSubscriber)
  {
    if (std::exchange(aSubscriber.era_, view_.Era()) != view_.Era()) {
      aSubscriber.progress_ = {};
    }
  }

  void Send(Subscriber& aSubscriber, ViewStatus aStatus, MonotonicTime aNow)
  {
    EnterEra(aSubscriber);
    const auto progressBefore = aSubscriber.progress_;
    PeerStoreUpdate update;
    update.era_ = view_.Era();
    update.storeAnswers_ = aStatus == ViewStatus::Fresh;
    update.pending_ = aStatus == ViewStatus::Pending;
    update.subscribeSentAtMs_ = aSubscriber.sentAtMs_;
    update.subscribeHeldMs_ =
      static_cast<std::uint64_t>(ToMilliseconds(aNow - aSubscriber.heardAt_));
    update.observedForMs_ =
      static_cast<std::uint64_t>(ToMilliseconds(aNow - state_.ObservedSince().value_or(aNow)));
    for (const FeedTopic topic : kFeedTopics) {
      Progress& progress = aSubscriber.progress_[static_cast<std::size_t>(topic)];
      PeerStoreUpdate::Topic& part = update.topics_.emplace_back();
      if (progress.partial_) {
        continue; // position 0 tells the subscriber to ignore this topic
      }
      part =
        view_.UpdateSince(topic, progress.sent_, kMaxStoreUpdateBytes / kReadTopics.size(), aNow);
      progress.sent_ = std::max(progress.sent_, part.position_);
      if (!part.rows_.empty()) {
        progress.partial_ = !part.complete_;
        progress.rowsSentAt_ = aNow;
      }
    }
    if (peers_.Send(aSubscriber.endpoint_, update) == 0) {
      aSubscriber.progress_ = progressBefore;
      return;
    }
    aSubscriber.confirmedAt_ = view_.ConfirmedAt().value_or(aSubscriber.confirmedAt_);
  }

  P& peers_;
  const StoreView& view_;
  const DirectoryState& state_;
  const DirectoryTiming& timing_;
  std::map<InstanceId, Subscriber> subscribers_;
};

} // namespace boragepier

#endif
