#include "boragepier/decision/balancer_impl.h"

#include <algorithm>

namespace boragepier {

namespace {

// A request whose best upstream is expected to make it wait this long, in service times, is held
// until probes have returned.
constexpr double kHoldWaitTurns = 0.5;
// Probes for one request. More brought less than the additional trip of waiting for all of them.
constexpr std::size_t kProbesPerCall = 3;
// A held request leaves at once when an upstream with no more than this expected wait is found.
constexpr double kFreeWaitTurns = 0.2;
// Probes are waited for this multiple of their usual round trip.
constexpr double kPatience = 1.5;
constexpr double kAverageWeight = 0.05;
// Below this share of probes that bring a report no request waits for one.
constexpr double kMinProbeSuccess = 0.5;

} // namespace

bool
ServiceBalancer::Impl::HoldForProbes(const CallInfo& aCall,
                                     const Picked& aPicked,
                                     MonotonicTime aNow)
{
  const bool uses = config_.probesPerUpstreamSecond_ > 0 &&
                    std::visit([](const auto& aPolicy) { return aPolicy.kUsesReports; }, policy_);
  if (!uses || aPicked.waitTurns_ < kHoldWaitTurns) {
    return false;
  }
  const Duration patience = FromMilliseconds(kPatience * probeRttMs_);
  Held held{ aCall, std::min(aCall.deadline_, aNow + patience), {} };
  const std::size_t count = std::min(kProbesPerCall, candidates_.size());
  std::partial_sort(
    candidates_.begin(),
    candidates_.begin() + static_cast<std::ptrdiff_t>(count),
    candidates_.end(),
    [](const Candidate& aLeft, const Candidate& aRight) { return aLeft.cost_ < aRight.cost_; });
  for (std::size_t i = 0; i < count && probeBudget_.TryTake(aNow); ++i) {
    held.awaited_.push_back(candidates_[i].index_);
    wantedProbes_.push_back(candidates_[i].index_);
  }
  // While probes fail they are still sent, to notice when they work again.
  if (held.awaited_.empty() || probeSuccess_ < kMinProbeSuccess) {
    return false;
  }
  held_.push_back(std::move(held));
  return true;
}

void
ServiceBalancer::Impl::ReleaseHeld(std::vector<ReleasedCall>& aReleased, MonotonicTime aNow)
{
  std::erase_if(held_, [&](const Held& aHeld) {
    const auto picked = Pick(aHeld.call_, aNow);
    if (!picked) {
      aReleased.push_back(
        { aHeld.call_.id_, { Choice::Kind::Refuse, {}, RefusalReason::NoUpstream } });
      return true;
    }
    const bool ready =
      aHeld.awaited_.empty() || aNow >= aHeld.until_ || picked->waitTurns_ <= kFreeWaitTurns;
    if (ready) {
      aReleased.push_back({ aHeld.call_.id_, Dispatch(picked->index_, aNow) });
    }
    return ready;
  });
}

bool
ServiceBalancer::Impl::CancelQueued(std::uint64_t aCallId)
{
  return queue_.Remove(aCallId) ||
         std::erase_if(held_, [&](const Held& aHeld) { return aHeld.call_.id_ == aCallId; }) > 0;
}

std::optional<UpstreamHandle>
ServiceBalancer::Impl::NextProbe(MonotonicTime aNow)
{
  while (!wantedProbes_.empty()) {
    const std::uint32_t index = wantedProbes_.front();
    wantedProbes_.pop_front();
    // Requests that wait in the queue show that there is no capacity to spare for probing.
    if (TakesWork(index, aNow) && queue_.Size() == 0) {
      return UpstreamHandle{ index };
    }
  }
  return std::nullopt;
}

void
ServiceBalancer::Impl::OnProbeEnded(UpstreamHandle aUpstream,
                                    std::optional<LoadReport> aLoad,
                                    Duration aRoundTrip,
                                    MonotonicTime aNow)
{
  const auto index = static_cast<std::uint32_t>(aUpstream);
  if (aLoad && !aLoad->known_) {
    aLoad.reset();
  }
  for (Held& held : held_) {
    if (const auto found = std::find(held.awaited_.begin(), held.awaited_.end(), index);
        found != held.awaited_.end()) {
      held.awaited_.erase(found);
    }
  }
  // A probe without a report says nothing about requests: the upstream may not support probes.
  probeSuccess_ += kAverageWeight * ((aLoad ? 1 : 0) - probeSuccess_);
  if (aLoad) {
    probeRttMs_ += kAverageWeight * (ToMilliseconds(aRoundTrip) - probeRttMs_);
    load_.OnReport(index, aLoad->inFlight_, aNow);
  }
}

} // namespace boragepier
