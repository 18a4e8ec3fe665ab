#ifndef BORAGEPIER_TESTING_WIRE_LOOP_THREAD_H
#define BORAGEPIER_TESTING_WIRE_LOOP_THREAD_H

#include <future>
#include <memory>
#include <thread>
#include <utility>

#include "boragepier/net/event_loop.h"
#include "testing/wire/raw_socket.h"

namespace boragepier::testing {

/// Waits for a value that another thread delivers.
/// @throws WireError after a generous time limit
template<typename Value>
Value
Await(std::future<Value> aFuture)
{
  if (aFuture.wait_for(std::chrono::seconds(30)) != std::future_status::ready) {
    throw WireError("an expected event did not happen within the time limit");
  }
  return aFuture.get();
}

/// Waits until a condition holds that no event announces.
/// @throws WireError after a generous time limit
template<typename Condition>
void
WaitUntil(Condition aCondition)
{
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > limit) {
      throw WireError("an expected state was not reached within the time limit");
    }
    std::this_thread::yield();
  }
}

/// Runs an event loop in a thread of its own. Objects that use the loop are declared before the
/// LoopThread, so that the thread has ended when they are destroyed.
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

  /// Runs a function in the loop thread.
  /// @return its result
  template<typename Function>
  auto Run(Function aFunction)
  {
    // Shared, because the task may still run after this function gave up waiting.
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
