#ifndef BORAGEPIER_TESTING_WIRE_TARGET_H
#define BORAGEPIER_TESTING_WIRE_TARGET_H

#include <charconv>
#include <string>
#include <string_view>

#include "boragepier/base/errors.h"
#include "boragepier/http/client.h"

namespace boragepier::testing {

/// Thrown for a text that is not of the form IP:PORT.
class InvalidTarget : public Error
{
public:
  using Error::Error;
};

/// Parses an address and a port.
/// @param aText IP:PORT, with an IPv6 address in brackets
/// @throws InvalidTarget if there is no colon or no port number after it
inline http::Target
ParseTarget(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  http::Target target;
  if (colon == std::string_view::npos ||
      std::from_chars(aText.data() + colon + 1, aText.data() + aText.size(), target.port_).ec !=
        std::errc()) {
    throw InvalidTarget("target is not of the form IP:PORT: " + std::string(aText));
  }
  target.address_ = aText.substr(0, colon);
  if (target.address_.starts_with('[') && target.address_.ends_with(']')) {
    target.address_ = target.address_.substr(1, target.address_.size() - 2);
  }
  return target;
}

} // namespace boragepier::testing

#endif
