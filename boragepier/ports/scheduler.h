#ifndef BORAGEPIER_PORTS_SCHEDULER_H
#define BORAGEPIER_PORTS_SCHEDULER_H

#include <concepts>
#include <functional>

#include "boragepier/base/time.h"

namespace boragepier {

/// Time and timers of one thread. net::EventLoop is one; tests use one in virtual time.
/// Post() may be called from any thread, the others only in the thread that runs the tasks.
template<typename T>
concept Scheduler = requires(T& aLoop, Duration aDelay, std::function<void()> aTask)
{
  {
    aLoop.Now()
    } -> std::same_as<MonotonicTime>;
  aLoop.Cancel(aLoop.After(aDelay, aTask));
  aLoop.Post(aTask);
};

} // namespace boragepier

#endif
