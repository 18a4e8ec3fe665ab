#include "boragepier/net/socket_stream.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace boragepier::net {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Every open connection holds a read buffer, so it starts small and grows for large bodies.
constexpr std::size_t kFirstReadBuffer = 4 << 10;
constexpr std::size_t kLargestReadBuffer = 64 << 10;

// A peer that answers nothing for this time is taken for lost. Something between the two ends can
// lose track of a connection without a reset, and an idle connection would never notice.
constexpr unsigned kSilenceTimeoutMs = 3000;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 3;

void
SetOption(int aHandle, int aLevel, int aOption, unsigned aValue)
{
  const int value = static_cast<int>(aValue);
  // Without the option a silent connection is noticed later, by the timeouts of its user.
  static_cast<void>(::setsockopt(aHandle, aLevel, aOption, &value, sizeof(value)));
}

bool
WouldBlock(const error_code& aError)
{
  return aError == boost::asio::error::would_block || aError == boost::asio::error::try_again;
}

} // namespace

std::shared_ptr<TcpStream>
TcpStream::Connect(EventLoop& aLoop,
                   const std::string& aAddress,
                   std::uint16_t aPort,
                   StreamEvents& aEvents)
{
  auto stream = std::make_shared<SocketStream>(aLoop, tcp::socket(aLoop.Context()));
  stream->Connect(aAddress, aPort, aEvents);
  return stream;
}

SocketStream::SocketStream(EventLoop& aLoop, Socket aSocket)
  : loop_(aLoop)
  , socket_(std::move(aSocket))
  , readBuffer_(kFirstReadBuffer)
{
}

void
SocketStream::Connect(const std::string& aAddress, std::uint16_t aPort, StreamEvents& aEvents)
{
  events_ = &aEvents;
  connecting_ = true;
  error_code error;
  const auto address = boost::asio::ip::make_address(aAddress, error);
  if (error) {
    EndLater(StreamEnd::Broken);
    return;
  }
  socket_.async_connect(
    tcp::endpoint(address, aPort),
    [self = shared_from_this()](const ErrorCode& aError) { self->OnConnectEnded(aError); });
}

void
SocketStream::Start(StreamEvents& aEvents)
{
  events_ = &aEvents;
  Prepare();
  BeginRead();
}

void
SocketStream::Prepare()
{
  error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(tcp::no_delay(true), ignored);
  const int handle = socket_.native_handle();
  SetOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIntervalS);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalS);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, kSilenceTimeoutMs);
}

void
SocketStream::Write(std::string aBytes)
{
  if (Closed() || ended_ || aBytes.empty()) {
    return;
  }
  output_.push_back(std::move(aBytes));
  if (!connecting_) {
    TryWrite();
  }
}

void
SocketStream::TryWrite()
{
  while (!output_.empty() && !writing_) {
    const std::string& first = output_.front();
    error_code error;
    const std::size_t count = socket_.write_some(
      boost::asio::buffer(first.data() + outputOffset_, first.size() - outputOffset_), error);
    if (WouldBlock(error)) {
      writing_ = true;
      socket_.async_wait(Socket::wait_write, [self = shared_from_this()](const ErrorCode& aError) {
        self->OnOutputReady(aError);
      });
    } else if (error) {
      EndLater(StreamEnd::Broken);
      return;
    } else {
      OnWritten(count);
    }
  }
}

void
SocketStream::OnWritten(std::size_t aCount)
{
  bytesWritten_ += aCount;
  outputOffset_ += aCount;
  if (outputOffset_ == output_.front().size()) {
    output_.pop_front();
    outputOffset_ = 0;
  }
}

void
SocketStream::ShutdownOutput()
{
  if (!Closed()) {
    error_code ignored;
    socket_.shutdown(Socket::shutdown_send, ignored);
  }
}

void
SocketStream::PauseInput(bool aPause)
{
  inputPaused_ = aPause;
  if (!aPause && !Closed() && !connecting_) {
    BeginRead();
  }
}

void
SocketStream::Close()
{
  if (Closed()) {
    return;
  }
  events_ = nullptr;
  error_code ignored;
  socket_.close(ignored);
}

bool
SocketStream::HasUndeliveredInput() const
{
  char byte = 0;
  // native_handle() is not const although it changes nothing.
  const int handle = const_cast<Socket&>(socket_).native_handle();
  const auto result = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return result >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void
SocketStream::BeginRead()
{
  if (inputPaused_ || ended_ || delivering_ || reading_) {
    return;
  }
  reading_ = true;
  socket_.async_wait(Socket::wait_read, [self = shared_from_this()](const ErrorCode& aError) {
    self->OnInputReady(aError);
  });
}

void
SocketStream::EndLater(StreamEnd aEnd)
{
  ended_ = true;
  loop_.Post([weak = weak_from_this(), aEnd] {
    if (const auto self = weak.lock()) {
      self->End(aEnd);
    }
  });
}

void
SocketStream::End(StreamEnd aEnd)
{
  ended_ = true;
  if (events_ != nullptr) {
    events_->OnEnd(aEnd);
  }
}

void
SocketStream::OnConnectEnded(const ErrorCode& aError)
{
  if (Closed()) {
    return;
  }
  if (aError) {
    End(StreamEnd::Broken);
    return;
  }
  connecting_ = false;
  Prepare();
  events_->OnConnected();
  if (!Closed()) {
    TryWrite();
    BeginRead();
  }
}

void
SocketStream::OnInputReady(const ErrorCode& aError)
{
  reading_ = false;
  if (Closed() || ended_) {
    return;
  }
  error_code error = aError;
  std::size_t count = 0;
  if (!error) {
    count = socket_.read_some(boost::asio::buffer(readBuffer_), error);
  }
  if (WouldBlock(error)) {
    BeginRead();
    return;
  }
  if (error) {
    End(error == boost::asio::error::eof ? StreamEnd::Closed : StreamEnd::Broken);
    return;
  }
  delivering_ = true;
  events_->OnInput({ readBuffer_.data(), count });
  delivering_ = false;
  if (Closed()) {
    return;
  }
  if (count == readBuffer_.size() && count < kLargestReadBuffer) {
    readBuffer_.resize(std::min(2 * count, kLargestReadBuffer));
  }
  BeginRead();
}

void
SocketStream::OnOutputReady(const ErrorCode& aError)
{
  writing_ = false;
  if (Closed() || ended_) {
    return;
  }
  if (aError) {
    End(StreamEnd::Broken);
    return;
  }
  TryWrite();
  if (output_.empty() && !Closed() && !ended_) {
    events_->OnDrained();
  }
}

} // namespace boragepier::net
