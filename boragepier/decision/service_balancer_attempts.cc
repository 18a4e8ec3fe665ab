#include "boragepier/decision/service_balancer_impl.h"

#include <algorithm>

#include "boragepier/decision/attempt_rules.h"

namespace boragepier {

namespace {

constexpr std::size_t kMaxAttempts = 3;
// An upstream is a straggler if its service time exceeds this multiple of the mean.
constexpr double kStragglerFactor = 2.5;
// An attempt times out after this multiple of the 99th percentile of the latency. With heavy-tailed
// latencies it may also take the following share of the time left to the deadline: otherwise long
// requests are cut off and repeated in vain, which raises p99 at 85 % load from 104 to 153 ms.
// Without heavy tails the share does not apply, so that a request that meets two unresponsive
// connections still has time for a third attempt.
constexpr double kTimeoutP99Factor = 5;
constexpr double kHeavyTailTimeoutShare = 2.0 / 3;
// Shorter timeouts would mostly hit scheduling delays of fast services.
constexpr double kMinAttemptTimeoutMs = 50;
// Hedging delay as a multiple of the 99th percentile of the latency. A hedge at the 95th percentile
// raises p99 by 2 to 3 ms at 85 % load, because most requests that reach it are long, not stuck.
constexpr double kHedgeP99Factor = 2.5;
// With heavy-tailed latencies a slow request is probably queued behind a long one, and an earlier
// hedge lowers p99. Latencies are heavy-tailed if the mean remaining time at the 99th percentile is
// at least kHeavyTailRemainingFactor times that of a new request.
constexpr double kHeavyTailHedgeP99Factor = 0.4;
constexpr double kHeavyTailRemainingFactor = 1.5;
// No hedge is sent to an upstream with a longer expected wait for a slot, in service times: it
// would cost more than it gains.
constexpr double kMaxHedgeWaitServiceTimes = 0.2;
constexpr double kAttemptEndIntervalEwmaWeight = 0.05;

} // namespace

void
ServiceBalancer::Impl::UpdateLatencyOutlier(std::size_t aIndex,
                                            Duration aLatency,
                                            MonotonicTime aNow)
{
  const double limit = kStragglerFactor * loadEstimator_.MeanServiceTimeMs();
  if (loadEstimator_.RecentSlowness(aIndex) > kStragglerFactor &&
      ToMilliseconds(aLatency) > limit) {
    outlierEjection_.OnSlow(aIndex, aNow, random_);
  } else {
    outlierEjection_.OnSuccess(aIndex);
  }
}

void
ServiceBalancer::Impl::RecordAttemptOutcome(std::size_t aIndex,
                                            const AttemptReport& aReport,
                                            MonotonicTime aNow)
{
  if (aReport.failure_ == AttemptFailure::None && aReport.status_ < 500) {
    loadEstimator_.OnAnswer(aIndex, aReport.latency_, aReport.load_ ? aReport.load_->inFlight_ : 0);
    latencyProfile_.Add(aReport.latency_);
    UpdateLatencyOutlier(aIndex, aReport.latency_, aNow);
    return;
  }
  if (aReport.failure_ == AttemptFailure::Cancelled) {
    // The service time is at least the time until the cancellation. Some stragglers lose every race
    // against a hedge, so that only cancelled attempts reveal them.
    if (ToMilliseconds(aReport.latency_) > kStragglerFactor * loadEstimator_.MeanServiceTimeMs()) {
      loadEstimator_.OnAnswer(aIndex, aReport.latency_, 0);
      UpdateLatencyOutlier(aIndex, aReport.latency_, aNow);
    }
    return;
  }
  if (aReport.failure_ == AttemptFailure::LocalLimit ||
      aReport.failure_ == AttemptFailure::Withdrawn) {
    return; // says nothing about the upstream
  }
  if (aReport.failure_ == AttemptFailure::Refused) {
    // A rejection is a signal of overload, not of a fault: the upstream counts as full until the
    // next report, or until this one has aged.
    loadEstimator_.OnReport(
      aIndex, loadEstimator_.OwnOutstanding(aIndex) + 4 * config_.slots_, aNow);
    return;
  }
  outlierEjection_.OnError(aIndex, aNow, random_);
}

void
ServiceBalancer::Impl::OnAttemptEnded(const AttemptReport& aReport, MonotonicTime aNow)
{
  const auto index = static_cast<std::size_t>(aReport.upstream_);
  loadEstimator_.OnAttemptEnded(index, aReport.latency_, aNow);
  upstreams_[index].pause_.OnAttemptEnded(aNow - aReport.latency_, ReachedUpstream(aReport));
  if (lastAttemptEnd_ != MonotonicTime()) {
    const double interval = ToMilliseconds(aNow - lastAttemptEnd_);
    attemptEndIntervalMs_ += kAttemptEndIntervalEwmaWeight * (interval - attemptEndIntervalMs_);
  }
  lastAttemptEnd_ = aNow;
  if (aReport.draining_) {
    MarkLeaving(aReport.upstream_);
  }
  const bool answered = aReport.failure_ == AttemptFailure::None && aReport.status_ < 500;
  if (answered && aReport.load_ && aReport.load_->inFlight_ > 0) {
    loadEstimator_.OnReport(index, aReport.load_->inFlight_ - 1, aNow);
  }
  RecordAttemptOutcome(index, aReport, aNow);
}

RetryDecision
ServiceBalancer::Impl::DecideRetry(const CallInfo& aCall,
                                   const AttemptReport& aReport,
                                   MonotonicTime aNow)
{
  const auto reason = RetryReasonOf(aReport);
  const bool safeToRepeat =
    aCall.repeatability_ == Repeatability::Repeatable || aReport.outcome_ == Outcome::NotRun;
  if (!reason || !safeToRepeat || aNow >= aCall.deadline_ ||
      aCall.triedUpstreams_.size() >= kMaxAttempts) {
    return {};
  }
  if (!retryBudget_.TrySpend()) {
    return {};
  }
  return { true, *reason };
}

bool
ServiceBalancer::Impl::HasHeavyTail() const
{
  const Duration p99 = FromMilliseconds(latencyProfile_.P99Ms());
  return latencyProfile_.RemainingFactor(p99) >= kHeavyTailRemainingFactor;
}

std::optional<Duration>
ServiceBalancer::Impl::HedgeDelay(const CallInfo& aCall, MonotonicTime aNow) const
{
  const bool repeatable = aCall.repeatability_ == Repeatability::Repeatable;
  if (!repeatable || config_.hedgeRatio_ <= 0 || !latencyProfile_.HasEnoughSamples()) {
    return std::nullopt;
  }
  const double factor = HasHeavyTail() ? kHeavyTailHedgeP99Factor : kHedgeP99Factor;
  const Duration delay = FromMilliseconds(factor * latencyProfile_.P99Ms());
  if (aNow + delay >= aCall.deadline_) {
    return std::nullopt;
  }
  return delay;
}

std::optional<UpstreamHandle>
ServiceBalancer::Impl::DecideHedge(const CallInfo& aCall, MonotonicTime aNow)
{
  if (aCall.repeatability_ != Repeatability::Repeatable || aNow >= aCall.deadline_) {
    return std::nullopt;
  }
  if (!retryBudget_.CanSpend() || !hedgeBudget_.CanSpend()) {
    return std::nullopt;
  }
  const auto picked = Pick(aCall, aNow);
  const bool useful = picked && picked->waitServiceTimes_ <= kMaxHedgeWaitServiceTimes &&
                      !WasTried(aCall, static_cast<std::uint32_t>(picked->index_));
  if (!useful) {
    return std::nullopt;
  }
  retryBudget_.TrySpend();
  hedgeBudget_.TrySpend();
  return Dispatch(picked->index_, aNow).upstream_;
}

Duration
ServiceBalancer::Impl::AttemptTimeout(const CallInfo& aCall, MonotonicTime aNow) const
{
  const Duration remaining = std::max(Duration(0), aCall.deadline_ - aNow);
  if (aCall.repeatability_ != Repeatability::Repeatable) {
    return remaining;
  }
  const Duration shareOfRemaining =
    FromMilliseconds(kHeavyTailTimeoutShare * ToMilliseconds(remaining));
  if (!latencyProfile_.HasEnoughSamples()) {
    return shareOfRemaining;
  }
  const Duration p99Timeout =
    FromMilliseconds(std::max(kMinAttemptTimeoutMs, kTimeoutP99Factor * latencyProfile_.P99Ms()));
  return std::min(remaining, HasHeavyTail() ? std::max(p99Timeout, shareOfRemaining) : p99Timeout);
}

} // namespace boragepier
