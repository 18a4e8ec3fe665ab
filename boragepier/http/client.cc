#include "boragepier/http/client.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "boragepier/base/internal_error.h"
#include "boragepier/http/client_connection.h"

namespace boragepier::http {

namespace {

// Shorter than the usual idle timeout of upstreams (60 s), so that a request is rarely sent on a
// connection that the peer is closing at the same time.
constexpr Duration kIdleTimeout = std::chrono::seconds(30);
constexpr Duration kIdleSweepInterval = std::chrono::seconds(5);

} // namespace

class Client::Impl : public ClientConnectionHandler
{
public:
  Impl(net::EventLoop& aLoop, std::shared_ptr<BodyBudget> aBudget)
    : loop_(aLoop)
    , budget_(std::move(aBudget))
  {
  }

  ~Impl() override
  {
    loop_.Cancel(idleSweepTimer_);
    for (const auto& [id, pending] : pendingRequests_) {
      loop_.Cancel(pending.timeoutTimer_);
    }
  }

  void SetMaxConnections(std::size_t aCount) { maxConnections_ = aCount; }

  SendId Send(const Target& aTarget,
              std::shared_ptr<const Request> aRequest,
              const SendOptions& aOptions,
              Callback aCallback)
  {
    const SendId id{ ++lastSendId_ };
    PendingRequest& pending = pendingRequests_[id];
    pending.pool_ = &pools_[aTarget];
    pending.target_ = aTarget;
    pending.request_ = std::move(aRequest);
    pending.options_ = aOptions;
    pending.callback_ = std::move(aCallback);
    pending.startTime_ = loop_.Now();
    pending.timeoutTimer_ = loop_.After(aOptions.timeout_, [this, id] { OnTimeout(id); });
    Dispatch(id, pending);
    return id;
  }

  Outcome Cancel(SendId aId)
  {
    const auto found = pendingRequests_.find(aId);
    if (found == pendingRequests_.end()) {
      return Outcome::Unknown;
    }
    const PendingRequest pending = std::move(found->second);
    pendingRequests_.erase(found);
    loop_.Cancel(pending.timeoutTimer_);
    const Outcome outcome = OutcomeIfAborted(pending);
    ReleaseConnection(aId, pending);
    return outcome;
  }

  void Withdraw(const Target& aTarget)
  {
    // Those without a connection first: they would get the connections that the others release.
    std::vector<SendId> withoutConnection;
    std::vector<SendId> unsent;
    for (const auto& [id, pending] : pendingRequests_) {
      if (pending.target_ == aTarget && OutcomeIfAborted(pending) == Outcome::NotRun) {
        (pending.connection_ == nullptr ? withoutConnection : unsent).push_back(id);
      }
    }
    unsent.insert(unsent.begin(), withoutConnection.begin(), withoutConnection.end());
    for (const SendId id : unsent) {
      // The callbacks may have cancelled the others.
      if (const auto node = pendingRequests_.extract(id)) {
        const PendingRequest& pending = node.mapped();
        loop_.Cancel(pending.timeoutTimer_);
        ReleaseConnection(id, pending);
        SendResult result;
        result.outcome_ = Outcome::NotRun;
        result.failure_ = AttemptFailure::Withdrawn;
        Finish(pending, std::move(result));
      }
    }
  }

  void CloseIdle(const Target& aTarget)
  {
    CloseIdleIf(pools_[aTarget], [](const ClientConnection&) { return true; });
    ErasePoolIfUnused(aTarget);
  }

  std::size_t ConnectionCount(const Target& aTarget) const
  {
    const auto found = pools_.find(aTarget);
    return found == pools_.end() ? 0 : found->second.connections_.size();
  }

  void OnRequestEnded(ClientConnection& aConnection, SendResult aResult, bool aReusable) override
  {
    auto node = pendingRequests_.extract(aConnection.CurrentSendId());
    Pool& pool = *node.mapped().pool_;
    if (aResult.failure_ == AttemptFailure::LocalLimit) {
      Remove(pool, aConnection);
      const bool descriptorReleased = CloseLeastRecentlyUsedIdle();
      if (descriptorReleased || connectionCount_ > 0) {
        SendAgain(std::move(node), descriptorReleased);
        DispatchWaitingForConnection(pool); // the place of this connection may be free
        return;
      }
    } else if (aReusable) {
      pool.idle_.push_back(&aConnection);
      ScheduleIdleSweep();
    } else {
      Remove(pool, aConnection);
    }
    DispatchWaiting(pool);
    loop_.Cancel(node.mapped().timeoutTimer_);
    Finish(node.mapped(), std::move(aResult));
  }

