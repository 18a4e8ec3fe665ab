#include "boragepier/directory/directory_state.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

namespace boragepier {

DirectoryState::DirectoryState(InstanceId aSelf, const FleetSettings& aSettings)
  : self_(std::move(aSelf))
  , settings_(aSettings)
{
}

void
DirectoryState::SetFleetSettings(const FleetSettings& aSettings)
{
  settings_ = aSettings;
  ++settingsVersion_;
  routingChanged_ = true;
}

void
DirectoryState::ApplyChanges(std::span<const DecodedFeedRow> aItems, MonotonicTime aNow)
{
  for (const DecodedFeedRow& item : aItems) {
    ApplyItem(item, aNow);
  }
}

void
DirectoryState::ApplyItem(const DecodedFeedRow& aItem, MonotonicTime aNow)
{
  std::visit([&](const auto& aValue) { ApplyValue(aItem.key_, aValue, aNow); }, aItem.value_);
}

void
DirectoryState::ApplyConfigParts(std::span<const FeedRow> aParts)
{
  for (const FeedRow& part : aParts) {
    try {
      assembly_.Apply(part);
    } catch (const ConfigPartError& error) {
      OnUnreadable(part.key_, error.what());
    }
  }
}

void
DirectoryState::ActivateConfig(std::uint64_t aEra)
{
  const ConfigAssembly::Result result = assembly_.Activate(aEra);
  if (result == ConfigAssembly::Result::Activated) {
    routingChanged_ = true;
    events_.push_back({ DirectoryEventType::ConfigAccepted, std::to_string(ConfigVersion()), {} });
  } else if (result == ConfigAssembly::Result::Outdated) {
    events_.push_back(
      { DirectoryEventType::ConfigOutdated, std::to_string(assembly_.AppliedVersion()), {} });
  }
}

void
DirectoryState::ApplyEvacuations(std::span<const FeedRow> aRows)
{
  for (const FeedRow& row : aRows) {
    const ZoneName zone(row.key_);
    const bool changed =
      row.removed_ ? evacuatedZones_.erase(zone) > 0 : evacuatedZones_.insert(zone).second;
    if (changed) {
      routingChanged_ = true;
      const auto type =
        row.removed_ ? DirectoryEventType::ZoneRestored : DirectoryEventType::ZoneEvacuated;
      events_.push_back({ type, row.key_, {} });
    }
  }
}

void
DirectoryState::OnUnreadable(const std::string& aKey, const std::string& aError)
{
  events_.push_back({ DirectoryEventType::EntryUnreadable, aKey, aError });
}

void
DirectoryState::ApplyValue(const std::string& aKey, const UpstreamEntry& aEntry, MonotonicTime)
{
  auto [it, isNew] = upstreams_.try_emplace(aKey);
  Upstream& upstream = it->second;
  const bool wasLeaving = !isNew && upstream.entry_.endpoint_.leaving_;
  const bool unchanged = !isNew && upstream.entry_.service_ == aEntry.service_ &&
                         upstream.entry_.endpoint_ == aEntry.endpoint_;
  SetMissing(upstream, false);
  if (unchanged) {
    return;
  }
  upstream.entry_ = aEntry;
  routingChanged_ = true;
  if (isNew) {
    events_.push_back({ DirectoryEventType::UpstreamAdded, aKey, aEntry.service_.Text() });
  }
  if (aEntry.endpoint_.leaving_ && !wasLeaving) {
    events_.push_back({ DirectoryEventType::UpstreamLeaving, aKey, aEntry.service_.Text() });
  }
}

void
DirectoryState::ApplyValue(const std::string& aKey, const InstanceEntry& aEntry, MonotonicTime)
{
  const auto [it, isNew] = instances_.try_emplace(aKey);
  missingInstances_.erase(aKey);
  if (!isNew && it->second == aEntry) {
    return;
  }
  it->second = aEntry;
  routingChanged_ = true;
  instancesChanged_ = true;
  if (isNew) {
    events_.push_back({ DirectoryEventType::InstanceAdded, aKey, {} });
  }
}

void
DirectoryState::ApplyValue(const std::string& aKey,
                           const UnreadableEntry& aEntry,
                           MonotonicTime aNow)
{
  OnUnreadable(aKey, aEntry.error_);
  RemoveUpstream(aKey, aNow);
}

void
DirectoryState::ApplyValue(const std::string& aKey, const RemovedEntry&, MonotonicTime aNow)
{
  if (aNow < instanceGraceUntil_ && instances_.contains(aKey)) {
    missingInstances_.insert(aKey);
  } else if (instances_.erase(aKey) > 0) {
    routingChanged_ = true;
    instancesChanged_ = true;
  }
  RemoveUpstream(aKey, aNow);
}

void
DirectoryState::RemoveUpstream(const std::string& aKey, MonotonicTime aNow)
{
  const auto found = upstreams_.find(aKey);
  if (found == upstreams_.end() || found->second.missing_) {
    return;
  }
  // An upstream that was leaving does not register again.
  if (aNow < graceUntil_ && !found->second.entry_.endpoint_.leaving_) {
    SetMissing(found->second, true);
    events_.push_back({ DirectoryEventType::UpstreamEntryMissing, aKey, {} });
    return;
  }
  events_.push_back({ DirectoryEventType::UpstreamRemoved, aKey, {} });
  upstreams_.erase(found); // not missing, see above
  routingChanged_ = true;
}

void
DirectoryState::OnUpstreamsObserved(MonotonicTime aObservedAt, MonotonicTime aNow)
{
  const MonotonicTime previousObservedAt =
    std::exchange(upstreamsObservedAt_,
                  std::max(upstreamsObservedAt_.value_or(aObservedAt), aObservedAt))
      .value_or(aObservedAt);
  if (!observedSince_) {
    observedSince_ = aObservedAt;
  }
  const Duration gap = aObservedAt - previousObservedAt;
  // A shorter outage within the grace period keeps upstreams from registering again, so the grace
  // period restarts.
  const bool outageDuringGrace =
    previousObservedAt < graceUntil_ && gap >= settings_.heartbeatInterval_;
  if (std::exchange(upstreamRestorePending_, false)) {
    graceOfRestore_ = true;
    observedSince_ = aObservedAt;
    graceUntil_ = std::max(graceUntil_, aNow + kReregistrationGrace);
    return;
  }
  if (gap >= MinOutage() || outageDuringGrace) {
    if (!InGracePeriod(aNow)) {
      lastSeenBeforeOutage_ = previousObservedAt;
      graceOfRestore_ = false;
    }
    observedSince_ = aObservedAt;
    graceUntil_ = std::max(graceUntil_, aNow + kReregistrationGrace);
    events_.push_back({ DirectoryEventType::GracePeriodStarted,
                        std::to_string(std::llround(ToMilliseconds(gap))),
                        {} });
  }
}

void
DirectoryState::OnObservedElsewhere(MonotonicTime aSince, MonotonicTime aUntil, MonotonicTime aNow)
{
  if (!upstreamsObservedAt_ || aUntil < aSince) {
    return;
  }
  if (InGracePeriod(aNow)) {
    if (!graceOfRestore_ && aSince < lastSeenBeforeOutage_ + MinOutage() &&
        *observedSince_ < aUntil + MinOutage()) {
      graceUntil_ = aNow;
      observedSince_ = aSince;
      RemoveMissingUpstreams(aNow);
    }
  } else if (aSince < *upstreamsObservedAt_ + MinOutage() && aUntil > *upstreamsObservedAt_) {
    upstreamsObservedAt_ = aUntil;
    observedSince_ = std::min(*observedSince_, aSince);
  }
}

void
DirectoryState::OnStoreRestored(std::uint64_t aEra)
{
  upstreamRestorePending_ = true;
  instanceRestorePending_ = true;
  events_.push_back({ DirectoryEventType::StoreRestored, std::to_string(aEra), {} });
}

void
DirectoryState::OnInstancesObserved(MonotonicTime aNow)
{
  if (std::exchange(instanceRestorePending_, false)) {
    instanceGraceUntil_ = aNow + kReregistrationGrace;
  }
}

void
DirectoryState::RemoveMissing(MonotonicTime aNow)
{
  RemoveMissingUpstreams(aNow);
  RemoveMissingInstances(aNow);
}

void
DirectoryState::RemoveMissingInstances(MonotonicTime aNow)
{
  if (aNow < instanceGraceUntil_ || missingInstances_.empty()) {
    return;
  }
  for (const std::string& key : std::exchange(missingInstances_, {})) {
    instances_.erase(key);
  }
  routingChanged_ = true;
  instancesChanged_ = true;
}

void
DirectoryState::RemoveMissingUpstreams(MonotonicTime aNow)
{
  if (aNow < graceUntil_ || missingCount_ == 0) {
    return;
  }
  std::erase_if(upstreams_, [&](const auto& aUpstream) {
    const auto& [key, upstream] = aUpstream;
    if (upstream.missing_) {
      events_.push_back({ DirectoryEventType::UpstreamRemoved, key, "missing after an outage" });
      routingChanged_ = true;
    }
    return upstream.missing_;
  });
  missingCount_ = 0;
}

std::optional<MonotonicTime>
DirectoryState::NextRemoval() const
{
  std::optional<MonotonicTime> next;
  if (missingCount_ > 0) {
    next = graceUntil_;
  }
  if (!missingInstances_.empty()) {
    next = std::min(next.value_or(instanceGraceUntil_), instanceGraceUntil_);
  }
  return next;
}

void
DirectoryState::SetMissing(Upstream& aUpstream, bool aMissing)
{
  if (std::exchange(aUpstream.missing_, aMissing) != aMissing) {
    missingCount_ += aMissing ? 1 : -1;
  }
}

bool
DirectoryState::TakeRoutingChanged()
{
  return std::exchange(routingChanged_, false);
}

bool
DirectoryState::TakeInstancesChanged()
{
  return std::exchange(instancesChanged_, false);
}

std::vector<DirectoryEvent>
DirectoryState::TakeEvents()
{
  return std::exchange(events_, {});
}

std::vector<InstanceEntry>
DirectoryState::Instances() const
{
  std::vector<InstanceEntry> instances;
  for (const auto& [key, instance] : instances_) {
    instances.push_back(instance);
  }
  return instances;
}

bool
DirectoryState::IsListed(const InstanceEntry& aInstance) const
{
  const auto found = instances_.find(aInstance.id_.Text());
  return found != instances_.end() && found->second == aInstance &&
         !missingInstances_.contains(found->first);
}

std::shared_ptr<const RoutingTable>
DirectoryState::MakeRoutingTable() const
{
  auto table = std::make_shared<RoutingTable>();
  table->instances_.push_back(self_);
  for (const auto& [key, instance] : instances_) {
    if (instance.id_ != self_) {
      table->instances_.push_back(instance.id_);
    }
  }
  table->evacuatedZones_.assign(evacuatedZones_.begin(), evacuatedZones_.end());
  const auto& config = assembly_.Active();
  if (!config) {
    return table;
  }
  table->routesVersion_ = config->version_;
  table->routes_ = config->routes_;
  table->callerLimits_ = config->limits_;
  table->keysRequired_ = config->keysRequired_;
  table->teams_ = config->teams_;
  std::unordered_map<ServiceName, std::vector<UpstreamEndpoint>> upstreamsByService;
  for (const auto& [key, upstream] : upstreams_) {
    UpstreamEndpoint& endpoint =
      upstreamsByService[upstream.entry_.service_].emplace_back(upstream.entry_.endpoint_);
    endpoint.evacuated_ = evacuatedZones_.contains(endpoint.zone_);
  }
  for (ServiceConfig service : *config->services_) {
    service.retryRatio_ = settings_.retryRatio_;
    service.retrySlack_ = settings_.retrySlack_;
    service.retryWindow_ = settings_.retryWindow_;
    service.probesPerUpstreamSecond_ = settings_.probesPerUpstreamSecond_;
    service.coldOverage_ = settings_.coldOverage_;
    service.coldSlack_ = settings_.coldSlack_;
    auto& upstreams = upstreamsByService[service.name_];
    table->services_.push_back(
      { std::move(service), config->version_, std::move(upstreams), settingsVersion_ });
  }
  return table;
}

} // namespace boragepier
