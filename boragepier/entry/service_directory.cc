#include "boragepier/entry/service_directory.h"

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

ServiceEntry::ServiceEntry(const ServiceRoute& aRoute, const ZoneName& aZone, std::uint64_t aSeed)
  : config_(std::make_shared<const ServiceConfig>(aRoute.config_))
  , version_(aRoute.version_)
  , balancer_(MakeBalancer(aRoute.config_, aZone, aSeed))
{
}

void
ServiceEntry::Update(const ServiceRoute& aRoute,
                     const InstanceId& aSelf,
                     const std::vector<InstanceId>& aInstances,
                     MonotonicTime aNow)
{
  With([&](auto& aBalancer) {
    if (aRoute.version_ != version_ || aRoute.termsVersion_ != termsVersion_) {
      config_ = std::make_shared<const ServiceConfig>(aRoute.config_);
      version_ = aRoute.version_;
      termsVersion_ = aRoute.termsVersion_;
      aBalancer.SetConfig(aRoute.config_, aNow);
    }
    aBalancer.SetUpstreams(aRoute.upstreams_, aNow);
    aBalancer.SetFleet(aSelf, aInstances, aNow);
  });
}

std::shared_ptr<const ServiceConfig>
ServiceEntry::Config() const
{
  const std::lock_guard lock(mutex_);
  return config_;
}

std::uint64_t
ServiceEntry::Version() const
{
  const std::lock_guard lock(mutex_);
  return version_;
}

RoutingDecision
ServiceEntry::Submit(const CallInfo& aCall, MonotonicTime aNow, Waiter aWaiter)
{
  return With([&](auto& aBalancer) {
    const RoutingDecision decision = aBalancer.Submit(aCall, aNow);
    if (decision.kind_ == RoutingDecision::Kind::Queued) {
      waiters_.insert_or_assign(aCall.id_, std::move(aWaiter));
    }
    return decision;
  });
}

bool
ServiceEntry::CancelQueued(std::uint64_t aCallId, MonotonicTime aNow)
{
  return With([&](auto& aBalancer) {
    return aBalancer.CancelQueued(aCallId, aNow) && waiters_.erase(aCallId) > 0;
  });
}

std::optional<MonotonicTime>
ServiceEntry::ReleaseWaiting(MonotonicTime aNow)
{
  std::vector<std::pair<Waiter, RoutingDecision>> released;
  const auto next = With([&](auto& aBalancer) {
    for (const ReleasedCall& call : aBalancer.Release(aNow)) {
      if (auto node = waiters_.extract(call.callId_)) {
        released.emplace_back(std::move(node.mapped()), call.decision_);
      }
    }
    return aBalancer.NextRelease();
  });
  for (auto& [waiter, decision] : released) {
    waiter(decision);
  }
  return next;
}

ServiceDirectory::ServiceDirectory(InstanceId aSelf, ZoneName aZone, std::uint64_t aSeed)
  : self_(std::move(aSelf))
  , zone_(std::move(aZone))
  , nextSeed_(aSeed)
  , snapshot_(std::make_shared<const Snapshot>())
{
}

RouteEntry::RouteEntry(RouteConfig aConfig, std::vector<Part> aParts, double aPhase)
  : config_(std::move(aConfig))
  , workClass_(std::hash<std::string>()(config_.name_))
  , parts_(std::move(aParts))
  , credits_(parts_.size())
{
  if (!parts_.empty()) {
    credits_[static_cast<std::size_t>(aPhase * static_cast<double>(parts_.size())) %
             parts_.size()] = aPhase;
  }
}

std::shared_ptr<ServiceEntry>
RouteEntry::NextService()
{
  if (parts_.size() <= 1) {
    return parts_.empty() ? nullptr : parts_.front().service_;
  }
  const std::lock_guard lock(mutex_);
  double total = 0;
  for (const Part& part : parts_) {
    total += part.weight_;
  }
  if (total <= 0) {
    return nullptr;
  }
  std::size_t best = 0;
  for (std::size_t i = 0; i < parts_.size(); ++i) {
    credits_[i] += parts_[i].weight_ / total;
    if (credits_[i] > credits_[best]) {
      best = i;
    }
  }
  credits_[best] -= 1;
  return parts_[best].service_;
}

