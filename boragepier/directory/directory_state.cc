#include "boragepier/directory/directory_state.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

namespace boragepier {

DirectoryState::DirectoryState(InstanceId aSelf, const FleetTerms& aTerms)
  : self_(std::move(aSelf))
  , terms_(aTerms)
{
}

void
DirectoryState::SetTerms(const FleetTerms& aTerms)
{
  terms_ = aTerms;
  ++termsVersion_;
  changed_ = true;
}

void
DirectoryState::OnChanges(std::span<const DecodedFeedRow> aItems, MonotonicTime aNow)
{
  for (const DecodedFeedRow& item : aItems) {
    OnItem(item, aNow);
  }
}

void
DirectoryState::OnItem(const DecodedFeedRow& aItem, MonotonicTime aNow)
{
  std::visit([&](const auto& aValue) { OnValue(aItem.key_, aValue, aNow); }, aItem.value_);
}

void
DirectoryState::OnValue(const std::string&, const FleetConfig& aConfig, MonotonicTime)
{
  const std::string version = std::to_string(aConfig.version_);
  if (aConfig.version_ <= ConfigVersion()) {
    if (aConfig.version_ < ConfigVersion()) {
      events_.push_back({ DirectoryChange::ConfigOutdated, version, {} });
    }
    return;
  }
  config_ = std::make_shared<const FleetConfig>(aConfig);
  changed_ = true;
  events_.push_back({ DirectoryChange::ConfigAccepted, version, {} });
}

void
DirectoryState::OnValue(const std::string& aKey, const UpstreamEntry& aEntry, MonotonicTime)
{
  auto [place, isNew] = upstreams_.try_emplace(aKey);
  Upstream& upstream = place->second;
  const bool wasLeaving = !isNew && upstream.entry_.endpoint_.leaving_;
  const bool same = !isNew && upstream.entry_.service_ == aEntry.service_ &&
                    upstream.entry_.endpoint_ == aEntry.endpoint_;
  upstream.missing_ = false;
  if (same) {
    return;
  }
  upstream.entry_ = aEntry;
  changed_ = true;
  if (isNew) {
    events_.push_back({ DirectoryChange::UpstreamAdded, aKey, aEntry.service_.Text() });
  }
  if (aEntry.endpoint_.leaving_ && !wasLeaving) {
    events_.push_back({ DirectoryChange::UpstreamLeaving, aKey, aEntry.service_.Text() });
  }
}

void
DirectoryState::OnValue(const std::string& aKey, const InstanceEntry& aEntry, MonotonicTime)
{
  changed_ = true;
  if (instances_.insert_or_assign(aKey, aEntry).second) {
    events_.push_back({ DirectoryChange::InstanceAdded, aKey, {} });
  }
}

void
DirectoryState::OnValue(const std::string& aKey, const UnreadableEntry& aEntry, MonotonicTime aNow)
{
  events_.push_back({ DirectoryChange::EntryUnreadable, aKey, aEntry.error_ });
  RemoveUpstream(aKey, aNow);
}

void
DirectoryState::OnValue(const std::string& aKey, const RemovedEntry&, MonotonicTime aNow)
{
  changed_ = instances_.erase(aKey) > 0 || changed_;
  RemoveUpstream(aKey, aNow);
}

void
DirectoryState::RemoveUpstream(const std::string& aKey, MonotonicTime aNow)
{
  const auto found = upstreams_.find(aKey);
  if (found == upstreams_.end() || found->second.missing_) {
    return;
  }
  // An upstream that was leaving does not come back.
  if (aNow < graceUntil_ && !found->second.entry_.endpoint_.leaving_) {
    found->second.missing_ = true;
    events_.push_back({ DirectoryChange::UpstreamDoubtful, aKey, {} });
    return;
  }
  events_.push_back({ DirectoryChange::UpstreamRemoved, aKey, {} });
  upstreams_.erase(found);
  changed_ = true;
}

void
DirectoryState::OnUpstreamsSeen(MonotonicTime aSeenAt, MonotonicTime aNow)
{
  const MonotonicTime before =
    std::exchange(seenAt_, std::max(seenAt_.value_or(aSeenAt), aSeenAt)).value_or(aSeenAt);
  const Duration gap = aSeenAt - before;
  // Upstreams that an outage keeps from returning after another one get the grace time again.
  const bool interrupted = before < graceUntil_ && gap >= terms_.heartbeat_;
  if (gap >= kLapseHeartbeats * terms_.heartbeat_ || interrupted) {
    graceUntil_ = std::max(graceUntil_, aNow + kReturnGrace);
    events_.push_back(
      { DirectoryChange::EntriesAwaited, std::to_string(std::llround(ToMilliseconds(gap))), {} });
  }
}

void
DirectoryState::Advance(MonotonicTime aNow)
{
  if (aNow < graceUntil_) {
    return;
  }
  std::erase_if(upstreams_, [&](const auto& aUpstream) {
    const auto& [key, upstream] = aUpstream;
    if (upstream.missing_) {
      events_.push_back({ DirectoryChange::UpstreamRemoved, key, "missing after an outage" });
      changed_ = true;
    }
    return upstream.missing_;
  });
}

std::optional<MonotonicTime>
DirectoryState::NextAdvance() const
{
  const bool missing = std::any_of(upstreams_.begin(), upstreams_.end(), [](const auto& aUpstream) {
    return aUpstream.second.missing_;
  });
  return missing ? std::optional(graceUntil_) : std::nullopt;
}

bool
DirectoryState::TakeChanged()
{
  return std::exchange(changed_, false);
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

std::shared_ptr<const RoutingTable>
DirectoryState::Table() const
{
  auto table = std::make_shared<RoutingTable>();
  table->instances_.push_back(self_);
  for (const auto& [key, instance] : instances_) {
    if (instance.id_ != self_) {
      table->instances_.push_back(instance.id_);
    }
  }
  if (!config_) {
    return table;
  }
  table->version_ = config_->version_;
  table->routes_ = config_->routes_;
  table->limits_ = config_->limits_;
  std::unordered_map<ServiceName, std::vector<UpstreamEndpoint>> byService;
  for (const auto& [key, upstream] : upstreams_) {
    byService[upstream.entry_.service_].push_back(upstream.entry_.endpoint_);
  }
  for (ServiceConfig service : config_->services_) {
    service.retryRatio_ = terms_.retryRatio_;
    service.retrySlack_ = terms_.retrySlack_;
    service.retryWindow_ = terms_.retryWindow_;
    service.probesPerUpstreamSecond_ = terms_.probesPerUpstreamSecond_;
    auto& upstreams = byService[service.name_];
    table->services_.push_back(
      { std::move(service), config_->version_, std::move(upstreams), termsVersion_ });
  }
  return table;
}

} // namespace boragepier
