#ifndef BORAGEPIER_ENTRY_SERVICE_ROUTER_H
#define BORAGEPIER_ENTRY_SERVICE_ROUTER_H

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "boragepier/base/time.h"
#include "boragepier/decision/fresh_probe_balancer.h"
#include "boragepier/decision/service_balancer.h"
#include "boragepier/decision/weighted_rotation.h"
#include "boragepier/state/routing_table.h"

namespace boragepier {

/// A service that is currently served: its configuration, its balancer, and callbacks for the
/// requests in the balancer's queue. Thread-safe; shared by all traffic threads.
class ActiveService
{
public:
  /// Continues a request that left the queue. Called without the lock, in the thread that called
  /// ReleaseQueued(); must post to the thread of the request.
  using ReleaseCallback = std::function<void(RoutingDecision)>;

  /// @param aRoute configuration and upstreams of the service; call Update() before use
  /// @param aZone availability zone of this instance
  /// @param aSeed seed of the balancer's random choices
  ActiveService(const ServiceRoute& aRoute, const ZoneName& aZone, std::uint64_t aSeed);

  /// Applies a new configuration, new upstreams and new live instances. Requests in progress keep
  /// the configuration that they started with.
  /// @param aSelf this instance
  /// @param aInstances live instances, this one included
  void Update(const ServiceRoute& aRoute,
              const InstanceId& aSelf,
              const std::vector<InstanceId>& aInstances,
              MonotonicTime aNow);

  std::shared_ptr<const ServiceConfig> Config() const;
  /// @return the version of the configuration
  std::uint64_t Version() const;

  /// Calls aFunction with the balancer, a ServiceBalancer or a FreshProbeBalancer, while holding
  /// the lock.
  template<typename Function>
  decltype(auto) WithBalancer(Function aFunction)
  {
    const std::lock_guard lock(mutex_);
    return std::visit([&](auto& aBalancer) { return aFunction(aBalancer); }, balancer_);
  }

  /// Submits a request to the balancer.
  /// @param aOnRelease called when the request leaves the queue; kept only if the result is Queued
  RoutingDecision Submit(const CallInfo& aCall, MonotonicTime aNow, ReleaseCallback aOnRelease);
  /// Removes a queued request.
  /// @return false if it was no longer queued; its callback has run or will run
  bool CancelQueued(std::uint64_t aCallId, MonotonicTime aNow);
  /// Calls the callbacks of the requests that leave the queue now.
  /// @return the time at which to call again at the latest, if requests remain in the queue
  std::optional<MonotonicTime> ReleaseQueued(MonotonicTime aNow);

private:
  mutable std::mutex mutex_;
  std::shared_ptr<const ServiceConfig> config_;
  std::uint64_t version_;
  std::uint64_t termsVersion_ = 0;
  std::variant<ServiceBalancer, FreshProbeBalancer> balancer_; ///< type fixed by the initial policy
  std::unordered_map<std::uint64_t, ReleaseCallback> releaseCallbacks_;
};

/// A route that is currently served. Distributes requests to its services by weight. Thread-safe.
class ActiveRoute
{
public:
  /// One of the services of the route.
  struct WeightedTarget
  {
    std::shared_ptr<ActiveService> service_;
    double weight_ = 0; ///< relative to the other targets
  };

  /// @param aConfig configuration of the route; not null
  /// @param aTargets services of the route, in the order of the configuration
  /// @param aRotation selects the service of each request; not null. Belongs to the route and
  ///   continues when a routing table replaces this object
  ActiveRoute(std::shared_ptr<const RouteConfig> aConfig,
              std::span<const WeightedTarget> aTargets,
              std::shared_ptr<WeightedRotation> aRotation);

  const RouteConfig& Config() const { return *config_; }
  const std::shared_ptr<const RouteConfig>& ConfigPointer() const { return config_; }
  /// @return a hash of the route's name; requests of one route need similar work
  std::uint64_t WorkClass() const { return workClass_; }
  /// Selects the service for the next request. Over many requests each service gets its share.
  /// @return the service, or null if the route has none
  std::shared_ptr<ActiveService> NextService() const;
  const std::shared_ptr<WeightedRotation>& Rotation() const { return rotation_; }

private:
  const std::shared_ptr<const RouteConfig> config_;
  const std::uint64_t workClass_;
  std::vector<std::shared_ptr<ActiveService>> services_;
  std::vector<double> weights_; ///< of services_, in the same order
  const std::shared_ptr<WeightedRotation> rotation_;
};

/// Result of routing a request.
struct RouteMatch
{
  std::shared_ptr<ActiveRoute> route_; ///< null if the service was matched by its own path prefix
  std::shared_ptr<ActiveService> service_; ///< null if no service matches
  /// Teams of which the caller must have a key; null if it needs none.
  std::shared_ptr<const TeamDirectory> teams_;
};

/// Holds the current services and routes and finds those of a request. Thread-safe: the control
/// thread applies routing tables while traffic threads look up.
class ServiceRouter
{
public:
  using ServiceList = std::vector<std::shared_ptr<ActiveService>>;

