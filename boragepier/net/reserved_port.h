#ifndef BORAGEPIER_NET_RESERVED_PORT_H
#define BORAGEPIER_NET_RESERVED_PORT_H

#include <cstdint>
#include <string>

namespace boragepier::net {

/// Holds a TCP port that the system chose until the real listener is bound, because the servers of
/// cxxtools do not tell which port they got. Linux lets two sockets with SO_REUSEADDR share an
/// address until one listens, and gives the port to no other process meanwhile.
class ReservedPort
{
public:
  /// @param aAddress IP address
  explicit ReservedPort(const std::string& aAddress);
  ~ReservedPort();
  ReservedPort(const ReservedPort&) = delete;
  ReservedPort& operator=(const ReservedPort&) = delete;

  /// @return the port, or 0 if the address cannot be bound
  std::uint16_t Port() const { return port_; }

private:
  int socket_ = -1;
  std::uint16_t port_ = 0;
};

} // namespace boragepier::net

#endif
