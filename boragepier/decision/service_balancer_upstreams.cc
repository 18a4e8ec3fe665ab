#include "boragepier/decision/service_balancer_impl.h"

#include <algorithm>

#include "boragepier/decision/attempt_rules.h"
#include "boragepier/decision/preferred_subset.h"
#include "boragepier/decision/upstream_start.h"

namespace boragepier {

namespace {

// Number of upstreams that an instance prefers. With 1 to 4, p99 differs by less than 0.5 ms.
constexpr std::size_t kPreferredSubsetSize = 3;

} // namespace

ServiceBalancer::Impl::Impl(ServiceConfig aConfig, ZoneName aLocalZone, std::uint64_t aSeed)
  : config_(std::move(aConfig))
  , localZone_(std::move(aLocalZone))
  , random_(aSeed)
  , policy_(MakeChoicePolicy(config_.policy_))
  , loadEstimator_(config_.slots_)
  , outlierEjection_(config_.maxEjectedShare_)
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
  loadEstimator_.SetSlots(config_.slots_);
  outlierEjection_.SetMaxShare(config_.maxEjectedShare_);
  queue_.SetLimit(config_.queueLimit_);
  retryBudget_.SetShare(config_.retryRatio_);
  hedgeBudget_.SetShare(config_.hedgeRatio_);
  RecomputeDerivedState();
}

void
ServiceBalancer::Impl::SetUpstreams(std::span<const UpstreamEndpoint> aUpstreams, MonotonicTime)
{
  const bool firstList = upstreams_.empty();
  for (const std::uint32_t index : listed_) {
    upstreams_[index].listed_ = false;
  }
  listed_.clear();
  for (const UpstreamEndpoint& endpoint : aUpstreams) {
    const auto [entry, isNew] =
      byId_.try_emplace(endpoint.id_, static_cast<std::uint32_t>(upstreams_.size()));
    const std::uint32_t index = entry->second;
    if (isNew) {
      upstreams_.emplace_back();
      loadEstimator_.Add();
      outlierEjection_.Add(!firstList);
    } else {
      if (endpoint.startNumber_ > upstreams_[index].endpoint_->startNumber_) {
        loadEstimator_.Reset(index);
        outlierEjection_.Restart(index);
      }
      if (!IsSameStart(*upstreams_[index].endpoint_, endpoint)) {
        upstreams_[index].markedLeaving_ = false;
        upstreams_[index].pause_ = {};
      }
    }
    upstreams_[index].endpoint_ = std::make_shared<const UpstreamEndpoint>(endpoint);
    upstreams_[index].listed_ = true;
    listed_.push_back(index);
  }
  RecomputeDerivedState();
}

void
ServiceBalancer::Impl::SetFleet(const InstanceId& aSelf, std::span<const InstanceId> aInstances)
{
  self_ = aSelf;
  instances_.assign(aInstances.begin(), aInstances.end());
  RecomputeDerivedState();
}

void
ServiceBalancer::Impl::RecomputeDerivedState()
{
  std::vector<std::string_view> ids;
  for (const std::uint32_t index : listed_) {
    Upstream& upstream = upstreams_[index];
    upstream.preferred_ = false;
    const bool local = upstream.endpoint_->zone_ == localZone_;
    upstream.crossZoneRttMs_ = local ? 0 : 2 * ToMilliseconds(config_.zoneOneWayDelay_);
    ids.push_back(upstream.endpoint_->id_.View());
  }
  preferredSubset_.clear();
  for (const std::size_t position : PreferredSubset(self_, instances_, ids, kPreferredSubsetSize)) {
    preferredSubset_.push_back(listed_[position]);
    upstreams_[listed_[position]].preferred_ = true;
  }
  outlierEjection_.SetUpstreamCount(listed_.size());
  probeBudget_.SetRate(config_.probesPerUpstreamSecond_, listed_.size(), instances_.size());
}

void
ServiceBalancer::Impl::MarkLeaving(UpstreamHandle aUpstream)
{
  upstreams_.at(static_cast<std::size_t>(aUpstream)).markedLeaving_ = true;
}

Duration
ServiceBalancer::Impl::BeginPause(UpstreamHandle aUpstream, Duration aDuration, MonotonicTime aNow)
{
  return upstreams_.at(static_cast<std::size_t>(aUpstream)).pause_.Begin(aDuration, aNow);
}

PauseSummary
ServiceBalancer::Impl::SummarizePauses(MonotonicTime aNow) const
{
  PauseSummary summary;
  for (const std::uint32_t index : listed_) {
    if (IsInUse(index)) {
      summary.Add(upstreams_[index].pause_, aNow);
    }
    // The rest matters only while no upstream admits requests.
    if (summary.AnyAdmits()) {
      break;
    }
  }
  return summary;
}

Duration
ServiceBalancer::Impl::RetryAfterAllPause(MonotonicTime aNow)
{
  const auto end = SummarizePauses(aNow).EndIfAllPause();
  return end ? RetryAfterPause(*end, aNow, random_) : Duration(0);
}

bool
ServiceBalancer::Impl::AcceptsRequests(std::size_t aIndex, MonotonicTime aNow) const
{
  return IsInUse(aIndex) && upstreams_[aIndex].pause_.StateAt(aNow) == UpstreamPause::State::None;
}

bool
ServiceBalancer::Impl::IsInUse(std::size_t aIndex) const
{
  const Upstream& upstream = upstreams_[aIndex];
  return upstream.listed_ && !upstream.endpoint_->leaving_ && !upstream.endpoint_->evacuated_ &&
         !upstream.markedLeaving_;
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
  if (found == byId_.end() || !upstreams_[found->second].listed_) {
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
  for (const std::uint32_t index : listed_) {
    const Upstream& upstream = upstreams_[index];
    CandidateInfo& info = candidates.emplace_back();
    info.id_ = upstream.endpoint_->id_;
    info.zone_ = upstream.endpoint_->zone_;
    info.ownOutstanding_ = loadEstimator_.OwnOutstanding(index);
    info.othersEstimate_ = loadEstimator_.OthersEstimate(index, aNow);
    info.expectedWaitMs_ =
      loadEstimator_.ExpectedWaitServiceTimes(index, aNow) * loadEstimator_.ServiceTimeMs(index);
    info.healthWeight_ = outlierEjection_.HealthWeight(index, aNow);
    info.leaving_ = !IsInUse(index);
    info.evacuated_ = upstreams_[index].endpoint_->evacuated_;
    if (upstream.pause_.StateAt(aNow) == UpstreamPause::State::Paused) {
      info.pausedFor_ = upstream.pause_.End() - aNow;
    }
  }
  return candidates;
}

} // namespace boragepier
