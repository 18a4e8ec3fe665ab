#ifndef BORAGEPIER_QUOTA_QUOTA_FAKES_H
#define BORAGEPIER_QUOTA_QUOTA_FAKES_H

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "boragepier/entry/pipeline_fakes.h"
#include "boragepier/ports/peer_transport.h"

namespace boragepier {

/// Scheduler of one instance, which can freeze: its tasks then run when it wakes.
class FreezableScheduler
{
public:
  explicit FreezableScheduler(FakeScheduler& aScheduler)
    : scheduler_(aScheduler)
  {
  }

  MonotonicTime Now() const { return scheduler_.Now(); }
  net::TimerId After(Duration aDelay, std::function<void()> aTask)
  {
    return scheduler_.After(aDelay, [this, task = std::move(aTask)] { RunOrDefer(task); });
  }
  void Cancel(net::TimerId aTimer) { scheduler_.Cancel(aTimer); }
  void Post(std::function<void()> aTask) { After({}, std::move(aTask)); }

  void RunOrDefer(const std::function<void()>& aTask)
  {
    if (stopped_) {
      return;
    }
    if (frozen_) {
      deferred_.push_back(aTask);
    } else {
      aTask();
    }
  }
  void Freeze() { frozen_ = true; }
  void Wake()
  {
    frozen_ = false;
    for (const auto& task : std::exchange(deferred_, {})) {
      RunOrDefer(task);
    }
  }
  /// Runs no task any more.
  void Stop() { stopped_ = true; }
  bool IsFrozen() const { return frozen_; }

private:
  FakeScheduler& scheduler_;
  bool frozen_ = false;
  bool stopped_ = false;
  std::vector<std::function<void()>> deferred_;
};

class QuotaTransport;

/// Network between instances, in virtual time.
struct QuotaNetwork
{
  explicit QuotaNetwork(FakeScheduler& aScheduler)
    : scheduler_(aScheduler)
  {
  }

  FakeScheduler& scheduler_;
  std::map<InstanceId, QuotaTransport*> transports_; ///< of the running instances
  std::set<InstanceId> isolated_;                    ///< whose messages are lost silently
  Duration delay_ = std::chrono::milliseconds(5);
  std::uint64_t messages_ = 0;
};

/// PeerTransport of one instance. A message to an instance that is not running makes it
/// unreachable.
class QuotaTransport
{
public:
  QuotaTransport(QuotaNetwork& aNetwork, FreezableScheduler& aScheduler)
    : network_(aNetwork)
    , scheduler_(aScheduler)
  {
  }

  void Start(const PeerEndpoint& aSelf,
             PeerMessageCallback aOnMessage,
             PeerUnreachableCallback aOnUnreachable)
  {
    self_ = aSelf;
    onMessage_ = std::move(aOnMessage);
    onUnreachable_ = std::move(aOnUnreachable);
    network_.transports_[aSelf.id_] = this;
  }

  void Stop()
  {
    stopped_ = true;
    network_.transports_.erase(self_.id_);
  }

  std::size_t Send(const PeerEndpoint& aPeer, const PeerMessage& aMessage)
  {
    if (stopped_) {
      return 0;
    }
    ++network_.messages_;
    network_.scheduler_.After(
      network_.delay_, [this, to = aPeer.id_, message = std::make_shared<PeerMessage>(aMessage)] {
        Deliver(to, *message);
      });
    return 1;
  }

  PeerCounters Counters() const { return {}; }

private:
  void Deliver(const InstanceId& aTo, const PeerMessage& aMessage)
  {
    if (network_.isolated_.contains(aTo) || network_.isolated_.contains(self_.id_)) {
      return;
    }
    if (const auto found = network_.transports_.find(aTo); found != network_.transports_.end()) {
      QuotaTransport* const receiver = found->second;
      receiver->scheduler_.RunOrDefer(
        [receiver, sender = self_, aMessage] { receiver->onMessage_(sender, aMessage, 0); });
    } else if (!stopped_) {
      scheduler_.RunOrDefer([this, aTo] { onUnreachable_(aTo); });
    }
  }

  QuotaNetwork& network_;
  FreezableScheduler& scheduler_;
  PeerEndpoint self_;
  PeerMessageCallback onMessage_;
  PeerUnreachableCallback onUnreachable_;
  bool stopped_ = false;
};

} // namespace boragepier

#endif
