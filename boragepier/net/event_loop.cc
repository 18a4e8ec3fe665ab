#include "boragepier/net/event_loop.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <deque>
#include <map>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

#include <cxxtools/selector.h>

namespace boragepier::net {

class EventLoop::Impl
{
public:
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
    std::exchange(posted_, {}).clear();
    dueTimes_.clear();
    std::exchange(timers_, {}).clear();
    DestroyRetired();
  }

  // A wait is rounded up to whole milliseconds: rounding down would spin until the timer is due.
  double WaitMilliseconds(MonotonicTime aNow)
  {
    {
      const std::lock_guard lock(mutex_);
      if (!posted_.empty()) {
        return 0;
      }
    }
    if (timers_.empty()) {
      return cxxtools::SelectorBase::WaitInfinite;
    }
    return std::max(0.0, std::ceil(ToMilliseconds(timers_.begin()->first.first - aNow)));
  }

  cxxtools::Selector selector_;
  std::atomic<bool> stopped_ = false;

  std::mutex mutex_;
  std::deque<Task> posted_;

  // Ordered by due time, then by order of creation.
  std::map<std::pair<MonotonicTime, std::uint64_t>, Task> timers_;
  std::unordered_map<std::uint64_t, MonotonicTime> dueTimes_;
  std::uint64_t lastTimer_ = 0;
  std::vector<std::shared_ptr<void>> retired_;
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
  while (!impl_->stopped_) {
    impl_->RunPosted();
    impl_->RunTimers(Now());
    impl_->DestroyRetired();
    impl_->selector_.wait(cxxtools::Milliseconds(impl_->WaitMilliseconds(Now())));
    impl_->DestroyRetired();
  }
}

void
EventLoop::Stop()
{
  impl_->stopped_ = true;
  impl_->selector_.wake();
}

void
EventLoop::Post(Task aTask)
{
  {
    const std::lock_guard lock(impl_->mutex_);
    impl_->posted_.push_back(std::move(aTask));
  }
  impl_->selector_.wake();
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

cxxtools::SelectorBase&
EventLoop::Selector()
{
  return impl_->selector_;
}

} // namespace boragepier::net
