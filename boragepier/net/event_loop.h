#ifndef BORAGEPIER_NET_EVENT_LOOP_H
#define BORAGEPIER_NET_EVENT_LOOP_H

#include <cstdint>
#include <functional>
#include <memory>

#include "boragepier/base/time.h"

namespace boost::asio {
class io_context;
}

namespace boragepier::net {

/// Identifies a timer of one EventLoop; values are never reused.
enum class TimerId : std::uint64_t
{
  None = 0
};

/// Runs I/O callbacks, timers and posted tasks in one thread, using a Boost.Asio io_context. Idle
/// connections add no cost per iteration. A callback or task that throws is reported
/// (ReportInternalError()) and abandoned; the loop goes on.
class EventLoop
{
public:
  using Task = std::function<void()>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs the loop until Stop(). The calling thread becomes the loop thread.
  void Run();
  /// Makes Run() return after the current iteration. Any thread.
  void Stop();
  /// Queues aTask to run in the loop thread, in order of posting. Any thread.
  void Post(Task aTask);

  /// Runs aTask once after aDelay. Input that was ready at the due time is handled first, up to a
  /// limit per iteration. Loop thread only, or before the loop runs.
  TimerId After(Duration aDelay, Task aTask);
  /// Cancels a timer. Loop thread only.
  /// @return false if it has already run or been cancelled, or is None
  bool Cancel(TimerId aTimer);

  /// Destroys aObject after the current callbacks have returned, so that an object can be released
  /// inside its own callback. Loop thread only.
  void DeferDestruction(std::shared_ptr<void> aObject);

  /// @return the current time; the clock is read on each call
  MonotonicTime Now() const;

  /// @return the io_context for sockets that belong to this loop
  boost::asio::io_context& Context();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace boragepier::net

#endif
