#include "boragepier/decision/service_balancer_impl.h"

#include <algorithm>

#include "boragepier/decision/attempt_rules.h"

namespace boragepier {

namespace {

// Of a larger service only a sample of this size is considered, which bounds the CPU time of a
// choice.
constexpr std::size_t kMaxSampledUpstreams = 32;
// An upstream with this expected wait for a slot, in service times, receives no more requests: they
// are queued in the instance, where any upstream can still take them. 4 to 6 service times halve
// the latency at 120 % load, but lower the goodput of a service with 8 upstreams in 4 availability
// zones by up to 5 %.
constexpr double kMaxWaitServiceTimes = 10;
// The same limit for policies that use no load reports, in own requests per slot.
constexpr unsigned kMaxOwnRequestsPerSlot = 4;
// Cost of an upstream outside the preferred subset, in service times.
constexpr double kNonPreferredCostServiceTimes = 0.2;
// Service times within these factors of the mean are treated as equal to it.
constexpr double kMinEqualSlowness = 0.67;
constexpr double kMaxEqualSlowness = 1.5;
// Requests that wait for the end of a trial are looked at again after this time at the latest.
constexpr Duration kTrialRecheckInterval = std::chrono::milliseconds(25);

} // namespace

double
ServiceBalancer::Impl::Cost(std::size_t aIndex, bool aPreferSubset, MonotonicTime aNow) const
{
  const Upstream& upstream = upstreams_[aIndex];
  const double meanMs = loadEstimator_.MeanServiceTimeMs();
  const double slowness = loadEstimator_.Slowness(aIndex);
  const bool nearMean = slowness > kMinEqualSlowness && slowness < kMaxEqualSlowness;
  const double serviceMs = nearMean ? meanMs : meanMs * slowness;
  const double nonPreferredMs =
    aPreferSubset && !upstream.preferred_ ? kNonPreferredCostServiceTimes * meanMs : 0;
  return upstream.crossZoneRttMs_ + nonPreferredMs +
         serviceMs * (1 + loadEstimator_.WaitCost(aIndex, latencyProfile_, aNow));
}

// Returns all upstreams of a small service, otherwise the preferred subset and random upstreams; an
// upstream may then occur twice.
std::span<const std::uint32_t>
ServiceBalancer::Impl::SelectSample()
{
  if (listed_.size() <= kMaxSampledUpstreams) {
    return listed_;
  }
  sampled_ = preferredSubset_;
  while (sampled_.size() < kMaxSampledUpstreams) {
    sampled_.push_back(listed_[random_(listed_.size())]);
  }
  return sampled_;
}

void
ServiceBalancer::Impl::AddCandidates(std::span<const std::uint32_t> aIndices,
                                     const CallInfo& aCall,
                                     bool aApplyHealthWeight,
                                     MonotonicTime aNow)
{
  for (const std::uint32_t index : aIndices) {
    if (!AcceptsRequests(index, aNow) || WasTried(aCall, index)) {
      continue;
    }
    if (aApplyHealthWeight) {
      const double weight = outlierEjection_.HealthWeight(index, aNow);
      // At a low weight one own request at a time is enough to learn whether the upstream has
      // recovered. A retry or hedge never tests one: its request has already had a bad attempt.
      const bool limited =
        weight < 1 && (!aCall.triedUpstreams_.empty() ||
                       (weight < 0.5 && loadEstimator_.OwnOutstanding(index) > 0));
      if (limited || (weight < 1 && static_cast<double>(random_(1000)) >= weight * 1000)) {
        continue;
      }
    }
    candidates_.push_back({ index, loadEstimator_.OwnOutstanding(index), 0 });
  }
}

void
ServiceBalancer::Impl::CollectCandidates(const CallInfo& aCall, MonotonicTime aNow)
{
  candidates_.clear();
  const auto sample = SelectSample();
  AddCandidates(sample, aCall, true, aNow);
  if (candidates_.empty()) {
    // The health weights excluded the whole sample: ignore them rather than refuse the request.
    AddCandidates(sample, aCall, false, aNow);
  }
  if (candidates_.empty()) {
    AddCandidates(listed_, aCall, false, aNow);
  }
  if (candidates_.empty() && !aCall.triedUpstreams_.empty()) {
    CallInfo withoutTried = aCall;
    withoutTried.triedUpstreams_.clear();
    AddCandidates(listed_, withoutTried, false, aNow);
  }
}

std::optional<ServiceBalancer::Impl::PickedUpstream>
ServiceBalancer::Impl::Pick(const CallInfo& aCall, MonotonicTime aNow)
{
  CollectCandidates(aCall, aNow);
  if (candidates_.empty()) {
    return std::nullopt;
  }
  return std::visit(
    [&]<ChoicePolicy Policy>(Policy& aPolicy) -> PickedUpstream {
      if constexpr (Policy::kUsesReports) {
        for (Candidate& candidate : candidates_) {
          candidate.cost_ = Cost(candidate.index_, Policy::kPrefersSubset, aNow);
        }
      }
      const Candidate& best = candidates_[aPolicy.Pick(candidates_, random_)];
      // Without reports, kMaxOwnRequestsPerSlot own requests per slot count as a wait of
      // kMaxWaitServiceTimes.
      const double waitServiceTimes =
        Policy::kUsesReports
          ? loadEstimator_.ExpectedWaitServiceTimes(best.index_, aNow)
          : kMaxWaitServiceTimes * best.ownOutstanding_ / (kMaxOwnRequestsPerSlot * config_.slots_);
      return { best.index_, waitServiceTimes };
    },
    policy_);
}

bool
ServiceBalancer::Impl::IsCongested(const PickedUpstream& aPicked) const
{
  return aPicked.waitServiceTimes_ >= kMaxWaitServiceTimes &&
         loadEstimator_.TotalOwnOutstanding() > 0;
}

bool
ServiceBalancer::Impl::WouldMissDeadline(const CallInfo& aCall,
                                         const PickedUpstream& aPicked,
                                         MonotonicTime aNow) const
{
  if (aPicked.waitServiceTimes_ <= 0 || loadEstimator_.TotalOwnOutstanding() == 0) {
    return false;
  }
  const double queueMs =
    static_cast<double>(queue_.CountAhead(aCall.trafficClass_)) * attemptEndIntervalMs_;
  const double serviceMs = loadEstimator_.ServiceTimeMs(aPicked.index_);
  const double expectedMs = queueMs + serviceMs * (1 + aPicked.waitServiceTimes_);
  return expectedMs > ToMilliseconds(aCall.deadline_ - aNow);
}

RoutingDecision
ServiceBalancer::Impl::Dispatch(std::size_t aIndex, MonotonicTime aNow)
{
  loadEstimator_.OnDispatch(aIndex, aNow);
  upstreams_[aIndex].pause_.OnDispatch();
  lastDispatch_ = aNow;
  return { RoutingDecision::Kind::Dispatch,
           UpstreamHandle{ static_cast<std::uint32_t>(aIndex) },
           {} };
}

RoutingDecision
ServiceBalancer::Impl::Enqueue(const CallInfo& aCall,
                               const PickedUpstream& aPicked,
                               MonotonicTime aNow)
{
  if (WouldMissDeadline(aCall, aPicked, aNow)) {
    return { RoutingDecision::Kind::Refuse, {}, RefusalReason::Overloaded };
  }
  std::optional<std::uint64_t> displaced;
  if (!queue_.Push(aCall, displaced)) {
    return { RoutingDecision::Kind::Refuse, {}, RefusalReason::Overloaded };
  }
  if (displaced) {
    displaced_.push_back(
      { *displaced, { RoutingDecision::Kind::Refuse, {}, RefusalReason::Overloaded } });
  }
  return { RoutingDecision::Kind::Queued, {}, {} };
}

RoutingDecision
ServiceBalancer::Impl::Submit(const CallInfo& aCall, MonotonicTime aNow)
{
  const bool firstAttempt = aCall.triedUpstreams_.empty();
  if (firstAttempt && !aCall.moved_) {
    retryBudget_.OnRequest();
    hedgeBudget_.OnRequest();
  }
  if (aCall.deadline_ <= aNow) {
    return { RoutingDecision::Kind::Refuse, {}, RefusalReason::DeadlineExpired };
  }
  const auto picked = Pick(aCall, aNow);
  if (!picked) {
    return DecideWithoutUpstream(aCall, aNow);
  }
  // Retries are not queued: their request has waited before.
  if (firstAttempt && (queue_.CountAhead(aCall.trafficClass_) > 0 || IsCongested(*picked))) {
    return Enqueue(aCall, *picked, aNow);
  }
  if (WouldMissDeadline(aCall, *picked, aNow)) {
    return { RoutingDecision::Kind::Refuse, {}, RefusalReason::Overloaded };
  }
  if (firstAttempt && HoldForProbes(aCall, *picked, aNow)) {
    return { RoutingDecision::Kind::Queued, {}, {} };
  }
  return Dispatch(picked->index_, aNow);
}

RoutingDecision
ServiceBalancer::Impl::DecideWithoutUpstream(const CallInfo& aCall, MonotonicTime aNow)
{
  const PauseSummary pauses = SummarizePauses(aNow);
  if (const auto end = pauses.EndIfAllPause()) {
    return { RoutingDecision::Kind::Refuse,
             {},
             RefusalReason::UpstreamsPaused,
             RetryAfterPause(*end, aNow, random_) };
  }
  std::optional<std::uint64_t> displaced;
  if (!pauses.AnyOnTrial() || !queue_.Push(aCall, displaced)) {
    return { RoutingDecision::Kind::Refuse,
             {},
             pauses.AnyOnTrial() ? RefusalReason::Overloaded : RefusalReason::NoUpstream };
  }
  if (displaced) {
    displaced_.push_back(
      { *displaced, { RoutingDecision::Kind::Refuse, {}, RefusalReason::Overloaded } });
  }
  trialRecheck_ = aNow + kTrialRecheckInterval;
  return { RoutingDecision::Kind::Queued, {}, {} };
}

std::vector<ReleasedCall>
ServiceBalancer::Impl::Release(MonotonicTime aNow)
{
  std::vector<ReleasedCall> released = std::move(displaced_);
  displaced_.clear();
  for (const std::uint64_t id : queue_.TakeExpired(aNow)) {
    released.push_back({ id, { RoutingDecision::Kind::Refuse, {}, RefusalReason::QueueTimeout } });
  }
  ReleaseHeld(released, aNow);
  ReleaseQueued(released, aNow);
  return released;
}

void
ServiceBalancer::Impl::ReleaseQueued(std::vector<ReleasedCall>& aReleased, MonotonicTime aNow)
{
  while (const CallInfo* front = queue_.Front()) {
    const auto picked = Pick(*front, aNow);
    if (!picked) {
      if (SummarizePauses(aNow).AnyOnTrial()) {
        trialRecheck_ = aNow + kTrialRecheckInterval;
        break;
      }
      const CallInfo call = *front;
      queue_.PopFront();
      aReleased.push_back({ call.id_, DecideWithoutUpstream(call, aNow) });
      continue;
    }
    // The estimates may stay wrong without new answers or reports, so one request is dispatched
    // after a mean service time without any dispatch.
    const bool overdue =
      aNow >= lastDispatch_ + FromMilliseconds(loadEstimator_.MeanServiceTimeMs());
    if (IsCongested(*picked) && !overdue) {
      break;
    }
    aReleased.push_back({ front->id_, Dispatch(picked->index_, aNow) });
    queue_.PopFront();
  }
}

std::optional<MonotonicTime>
ServiceBalancer::Impl::NextRelease() const
{
  if (!displaced_.empty()) {
    return lastDispatch_; // in the past: displaced requests are released at once
  }
  std::optional<MonotonicTime> next;
  if (const auto deadline = queue_.EarliestDeadline()) {
    const MonotonicTime nextDispatch =
      std::max(trialRecheck_, lastDispatch_ + FromMilliseconds(loadEstimator_.MeanServiceTimeMs()));
    next = std::min(*deadline, nextDispatch);
  }
  for (const HeldRequest& held : heldRequests_) {
    next = next ? std::min(*next, held.holdUntil_) : held.holdUntil_;
  }
  return next;
}

} // namespace boragepier
