#ifndef BORAGEPIER_TESTING_STATE_VIRTUAL_TIME_H
#define BORAGEPIER_TESTING_STATE_VIRTUAL_TIME_H

#include <functional>
#include <map>
#include <utility>

#include "boragepier/base/time.h"

namespace boragepier::testing {

/// Events in virtual time, run in order of time, then of creation.
class VirtualTime
{
public:
  using Task = std::function<void()>;

  MonotonicTime Now() const { return now_; }

  void At(MonotonicTime aTime, Task aTask)
  {
    events_.emplace(std::max(aTime, now_), std::move(aTask));
  }

  void After(Duration aDelay, Task aTask) { At(now_ + aDelay, std::move(aTask)); }

  /// Runs the next event.
  /// @return false if there is none
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

  /// Runs all events up to a time.
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
