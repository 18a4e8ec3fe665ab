#include "boragepier/net/reserved_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace boragepier::net {

namespace {

// Fills aStorage; returns the size of the address, or 0 if the text is not an address.
socklen_t
FillAddress(const std::string& aAddress, sockaddr_storage& aStorage)
{
  auto& v4 = reinterpret_cast<sockaddr_in&>(aStorage);
  if (::inet_pton(AF_INET, aAddress.c_str(), &v4.sin_addr) == 1) {
    v4.sin_family = AF_INET;
    return sizeof v4;
  }
  auto& v6 = reinterpret_cast<sockaddr_in6&>(aStorage);
  v6 = {};
  if (::inet_pton(AF_INET6, aAddress.c_str(), &v6.sin6_addr) == 1) {
    v6.sin6_family = AF_INET6;
    return sizeof v6;
  }
  return 0;
}

} // namespace

ReservedPort::ReservedPort(const std::string& aAddress)
{
  sockaddr_storage storage{};
  socklen_t size = FillAddress(aAddress, storage);
  if (size == 0) {
    return;
  }
  auto* const address = reinterpret_cast<sockaddr*>(&storage);
  socket_ = ::socket(address->sa_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (::bind(socket_, address, size) == 0 && ::getsockname(socket_, address, &size) == 0) {
    // sin_port and sin6_port are at the same place.
    port_ = ntohs(reinterpret_cast<sockaddr_in&>(storage).sin_port);
  }
}

ReservedPort::~ReservedPort()
{
  if (socket_ >= 0) {
    ::close(socket_);
  }
}

} // namespace boragepier::net
