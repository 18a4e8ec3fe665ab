#include "boragepier/decision/return_advice.h"

#include <algorithm>
#include <cmath>

namespace boragepier {

namespace {

// After a refusal that says nothing about the room elsewhere. Shorter than most service times, and
// spread so that callers refused together come back apart.
constexpr double kQuickReturnMinMs = 8;
constexpr double kQuickReturnSpreadMs = 30;
// An instance that has just started has its configuration within this time, and others have it.
constexpr double kNotConfiguredMinMs = 50;
constexpr double kNotConfiguredSpreadMs = 100;
constexpr double kNoRoomMinMs = 100;
constexpr double kNoRoomMaxMs = 5000;
// For no room without an estimate of the load.
constexpr double kNoRoomDefaultMs = 1000;
// Returns are spread over at most this time.
constexpr double kMaxReturnScheduleMs = 2000;
constexpr double kRefusalHalfLifeMs = 300;

Duration
Spread(double aMinMs, double aSpreadMs, Random& aRandom)
{
  return FromMilliseconds(aMinMs + aSpreadMs * static_cast<double>(aRandom(1000)) / 1000);
}

} // namespace

std::string_view
ToString(RefusalCause aCause)
{
  switch (aCause) {
    case RefusalCause::None:
      break;
    case RefusalCause::Chance:
      return "chance";
    case RefusalCause::NoRoom:
      return "no-room";
    case RefusalCause::Paused:
      return "paused";
    case RefusalCause::Cold:
      return "cold";
    case RefusalCause::Quota:
      return "quota";
    case RefusalCause::NotConfigured:
      return "not-configured";
    case RefusalCause::ShuttingDown:
      return "shutting-down";
    case RefusalCause::Unreachable:
      return "unreachable";
  }
  return "none";
}

RefusalCause
RefusalCauseOf(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::Overloaded:
    case RefusalReason::QueueTimeout:
      return RefusalCause::NoRoom;
    case RefusalReason::NoUpstream:
      return RefusalCause::Unreachable;
    case RefusalReason::UpstreamsPaused:
      return RefusalCause::Paused;
    case RefusalReason::UpstreamsCold:
      return RefusalCause::Cold;
    case RefusalReason::QuotaExceeded:
      return RefusalCause::Quota;
    case RefusalReason::NotConfigured:
      return RefusalCause::NotConfigured;
    case RefusalReason::ShuttingDown:
      return RefusalCause::ShuttingDown;
    default:
      return RefusalCause::None;
  }
}

Duration
SpreadReturn(Duration aWait, Random& aRandom)
{
  const double jitter = 0.75 + static_cast<double>(aRandom(500)) / 1000;
  return FromMilliseconds(std::clamp(ToMilliseconds(aWait) * jitter, kNoRoomMinMs, kNoRoomMaxMs));
}

ReturnAdvice
AdviseWithoutBalancer(RefusalCause aCause, Random& aRandom)
{
  switch (aCause) {
    case RefusalCause::NotConfigured:
      return { aCause, Spread(kNotConfiguredMinMs, kNotConfiguredSpreadMs, aRandom) };
    case RefusalCause::Unreachable:
      return { aCause, Spread(kQuickReturnMinMs, kQuickReturnSpreadMs, aRandom) };
    default:
      return { aCause, Duration(0) };
  }
}

double
ReturnAdvisor::Decay(MonotonicTime aNow) const
{
  return std::exp2(-std::max(0.0, ToMilliseconds(aNow - decayedAt_)) / kRefusalHalfLifeMs);
}

void
ReturnAdvisor::OnRefused(RefusedWith aRoom, MonotonicTime aNow)
{
  const double factor = Decay(aNow);
  refusedWithRoom_ = refusedWithRoom_ * factor + (aRoom == RefusedWith::FreeSlots ? 1 : 0);
  refusedFull_ = refusedFull_ * factor + (aRoom == RefusedWith::NoFreeSlot ? 1 : 0);
  decayedAt_ = std::max(decayedAt_, aNow);
}

bool
ReturnAdvisor::IsByChance(RefusedWith aRoom, MonotonicTime aNow) const
{
  if (aRoom == RefusedWith::NoFreeSlot) {
    return false;
  }
  // Reports are a little old: near full load some refusals with free slots have no other cause than
  // the load. Both counts decay alike, so the decay matters only for the weight of old refusals.
  const double factor = Decay(aNow);
  const double withRoom = refusedWithRoom_ * factor;
  return withRoom > 0 && withRoom >= refusedFull_ * factor;
}

ReturnAdvice
ReturnAdvisor::AdviseByChance(Random& aRandom)
{
  return { RefusalCause::Chance, Spread(kQuickReturnMinMs, kQuickReturnSpreadMs, aRandom) };
}

ReturnAdvice
ReturnAdvisor::AdviseNoRoom(const RoomEstimate& aEstimate, MonotonicTime aNow, Random& aRandom)
{
  const double instances = std::max(1U, aEstimate.sharedBy_);
  double waitMs = kNoRoomDefaultMs;
  double intervalMs = 0; // between slots that become free for this instance
  if (aEstimate.busySlots_ > 0 && aEstimate.serviceMs_ > 0) {
    intervalMs = aEstimate.serviceMs_ * instances / aEstimate.busySlots_;
    waitMs = aEstimate.excess_ * aEstimate.serviceMs_ / aEstimate.busySlots_;
  }
  waitMs = std::max(waitMs, ToMilliseconds(aEstimate.queueWait_));
  const MonotonicTime earliest = aNow + FromMilliseconds(waitMs);
  const MonotonicTime latest = earliest + FromMilliseconds(kMaxReturnScheduleMs);
  const MonotonicTime at = std::clamp(nextReturn_, earliest, latest);
  nextReturn_ = at + FromMilliseconds(intervalMs);
  return { RefusalCause::NoRoom, SpreadReturn(at - aNow, aRandom) };
}

} // namespace boragepier
