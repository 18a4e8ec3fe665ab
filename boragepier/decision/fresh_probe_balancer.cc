#include "boragepier/decision/fresh_probe_balancer.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>

#include <xxhash.h>

#include "boragepier/decision/attempt_rules.h"
#include "boragepier/decision/upstream_start.h"

namespace boragepier {

namespace {

// Largest number of upstreams to which one instance sends requests (subsetting). Bounds the CPU
// time of a choice and the number of connections. Upstreams of other zones have reserved places,
// for the loss of the own zone.
constexpr std::size_t kMaxSubsetSize = 24;
constexpr std::size_t kMinRemoteSubsetSize = 8;
// Largest number of upstreams in an explain record. Of a larger service only upstreams with a
// recent report are listed, because others were not considered.
constexpr std::size_t kMaxExplainedUpstreams = 16;
constexpr Duration kExplainedReportMaxAge = std::chrono::seconds(1);

// A cancelled attempt counts as a failure of the upstream, with the weight below, if it ran longer
// than this multiple of its expected response time.
constexpr double kCancelledFailureFactor = 3;
constexpr double kCancelledFailureWeight = 0.5;
constexpr double kMeanWorkEwmaWeight = 0.05;
// On a machine of more than this slowness a timeout is attributed to the machine.
constexpr double kSlowMachineSlowness = 2;
// Unused probes of this time are saved for bursts of requests. The limit of the service holds over
// longer times only.
constexpr double kProbeBurstSeconds = 2;
// Undoes most of the reserve of ProbeBudget for instances that are missing in the list. Entries of
// the store are never removed, so the list holds too many instances rather than too few.
constexpr double kProbeBudgetCompensation = 1.45;
// Assumed work of a work class without samples, as a share of the time to the latency target.
constexpr double kDefaultWorkTargetShare = 0.35;
// Further attempts of a request that upstreams refused by chance: none of them has run it, so they
// do not count towards the limit of the route.
constexpr unsigned kAttemptsAfterChance = 4;

ColdTerms
ColdTermsOf(const ServiceConfig& aConfig)
{
  return { aConfig.coldRequestsPerSecond_, aConfig.coldOverage_, aConfig.coldSlack_ };
}

bool
IsUpstreamFailure(const AttemptReport& aReport)
{
  switch (aReport.failure_) {
    case AttemptFailure::None:
      return aReport.status_ >= 500;
    case AttemptFailure::Refused:
    case AttemptFailure::Cancelled:
    case AttemptFailure::LocalLimit:
    case AttemptFailure::ResponseTooLarge:
    case AttemptFailure::Withdrawn:
      return false;
    default:
      return true;
  }
}

} // namespace

FreshProbeBalancer::FreshProbeBalancer(ServiceConfig aConfig,
                                       ZoneName aLocalZone,
                                       std::uint64_t aSeed)
  : config_(std::move(aConfig))
  , localZone_(std::move(aLocalZone))
  , random_(aSeed)
{
  coldShares_.SetTerms(ColdTermsOf(config_));
  RecomputeDerivedState();
}

void
FreshProbeBalancer::SetConfig(ServiceConfig aConfig, MonotonicTime)
{
  config_ = std::move(aConfig);
  if (coldShares_.SetTerms(ColdTermsOf(config_))) {
    ForgetColdSenders();
  }
  RecomputeDerivedState();
}

void
FreshProbeBalancer::SetUpstreams(std::span<const UpstreamEndpoint> aUpstreams, MonotonicTime aNow)
{
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
    }
    Upstream& upstream = upstreams_[index];
    if (!isNew && endpoint.startNumber_ > upstream.endpoint_->startNumber_) {
      upstream.estimate_.Reset();
    }
    if (!isNew && !IsSameStart(*upstream.endpoint_, endpoint)) {
      upstream.markedLeaving_ = false;
      upstream.pause_ = {};
    }
    if (isNew || upstream.endpoint_->warmUpEnd_ != endpoint.warmUpEnd_) {
      upstream.cold_.ExtendTo(endpoint.warmUpEnd_, aNow);
    }
    if (isNew || *upstream.endpoint_ != endpoint) {
      upstream.endpoint_ = std::make_shared<const UpstreamEndpoint>(endpoint);
    }
    upstream.listed_ = true;
    listed_.push_back(index);
  }
  RecomputeDerivedState();
}

