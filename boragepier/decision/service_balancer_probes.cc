#include "boragepier/decision/service_balancer_impl.h"

#include <algorithm>

namespace boragepier {

namespace {

// A request is held until probes have ended if its expected wait at the picked upstream is at least
// this, in service times.
constexpr double kMinHoldWaitServiceTimes = 0.5;
// Probes per held request. The gain from more probes is smaller than the longer wait for all of
// them.
constexpr std::size_t kProbesPerRequest = 3;
// A held request is dispatched early if an upstream with at most this expected wait, in service
// times, is known.
constexpr double kMaxReleaseWaitServiceTimes = 0.2;
// A request is held for at most this multiple of the mean round trip of a probe.
constexpr double kProbeWaitRtts = 1.5;
constexpr double kProbeEwmaWeight = 0.05;
// No request is held if a smaller share of the probes returns a load report.
constexpr double kMinProbeSuccessRate = 0.5;

} // namespace

bool
ServiceBalancer::Impl::HoldForProbes(const CallInfo& aCall,
                                     const PickedUpstream& aPicked,
                                     MonotonicTime aNow)
{
  const bool usesProbes =
    config_.probesPerUpstreamSecond_ > 0 &&
    std::visit([](const auto& aPolicy) { return aPolicy.kUsesReports; }, policy_);
  if (!usesProbes || aPicked.waitServiceTimes_ < kMinHoldWaitServiceTimes) {
    return false;
  }
  const Duration probeWait = FromMilliseconds(kProbeWaitRtts * probeRttMs_);
  HeldRequest held{ aCall, std::min(aCall.deadline_, aNow + probeWait), {} };
  const std::size_t count = std::min(kProbesPerRequest, candidates_.size());
  std::partial_sort(
    candidates_.begin(),
    candidates_.begin() + static_cast<std::ptrdiff_t>(count),
    candidates_.end(),
    [](const Candidate& aLeft, const Candidate& aRight) { return aLeft.cost_ < aRight.cost_; });
  for (std::size_t i = 0; i < count && probeBudget_.TrySpend(aNow); ++i) {
    held.awaitedProbes_.push_back(candidates_[i].index_);
    pendingProbes_.push_back(candidates_[i].index_);
  }
  // Probes are sent even while most of them fail, to notice when they succeed again.
  if (held.awaitedProbes_.empty() || probeSuccessRate_ < kMinProbeSuccessRate) {
    return false;
  }
  heldRequests_.push_back(std::move(held));
  return true;
}

void
ServiceBalancer::Impl::ReleaseHeld(std::vector<ReleasedCall>& aReleased, MonotonicTime aNow)
{
  std::erase_if(heldRequests_, [&](const HeldRequest& aHeld) {
    const auto picked = Pick(aHeld.call_, aNow);
    if (!picked) {
      if (const auto decision = DecideWithoutUpstream(aHeld.call_, aNow);
          decision.kind_ != RoutingDecision::Kind::Queued) {
        aReleased.push_back({ aHeld.call_.id_, decision });
      }
      return true;
    }
    const bool ready = aHeld.awaitedProbes_.empty() || aNow >= aHeld.holdUntil_ ||
                       picked->waitServiceTimes_ <= kMaxReleaseWaitServiceTimes;
    if (ready) {
      aReleased.push_back({ aHeld.call_.id_, Dispatch(picked->index_, aNow) });
    }
    return ready;
  });
}

bool
ServiceBalancer::Impl::CancelQueued(std::uint64_t aCallId)
{
  return queue_.Remove(aCallId) || std::erase_if(heldRequests_, [&](const HeldRequest& aHeld) {
                                     return aHeld.call_.id_ == aCallId;
                                   }) > 0;
}

std::optional<UpstreamHandle>
ServiceBalancer::Impl::NextProbe(MonotonicTime aNow)
{
  while (!pendingProbes_.empty()) {
    const std::uint32_t index = pendingProbes_.front();
    pendingProbes_.pop_front();
    // While requests are queued there is no spare capacity for probes.
    if (AcceptsRequests(index, aNow) && queue_.Size() == 0) {
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
  if (aLoad && !aLoad->hasLoad_) {
    aLoad.reset();
  }
  for (HeldRequest& held : heldRequests_) {
    if (const auto found = std::find(held.awaitedProbes_.begin(), held.awaitedProbes_.end(), index);
        found != held.awaitedProbes_.end()) {
      held.awaitedProbes_.erase(found);
    }
  }
  // A failed probe does not count as a failure of the upstream, which may not support probes.
  probeSuccessRate_ += kProbeEwmaWeight * ((aLoad ? 1 : 0) - probeSuccessRate_);
  if (aLoad) {
    probeRttMs_ += kProbeEwmaWeight * (ToMilliseconds(aRoundTrip) - probeRttMs_);
    loadEstimator_.OnReport(index, aLoad->inFlight_, aNow);
  }
}

} // namespace boragepier
