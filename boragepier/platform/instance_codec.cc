#include "boragepier/platform/instance_codec.h"

#include <limits>

#include <nlohmann/json.hpp>

namespace boragepier::platform {

namespace {

using nlohmann::json;

json
Encode(const ListedProcess& aProcess)
{
  return {
    { "id", aProcess.id_ },           { "role", aProcess.role_ },
    { "service", aProcess.service_ }, { "address", aProcess.address_ },
    { "port", aProcess.port_ },       { "peer_port", aProcess.peerPort_ },
    { "zone", aProcess.zone_ },       { "start_number", aProcess.startNumber_ },
    { "leaving", aProcess.leaving_ }, { "admin_port", aProcess.adminPort_ },
  };
}

std::uint64_t
NumberAt(const json& aJson, const char* aName, std::uint64_t aMaximum)
{
  const json& value = aJson.at(aName);
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > aMaximum) {
    throw ProtocolError(std::string(aName) + " is out of range");
  }
  return value.get<std::uint64_t>();
}

ListedProcess
Decode(const json& aJson)
{
  constexpr std::uint64_t kMaxPort = std::numeric_limits<std::uint16_t>::max();
  ListedProcess process;
  process.id_ = aJson.at("id").get<std::string>();
  process.role_ = aJson.at("role").get<std::string>();
  process.service_ = aJson.at("service").get<std::string>();
  process.address_ = aJson.at("address").get<std::string>();
  process.port_ = static_cast<std::uint16_t>(NumberAt(aJson, "port", kMaxPort));
  process.peerPort_ = static_cast<std::uint16_t>(NumberAt(aJson, "peer_port", kMaxPort));
  process.zone_ = aJson.at("zone").get<std::string>();
  process.startNumber_ = NumberAt(aJson, "start_number", std::numeric_limits<std::uint64_t>::max());
  process.leaving_ = aJson.at("leaving").get<bool>();
  if (aJson.contains("admin_port")) {
    process.adminPort_ = static_cast<std::uint16_t>(NumberAt(aJson, "admin_port", kMaxPort));
  }
  if (process.id_.empty()) {
    throw ProtocolError("process without id");
  }
  return process;
}

template<typename Function>
auto
Guard(std::string_view aText, Function aFunction)
{
  try {
    return aFunction(json::parse(aText));
  } catch (const json::exception& error) {
    throw ProtocolError(std::string("invalid message: ") + error.what());
  }
}

} // namespace

std::string
EncodeProcess(const ListedProcess& aProcess)
{
  return Encode(aProcess).dump();
}

ListedProcess
DecodeProcess(std::string_view aText)
{
  return Guard(aText, Decode);
}

std::string
EncodeProcesses(const std::vector<ListedProcess>& aProcesses)
{
  json list = json::array();
  for (const ListedProcess& process : aProcesses) {
    list.push_back(Encode(process));
  }
  return list.dump();
}

std::vector<ListedProcess>
DecodeProcesses(std::string_view aText)
{
  return Guard(aText, [](const json& aJson) {
    if (!aJson.is_array()) {
      throw ProtocolError("list expected");
    }
    std::vector<ListedProcess> list;
    for (const json& process : aJson) {
      list.push_back(Decode(process));
    }
    return list;
  });
}

} // namespace boragepier::platform
