#include "boragepier/config/route_set.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace boragepier {

namespace {

RouteSet::Shard::iterator
FindRoute(RouteSet::Shard& aShard, std::string_view aHost, std::string_view aPathPrefix)
{
  return std::find_if(aShard.begin(), aShard.end(), [&](const auto& aRoute) {
    return aRoute->host_ == aHost && aRoute->pathPrefix_ == aPathPrefix;
  });
}

} // namespace

std::string
MakeRouteKey(std::string_view aHost, std::string_view aPathPrefix)
{
  return std::string(aHost).append(aPathPrefix);
}

RouteSet::RouteSet(std::span<const RouteConfig> aRoutes)
{
  // Backwards, so that the first of several equal routes replaces the others.
  std::for_each(aRoutes.rbegin(), aRoutes.rend(), [&](const RouteConfig& aRoute) {
    Set(std::make_shared<const RouteConfig>(aRoute));
  });
}

std::size_t
RouteSet::ShardOf(std::string_view aKey)
{
  return std::hash<std::string_view>()(aKey) % kShardCount;
}

void
RouteSet::Set(RoutePointer aRoute)
{
  auto& current = shards_[ShardOf(MakeRouteKey(aRoute->host_, aRoute->pathPrefix_))];
  auto shard = current ? std::make_shared<Shard>(*current) : std::make_shared<Shard>();
  if (const auto known = FindRoute(*shard, aRoute->host_, aRoute->pathPrefix_);
      known != shard->end()) {
    *known = std::move(aRoute);
  } else {
    shard->push_back(std::move(aRoute));
    ++size_;
  }
  current = std::move(shard);
}

void
RouteSet::Remove(std::string_view aHost, std::string_view aPathPrefix)
{
  auto& current = shards_[ShardOf(MakeRouteKey(aHost, aPathPrefix))];
  if (!current) {
    return;
  }
  auto shard = std::make_shared<Shard>(*current);
  if (const auto known = FindRoute(*shard, aHost, aPathPrefix); known != shard->end()) {
    shard->erase(known);
    --size_;
    current = std::move(shard);
  }
}

} // namespace boragepier
