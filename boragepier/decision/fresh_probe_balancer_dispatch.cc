#include <algorithm>
#include <cmath>

#include "boragepier/decision/attempt_rules.h"
#include "boragepier/decision/fresh_probe_balancer.h"

namespace boragepier {

namespace {

// Staleness bound of reports: an older report is too old to dispatch or hedge a request by it
// alone.
constexpr Duration kReportStalenessBound = std::chrono::milliseconds(40);
// Time constant with which the reported number of requests in flight loses its weight against the
// mean of all upstreams: about the service time of one request.
constexpr double kInFlightDecayMs = 150;
constexpr double kMeanInFlightEwmaWeight = 0.05;
// Age up to which the report of an upstream without a free slot is taken as a signal of overload.
constexpr Duration kFullReportMaxAge = std::chrono::milliseconds(300);
// An upstream is probed again only if its report is older than this.
constexpr Duration kReprobeMinReportAge = std::chrono::milliseconds(8);
// Upstreams that are probed for one request, in the own availability zone and in the others.
constexpr std::size_t kLocalProbesPerRequest = 4;
constexpr std::size_t kRemoteProbesPerRequest = 4;
// A request waits for a probe for this multiple of its mean round-trip time, within these limits.
constexpr double kProbeTimeoutRtts = 3;
constexpr double kMinProbeTimeoutMs = 5;
constexpr double kMaxProbeTimeoutMs = 40;
// After this time without a free slot, upstreams are probed again for a queued request.
constexpr Duration kQueueReprobeInterval = std::chrono::milliseconds(25);
// Largest slowness of a machine that counts as normal speed.
constexpr double kMaxNormalSlowness = 1.6;
// Factor on the slowness of an upstream that warms up after its start (slow start).
constexpr double kWarmUpSlowness = 2;
// An upstream with a higher failure probability is chosen only after all others have been probed.
constexpr double kMaxNormalFailureProbability = 0.1;
// Penalties in the cost of an upstream, as shares of the time from arrival to the latency target:
// for another availability zone, with an addition for each megabyte of the request body and of a
// large answer and a limit for both; for a failure probability of 1; for an upstream that reports
// itself as unhealthy; and for each of up to two failed probes in succession.
constexpr double kRemoteZoneCost = 0.1;
constexpr double kRemoteZoneCostPerMegabyte = 8;
constexpr double kMaxRemoteZoneCost = 0.9;
constexpr double kFailureCost = 3;
constexpr double kUnhealthyCost = 0.5;
constexpr double kFailedProbeCost = 2;
// Largest random addition to the cost, as a share of the work. Spreads the instances over upstreams
// of equal cost.
constexpr double kCostJitter = 0.1;
// Cost of the last upstream in the instance's order against the first one, as a share of the work.
// Concentrates requests on upstreams to which connections are open.
constexpr double kAffinityCost = 0.3;
// Interval between hedge checks of a request in flight, as a share of its expected work.
constexpr double kHedgeCheckWorkShare = 0.4;
constexpr double kMinHedgeCheckDelayMs = 20;
// A request in flight for longer than this multiple of its expected response time counts as stuck.
constexpr double kStuckResponseFactor = 2;
// For longer than this multiple, it counts as stuck although its answer is large and may be on its
// way: a second copy from another zone would only add to the load of the link.
constexpr double kStuckTransferFactor = 4;
// Lower limit of the work that a request in flight still needs, as a share of its expected work.
constexpr double kMinRemainingWorkShare = 0.25;
// The latest start of a request is this multiple of its expected work before its latency target.
// Until then a request that would be late at a slow upstream waits for another one.
constexpr double kLatestStartWorkFactor = 1.25;
// An upstream that is slow or has a queue is acceptable if the response is expected within this
// share of the time left to the latency target.
constexpr double kOnTimeShare = 0.8;
// A hedge is sent only if its expected response time is at most this share of the time that the
// first attempt still needs.
constexpr double kMaxHedgeTimeShare = 0.7;
// Shorter interval between hedge checks while a probe is in flight, the probes of the upstream fail
// or its machine is slow.
constexpr Duration kHedgeRecheckDelay = std::chrono::milliseconds(10);
constexpr double kDispatchIntervalEwmaWeight = 0.2;
// After this many successive probes that are answered without a load report, the upstreams of the
// service are assumed not to report load. They are not probed again until an answer to a request
// carries a report.
constexpr unsigned kMaxProbesWithoutLoad = 6;

double
TargetMs(const CallInfo& aCall)
{
  return std::max(1.0, ToMilliseconds(aCall.targetTime_ - aCall.arrival_ + aCall.sentBefore_));
}

} // namespace

unsigned
FreshProbeBalancer::ExpectedInFlight(const Upstream& aUpstream, MonotonicTime aNow) const
{
  // With the age of the report the expected load approaches the mean load of all upstreams.
  const UpstreamEstimate& estimate = aUpstream.estimate_;
  const auto reportAge = estimate.ReportAge(aNow);
  const double reportWeight =
    reportAge ? std::exp(-ToMilliseconds(*reportAge) / kInFlightDecayMs) : 0;
  const double expected = reportWeight * estimate.InFlight() + (1 - reportWeight) * meanInFlight_;
  return std::max(estimate.OwnOutstanding(), static_cast<unsigned>(std::lround(expected)));
}

FreshProbeBalancer::ScoredUpstream
FreshProbeBalancer::ScoreUpstream(std::uint32_t aIndex, const CallInfo& aCall, MonotonicTime aNow)
{
  const Upstream& upstream = upstreams_[aIndex];
  const UpstreamEstimate& estimate = upstream.estimate_;
  const unsigned slots = std::max(1U, SlotsOf(upstream));
  const unsigned inFlight = ExpectedInFlight(upstream, aNow);
  const auto reportAge = estimate.ReportAge(aNow);

  double slowness = slownessModel_.MeanSlowness();
  if (reportAge) {
    // With the age of the report the expected slowness approaches the mean slowness.
    const double weight =
      std::exp(-ToMilliseconds(*reportAge) / (2 * SlownessModel::kPersistenceMs));
    slowness = weight * estimate.Report()->slowness_ + (1 - weight) * slowness;
  }
  if (coldShares_.IsLimited() ? upstream.cold_.IsCold(aNow)
                              : upstream.endpoint_->warmUpEnd_ > aNow) {
    slowness *= kWarmUpSlowness;
  }
  const double workMs = ExpectedWorkMs(aCall);
  const double serviceMs = slownessModel_.ServiceTimeMs(
    workMs * occupancyModel_.SlowdownFactor(inFlight, slots), slowness);
  const double requestsAhead = inFlight >= slots ? inFlight - slots + 1 : 0;

  ScoredUpstream scored;
  scored.index_ = aIndex;
  scored.reportFresh_ = reportAge && *reportAge <= kReportStalenessBound;
  scored.freeSlot_ = inFlight < slots;
  scored.shortQueue_ = inFlight <= slots;
  scored.local_ = upstream.local_;
  const double failureProbability = estimate.FailureProbability(aNow);
  const bool healthy = !reportAge || estimate.Report()->healthy_;
  scored.fullAtNormalSpeed_ = reportAge && *reportAge <= kFullReportMaxAge && !scored.freeSlot_ &&
                              slowness <= kMaxNormalSlowness;
  scored.normal_ =
    slowness <= kMaxNormalSlowness && failureProbability <= kMaxNormalFailureProbability && healthy;
  scored.responseMs_ = estimate.RoundTripMs() + requestsAhead * serviceMs / slots + serviceMs;
  double penalty = kFailureCost * failureProbability + (healthy ? 0 : kUnhealthyCost) +
                   kFailedProbeCost * std::min(estimate.FailedProbes(), 2U);
  if (!upstream.local_) {
    const double megabytes =
      static_cast<double>(aCall.bodyBytes_ + answerSizes_.ExpectedBytes(aCall.workClass_)) / 1e6;
    penalty +=
      std::min(kMaxRemoteZoneCost, kRemoteZoneCost + kRemoteZoneCostPerMegabyte * megabytes);
  }
  const double jitter = kCostJitter * static_cast<double>(random_(1000)) / 1000;
  scored.cost_ = scored.responseMs_ + penalty * TargetMs(aCall) +
                 (jitter + kAffinityCost * upstream.affinityRank_) * workMs;
  return scored;
}

std::vector<FreshProbeBalancer::ScoredUpstream>
FreshProbeBalancer::RankUpstreams(const CallInfo& aCall, MonotonicTime aNow)
{
  std::vector<ScoredUpstream> ranked;
  const auto addUpstreams = [&](std::span<const std::uint32_t> aIndices, bool aIncludeTried) {
    for (const std::uint32_t index : aIndices) {
      if (AcceptsRequests(upstreams_[index], aNow) && HasColdRoom(upstreams_[index], aNow) &&
          (aIncludeTried || !WasTried(aCall, index))) {
        ranked.push_back(ScoreUpstream(index, aCall, aNow));
      }
    }
  };
  addUpstreams(subset_, false);
  if (ranked.empty()) {
    addUpstreams(listed_, false);
  }
  if (ranked.empty()) {
    addUpstreams(listed_, true);
  }
  std::sort(
    ranked.begin(), ranked.end(), [](const ScoredUpstream& aLeft, const ScoredUpstream& aRight) {
      return aLeft.cost_ < aRight.cost_;
    });
  return ranked;
}

std::vector<std::uint32_t>
FreshProbeBalancer::ProbeTargets(const CallInfo& aCall, bool aLocal, MonotonicTime aNow)
{
  std::vector<std::uint32_t> targets;
  const std::size_t maxTargets = aLocal ? kLocalProbesPerRequest : kRemoteProbesPerRequest;
  for (const ScoredUpstream& scored : RankUpstreams(aCall, aNow)) {
    if (scored.local_ == aLocal && targets.size() < maxTargets) {
      targets.push_back(scored.index_);
    }
  }
  return targets;
}

void
FreshProbeBalancer::RequestProbe(std::uint32_t aIndex, MonotonicTime aNow)
{
  const UpstreamEstimate& estimate = upstreams_[aIndex].estimate_;
  if (!upstreamsReportLoad_) {
    return;
  }
  const auto reportAge = estimate.ReportAge(aNow);
  const bool isPending =
    std::find(pendingProbes_.begin(), pendingProbes_.end(), aIndex) != pendingProbes_.end();
  if (!isPending && !estimate.ProbeInFlight() &&
      (!reportAge || *reportAge > kReprobeMinReportAge) && probeBudget_.TrySpend(aNow)) {
    pendingProbes_.push_back(aIndex);
  }
}

void
FreshProbeBalancer::BeginProbeStage(QueuedRequest& aQueued, MonotonicTime aNow)
{
  const bool probeLocalZone = aQueued.probeStage_ == ProbeStage::NotStarted;
  aQueued.awaitedProbes_.clear();
  double timeoutMs = kMinProbeTimeoutMs;
  for (const std::uint32_t index : ProbeTargets(aQueued.call_, probeLocalZone, aNow)) {
    RequestProbe(index, aNow);
    const UpstreamEstimate& estimate = upstreams_[index].estimate_;
    const bool isPending =
      std::find(pendingProbes_.begin(), pendingProbes_.end(), index) != pendingProbes_.end();
    if ((isPending || estimate.ProbeInFlight()) && estimate.FailedProbes() == 0) {
      aQueued.awaitedProbes_.push_back(index);
      timeoutMs = std::max(timeoutMs, kProbeTimeoutRtts * estimate.RoundTripMs());
    }
  }
  aQueued.probeStage_ = probeLocalZone ? ProbeStage::LocalZone : ProbeStage::AllZones;
  aQueued.stageDeadline_ = aQueued.awaitedProbes_.empty()
                             ? aNow
                             : aNow + FromMilliseconds(std::min(timeoutMs, kMaxProbeTimeoutMs));
}

bool
FreshProbeBalancer::ProbeStageEnded(const QueuedRequest& aQueued, MonotonicTime aNow) const
{
  return aQueued.awaitedProbes_.empty() || aNow >= aQueued.stageDeadline_;
}

const FreshProbeBalancer::ScoredUpstream*
FreshProbeBalancer::Pick(const QueuedRequest& aQueued,
                         std::span<const ScoredUpstream> aRanked,
                         MonotonicTime aNow) const
{
  const bool allZonesProbed =
    aQueued.probeStage_ == ProbeStage::AllZones && ProbeStageEnded(aQueued, aNow);
  const bool localZoneProbed = allZonesProbed || (aQueued.probeStage_ != ProbeStage::NotStarted &&
                                                  ProbeStageEnded(aQueued, aNow));
  for (const ScoredUpstream& scored : aRanked) {
    if (scored.reportFresh_ && scored.freeSlot_ && scored.normal_ &&
        (scored.local_ || localZoneProbed)) {
      return &scored;
    }
  }
  if (!allZonesProbed) {
    return nullptr;
  }
  const double remainingMs = ToMilliseconds(aQueued.call_.targetTime_ - aNow);
  for (const ScoredUpstream& scored : aRanked) {
    if (scored.freeSlot_) {
      const bool tooLate = scored.responseMs_ > remainingMs;
      const bool keepWaiting =
        ShouldKeepWaiting(aQueued, scored, aNow) || (tooLate && ShouldShedIfLate(aQueued, aRanked));
      return keepWaiting ? nullptr : &scored;
    }
    // A request is queued at an upstream only if it is expected to be answered in time there. In
    // the queue of the instance it can still go to any upstream or be shed.
    if (scored.shortQueue_ && scored.responseMs_ <= kOnTimeShare * remainingMs) {
      return &scored;
    }
  }
  return nullptr;
}

bool
FreshProbeBalancer::ShouldKeepWaiting(const QueuedRequest& aQueued,
                                      const ScoredUpstream& aScored,
                                      MonotonicTime aNow) const
{
  const CallInfo& call = aQueued.call_;
  const double remainingMs = ToMilliseconds(call.targetTime_ - aNow);
  return upstreamsReportLoad_ && aScored.responseMs_ > kOnTimeShare * remainingMs &&
         !IsPastLatestStart(aQueued, aNow);
}

bool
FreshProbeBalancer::ShouldShedIfLate(const QueuedRequest& aQueued,
                                     std::span<const ScoredUpstream> aRanked)
{
  // A late request that starts on a slow machine occupies a slot of normal speed when the machine
  // recovers. While upstreams of normal speed are full, this would make further requests late.
  return aQueued.call_.triedUpstreams_.empty() &&
         std::any_of(aRanked.begin(), aRanked.end(), [](const ScoredUpstream& aScored) {
           return aScored.fullAtNormalSpeed_;
         });
}

bool
FreshProbeBalancer::IsPastLatestStart(const QueuedRequest& aQueued, MonotonicTime aNow) const
{
  return aNow + FromMilliseconds(kLatestStartWorkFactor * ExpectedWorkMs(aQueued.call_)) >=
         aQueued.call_.targetTime_;
}

std::optional<Duration>
FreshProbeBalancer::ExpectedQueueWait(const CallInfo& aCall) const
{
  if (dispatchIntervalMs_ <= 0) {
    return std::nullopt;
  }
  const double tag = NextFairTag(aCall);
  const auto ahead = std::count_if(queue_.begin(), queue_.end(), [&](const QueuedRequest& aQueued) {
    return GoesBefore(aQueued, aCall, tag);
  });
  // A team above its share is also overtaken by requests that come later.
  const double intervalMs = tag > fairQueue_.VirtualTime()
                              ? std::max(dispatchIntervalMs_, backlogIntervalMs_)
                              : dispatchIntervalMs_;
  return FromMilliseconds(intervalMs * static_cast<double>(ahead));
}

RoutingDecision
FreshProbeBalancer::Refuse(RefusalReason aReason, Duration aRetryAfter)
{
  return { RoutingDecision::Kind::Refuse, {}, aReason, SpreadReturn(aRetryAfter, random_) };
}

std::optional<RoutingDecision>
FreshProbeBalancer::RefuseIfAllPause(MonotonicTime aNow)
{
  if (const Duration retryAfter = RetryAfterAllPause(aNow); retryAfter > Duration(0)) {
    return RoutingDecision{
      RoutingDecision::Kind::Refuse, {}, RefusalReason::UpstreamsPaused, retryAfter
    };
  }
  return std::nullopt;
}

RoutingDecision
FreshProbeBalancer::Dispatch(const ScoredUpstream& aScored,
                             const CallInfo& aCall,
                             MonotonicTime aNow)
{
  UpstreamEstimate& estimate = upstreams_[aScored.index_].estimate_;
  const double slowness =
    estimate.Report() ? estimate.Report()->slowness_ : slownessModel_.MeanSlowness();
  outstanding_.push_back({ aScored.index_,
                           aCall.workClass_,
                           aNow,
                           estimate.InFlight(),
                           slowness,
                           aScored.responseMs_,
                           0,
                           aNow,
                           aScored.reportFresh_ && aScored.freeSlot_ });
  estimate.OnDispatch(aNow);
  upstreams_[aScored.index_].pause_.OnDispatch();
  upstreams_[aScored.index_].cold_.OnDispatch(aNow);
  return { RoutingDecision::Kind::Dispatch, UpstreamHandle{ aScored.index_ }, {}, {} };
}

RoutingDecision
FreshProbeBalancer::Submit(const CallInfo& aCall, MonotonicTime aNow)
{
  const bool firstAttempt = aCall.triedUpstreams_.empty();
  if (firstAttempt && !aCall.moved_) {
    retryBudget_.OnRequest(aNow);
  }
  if (aCall.deadline_ <= aNow) {
    return Refuse(RefusalReason::DeadlineExpired, {});
  }
  const bool anyInUse = std::any_of(listed_.begin(), listed_.end(), [&](std::uint32_t aIndex) {
    return IsInUse(upstreams_[aIndex]);
  });
  if (!anyInUse) {
    return Refuse(RefusalReason::NoUpstream, std::chrono::milliseconds(500));
  }
  if (const auto refusal = RefuseIfAllPause(aNow)) {
    return *refusal;
  }
  if (const auto wait = ExpectedQueueWait(aCall); firstAttempt && wait && *wait > Duration(0)) {
    const double normalServiceMs = slownessModel_.ServiceTimeMs(ExpectedWorkMs(aCall), 1);
    if (aNow + *wait + FromMilliseconds(normalServiceMs) > aCall.targetTime_) {
      return Refuse(RefusalReason::Overloaded, *wait);
    }
  }
  QueuedRequest queued{ aCall, ProbeStage::NotStarted, aNow, {} };
  if (!WaitsBehindTeams(aCall, aNow)) {
    if (const auto decision = Decide(queued, aNow)) {
      if (decision->kind_ == RoutingDecision::Kind::Dispatch && !queue_.empty()) {
        ChargeTeam(queued);
        SettleTeam(queued, true);
      }
      return *decision;
    }
  }
  ChargeTeam(queued);
  Enqueue(std::move(queued));
  return { RoutingDecision::Kind::Queued, {}, {}, {} };
}

std::optional<RoutingDecision>
FreshProbeBalancer::Decide(QueuedRequest& aQueued, MonotonicTime aNow)
{
  if (aQueued.call_.deadline_ <= aNow) {
    return Refuse(RefusalReason::QueueTimeout, {});
  }
  const auto ranked = RankUpstreams(aQueued.call_, aNow);
  if (ranked.empty()) {
    if (const auto refusal = RefuseIfAllPause(aNow)) {
      return refusal;
    }
    if (SummarizePauses(aNow).AnyOnTrial()) {
      aQueued.stageDeadline_ = aNow + kQueueReprobeInterval;
      return std::nullopt;
    }
    bool waits = false;
    if (const auto refusal = DecideWithoutWarmUpstream(aQueued, waits, aNow); refusal || waits) {
      return refusal;
    }
    return Refuse(RefusalReason::NoUpstream, std::chrono::milliseconds(500));
  }
  if (const ScoredUpstream* const picked = Pick(aQueued, ranked, aNow)) {
    return Dispatch(*picked, aQueued.call_, aNow);
  }
  while (ProbeStageEnded(aQueued, aNow) && aQueued.probeStage_ != ProbeStage::AllZones) {
    BeginProbeStage(aQueued, aNow);
    if (const ScoredUpstream* const picked = Pick(aQueued, ranked, aNow)) {
      return Dispatch(*picked, aQueued.call_, aNow);
    }
  }
  if (upstreamsReportLoad_ && aQueued.probeStage_ == ProbeStage::AllZones &&
      ProbeStageEnded(aQueued, aNow) && IsPastLatestStart(aQueued, aNow) &&
      ShouldShedIfLate(aQueued, ranked)) {
    return Refuse(RefusalReason::Overloaded, ExpectedQueueWait(aQueued.call_).value_or(Duration()));
  }
  return std::nullopt;
}

std::size_t
FreshProbeBalancer::CountAhead(const CallInfo& aCall) const
{
  std::size_t ahead = 0;
  for (const QueuedRequest& queued : queue_) {
    if (queued.call_.id_ == aCall.id_ || queued.call_.priority_ > aCall.priority_) {
      break;
    }
    ++ahead;
  }
  return ahead;
}

std::optional<RoutingDecision>
FreshProbeBalancer::DecideWithoutWarmUpstream(QueuedRequest& aQueued,
                                              bool& aWaits,
                                              MonotonicTime aNow)
{
  std::optional<MonotonicTime> nextRequest;
  std::optional<MonotonicTime> firstWarm;
  double ratePerSecond = 0;
  for (const std::uint32_t index : listed_) {
    Upstream& upstream = upstreams_[index];
    if (!AcceptsRequests(upstream, aNow) || !IsColdAndLimited(upstream, aNow)) {
      continue;
    }
    firstWarm = std::min(firstWarm.value_or(upstream.cold_.End()), upstream.cold_.End());
    if (const auto next = NextColdRequest(upstream)) {
      nextRequest = std::min(nextRequest.value_or(*next), *next);
      ratePerSecond += coldShares_.ShareRate();
    }
  }
  if (!firstWarm) {
    return std::nullopt;
  }
  MonotonicTime open = *firstWarm;
  if (nextRequest) {
    const auto ahead = static_cast<double>(CountAhead(aQueued.call_));
    open = std::min(open, *nextRequest + FromMilliseconds(1000 * ahead / ratePerSecond));
  }
  const double serviceMs =
    slownessModel_.ServiceTimeMs(ExpectedWorkMs(aQueued.call_), kWarmUpSlowness);
  if (open + FromMilliseconds(serviceMs) <= aQueued.call_.targetTime_) {
    // Not later than the next share, which those ahead may leave to it.
    aQueued.stageDeadline_ = std::min(open, nextRequest.value_or(open));
    aWaits = true;
    return std::nullopt;
  }
  return Refuse(RefusalReason::UpstreamsCold, open - aNow);
}

std::vector<ReleasedCall>
FreshProbeBalancer::Release(MonotonicTime aNow)
{
  std::vector<ReleasedCall> released;
  for (std::size_t i = 0; i < queue_.size();) {
    QueuedRequest& queued = queue_[i];
    const bool congested =
      queued.probeStage_ == ProbeStage::AllZones && ProbeStageEnded(queued, aNow);
    auto decision = Decide(queued, aNow);
    if (!decision && congested) {
      // All slots are taken. Sheds a request that would miss its latency target even if it were
      // dispatched now, as long as others are queued.
      const double normalServiceMs = slownessModel_.ServiceTimeMs(ExpectedWorkMs(queued.call_), 1);
      if (queue_.size() > 1 &&
          aNow + FromMilliseconds(normalServiceMs) > queued.call_.targetTime_ &&
          queued.call_.triedUpstreams_.empty()) {
        decision =
          Refuse(RefusalReason::Overloaded, ExpectedQueueWait(queued.call_).value_or(Duration()));
      } else if (aNow >= queued.stageDeadline_ + kQueueReprobeInterval) {
        queued.probeStage_ = ProbeStage::NotStarted;
        queued.awaitedProbes_.clear();
        decision = Decide(queued, aNow);
      }
    }
    if (!decision) {
      ++i;
      continue;
    }
    if (decision->kind_ == RoutingDecision::Kind::Dispatch && congested) {
      if (lastCongestedDispatch_ != MonotonicTime()) {
        const double intervalMs = ToMilliseconds(aNow - lastCongestedDispatch_);
        dispatchIntervalMs_ += kDispatchIntervalEwmaWeight * (intervalMs - dispatchIntervalMs_);
      }
      lastCongestedDispatch_ = aNow;
      if (queued.fairTag_ > fairQueue_.VirtualTime()) {
        if (lastBacklogDispatch_ != MonotonicTime()) {
          const double intervalMs = ToMilliseconds(aNow - lastBacklogDispatch_);
          backlogIntervalMs_ += kDispatchIntervalEwmaWeight * (intervalMs - backlogIntervalMs_);
        }
        lastBacklogDispatch_ = aNow;
      }
    }
    SettleTeam(queued, decision->kind_ == RoutingDecision::Kind::Dispatch);
    released.push_back({ queued.call_.id_, *decision });
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(i));
  }
  if (queue_.empty()) {
    lastCongestedDispatch_ = MonotonicTime();
    dispatchIntervalMs_ = 0;
    lastBacklogDispatch_ = MonotonicTime();
    backlogIntervalMs_ = 0;
    fairQueue_.Clear();
  }
  return released;
}

