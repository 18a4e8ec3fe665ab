#ifndef TESTING_BENCH_EVENT_QUEUE_H
#define TESTING_BENCH_EVENT_QUEUE_H

#include <cstdint>
#include <queue>
#include <vector>

#include "boragepier/base/time.h"

namespace boragepier::bench {

/// A simulation event, due at a point of virtual time.
struct Event
{
  enum class Kind : std::uint8_t
  {
    Arrival,                     ///< a new call reaches an instance; subjectId_ unused
    RequestReachesUpstream,      ///< subjectId_: attempt
    ServiceCompletes,            ///< subjectId_: attempt
    ResponseReachesInstance,     ///< subjectId_: attempt
    CancellationReachesUpstream, ///< subjectId_: attempt
    AttemptTimeout,              ///< subjectId_: attempt
    HedgeTimer,                  ///< subjectId_: call
    CallDeadline,                ///< subjectId_: call
    ReleaseTimer,                ///< subjectId_: instance
    ProbeReachesUpstream,        ///< subjectId_: probe
    ProbeReplyReachesInstance,   ///< subjectId_: probe
    FaultTransition, ///< a fault starts or ends, or the upstream list changes; subjectId_ unused
  };
  MonotonicTime time_;
  std::uint64_t sequence_ = 0;  ///< breaks ties: simultaneous events occur in the order of creation
  std::uint64_t subjectId_ = 0; ///< what the event concerns; the Kind tells which ID this is
  Kind kind_ = Kind::Arrival;
};

/// Priority queue of events, earliest first.
class EventQueue
{
public:
  /// Schedules an event.
  void Push(MonotonicTime aTime, Event::Kind aKind, std::uint64_t aSubjectId)
  {
    events_.push({ aTime, nextSequence_++, aSubjectId, aKind });
  }
  /// @return whether no events are pending
  bool Empty() const { return events_.empty(); }
  /// Removes and returns the earliest event; the queue must not be empty.
  Event Pop()
  {
    const Event event = events_.top();
    events_.pop();
    return event;
  }

private:
  struct HappensLater
  {
    bool operator()(const Event& aLeft, const Event& aRight) const
    {
      return aLeft.time_ != aRight.time_ ? aLeft.time_ > aRight.time_
                                         : aLeft.sequence_ > aRight.sequence_;
    }
  };
  std::priority_queue<Event, std::vector<Event>, HappensLater> events_;
  std::uint64_t nextSequence_ = 0;
};

} // namespace boragepier::bench

#endif
