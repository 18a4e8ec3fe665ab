#ifndef BORAGEPIER_TESTING_STATE_VIRTUAL_TIME_H
#define BORAGEPIER_TESTING_STATE_VIRTUAL_TIME_H

#include <functional>
#include <map>
#include <utility>

#include "boragepier/base/time.h"

namespace boragepier::testing {

/// Event loop in virtual time. Runs tasks in order of their due time; tasks with the same due time
/// in the order in which they were scheduled.
class VirtualTime
{
public:
  using Task = std::function<void()>;

  MonotonicTime Now() const { return now_; }

  /// Schedules a task; a time in the past means now.
  void At(MonotonicTime aTime, Task aTask)
  {
    events_.emplace(std::max(aTime, now_), std::move(aTask));
  }

  /// Schedules a task after a delay.
  void After(Duration aDelay, Task aTask) { At(now_ + aDelay, std::move(aTask)); }

  /// Advances the time to the next task and runs it.
  /// @return false if no task is scheduled
  bool RunOne()
  {
    if (events_.empty()) {
      return false;
    }
    const auto node = events_.extract(events_.begin());
    now_ = node.key();
    node.mapped()();
    return true;
  }

  /// Runs all tasks that are due up to and including aEnd, then advances the time to aEnd.
  void RunUntil(MonotonicTime aEnd)
  {
    while (!events_.empty() && events_.begin()->first <= aEnd) {
      RunOne();
    }
    now_ = std::max(now_, aEnd);
  }

private:
  MonotonicTime now_ = MonotonicTime(std::chrono::hours(1));
  std::multimap<MonotonicTime, Task> events_;
};

} // namespace boragepier::testing

#endif
