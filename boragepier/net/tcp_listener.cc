#include "boragepier/net/tcp_listener.h"

#include <exception>
#include <utility>

#include <arpa/inet.h>
#include <cxxtools/connectable.h>
#include <cxxtools/net/tcpserver.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "boragepier/net/errors.h"
#include "boragepier/net/socket_stream.h"

namespace boragepier::net {

namespace {

constexpr int kBacklog = 1024;

// Time without accepting after the system refused a connection. Without it the loop would spin on
// the pending connection while descriptors are exhausted.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);

// Holds a port that the system chose until the real listener is bound. cxxtools::net::TcpServer
// does not tell which port it got. Linux lets two sockets with SO_REUSEADDR share an address until
// one listens, and gives the port to no other process meanwhile.
class ReservedPort
{
public:
  explicit ReservedPort(const std::string& aAddress)
  {
    if (in_addr probe{}; ::inet_pton(AF_INET, aAddress.c_str(), &probe) == 1) {
      auto& address = reinterpret_cast<sockaddr_in&>(storage_);
      address.sin_family = AF_INET;
      address.sin_addr = probe;
      Bind(sizeof(sockaddr_in));
    } else {
      auto& address = reinterpret_cast<sockaddr_in6&>(storage_);
      address.sin6_family = AF_INET6;
      if (::inet_pton(AF_INET6, aAddress.c_str(), &address.sin6_addr) == 1) {
        Bind(sizeof(sockaddr_in6));
      }
    }
  }

  ~ReservedPort()
  {
    if (socket_ >= 0) {
      ::close(socket_);
    }
  }

  ReservedPort(const ReservedPort&) = delete;
  ReservedPort& operator=(const ReservedPort&) = delete;

  // Returns 0 if the address cannot be bound.
  std::uint16_t Port() const { return port_; }

private:
  void Bind(socklen_t aSize)
  {
    auto* const address = reinterpret_cast<sockaddr*>(&storage_);
    socket_ = ::socket(address->sa_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (::bind(socket_, address, aSize) == 0 && ::getsockname(socket_, address, &aSize) == 0) {
      // sin_port and sin6_port are at the same place.
      port_ = ntohs(reinterpret_cast<sockaddr_in&>(storage_).sin_port);
    }
  }

  sockaddr_storage storage_{};
  int socket_ = -1;
  std::uint16_t port_ = 0;
};

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
