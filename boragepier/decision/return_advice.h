#ifndef BORAGEPIER_DECISION_RETURN_ADVICE_H
#define BORAGEPIER_DECISION_RETURN_ADVICE_H

#include <cstdint>
#include <optional>
#include <string_view>

#include "boragepier/base/outcome.h"
#include "boragepier/base/random.h"
#include "boragepier/base/time.h"

namespace boragepier {

/// Why a request was refused, as far as it decides when its caller should come back.
enum class RefusalCause : std::uint8_t
{
  None,          ///< no advice: the caller need not come back, or the time is set elsewhere
  Chance,        ///< upstreams refused the request although they reported free slots
  NoRoom,        ///< all slots are taken
  Paused,        ///< all upstreams pause
  Cold,          ///< all upstreams are cold
  Quota,         ///< the team has used up its quota
  NotConfigured, ///< this instance has just started
  ShuttingDown,  ///< this instance is leaving
  Unreachable,   ///< no upstream could be reached from this instance
};

std::string_view
ToString(RefusalCause aCause);

/// @return the cause that follows from the reason of a refusal alone. For Overloaded it is NoRoom;
///   ReturnAdvisor tells NoRoom from Chance
RefusalCause
RefusalCauseOf(RefusalReason aReason);

/// When a refused caller should come back, and why.
struct ReturnAdvice
{
  RefusalCause cause_ = RefusalCause::None;
  Duration retryAfter_{}; ///< zero if unknown
};

/// Advice for a request that was refused before the balancer of a service could decide about it.
ReturnAdvice
AdviseWithoutBalancer(RefusalCause aCause, Random& aRandom);

/// What an upstream that refused a request had said about its slots.
enum class RefusedWith : std::uint8_t
{
  UnknownRoom,
  FreeSlots,
  NoFreeSlot,
};

/// Free slots of the upstreams of a service, and what takes the others.
struct RoomEstimate
{
  double freeSlots_ = 0;  ///< by recent reports
  double busySlots_ = 0;  ///< slots that are taken; 0 if unknown
  double excess_ = 0;     ///< requests that wait for a slot, here and at the upstreams
  double serviceMs_ = 0;  ///< mean service time of a request; 0 if unknown
  Duration queueWait_{};  ///< wait behind the queue of this instance; zero if unknown
  unsigned sharedBy_ = 1; ///< instances that send requests to these slots
};

/// Decides for one service and one instance when refused callers should come back. Callers come
/// back to another instance mostly, so what holds for this instance alone is no reason to wait.
class ReturnAdvisor
{
public:
  /// An upstream refused a request.
  void OnRefused(RefusedWith aRoom, MonotonicTime aNow);

  /// @param aRoom of the latest upstream that refused the request
  /// @return whether the request was refused by chance, while there is room
  bool IsByChance(RefusedWith aRoom, MonotonicTime aNow) const;

  /// Advice for a caller whose request upstreams refused by chance.
  static ReturnAdvice AdviseByChance(Random& aRandom);
  /// Advice for a caller for whom there is no room. Consecutive callers are given times that follow
  /// each other at the rate at which slots become free, so that their returns fit the room.
  ReturnAdvice AdviseNoRoom(const RoomEstimate& aEstimate, MonotonicTime aNow, Random& aRandom);

private:
  double Decay(MonotonicTime aNow) const;

  double refusedWithRoom_ = 0; ///< decayed count of refusals
  double refusedFull_ = 0;     ///< likewise
  MonotonicTime decayedAt_{};
  MonotonicTime nextReturn_{}; ///< the first time at which another returning caller fits in
};

/// @return a Retry-After of about a time until there is room, within fixed limits; spread, so that
///   callers that are refused at the same time do not come back at the same time
Duration
SpreadReturn(Duration aWait, Random& aRandom);

/// Time that a caller needs between a refusal by chance and the start of its request at another
/// instance.
inline constexpr Duration kQuickReturn = std::chrono::milliseconds(50);

} // namespace boragepier

#endif
