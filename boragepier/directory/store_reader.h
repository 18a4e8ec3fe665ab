#ifndef BORAGEPIER_DIRECTORY_STORE_READER_H
#define BORAGEPIER_DIRECTORY_STORE_READER_H

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "boragepier/base/internal_error.h"
#include "boragepier/directory/config_parts.h"
#include "boragepier/directory/directory_timing.h"
#include "boragepier/directory/store_clock.h"
#include "boragepier/directory/store_view.h"
#include "boragepier/ports/directory_feed.h"
#include "boragepier/ports/scheduler.h"

namespace boragepier {

/// Reads topics of the store into a StoreView, with long polls, for as long as its owner wants them
/// to come from the store.
template<Scheduler S, DirectoryFeed F>
class StoreReader
{
public:
  struct Callbacks
  {
    /// Whether the topic is to be read from the store.
    std::function<bool(FeedTopic)> shouldRead_;
    /// Receives the era of each response, before its rows are applied.
    std::function<void(std::uint64_t)> onEra_;
    /// Whether this instance reads for others, so that failed calls are repeated soon.
    std::function<bool()> isRoot_;
    /// Receives the rows that changed and the time at which the store held nothing newer.
    std::function<void(FeedTopic, const std::vector<FeedRow>&, MonotonicTime)> onRows_;
    /// Receives the key of a row of the configuration that was ignored, and the reason.
    std::function<void(const std::string&, const std::string&)> onUnreadable_;
    /// Runs after each response or failure of a call.
    std::function<void()> onCallEnded_;
    /// Receives whether the store answers this instance, and the error of the failed call if not.
    std::function<void(bool, const std::string&)> onReachableChanged_;
  };

  /// @param aScheduler must outlive this object, like aFeed, aView and aJitter
  StoreReader(S& aScheduler,
              F& aFeed,
              StoreView& aView,
              const DirectoryTiming& aTiming,
              Jitter& aJitter,
              Callbacks aCallbacks)
    : scheduler_(aScheduler)
    , feed_(aFeed)
    , view_(aView)
    , timing_(aTiming)
    , jitter_(aJitter)
    , callbacks_(std::move(aCallbacks))
  {
  }

  /// Reads the list of instances once.
  /// @param aDone receives whether the store answered; if not, ReadInstanceList() is to be repeated
  /// after the returned delay
  void ReadInstanceList(std::function<void(std::optional<Duration>)> aDone)
  {
    feed_.Read(
      FeedTopic::Instances,
      [this, startedAt = scheduler_.Now(), done = std::move(aDone)](const FeedResponse& aResponse) {
        if (aResponse.status_ != FeedStatus::Ok) {
          OnFailed(aResponse.error_);
          done(NonRootRetryDelay(startedAt));
          return;
        }
        OnAnswered();
        callbacks_.onEra_(aResponse.era_);
        Apply({ FeedTopic::Instances, false, startedAt, {} }, aResponse);
        done(std::nullopt);
      });
  }

  /// Starts to read each topic that should come from the store and is not being read yet.
  void Start()
  {
    for (const FeedTopic topic : kReadTopics) {
      if (!StateOf(topic).reading_ && callbacks_.shouldRead_(topic)) {
        StateOf(topic).reading_ = true;
        Request(topic, true);
      }
    }
  }

  /// Gives up the pending calls, also those that the store still holds, because all rows must be
  /// read. Their responses are ignored. Topics that should still come from the store are read at
  /// once.
  void ReadAnew()
  {
    for (const FeedTopic topic : kReadTopics) {
      TopicState& state = StateOf(topic);
      if (!state.reading_) {
        continue;
      }
      if (const auto timer = std::exchange(state.nextRequest_, std::nullopt)) {
        scheduler_.Cancel(*timer);
      }
      ++state.callNumber_;
      state.reading_ = false;
    }
    Start();
  }

  /// @return whether any topic is read from the store
  bool IsReading() const
  {
    return std::any_of(
      topics_.begin(), topics_.end(), [](const auto& aState) { return aState.reading_; });
  }
  /// @return whether the last call failed
  bool IsFailing() const { return failing_; }

