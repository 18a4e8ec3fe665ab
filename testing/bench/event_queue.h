#ifndef TESTING_BENCH_EVENT_QUEUE_H
#define TESTING_BENCH_EVENT_QUEUE_H

#include <cstdint>
#include <queue>
#include <vector>

#include "boragepier/base/time.h"

namespace boragepier::bench {

/// What happens at a point of virtual time.
struct Event
{
  enum class Kind : std::uint8_t
  {
    Arrival,        ///< a call reaches an instance
    ReachUpstream,  ///< subject_: attempt
    ServiceEnd,     ///< subject_: attempt
    ReachInstance,  ///< subject_: attempt
    CancelUpstream, ///< subject_: attempt
    AttemptTimeout, ///< subject_: attempt
    HedgeTimer,     ///< subject_: call
    CallDeadline,   ///< subject_: call
    ReleaseTimer,   ///< subject_: instance
    ProbeReach,     ///< subject_: probe
    ProbeReturn,    ///< subject_: probe
    FaultStep,      ///< a fault begins or ends, or the list of upstreams changes
  };
  MonotonicTime time_;
  std::uint64_t order_ = 0; ///< events of the same time happen in the order of their creation
  std::uint64_t subject_ = 0;
  Kind kind_ = Kind::Arrival;
};

/// Events in order of time.
class EventQueue
{
public:
  void Push(MonotonicTime aTime, Event::Kind aKind, std::uint64_t aSubject)
  {
    events_.push({ aTime, nextOrder_++, aSubject, aKind });
  }
  bool Empty() const { return events_.empty(); }
  Event Pop()
  {
    const Event event = events_.top();
    events_.pop();
    return event;
  }

private:
  struct Later
  {
    bool operator()(const Event& aLeft, const Event& aRight) const
    {
      return aLeft.time_ != aRight.time_ ? aLeft.time_ > aRight.time_
                                         : aLeft.order_ > aRight.order_;
    }
  };
  std::priority_queue<Event, std::vector<Event>, Later> events_;
  std::uint64_t nextOrder_ = 0;
};

} // namespace boragepier::bench

#endif
