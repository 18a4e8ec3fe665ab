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

ActiveRoute::ActiveRoute(std::shared_ptr<const RouteConfig> aConfig,
                         std::span<const WeightedTarget> aTargets,
                         std::shared_ptr<WeightedRotation> aRotation)
  : config_(std::move(aConfig))
  , workClass_(std::hash<std::string>()(config_->name_))
  , rotation_(std::move(aRotation))
{
  for (const WeightedTarget& target : aTargets) {
    services_.push_back(target.service_);
    weights_.push_back(target.weight_);
  }
}

std::shared_ptr<ActiveService>
ActiveRoute::NextService() const
{
  const auto selected = rotation_->Next(weights_);
  return selected ? services_[*selected] : nullptr;
}

std::shared_ptr<ActiveRoute>
ServiceRouter::Snapshot::FindRoute(std::string_view aKey) const
{
  const auto& shard = routes_[RouteSet::ShardOf(aKey)];
  if (!shard) {
    return nullptr;
  }
  const auto found = shard->find(aKey);
  return found == shard->end() ? nullptr : found->second;
}

std::shared_ptr<ActiveRoute>
ServiceRouter::MakeRoute(const RouteSet::RoutePointer& aConfig,
                         const Snapshot& aSnapshot,
                         const ActiveRoute* aPrevious)
{
  std::vector<ActiveRoute::WeightedTarget> targets;
  for (const WeightedService& target : aConfig->services_) {
    if (const auto found = aSnapshot.servicesByName_.find(target.service_);
        found != aSnapshot.servicesByName_.end()) {
      targets.push_back({ found->second, target.weight_ });
    }
  }
  auto rotation = aPrevious != nullptr ? aPrevious->Rotation()
                                       : std::make_shared<WeightedRotation>(Random(nextSeed_++)());
  ++builtRouteCount_;
  return std::make_shared<ActiveRoute>(aConfig, targets, std::move(rotation));
}

void
ServiceRouter::ApplyServices(const RoutingTable& aTable,
                             const Snapshot& aPrevious,
                             Snapshot& aSnapshot,
                             MonotonicTime aNow)
{
  for (const ServiceRoute& route : aTable.services_) {
    const auto found = aPrevious.servicesByName_.find(route.config_.name_);
    const auto service = found != aPrevious.servicesByName_.end()
                           ? found->second
                           : std::make_shared<ActiveService>(route, zone_, nextSeed_++);
    aSnapshot.servicesByName_.emplace(route.config_.name_, service);
    service->Update(route, self_, aTable.instances_, aNow);
    aSnapshot.services_.push_back(service);
    aSnapshot.servicesByPrefix_.emplace(route.config_.pathPrefix_, service);
  }
}

void
ServiceRouter::ApplyRoutes(const RoutingTable& aTable,
                           const Snapshot& aPrevious,
                           Snapshot& aSnapshot)
{
  if (!aTable.routes_) {
    return;
  }
  aSnapshot.routeSet_ = aTable.routes_;
  // A route refers to its services, so it is built again if there are others.
  const bool sameServices = aSnapshot.servicesByName_ == aPrevious.servicesByName_;
  for (std::size_t i = 0; i < RouteSet::kShardCount; ++i) {
    const auto& configs = aTable.routes_->ShardAt(i);
    if (sameServices && aPrevious.routeSet_ && configs == aPrevious.routeSet_->ShardAt(i)) {
      aSnapshot.routes_[i] = aPrevious.routes_[i];
      continue;
    }
    if (!configs || configs->empty()) {
      continue;
    }
    auto shard = std::make_shared<RouteShard>();
    for (const RouteSet::RoutePointer& config : *configs) {
      std::string key = MakeRouteKey(config->host_, config->pathPrefix_);
      const auto previous = aPrevious.FindRoute(key);
      const bool unchanged = sameServices && previous && previous->ConfigPointer() == config;
      shard->emplace(std::move(key),
                     unchanged ? previous : MakeRoute(config, aSnapshot, previous.get()));
    }
    aSnapshot.routes_[i] = std::move(shard);
  }
}

void
ServiceRouter::Apply(const RoutingTable& aTable, MonotonicTime aNow)
{
  const auto previous = CurrentSnapshot();
  auto snapshot = std::make_shared<Snapshot>();
  ApplyServices(aTable, *previous, *snapshot, aNow);
  ApplyRoutes(aTable, *previous, *snapshot);
  if (aTable.keysRequired_) {
    snapshot->teams_ = aTable.teams_;
  }
  const bool keysRequired = snapshot->teams_ != nullptr;
  const std::lock_guard lock(mutex_);
  keysRequired_.store(keysRequired, std::memory_order_relaxed);
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
  if (!snapshot->routeSet_) {
    return { nullptr,
             FindLongestPrefix(aPath,
                               [&](std::string_view aPrefix) {
                                 const auto found = snapshot->servicesByPrefix_.find(aPrefix);
                                 return found == snapshot->servicesByPrefix_.end() ? nullptr
                                                                                   : found->second;
                               }),
             nullptr };
  }
  const std::string host = NormalizeHost(aHost);
  const auto route = FindLongestPrefix(aPath, [&](std::string_view aPrefix) {
    return snapshot->FindRoute(MakeRouteKey(host, aPrefix));
  });
  if (!route) {
    return {};
  }
  return { route, route->NextService(), route->Config().public_ ? nullptr : snapshot->teams_ };
}

TeamDirectory::TeamPointer
ServiceRouter::FindTeam(const KeyDigest& aKey) const
{
  const auto snapshot = CurrentSnapshot();
  return snapshot->teams_ ? snapshot->teams_->Find(aKey) : nullptr;
}

bool
ServiceRouter::HasConfiguration() const
{
  const auto snapshot = CurrentSnapshot();
  return snapshot->routeSet_ || !snapshot->services_.empty();
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