std::optional<MonotonicTime>
FreshProbeBalancer::NextRelease() const
{
  std::optional<MonotonicTime> next;
  for (const QueuedRequest& queued : queue_) {
    const bool waitsToReprobe =
      queued.probeStage_ == ProbeStage::AllZones && queued.awaitedProbes_.empty();
    const MonotonicTime dueTime =
      waitsToReprobe ? queued.stageDeadline_ + kQueueReprobeInterval : queued.stageDeadline_;
    next =
      std::min(next.value_or(queued.call_.deadline_), std::min(dueTime, queued.call_.deadline_));
  }
  return next;
}

const FreshProbeBalancer::OutstandingAttempt*
FreshProbeBalancer::FindOutstanding(const CallInfo& aCall) const
{
  if (aCall.triedUpstreams_.empty()) {
    return nullptr;
  }
  const auto index = static_cast<std::uint32_t>(aCall.triedUpstreams_.back());
  const auto attempt = std::find_if(
    outstanding_.rbegin(), outstanding_.rend(), [&](const OutstandingAttempt& aAttempt) {
      return aAttempt.index_ == index && aAttempt.workClass_ == aCall.workClass_;
    });
  return attempt == outstanding_.rend() ? nullptr : &*attempt;
}

std::optional<Duration>
FreshProbeBalancer::HedgeDelay(const CallInfo& aCall, MonotonicTime aNow) const
{
  const OutstandingAttempt* const attempt = FindOutstanding(aCall);
  if (attempt == nullptr || aCall.repeatability_ != Repeatability::Repeatable ||
      aCall.triedUpstreams_.size() >= aCall.maxAttempts_ || !upstreamsReportLoad_) {
    return std::nullopt;
  }
  const UpstreamEstimate& estimate = upstreams_[attempt->index_].estimate_;
  const auto reportAge = estimate.ReportAge(aNow);
  const bool slowMachine = reportAge && *reportAge <= kReportStalenessBound &&
                           estimate.Report()->slowness_ > kMaxNormalSlowness;
  const bool recheckSoon = estimate.ProbeInFlight() || estimate.FailedProbes() > 0 || slowMachine;
  const Duration delay =
    recheckSoon ? kHedgeRecheckDelay
                : FromMilliseconds(
                    std::max(kMinHedgeCheckDelayMs, kHedgeCheckWorkShare * ExpectedWorkMs(aCall)));
  if (aNow + delay >= aCall.deadline_) {
    return std::nullopt;
  }
  return delay;
}

