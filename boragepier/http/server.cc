#include "boragepier/http/server.h"

#include <unordered_map>
#include <utility>
#include <vector>

#include "boragepier/http/server_connection.h"
#include "boragepier/net/tcp_listener.h"

namespace boragepier::http {

namespace {

// Connections above the limit that are being refused at the same time. More are closed unanswered.
constexpr std::size_t kMaxRefused = 64;

} // namespace

class Server::Impl : public ServerContext
{
public:
  Impl(net::EventLoop& aLoop, ServerLimits aLimits, Handler aHandler, RefusalWriter aRefusalWriter)
    : loop_(aLoop)
    , limits_(aLimits)
    , handler_(std::move(aHandler))
    , refusalWriter_(std::move(aRefusalWriter))
  {
  }

  ~Impl() override
  {
    for (const auto& connection : Connections()) {
      connection->Close();
    }
  }

  std::uint16_t Listen(const std::string& aAddress, std::uint16_t aPort)
  {
    listener_ = std::make_unique<net::TcpListener>(
      loop_, aAddress, aPort, [this](std::shared_ptr<net::TcpStream> aStream) {
        OnAccepted(std::move(aStream));
      });
    return listener_->Port();
  }

  void SetLimits(const ServerLimits& aLimits) { limits_ = aLimits; }
  void BeginDrain() { draining_ = true; }

  void CloseIdle()
  {
    for (const auto& connection : Connections()) {
      connection->CloseIfIdle();
    }
  }

  void StopAccepting() { listener_.reset(); }
  std::size_t RequestsInProgress() const { return requestsInProgress_; }
  std::size_t ConnectionCount() const { return connections_.size(); }

  net::EventLoop& Loop() override { return loop_; }
  const ServerLimits& Limits() const override { return limits_; }
  bool Draining() const override { return draining_; }
  void Handle(std::shared_ptr<Exchange> aExchange) override { handler_(std::move(aExchange)); }
  Response Refuse(RefusalReason aReason) override { return refusalWriter_(aReason); }
  void OnRequestCount(int aChange) override { requestsInProgress_ += aChange; }
  void OnClosed(ServerConnection& aConnection) override
  {
    // The connection may be the caller of this function.
    if (const auto node = connections_.extract(&aConnection); !node.empty()) {
      loop_.Retire(node.mapped());
    }
  }

private:
  void OnAccepted(std::shared_ptr<net::TcpStream> aStream)
  {
    if (connections_.size() >= limits_.maxConnections_ + kMaxRefused) {
      aStream->Close();
      return;
    }
    const bool refused = connections_.size() >= limits_.maxConnections_;
    const auto connection = std::make_shared<ServerConnection>(*this, std::move(aStream));
    connections_.emplace(connection.get(), connection);
    if (refused) {
      connection->StartRefused(RefusalReason::Overloaded);
    } else {
      connection->Start();
    }
  }

  std::vector<std::shared_ptr<ServerConnection>> Connections() const
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
  const RefusalWriter refusalWriter_;
  std::unique_ptr<net::TcpListener> listener_;
  std::unordered_map<ServerConnection*, std::shared_ptr<ServerConnection>> connections_;
  std::size_t requestsInProgress_ = 0;
  bool draining_ = false;
};

Server::Server(net::EventLoop& aLoop,
               ServerLimits aLimits,
               Handler aHandler,
               RefusalWriter aRefusalWriter)
  : impl_(std::make_shared<Impl>(aLoop, aLimits, std::move(aHandler), std::move(aRefusalWriter)))
{
}

Server::~Server() = default;

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
Server::CloseIdle()
{
  impl_->CloseIdle();
}

void
Server::StopAccepting()
{
  impl_->StopAccepting();
}

std::size_t
Server::RequestsInProgress() const
{
  return impl_->RequestsInProgress();
}

std::size_t
Server::ConnectionCount() const
{
  return impl_->ConnectionCount();
}

} // namespace boragepier::http
