#include "boragepier/decision/fresh_balancer.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>

#include <xxhash.h>

#include "boragepier/decision/attempt_rules.h"

namespace boragepier {

namespace {

// Upstreams among which one instance chooses. Bounds the cost of a choice and the number of
// connections; the upstreams of other zones have a part of their own for the loss of the own zone.
constexpr std::size_t kScanLimit = 24;
constexpr std::size_t kMinRemoteScan = 8;
// Upstreams listed in explain records, and the age of a report up to which one of a large service
// counts as considered.
constexpr std::size_t kMaxCandidates = 16;
constexpr Duration kConsideredAge = std::chrono::seconds(1);

// A request that is given up after this multiple of its expected time counts against the upstream.
constexpr double kSlowOutcomeFactor = 3;
constexpr double kSlowOutcomeWeight = 0.5;
constexpr double kTypicalWorkWeight = 0.05;
// From this slowness on a machine explains that requests take long.
constexpr double kSlowMachine = 2;
// The limit on probes holds over longer times, so that a burst of requests may use what was saved.
constexpr double kProbeBurstSeconds = 2;
// Undoes the allowance that ProbeBudget makes for a list that lacks instances: entries of the store
// are never removed, so the list rather holds too many.
constexpr double kProbeShare = 1.45;
// Work that is assumed for an unknown class, as a share of the time to its latency target.
constexpr double kUnknownWorkShare = 0.35;

bool
IsUpstreamFault(const AttemptReport& aReport)
{
  switch (aReport.failure_) {
    case AttemptFailure::None:
      return aReport.status_ >= 500;
    case AttemptFailure::Refused:
    case AttemptFailure::Cancelled:
    case AttemptFailure::ResponseTooLarge:
      return false;
    default:
      return true;
  }
}

} // namespace

FreshBalancer::FreshBalancer(ServiceConfig aConfig, ZoneName aLocalZone, std::uint64_t aSeed)
  : config_(std::move(aConfig))
  , localZone_(std::move(aLocalZone))
  , random_(aSeed)
{
  RefreshDerived();
}

void
FreshBalancer::SetConfig(ServiceConfig aConfig, MonotonicTime)
{
  config_ = std::move(aConfig);
  RefreshDerived();
}

void
FreshBalancer::SetUpstreams(std::span<const UpstreamEndpoint> aUpstreams, MonotonicTime)
{
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
    }
    Upstream& upstream = upstreams_[index];
    if (!isNew && endpoint.startNumber_ > upstream.endpoint_->startNumber_) {
      upstream.belief_.Reset();
      upstream.leavingUntil_ = MonotonicTime();
    }
    if (isNew || *upstream.endpoint_ != endpoint) {
      upstream.endpoint_ = std::make_shared<const UpstreamEndpoint>(endpoint);
    }
    upstream.present_ = true;
    present_.push_back(index);
  }
  RefreshDerived();
}

void
FreshBalancer::SetFleet(const InstanceId& aSelf,
                        std::span<const InstanceId> aInstances,
                        MonotonicTime)
{
  self_ = aSelf;
  instances_ = std::max<std::size_t>(1, aInstances.size());
  RefreshDerived();
}

void
FreshBalancer::RefreshDerived()
{
  // Rendezvous hashing: each instance has an order of its own that changes little with the list.
  const std::uint64_t seed = XXH64(self_.View().data(), self_.View().size(), 0);
  std::vector<std::pair<std::uint64_t, std::uint32_t>> local;
  std::vector<std::pair<std::uint64_t, std::uint32_t>> remote;
  for (const std::uint32_t index : present_) {
    Upstream& upstream = upstreams_[index];
    upstream.local_ = upstream.endpoint_->zone_ == localZone_;
    const std::string_view id = upstream.endpoint_->id_.View();
    (upstream.local_ ? local : remote).emplace_back(XXH64(id.data(), id.size(), seed), index);
  }
  scanned_.clear();
  const auto scan = [&](auto& aOrder, std::size_t aLimit) {
    std::sort(aOrder.begin(), aOrder.end());
    for (std::size_t i = 0; i < std::min(aLimit, aOrder.size()); ++i) {
      const std::uint32_t index = aOrder[i].second;
      upstreams_[index].preference_ = static_cast<double>(i) / static_cast<double>(aOrder.size());
      scanned_.push_back(index);
    }
  };
  scan(local, kScanLimit - std::min(remote.size(), kMinRemoteScan));
  scan(remote, std::max(kMinRemoteScan, kScanLimit - std::min(kScanLimit, scanned_.size())));
  probeBudget_.SetRate(kProbeShare * config_.probesPerUpstreamSecond_,
                       present_.size(),
                       instances_,
                       kProbeBurstSeconds);
  retryBudget_.SetTerms(config_.retryRatio_, config_.retrySlack_, config_.retryWindow_);
  retryBudget_.SetInstances(instances_);
}

