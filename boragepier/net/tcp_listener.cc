#include "boragepier/net/tcp_listener.h"

#include <exception>
#include <utility>

#include <cxxtools/connectable.h>
#include <cxxtools/net/tcpserver.h>

#include "boragepier/net/errors.h"
#include "boragepier/net/reserved_port.h"
#include "boragepier/net/socket_stream.h"

namespace boragepier::net {

namespace {

constexpr int kBacklog = 1024;

// Time without accepting after the system refused a connection. Without it the loop would spin on
// the pending connection while descriptors are exhausted.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);

} // namespace

class TcpListener::Impl
  : public std::enable_shared_from_this<Impl>
  , public cxxtools::Connectable
{
public:
  Impl(EventLoop& aLoop, Acceptor aAcceptor)
    : loop_(aLoop)
    , acceptor_(std::move(aAcceptor))
  {
  }

  void Listen(const std::string& aAddress, std::uint16_t aPort)
  {
    port_ = aPort;
    std::unique_ptr<ReservedPort> reserved;
    if (aPort == 0) {
      reserved = std::make_unique<ReservedPort>(aAddress);
      port_ = reserved->Port();
      if (port_ == 0) {
        throw ListenError("cannot listen on " + aAddress + ": the address is not usable");
      }
    }
    try {
      server_.listen(aAddress, port_, kBacklog, cxxtools::net::TcpServer::REUSEADDR);
    } catch (const std::exception& error) {
      throw ListenError("cannot listen on " + aAddress + ":" + std::to_string(port_) + ": " +
                        error.what());
    }
    cxxtools::connect(server_.connectionPending, *this, &Impl::OnPending);
    loop_.Selector().add(server_);
  }

  void Close()
  {
    closed_ = true;
    loop_.Cancel(pause_);
    server_.setSelector(nullptr);
    loop_.Retire(shared_from_this());
  }

  std::uint16_t Port() const { return port_; }

private:
  void OnPending(cxxtools::net::TcpServer& /*aServer*/)
  {
    if (closed_) {
      return;
    }
    std::shared_ptr<TcpStream> stream;
    try {
      stream = SocketStream::Accept(loop_, server_);
    } catch (const std::exception&) {
      server_.setSelector(nullptr);
      pause_ = loop_.After(kAcceptPause, [this] { loop_.Selector().add(server_); });
      return;
    }
    acceptor_(std::move(stream));
  }

  EventLoop& loop_;
  Acceptor acceptor_;
  cxxtools::net::TcpServer server_;
  TimerId pause_ = TimerId::None;
  std::uint16_t port_ = 0;
  bool closed_ = false;
};

TcpListener::TcpListener(EventLoop& aLoop,
                         const std::string& aAddress,
                         std::uint16_t aPort,
                         Acceptor aAcceptor)
  : impl_(std::make_shared<Impl>(aLoop, std::move(aAcceptor)))
{
  impl_->Listen(aAddress, aPort);
}

TcpListener::~TcpListener()
{
  impl_->Close();
}

std::uint16_t
TcpListener::Port() const
{
  return impl_->Port();
}

} // namespace boragepier::net
