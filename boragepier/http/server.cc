#include "boragepier/http/server.h"

#include <unordered_map>
#include <utility>
#include <vector>

#include "boragepier/base/internal_error.h"
#include "boragepier/http/server_connection.h"
#include "boragepier/net/tcp_listener.h"

namespace boragepier::http {

class Server::Impl : public ServerContext
{
public:
  Impl(net::EventLoop& aLoop,
       ServerLimits aLimits,
       Handler aHandler,
       RefusalFormatter aRefusalFormatter,
       std::shared_ptr<BodyBudget> aBudget)
    : loop_(aLoop)
    , limits_(aLimits)
    , handler_(std::move(aHandler))
    , refusalFormatter_(std::move(aRefusalFormatter))
    , budget_(std::move(aBudget))
  {
  }

  ~Impl() override
  {
    for (const auto& connection : CopyConnections()) {
      connection->Close(UnansweredCause::ProcessExit);
    }
  }

  void SetUnansweredCallback(std::function<void(UnansweredCause)> aCallback)
  {
    unansweredCallback_ = std::move(aCallback);
  }

  void SetRefusedCallback(std::function<void(const ServerRefusal&)> aCallback)
  {
    refusedCallback_ = std::move(aCallback);
  }

  std::uint16_t Listen(const std::string& aAddress, std::uint16_t aPort)
  {
    listener_ = std::make_unique<net::TcpListener>(
      loop_, aAddress, aPort, [this](std::shared_ptr<net::TcpStream> aStream) {
        OnAccepted(std::move(aStream));
      });
    return listener_->Port();
  }

  void SetLimits(const ServerLimits& aLimits)
  {
    const bool idleTimeoutChanged = limits_.idleTimeout_ != aLimits.idleTimeout_;
    limits_ = aLimits;
    nextReplacement_ = {};
    if (idleTimeoutChanged) {
      for (const auto& [connection, owner] : connections_) {
        connection->ApplyIdleTimeout();
      }
    }
  }
  void BeginDrain() { draining_ = true; }

  void StopAccepting()
  {
    if (listener_) {
      listener_->Stop();
    }
    acceptingStopped_ = true;
    for (const auto& connection : CopyConnections()) {
      connection->CloseIfIdle();
    }
  }

  std::size_t ConnectionCount() const { return connections_.size(); }
  std::uint64_t RefusedConnectionCount() const { return refusedConnectionCount_; }

  net::EventLoop& Loop() override { return loop_; }
  const ServerLimits& Limits() const override { return limits_; }
  const std::shared_ptr<BodyBudget>& Budget() const override { return budget_; }
  bool Draining() const override { return draining_; }
  bool AcceptingStopped() const override { return acceptingStopped_; }
  void Handle(std::shared_ptr<Exchange> aExchange) override
  {
    // Whether the request was passed on before an exception is unknown here, so no response can
    // tell its outcome.
    if (!RunContained(ErrorScope::Request, [&] { handler_(aExchange); })) {
      aExchange->Abort();
    }
  }
  Response MakeRefusal(RefusalReason aReason) override { return refusalFormatter_(aReason); }
  void OnRefused(const ServerRefusal& aRefusal) override
  {
    if (refusedCallback_) {
      refusedCallback_(aRefusal);
    }
  }
  void OnUnanswered(UnansweredCause aCause) override
  {
    if (unansweredCallback_) {
      unansweredCallback_(aCause);
    }
  }
  void OnClosed(ServerConnection& aConnection) override
  {
    // Destruction is deferred, because this may run inside a callback of the connection.
    std::erase(beingRefused_, &aConnection);
    if (const auto node = connections_.extract(&aConnection); !node.empty()) {
      loop_.DeferDestruction(node.mapped());
    }
  }

private:
  void OnAccepted(std::shared_ptr<net::TcpStream> aStream)
  {
    if (connections_.size() - beingRefused_.size() >= limits_.maxConnections_ &&
        !CloseLongestIdle()) {
      Refuse(std::move(aStream));
    } else {
      ServerConnection& connection = AddConnection(std::move(aStream));
      connection.Start();
      if (acceptingStopped_) {
        connection.CloseIfIdle(); // it was accepted later than the others were closed
      }
    }
  }

