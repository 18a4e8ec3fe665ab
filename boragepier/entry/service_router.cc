#include "boragepier/entry/service_router.h"

#include <algorithm>
#include <utility>

namespace boragepier {

namespace {

std::variant<ServiceBalancer, FreshProbeBalancer>
MakeBalancer(const ServiceConfig& aConfig, const ZoneName& aZone, std::uint64_t aSeed)
{
  using Balancer = std::variant<ServiceBalancer, FreshProbeBalancer>;
  if (aConfig.policy_ == PolicyKind::FreshProbes) {
    return Balancer(std::in_place_type<FreshProbeBalancer>, aConfig, aZone, aSeed);
  }
  return Balancer(std::in_place_type<ServiceBalancer>, aConfig, aZone, aSeed);
}

} // namespace

ActiveService::ActiveService(const ServiceRoute& aRoute, const ZoneName& aZone, std::uint64_t aSeed)
  : config_(std::make_shared<const ServiceConfig>(aRoute.config_))
  , version_(aRoute.version_)
  , balancer_(MakeBalancer(aRoute.config_, aZone, aSeed))
{
}

void
ActiveService::Update(const ServiceRoute& aRoute,
                      const InstanceId& aSelf,
                      const std::vector<InstanceId>& aInstances,
                      MonotonicTime aNow)
{
  WithBalancer([&](auto& aBalancer) {
    if (aRoute.version_ != version_ || aRoute.settingsVersion_ != termsVersion_) {
      config_ = std::make_shared<const ServiceConfig>(aRoute.config_);
      version_ = aRoute.version_;
      termsVersion_ = aRoute.settingsVersion_;
      aBalancer.SetConfig(aRoute.config_, aNow);
    }
    aBalancer.SetUpstreams(aRoute.upstreams_, aNow);
    aBalancer.SetFleet(aSelf, aInstances, aNow);
  });
}

std::shared_ptr<const ServiceConfig>
ActiveService::Config() const
{
  const std::lock_guard lock(mutex_);
  return config_;
}

std::uint64_t
ActiveService::Version() const
{
  const std::lock_guard lock(mutex_);
  return version_;
}

RoutingDecision
ActiveService::Submit(const CallInfo& aCall, MonotonicTime aNow, ReleaseCallback aOnRelease)
{
  return WithBalancer([&](auto& aBalancer) {
    const RoutingDecision decision = aBalancer.Submit(aCall, aNow);
    if (decision.kind_ == RoutingDecision::Kind::Queued) {
      releaseCallbacks_.insert_or_assign(aCall.id_, std::move(aOnRelease));
    }
    return decision;
  });
}

bool
ActiveService::CancelQueued(std::uint64_t aCallId, MonotonicTime aNow)
{
  return WithBalancer([&](auto& aBalancer) {
    return aBalancer.CancelQueued(aCallId, aNow) && releaseCallbacks_.erase(aCallId) > 0;
  });
}

std::optional<MonotonicTime>
ActiveService::ReleaseQueued(MonotonicTime aNow)
{
  std::vector<std::pair<ReleaseCallback, RoutingDecision>> released;
  const auto nextRelease = WithBalancer([&](auto& aBalancer) {
    for (const ReleasedCall& call : aBalancer.Release(aNow)) {
      if (auto node = releaseCallbacks_.extract(call.callId_)) {
        released.emplace_back(std::move(node.mapped()), call.decision_);
      }
    }
    return aBalancer.NextRelease();
  });
  for (auto& [onRelease, decision] : released) {
    onRelease(decision);
  }
  return nextRelease;
}

ServiceRouter::ServiceRouter(InstanceId aSelf, ZoneName aZone, std::uint64_t aSeed)
  : self_(std::move(aSelf))
  , zone_(std::move(aZone))
  , nextSeed_(aSeed)
  , snapshot_(std::make_shared<const Snapshot>())
{
}

ActiveRoute::ActiveRoute(RouteConfig aConfig,
                         std::vector<WeightedTarget> aTargets,
                         double aInitialPhase)
  : config_(std::move(aConfig))
  , workClass_(std::hash<std::string>()(config_.name_))
  , targets_(std::move(aTargets))
  , credits_(targets_.size())
{
  if (!targets_.empty()) {
    credits_[static_cast<std::size_t>(aInitialPhase * static_cast<double>(targets_.size())) %
             targets_.size()] = aInitialPhase;
  }
}

std::shared_ptr<ActiveService>
ActiveRoute::NextService()
{
  if (targets_.size() <= 1) {
    return targets_.empty() ? nullptr : targets_.front().service_;
  }
  const std::lock_guard lock(mutex_);
  double totalWeight = 0;
  for (const WeightedTarget& target : targets_) {
    totalWeight += target.weight_;
  }
  if (totalWeight <= 0) {
    return nullptr;
  }
  std::size_t selected = 0;
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    credits_[i] += targets_[i].weight_ / totalWeight;
    if (credits_[i] > credits_[selected]) {
      selected = i;
    }
  }
  credits_[selected] -= 1;
  return targets_[selected].service_;
}

