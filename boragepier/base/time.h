#ifndef BORAGEPIER_BASE_TIME_H
#define BORAGEPIER_BASE_TIME_H

#include <chrono>

namespace boragepier {

/// Length of time in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// Time on a monotonic clock. Decision and state code receives the current time as an argument
/// instead of reading a clock, so that simulations and tests can run it in virtual time.
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Wall-clock time in milliseconds, used only in records that outlive the process.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// @param aDuration any duration
/// @return the same length in milliseconds, with fractions
constexpr double
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

/// @param aMilliseconds a length in milliseconds, with fractions
/// @return the same length, rounded towards zero to a nanosecond; limited to 100 years, so that it
///   can be added to a time, and zero if aMilliseconds is not a number
constexpr Duration
FromMilliseconds(double aMilliseconds)
{
  constexpr Duration kLimit = std::chrono::hours(24) * 36525;
  const double limitMs = ToMilliseconds(kLimit);
  if (aMilliseconds >= limitMs) {
    return kLimit;
  }
  if (aMilliseconds <= -limitMs) {
    return -kLimit;
  }
  return aMilliseconds != aMilliseconds
           ? Duration::zero()
           : std::chrono::duration_cast<Duration>(
               std::chrono::duration<double, std::milli>(aMilliseconds));
}

} // namespace boragepier

#endif
