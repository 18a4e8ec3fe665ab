#ifndef BORAGEPIER_STATE_ROUTING_TABLE_H
#define BORAGEPIER_STATE_ROUTING_TABLE_H

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "boragepier/base/ids.h"
#include "boragepier/config/route_config.h"
#include "boragepier/config/route_set.h"
#include "boragepier/config/service_config.h"
#include "boragepier/config/upstream_endpoint.h"
#include "boragepier/state/team_directory.h"

namespace boragepier {

/// Active configuration and upstreams of one service.
struct ServiceRoute
{
  ServiceConfig config_;
  std::uint64_t version_ = 0; ///< version of config_
  std::vector<UpstreamEndpoint> upstreams_;
  /// Rises when the instance applies new settings, which complete config_.
  std::uint64_t settingsVersion_ = 0;
};

/// Snapshot of all routing data, built by the control thread and read by the traffic threads. Not
/// changed after it has been shared.
struct RoutingTable
{
  std::vector<ServiceRoute> services_;
  /// Routing rules by host and path. If null, each service is selected by its own path prefix. An
  /// empty set matches no request.
  std::shared_ptr<const RouteSet> routes_;
  std::uint64_t routesVersion_ = 0; ///< of routes_; 0 if there are none
  /// If empty, the limits in the settings of the instance apply.
  std::optional<CallerLimits> callerLimits_;
  /// Live entry instances, including this one. May be out of date.
  std::vector<InstanceId> instances_;
  /// Callers identify themselves by the key of a team, except on public routes.
  bool keysRequired_ = false;
  /// Not null if keysRequired_.
  std::shared_ptr<const TeamDirectory> teams_;
  /// Availability zones whose upstreams receive nothing.
  std::vector<ZoneName> evacuatedZones_;
};

} // namespace boragepier

#endif
