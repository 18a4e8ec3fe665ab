#ifndef BORAGEPIER_NET_DEADLINE_H
#define BORAGEPIER_NET_DEADLINE_H

#include <algorithm>
#include <functional>
#include <utility>

#include "boragepier/net/event_loop.h"

namespace boragepier::net {

/// A timer that is moved often and runs rarely: moving it later costs no operation on the loop's
/// timers. Loop thread only; the destructor cancels it.
class Deadline
{
public:
  /// @param aTask runs when the deadline passes
  Deadline(EventLoop& aLoop, EventLoop::Task aTask)
    : loop_(aLoop)
    , task_(std::move(aTask))
  {
  }
  ~Deadline() { loop_.Cancel(timer_); }
  Deadline(const Deadline&) = delete;
  Deadline& operator=(const Deadline&) = delete;

  /// Sets the deadline, replacing the earlier one.
  void Set(MonotonicTime aTime)
  {
    time_ = aTime;
    if (timer_ == TimerId::None || aTime < timerTime_) {
      loop_.Cancel(timer_);
      Arm();
    }
  }

  void Clear() { time_ = MonotonicTime::max(); }

private:
  void Arm()
  {
    timerTime_ = time_;
    timer_ = loop_.After(std::max(Duration(0), time_ - loop_.Now()), [this] { OnTimer(); });
  }

  void OnTimer()
  {
    timer_ = TimerId::None;
    if (time_ == MonotonicTime::max()) {
      return;
    }
    if (loop_.Now() < time_) {
      Arm();
      return;
    }
    time_ = MonotonicTime::max();
    task_();
  }

  EventLoop& loop_;
  EventLoop::Task task_;
  MonotonicTime time_ = MonotonicTime::max();
  MonotonicTime timerTime_{};
  TimerId timer_ = TimerId::None;
};

} // namespace boragepier::net

#endif
