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

// Generous, because sanitizer builds on a busy machine are slow. Reaching it fails the test.
constexpr int kTimeLimitMs = 30'000;

sockaddr_in
Loopback(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  return address;
}

void
Require(bool aCondition, const char* aWhat)
{
  if (!aCondition) {
    throw WireError(aWhat);
  }
}

bool
IsReadable(int aDescriptor, int aTimeLimitMs)
{
  pollfd entry{ aDescriptor, POLLIN, 0 };
  return ::poll(&entry, 1, aTimeLimitMs) == 1;
}

void
WaitReadable(int aDescriptor)
{
  Require(IsReadable(aDescriptor, kTimeLimitMs), "nothing arrived within the time limit");
}

} // namespace

RawSocket::RawSocket(std::uint16_t aPort)
  : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const sockaddr_in address = Loopback(aPort);
  Require(::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0,
          "cannot connect");
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

// Returns false at the end of the stream.
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
RawSocket::ReadUntil(std::string_view aEnd)
{
  std::size_t found = 0;
  while ((found = received_.find(aEnd)) == std::string::npos) {
    Require(Receive(), "the stream ended before the expected bytes");
  }
  return Read(found + aEnd.size());
}

std::string
RawSocket::Read(std::size_t aCount)
{
  while (received_.size() < aCount) {
    Require(Receive(), "the stream ended before the expected bytes");
  }
  std::string bytes = received_.substr(0, aCount);
  received_.erase(0, aCount);
  return bytes;
}

std::string
RawSocket::ReadMessage()
{
  constexpr std::string_view kField = "Content-Length: ";
  std::string message = ReadUntil("\r\n\r\n");
  if (const std::size_t field = message.find(kField); field != std::string::npos) {
    std::size_t length = 0;
    std::from_chars(
      message.data() + field + kField.size(), message.data() + message.size(), length);
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
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof address;
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  Require(::bind(descriptor_, generic, size) == 0, "cannot bind");
  Require(::listen(descriptor_, 128) == 0, "cannot listen");
  Require(::getsockname(descriptor_, generic, &size) == 0, "cannot read the port");
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
  Require(accepted >= 0, "cannot accept");
  return RawSocket::FromDescriptor(accepted);
}

bool
RawListener::HasPending() const
{
  return IsReadable(descriptor_, 0);
}

} // namespace boragepier::testing