void
FreshProbeBalancer::UpdateProgress(OutstandingAttempt& aAttempt,
                                   double aSlowness,
                                   MonotonicTime aNow) const
{
  // The speed between two updates is taken as the mean of the speeds at both.
  const double meanSpeed = (1 / aAttempt.slowness_ + 1 / std::max(0.1, aSlowness)) / 2;
  aAttempt.workDoneMs_ += meanSpeed * ToMilliseconds(aNow - aAttempt.progressAt_);
  aAttempt.slowness_ = aSlowness;
  aAttempt.progressAt_ = aNow;
}

std::optional<UpstreamHandle>
FreshProbeBalancer::DecideHedge(const CallInfo& aCall, MonotonicTime aNow)
{
  const OutstandingAttempt* const found = FindOutstanding(aCall);
  if (found == nullptr || aNow >= aCall.deadline_ || !retryBudget_.CanSpend(aNow)) {
    return std::nullopt;
  }
  OutstandingAttempt& attempt = outstanding_[static_cast<std::size_t>(found - outstanding_.data())];
  const UpstreamEstimate& estimate = upstreams_[attempt.index_].estimate_;
  const auto reportAge = estimate.ReportAge(aNow);
  const bool reportFresh = reportAge && *reportAge <= kReportStalenessBound;
  const bool probesFailing = estimate.FailedProbes() > 0;
  if (!reportFresh && !probesFailing) {
    RequestProbe(attempt.index_, aNow);
    return std::nullopt;
  }
  const double workMs = ExpectedWorkMs(aCall);
  const double elapsedMs = ToMilliseconds(aNow - attempt.sentAt_);
  double firstAttemptRemainingMs = 0;
  if (reportFresh) {
    const double slowness = estimate.Report()->slowness_;
    UpdateProgress(attempt, slowness, aNow);
    firstAttemptRemainingMs = slownessModel_.ServiceTimeMs(
      std::max(kMinRemainingWorkShare * workMs, workMs - attempt.workDoneMs_), slowness);
    const bool stuck = elapsedMs > kStuckResponseFactor * attempt.expectedResponseMs_;
    if (slowness <= kMaxNormalSlowness && !stuck) {
      return std::nullopt;
    }
  }
  auto ranked = RankUpstreams(aCall, aNow);
  if (answerSizes_.ExpectedBytes(aCall.workClass_) > 0 && !probesFailing &&
      elapsedMs <= kStuckTransferFactor * attempt.expectedResponseMs_) {
    std::erase_if(ranked, [](const ScoredUpstream& aScored) { return !aScored.local_; });
  }
  for (const ScoredUpstream& scored : ranked) {
    if (scored.index_ != attempt.index_ && scored.reportFresh_ && scored.freeSlot_ &&
        scored.normal_) {
      if (!probesFailing && scored.responseMs_ > kMaxHedgeTimeShare * firstAttemptRemainingMs) {
        return std::nullopt;
      }
      retryBudget_.TrySpend(aNow);
      return Dispatch(scored, aCall, aNow).upstream_;
    }
  }
  std::size_t probesRequested = 0;
  for (const ScoredUpstream& scored : ranked) {
    if (probesRequested < kLocalProbesPerRequest && scored.index_ != attempt.index_) {
      RequestProbe(scored.index_, aNow);
      ++probesRequested;
    }
  }
  return std::nullopt;
}

