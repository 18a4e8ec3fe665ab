#ifndef BORAGEPIER_DECISION_WINDOW_BUDGET_H
#define BORAGEPIER_DECISION_WINDOW_BUDGET_H

#include <array>
#include <cstddef>
#include <cstdint>

#include "boragepier/base/time.h"

namespace boragepier {

/// This instance's part of a fleet-wide limit on extra attempts (retries and hedges). In every
/// sliding window the fleet may send a ratio of its requests plus a fixed number (the slack) as
/// extra attempts.
///
/// The ratio needs no coordination, because each instance applies it to its own requests. The slack
/// is divided by the number of live instances.
class WindowBudget
{
public:
  /// @param aRatio extra attempts per request
  /// @param aSlack extra attempts of the whole fleet in a window besides the ratio
  /// @param aWindow length of the window, positive
  void SetLimits(double aRatio, double aSlack, Duration aWindow);
  /// @param aInstances number of live instances; may be inexact
  void SetInstances(std::size_t aInstances);

  /// Counts a new request.
  void OnRequest(MonotonicTime aNow);
  /// @return whether TrySpend() would succeed
  bool CanSpend(MonotonicTime aNow);
  /// Counts one extra attempt if the limit allows it.
  /// @param aReservedShare share of the limit that is left to others, from 0 to 1
  /// @return false if it does not; the attempt must not be sent then
  bool TrySpend(MonotonicTime aNow, double aReservedShare = 0);

private:
  static constexpr std::size_t kBuckets = 20;
  /// Counts of one of the kBuckets intervals of a window.
  struct Bucket
  {
    /// Number of the interval since the start of the clock; -1 if the bucket is unused.
    std::int64_t intervalNumber_ = -1;
    std::uint32_t requests_ = 0;
    std::uint32_t extraAttempts_ = 0;
  };

  Bucket& CurrentBucket(MonotonicTime aNow);
  bool FitsInto(double aShare, MonotonicTime aNow);

  double ratio_ = 0;
  double fleetSlack_ = 0;
  Duration window_ = std::chrono::seconds(10);
  std::size_t instances_ = 1;
  // One bucket more than a window has, because the extra attempts of the oldest bucket still count
  // while it is only partly inside the window.
  std::array<Bucket, kBuckets + 1> buckets_{};
};

} // namespace boragepier

#endif
