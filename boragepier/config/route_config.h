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

namespace boragepier {

/// One of the services among which a route divides its requests.
struct WeightedService
{
  ServiceName service_;
  double weight_ = 1; ///< relative to the other services of the route
};

/// A rule that sends requests of one host and path prefix to services, with the terms that apply.
struct RouteConfig
{
  std::string name_;       ///< unique in the configuration
  std::string host_;       ///< lower case, without a port
  std::string pathPrefix_; ///< starts and ends with "/"
  std::vector<WeightedService> services_;
  Repeatability repeatability_ = Repeatability::AtMostOnce;
  unsigned maxAttempts_ = 2;                         ///< upstreams that one request may be sent to
  Duration timeLimit_ = std::chrono::seconds(30);    ///< from arrival to the final answer
  Duration latencyTarget_ = std::chrono::seconds(1); ///< answers after it are of little use
  unsigned rank_ = 0;                                ///< 0 is the most urgent
};

/// Limits on what callers may send that follow the configuration.
struct CallerLimits
{
  std::size_t maxHeader_ = 16 << 10;                 ///< bytes
  std::size_t maxBody_ = 64 << 20;                   ///< bytes
  Duration headerTimeout_ = std::chrono::seconds(3); ///< from first byte to end of the header
  Duration idleTimeout_ = std::chrono::seconds(60);  ///< between requests of a connection
};

/// One version of the configuration of the whole fleet, applied as a whole.
struct FleetConfig
{
  std::uint64_t version_ = 0; ///< only rises
  std::vector<RouteConfig> routes_;
  std::vector<ServiceConfig> services_;
  CallerLimits limits_;
};

} // namespace boragepier

#endif
