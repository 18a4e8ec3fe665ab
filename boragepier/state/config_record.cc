#include "boragepier/state/config_record.h"

#include <nlohmann/json.hpp>

namespace boragepier {

namespace {

using nlohmann::json;

template<typename Function>
auto
DecodeWith(std::string_view aValue, Function aFunction)
{
  try {
    return aFunction(json::parse(aValue));
  } catch (const json::exception& error) {
    throw ConfigRecordError(std::string("invalid configuration row: ") + error.what());
  }
}

std::string
Encode(const json& aJson)
{
  try {
    return aJson.dump();
  } catch (const json::exception& error) {
    throw ConfigRecordError(std::string("a string is not valid UTF-8: ") + error.what());
  }
}

} // namespace

void
ConfigHead::Append(const ServiceName& aService, std::uint64_t aVersion)
{
  changes_.push_back({ ++serial_, aService, aVersion });
  if (changes_.size() > kConfigHeadChanges) {
    changes_.erase(changes_.begin());
  }
}

std::string
ConfigRowKey(const ServiceName& aService)
{
  return "config/" + aService.Text();
}

std::string
EncodeConfigRecord(const ConfigRecord& aRecord)
{
  return Encode({ { "service", aRecord.service_.Text() },
                  { "version", aRecord.version_ },
                  { "publish-id", aRecord.publishId_ },
                  { "body", aRecord.body_ } });
}

ConfigRecord
DecodeConfigRecord(std::string_view aValue)
{
  return DecodeWith(aValue, [](const json& aJson) {
    return ConfigRecord{ ServiceName(aJson.at("service").get<std::string>()),
                         aJson.at("version").get<std::uint64_t>(),
                         aJson.at("publish-id").get<std::string>(),
                         aJson.at("body").get<std::string>() };
  });
}

std::string
EncodeConfigHead(const ConfigHead& aHead)
{
  json changes = json::array();
  for (const ConfigHead::Change& change : aHead.changes_) {
    changes.push_back({ change.serial_, change.service_.Text(), change.version_ });
  }
  return Encode({ { "serial", aHead.serial_ }, { "changes", changes } });
}

ConfigHead
DecodeConfigHead(std::string_view aValue)
{
  return DecodeWith(aValue, [](const json& aJson) {
    ConfigHead head;
    head.serial_ = aJson.at("serial").get<std::uint64_t>();
    for (const json& change : aJson.at("changes")) {
      head.changes_.push_back({ change.at(0).get<std::uint64_t>(),
                                ServiceName(change.at(1).get<std::string>()),
                                change.at(2).get<std::uint64_t>() });
    }
    return head;
  });
}

} // namespace boragepier
