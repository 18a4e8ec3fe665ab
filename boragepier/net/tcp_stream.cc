#include "boragepier/net/socket_stream.h"

#include <cerrno>
#include <span>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include "boragepier/base/internal_error.h"
#include "boragepier/net/descriptor_shortage.h"

namespace boragepier::net {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Input is delivered before the next read, so all streams of a thread share one read buffer, and an
// idle connection holds none.
constexpr std::size_t kReadBufferBytes = 64 << 10;

std::span<char>
ReadBuffer()
{
  thread_local std::vector<char> buffer(kReadBufferBytes);
  return buffer;
}

// A connection is treated as broken if the peer acknowledges nothing for this time. A middlebox may
// drop the state of a connection without a reset, and without probes an idle connection would never
// detect that.
constexpr unsigned kTcpUserTimeoutMs = 3000;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbeCount = 3;

void
SetSocketOption(int aHandle, int aLevel, int aOption, unsigned aValue)
{
  const int value = static_cast<int>(aValue);
  // Errors are ignored: without the option, a dead connection is detected later, by the timeouts of
  // its owner.
  static_cast<void>(::setsockopt(aHandle, aLevel, aOption, &value, sizeof(value)));
}

// Returns how a stream ended that could not connect.
StreamEnd
ConnectFailure(const error_code& aError)
{
  if (!IsLocalLimit(aError)) {
    return StreamEnd::Broken;
  }
  CountDescriptorShortage();
  return StreamEnd::LocalLimit;
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
                   StreamHandler& aHandler)
{
  auto stream = std::make_shared<SocketStream>(aLoop, tcp::socket(aLoop.Context()));
  stream->Connect(aAddress, aPort, aHandler);
  return stream;
}

SocketStream::SocketStream(EventLoop& aLoop, Socket aSocket)
  : loop_(aLoop)
  , socket_(std::move(aSocket))
{
}

void
SocketStream::Connect(const std::string& aAddress, std::uint16_t aPort, StreamHandler& aHandler)
{
  handler_ = &aHandler;
  connecting_ = true;
  error_code error;
  const auto address = boost::asio::ip::make_address(aAddress, error);
  if (error) {
    PostEnd(StreamEnd::Broken);
    return;
  }
  const tcp::endpoint endpoint(address, aPort);
  socket_.open(endpoint.protocol(), error);
  if (error) {
    PostEnd(ConnectFailure(error));
    return;
  }
  socket_.async_connect(endpoint, [self = shared_from_this()](const ErrorCode& aError) {
    self->OnConnectEnded(aError);
  });
}

void
SocketStream::Start(StreamHandler& aHandler)
{
  handler_ = &aHandler;
  ConfigureSocket();
  WaitForInput();
}

void
SocketStream::ConfigureSocket()
{
  error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(tcp::no_delay(true), ignored);
  const int handle = socket_.native_handle();
  SetSocketOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetSocketOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIntervalSeconds);
  SetSocketOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetSocketOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbeCount);
  SetSocketOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, kTcpUserTimeoutMs);
}

void
SocketStream::Write(std::string aBytes)
{
  if (!aBytes.empty()) {
    Enqueue({ .bytes_ = std::move(aBytes) });
  }
}

void
SocketStream::WriteShared(std::string_view aBytes, std::shared_ptr<const void> aOwner)
{
  if (!aBytes.empty()) {
    Enqueue({ .bytes_ = {}, .sharedBytes_ = aBytes, .owner_ = std::move(aOwner) });
  }
}

void
SocketStream::Enqueue(Output aOutput)
{
  if (Closed() || ended_) {
    return;
  }
  outputQueue_.push_back(std::move(aOutput));
  if (!connecting_) {
    TryWrite();
  }
}