  /// @param aSelf this instance
  /// @param aZone availability zone of this instance
  /// @param aSeed seeds the balancers and the rotations of the routes; should differ between
  ///   instances, so that they do not all select the same service first
  ServiceRouter(InstanceId aSelf, ZoneName aZone, std::uint64_t aSeed);

  /// Applies a routing table. Services and routes that remain keep their state, and what is the
  /// same in the previous table is not built again. Called by one thread only.
  void Apply(const RoutingTable& aTable, MonotonicTime aNow);

  /// Finds the route with the longest matching path prefix, or the service if the routing table has
  /// no set of routes. A prefix matches whole segments of the path only.
  /// @param aHost Host field of the request; used only to find routes
  /// @param aPath path of the request, without the query
  RouteMatch Match(std::string_view aHost, std::string_view aPath) const;
  /// @return whether a configuration is in force, which may have no routes
  bool HasConfiguration() const;
  /// @return whether callers identify themselves by keys, at least on some routes
  bool KeysRequired() const { return keysRequired_.load(std::memory_order_relaxed); }
  /// @return the team to which a key leads now, or null
  TeamDirectory::TeamPointer FindTeam(const KeyDigest& aKey) const;

  /// @return the current services; not affected by later routing tables
  std::shared_ptr<const ServiceList> Services() const;
  /// @return the number of routes that were built since the start, by all routing tables. Called by
  /// the thread that calls Apply().
  std::uint64_t BuiltRouteCount() const { return builtRouteCount_; }

private:
  struct StringHash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view aKey) const
    {
      return std::hash<std::string_view>()(aKey);
    }
  };
  template<typename Value>
  using StringMap =
    std::unordered_map<std::string, std::shared_ptr<Value>, StringHash, std::equal_to<>>;

  /// The routes of one shard of a RouteSet, by MakeRouteKey().
  using RouteShard = StringMap<ActiveRoute>;

  /// An applied routing table. Immutable once published. Shares with its predecessor the services
  /// and shards of routes that are the same.
  struct Snapshot
  {
    ServiceList services_;
    std::unordered_map<ServiceName, std::shared_ptr<ActiveService>> servicesByName_;
    StringMap<ActiveService> servicesByPrefix_;
    std::shared_ptr<const RouteSet> routeSet_; ///< from which routes_ was built; null if
                                               ///< services are found by their own prefixes
    std::array<std::shared_ptr<const RouteShard>, RouteSet::kShardCount> routes_;
    std::shared_ptr<const TeamDirectory> teams_; ///< null if callers need no keys

    /// @return the route with this key, or null
    std::shared_ptr<ActiveRoute> FindRoute(std::string_view aKey) const;
  };

  std::shared_ptr<const Snapshot> CurrentSnapshot() const;

  void ApplyServices(const RoutingTable& aTable,
                     const Snapshot& aPrevious,
                     Snapshot& aSnapshot,
                     MonotonicTime aNow);
  void ApplyRoutes(const RoutingTable& aTable, const Snapshot& aPrevious, Snapshot& aSnapshot);
  std::shared_ptr<ActiveRoute> MakeRoute(const RouteSet::RoutePointer& aConfig,
                                         const Snapshot& aSnapshot,
                                         const ActiveRoute* aPrevious);

  const InstanceId self_;
  const ZoneName zone_;
  std::uint64_t nextSeed_;            ///< used only by the thread that calls Apply()
  std::uint64_t builtRouteCount_ = 0; ///< likewise
  mutable std::mutex mutex_;          ///< guards snapshot_
  std::shared_ptr<const Snapshot> snapshot_;
  std::atomic<bool> keysRequired_{ false }; ///< whether snapshot_ has teams; saves the lock
};

} // namespace boragepier

#endif
