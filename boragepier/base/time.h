#ifndef BORAGEPIER_BASE_TIME_H
#define BORAGEPIER_BASE_TIME_H

#include <chrono>

namespace boragepier {

/// Length of time, in nanoseconds. The bench and production use the same type.
using Duration = std::chrono::nanoseconds;

/// A point on a clock that never steps back. Decision and state code receives it as an argument
/// and never reads a clock, so that the same code runs in virtual time.
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Civil time with a resolution of one millisecond, used only in records that outlive a process.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// @param aDuration any duration
/// @return the same length in milliseconds, with fractions
constexpr double
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

/// @param aMilliseconds a length in milliseconds, with fractions
/// @return the same length, rounded towards zero to a nanosecond
constexpr Duration
FromMilliseconds(double aMilliseconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aMilliseconds));
}

} // namespace boragepier

#endif