std::shared_ptr<ActiveRoute>
ServiceRouter::MakeRoute(
  const RouteConfig& aConfig,
  const std::unordered_map<ServiceName, std::shared_ptr<ActiveService>>& aServices)
{
  std::vector<ActiveRoute::WeightedTarget> targets;
  for (const WeightedService& target : aConfig.services_) {
    if (const auto found = aServices.find(target.service_);
        found != aServices.end() && target.weight_ > 0) {
      targets.push_back({ found->second, target.weight_ });
    }
  }
  Random random(nextSeed_++);
  return std::make_shared<ActiveRoute>(
    aConfig, std::move(targets), static_cast<double>(random(1000)) / 1000);
}

void
ServiceRouter::Apply(const RoutingTable& aTable, MonotonicTime aNow)
{
  std::unordered_map<ServiceName, std::shared_ptr<ActiveService>> servicesByName;
  for (const auto& service : *Services()) {
    servicesByName.emplace(service->Config()->name_, service);
  }
  auto snapshot = std::make_shared<Snapshot>();
  for (const ServiceRoute& route : aTable.services_) {
    auto& service = servicesByName[route.config_.name_];
    if (!service) {
      service = std::make_shared<ActiveService>(route, zone_, nextSeed_++);
    }
    service->Update(route, self_, aTable.instances_, aNow);
    snapshot->services_.push_back(service);
    snapshot->servicesByPrefix_.emplace(route.config_.pathPrefix_, service);
  }
  snapshot->hasRoutes_ = !aTable.routes_.empty();
  for (const RouteConfig& route : aTable.routes_) {
    snapshot->routesByHostAndPrefix_.emplace(route.host_ + route.pathPrefix_,
                                             MakeRoute(route, servicesByName));
  }
  const std::lock_guard lock(mutex_);
  snapshot_ = std::move(snapshot);
}

namespace {

// Looks up the prefixes of a path that end at a segment, longest first, each with and without its
// trailing slash.
template<typename Lookup>
auto
FindLongestPrefix(std::string_view aPath, Lookup aLookup) -> decltype(aLookup(aPath))
{
  if (auto found = aLookup(aPath)) {
    return found;
  }
  for (std::size_t slash = aPath.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos : aPath.rfind('/', slash - 1)) {
    if (auto found = aLookup(aPath.substr(0, slash + 1))) {
      return found;
    }
    if (auto found = aLookup(aPath.substr(0, slash))) {
      return found;
    }
  }
  return nullptr;
}

// Returns the host in lower case and without a port.
std::string
NormalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](char aChar) {
    return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar - 'A' + 'a') : aChar;
  });
  return host;
}

} // namespace

RouteMatch
ServiceRouter::Match(std::string_view aHost, std::string_view aPath) const
{
  const auto snapshot = CurrentSnapshot();
  if (!snapshot->hasRoutes_) {
    return { nullptr, FindLongestPrefix(aPath, [&](std::string_view aPrefix) {
               const auto found = snapshot->servicesByPrefix_.find(aPrefix);
               return found == snapshot->servicesByPrefix_.end() ? nullptr : found->second;
             }) };
  }
  const std::string host = NormalizeHost(aHost);
  const auto route = FindLongestPrefix(aPath, [&](std::string_view aPrefix) {
    const auto found = snapshot->routesByHostAndPrefix_.find(host + std::string(aPrefix));
    return found == snapshot->routesByHostAndPrefix_.end() ? nullptr : found->second;
  });
  if (!route) {
    return {};
  }
  return { route, route->NextService() };
}

bool
ServiceRouter::HasConfiguration() const
{
  const auto snapshot = CurrentSnapshot();
  return snapshot->hasRoutes_ || !snapshot->services_.empty();
}

std::shared_ptr<const ServiceRouter::ServiceList>
ServiceRouter::Services() const
{
  const auto snapshot = CurrentSnapshot();
  return { snapshot, &snapshot->services_ };
}

std::shared_ptr<const ServiceRouter::Snapshot>
ServiceRouter::CurrentSnapshot() const
{
  const std::lock_guard lock(mutex_);
  return snapshot_;
}

} // namespace boragepier
