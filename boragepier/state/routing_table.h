#ifndef BORAGEPIER_STATE_ROUTING_TABLE_H
#define BORAGEPIER_STATE_ROUTING_TABLE_H

#include <cstdint>
#include <vector>

#include "boragepier/base/ids.h"
#include "boragepier/config/service_config.h"
#include "boragepier/config/upstream_endpoint.h"

namespace boragepier {

/// A service as it is in force.
struct ServiceRoute
{
  ServiceConfig config_;
  std::uint64_t version_ = 0; ///< of the configuration
  std::vector<UpstreamEndpoint> upstreams_;
};

/// What the control thread hands to the traffic threads. Immutable once shared.
struct RoutingTable
{
  std::vector<ServiceRoute> services_;
  std::vector<InstanceId> instances_; ///< live entry instances, this one included; a hint
};

} // namespace boragepier

#endif