std::shared_ptr<RouteEntry>
ServiceDirectory::MakeRoute(
  const RouteConfig& aConfig,
  const std::unordered_map<ServiceName, std::shared_ptr<ServiceEntry>>& aServices)
{
  std::vector<RouteEntry::Part> parts;
  for (const WeightedService& part : aConfig.services_) {
    if (const auto found = aServices.find(part.service_);
        found != aServices.end() && part.weight_ > 0) {
      parts.push_back({ found->second, part.weight_ });
    }
  }
  Random random(nextSeed_++);
  return std::make_shared<RouteEntry>(
    aConfig, std::move(parts), static_cast<double>(random(1000)) / 1000);
}

void
ServiceDirectory::Apply(const RoutingTable& aTable, MonotonicTime aNow)
{
  std::unordered_map<ServiceName, std::shared_ptr<ServiceEntry>> known;
  for (const auto& entry : *All()) {
    known.emplace(entry->Config()->name_, entry);
  }
  auto snapshot = std::make_shared<Snapshot>();
  for (const ServiceRoute& route : aTable.services_) {
    auto& entry = known[route.config_.name_];
    if (!entry) {
      entry = std::make_shared<ServiceEntry>(route, zone_, nextSeed_++);
    }
    entry->Update(route, self_, aTable.instances_, aNow);
    snapshot->services_.push_back(entry);
    snapshot->byPrefix_.emplace(route.config_.pathPrefix_, entry);
  }
  snapshot->hasRoutes_ = !aTable.routes_.empty();
  for (const RouteConfig& route : aTable.routes_) {
    snapshot->routes_.emplace(route.host_ + route.pathPrefix_, MakeRoute(route, known));
  }
  const std::lock_guard lock(mutex_);
  snapshot_ = std::move(snapshot);
}

namespace {

// Tries the prefixes of a path, longest first, with and without their final slash.
template<typename Find>
auto
LongestPrefix(std::string_view aPath, Find aFind) -> decltype(aFind(aPath))
{
  if (auto entry = aFind(aPath)) {
    return entry;
  }
  for (std::size_t slash = aPath.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos : aPath.rfind('/', slash - 1)) {
    if (auto entry = aFind(aPath.substr(0, slash + 1))) {
      return entry;
    }
    if (auto entry = aFind(aPath.substr(0, slash))) {
      return entry;
    }
  }
  return nullptr;
}

// Lower case, without a port.
std::string
HostName(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](char aChar) {
    return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar - 'A' + 'a') : aChar;
  });
  return host;
}

} // namespace

RouteMatch
ServiceDirectory::Match(std::string_view aHost, std::string_view aPath) const
{
  const auto snapshot = Current();
  if (!snapshot->hasRoutes_) {
    return { nullptr, LongestPrefix(aPath, [&](std::string_view aPrefix) {
               const auto found = snapshot->byPrefix_.find(aPrefix);
               return found == snapshot->byPrefix_.end() ? nullptr : found->second;
             }) };
  }
  const std::string host = HostName(aHost);
  const auto route = LongestPrefix(aPath, [&](std::string_view aPrefix) {
    const auto found = snapshot->routes_.find(host + std::string(aPrefix));
    return found == snapshot->routes_.end() ? nullptr : found->second;
  });
  if (!route) {
    return {};
  }
  return { route, route->NextService() };
}

bool
ServiceDirectory::Configured() const
{
  const auto snapshot = Current();
  return snapshot->hasRoutes_ || !snapshot->services_.empty();
}

std::shared_ptr<const ServiceDirectory::Services>
ServiceDirectory::All() const
{
  const auto snapshot = Current();
  return { snapshot, &snapshot->services_ };
}

std::shared_ptr<const ServiceDirectory::Snapshot>
ServiceDirectory::Current() const
{
  const std::lock_guard lock(mutex_);
  return snapshot_;
}

} // namespace boragepier
