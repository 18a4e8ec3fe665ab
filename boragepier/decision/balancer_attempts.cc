#include "boragepier/decision/balancer_impl.h"

#include <algorithm>

#include "boragepier/decision/attempt_rules.h"

namespace boragepier {

namespace {

constexpr std::size_t kMaxAttempts = 3;
// An upstream whose service time is above this multiple of the mean is a straggler.
constexpr double kSlowFactor = 2.5;
// One attempt may take this multiple of the 99th percentile before it is given up; with
// heavy-tailed service times also this share of the time left. Without the share long calls were
// cut off and sent again in vain: p99 at 85 % was 153 ms instead of 104 ms. Without heavy tails the
// share is left out, so that a call that meets silent connections twice still has time for another
// attempt.
constexpr double kTimeoutFactor = 5;
constexpr double kTimeoutShare = 2.0 / 3;
// Lower limits would mostly cut off scheduling delays of fast services.
constexpr double kMinTimeoutMs = 50;
// A hedge is sent after this multiple of the 99th percentile. Most calls that are slow at the 95th
// percentile are long, not stuck: hedging them raised p99 by 2 to 3 ms at 85 % load.
constexpr double kHedgeFactor = 2.5;
// With heavy-tailed service times a call that is slow has probably met a long one, and an earlier
// hedge lowers p99. The times are heavy-tailed if what remains at the 99th percentile is this
// multiple of what remains at the start.
constexpr double kHeavyHedgeFactor = 0.4;
constexpr double kHeavyRemaining = 1.5;
// A hedge is worth its cost only where hardly any wait is expected, in service times.
constexpr double kMaxHedgeWaitTurns = 0.2;
constexpr double kEndIntervalWeight = 0.05;

} // namespace

void
ServiceBalancer::Impl::JudgeLatency(std::size_t aIndex, Duration aLatency, MonotonicTime aNow)
{
  const double limit = kSlowFactor * load_.MeanServiceMs();
  if (load_.RecentSlowness(aIndex) > kSlowFactor && ToMilliseconds(aLatency) > limit) {
    ejection_.OnSlow(aIndex, aNow, random_);
  } else {
    ejection_.OnSuccess(aIndex);
  }
}

void
ServiceBalancer::Impl::JudgeAttempt(std::size_t aIndex,
                                    const AttemptReport& aReport,
                                    MonotonicTime aNow)
{
  if (aReport.failure_ == AttemptFailure::None && aReport.status_ < 500) {
    load_.OnAnswer(aIndex, aReport.latency_, aReport.load_ ? aReport.load_->inFlight_ : 0);
    latencies_.Add(aReport.latency_);
    JudgeLatency(aIndex, aReport.latency_, aNow);
    return;
  }
  if (aReport.failure_ == AttemptFailure::Cancelled) {
    // The service takes at least this long; a hedge's loser is the only sign of some stragglers.
    if (ToMilliseconds(aReport.latency_) > kSlowFactor * load_.MeanServiceMs()) {
      load_.OnAnswer(aIndex, aReport.latency_, 0);
      JudgeLatency(aIndex, aReport.latency_, aNow);
    }
    return;
  }
  if (aReport.failure_ == AttemptFailure::Refused) {
    // Shedding is a sign of load, not of a fault: the upstream counts as full for a while.
    load_.OnReport(aIndex, load_.Own(aIndex) + 4 * config_.slots_, aNow);
    return;
  }
  ejection_.OnError(aIndex, aNow, random_);
}

void
ServiceBalancer::Impl::OnAttemptEnded(const AttemptReport& aReport, MonotonicTime aNow)
{
  const auto index = static_cast<std::size_t>(aReport.upstream_);
  load_.OnEnded(index, aReport.latency_, aNow);
  if (lastEnd_ != MonotonicTime()) {
    const double interval = ToMilliseconds(aNow - lastEnd_);
    endIntervalMs_ += kEndIntervalWeight * (interval - endIntervalMs_);
  }
  lastEnd_ = aNow;
  if (aReport.draining_) {
    MarkLeaving(aReport.upstream_, aNow);
  }
  const bool healthy = aReport.failure_ == AttemptFailure::None && aReport.status_ < 500;
  if (healthy && aReport.load_ && aReport.load_->inFlight_ > 0) {
    load_.OnReport(index, aReport.load_->inFlight_ - 1, aNow);
  }
  JudgeAttempt(index, aReport, aNow);
}

RetryVerdict
ServiceBalancer::Impl::MayRetry(const CallInfo& aCall,
                                const AttemptReport& aReport,
                                MonotonicTime aNow)
{
  const auto reason = RetryReasonOf(aReport);
  const bool harmless =
    aCall.repeatability_ == Repeatability::Repeatable || aReport.outcome_ == Outcome::NotRun;
  if (!reason || !harmless || aNow >= aCall.deadline_ || aCall.tried_.size() >= kMaxAttempts) {
    return {};
  }
  if (!retryBudget_.TryTake()) {
    return {};
  }
  return { true, *reason };
}

bool
ServiceBalancer::Impl::HasHeavyTail() const
{
  const Duration p99 = FromMilliseconds(latencies_.P99Ms());
  return latencies_.RemainingFactor(p99) >= kHeavyRemaining;
}

std::optional<Duration>
ServiceBalancer::Impl::HedgeDelay(const CallInfo& aCall, MonotonicTime aNow) const
{
  const bool repeatable = aCall.repeatability_ == Repeatability::Repeatable;
  if (!repeatable || config_.hedgeRatio_ <= 0 || !latencies_.Ready()) {
    return std::nullopt;
  }
  const double factor = HasHeavyTail() ? kHeavyHedgeFactor : kHedgeFactor;
  const Duration delay = FromMilliseconds(factor * latencies_.P99Ms());
  if (aNow + delay >= aCall.deadline_) {
    return std::nullopt;
  }
  return delay;
}

std::optional<UpstreamHandle>
ServiceBalancer::Impl::Hedge(const CallInfo& aCall, MonotonicTime aNow)
{
  if (aCall.repeatability_ != Repeatability::Repeatable || aNow >= aCall.deadline_) {
    return std::nullopt;
  }
  if (!retryBudget_.CanTake() || !hedgeBudget_.CanTake()) {
    return std::nullopt;
  }
  const auto picked = Pick(aCall, aNow);
  const bool useful = picked && picked->waitTurns_ <= kMaxHedgeWaitTurns &&
                      !WasTried(aCall, static_cast<std::uint32_t>(picked->index_));
  if (!useful) {
    return std::nullopt;
  }
  retryBudget_.TryTake();
  hedgeBudget_.TryTake();
  return Dispatch(picked->index_, aNow).upstream_;
}

Duration
ServiceBalancer::Impl::AttemptTimeout(const CallInfo& aCall, MonotonicTime aNow) const
{
  const Duration left = std::max(Duration(0), aCall.deadline_ - aNow);
  if (aCall.repeatability_ != Repeatability::Repeatable) {
    return left;
  }
  const Duration share = FromMilliseconds(kTimeoutShare * ToMilliseconds(left));
  if (!latencies_.Ready()) {
    return share;
  }
  const Duration usual =
    FromMilliseconds(std::max(kMinTimeoutMs, kTimeoutFactor * latencies_.P99Ms()));
  return std::min(left, HasHeavyTail() ? std::max(usual, share) : usual);
}

} // namespace boragepier