  ServerConnection& AddConnection(std::shared_ptr<net::TcpStream> aStream)
  {
    const auto connection = std::make_shared<ServerConnection>(*this, std::move(aStream));
    connections_.emplace(connection.get(), connection);
    return *connection;
  }

  void Refuse(std::shared_ptr<net::TcpStream> aStream)
  {
    ++refusedConnectionCount_;
    if (!beingRefused_.empty() && beingRefused_.size() >= limits_.maxRefusedConnections_) {
      beingRefused_.front()->Close(UnansweredCause::Aborted);
    }
    ServerConnection& connection = AddConnection(std::move(aStream));
    beingRefused_.push_back(&connection);
    connection.StartRefused(RefusalReason::Overloaded);
  }

  // Closes the connection that is idle for longest, if it is idle for long enough.
  bool CloseLongestIdle()
  {
    const MonotonicTime now = loop_.Now();
    if (limits_.replaceableIdleTime_ == Duration::max() || now < nextReplacement_) {
      return false;
    }
    // A connection that becomes idle later is not replaceable before this time.
    nextReplacement_ = now + limits_.replaceableIdleTime_;
    std::vector<std::pair<MonotonicTime, ServerConnection*>> replaceable;
    for (const auto& [connection, owner] : connections_) {
      if (const auto since = connection->IdleSince()) {
        const MonotonicTime time = *since + limits_.replaceableIdleTime_;
        nextReplacement_ = std::min(nextReplacement_, time);
        if (time <= now) {
          replaceable.emplace_back(*since, connection);
        }
      }
    }
    std::sort(replaceable.begin(), replaceable.end());
    return std::any_of(replaceable.begin(), replaceable.end(), [](const auto& aEntry) {
      return aEntry.second->CloseIfIdle();
    });
  }

  std::vector<std::shared_ptr<ServerConnection>> CopyConnections() const
  {
    std::vector<std::shared_ptr<ServerConnection>> connections;
    for (const auto& [key, connection] : connections_) {
      connections.push_back(connection);
    }
    return connections;
  }

  net::EventLoop& loop_;
  ServerLimits limits_;
  const Handler handler_;
  const RefusalFormatter refusalFormatter_;
  const std::shared_ptr<BodyBudget> budget_;
  std::function<void(UnansweredCause)> unansweredCallback_;
  std::function<void(const ServerRefusal&)> refusedCallback_;
  std::unique_ptr<net::TcpListener> listener_;
  std::unordered_map<ServerConnection*, std::shared_ptr<ServerConnection>> connections_;
  std::vector<ServerConnection*> beingRefused_; ///< in the order of their refusal
  std::uint64_t refusedConnectionCount_ = 0;
  MonotonicTime nextReplacement_{}; ///< no connection is replaceable before
  bool draining_ = false;
  bool acceptingStopped_ = false;
};

Server::Server(net::EventLoop& aLoop,
               ServerLimits aLimits,
               Handler aHandler,
               RefusalFormatter aRefusalFormatter,
               std::shared_ptr<BodyBudget> aBudget)
  : impl_(std::make_shared<Impl>(aLoop,
                                 aLimits,
                                 std::move(aHandler),
                                 std::move(aRefusalFormatter),
                                 std::move(aBudget)))
{
}

Server::~Server() = default;

void
Server::SetUnansweredCallback(std::function<void(UnansweredCause)> aCallback)
{
  impl_->SetUnansweredCallback(std::move(aCallback));
}

void
Server::SetRefusedCallback(std::function<void(const ServerRefusal&)> aCallback)
{
  impl_->SetRefusedCallback(std::move(aCallback));
}

std::uint16_t
Server::Listen(const std::string& aAddress, std::uint16_t aPort)
{
  return impl_->Listen(aAddress, aPort);
}

void
Server::SetLimits(const ServerLimits& aLimits)
{
  impl_->SetLimits(aLimits);
}

void
Server::BeginDrain()
{
  impl_->BeginDrain();
}

void
Server::StopAccepting()
{
  impl_->StopAccepting();
}

std::uint64_t
Server::RefusedConnectionCount() const
{
  return impl_->RefusedConnectionCount();
}

std::size_t
Server::ConnectionCount() const
{
  return impl_->ConnectionCount();
}

} // namespace boragepier::http