void
FreshProbeBalancer::SetFleet(const InstanceId& aSelf,
                             std::span<const InstanceId> aInstances,
                             MonotonicTime aNow)
{
  self_ = aSelf;
  instances_ = std::max<std::size_t>(1, aInstances.size());
  if (servingSince_ == MonotonicTime()) {
    servingSince_ = aNow;
  }
  if (coldShares_.SetFleet(aSelf, aInstances)) {
    ForgetColdSenders();
  }
  RecomputeDerivedState();
}

void
FreshProbeBalancer::RecomputeDerivedState()
{
  // Rendezvous hashing: each instance has its own order of the upstreams, which changes little when
  // upstreams join or leave.
  const std::uint64_t seed = XXH64(self_.View().data(), self_.View().size(), 0);
  std::vector<std::pair<std::uint64_t, std::uint32_t>> local;
  std::vector<std::pair<std::uint64_t, std::uint32_t>> remote;
  for (const std::uint32_t index : listed_) {
    Upstream& upstream = upstreams_[index];
    upstream.local_ = upstream.endpoint_->zone_ == localZone_;
    if (upstream.endpoint_->evacuated_) {
      continue; // leaves its place in the subset to another one
    }
    const std::string_view id = upstream.endpoint_->id_.View();
    (upstream.local_ ? local : remote).emplace_back(XXH64(id.data(), id.size(), seed), index);
  }
  subset_.clear();
  const auto addFirstByHash = [&](auto& aByHash, std::size_t aLimit) {
    std::sort(aByHash.begin(), aByHash.end());
    for (std::size_t i = 0; i < std::min(aLimit, aByHash.size()); ++i) {
      const std::uint32_t index = aByHash[i].second;
      upstreams_[index].affinityRank_ =
        static_cast<double>(i) / static_cast<double>(aByHash.size());
      subset_.push_back(index);
    }
  };
  addFirstByHash(local, kMaxSubsetSize - std::min(remote.size(), kMinRemoteSubsetSize));
  addFirstByHash(
    remote,
    std::max(kMinRemoteSubsetSize, kMaxSubsetSize - std::min(kMaxSubsetSize, subset_.size())));
  probeBudget_.SetRate(kProbeBudgetCompensation * config_.probesPerUpstreamSecond_,
                       listed_.size(),
                       instances_,
                       kProbeBurstSeconds);
  retryBudget_.SetLimits(config_.retryRatio_, config_.retrySlack_, config_.retryWindow_);
  retryBudget_.SetInstances(instances_);
}

void
FreshProbeBalancer::MarkLeaving(UpstreamHandle aUpstream)
{
  upstreams_.at(static_cast<std::size_t>(aUpstream)).markedLeaving_ = true;
}

Duration
FreshProbeBalancer::BeginPause(UpstreamHandle aUpstream, Duration aDuration, MonotonicTime aNow)
{
  return upstreams_.at(static_cast<std::size_t>(aUpstream)).pause_.Begin(aDuration, aNow);
}

PauseSummary
FreshProbeBalancer::SummarizePauses(MonotonicTime aNow) const
{
  PauseSummary summary;
  for (const std::uint32_t index : listed_) {
    if (IsInUse(upstreams_[index])) {
      summary.Add(upstreams_[index].pause_, aNow);
    }
    // Runs for each request, and the rest matters only while no upstream admits any.
    if (summary.AnyAdmits()) {
      break;
    }
  }
  return summary;
}

Duration
FreshProbeBalancer::RetryAfterAllPause(MonotonicTime aNow)
{
  const auto end = SummarizePauses(aNow).EndIfAllPause();
  return end ? RetryAfterPause(*end, aNow, random_) : Duration(0);
}

