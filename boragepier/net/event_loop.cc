#include "boragepier/net/event_loop.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "boragepier/base/internal_error.h"

namespace boragepier::net {

class EventLoop::Impl
{
public:
  // Limit on I/O callbacks per iteration. Under continuous load there are always more, and posted
  // tasks and timers would starve.
  static constexpr int kMaxCallbacksPerIteration = 64;
  // The limit if a timer is due. The timer may be late because the thread was stalled, so input
  // that arrived meanwhile is handled first. This many callbacks take about 10 ms.
  static constexpr int kMaxCallbacksWhenTimerDue = 1024;

  void RunPosted()
  {
    std::deque<Task> tasks;
    {
      const std::lock_guard lock(mutex_);
      tasks.swap(posted_);
    }
    for (const Task& task : tasks) {
      RunContained(ErrorScope::Task, task);
    }
  }

  void RunDueTimers(MonotonicTime aNow)
  {
    while (!timers_.empty() && timers_.begin()->first.first <= aNow) {
      const auto node = timers_.extract(timers_.begin());
      dueTimes_.erase(node.key().second);
      RunContained(ErrorScope::Task, node.mapped());
    }
  }

  // The destructor of an object may defer the destruction of further ones.
  void DestroyDeferred()
  {
    while (!deferredDestructions_.empty()) {
      std::exchange(deferredDestructions_, {}).clear();
    }
  }

  // Runs at the start of destruction, because the destructors of what pending tasks and deferred
  // objects own may still use the loop.
  void DropPending()
  {
    destroying_ = true;
    std::exchange(posted_, {}).clear();
    dueTimes_.clear();
    std::exchange(timers_, {}).clear();
    DestroyDeferred();
  }

  bool HasPosted()
  {
    const std::lock_guard lock(mutex_);
    return !posted_.empty();
  }

  // Waits until I/O is ready, a timer is due or Wake() is called, and runs the ready I/O callbacks.
  // @return the time up to which ready I/O was handled; timers due later must wait
  MonotonicTime RunIo()
  {
    if (!HasPosted()) {
      SetWakeTimer();
      RunContained(ErrorScope::Task, [this] { context_.run_one(); });
    }
    const MonotonicTime now = std::chrono::steady_clock::now();
    const bool timerDue = !timers_.empty() && timers_.begin()->first.first <= now;
    const int maxCallbacks = timerDue ? kMaxCallbacksWhenTimerDue : kMaxCallbacksPerIteration;
    for (int i = 0; i < maxCallbacks && PollOne(); ++i) {
    }
    return now;
  }

  // Runs one ready I/O callback. Returns whether there was one.
  bool PollOne()
  {
    std::size_t count = 1; // also if the callback throws
    RunContained(ErrorScope::Task, [&] { count = context_.poll_one(); });
    return count > 0;
  }

  void Wake()
  {
    boost::asio::post(context_, [] {});
  }

  std::atomic<bool> stopped_ = false;
  std::atomic<bool> destroying_ = false; ///< destruction has begun; Post() drops tasks

  std::mutex mutex_;
  std::deque<Task> posted_;

  // Keyed by due time and id, so that timers with equal due times run in order of creation.
  std::map<std::pair<MonotonicTime, std::uint64_t>, Task> timers_;
  std::unordered_map<std::uint64_t, MonotonicTime> dueTimes_;
  std::uint64_t lastTimerId_ = 0;
  std::vector<std::shared_ptr<void>> deferredDestructions_;

  // Declared after the containers and so destroyed before them: objects owned by its handlers may
  // use them in their destructors.
  boost::asio::io_context context_{ 1 };

private:
  // Setting the timer costs a system call, so it is left alone while the earliest due time is the
  // same.
  void SetWakeTimer()
  {
    if (timers_.empty()) {
      return;
    }
    const MonotonicTime due = timers_.begin()->first.first;
    if (due == wakeTimerDue_) {
      return;
    }
    wakeTimerDue_ = due;
    wakeTimer_.expires_at(due);
    wakeTimer_.async_wait([this, due](const boost::system::error_code&) {
      if (wakeTimerDue_ == due) {
        wakeTimerDue_ = {};
      }
    });
  }

  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard_ =
    boost::asio::make_work_guard(context_);
  boost::asio::steady_timer wakeTimer_{ context_ };
  MonotonicTime wakeTimerDue_; ///< due time that wakeTimer_ is set to
};

EventLoop::EventLoop()
  : impl_(std::make_unique<Impl>())
{
}

EventLoop::~EventLoop()
{
  impl_->DropPending();
}

void
EventLoop::Run()
{
  MonotonicTime ioHandledUntil = Now();
  while (!impl_->stopped_) {
    impl_->RunPosted();
    impl_->RunDueTimers(ioHandledUntil);
    impl_->DestroyDeferred();
    ioHandledUntil = impl_->RunIo();
    impl_->DestroyDeferred();
  }
}

void
EventLoop::Stop()
{
  impl_->stopped_ = true;
  impl_->Wake();
}

void
EventLoop::Post(Task aTask)
{
  if (impl_->destroying_) {
    return;
  }
  bool wasEmpty = false;
  {
    const std::lock_guard lock(impl_->mutex_);
    wasEmpty = impl_->posted_.empty();
    impl_->posted_.push_back(std::move(aTask));
  }
  if (wasEmpty) {
    impl_->Wake();
  }
}

TimerId
EventLoop::After(Duration aDelay, Task aTask)
{
  const std::uint64_t id = ++impl_->lastTimerId_;
  const MonotonicTime due = Now() + aDelay;
  impl_->timers_.emplace(std::pair(due, id), std::move(aTask));
  impl_->dueTimes_.emplace(id, due);
  return static_cast<TimerId>(id);
}

bool
EventLoop::Cancel(TimerId aTimer)
{
  const auto id = static_cast<std::uint64_t>(aTimer);
  if (const auto found = impl_->dueTimes_.find(id); found != impl_->dueTimes_.end()) {
    impl_->timers_.erase(std::pair(found->second, id));
    impl_->dueTimes_.erase(found);
    return true;
  }
  return false;
}

void
EventLoop::DeferDestruction(std::shared_ptr<void> aObject)
{
  impl_->deferredDestructions_.push_back(std::move(aObject));
}

MonotonicTime
EventLoop::Now() const
{
  return std::chrono::steady_clock::now();
}

boost::asio::io_context&
EventLoop::Context()
{
  return impl_->context_;
}

} // namespace boragepier::net