void
FreshBalancer::MarkLeaving(UpstreamHandle aUpstream, MonotonicTime aNow)
{
  upstreams_.at(static_cast<std::size_t>(aUpstream)).leavingUntil_ = aNow + kLeavingLifetime;
}

bool
FreshBalancer::TakesWork(const Upstream& aUpstream, MonotonicTime aNow) const
{
  return aUpstream.present_ && !aUpstream.endpoint_->leaving_ && aUpstream.leavingUntil_ <= aNow;
}

unsigned
FreshBalancer::SlotsOf(const Upstream& aUpstream) const
{
  if (const auto& report = aUpstream.belief_.Report(); report && report->slots_ > 0) {
    return report->slots_;
  }
  return aUpstream.endpoint_->slots_ > 0 ? aUpstream.endpoint_->slots_ : config_.slots_;
}

double
FreshBalancer::WorkMs(const CallInfo& aCall) const
{
  const double target = ToMilliseconds(aCall.target_ - aCall.arrival_);
  return work_.MeanMs(aCall.workClass_, kUnknownWorkShare * std::max(0.0, target));
}

void
FreshBalancer::LearnFrom(const AttemptReport& aReport, MonotonicTime aNow)
{
  const auto index = static_cast<std::uint32_t>(aReport.upstream_);
  const MonotonicTime sentAt = aNow - aReport.latency_;
  auto nearest = sent_.end();
  for (auto one = sent_.begin(); one != sent_.end(); ++one) {
    if (one->index_ == index &&
        (nearest == sent_.end() ||
         std::chrono::abs(one->at_ - sentAt) < std::chrono::abs(nearest->at_ - sentAt))) {
      nearest = one;
    }
  }
  if (nearest == sent_.end()) {
    return;
  }
  const Sent sent = *nearest;
  sent_.erase(nearest);
  UpstreamBelief& belief = upstreams_[index].belief_;
  const double latencyMs = ToMilliseconds(aReport.latency_);
  // A time limit that passes on a slow machine says nothing about the upstream.
  const bool slow =
    sent.slowness_ > kSlowMachine || (belief.Report() && belief.Report()->slowness_ > kSlowMachine);
  if (aReport.failure_ == AttemptFailure::Timeout && slow) {
    return;
  }
  if (IsUpstreamFault(aReport)) {
    belief.OnOutcome(true, 1, aNow);
  } else if (aReport.failure_ == AttemptFailure::None) {
    belief.OnOutcome(false, 1, aNow);
    const double sinceLook = ToMilliseconds(aNow - sent.lookedAt_);
    const double workMs = sent.doneMs_ + pace_.WorkMs(sinceLook, sent.slowness_);
    const unsigned slots = SlotsOf(upstreams_[index]);
    occupancy_.Add(sent.inFlight_, slots, workMs, work_.MeanMs(sent.workClass_, 0));
    typicalWorkMs_ += kTypicalWorkWeight * (workMs - typicalWorkMs_);
    if (OccupancyModel::IsEmpty(sent.inFlight_) || work_.MeanMs(sent.workClass_, 0) <= 0) {
      work_.Add(sent.workClass_, workMs);
    }
  } else if (aReport.failure_ == AttemptFailure::Cancelled &&
             latencyMs > kSlowOutcomeFactor * sent.expectedMs_) {
    // An upstream that hangs shows only in requests that were given up.
    belief.OnOutcome(true, kSlowOutcomeWeight, aNow);
  }
}

void
FreshBalancer::OnAttemptEnded(const AttemptReport& aReport, MonotonicTime aNow)
{
  Upstream& upstream = upstreams_.at(static_cast<std::size_t>(aReport.upstream_));
  upstream.belief_.OnEnded(aReport.latency_, aNow);
  LearnFrom(aReport, aNow);
  if (aReport.draining_) {
    MarkLeaving(aReport.upstream_, aNow);
  }
  if (aReport.failure_ == AttemptFailure::Refused) {
    upstream.belief_.OnFull(SlotsOf(upstream), aNow);
  } else if (aReport.load_) {
    reportsLoad_ = true;
    unreportedProbes_ = 0;
    LoadReport load = *aReport.load_;
    load.inFlight_ -= std::min<std::uint32_t>(load.inFlight_, 1);
    load.healthy_ = true;
    pace_.OnReport(load.slowness_);
    upstream.belief_.OnReport(load, aNow - FromMilliseconds(upstream.belief_.RoundTripMs() / 2));
  }
}