bool
FreshProbeBalancer::AcceptsRequests(const Upstream& aUpstream, MonotonicTime aNow)
{
  return IsInUse(aUpstream) && aUpstream.pause_.StateAt(aNow) == UpstreamPause::State::None;
}

bool
FreshProbeBalancer::IsInUse(const Upstream& aUpstream)
{
  return aUpstream.listed_ && !aUpstream.endpoint_->leaving_ && !aUpstream.endpoint_->evacuated_ &&
         !aUpstream.markedLeaving_;
}

void
FreshProbeBalancer::ForgetColdSenders()
{
  for (Upstream& upstream : upstreams_) {
    upstream.coldSender_.reset();
  }
}

bool
FreshProbeBalancer::IsColdAndLimited(const Upstream& aUpstream, MonotonicTime aNow) const
{
  return coldShares_.IsLimited() && aUpstream.cold_.IsCold(aNow);
}

bool
FreshProbeBalancer::IsLimitedWhileCold(UpstreamHandle aUpstream, MonotonicTime aNow) const
{
  return IsColdAndLimited(upstreams_.at(static_cast<std::size_t>(aUpstream)), aNow);
}

std::optional<MonotonicTime>
FreshProbeBalancer::NextColdRequest(Upstream& aUpstream) const
{
  if (!aUpstream.coldSender_) {
    aUpstream.coldSender_ = coldShares_.IsSender(aUpstream.endpoint_->id_.View());
  }
  if (!*aUpstream.coldSender_) {
    return std::nullopt;
  }
  return aUpstream.cold_.NextRequest(coldShares_.ShareRate(), servingSince_);
}

bool
FreshProbeBalancer::HasColdRoom(Upstream& aUpstream, MonotonicTime aNow) const
{
  if (!IsColdAndLimited(aUpstream, aNow)) {
    return true;
  }
  const auto next = NextColdRequest(aUpstream);
  return next && *next <= aNow;
}

unsigned
FreshProbeBalancer::SlotsOf(const Upstream& aUpstream) const
{
  if (const auto& report = aUpstream.estimate_.Report(); report && report->slots_ > 0) {
    return report->slots_;
  }
  return aUpstream.endpoint_->slots_ > 0 ? aUpstream.endpoint_->slots_ : config_.slots_;
}

double
FreshProbeBalancer::ExpectedWorkMs(const CallInfo& aCall) const
{
  const double targetMs = ToMilliseconds(aCall.targetTime_ - aCall.arrival_ + aCall.sentBefore_);
  return workEstimator_.MeanWorkMs(aCall.workClass_,
                                   kDefaultWorkTargetShare * std::max(0.0, targetMs));
}

std::vector<FreshProbeBalancer::OutstandingAttempt>::iterator
FreshProbeBalancer::FindEnded(const AttemptReport& aReport, MonotonicTime aNow)
{
  const auto index = static_cast<std::uint32_t>(aReport.upstream_);
  const MonotonicTime sentAt = aNow - aReport.latency_;
  auto closest = outstanding_.end();
  for (auto attempt = outstanding_.begin(); attempt != outstanding_.end(); ++attempt) {
    if (attempt->index_ == index &&
        (closest == outstanding_.end() || std::chrono::abs(attempt->sentAt_ - sentAt) <
                                            std::chrono::abs(closest->sentAt_ - sentAt))) {
      closest = attempt;
    }
  }
  return closest;
}

