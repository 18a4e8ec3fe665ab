#include "boragepier/net/socket_stream.h"

#include <algorithm>
#include <cerrno>
#include <exception>
#include <utility>

#include <arpa/inet.h>
#include <cxxtools/net/tcpserver.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace boragepier::net {

namespace {

// Every open connection holds a read buffer, so it starts small and grows for large bodies.
constexpr std::size_t kFirstReadBuffer = 4 << 10;
constexpr std::size_t kLargestReadBuffer = 64 << 10;

void
SetNoDelay(int aSocket)
{
  const int enabled = 1;
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

// cxxtools reports a reset as the end of the stream, like a close in good order, and the system
// tells the error only once. The state differs: a reset leaves the socket closed.
bool
WasReset(int aSocket)
{
  tcp_info info{};
  socklen_t size = sizeof info;
  return ::getsockopt(aSocket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
         info.tcpi_state == TCP_CLOSE;
}

bool
IsIpAddress(const std::string& aText)
{
  in6_addr address{};
  return ::inet_pton(AF_INET, aText.c_str(), &address) == 1 ||
         ::inet_pton(AF_INET6, aText.c_str(), &address) == 1;
}

} // namespace

std::shared_ptr<TcpStream>
TcpStream::Connect(EventLoop& aLoop,
                   const std::string& aAddress,
                   std::uint16_t aPort,
                   StreamEvents& aEvents)
{
  auto stream = std::make_shared<SocketStream>(aLoop);
  stream->Connect(aAddress, aPort, aEvents);
  return stream;
}

std::shared_ptr<TcpStream>
SocketStream::Accept(EventLoop& aLoop, cxxtools::net::TcpServer& aServer)
{
  auto stream = std::make_shared<SocketStream>(aLoop);
  stream->socket_.accept(aServer);
  return stream;
}

SocketStream::SocketStream(EventLoop& aLoop)
  : loop_(aLoop)
  , readBuffer_(kFirstReadBuffer)
{
}

void
SocketStream::Connect(const std::string& aAddress, std::uint16_t aPort, StreamEvents& aEvents)
{
  events_ = &aEvents;
  connecting_ = true;
  cxxtools::connect(socket_.connected, *this, &SocketStream::OnSocketConnected);
  Attach();
  if (!IsIpAddress(aAddress)) {
    // cxxtools would look the name up and block the loop meanwhile.
    EndLater(StreamEnd::Broken);
    return;
  }
  try {
    socket_.beginConnect(aAddress, aPort);
  } catch (const std::exception&) {
    EndLater(StreamEnd::Broken);
  }
}

void
SocketStream::Start(StreamEvents& aEvents)
{
  events_ = &aEvents;
  Attach();
  SetNoDelay(socket_.getFd());
  BeginRead();
}

void
SocketStream::Attach()
{
  cxxtools::connect(socket_.inputReady, *this, &SocketStream::OnInputReady);
  cxxtools::connect(socket_.outputReady, *this, &SocketStream::OnOutputReady);
  loop_.Selector().add(socket_);
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
  try {
    while (!output_.empty() && !socket_.writing()) {
      const std::string& first = output_.front();
      if (socket_.beginWrite(first.data() + outputOffset_, first.size() - outputOffset_) == 0) {
        return;
      }
      OnWritten(socket_.endWrite());
    }
  } catch (const std::exception&) {
    EndLater(StreamEnd::Broken);
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
    ::shutdown(socket_.getFd(), SHUT_WR);
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
  loop_.Retire(shared_from_this());
}

bool
SocketStream::HasUndeliveredInput() const
{
  if (socket_.ravail() > 0) {
    return true;
  }
  char byte = 0;
  const auto result = ::recv(socket_.getFd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return result >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void
SocketStream::BeginRead()
{
  if (inputPaused_ || ended_ || delivering_ || socket_.reading()) {
    return;
  }
  try {
    socket_.beginRead(readBuffer_.data(), readBuffer_.size());
  } catch (const std::exception&) {
    EndLater(StreamEnd::Broken);
  }
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
SocketStream::OnSocketConnected(cxxtools::net::TcpSocket& /*aSocket*/)
{
  if (Closed()) {
    return;
  }
  const auto self = shared_from_this();
  try {
    socket_.endConnect();
  } catch (const std::exception&) {
    End(StreamEnd::Broken);
    return;
  }
  connecting_ = false;
  SetNoDelay(socket_.getFd());
  events_->OnConnected();
  if (!Closed()) {
    TryWrite();
    BeginRead();
  }
}

// Returns the number of bytes read, or 0 if the stream ended.
std::size_t
SocketStream::FinishRead()
{
  try {
    if (const std::size_t count = socket_.endRead(); count > 0) {
      return count;
    }
    End(WasReset(socket_.getFd()) ? StreamEnd::Broken : StreamEnd::Closed);
  } catch (const std::exception&) {
    End(StreamEnd::Broken);
  }
  return 0;
}

void
SocketStream::OnInputReady(cxxtools::IODevice& /*aDevice*/)
{
  if (Closed() || ended_) {
    return;
  }
  const auto self = shared_from_this();
  const std::size_t count = FinishRead();
  if (count == 0) {
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
SocketStream::OnOutputReady(cxxtools::IODevice& /*aDevice*/)
{
  if (Closed() || ended_ || !socket_.writing()) {
    return;
  }
  const auto self = shared_from_this();
  try {
    OnWritten(socket_.endWrite());
  } catch (const std::exception&) {
    End(StreamEnd::Broken);
    return;
  }
  TryWrite();
  if (output_.empty() && !Closed()) {
    events_->OnDrained();
  }
}

} // namespace boragepier::net