  void OnIdleClosed(ClientConnection& aConnection) override
  {
    Pool& pool = pools_[aConnection.GetTarget()];
    std::erase(pool.idle_, &aConnection);
    Remove(pool, aConnection);
    DispatchWaiting(pool);
  }

private:
  struct Pool
  {
    std::unordered_map<ClientConnection*, std::shared_ptr<ClientConnection>> connections_;
    std::vector<ClientConnection*> idle_; // least recently used first
    std::deque<SendId> waitingForConnection_;
    std::size_t waitingForDescriptorCount_ = 0; // requests in Impl::waitingForDescriptor_
  };

  struct PendingRequest
  {
    Pool* pool_ = nullptr;
    Target target_;
    std::shared_ptr<const Request> request_;
    SendOptions options_;
    Callback callback_;
    MonotonicTime startTime_;
    net::TimerId timeoutTimer_ = net::TimerId::None;
    ClientConnection* connection_ = nullptr; // null while the request waits for a connection
    ConnectionId connectionId_ = ConnectionId::None;
    bool waitsForDescriptor_ = false; // in waitingForDescriptor_
  };
  using PendingNode = std::unordered_map<SendId, PendingRequest>::node_type;

  enum class DispatchResult : std::uint8_t
  {
    Dispatched,
    TargetLimit,     // the connection limit of the target is reached
    DescriptorLimit, // that of all targets is reached, and no connection is idle
  };

  static Outcome OutcomeIfAborted(const PendingRequest& aPending)
  {
    return aPending.connection_ == nullptr ? Outcome::NotRun
                                           : aPending.connection_->OutcomeIfAborted();
  }

  // Assigns a connection to the request, or queues the request.
  void Dispatch(SendId aId, PendingRequest& aPending)
  {
    QueueUnlessDispatched(TryDispatch(aId, aPending), aId, aPending);
  }

  void QueueUnlessDispatched(DispatchResult aResult, SendId aId, PendingRequest& aPending)
  {
    if (aResult == DispatchResult::TargetLimit) {
      aPending.pool_->waitingForConnection_.push_back(aId);
    } else if (aResult == DispatchResult::DescriptorLimit) {
      QueueForDescriptor(aId, aPending);
    }
  }

  void QueueForDescriptor(SendId aId, PendingRequest& aPending)
  {
    aPending.waitsForDescriptor_ = true;
    ++aPending.pool_->waitingForDescriptorCount_;
    waitingForDescriptor_.push_back(aId);
  }

  // Dispatches a request again whose new connection got no descriptor. If none was released since
  // then, the request waits.
  void SendAgain(PendingNode aNode, bool aDescriptorReleased)
  {
    const SendId id = aNode.key();
    PendingRequest& pending = pendingRequests_.insert(std::move(aNode)).position->second;
    pending.connection_ = nullptr;
    pending.connectionId_ = ConnectionId::None;
    if (aDescriptorReleased) {
      Dispatch(id, pending);
    } else {
      QueueForDescriptor(id, pending);
    }
  }

  DispatchResult TryDispatch(SendId aId, PendingRequest& aPending)
  {
    Pool& pool = *aPending.pool_;
    ClientConnection* connection = TakeIdle(pool, aPending.options_);
    if (connection == nullptr) {
      if (pool.connections_.size() >= aPending.options_.maxConnections_ &&
          !CloseLeastRecentlyUsedIdle(pool)) {
        return DispatchResult::TargetLimit;
      }
      if (connectionCount_ >= maxConnections_ && !CloseLeastRecentlyUsedIdle()) {
        return DispatchResult::DescriptorLimit;
      }
      auto newConnection = std::make_shared<ClientConnection>(
        loop_, ConnectionId{ ++lastConnectionId_ }, aPending.target_, *this, budget_);
      connection = newConnection.get();
      pool.connections_.emplace(connection, std::move(newConnection));
      ++connectionCount_;
    }
    aPending.connection_ = connection;
    aPending.connectionId_ = connection->Id();
    connection->Send(aId, aPending.request_, aPending.options_);
    return DispatchResult::Dispatched;
  }

  // A request that fails with an exception is not queued again; it ends by its timeout.
  DispatchResult TryDispatchContained(SendId aId)
  {
    DispatchResult result = DispatchResult::Dispatched;
    RunContained(ErrorScope::Request, [&] { result = TryDispatch(aId, pendingRequests_.at(aId)); });
    return result;
  }

