#include "boragepier/net/tcp_listener.h"

#include <utility>

#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "boragepier/net/descriptor_shortage.h"
#include "boragepier/net/errors.h"
#include "boragepier/net/socket_stream.h"

namespace boragepier::net {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int kListenBacklog = 1024;

// Delay before accepting again after an error. Without it the loop would spin on a pending
// connection that can be neither accepted nor closed.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

class TcpListener::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(EventLoop& aLoop, AcceptCallback aCallback)
    : loop_(aLoop)
    , acceptCallback_(std::move(aCallback))
    , acceptor_(aLoop.Context())
  {
  }

  void Listen(const std::string& aAddress, std::uint16_t aPort)
  {
    try {
      const tcp::endpoint endpoint(boost::asio::ip::make_address(aAddress), aPort);
      acceptor_.open(endpoint.protocol());
      acceptor_.set_option(tcp::acceptor::reuse_address(true));
      acceptor_.bind(endpoint);
      acceptor_.listen(kListenBacklog);
      port_ = acceptor_.local_endpoint().port();
    } catch (const boost::system::system_error& error) {
      const std::string message =
        "cannot listen on " + aAddress + ":" + std::to_string(aPort) + ": " + error.what();
      if (error.code() == boost::asio::error::address_in_use) {
        throw AddressInUseError(message);
      }
      throw ListenError(message);
    }
    Accept();
  }

  // Closes the listening socket without accepting what waits. No callback runs afterwards.
  void Close()
  {
    closed_ = true;
    CloseAcceptor();
  }

  void Stop()
  {
    AcceptPending();
    CloseAcceptor();
  }

  std::uint16_t Port() const { return port_; }

private:
  void CloseAcceptor()
  {
    loop_.Cancel(acceptRetryTimer_);
    error_code ignored;
    acceptor_.close(ignored);
  }

  void AcceptPending()
  {
    error_code error;
    acceptor_.non_blocking(true, error);
    // Without this option, accept() waits for another connection if the next one was aborted.
    acceptor_.set_option(tcp::acceptor::enable_connection_aborted(true), error);
    while (acceptor_.is_open()) {
      tcp::socket socket(loop_.Context());
      acceptor_.accept(socket, error);
      if (!error) {
        Deliver(std::move(socket));
      } else if (error != boost::asio::error::connection_aborted) {
        return;
      }
    }
  }

  void Deliver(tcp::socket aSocket)
  {
    acceptCallback_(std::make_shared<SocketStream>(loop_, std::move(aSocket)));
  }

  void Accept()
  {
    acceptor_.async_accept(
      [self = shared_from_this()](const error_code& aError, tcp::socket aSocket) {
        self->OnAccepted(aError, std::move(aSocket));
      });
  }

  void OnAccepted(const error_code& aError, tcp::socket aSocket)
  {
    if (closed_) {
      return;
    }
    const bool open = acceptor_.is_open();
    if (open && IsDescriptorLimit(aError) &&
        spareDescriptor_.CloseNextConnection(acceptor_.native_handle())) {
      CountDescriptorShortage();
      Accept();
      return;
    }
    if (aError) {
      if (open) {
        acceptRetryTimer_ = loop_.After(kAcceptRetryDelay, [this] { Accept(); });
      }
      return;
    }
    if (open) {
      Accept();
      if (!spareDescriptor_.Restore()) {
        // This connection has the last descriptor, without which later ones would hang.
        error_code ignored;
        aSocket.close(ignored);
        spareDescriptor_.Restore();
        CountDescriptorShortage();
        return;
      }
    }
    // Also after Stop(): this connection was accepted before it.
    Deliver(std::move(aSocket));
  }

  EventLoop& loop_;
  const AcceptCallback acceptCallback_;
  tcp::acceptor acceptor_;
  SpareDescriptor spareDescriptor_;
  TimerId acceptRetryTimer_ = TimerId::None;
  std::uint16_t port_ = 0;
  bool closed_ = false; ///< no callback may run any more
};

TcpListener::TcpListener(EventLoop& aLoop,
                         const std::string& aAddress,
                         std::uint16_t aPort,
                         AcceptCallback aCallback)
  : impl_(std::make_shared<Impl>(aLoop, std::move(aCallback)))
{
  impl_->Listen(aAddress, aPort);
}

TcpListener::~TcpListener()
{
  impl_->Close();
}

void
TcpListener::Stop()
{
  impl_->Stop();
}

std::uint16_t
TcpListener::Port() const
{
  return impl_->Port();
}

} // namespace boragepier::net
