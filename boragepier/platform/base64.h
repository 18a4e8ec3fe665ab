#ifndef BORAGEPIER_PLATFORM_BASE64_H
#define BORAGEPIER_PLATFORM_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace boragepier::platform {

/// @return aBytes as standard base64 with padding
std::string
EncodeBase64(std::string_view aBytes);

/// Decodes strictly: padding is required, and the unused bits of the last character must be 0.
/// @return the bytes, or nothing if no bytes encode to exactly aText
std::optional<std::string>
DecodeBase64(std::string_view aText);

} // namespace boragepier::platform

#endif
