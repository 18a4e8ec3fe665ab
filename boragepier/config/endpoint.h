#ifndef BORAGEPIER_CONFIG_ENDPOINT_H
#define BORAGEPIER_CONFIG_ENDPOINT_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragepier {

/// An IP address and a TCP port.
struct Endpoint
{
  std::string address_; ///< IPv4 or IPv6 address, without brackets
  std::uint16_t port_ = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// @return whether the text is an IPv4 or IPv6 address without brackets
bool
IsIpAddress(std::string_view aText);
/// @param aText for example "10.0.0.1:9000" or "[::1]:9000"
/// @return the endpoint, or nothing if the text is malformed or the port is 0
std::optional<Endpoint>
ParseEndpoint(std::string_view aText);
/// @param aText endpoints separated by commas and optional spaces; an empty text is an empty list
/// @return the endpoints, or nothing if one of them is malformed
std::optional<std::vector<Endpoint>>
ParseEndpointList(std::string_view aText);
/// @return the endpoint in the format that ParseEndpoint() accepts
std::string
ToString(const Endpoint& aEndpoint);

} // namespace boragepier

#endif
