#include "boragepier/decision/balancer_impl.h"

#include <algorithm>

#include "boragepier/decision/attempt_rules.h"
#include "boragepier/decision/home_subset.h"

namespace boragepier {

namespace {

// Upstreams that one instance prefers. 1 to 4 differ by less than 0.5 ms at p99.
constexpr std::size_t kHomeSize = 3;

} // namespace

ServiceBalancer::Impl::Impl(ServiceConfig aConfig, ZoneName aLocalZone, std::uint64_t aSeed)
  : config_(std::move(aConfig))
  , localZone_(std::move(aLocalZone))
  , random_(aSeed)
  , policy_(MakeChoicePolicy(config_.policy_))
  , load_(config_.slots_)
  , ejection_(config_.maxEjectedShare_)
  , queue_(config_.queueLimit_)
  , retryBudget_(config_.retryRatio_)
  , hedgeBudget_(config_.hedgeRatio_)
{
}

void
ServiceBalancer::Impl::SetConfig(ServiceConfig aConfig, MonotonicTime)
{
  if (aConfig.policy_ != config_.policy_) {
    policy_ = MakeChoicePolicy(aConfig.policy_);
  }
  config_ = std::move(aConfig);
  load_.SetSlots(config_.slots_);
  ejection_.SetMaxShare(config_.maxEjectedShare_);
  queue_.SetLimit(config_.queueLimit_);
  retryBudget_.SetShare(config_.retryRatio_);
  hedgeBudget_.SetShare(config_.hedgeRatio_);
  RefreshDerived();
}

void
ServiceBalancer::Impl::SetUpstreams(std::span<const UpstreamEndpoint> aUpstreams, MonotonicTime)
{
  const bool first = upstreams_.empty();
  for (const std::uint32_t index : present_) {
    upstreams_[index].present_ = false;
  }
  present_.clear();
  for (const UpstreamEndpoint& endpoint : aUpstreams) {
    const auto [known, isNew] =
      byId_.try_emplace(endpoint.id_, static_cast<std::uint32_t>(upstreams_.size()));
    const std::uint32_t index = known->second;
    if (isNew) {
      upstreams_.emplace_back();
      load_.Add();
      ejection_.Add(!first);
    } else if (endpoint.startNumber_ > upstreams_[index].endpoint_->startNumber_) {
      load_.Reset(index);
      ejection_.Restart(index);
      upstreams_[index].leavingUntil_ = MonotonicTime();
    }
    upstreams_[index].endpoint_ = std::make_shared<const UpstreamEndpoint>(endpoint);
    upstreams_[index].present_ = true;
    present_.push_back(index);
  }
  RefreshDerived();
}

void
ServiceBalancer::Impl::SetFleet(const InstanceId& aSelf, std::span<const InstanceId> aInstances)
{
  self_ = aSelf;
  instances_.assign(aInstances.begin(), aInstances.end());
  RefreshDerived();
}

void
ServiceBalancer::Impl::RefreshDerived()
{
  std::vector<std::string_view> ids;
  for (const std::uint32_t index : present_) {
    Upstream& upstream = upstreams_[index];
    upstream.home_ = false;
    const bool local = upstream.endpoint_->zone_ == localZone_;
    upstream.extraTripMs_ = local ? 0 : 2 * ToMilliseconds(config_.zoneOneWayDelay_);
    ids.push_back(upstream.endpoint_->id_.View());
  }
  homes_.clear();
  for (const std::size_t position : HomeSubset(self_, instances_, ids, kHomeSize)) {
    homes_.push_back(present_[position]);
    upstreams_[present_[position]].home_ = true;
  }
  ejection_.SetPresent(present_.size());
  probeBudget_.SetRate(config_.probesPerUpstreamSecond_, present_.size(), instances_.size());
}

void
ServiceBalancer::Impl::MarkLeaving(UpstreamHandle aUpstream, MonotonicTime aNow)
{
  upstreams_.at(static_cast<std::size_t>(aUpstream)).leavingUntil_ = aNow + kLeavingLifetime;
}

bool
ServiceBalancer::Impl::TakesWork(std::size_t aIndex, MonotonicTime aNow) const
{
  const Upstream& upstream = upstreams_[aIndex];
  return upstream.present_ && !upstream.endpoint_->leaving_ && upstream.leavingUntil_ <= aNow;
}

std::shared_ptr<const UpstreamEndpoint>
ServiceBalancer::Impl::Endpoint(UpstreamHandle aUpstream) const
{
  return upstreams_.at(static_cast<std::size_t>(aUpstream)).endpoint_;
}

std::optional<UpstreamHandle>
ServiceBalancer::Impl::Find(const UpstreamId& aId) const
{
  const auto found = byId_.find(aId);
  if (found == byId_.end() || !upstreams_[found->second].present_) {
    return std::nullopt;
  }
  return UpstreamHandle{ found->second };
}

unsigned
ServiceBalancer::Impl::ConnectionLimit() const
{
  const auto instances = std::max<std::size_t>(1, instances_.size());
  return std::max(1U, config_.connectionsPerUpstream_ / static_cast<unsigned>(instances));
}

std::vector<CandidateInfo>
ServiceBalancer::Impl::Candidates(MonotonicTime aNow) const
{
  std::vector<CandidateInfo> candidates;
  for (const std::uint32_t index : present_) {
    const Upstream& upstream = upstreams_[index];
    CandidateInfo& info = candidates.emplace_back();
    info.id_ = upstream.endpoint_->id_;
    info.zone_ = upstream.endpoint_->zone_;
    info.ownOutstanding_ = load_.Own(index);
    info.othersEstimate_ = load_.Others(index, aNow);
    info.expectedWaitMs_ = load_.ExpectedWait(index, aNow) * load_.ServiceMs(index);
    info.standing_ = ejection_.Standing(index, aNow);
    info.leaving_ = !TakesWork(index, aNow);
  }
  return candidates;
}

} // namespace boragepier
