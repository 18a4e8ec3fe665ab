#ifndef BORAGEPIER_DECISION_UPSTREAM_PAUSE_H
#define BORAGEPIER_DECISION_UPSTREAM_PAUSE_H

#include <algorithm>
#include <cstdint>
#include <optional>

#include "boragepier/base/random.h"
#include "boragepier/base/time.h"

namespace boragepier {

/// Pause that an upstream asked for when it refused a request (Retry-After). Until its end this
/// instance sends the upstream nothing. Then one request tries the upstream, and the others follow
/// when it has been answered.
class UpstreamPause
{
public:
  enum class State : std::uint8_t
  {
    None,   ///< the upstream may receive requests
    Paused, ///< until End()
    Trial,  ///< the pause has ended, and the request that tries the upstream is in flight
  };

  /// The upstream asked for a pause. A pause in progress is not shortened.
  /// @return by how much the end of the pauses has moved
  Duration Begin(Duration aDuration, MonotonicTime aNow)
  {
    const MonotonicTime previousEnd = std::max(end_, aNow);
    end_ = std::max(end_, aNow + aDuration);
    needsTrial_ = true;
    trialInFlight_ = false;
    return end_ - previousEnd;
  }
  /// A request is sent to the upstream.
  void OnDispatch() { trialInFlight_ = needsTrial_; }
  /// An attempt has ended.
  /// @param aSentAt time of its dispatch
  /// @param aSent whether it reached the upstream, or may have
  void OnAttemptEnded(MonotonicTime aSentAt, bool aSent)
  {
    if (needsTrial_ && aSentAt >= end_) {
      trialInFlight_ = false;
      needsTrial_ = !aSent;
    }
  }

  State StateAt(MonotonicTime aNow) const
  {
    if (!needsTrial_) {
      return State::None;
    }
    if (aNow < end_) {
      return State::Paused;
    }
    return trialInFlight_ ? State::Trial : State::None;
  }
  /// @return end of the latest pause; valid if StateAt() is Paused
  MonotonicTime End() const { return end_; }

private:
  MonotonicTime end_{};
  bool needsTrial_ = false;    ///< no request has been answered since the pause
  bool trialInFlight_ = false; ///< a request was dispatched since the pause, and has not ended
};

/// The pauses of all upstreams of a service that are in use.
class PauseSummary
{
public:
  void Add(const UpstreamPause& aPause, MonotonicTime aNow)
  {
    switch (aPause.StateAt(aNow)) {
      case UpstreamPause::State::None:
        anyAdmits_ = true;
        break;
      case UpstreamPause::State::Paused:
        firstEnd_ = std::min(firstEnd_.value_or(aPause.End()), aPause.End());
        break;
      case UpstreamPause::State::Trial:
        anyOnTrial_ = true;
        break;
    }
  }

  /// @return whether a request may be sent to an upstream now
  bool AnyAdmits() const { return anyAdmits_; }
  /// @return whether a request that tries an upstream is in flight
  bool AnyOnTrial() const { return anyOnTrial_; }
  /// @return the first end of a pause if all upstreams pause, and there are any
  std::optional<MonotonicTime> EndIfAllPause() const
  {
    return anyAdmits_ || anyOnTrial_ ? std::nullopt : firstEnd_;
  }

private:
  bool anyAdmits_ = false;
  bool anyOnTrial_ = false;
  std::optional<MonotonicTime> firstEnd_;
};

/// Returns the Retry-After of a request that is refused because all upstreams pause. Spread, so
/// that callers do not all come back at the moment at which one request tries the upstream.
/// @param aEnd first end of a pause
inline Duration
RetryAfterPause(MonotonicTime aEnd, MonotonicTime aNow, Random& aRandom)
{
  constexpr Duration kMinSpread = std::chrono::milliseconds(100);
  const Duration remaining = aEnd - aNow;
  const Duration spread = std::max(kMinSpread, remaining / 4);
  return remaining + Duration(aRandom(static_cast<std::uint64_t>(spread.count())));
}

} // namespace boragepier

#endif