void
FreshProbeBalancer::UpdateModels(const AttemptReport& aReport, MonotonicTime aNow)
{
  const auto index = static_cast<std::uint32_t>(aReport.upstream_);
  const auto closest = FindEnded(aReport, aNow);
  if (closest == outstanding_.end()) {
    return;
  }
  const OutstandingAttempt ended = *closest;
  outstanding_.erase(closest);
  UpstreamEstimate& estimate = upstreams_[index].estimate_;
  const double latencyMs = ToMilliseconds(aReport.latency_);
  // A timeout on a slow machine is not counted as a failure of the upstream.
  const bool slowMachine =
    ended.slowness_ > kSlowMachineSlowness ||
    (estimate.Report() && estimate.Report()->slowness_ > kSlowMachineSlowness);
  if (aReport.failure_ == AttemptFailure::Timeout && slowMachine) {
    return;
  }
  if (IsUpstreamFailure(aReport)) {
    estimate.OnOutcome(true, 1, aNow);
  } else if (aReport.failure_ == AttemptFailure::None) {
    estimate.OnOutcome(false, 1, aNow);
    if (aReport.status_ < 300) {
      answerSizes_.AddSample(ended.workClass_, aReport.answerBytes_);
    }
    const double sinceProgressMs = ToMilliseconds(aNow - ended.progressAt_);
    const double workMs =
      ended.workDoneMs_ + slownessModel_.WorkDoneMs(sinceProgressMs, ended.slowness_);
    const unsigned slots = SlotsOf(upstreams_[index]);
    occupancyModel_.Add(
      ended.inFlight_, slots, workMs, workEstimator_.MeanWorkMs(ended.workClass_, 0));
    meanWorkMs_ += kMeanWorkEwmaWeight * (workMs - meanWorkMs_);
    if (OccupancyModel::IsIdle(ended.inFlight_) ||
        workEstimator_.MeanWorkMs(ended.workClass_, 0) <= 0) {
      workEstimator_.AddSample(ended.workClass_, workMs);
    }
  } else if (aReport.failure_ == AttemptFailure::Cancelled &&
             latencyMs > kCancelledFailureFactor * ended.expectedResponseMs_) {
    // A hanging upstream shows only in cancelled attempts.
    estimate.OnOutcome(true, kCancelledFailureWeight, aNow);
  }
}

void
FreshProbeBalancer::OnAttemptEnded(const AttemptReport& aReport, MonotonicTime aNow)
{
  Upstream& upstream = upstreams_.at(static_cast<std::size_t>(aReport.upstream_));
  upstream.estimate_.OnAttemptEnded(aReport.latency_, aNow);
  upstream.pause_.OnAttemptEnded(aNow - aReport.latency_, ReachedUpstream(aReport));
  NoteRefusal(aReport, aNow);
  UpdateModels(aReport, aNow);
  if (aReport.draining_) {
    MarkLeaving(aReport.upstream_);
  }
  if (aReport.failure_ == AttemptFailure::Refused) {
    upstream.estimate_.OnRejected(SlotsOf(upstream), aNow);
  } else if (aReport.load_) {
    upstreamsReportLoad_ = true;
    probesWithoutLoad_ = 0;
    LoadReport load = *aReport.load_;
    load.inFlight_ -= std::min<std::uint32_t>(load.inFlight_, 1);
    load.healthy_ = true;
    slownessModel_.OnReport(load.slowness_);
    upstream.estimate_.OnReport(load,
                                aNow - FromMilliseconds(upstream.estimate_.RoundTripMs() / 2));
  }
}

bool
FreshProbeBalancer::CancelQueued(std::uint64_t aCallId, MonotonicTime)
{
  const auto found = std::find_if(queue_.begin(), queue_.end(), [&](const QueuedRequest& aQueued) {
    return aQueued.call_.id_ == aCallId;
  });
  if (found == queue_.end()) {
    return false;
  }
  SettleTeam(*found, false);
  queue_.erase(found);
  return true;
}

RetryDecision
FreshProbeBalancer::DecideRetry(const CallInfo& aCall,
                                const AttemptReport& aReport,
                                MonotonicTime aNow)
{
  const auto reason = RetryReasonOf(aReport);
  const bool safeToRepeat =
    aCall.repeatability_ == Repeatability::Repeatable || aReport.outcome_ == Outcome::NotRun;
  const unsigned attemptLimit = aCall.maxAttempts_ + (aReport.failure_ == AttemptFailure::Refused &&
                                                          WasRefusedByChance(aCall, aNow)
                                                        ? kAttemptsAfterChance
                                                        : 0);
  if (!reason || !safeToRepeat || aNow >= aCall.deadline_ ||
      aCall.triedUpstreams_.size() >= attemptLimit ||
      !retryBudget_.TrySpend(aNow, ReservedForOthers(aCall, aNow))) {
    return {};
  }
  return { true, *reason };
}