  /// Ends the failure of the store: a call was answered, or another instance reads it. Topics whose
  /// retry is pending are requested at once.
  void OnAnswered()
  {
    if (!std::exchange(failing_, false)) {
      return;
    }
    callbacks_.onReachableChanged_(true, {});
    for (const FeedTopic topic : kReadTopics) {
      if (const auto timer = StateOf(topic).nextRequest_) {
        scheduler_.Cancel(*timer);
        Continue(topic);
      }
    }
    Start();
  }

  /// Records a failed call.
  void OnFailed(const std::string& aError)
  {
    if (!std::exchange(failing_, true)) {
      callbacks_.onReachableChanged_(false, aError);
    }
  }

private:
  using TimerId = decltype(std::declval<S&>().After(std::declval<Duration>(),
                                                    std::declval<std::function<void()>>()));

  struct TopicState
  {
    bool reading_ = false; ///< a call to the store, or the delay before the next, is pending
    std::optional<TimerId> nextRequest_; ///< end of the delay before the next call, if pending
    Duration backoff_{};                 ///< delay before the last retry; 0 after a success
    std::uint64_t callNumber_ = 0;       ///< of the last call
  };

  // A call to the store that was sent.
  struct PendingCall
  {
    FeedTopic topic_;
    bool changesOnly_; ///< reads the changes since a position rather than all rows
    MonotonicTime startedAt_;
    Duration wait_;                ///< longest time that the store holds the call
    std::uint64_t callNumber_ = 0; ///< TopicState::callNumber_ when it was sent
  };

  TopicState& StateOf(FeedTopic aTopic) { return topics_[static_cast<std::size_t>(aTopic)]; }

  void Request(FeedTopic aTopic, bool aFirst)
  {
    // A long poll would show only after its wait that nothing has changed so far, or that the store
    // still does not answer.
    const Duration wait = aFirst || failing_       ? Duration(0)
                          : IsRoutingTopic(aTopic) ? timing_.longPollWait_
                                                   : timing_.instancesLongPollWait_;
    const bool changesOnly = aTopic == FeedTopic::Configuration
                               ? view_.IsSynced(aTopic) && view_.IsSynced(FeedTopic::Evacuations)
                               : view_.IsSynced(aTopic);
    const PendingCall call{
      aTopic, changesOnly, scheduler_.Now(), wait, ++StateOf(aTopic).callNumber_
    };
    const auto done = [this, call](const FeedResponse& aResponse) { OnReply(call, aResponse); };
    if (call.changesOnly_) {
      feed_.Wait(aTopic, ReadPosition(aTopic), wait, done);
    } else {
      feed_.Read(aTopic, done);
    }
  }

  // Returns the position of the store after which changes of a topic are requested.
  std::uint64_t ReadPosition(FeedTopic aTopic) const
  {
    const std::uint64_t position = view_.CompletePosition(aTopic);
    if (aTopic != FeedTopic::Configuration) {
      return position;
    }
    return std::min(ToStorePosition(position), view_.CompletePosition(FeedTopic::Evacuations));
  }

  // Applies a response. Returns the number of rows that changed, or nothing if the response is
  // older than what is known.
  std::optional<std::size_t> Apply(const PendingCall& aCall, const FeedResponse& aResponse)
  {
    const MonotonicTime now = scheduler_.Now();
    MonotonicTime observedAt = clock_.CreatedAt(aCall.startedAt_, now, aResponse.storeTime_);
    if (aCall.changesOnly_ && aResponse.rows_.empty() && aResponse.evacuations_.empty()) {
      // The store responds without changes only at the end of the wait.
      observedAt = std::max(observedAt, std::min(now, aCall.startedAt_ + aCall.wait_));
    }
    const auto changed =
      aCall.topic_ == FeedTopic::Configuration
        ? view_.ApplyResponse(aCall.topic_, Divide(aResponse), aCall.changesOnly_, observedAt)
        : view_.ApplyResponse(aCall.topic_, aResponse, aCall.changesOnly_, observedAt);
    if (!changed) {
      return std::nullopt;
    }
    callbacks_.onRows_(aCall.topic_, *changed, observedAt);
    return changed->size() + ApplyEvacuations(aCall, aResponse, observedAt);
  }

