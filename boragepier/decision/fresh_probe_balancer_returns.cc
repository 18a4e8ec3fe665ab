#include <algorithm>

#include "boragepier/decision/fresh_probe_balancer.h"

namespace boragepier {

namespace {

// Reports up to this age count for the room that a refused caller would find.
constexpr Duration kRoomReportMaxAge = std::chrono::milliseconds(300);
// Share of the retry budget that only requests get whose callers cannot come back.
constexpr double kReservedBudgetShare = 1.0 / 3;
// Callers honour Retry-After up to this share of the time that they have left.
constexpr int kRetryAfterDeadlineShare = 3;

} // namespace

void
FreshProbeBalancer::NoteRefusal(const AttemptReport& aReport, MonotonicTime aNow)
{
  if (aReport.failure_ != AttemptFailure::Refused || aReport.draining_) {
    return;
  }
  RefusedWith room = RefusedWith::UnknownRoom;
  const Upstream& upstream = upstreams_[static_cast<std::size_t>(aReport.upstream_)];
  if (aReport.load_ && aReport.load_->hasLoad_) {
    const unsigned slots = aReport.load_->slots_ > 0 ? aReport.load_->slots_ : SlotsOf(upstream);
    room = aReport.load_->inFlight_ < slots ? RefusedWith::FreeSlots : RefusedWith::NoFreeSlot;
  } else if (const auto ended = FindEnded(aReport, aNow);
             ended != outstanding_.end() && ended->freeSlotReported_) {
    room = RefusedWith::FreeSlots;
  }
  upstreams_[static_cast<std::size_t>(aReport.upstream_)].latestRefusal_ = room;
  returnAdvisor_.OnRefused(room, aNow);
}

RoomEstimate
FreshProbeBalancer::EstimateRoom(const CallInfo& aCall, MonotonicTime aNow) const
{
  RoomEstimate estimate;
  std::size_t known = 0;
  for (const std::uint32_t index : subset_) {
    const Upstream& upstream = upstreams_[index];
    const auto reportAge = upstream.estimate_.ReportAge(aNow);
    if (!AcceptsRequests(upstream, aNow) || !reportAge || *reportAge > kRoomReportMaxAge) {
      continue;
    }
    ++known;
    const unsigned slots = SlotsOf(upstream);
    const unsigned inFlight = upstream.estimate_.InFlight();
    estimate.busySlots_ += std::min(inFlight, slots);
    estimate.freeSlots_ += slots - std::min(inFlight, slots);
    estimate.excess_ += inFlight - std::min(inFlight, slots);
  }
  if (known > 0) {
    // The upstreams without a report are taken to be like the others.
    const double scale = static_cast<double>(subset_.size()) / static_cast<double>(known);
    estimate.busySlots_ *= scale;
    estimate.freeSlots_ *= scale;
    estimate.excess_ *= scale;
  }
  estimate.excess_ += static_cast<double>(queue_.size());
  estimate.serviceMs_ =
    slownessModel_.ServiceTimeMs(ExpectedWorkMs(aCall), slownessModel_.MeanSlowness());
  estimate.queueWait_ = ExpectedQueueWait(aCall).value_or(Duration());
  estimate.sharedBy_ = static_cast<unsigned>(std::max<std::size_t>(
    1, instances_ * subset_.size() / std::max<std::size_t>(1, listed_.size())));
  return estimate;
}

bool
FreshProbeBalancer::WasRefusedByChance(const CallInfo& aCall, MonotonicTime aNow) const
{
  if (!aCall.callerReturns_ || aCall.mayHaveRun_ || aCall.triedUpstreams_.empty()) {
    return false;
  }
  const auto latest = static_cast<std::size_t>(aCall.triedUpstreams_.back());
  return returnAdvisor_.IsByChance(upstreams_[latest].latestRefusal_, aNow);
}

double
FreshProbeBalancer::ReservedForOthers(const CallInfo& aCall, MonotonicTime aNow) const
{
  if (!aCall.callerReturns_ || aCall.returned_ || aCall.mayHaveRun_) {
    return 0;
  }
  const Duration service = FromMilliseconds(slownessModel_.ServiceTimeMs(ExpectedWorkMs(aCall), 1));
  const Duration left = aCall.deadline_ - aNow;
  const bool canReturn =
    left >= kRetryAfterDeadlineShare * kQuickReturn && left >= kQuickReturn + service;
  return canReturn ? kReservedBudgetShare : 0;
}

void
FreshProbeBalancer::RecogniseReturn(CallInfo& aCall, Duration aLatencyTarget, MonotonicTime aNow)
{
  aCall.sentBefore_ =
    returnDetector_.OnRequest(aCall.workClass_, aCall.deadline_ - aCall.arrival_, aNow);
  aCall.returned_ = aCall.sentBefore_ > Duration(0);
  if (aCall.returned_) {
    const MonotonicTime firstSent = aCall.arrival_ - aCall.sentBefore_;
    aCall.targetTime_ = std::min(aCall.deadline_, firstSent + aLatencyTarget);
  }
}

bool
FreshProbeBalancer::IsAhead(const CallInfo& aQueued, const CallInfo& aCall)
{
  if (aQueued.priority_ != aCall.priority_ || !aCall.callerReturns_) {
    return aQueued.priority_ <= aCall.priority_;
  }
  return aQueued.arrival_ - aQueued.sentBefore_ <= aCall.arrival_ - aCall.sentBefore_;
}

ReturnAdvice
FreshProbeBalancer::Advise(const CallInfo& aCall,
                           RefusalCause aCause,
                           Duration aRetryAfter,
                           MonotonicTime aNow)
{
  const bool dependsOnRoom = aCause == RefusalCause::NoRoom ||
                             (aCause == RefusalCause::Unreachable && aRetryAfter == Duration(0));
  if (!dependsOnRoom) {
    return { aCause, aRetryAfter };
  }
  if (const Duration pause = RetryAfterAllPause(aNow); pause > Duration(0)) {
    return { RefusalCause::Paused, pause };
  }
  // With a time, the request was refused from the queue, where it found no room.
  if (aCause == RefusalCause::NoRoom && aRetryAfter == Duration(0) &&
      WasRefusedByChance(aCall, aNow)) {
    return ReturnAdvisor::AdviseByChance(random_);
  }
  const RoomEstimate estimate = EstimateRoom(aCall, aNow);
  // Upstreams may reset connections while they are full.
  if (aCause == RefusalCause::Unreachable &&
      (estimate.freeSlots_ > 0 || estimate.busySlots_ <= 0)) {
    return AdviseWithoutBalancer(aCause, random_);
  }
  return returnAdvisor_.AdviseNoRoom(estimate, aNow, random_);
}

} // namespace boragepier
