#include "testing/wire/raw_socket.h"

#include <array>
#include <charconv>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace boragepier::testing {

namespace {

// Long, because sanitizer builds on a busy machine are slow. A test that reaches it fails.
constexpr int kInputTimeoutMs = 30'000;

sockaddr_in
LoopbackAddress(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  return address;
}

void
ThrowUnless(bool aCondition, const char* aMessage)
{
  if (!aCondition) {
    throw WireError(aMessage);
  }
}

bool
IsReadable(int aDescriptor, int aTimeoutMs)
{
  pollfd entry{ aDescriptor, POLLIN, 0 };
  return ::poll(&entry, 1, aTimeoutMs) == 1;
}

void
WaitReadable(int aDescriptor)
{
  ThrowUnless(IsReadable(aDescriptor, kInputTimeoutMs), "timed out waiting for input");
}

} // namespace

RawSocket::RawSocket(std::uint16_t aPort)
  : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const sockaddr_in address = LoopbackAddress(aPort);
  ThrowUnless(::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address) ==
                0,
              "cannot connect to the loopback port");
}

RawSocket::~RawSocket()
{
  Close();
}

RawSocket::RawSocket(RawSocket&& aOther) noexcept
  : descriptor_(std::exchange(aOther.descriptor_, -1))
  , received_(std::move(aOther.received_))
{
}

void
RawSocket::Send(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const auto sent = ::send(descriptor_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(sent));
  }
}

// Waits for input and appends it to received_. Returns false at the end of the stream or on an
// error.
bool
RawSocket::Receive()
{
  WaitReadable(descriptor_);
  std::array<char, 65536> buffer;
  const auto count = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
  if (count <= 0) {
    return false;
  }
  received_.append(buffer.data(), static_cast<std::size_t>(count));
  return true;
}

std::string
RawSocket::ReadUntil(std::string_view aDelimiter)
{
  std::size_t found = 0;
  while ((found = received_.find(aDelimiter)) == std::string::npos) {
    ThrowUnless(Receive(), "the stream ended before the expected bytes");
  }
  return Read(found + aDelimiter.size());
}

std::string
RawSocket::Read(std::size_t aCount)
{
  while (received_.size() < aCount) {
    ThrowUnless(Receive(), "the stream ended before the expected bytes");
  }
  std::string bytes = received_.substr(0, aCount);
  received_.erase(0, aCount);
  return bytes;
}

std::string
RawSocket::ReadMessage()
{
  constexpr std::string_view kLengthField = "Content-Length: ";
  std::string message = ReadUntil("\r\n\r\n");
  if (const std::size_t field = message.find(kLengthField); field != std::string::npos) {
    std::size_t length = 0;
    std::from_chars(
      message.data() + field + kLengthField.size(), message.data() + message.size(), length);
    message += Read(length);
  }
  return message;
}

std::string
RawSocket::ReadToEnd()
{
  while (Receive()) {
  }
  return std::exchange(received_, {});
}

bool
RawSocket::HasInput() const
{
  return !received_.empty() || IsReadable(descriptor_, 0);
}

void
RawSocket::ShutdownOutput()
{
  ::shutdown(descriptor_, SHUT_WR);
}

void
RawSocket::Close()
{
  if (descriptor_ >= 0) {
    ::close(std::exchange(descriptor_, -1));
  }
}

void
RawSocket::Reset()
{
  const linger immediately{ 1, 0 };
  ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
  Close();
}

RawListener::RawListener()
  : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  sockaddr_in address = LoopbackAddress(0);
  socklen_t size = sizeof address;
  auto* const genericAddress = reinterpret_cast<sockaddr*>(&address);
  ThrowUnless(::bind(descriptor_, genericAddress, size) == 0, "cannot bind to a loopback port");
  ThrowUnless(::listen(descriptor_, 128) == 0, "cannot listen on the loopback port");
  ThrowUnless(::getsockname(descriptor_, genericAddress, &size) == 0,
              "cannot read the port of the listening socket");
  port_ = ntohs(address.sin_port);
}

RawListener::~RawListener()
{
  ::close(descriptor_);
}

RawSocket
RawListener::Accept()
{
  WaitReadable(descriptor_);
  const int accepted = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
  ThrowUnless(accepted >= 0, "cannot accept a connection");
  return RawSocket::FromDescriptor(accepted);
}

bool
RawListener::HasPending() const
{
  return IsReadable(descriptor_, 0);
}

} // namespace boragepier::testing