void
SocketStream::TryWrite()
{
  while (!outputQueue_.empty() && !waitingForOutput_) {
    const std::string_view first = outputQueue_.front().View();
    error_code error;
    const std::size_t count = socket_.write_some(
      boost::asio::buffer(first.data() + outputOffset_, first.size() - outputOffset_), error);
    if (WouldBlock(error)) {
      waitingForOutput_ = true;
      socket_.async_wait(Socket::wait_write, [self = shared_from_this()](const ErrorCode& aError) {
        self->OnOutputReady(aError);
      });
    } else if (error) {
      PostEnd(StreamEnd::Broken);
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
  if (outputOffset_ == outputQueue_.front().View().size()) {
    outputQueue_.pop_front();
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
    WaitForInput();
  }
}

void
SocketStream::Close()
{
  if (Closed()) {
    return;
  }
  handler_ = nullptr;
  outputQueue_.clear();
  error_code ignored;
  socket_.close(ignored);
}

bool
SocketStream::HasUndeliveredInput() const
{
  char byte = 0;
  // native_handle() does not modify the socket but is not declared const.
  const int handle = const_cast<Socket&>(socket_).native_handle();
  const auto result = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return result >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void
SocketStream::WaitForInput()
{
  if (inputPaused_ || inputEnded_ || ended_ || deliveringInput_ || waitingForInput_) {
    return;
  }
  waitingForInput_ = true;
  socket_.async_wait(Socket::wait_read, [self = shared_from_this()](const ErrorCode& aError) {
    self->OnInputReady(aError);
  });
}

void
SocketStream::EndInput()
{
  inputEnded_ = true;
  if (!handler_->OnInputEnded()) {
    ReportEnd(StreamEnd::Closed);
  } else if (!Closed()) {
    socket_.async_wait(Socket::wait_error, [self = shared_from_this()](const ErrorCode& aError) {
      self->OnSocketError(aError);
    });
  }
}

void
SocketStream::OnSocketError(const ErrorCode& aError)
{
  if (Closed() || ended_) {
    return;
  }
  // The wait also ends for urgent data, which is no error.
  pollfd entry{ socket_.native_handle(), 0, 0 };
  if (aError || ::poll(&entry, 1, 0) > 0) {
    ReportEnd(StreamEnd::Broken);
  }
}

void
SocketStream::PostEnd(StreamEnd aEnd)
{
  ended_ = true;
  loop_.Post([weak = weak_from_this(), aEnd] {
    if (const auto self = weak.lock()) {
      self->ReportEnd(aEnd);
    }
  });
}

void
SocketStream::ReportEnd(StreamEnd aEnd)
{
  ended_ = true;
  if (handler_ != nullptr &&
      !RunContained(ErrorScope::Connection, [&] { handler_->OnEnd(aEnd); })) {
    Close();
  }
}

// Calls the handler. If it throws, its state may be incomplete, so the stream ends: the handler
// then gets OnEnd(), in which it releases what the connection holds.
template<typename Function>
void
SocketStream::Deliver(Function aFunction)
{
  if (!RunContained(ErrorScope::Connection, aFunction) && !Closed() && !ended_) {
    PostEnd(StreamEnd::Broken);
  }
}

void
SocketStream::OnConnectEnded(const ErrorCode& aError)
{
  if (Closed()) {
    return;
  }
  if (aError) {
    ReportEnd(ConnectFailure(aError));
    return;
  }
  connecting_ = false;
  ConfigureSocket();
  Deliver([this] { handler_->OnConnected(); });
  if (!Closed() && !ended_) {
    TryWrite();
    WaitForInput();
  }
}

void
SocketStream::OnInputReady(const ErrorCode& aError)
{
  waitingForInput_ = false;
  if (Closed() || ended_) {
    return;
  }
  error_code error = aError;
  std::size_t count = 0;
  const std::span<char> buffer = ReadBuffer();
  if (!error) {
    count = socket_.read_some(boost::asio::buffer(buffer.data(), buffer.size()), error);
  }
  if (WouldBlock(error)) {
    WaitForInput();
    return;
  }
  if (error == boost::asio::error::eof) {
    EndInput();
    return;
  }
  if (error) {
    ReportEnd(StreamEnd::Broken);
    return;
  }
  deliveringInput_ = true;
  Deliver([&] { handler_->OnInput({ buffer.data(), count }); });
  deliveringInput_ = false;
  if (Closed()) {
    return;
  }
  WaitForInput();
}

void
SocketStream::OnOutputReady(const ErrorCode& aError)
{
  waitingForOutput_ = false;
  if (Closed() || ended_) {
    return;
  }
  if (aError) {
    ReportEnd(StreamEnd::Broken);
    return;
  }
  TryWrite();
  if (outputQueue_.empty() && !Closed() && !ended_) {
    Deliver([this] { handler_->OnOutputFlushed(); });
  }
}

} // namespace boragepier::net