  ClientConnection* TakeIdle(Pool& aPool, const SendOptions& aOptions)
  {
    const auto& excluded = aOptions.excludedConnections_;
    for (std::size_t i = aPool.idle_.size(); i-- > 0;) {
      ClientConnection* const connection = aPool.idle_[i];
      if (aOptions.recentlyActiveOnly_ &&
          loop_.Now() - connection->LastActivity() > kRecentActivityWindow) {
        return nullptr;
      }
      if (std::find(excluded.begin(), excluded.end(), connection->Id()) != excluded.end()) {
        continue;
      }
      aPool.idle_.erase(aPool.idle_.begin() + static_cast<std::ptrdiff_t>(i));
      if (connection->CanBeReused()) {
        return connection;
      }
      Remove(aPool, *connection);
    }
    return nullptr;
  }

  bool CloseLeastRecentlyUsedIdle(Pool& aPool)
  {
    if (aPool.idle_.empty()) {
      return false;
    }
    ClientConnection* const connection = aPool.idle_.front();
    aPool.idle_.erase(aPool.idle_.begin());
    Remove(aPool, *connection);
    return true;
  }

  // Closes the idle connection that was not used for the longest time, to whichever target.
  bool CloseLeastRecentlyUsedIdle()
  {
    Pool* leastRecentlyUsed = nullptr;
    for (auto& [target, pool] : pools_) {
      if (!pool.idle_.empty() &&
          (leastRecentlyUsed == nullptr ||
           pool.idle_.front()->LastActivity() < leastRecentlyUsed->idle_.front()->LastActivity())) {
        leastRecentlyUsed = &pool;
      }
    }
    return leastRecentlyUsed != nullptr && CloseLeastRecentlyUsedIdle(*leastRecentlyUsed);
  }

  template<typename Predicate>
  void CloseIdleIf(Pool& aPool, Predicate aPredicate)
  {
    for (std::size_t i = aPool.idle_.size(); i-- > 0;) {
      if (ClientConnection* const connection = aPool.idle_[i]; aPredicate(*connection)) {
        aPool.idle_.erase(aPool.idle_.begin() + static_cast<std::ptrdiff_t>(i));
        Remove(aPool, *connection);
      }
    }
  }

  // Destruction is deferred, because this may run inside a callback of the connection.
  void Remove(Pool& aPool, ClientConnection& aConnection)
  {
    aConnection.Close();
    const auto node = aPool.connections_.extract(&aConnection);
    loop_.DeferDestruction(node.mapped());
    --connectionCount_;
  }

  // Dispatches the requests that wait because their target had reached its connection limit.
  void DispatchWaitingForConnection(Pool& aPool)
  {
    while (!aPool.waitingForConnection_.empty()) {
      const SendId id = aPool.waitingForConnection_.front();
      const auto result = TryDispatchContained(id);
      if (result == DispatchResult::TargetLimit) {
        break;
      }
      aPool.waitingForConnection_.pop_front();
      QueueUnlessDispatched(result, id, pendingRequests_.at(id));
    }
  }

  // Dispatches waiting requests after a connection of the pool was closed or became idle.
  void DispatchWaiting(Pool& aPool)
  {
    DispatchWaitingForConnection(aPool);
    while (!waitingForDescriptor_.empty()) {
      const SendId id = waitingForDescriptor_.front();
      const auto result = TryDispatchContained(id);
      if (result == DispatchResult::DescriptorLimit) {
        break;
      }
      waitingForDescriptor_.pop_front();
      PendingRequest& pending = pendingRequests_.at(id);
      pending.waitsForDescriptor_ = false;
      --pending.pool_->waitingForDescriptorCount_;
      QueueUnlessDispatched(result, id, pending);
    }
  }

  // Closes the connection of a request that was removed from pendingRequests_, or takes the request
  // out of the queue.
  void ReleaseConnection(SendId aId, const PendingRequest& aPending)
  {
    if (aPending.waitsForDescriptor_) {
      std::erase(waitingForDescriptor_, aId);
      --aPending.pool_->waitingForDescriptorCount_;
    } else if (aPending.connection_ == nullptr) {
      std::erase(aPending.pool_->waitingForConnection_, aId);
    } else {
      Remove(*aPending.pool_, *aPending.connection_);
    }
    // Also without a connection: other requests may wait for the one that this request waited for.
    DispatchWaiting(*aPending.pool_);
  }

  // Returns until when a response that is arriving may go on beyond the timeout of its request.
  static MonotonicTime ExtendedDeadline(const PendingRequest& aPending)
  {
    const Duration stallTimeout = aPending.options_.stallTimeout_;
    if (aPending.connection_ == nullptr || stallTimeout <= Duration(0) ||
        !aPending.connection_->ResponseStarted()) {
      return {};
    }
    return std::min(aPending.connection_->LastInput() + stallTimeout,
                    aPending.startTime_ + aPending.options_.maxTimeout_);
  }

