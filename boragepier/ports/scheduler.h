#ifndef BORAGEPIER_PORTS_SCHEDULER_H
#define BORAGEPIER_PORTS_SCHEDULER_H

#include <concepts>
#include <functional>

#include "boragepier/base/time.h"

namespace boragepier {

/// Clock, timers and task queue of one thread. net::EventLoop is the production implementation;
/// tests use one with virtual time. Post() may be called from any thread, the other functions only
/// from the thread that runs the tasks.
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