bool
FreshBalancer::CancelQueued(std::uint64_t aCallId, MonotonicTime)
{
  return std::erase_if(waiting_,
                       [&](const Waiting& aWaiting) { return aWaiting.call_.id_ == aCallId; }) > 0;
}

RetryVerdict
FreshBalancer::MayRetry(const CallInfo& aCall, const AttemptReport& aReport, MonotonicTime aNow)
{
  const auto reason = RetryReasonOf(aReport);
  const bool harmless =
    aCall.repeatability_ == Repeatability::Repeatable || aReport.outcome_ == Outcome::NotRun;
  if (!reason || !harmless || aNow >= aCall.deadline_ ||
      aCall.tried_.size() >= aCall.maxAttempts_ || !retryBudget_.TryTake(aNow)) {
    return {};
  }
  return { true, *reason };
}

Duration
FreshBalancer::AttemptTimeout(const CallInfo& aCall, MonotonicTime aNow) const
{
  return std::max(Duration(0), aCall.deadline_ - aNow);
}

std::shared_ptr<const UpstreamEndpoint>
FreshBalancer::Endpoint(UpstreamHandle aUpstream) const
{
  return upstreams_.at(static_cast<std::size_t>(aUpstream)).endpoint_;
}

std::optional<UpstreamHandle>
FreshBalancer::Find(const UpstreamId& aId) const
{
  const auto found = byId_.find(aId);
  if (found == byId_.end() || !upstreams_[found->second].present_) {
    return std::nullopt;
  }
  return UpstreamHandle{ found->second };
}

unsigned
FreshBalancer::ConnectionLimit() const
{
  return std::max(2U, config_.connectionsPerUpstream_ / static_cast<unsigned>(instances_));
}

double
FreshBalancer::ExpectedWaitMs(const Upstream& aUpstream, MonotonicTime aNow) const
{
  const unsigned slots = std::max(1U, SlotsOf(aUpstream));
  const unsigned inFlight = ExpectedInFlight(aUpstream, aNow);
  if (inFlight < slots) {
    return 0;
  }
  const auto& report = aUpstream.belief_.Report();
  const double slowness = report ? report->slowness_ : pace_.MeanSlowness();
  return (inFlight - slots + 1) * pace_.DurationMs(typicalWorkMs_, slowness) / slots;
}

std::vector<CandidateInfo>
FreshBalancer::Candidates(MonotonicTime aNow) const
{
  std::vector<CandidateInfo> candidates;
  const auto add = [&](std::uint32_t aIndex) {
    const Upstream& upstream = upstreams_[aIndex];
    const UpstreamBelief& belief = upstream.belief_;
    CandidateInfo& info = candidates.emplace_back();
    info.id_ = upstream.endpoint_->id_;
    info.zone_ = upstream.endpoint_->zone_;
    info.ownOutstanding_ = belief.Own();
    info.othersEstimate_ = belief.InFlight() - belief.Own();
    info.standing_ = 1 - belief.FailureShare(aNow);
    info.leaving_ = !TakesWork(upstream, aNow);
    info.expectedWaitMs_ = ExpectedWaitMs(upstream, aNow);
    if (const auto age = belief.Age(aNow)) {
      info.slowness_ = belief.Report()->slowness_;
      info.reportAge_ = *age;
    }
  };
  // The latest choice comes first.
  const bool hasLatest = !sent_.empty();
  const std::uint32_t latest = hasLatest ? sent_.back().index_ : 0;
  if (hasLatest) {
    add(latest);
  }
  for (const std::uint32_t index : present_) {
    // Without a recent report an upstream was not considered.
    const auto age = upstreams_[index].belief_.Age(aNow);
    const bool considered = present_.size() <= kMaxCandidates || (age && *age <= kConsideredAge);
    const bool added = hasLatest && index == latest;
    if (candidates.size() < kMaxCandidates && considered && !added) {
      add(index);
    }
  }
  return candidates;
}

} // namespace boragepier
