#include "boragepier/http/client.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "boragepier/http/client_connection.h"

namespace boragepier::http {

namespace {

// Idle connections are closed after this time, before upstreams usually do (60 s), so that a
// request rarely meets a connection that its peer is just closing.
constexpr Duration kIdleTimeout = std::chrono::seconds(30);
constexpr Duration kSweepInterval = std::chrono::seconds(5);

} // namespace

class Client::Impl : public ClientConnectionEvents
{
public:
  explicit Impl(net::EventLoop& aLoop)
    : loop_(aLoop)
  {
  }

  ~Impl() override
  {
    loop_.Cancel(sweepTimer_);
    for (const auto& [id, send] : sends_) {
      loop_.Cancel(send.timer_);
    }
  }

  SendId Send(const Target& aTarget,
              std::shared_ptr<const Request> aRequest,
              const SendOptions& aOptions,
              Callback aDone)
  {
    const SendId id{ ++lastSend_ };
    Pending& send = sends_[id];
    send.pool_ = &pools_[aTarget];
    send.target_ = aTarget;
    send.request_ = std::move(aRequest);
    send.options_ = aOptions;
    send.done_ = std::move(aDone);
    send.start_ = loop_.Now();
    send.timer_ = loop_.After(aOptions.timeout_, [this, id] { OnTimeout(id); });
    Dispatch(id, send);
    return id;
  }

  Outcome Cancel(SendId aId)
  {
    const auto found = sends_.find(aId);
    if (found == sends_.end()) {
      return Outcome::Unknown;
    }
    const Pending send = std::move(found->second);
    sends_.erase(found);
    loop_.Cancel(send.timer_);
    const Outcome outcome = OutcomeIfGivenUp(send);
    GiveUp(aId, send);
    return outcome;
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
    const auto node = sends_.extract(aConnection.CurrentSend());
    Pool& pool = *node.mapped().pool_;
    if (aReusable) {
      pool.idle_.push_back(&aConnection);
      StartSweeping();
    } else {
      Remove(pool, aConnection);
    }
    ServeWaiting(pool);
    loop_.Cancel(node.mapped().timer_);
    Finish(node.mapped(), std::move(aResult));
  }

  void OnIdleClosed(ClientConnection& aConnection) override
  {
    Pool& pool = pools_[aConnection.GetTarget()];
    std::erase(pool.idle_, &aConnection);
    Remove(pool, aConnection);
    ServeWaiting(pool);
  }

private:
  struct Pool
  {
    std::unordered_map<ClientConnection*, std::shared_ptr<ClientConnection>> connections_;
    std::vector<ClientConnection*> idle_; // the last used one at the back
    std::deque<SendId> waiting_;
  };

  struct Pending
  {
    Pool* pool_ = nullptr;
    Target target_;
    std::shared_ptr<const Request> request_;
    SendOptions options_;
    Callback done_;
    MonotonicTime start_;
    net::TimerId timer_ = net::TimerId::None;
    ClientConnection* connection_ = nullptr; // null while waiting for one
  };

  static Outcome OutcomeIfGivenUp(const Pending& aSend)
  {
    return aSend.connection_ == nullptr ? Outcome::NotRun : aSend.connection_->OutcomeIfGivenUp();
  }

  // Gives the request a connection, or makes it wait.
  void Dispatch(SendId aId, Pending& aSend)
  {
    if (!TryDispatch(aId, aSend)) {
      aSend.pool_->waiting_.push_back(aId);
    }
  }

  bool TryDispatch(SendId aId, Pending& aSend)
  {
    Pool& pool = *aSend.pool_;
    ClientConnection* connection = TakeIdle(pool, aSend.options_.provenAliveOnly_);
    if (connection == nullptr) {
      if (pool.connections_.size() >= aSend.options_.maxConnections_ && !CloseOldestIdle(pool)) {
        return false;
      }
      auto opened = std::make_shared<ClientConnection>(loop_, aSend.target_, *this);
      connection = opened.get();
      pool.connections_.emplace(connection, std::move(opened));
    }
    aSend.connection_ = connection;
    connection->Send(aId, aSend.request_, aSend.options_.maxResponseBody_);
    return true;
  }

