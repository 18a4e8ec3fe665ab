#ifndef BORAGEPIER_TELEMETRY_REQUEST_LOG_LIMITER_H
#define BORAGEPIER_TELEMETRY_REQUEST_LOG_LIMITER_H

#include <algorithm>
#include <cstdint>
#include <utility>

#include "boragepier/base/time.h"

namespace boragepier {

/// Token bucket that limits the log lines about single requests. A share of the bucket is reserved
/// for high-priority lines, such as those about refused or failed requests. Reads no clock; not
/// thread-safe.
class RequestLogLimiter
{
public:
  /// Refill rate and capacity of the bucket. At about 250 bytes per line, lines about requests
  /// take at most 100 KB/s per instance.
  static constexpr double kLinesPerSecond = 400;
  /// Share of the capacity that only high-priority lines may use.
  static constexpr double kHighPriorityReserve = 0.5;

  /// Takes a token for one line.
  /// @param aHighPriority whether the line may use the reserved share
  /// @return whether the line may be written; if not, it is counted as suppressed
  bool Admit(bool aHighPriority, MonotonicTime aNow)
  {
    if (aNow > lastRefill_) {
      tokens_ = std::min(kLinesPerSecond,
                         tokens_ + kLinesPerSecond * ToMilliseconds(aNow - lastRefill_) / 1000);
      lastRefill_ = aNow;
    }
    if (tokens_ < (aHighPriority ? 1 : 1 + kHighPriorityReserve * kLinesPerSecond)) {
      ++suppressed_;
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  /// @return the number of lines suppressed since the last call
  std::uint64_t TakeSuppressed() { return std::exchange(suppressed_, 0); }

private:
  double tokens_ = kLinesPerSecond;
  MonotonicTime lastRefill_{};
  std::uint64_t suppressed_ = 0;
};

} // namespace boragepier

#endif