std::optional<UpstreamHandle>
FreshProbeBalancer::NextProbe(MonotonicTime aNow)
{
  while (!pendingProbes_.empty()) {
    const std::uint32_t index = pendingProbes_.front();
    pendingProbes_.pop_front();
    if (upstreamsReportLoad_ && AcceptsRequests(upstreams_[index], aNow)) {
      upstreams_[index].estimate_.OnProbeSent();
      return UpstreamHandle{ index };
    }
  }
  return std::nullopt;
}

void
FreshProbeBalancer::OnProbeEnded(UpstreamHandle aUpstream,
                                 std::optional<LoadReport> aLoad,
                                 Duration aRoundTrip,
                                 MonotonicTime aNow)
{
  const auto index = static_cast<std::uint32_t>(aUpstream);
  UpstreamEstimate& estimate = upstreams_.at(index).estimate_;
  estimate.OnProbeEnded(aLoad.has_value(), aRoundTrip);
  if (aLoad && aLoad->coldRemaining_) {
    upstreams_[index].cold_.SetRemaining(*aLoad->coldRemaining_, aNow);
  }
  if (aLoad && !aLoad->hasLoad_) {
    // Where upstreams do not report load, a probe may take a slot like a request and is useless.
    upstreamsReportLoad_ = upstreamsReportLoad_ && ++probesWithoutLoad_ < kMaxProbesWithoutLoad;
  } else if (aLoad) {
    probesWithoutLoad_ = 0;
    slownessModel_.OnReport(aLoad->slowness_);
    meanInFlight_ += kMeanInFlightEwmaWeight * (aLoad->inFlight_ - meanInFlight_);
    estimate.OnReport(*aLoad, aNow - aRoundTrip / 2);
  }
  StopAwaitingProbe(index, aNow);
}

void
FreshProbeBalancer::OnProbeNotSent(UpstreamHandle aUpstream, MonotonicTime aNow)
{
  const auto index = static_cast<std::uint32_t>(aUpstream);
  upstreams_.at(index).estimate_.OnProbeNotSent();
  StopAwaitingProbe(index, aNow);
}

void
FreshProbeBalancer::StopAwaitingProbe(std::uint32_t aIndex, MonotonicTime aNow)
{
  for (QueuedRequest& queued : queue_) {
    std::erase(queued.awaitedProbes_, aIndex);
    if (queued.awaitedProbes_.empty()) {
      queued.stageDeadline_ = std::min(queued.stageDeadline_, aNow);
    }
  }
}

} // namespace boragepier
