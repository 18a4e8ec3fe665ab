#include "boragepier/platform/instance_codec.h"

#include <limits>

#include <nlohmann/json.hpp>

namespace boragepier::platform {

namespace {

using nlohmann::json;

json
ToJson(const ListedProcess& aProcess)
{
  return {
    { "id", aProcess.id_ },           { "role", aProcess.role_ },
    { "service", aProcess.service_ }, { "address", aProcess.address_ },
    { "port", aProcess.port_ },       { "peer_port", aProcess.peerPort_ },
    { "zone", aProcess.zone_ },       { "start_number", aProcess.startNumber_ },
    { "leaving", aProcess.leaving_ }, { "admin_port", aProcess.adminPort_ },
  };
}

// Returns an unsigned member strictly: the JSON library would convert -1 or 1.5.
std::uint64_t
UnsignedMember(const json& aJson, const char* aName, std::uint64_t aMax)
{
  const json& value = aJson.at(aName);
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > aMax) {
    throw ProtocolError(std::string(aName) + " is not an unsigned integer within its range");
  }
  return value.get<std::uint64_t>();
}

ListedProcess
FromJson(const json& aJson)
{
  constexpr std::uint64_t kMaxPort = std::numeric_limits<std::uint16_t>::max();
  ListedProcess process;
  process.id_ = aJson.at("id").get<std::string>();
  process.role_ = aJson.at("role").get<std::string>();
  process.service_ = aJson.at("service").get<std::string>();
  process.address_ = aJson.at("address").get<std::string>();
  process.port_ = static_cast<std::uint16_t>(UnsignedMember(aJson, "port", kMaxPort));
  process.peerPort_ = static_cast<std::uint16_t>(UnsignedMember(aJson, "peer_port", kMaxPort));
  process.zone_ = aJson.at("zone").get<std::string>();
  process.startNumber_ =
    UnsignedMember(aJson, "start_number", std::numeric_limits<std::uint64_t>::max());
  process.leaving_ = aJson.at("leaving").get<bool>();
  if (aJson.contains("admin_port")) {
    process.adminPort_ = static_cast<std::uint16_t>(UnsignedMember(aJson, "admin_port", kMaxPort));
  }
  if (process.id_.empty()) {
    throw ProtocolError("process has an empty id");
  }
  return process;
}

// Parses JSON and decodes it; reports errors of the JSON library as ProtocolError.
template<typename Decoder>
auto
DecodeJsonText(std::string_view aText, Decoder aDecode)
{
  try {
    return aDecode(json::parse(aText));
  } catch (const json::exception& error) {
    throw ProtocolError(std::string("invalid message: ") + error.what());
  }
}

} // namespace

std::string
EncodeProcess(const ListedProcess& aProcess)
{
  return ToJson(aProcess).dump();
}

ListedProcess
DecodeProcess(std::string_view aText)
{
  return DecodeJsonText(aText, FromJson);
}

std::string
EncodeProcessList(const std::vector<ListedProcess>& aProcesses)
{
  json list = json::array();
  for (const ListedProcess& process : aProcesses) {
    list.push_back(ToJson(process));
  }
  return list.dump();
}

std::vector<ListedProcess>
DecodeProcessList(std::string_view aText)
{
  return DecodeJsonText(aText, [](const json& aJson) {
    if (!aJson.is_array()) {
      throw ProtocolError("the list of processes is not an array");
    }
    std::vector<ListedProcess> list;
    for (const json& process : aJson) {
      list.push_back(FromJson(process));
    }
    return list;
  });
}

} // namespace boragepier::platform