  void OnTimeout(SendId aId)
  {
    PendingRequest& extended = pendingRequests_.at(aId);
    if (const Duration left = ExtendedDeadline(extended) - loop_.Now(); left > Duration(0)) {
      extended.timeoutTimer_ = loop_.After(left, [this, aId] { OnTimeout(aId); });
      return;
    }
    const auto node = pendingRequests_.extract(aId);
    const PendingRequest& pending = node.mapped();
    SendResult result;
    result.outcome_ = OutcomeIfAborted(pending);
    result.failure_ =
      pending.waitsForDescriptor_ ? AttemptFailure::LocalLimit : AttemptFailure::Timeout;
    if (const ClientConnection* const connection = pending.connection_) {
      result.newConnection_ = connection->HasNoResponseYet();
      result.foreignResponseSkipped_ = connection->ForeignResponseSkipped();
      if (!connection->Connected()) {
        result.failure_ = AttemptFailure::ConnectFailed;
      } else {
        CloseIdleInactiveSince(*pending.pool_, connection->RequestWriteTime());
      }
    }
    ReleaseConnection(aId, pending);
    Finish(pending, std::move(result));
  }

  // After a timeout, an idle connection may be dead too if it has had no activity since the
  // unanswered request was written.
  void CloseIdleInactiveSince(Pool& aPool, MonotonicTime aTime)
  {
    CloseIdleIf(aPool, [&](const ClientConnection& aConnection) {
      return aConnection.LastActivity() <= aTime;
    });
  }

  void Finish(const PendingRequest& aPending, SendResult aResult)
  {
    aResult.latency_ = loop_.Now() - aPending.startTime_;
    aResult.connection_ = aPending.connectionId_;
    RunContained(ErrorScope::Answer, [&] { aPending.callback_(std::move(aResult)); });
  }

  void ErasePoolIfUnused(const Target& aTarget)
  {
    if (const auto found = pools_.find(aTarget); found != pools_.end() &&
                                                 found->second.connections_.empty() &&
                                                 found->second.waitingForConnection_.empty() &&
                                                 found->second.waitingForDescriptorCount_ == 0) {
      pools_.erase(found);
    }
  }

  void ScheduleIdleSweep()
  {
    if (idleSweepTimer_ == net::TimerId::None) {
      idleSweepTimer_ = loop_.After(kIdleSweepInterval, [this] { SweepIdle(); });
    }
  }

  void SweepIdle()
  {
    idleSweepTimer_ = net::TimerId::None;
    const MonotonicTime expiryTime = loop_.Now() - kIdleTimeout;
    for (auto next = pools_.begin(); next != pools_.end();) {
      const auto current = next++;
      CloseIdleIf(current->second, [&](const ClientConnection& aConnection) {
        return aConnection.LastActivity() < expiryTime;
      });
      ErasePoolIfUnused(Target(current->first));
    }
    if (!pools_.empty()) {
      ScheduleIdleSweep();
    }
  }

  net::EventLoop& loop_;
  const std::shared_ptr<BodyBudget> budget_;
  std::map<Target, Pool> pools_;
  std::unordered_map<SendId, PendingRequest> pendingRequests_;
  std::size_t maxConnections_ = std::numeric_limits<std::size_t>::max(); ///< to all targets
  std::size_t connectionCount_ = 0;                                      ///< to all targets
  std::deque<SendId> waitingForDescriptor_; ///< until a connection to any target ends or is idle
  std::uint64_t lastSendId_ = 0;
  std::uint64_t lastConnectionId_ = 0;
  net::TimerId idleSweepTimer_ = net::TimerId::None;
};

Client::Client(net::EventLoop& aLoop, std::shared_ptr<BodyBudget> aBudget)
  : impl_(std::make_unique<Impl>(aLoop, std::move(aBudget)))
{
}

Client::~Client() = default;

void
Client::SetMaxConnections(std::size_t aCount)
{
  impl_->SetMaxConnections(aCount);
}

SendId
Client::Send(const Target& aTarget,
             std::shared_ptr<const Request> aRequest,
             const SendOptions& aOptions,
             Callback aCallback)
{
  return impl_->Send(aTarget, std::move(aRequest), aOptions, std::move(aCallback));
}

Outcome
Client::Cancel(SendId aId)
{
  return impl_->Cancel(aId);
}

void
Client::Withdraw(const Target& aTarget)
{
  impl_->Withdraw(aTarget);
}

void
Client::CloseIdle(const Target& aTarget)
{
  impl_->CloseIdle(aTarget);
}

std::size_t
Client::ConnectionCount(const Target& aTarget) const
{
  return impl_->ConnectionCount(aTarget);
}

} // namespace boragepier::http
