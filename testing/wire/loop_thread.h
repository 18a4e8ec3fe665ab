#ifndef BORAGEPIER_TESTING_WIRE_LOOP_THREAD_H
#define BORAGEPIER_TESTING_WIRE_LOOP_THREAD_H

#include <future>
#include <memory>
#include <thread>
#include <utility>

#include "boragepier/net/event_loop.h"
#include "testing/wire/raw_socket.h"

namespace boragepier::testing {

/// Waits for a value from another thread.
/// @return the value
/// @throws WireError after 30 s
template<typename Value>
Value
Await(std::future<Value> aFuture)
{
  if (aFuture.wait_for(std::chrono::seconds(30)) != std::future_status::ready) {
    throw WireError("timed out waiting for a value from another thread");
  }
  return aFuture.get();
}

/// Polls until a condition holds.
/// @throws WireError after 30 s
template<typename Condition>
void
WaitUntil(Condition aCondition)
{
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      throw WireError("timed out waiting for a condition");
    }
    std::this_thread::yield();
  }
}

/// Runs an event loop in a thread until destroyed. Declare it after the objects that use the loop,
/// so that the thread has ended before they are destroyed.
class LoopThread
{
public:
  explicit LoopThread(net::EventLoop& aLoop)
    : loop_(aLoop)
    , thread_([&aLoop] { aLoop.Run(); })
  {
  }
  ~LoopThread()
  {
    loop_.Stop();
    thread_.join();
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  /// Runs a function in the loop thread and waits for it.
  /// @return its result
  /// @throws WireError after 30 s, and what the function throws
  template<typename Function>
  auto Run(Function aFunction)
  {
    // Shared with the loop, because the task may still run after the wait has timed out.
    const auto task =
      std::make_shared<std::packaged_task<decltype(aFunction())()>>(std::move(aFunction));
    auto result = task->get_future();
    loop_.Post([task] { (*task)(); });
    return Await(std::move(result));
  }

private:
  net::EventLoop& loop_;
  std::thread thread_;
};

} // namespace boragepier::testing

#endif
