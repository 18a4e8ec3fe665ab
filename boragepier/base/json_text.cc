#include "boragepier/base/json_text.h"

#include <nlohmann/json.hpp>

namespace boragepier {

std::string
SerializeJson(const nlohmann::json& aJson)
{
  return aJson.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace boragepier
