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

namespace boragepier::net {

class EventLoop::Impl
{
public:
  // I/O callbacks in a round. Under a steady load more are always ready, and posted tasks and
  // timers would wait for ever.
  static constexpr int kMaxCallbacks = 64;
  // The same when a timer is due: it may be late because the thread stood still, and all input that
  // came meanwhile goes first. Takes about 10 ms.
  static constexpr int kMaxCallbacksBeforeTimers = 1024;

  void RunPosted()
  {
    std::deque<Task> tasks;
    {
      const std::lock_guard lock(mutex_);
      tasks.swap(posted_);
    }
    for (Task& task : tasks) {
      task();
    }
  }

  void RunTimers(MonotonicTime aNow)
  {
    while (!timers_.empty() && timers_.begin()->first.first <= aNow) {
      const auto node = timers_.extract(timers_.begin());
      dueTimes_.erase(node.key().second);
      node.mapped()();
    }
  }

  // An object that is destroyed may retire further ones.
  void DestroyRetired()
  {
    while (!retired_.empty()) {
      std::exchange(retired_, {}).clear();
    }
  }

  // What tasks and retired objects hold may still use the loop while it is destroyed.
  void DestroyAll()
  {
    closing_ = true;
    std::exchange(posted_, {}).clear();
    dueTimes_.clear();
    std::exchange(timers_, {}).clear();
    DestroyRetired();
  }

  bool HasPosted()
  {
    const std::lock_guard lock(mutex_);
    return !posted_.empty();
  }

  // Runs I/O callbacks. Returns when some ran, a timer is due, or Wake() was called.
  // @return time up to which all I/O that was ready has been handled; later timers must wait
  MonotonicTime Wait()
  {
    if (!HasPosted()) {
      ArmWakeTimer();
      context_.run_one();
    }
    const MonotonicTime now = std::chrono::steady_clock::now();
    const bool timerDue = !timers_.empty() && timers_.begin()->first.first <= now;
    const int most = timerDue ? kMaxCallbacksBeforeTimers : kMaxCallbacks;
    for (int i = 0; i < most && context_.poll_one() > 0; ++i) {
    }
    return now;
  }

  void Wake()
  {
    boost::asio::post(context_, [] {});
  }

  std::atomic<bool> stopped_ = false;
  std::atomic<bool> closing_ = false; ///< destruction has begun; tasks are dropped

  std::mutex mutex_;
  std::deque<Task> posted_;

  // Ordered by due time, then by order of creation.
  std::map<std::pair<MonotonicTime, std::uint64_t>, Task> timers_;
  std::unordered_map<std::uint64_t, MonotonicTime> dueTimes_;
  std::uint64_t lastTimer_ = 0;
  std::vector<std::shared_ptr<void>> retired_;

  // Destroyed before the containers above, which what its handlers hold may still use.
  boost::asio::io_context context_{ 1 };

private:
  // Setting a timer costs a system call, so it is kept while the earliest due time stays.
  void ArmWakeTimer()
  {
    if (timers_.empty()) {
      return;
    }
    const MonotonicTime due = timers_.begin()->first.first;
    if (due == armed_) {
      return;
    }
    armed_ = due;
    wakeTimer_.expires_at(due);
    wakeTimer_.async_wait([this, due](const boost::system::error_code&) {
      if (armed_ == due) {
        armed_ = {};
      }
    });
  }

  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_ =
    boost::asio::make_work_guard(context_);
  boost::asio::steady_timer wakeTimer_{ context_ };
  MonotonicTime armed_; ///< due time for which wakeTimer_ is set
};

EventLoop::EventLoop()
  : impl_(std::make_unique<Impl>())
{
}

EventLoop::~EventLoop()
{
  impl_->DestroyAll();
}

void
EventLoop::Run()
{
  MonotonicTime handled = Now();
  while (!impl_->stopped_) {
    impl_->RunPosted();
    impl_->RunTimers(handled);
    impl_->DestroyRetired();
    handled = impl_->Wait();
    impl_->DestroyRetired();
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
  if (impl_->closing_) {
    return;
  }
  bool first = false;
  {
    const std::lock_guard lock(impl_->mutex_);
    first = impl_->posted_.empty();
    impl_->posted_.push_back(std::move(aTask));
  }
  if (first) {
    impl_->Wake();
  }
}

TimerId
EventLoop::After(Duration aDelay, Task aTask)
{
  const std::uint64_t id = ++impl_->lastTimer_;
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
EventLoop::Retire(std::shared_ptr<void> aObject)
{
  impl_->retired_.push_back(std::move(aObject));
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
