#ifndef BORAGEPIER_PLATFORM_BASE64_H
#define BORAGEPIER_PLATFORM_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace boragepier::platform {

/// Encodes bytes, so that a JSON text can carry them.
std::string
EncodeBase64(std::string_view aBytes);

/// @return the bytes, or nothing unless aText is exactly what EncodeBase64() makes of them
std::optional<std::string>
DecodeBase64(std::string_view aText);

} // namespace boragepier::platform

#endif
