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

/// Refers to a timer of one EventLoop; never reused.
enum class TimerId : std::uint64_t
{
  None = 0
};

/// Runs I/O callbacks, timers and posted tasks in one thread, over a Boost.Asio context. Its cost
/// does not grow with the number of idle connections.
class EventLoop
{
public:
  using Task = std::function<void()>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs until Stop(). The calling thread becomes the loop thread.
  void Run();
  /// Ends Run() soon. Any thread.
  void Stop();
  /// Runs aTask in the loop thread, in order of posting. Any thread.
  void Post(Task aTask);

  /// Runs aTask once, not before aDelay has passed and the input that was ready then has been
  /// handled. Loop thread only.
  TimerId After(Duration aDelay, Task aTask);
  /// Cancels a timer. Loop thread only.
  /// @return false if it has run or was cancelled already
  bool Cancel(TimerId aTimer);

  /// Destroys aObject after the callbacks of this round have returned, so that a socket can be
  /// given up inside its own callback. Loop thread only.
  void Retire(std::shared_ptr<void> aObject);

  /// @return the time now, read at each call
  MonotonicTime Now() const;

  /// @return the context of the sockets of this loop
  boost::asio::io_context& Context();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace boragepier::net

#endif
