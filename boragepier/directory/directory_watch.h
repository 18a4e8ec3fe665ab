#ifndef BORAGEPIER_DIRECTORY_DIRECTORY_WATCH_H
#define BORAGEPIER_DIRECTORY_DIRECTORY_WATCH_H

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "boragepier/directory/directory_state.h"
#include "boragepier/base/random.h"
#include "boragepier/ports/scheduler.h"

namespace boragepier {

/// How often a store is asked.
struct DirectoryTiming
{
  /// Longest time that the store holds a question for changes.
  Duration wait_ = std::chrono::seconds(25);
  /// Pause after an answer with changes, so that changes in quick succession come in one answer.
  /// Much less than the time in which a change must be in force.
  Duration pause_ = std::chrono::milliseconds(300);
  /// First pause after a failed call; doubled up to the second with every further one.
  Duration firstRetry_ = std::chrono::milliseconds(100);
  Duration lastRetry_ = std::chrono::milliseconds(800);
  /// Between two readings of the instances, which change rarely and are a hint.
  Duration instances_ = std::chrono::seconds(30);
  /// Until the second reading of the instances: those that started with this one have registered.
  Duration instancesAtStart_ = std::chrono::seconds(3);
};

/// Keeps a DirectoryState up to date from a store: reads the configuration and the upstreams, then
/// waits for their changes; registers this instance and reads the others from time to time.
/// Everything runs in the thread of the scheduler.
template<Scheduler S, DirectoryFeed F>
class DirectoryWatch
{
public:
  using TableCallback = std::function<void(std::shared_ptr<const RoutingTable>)>;
  using EventCallback = std::function<void(const DirectoryEvent&)>;
  /// Receives whether the store answers, with the error of the call that failed.
  using ContactCallback = std::function<void(bool, const std::string&)>;

  /// @param aScheduler outlives this object
  /// @param aFeed outlives this object
  /// @param aSeed of the jitter of pauses
  DirectoryWatch(S& aScheduler,
                 F& aFeed,
                 InstanceId aSelf,
                 const FleetTerms& aTerms,
                 DirectoryTiming aTiming,
                 std::uint64_t aSeed)
    : scheduler_(aScheduler)
    , feed_(aFeed)
    , self_(aSelf)
    , timing_(aTiming)
    , random_(aSeed)
    , state_(std::move(aSelf), aTerms)
  {
  }

  void OnTable(TableCallback aCallback) { onTable_ = std::move(aCallback); }
  void OnEvent(EventCallback aCallback) { onEvent_ = std::move(aCallback); }
  void OnContact(ContactCallback aCallback) { onContact_ = std::move(aCallback); }

  void Start()
  {
    Follow(FeedTopic::Configuration);
    Follow(FeedTopic::Upstreams);
    ReadInstances(true);
  }

  /// Changes the limits, as after a reload of the settings.
  void SetTerms(const FleetTerms& aTerms)
  {
    state_.SetTerms(aTerms);
    Publish();
  }

  const DirectoryState& State() const { return state_; }

private:
  struct Topic
  {
    bool known_ = false; ///< a snapshot was read and no history was lost since
    std::uint64_t position_ = 0;
    Duration retry_{};
  };

  Topic& Of(FeedTopic aTopic) { return topics_[static_cast<std::size_t>(aTopic)]; }

  void Follow(FeedTopic aTopic)
  {
    const Topic& topic = Of(aTopic);
    const auto done = [this, aTopic, wasKnown = topic.known_](FeedPage aPage) {
      OnPage(aTopic, wasKnown, std::move(aPage));
    };
    if (topic.known_) {
      feed_.Wait(aTopic, topic.position_, timing_.wait_, done);
    } else {
      feed_.Read(aTopic, done);
    }
  }

  void OnPage(FeedTopic aTopic, bool aChangesOnly, FeedPage aPage)
  {
    const MonotonicTime now = scheduler_.Now();
    Topic& topic = Of(aTopic);
    Duration pause{};
    if (aPage.status_ == FeedStatus::Ok) {
      OnAnswered(now);
      if (aChangesOnly) {
        state_.OnChanges(aTopic, aPage.items_, now);
      } else {
        state_.OnSnapshot(aTopic, aPage.items_, now);
      }
      topic.known_ = true;
      topic.position_ = std::max(topic.position_, aPage.position_);
      topic.retry_ = {};
      pause = aPage.items_.empty() ? Duration{} : Jittered(timing_.pause_);
    } else if (aPage.status_ == FeedStatus::HistoryLost) {
      OnAnswered(now);
      topic.known_ = false;
    } else {
      OnFailed(aPage.error_, now);
      topic.retry_ = std::clamp(2 * topic.retry_, timing_.firstRetry_, timing_.lastRetry_);
      pause = Jittered(topic.retry_);
      // After an outage the store may have dropped changes; the next answer must be complete.
      topic.known_ = false;
    }
    Publish();
    scheduler_.After(pause, [this, aTopic] { Follow(aTopic); });
  }

  void OnAnswered(MonotonicTime aNow)
  {
    state_.OnContact(aNow);
    if (std::exchange(failing_, false) && onContact_) {
      onContact_(true, {});
    }
  }

  void OnFailed(const std::string& aError, MonotonicTime aNow)
  {
    state_.OnTrouble(aNow);
    if (!std::exchange(failing_, true) && onContact_) {
      onContact_(false, aError);
    }
  }

  void ReadInstances(bool aAtStart)
  {
    feed_.Read(FeedTopic::Instances, [this, aAtStart](FeedPage aPage) {
      const MonotonicTime now = scheduler_.Now();
      const bool answered = aPage.status_ == FeedStatus::Ok;
      if (answered) {
        state_.OnSnapshot(FeedTopic::Instances, aPage.items_, now);
        Publish();
        RegisterIfMissing(aPage);
      }
      const Duration next = !answered || aAtStart ? timing_.instancesAtStart_ : timing_.instances_;
      scheduler_.After(Jittered(next), [this, aAtStart, answered] {
        ReadInstances(aAtStart && !answered);
      });
    });
  }

  void RegisterIfMissing(const FeedPage& aPage)
  {
    const bool listed =
      std::any_of(aPage.items_.begin(), aPage.items_.end(), [&](const FeedItem& aItem) {
        return aItem.key_ == self_.View();
      });
    if (!listed) {
      // A failed call is repeated after the next reading, which shows whether it took effect.
      feed_.Register({ self_ }, [](const FeedPage&) {});
    }
  }

  void Publish()
  {
    for (const DirectoryEvent& event : state_.TakeEvents()) {
      if (onEvent_) {
        onEvent_(event);
      }
    }
    if (state_.TakeChanged() && onTable_) {
      onTable_(state_.Table());
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

  Duration Jittered(Duration aDuration)
  {
    return aDuration * (75 + static_cast<int>(random_(50))) / 100;
  }

  S& scheduler_;
  F& feed_;
  const InstanceId self_;
  const DirectoryTiming timing_;
  Random random_;
  DirectoryState state_;
  std::array<Topic, 3> topics_{};
  bool failing_ = false;
  bool advanceArmed_ = false;
  TableCallback onTable_;
  EventCallback onEvent_;
  ContactCallback onContact_;
};

} // namespace boragepier

#endif
