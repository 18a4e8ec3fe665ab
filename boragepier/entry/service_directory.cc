#include "boragepier/entry/service_directory.h"

#include <utility>

namespace boragepier {

ServiceEntry::ServiceEntry(const ServiceRoute& aRoute, const ZoneName& aZone, std::uint64_t aSeed)
  : config_(std::make_shared<const ServiceConfig>(aRoute.config_))
  , version_(aRoute.version_)
  , balancer_(aRoute.config_, aZone, aSeed)
{
}

void
ServiceEntry::Update(const ServiceRoute& aRoute,
                     const InstanceId& aSelf,
                     const std::vector<InstanceId>& aInstances,
                     MonotonicTime aNow)
{
  const std::lock_guard lock(mutex_);
  if (aRoute.version_ != version_) {
    config_ = std::make_shared<const ServiceConfig>(aRoute.config_);
    version_ = aRoute.version_;
    balancer_.SetConfig(aRoute.config_, aNow);
  }
  balancer_.SetUpstreams(aRoute.upstreams_, aNow);
  balancer_.SetFleet(aSelf, aInstances, aNow);
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

Choice
ServiceEntry::Submit(const CallInfo& aCall, MonotonicTime aNow, Waiter aWaiter)
{
  const std::lock_guard lock(mutex_);
  const Choice choice = balancer_.Submit(aCall, aNow);
  if (choice.kind_ == Choice::Kind::Queued) {
    waiters_.insert_or_assign(aCall.id_, std::move(aWaiter));
  }
  return choice;
}

bool
ServiceEntry::CancelQueued(std::uint64_t aCallId, MonotonicTime aNow)
{
  const std::lock_guard lock(mutex_);
  if (!balancer_.CancelQueued(aCallId, aNow)) {
    return false;
  }
  waiters_.erase(aCallId);
  return true;
}

std::optional<MonotonicTime>
ServiceEntry::ReleaseWaiting(MonotonicTime aNow)
{
  std::vector<std::pair<Waiter, Choice>> released;
  std::optional<MonotonicTime> next;
  {
    const std::lock_guard lock(mutex_);
    for (const ReleasedCall& call : balancer_.Release(aNow)) {
      if (auto node = waiters_.extract(call.callId_)) {
        released.emplace_back(std::move(node.mapped()), call.choice_);
      }
    }
    next = balancer_.NextRelease();
  }
  for (auto& [waiter, choice] : released) {
    waiter(choice);
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
  const std::lock_guard lock(mutex_);
  snapshot_ = std::move(snapshot);
}

std::shared_ptr<ServiceEntry>
ServiceDirectory::Match(std::string_view aPath) const
{
  const auto snapshot = Current();
  const auto find = [&](std::string_view aPrefix) -> std::shared_ptr<ServiceEntry> {
    const auto found = snapshot->byPrefix_.find(aPrefix);
    return found == snapshot->byPrefix_.end() ? nullptr : found->second;
  };
  if (auto entry = find(aPath)) {
    return entry;
  }
  for (std::size_t slash = aPath.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos : aPath.rfind('/', slash - 1)) {
    if (auto entry = find(aPath.substr(0, slash + 1))) {
      return entry;
    }
    if (auto entry = find(aPath.substr(0, slash))) {
      return entry;
    }
  }
  return nullptr;
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