Duration
FreshProbeBalancer::AttemptTimeout(const CallInfo& aCall, MonotonicTime aNow) const
{
  return std::max(Duration(0), aCall.deadline_ - aNow);
}

std::shared_ptr<const UpstreamEndpoint>
FreshProbeBalancer::Endpoint(UpstreamHandle aUpstream) const
{
  return upstreams_.at(static_cast<std::size_t>(aUpstream)).endpoint_;
}

std::optional<UpstreamHandle>
FreshProbeBalancer::Find(const UpstreamId& aId) const
{
  const auto found = byId_.find(aId);
  if (found == byId_.end() || !upstreams_[found->second].listed_) {
    return std::nullopt;
  }
  return UpstreamHandle{ found->second };
}

unsigned
FreshProbeBalancer::ConnectionLimit() const
{
  return std::max(2U, config_.connectionsPerUpstream_ / static_cast<unsigned>(instances_));
}

double
FreshProbeBalancer::ExpectedWaitMs(const Upstream& aUpstream, MonotonicTime aNow) const
{
  const unsigned slots = std::max(1U, SlotsOf(aUpstream));
  const unsigned inFlight = ExpectedInFlight(aUpstream, aNow);
  if (inFlight < slots) {
    return 0;
  }
  const auto& report = aUpstream.estimate_.Report();
  const double slowness = report ? report->slowness_ : slownessModel_.MeanSlowness();
  return (inFlight - slots + 1) * slownessModel_.ServiceTimeMs(meanWorkMs_, slowness) / slots;
}

std::vector<CandidateInfo>
FreshProbeBalancer::Candidates(MonotonicTime aNow) const
{
  std::vector<CandidateInfo> candidates;
  const auto addUpstream = [&](std::uint32_t aIndex) {
    const Upstream& upstream = upstreams_[aIndex];
    const UpstreamEstimate& estimate = upstream.estimate_;
    CandidateInfo& info = candidates.emplace_back();
    info.id_ = upstream.endpoint_->id_;
    info.zone_ = upstream.endpoint_->zone_;
    info.ownOutstanding_ = estimate.OwnOutstanding();
    info.othersEstimate_ = estimate.InFlight() - estimate.OwnOutstanding();
    info.healthWeight_ = 1 - estimate.FailureProbability(aNow);
    info.leaving_ = !IsInUse(upstream);
    info.evacuated_ = upstream.endpoint_->evacuated_;
    if (IsColdAndLimited(upstream, aNow)) {
      info.coldFor_ = upstream.cold_.End() - aNow;
    }
    if (upstream.pause_.StateAt(aNow) == UpstreamPause::State::Paused) {
      info.pausedFor_ = upstream.pause_.End() - aNow;
    }
    info.expectedWaitMs_ = ExpectedWaitMs(upstream, aNow);
    if (const auto reportAge = estimate.ReportAge(aNow)) {
      info.slowness_ = estimate.Report()->slowness_;
      info.reportAge_ = *reportAge;
    }
  };
  // The upstream of the latest dispatch comes first.
  const bool hasDispatched = !outstanding_.empty();
  const std::uint32_t lastDispatched = hasDispatched ? outstanding_.back().index_ : 0;
  if (hasDispatched) {
    addUpstream(lastDispatched);
  }
  for (const std::uint32_t index : listed_) {
    const auto reportAge = upstreams_[index].estimate_.ReportAge(aNow);
    const bool wasConsidered = listed_.size() <= kMaxExplainedUpstreams ||
                               (reportAge && *reportAge <= kExplainedReportMaxAge);
    const bool alreadyAdded = hasDispatched && index == lastDispatched;
    if (candidates.size() < kMaxExplainedUpstreams && wasConsidered && !alreadyAdded) {
      addUpstream(index);
    }
  }
  return candidates;
}

} // namespace boragepier
