#include "boragepier/config/endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace boragepier {

bool
IsIpAddress(std::string_view aText)
{
  std::array<unsigned char, sizeof(in6_addr)> buffer{};
  const std::string text(aText);
  return text.find('\0') == std::string::npos &&
         (inet_pton(AF_INET, text.c_str(), buffer.data()) == 1 ||
          inet_pton(AF_INET6, text.c_str(), buffer.data()) == 1);
}

std::optional<Endpoint>
ParseEndpoint(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view address = aText.substr(0, colon);
  const std::string_view portText = aText.substr(colon + 1);
  const bool bracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
  if (bracketed) {
    address = address.substr(1, address.size() - 2);
  }
  if (!IsIpAddress(address) || bracketed != (address.find(':') != std::string_view::npos)) {
    return std::nullopt;
  }
  Endpoint endpoint{ std::string(address), 0 };
  const auto [end, error] =
    std::from_chars(portText.data(), portText.data() + portText.size(), endpoint.port_);
  if (error != std::errc() || end != portText.data() + portText.size() || endpoint.port_ == 0) {
    return std::nullopt;
  }
  return endpoint;
}

std::optional<std::vector<Endpoint>>
ParseEndpointList(std::string_view aText)
{
  std::vector<Endpoint> endpoints;
  while (!aText.empty()) {
    const std::size_t comma = aText.find(',');
    std::string_view item = aText.substr(0, comma);
    item.remove_prefix(std::min(item.find_first_not_of(' '), item.size()));
    item = item.substr(0, item.find_last_not_of(' ') + 1);
    const auto endpoint = ParseEndpoint(item);
    if (!endpoint) {
      return std::nullopt;
    }
    endpoints.push_back(*endpoint);
    aText = comma == std::string_view::npos ? std::string_view() : aText.substr(comma + 1);
  }
  return endpoints;
}

std::string
ToString(const Endpoint& aEndpoint)
{
  const bool bracketed = aEndpoint.address_.find(':') != std::string::npos;
  const std::string address = bracketed ? "[" + aEndpoint.address_ + "]" : aEndpoint.address_;
  return address + ":" + std::to_string(aEndpoint.port_);
}

} // namespace boragepier