  ClientConnection* TakeIdle(Pool& aPool, bool aProvenAliveOnly)
  {
    while (!aPool.idle_.empty()) {
      ClientConnection* const connection = aPool.idle_.back();
      if (aProvenAliveOnly && loop_.Now() - connection->LastProofOfLife() > kProvenAliveWindow) {
        return nullptr;
      }
      aPool.idle_.pop_back();
      if (connection->Usable()) {
        return connection;
      }
      Remove(aPool, *connection);
    }
    return nullptr;
  }

  bool CloseOldestIdle(Pool& aPool)
  {
    if (aPool.idle_.empty()) {
      return false;
    }
    ClientConnection* const connection = aPool.idle_.front();
    aPool.idle_.erase(aPool.idle_.begin());
    Remove(aPool, *connection);
    return true;
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

  // The connection may be the caller, so it is destroyed later.
  void Remove(Pool& aPool, ClientConnection& aConnection)
  {
    aConnection.Close();
    const auto node = aPool.connections_.extract(&aConnection);
    loop_.Retire(node.mapped());
  }

  void ServeWaiting(Pool& aPool)
  {
    while (!aPool.waiting_.empty()) {
      const SendId id = aPool.waiting_.front();
      if (!TryDispatch(id, sends_.at(id))) {
        return;
      }
      aPool.waiting_.pop_front();
    }
  }

  // Closes the connection of a request that is no longer in sends_.
  void GiveUp(SendId aId, const Pending& aSend)
  {
    if (aSend.connection_ == nullptr) {
      std::erase(aSend.pool_->waiting_, aId);
    } else {
      Remove(*aSend.pool_, *aSend.connection_);
      ServeWaiting(*aSend.pool_);
    }
  }

  void OnTimeout(SendId aId)
  {
    const auto node = sends_.extract(aId);
    const Pending& send = node.mapped();
    SendResult result;
    result.outcome_ = OutcomeIfGivenUp(send);
    result.failure_ = AttemptFailure::Timeout;
    if (const ClientConnection* const connection = send.connection_) {
      result.newConnection_ = connection->IsNew();
      if (!connection->Connected()) {
        result.failure_ = AttemptFailure::ConnectFailed;
      } else {
        CloseSuspects(*send.pool_, connection->RequestWritten());
      }
    }
    GiveUp(aId, send);
    Finish(send, std::move(result));
  }

  // A connection that went silent raises doubt about each idle one that has shown no sign of life
  // since the unanswered request was written.
  void CloseSuspects(Pool& aPool, MonotonicTime aSilentSince)
  {
    CloseIdleIf(aPool, [&](const ClientConnection& aConnection) {
      return aConnection.LastProofOfLife() <= aSilentSince;
    });
  }

  void Finish(const Pending& aSend, SendResult aResult)
  {
    aResult.latency_ = loop_.Now() - aSend.start_;
    aSend.done_(std::move(aResult));
  }

  void ErasePoolIfUnused(const Target& aTarget)
  {
    if (const auto found = pools_.find(aTarget); found != pools_.end() &&
                                                 found->second.connections_.empty() &&
                                                 found->second.waiting_.empty()) {
      pools_.erase(found);
    }
  }

  void StartSweeping()
  {
    if (sweepTimer_ == net::TimerId::None) {
      sweepTimer_ = loop_.After(kSweepInterval, [this] { Sweep(); });
    }
  }

  void Sweep()
  {
    sweepTimer_ = net::TimerId::None;
    const MonotonicTime oldest = loop_.Now() - kIdleTimeout;
    for (auto next = pools_.begin(); next != pools_.end();) {
      const auto current = next++;
      CloseIdleIf(current->second, [&](const ClientConnection& aConnection) {
        return aConnection.LastProofOfLife() < oldest;
      });
      ErasePoolIfUnused(Target(current->first));
    }
    if (!pools_.empty()) {
      StartSweeping();
    }
  }

  net::EventLoop& loop_;
  std::map<Target, Pool> pools_;
  std::unordered_map<SendId, Pending> sends_;
  std::uint64_t lastSend_ = 0;
  net::TimerId sweepTimer_ = net::TimerId::None;
};

Client::Client(net::EventLoop& aLoop)
  : impl_(std::make_unique<Impl>(aLoop))
{
}

Client::~Client() = default;

SendId
Client::Send(const Target& aTarget,
             std::shared_ptr<const Request> aRequest,
             const SendOptions& aOptions,
             Callback aDone)
{
  return impl_->Send(aTarget, std::move(aRequest), aOptions, std::move(aDone));
}

Outcome
Client::Cancel(SendId aId)
{
  return impl_->Cancel(aId);
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
