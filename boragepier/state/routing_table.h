#ifndef BORAGEPIER_STATE_ROUTING_TABLE_H
#define BORAGEPIER_STATE_ROUTING_TABLE_H

#include <cstdint>
#include <optional>
#include <vector>

#include "boragepier/base/ids.h"
#include "boragepier/config/route_config.h"
#include "boragepier/config/service_config.h"
#include "boragepier/config/upstream_endpoint.h"

namespace boragepier {

/// A service as it is in force.
struct ServiceRoute
{
  ServiceConfig config_;
  std::uint64_t version_ = 0; ///< of the configuration
  std::vector<UpstreamEndpoint> upstreams_;
  std::uint64_t termsVersion_ =
    0; ///< of what the settings of the instance add to the configuration
};

/// What the control thread hands to the traffic threads. Immutable once shared.
struct RoutingTable
{
  std::vector<ServiceRoute> services_;
  /// Rules by host and path. If empty, each service is reached by its own path prefix.
  std::vector<RouteConfig> routes_;
  std::uint64_t version_ = 0;          ///< of routes_; 0 without routes
  std::optional<CallerLimits> limits_; ///< nothing if the settings of the instance hold
  std::vector<InstanceId> instances_;  ///< live entry instances, this one included; a hint
};

} // namespace boragepier

#endif
