#ifndef BORAGEPIER_BASE_JSON_TEXT_H
#define BORAGEPIER_BASE_JSON_TEXT_H

#include <string>

#include <nlohmann/json_fwd.hpp>

namespace boragepier {

/// Serializes a JSON value for output. Bytes that are not valid UTF-8 are replaced by U+FFFD, so
/// that text from outside cannot make the call fail; nlohmann's dump() throws on such text.
/// @return one line without a line break
std::string
SerializeJson(const nlohmann::json& aJson);

} // namespace boragepier

#endif
