#ifndef BORAGEPIER_ENTRY_SERVICE_DIRECTORY_H
#define BORAGEPIER_ENTRY_SERVICE_DIRECTORY_H

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "boragepier/base/time.h"
#include "boragepier/decision/fresh_probe_balancer.h"
#include "boragepier/decision/service_balancer.h"
#include "boragepier/state/routing_table.h"

namespace boragepier {

/// One service in force: its configuration, its balancer and the requests that wait in the
/// balancer's queue. Shared by all traffic threads.
class ServiceEntry
{
public:
  /// Continues a request that left the queue. Called without the lock, in the thread that caused
  /// the release; it must hand over to its own thread.
  using Waiter = std::function<void(RoutingDecision)>;

  ServiceEntry(const ServiceRoute& aRoute, const ZoneName& aZone, std::uint64_t aSeed);

  /// Puts a new route into force. Requests in progress keep the configuration they started with.
  void Update(const ServiceRoute& aRoute,
              const InstanceId& aSelf,
              const std::vector<InstanceId>& aInstances,
              MonotonicTime aNow);

  std::shared_ptr<const ServiceConfig> Config() const;
  std::uint64_t Version() const;

  /// Calls aFunction with the balancer, a ServiceBalancer or a FreshProbeBalancer, under the lock.
  template<typename Function>
  decltype(auto) With(Function aFunction)
  {
    const std::lock_guard lock(mutex_);
    return std::visit([&](auto& aBalancer) { return aFunction(aBalancer); }, balancer_);
  }

  /// Submits a request; aWaiter is kept only if the decision is Queued.
  RoutingDecision Submit(const CallInfo& aCall, MonotonicTime aNow, Waiter aWaiter);
  /// Removes a queued request.
  /// @return false if it was not queued any more; its waiter has run or will run
  bool CancelQueued(std::uint64_t aCallId, MonotonicTime aNow);
  /// Runs the waiters of the requests that leave the queue now.
  /// @return the time of the next release, if requests still wait
  std::optional<MonotonicTime> ReleaseWaiting(MonotonicTime aNow);

private:
  mutable std::mutex mutex_;
  std::shared_ptr<const ServiceConfig> config_;
  std::uint64_t version_;
  std::uint64_t termsVersion_ = 0;
  std::variant<ServiceBalancer, FreshProbeBalancer>
    balancer_; ///< selected by the policy at the start
  std::unordered_map<std::uint64_t, Waiter> waiters_;
};

/// A route in force.
class RouteEntry
{
public:
  struct Part
  {
    std::shared_ptr<ServiceEntry> service_;
    double weight_ = 0;
  };

  /// @param aConfig the route
  /// @param aParts its services, in the order of the configuration
  /// @param aPhase where the distribution by weight begins, from 0 to 1; should differ between
  ///   instances
  RouteEntry(RouteConfig aConfig, std::vector<Part> aParts, double aPhase);

  const RouteConfig& Config() const { return config_; }
  std::uint64_t WorkClass() const { return workClass_; }
  /// @return the service of the next request; over many requests each gets its share. Null if the
  ///   route has no service.
  std::shared_ptr<ServiceEntry> NextService();

private:
  const RouteConfig config_;
  const std::uint64_t workClass_;
  std::vector<Part> parts_;
  std::mutex mutex_;
  std::vector<double> credits_; ///< share owed to each part
};

/// Where a request goes.
struct RouteMatch
{
  std::shared_ptr<RouteEntry> route_; ///< null if the service is reached by its own path prefix
  std::shared_ptr<ServiceEntry> service_;
};

/// The services in force, found by path. The control thread applies routing tables; traffic threads
/// look up.
class ServiceDirectory
{
public:
  using Services = std::vector<std::shared_ptr<ServiceEntry>>;

  ServiceDirectory(InstanceId aSelf, ZoneName aZone, std::uint64_t aSeed);

  /// Puts a routing table into force. Entries of services that stay are kept.
  void Apply(const RoutingTable& aTable, MonotonicTime aNow);

  /// @param aHost Host field of a request, which matters only if there are routes
  /// @param aPath its path
  /// @return the route, or the service, with the longest prefix that consists of whole segments of
  ///   the path; a match without a service if there is none
  RouteMatch Match(std::string_view aHost, std::string_view aPath) const;
  /// @return whether any configuration is known
  bool Configured() const;

  std::shared_ptr<const Services> All() const;

private:
  struct StringHash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view aText) const
    {
      return std::hash<std::string_view>()(aText);
    }
  };
  struct Snapshot
  {
    Services services_;
    std::unordered_map<std::string, std::shared_ptr<ServiceEntry>, StringHash, std::equal_to<>>
      byPrefix_;
    bool hasRoutes_ = false;
    /// Keys are the host followed by the prefix.
    std::unordered_map<std::string, std::shared_ptr<RouteEntry>, StringHash, std::equal_to<>>
      routes_;
  };

  std::shared_ptr<const Snapshot> Current() const;

  std::shared_ptr<RouteEntry> MakeRoute(
    const RouteConfig& aConfig,
    const std::unordered_map<ServiceName, std::shared_ptr<ServiceEntry>>& aServices);

  const InstanceId self_;
  const ZoneName zone_;
  std::uint64_t nextSeed_;
  mutable std::mutex mutex_;
  std::shared_ptr<const Snapshot> snapshot_;
};

} // namespace boragepier

#endif
