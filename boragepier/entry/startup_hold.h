#ifndef BORAGEPIER_ENTRY_STARTUP_HOLD_H
#define BORAGEPIER_ENTRY_STARTUP_HOLD_H

#include <algorithm>
#include <cstddef>
#include <optional>

#include "boragepier/base/time.h"

namespace boragepier {

struct StartupHoldLimits
{
  std::size_t maxRequests_ = 256;
  std::size_t maxBytes_ = std::size_t{ 4 } << 20;     ///< of the bodies of the held requests
  Duration maxHold_ = std::chrono::milliseconds(500); ///< from the arrival of a request
  double maxShareOfTimeLimit_ = 0.25;                 ///< of the time limit of the caller
  Duration period_ = std::chrono::milliseconds(2000); ///< in which requests are held
};

/// Decides which requests wait for the first configuration of an instance that starts, and for how
/// long. An instance without a configuration for longer than a short period refuses them at once,
/// so that callers try another one. Reads no clock and does no I/O.
class StartupHold
{
public:
  explicit StartupHold(const StartupHoldLimits& aLimits = {})
    : limits_(aLimits)
  {
  }

  /// Admits a request that arrived before there is a configuration.
  /// @param aTimeLimit time from its arrival in which the caller wants the response, if it said so
  /// @param aBytes size of its body
  /// @return the time until which it may wait, or nothing if it is to be refused at once. Each
  /// admitted request is to be ended with End().
  std::optional<MonotonicTime> Begin(MonotonicTime aArrival,
                                     std::optional<Duration> aTimeLimit,
                                     std::size_t aBytes,
                                     MonotonicTime aNow)
  {
    if (!firstAt_) {
      firstAt_ = aNow;
    }
    Duration hold = limits_.maxHold_;
    if (aTimeLimit) {
      hold = std::min(
        hold, std::chrono::duration_cast<Duration>(*aTimeLimit * limits_.maxShareOfTimeLimit_));
    }
    const MonotonicTime until = std::min(aArrival + hold, *firstAt_ + limits_.period_);
    if (until <= aNow || requests_ >= limits_.maxRequests_ || aBytes > limits_.maxBytes_ - bytes_) {
      return std::nullopt;
    }
    ++requests_;
    bytes_ += aBytes;
    return until;
  }

  /// Ends the wait of an admitted request.
  void End(std::size_t aBytes)
  {
    --requests_;
    bytes_ -= aBytes;
  }

  std::size_t Requests() const { return requests_; }

private:
  const StartupHoldLimits limits_;
  std::optional<MonotonicTime> firstAt_; ///< first call of Begin()
  std::size_t requests_ = 0;
  std::size_t bytes_ = 0;
};

} // namespace boragepier

#endif
