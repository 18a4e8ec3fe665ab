#include "boragepier/decision/balancer_impl.h"

#include <algorithm>

#include "boragepier/decision/attempt_rules.h"

namespace boragepier {

namespace {

// A larger service is sampled, which bounds the cost of a choice.
constexpr std::size_t kScanLimit = 32;
// An upstream behind whose slots this many turns of requests are expected gets no more of them;
// they wait in the instance, where they can still go anywhere. 4 to 6 turns halve the latency at
// 120 % load, but cost up to 5 % of the goodput of a service with 8 upstreams in 4 zones.
constexpr double kMaxWaitTurns = 10;
// The same for policies that do not use reports, in own requests per slot.
constexpr unsigned kMaxOwnPerSlot = 4;
// Preference of a home over another upstream, in service times.
constexpr double kHomePreference = 0.2;
// Measured service times within these factors of the mean are taken for equal.
constexpr double kLowDeviation = 0.67;
constexpr double kHighDeviation = 1.5;

} // namespace

double
ServiceBalancer::Impl::Cost(std::size_t aIndex, bool aPreferHomes, MonotonicTime aNow) const
{
  const Upstream& upstream = upstreams_[aIndex];
  const double mean = load_.MeanServiceMs();
  const double slowness = load_.Slowness(aIndex);
  const bool usual = slowness > kLowDeviation && slowness < kHighDeviation;
  const double service = usual ? mean : mean * slowness;
  const double away = aPreferHomes && !upstream.home_ ? kHomePreference * mean : 0;
  return upstream.extraTripMs_ + away + service * (1 + load_.WaitCost(aIndex, latencies_, aNow));
}

std::span<const std::uint32_t>
ServiceBalancer::Impl::ScanList()
{
  if (present_.size() <= kScanLimit) {
    return present_;
  }
  scanned_ = homes_;
  while (scanned_.size() < kScanLimit) {
    scanned_.push_back(present_[random_(present_.size())]);
  }
  return scanned_;
}

void
ServiceBalancer::Impl::CollectFrom(std::span<const std::uint32_t> aIndices,
                                   const CallInfo& aCall,
                                   bool aByStanding,
                                   MonotonicTime aNow)
{
  for (const std::uint32_t index : aIndices) {
    if (!TakesWork(index, aNow) || WasTried(aCall, index)) {
      continue;
    }
    if (aByStanding) {
      const double standing = ejection_.Standing(index, aNow);
      // On the way back one own request at a time is enough to learn from.
      // A further attempt does not test an upstream: its request has met a bad one already.
      const bool limited =
        standing < 1 && (!aCall.tried_.empty() || (standing < 0.5 && load_.Own(index) > 0));
      if (limited || (standing < 1 && static_cast<double>(random_(1000)) >= standing * 1000)) {
        continue;
      }
    }
    candidates_.push_back({ index, load_.Own(index), 0 });
  }
}

void
ServiceBalancer::Impl::Collect(const CallInfo& aCall, MonotonicTime aNow)
{
  candidates_.clear();
  const auto scan = ScanList();
  CollectFrom(scan, aCall, true, aNow);
  if (candidates_.empty()) {
    // All look bad: requests are sent anyway, spread over all.
    CollectFrom(scan, aCall, false, aNow);
  }
  if (candidates_.empty()) {
    CollectFrom(present_, aCall, false, aNow);
  }
  if (candidates_.empty() && !aCall.tried_.empty()) {
    CallInfo untried = aCall;
    untried.tried_.clear();
    CollectFrom(present_, untried, false, aNow);
  }
}

std::optional<ServiceBalancer::Impl::Picked>
ServiceBalancer::Impl::Pick(const CallInfo& aCall, MonotonicTime aNow)
{
  Collect(aCall, aNow);
  if (candidates_.empty()) {
    return std::nullopt;
  }
  return std::visit(
    [&]<ChoicePolicy Policy>(Policy& aPolicy) -> Picked {
      if constexpr (Policy::kUsesReports) {
        for (Candidate& candidate : candidates_) {
          candidate.cost_ = Cost(candidate.index_, Policy::kUsesHomes, aNow);
        }
      }
      const Candidate& best = candidates_[aPolicy.Pick(candidates_, random_)];
      const double wait = Policy::kUsesReports
                            ? load_.ExpectedWait(best.index_, aNow)
                            : kMaxWaitTurns * best.own_ / (kMaxOwnPerSlot * config_.slots_);
      return { best.index_, wait };
    },
    policy_);
}

bool
ServiceBalancer::Impl::IsCongested(const Picked& aPicked) const
{
  return aPicked.waitTurns_ >= kMaxWaitTurns && load_.OwnTotal() > 0;
}

bool
ServiceBalancer::Impl::CannotBeInTime(const CallInfo& aCall,
                                      const Picked& aPicked,
                                      MonotonicTime aNow) const
{
  if (aPicked.waitTurns_ <= 0 || load_.OwnTotal() == 0) {
    return false;
  }
  const double queueMs = static_cast<double>(queue_.Ahead(aCall.trafficClass_)) * endIntervalMs_;
  const double serviceMs = load_.ServiceMs(aPicked.index_);
  const double expectedMs = queueMs + serviceMs * (1 + aPicked.waitTurns_);
  return expectedMs > ToMilliseconds(aCall.deadline_ - aNow);
}

Choice
ServiceBalancer::Impl::Dispatch(std::size_t aIndex, MonotonicTime aNow)
{
  load_.OnDispatch(aIndex, aNow);
  lastDispatch_ = aNow;
  return { Choice::Kind::Dispatch, UpstreamHandle{ static_cast<std::uint32_t>(aIndex) }, {} };
}

Choice
ServiceBalancer::Impl::Enqueue(const CallInfo& aCall, const Picked& aPicked, MonotonicTime aNow)
{
  if (CannotBeInTime(aCall, aPicked, aNow)) {
    return { Choice::Kind::Refuse, {}, RefusalReason::Overloaded };
  }
  std::optional<std::uint64_t> displaced;
  if (!queue_.Push(aCall, displaced)) {
    return { Choice::Kind::Refuse, {}, RefusalReason::Overloaded };
  }
  if (displaced) {
    displaced_.push_back({ *displaced, { Choice::Kind::Refuse, {}, RefusalReason::Overloaded } });
  }
  return { Choice::Kind::Queued, {}, {} };
}

Choice
ServiceBalancer::Impl::Submit(const CallInfo& aCall, MonotonicTime aNow)
{
  const bool first = aCall.tried_.empty();
  if (first) {
    retryBudget_.OnRequest();
    hedgeBudget_.OnRequest();
  }
  if (aCall.deadline_ <= aNow) {
    return { Choice::Kind::Refuse, {}, RefusalReason::DeadlineExpired };
  }
  const auto picked = Pick(aCall, aNow);
  if (!picked) {
    return { Choice::Kind::Refuse, {}, RefusalReason::NoUpstream };
  }
  // A further attempt does not queue: its request has waited once.
  if (first && (queue_.Ahead(aCall.trafficClass_) > 0 || IsCongested(*picked))) {
    return Enqueue(aCall, *picked, aNow);
  }
  if (CannotBeInTime(aCall, *picked, aNow)) {
    return { Choice::Kind::Refuse, {}, RefusalReason::Overloaded };
  }
  if (first && HoldForProbes(aCall, *picked, aNow)) {
    return { Choice::Kind::Queued, {}, {} };
  }
  return Dispatch(picked->index_, aNow);
}

std::vector<ReleasedCall>
ServiceBalancer::Impl::Release(MonotonicTime aNow)
{
  std::vector<ReleasedCall> released = std::move(displaced_);
  displaced_.clear();
  for (const std::uint64_t id : queue_.TakeExpired(aNow)) {
    released.push_back({ id, { Choice::Kind::Refuse, {}, RefusalReason::QueueTimeout } });
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
      aReleased.push_back({ front->id_, { Choice::Kind::Refuse, {}, RefusalReason::NoUpstream } });
      queue_.PopFront();
      continue;
    }
    // Estimates may be wrong for long; after one service time without a dispatch one is sent.
    const bool overdue = aNow >= lastDispatch_ + FromMilliseconds(load_.MeanServiceMs());
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
    return lastDispatch_;
  }
  std::optional<MonotonicTime> next;
  if (const auto deadline = queue_.EarliestDeadline()) {
    next = std::min(*deadline, lastDispatch_ + FromMilliseconds(load_.MeanServiceMs()));
  }
  for (const Held& held : held_) {
    next = next ? std::min(*next, held.until_) : held.until_;
  }
  return next;
}

} // namespace boragepier
