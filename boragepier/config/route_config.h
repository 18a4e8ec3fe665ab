#ifndef BORAGEPIER_CONFIG_ROUTE_CONFIG_H
#define BORAGEPIER_CONFIG_ROUTE_CONFIG_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "boragepier/base/ids.h"
#include "boragepier/base/time.h"
#include "boragepier/config/service_config.h"
#include "boragepier/config/team_config.h"

namespace boragepier {

/// One of the services between which a route splits its traffic.
struct WeightedService
{
  ServiceName service_;
  double weight_ = 1; ///< share of the traffic, relative to the other services of the route
};

/// A routing rule: requests for one host and path prefix go to these services with these settings.
struct RouteConfig
{
  std::string name_;       ///< unique in the configuration
  std::string host_;       ///< lower case, without a port
  std::string pathPrefix_; ///< starts and ends with "/"
  std::vector<WeightedService> services_;
  Repeatability repeatability_ = Repeatability::AtMostOnce;
  unsigned maxAttempts_ = 2; ///< attempts per request, each to another upstream
  Duration timeLimit_ = std::chrono::seconds(30);    ///< from arrival of a request to its response
  Duration latencyTarget_ = std::chrono::seconds(1); ///< a later response is of little use
  unsigned priority_ = 0;                            ///< 0 is served first
  bool public_ = false; ///< callers need no key, even if FleetConfig::keysRequired_
};

/// Limits for connections and requests of callers that are part of the configuration.
struct CallerLimits
{
  std::size_t maxHeader_ = 16 << 10;                 ///< bytes; request line and header fields
  std::size_t maxBody_ = 64 << 20;                   ///< bytes
  Duration headerTimeout_ = std::chrono::seconds(3); ///< from first byte to end of the header
  Duration idleTimeout_ = std::chrono::seconds(60);  ///< between two requests on a connection
};

/// One version of the configuration of the whole fleet; an instance applies all of it or nothing.
struct FleetConfig
{
  std::uint64_t version_ = 0; ///< increases with every change
  std::vector<RouteConfig> routes_;
  std::vector<ServiceConfig> services_;
  CallerLimits limits_;
  /// Callers identify themselves by the key of a team, except on public routes.
  bool keysRequired_ = false;
  std::vector<TeamConfig> teams_;
};

} // namespace boragepier

#endif
