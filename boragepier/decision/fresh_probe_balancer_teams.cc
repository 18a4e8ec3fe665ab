#include <algorithm>
#include <utility>

#include "boragepier/decision/fresh_probe_balancer.h"

// The order of the queue, and the shares of the teams in it.

namespace boragepier {

bool
FreshProbeBalancer::GoesBefore(const QueuedRequest& aQueued, const CallInfo& aCall, double aTag)
{
  if (aQueued.call_.priority_ != aCall.priority_) {
    return aQueued.call_.priority_ < aCall.priority_;
  }
  const bool sameTeam = aQueued.call_.team_ == aCall.team_;
  return sameTeam || aQueued.fairTag_ == aTag ? IsAhead(aQueued.call_, aCall)
                                              : aQueued.fairTag_ < aTag;
}

double
FreshProbeBalancer::NextFairTag(const CallInfo& aCall) const
{
  // A request that is submitted again has had its turn.
  return aCall.triedUpstreams_.empty() && !aCall.moved_ ? fairQueue_.NextTag(aCall.team_)
                                                        : fairQueue_.VirtualTime();
}

void
FreshProbeBalancer::ChargeTeam(QueuedRequest& aQueued)
{
  const CallInfo& call = aQueued.call_;
  aQueued.fairTag_ = NextFairTag(call);
  // Without teams, all requests have the same tag.
  const bool hasTeams = call.team_ != 0 || fairQueue_.IsActive();
  if (hasTeams && call.triedUpstreams_.empty() && !call.moved_) {
    aQueued.fairCost_ = std::max(1.0, ExpectedWorkMs(call));
    fairQueue_.Charge(call.team_, aQueued.fairCost_);
  }
}

void
FreshProbeBalancer::SettleTeam(const QueuedRequest& aQueued, bool aDispatched)
{
  if (aDispatched) {
    fairQueue_.OnDispatch(aQueued.fairTag_);
  } else if (aQueued.fairCost_ > 0) {
    fairQueue_.Refund(aQueued.call_.team_, aQueued.fairCost_);
  }
}

bool
FreshProbeBalancer::WaitsBehindTeams(const CallInfo& aCall, MonotonicTime aNow) const
{
  if (!fairQueue_.IsActive()) {
    return false;
  }
  const double tag = NextFairTag(aCall);
  return std::any_of(queue_.begin(), queue_.end(), [&](const QueuedRequest& aQueued) {
    return aQueued.probeStage_ == ProbeStage::AllZones && ProbeStageEnded(aQueued, aNow) &&
           GoesBefore(aQueued, aCall, tag);
  });
}

void
FreshProbeBalancer::Enqueue(QueuedRequest aQueued)
{
  const double tag = aQueued.fairTag_;
  const auto position =
    std::find_if(queue_.begin(), queue_.end(), [&](const QueuedRequest& aOther) {
      const bool samePriority = aOther.call_.priority_ == aQueued.call_.priority_;
      return samePriority && aOther.fairTag_ != tag ? aOther.fairTag_ > tag
                                                    : !IsAhead(aOther.call_, aQueued.call_);
    });
  auto inserted = queue_.insert(position, std::move(aQueued));
  // Inside a team the requests keep their order, and the tags stay at their places.
  for (auto other = inserted; other != queue_.begin();) {
    --other;
    const bool sameTeam = other->call_.team_ == inserted->call_.team_ &&
                          other->call_.priority_ == inserted->call_.priority_;
    if (sameTeam && !IsAhead(other->call_, inserted->call_)) {
      std::swap(*other, *inserted);
      std::swap(other->fairTag_, inserted->fairTag_);
      inserted = other;
    }
  }
}

} // namespace boragepier
