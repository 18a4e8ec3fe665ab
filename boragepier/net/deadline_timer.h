#ifndef BORAGEPIER_NET_DEADLINE_TIMER_H
#define BORAGEPIER_NET_DEADLINE_TIMER_H

#include <algorithm>
#include <functional>
#include <utility>

#include "boragepier/net/event_loop.h"

namespace boragepier::net {

/// A restartable timer for deadlines that are often moved and rarely reached: moving the deadline
/// to a later time needs no operation on the timers of the loop. The destructor cancels it. Loop
/// thread only.
class DeadlineTimer
{
public:
  /// @param aLoop outlives this object
  /// @param aTask runs each time a deadline is reached
  DeadlineTimer(EventLoop& aLoop, EventLoop::Task aTask)
    : loop_(aLoop)
    , task_(std::move(aTask))
  {
  }
  ~DeadlineTimer() { loop_.Cancel(timer_); }
  DeadlineTimer(const DeadlineTimer&) = delete;
  DeadlineTimer& operator=(const DeadlineTimer&) = delete;

  /// Sets the deadline, replacing the current one.
  void Set(MonotonicTime aDeadline)
  {
    deadline_ = aDeadline;
    if (timer_ == TimerId::None || aDeadline < timerDue_) {
      loop_.Cancel(timer_);
      StartTimer();
    }
  }

  /// Removes the deadline.
  void Clear() { deadline_ = MonotonicTime::max(); }

private:
  void StartTimer()
  {
    timerDue_ = deadline_;
    timer_ = loop_.After(std::max(Duration(0), deadline_ - loop_.Now()), [this] { OnTimer(); });
  }

  void OnTimer()
  {
    timer_ = TimerId::None;
    if (deadline_ == MonotonicTime::max()) {
      return;
    }
    if (loop_.Now() < deadline_) {
      StartTimer();
      return;
    }
    deadline_ = MonotonicTime::max();
    task_();
  }

  EventLoop& loop_;
  EventLoop::Task task_;
  MonotonicTime deadline_ = MonotonicTime::max();
  MonotonicTime timerDue_{}; ///< due time of timer_; at or before deadline_
  TimerId timer_ = TimerId::None;
};

} // namespace boragepier::net

#endif
