#include "boragepier/admin/instance_status.h"

#include <nlohmann/json.hpp>

#include "boragepier/base/json_text.h"

namespace boragepier {

namespace {

using nlohmann::json;

} // namespace

std::string
EncodeInstanceStatus(const InstanceStatus& aStatus)
{
  json services = json::array();
  for (const ServiceStatus& service : aStatus.services_) {
    services.push_back({ { "name", service.name_.Text() },
                         { "version", service.version_ },
                         { "upstreams", service.upstreams_ },
                         { "leavingUpstreams", service.leavingUpstreams_ },
                         { "evacuatedUpstreams", service.evacuatedUpstreams_ },
                         { "coldUpstreams", service.coldUpstreams_ } });
  }
  const json status{
    { "instance", aStatus.id_.Text() },  { "zone", aStatus.zone_.Text() },
    { "ready", aStatus.ready_ },         { "notReadyReason", aStatus.notReadyReason_ },
    { "draining", aStatus.draining_ },   { "peers", aStatus.peers_ },
    { "instances", aStatus.instances_ }, { "services", std::move(services) }
  };
  return SerializeJson(status);
}

InstanceStatus
DecodeInstanceStatus(std::string_view aText)
{
  try {
    const json parsed = json::parse(aText);
    InstanceStatus status;
    status.id_ = InstanceId(parsed.at("instance").get<std::string>());
    status.zone_ = ZoneName(parsed.at("zone").get<std::string>());
    status.ready_ = parsed.at("ready").get<bool>();
    status.notReadyReason_ = parsed.at("notReadyReason").get<std::string>();
    status.draining_ = parsed.at("draining").get<bool>();
    status.peers_ = parsed.at("peers").get<std::uint64_t>();
    status.instances_ = parsed.at("instances").get<std::uint64_t>();
    for (const json& service : parsed.at("services")) {
      status.services_.push_back({ ServiceName(service.at("name").get<std::string>()),
                                   service.at("version").get<std::uint64_t>(),
                                   service.at("upstreams").get<std::uint64_t>(),
                                   service.at("leavingUpstreams").get<std::uint64_t>(),
                                   // Instances of an earlier release do not report the others.
                                   service.value("evacuatedUpstreams", std::uint64_t{ 0 }),
                                   service.value("coldUpstreams", std::uint64_t{ 0 }) });
    }
    return status;
  } catch (const json::exception& error) {
    throw InstanceStatusError(std::string("malformed instance status: ") + error.what());
  }
}

} // namespace boragepier
