#ifndef BORAGEPIER_ENTRY_TEAM_FAKES_H
#define BORAGEPIER_ENTRY_TEAM_FAKES_H

#include <cstdint>
#include <memory>
#include <span>
#include <string>

#include "boragepier/entry/wire_dialect.h"
#include "boragepier/state/routing_table.h"

namespace boragepier {

// For tests of requests of teams.

inline constexpr const char* kCallerKeyField = "X-Caller-Key";
inline constexpr const char* kTeamField = "X-Team";

/// @return a dialect with fields for keys and teams
inline WireDialect
MakeTeamDialect()
{
  WireDialect dialect = NativeDialect();
  dialect.callerKeyField_ = kCallerKeyField;
  dialect.teamField_ = kTeamField;
  return dialect;
}

/// @return a route of the service "s" at the host a.example
inline RouteConfig
MakeTeamRoute(const std::string& aName, const std::string& aPathPrefix)
{
  RouteConfig route;
  route.name_ = aName;
  route.host_ = "a.example";
  route.pathPrefix_ = aPathPrefix;
  route.services_ = { { ServiceName("s"), 1 } };
  route.maxAttempts_ = 3;
  return route;
}

/// @return a routing table with the service "s", whose callers need keys
inline RoutingTable
MakeTeamTable(std::span<const RouteConfig> aRoutes, const TeamDirectory& aTeams, int aUpstreams)
{
  RoutingTable table;
  table.routes_ = std::make_shared<const RouteSet>(aRoutes);
  table.instances_.emplace_back("i1");
  table.keysRequired_ = true;
  table.teams_ = std::make_shared<const TeamDirectory>(aTeams);
  ServiceRoute& service = table.services_.emplace_back();
  service.version_ = 1;
  service.config_.name_ = ServiceName("s");
  service.config_.retryRatio_ = 1;
  for (int i = 0; i < aUpstreams; ++i) {
    UpstreamEndpoint& endpoint = service.upstreams_.emplace_back();
    endpoint.id_ = UpstreamId("u" + std::to_string(i));
    endpoint.address_ = "127.0.0.1";
    endpoint.port_ = static_cast<std::uint16_t>(9000 + i);
    endpoint.startNumber_ = 1;
  }
  return table;
}

} // namespace boragepier

#endif
