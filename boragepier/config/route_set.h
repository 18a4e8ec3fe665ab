#ifndef BORAGEPIER_CONFIG_ROUTE_SET_H
#define BORAGEPIER_CONFIG_ROUTE_SET_H

#include <array>
#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "boragepier/config/route_config.h"

namespace boragepier {

/// @return text that identifies a route in a configuration
std::string
MakeRouteKey(std::string_view aHost, std::string_view aPathPrefix);

/// Routes by host and path prefix, divided into shards by a hash. A copy shares all shards with the
/// original, and a change replaces one shard, so that the cost of a change, and of finding out what
/// differs between two sets, does not grow with the number of routes.
class RouteSet
{
public:
  using RoutePointer = std::shared_ptr<const RouteConfig>;
  using Shard = std::vector<RoutePointer>;

  static constexpr std::size_t kShardCount = 256;

  RouteSet() = default;
  /// Of several routes with the same host and prefix the first one counts.
  explicit RouteSet(std::span<const RouteConfig> aRoutes);

  /// @return index of the shard that holds the route with a key of MakeRouteKey()
  static std::size_t ShardOf(std::string_view aKey);

  /// Adds a route, or replaces the one with the same host and prefix.
  void Set(RoutePointer aRoute);
  /// Removes the route with this host and prefix, if there is one.
  void Remove(std::string_view aHost, std::string_view aPathPrefix);

  /// @return the routes of a shard, or null if there are none. Two sets in which the pointer is the
  /// same have the same routes there.
  const std::shared_ptr<const Shard>& ShardAt(std::size_t aIndex) const { return shards_[aIndex]; }
  std::size_t Size() const { return size_; }

private:
  std::array<std::shared_ptr<const Shard>, kShardCount> shards_;
  std::size_t size_ = 0;
};

} // namespace boragepier

#endif