  // Applies the evacuations of a response. Returns the number of rows that changed.
  std::size_t ApplyEvacuations(const PendingCall& aCall,
                               const FeedResponse& aResponse,
                               MonotonicTime aObservedAt)
  {
    if (aCall.topic_ != FeedTopic::Configuration) {
      return 0;
    }
    FeedResponse evacuations;
    evacuations.status_ = aResponse.status_;
    evacuations.position_ = aResponse.position_;
    evacuations.rows_ = aResponse.evacuations_;
    evacuations.era_ = aResponse.era_;
    const auto changed =
      view_.ApplyResponse(FeedTopic::Evacuations, evacuations, aCall.changesOnly_, aObservedAt);
    if (!changed) {
      return 0; // newer ones are known from another instance
    }
    callbacks_.onRows_(FeedTopic::Evacuations, *changed, aObservedAt);
    return changed->size();
  }

  // Replaces the row of the configuration by its parts. One that cannot be read counts as
  // unchanged.
  FeedResponse Divide(const FeedResponse& aResponse)
  {
    FeedResponse divided;
    divided.status_ = aResponse.status_;
    divided.position_ = ToPartPosition(aResponse.position_);
    divided.era_ = aResponse.era_;
    for (const FeedRow& row : aResponse.rows_) {
      DecodedConfig decoded = UnreadableEntry{ "an internal error" };
      RunContained(ErrorScope::StoreEntry, [&] { decoded = feed_.DecodeConfig(row); });
      if (const auto* const config = std::get_if<FleetConfig>(&decoded)) {
        divided.rows_ = DivideConfig(*config, aResponse.position_);
      } else if (const auto* const unreadable = std::get_if<UnreadableEntry>(&decoded)) {
        callbacks_.onUnreadable_(row.key_, unreadable->error_);
      }
    }
    return divided;
  }

  void OnReply(const PendingCall& aCall, const FeedResponse& aResponse)
  {
    TopicState& state = StateOf(aCall.topic_);
    callbacks_.onEra_(aResponse.era_);
    if (aCall.callNumber_ != state.callNumber_) {
      return; // replaced by ReadAnew()
    }
    Duration delay{};
    std::optional<std::size_t> changedCount;
    if (aResponse.status_ == FeedStatus::Ok) {
      // Whatever the response does, the next call must be scheduled.
      RunContained(ErrorScope::Answer, [&] { changedCount = Apply(aCall, aResponse); });
    }
    if (changedCount) {
      OnAnswered();
      state.backoff_ = {};
      if (*changedCount > 0) {
        delay = jitter_(timing_.coalescingDelay_);
      }
    } else if (aResponse.status_ == FeedStatus::HistoryLost) {
      OnAnswered();
      view_.OnHistoryLost(aCall.topic_);
      if (aCall.topic_ == FeedTopic::Configuration) {
        view_.OnHistoryLost(FeedTopic::Evacuations);
      }
    } else {
      const bool isStale = aResponse.status_ == FeedStatus::Ok;
      OnFailed(isStale ? std::string("stale answer") : aResponse.error_);
      state.backoff_ = std::clamp(2 * state.backoff_, timing_.initialBackoff_, timing_.maxBackoff_);
      delay = callbacks_.isRoot_() ? jitter_(state.backoff_) : NonRootRetryDelay(aCall.startedAt_);
    }
    state.nextRequest_ = scheduler_.After(delay, [this, topic = aCall.topic_] { Continue(topic); });
    callbacks_.onCallEnded_();
  }

  // Sends the next call for a topic that is being read, or stops to read it.
  void Continue(FeedTopic aTopic)
  {
    TopicState& state = StateOf(aTopic);
    state.nextRequest_.reset();
    if (callbacks_.shouldRead_(aTopic)) {
      Request(aTopic, false);
    } else {
      state.reading_ = false;
      callbacks_.onCallEnded_();
    }
  }

  // Returns the delay before the retry of a call that failed now.
  Duration NonRootRetryDelay(MonotonicTime aStartedAt)
  {
    const Duration elapsed = scheduler_.Now() - aStartedAt;
    return std::max(timing_.initialBackoff_, jitter_(timing_.nonRootRetryDelay_) - elapsed);
  }

  S& scheduler_;
  F& feed_;
  StoreView& view_;
  const DirectoryTiming& timing_;
  Jitter& jitter_;
  const Callbacks callbacks_;
  StoreClock clock_;
  std::array<TopicState, kFeedTopicCount> topics_{};
  bool failing_ = false; ///< as last reported by the callback
};

} // namespace boragepier

#endif
