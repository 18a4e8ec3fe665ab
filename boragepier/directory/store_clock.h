#ifndef BORAGEPIER_DIRECTORY_STORE_CLOCK_H
#define BORAGEPIER_DIRECTORY_STORE_CLOCK_H

#include <algorithm>
#include <optional>

#include "boragepier/base/time.h"

namespace boragepier {

/// Finds out when the store created a response, on the clock of this instance, so that a response
/// that was long on its way, or waited for a busy thread, does not count as new.
///
/// The offset between the two steady clocks is not known, but a response was created between the
/// start of its call and its arrival. The shortest calls so far limit the offset most.
class StoreClock
{
public:
  /// @param aSentAt start of the call
  /// @param aReceivedAt arrival of the response, not before aSentAt
  /// @param aStoreTime steady clock of the store when it created the response, if known
  /// @return the earliest time at which the response can have been created
  MonotonicTime CreatedAt(MonotonicTime aSentAt,
                          MonotonicTime aReceivedAt,
                          std::optional<Duration> aStoreTime)
  {
    if (!aStoreTime) {
      return aSentAt;
    }
    const Duration minOffset = *aStoreTime - aReceivedAt.time_since_epoch();
    const Duration maxOffset = *aStoreTime - aSentAt.time_since_epoch();
    // One of the clocks has jumped, for example because this machine was suspended.
    if (maxOffset_ && *maxOffset_ < minOffset) {
      maxOffset_.reset();
    }
    maxOffset_ = std::min(maxOffset_.value_or(maxOffset), maxOffset);
    return std::clamp(MonotonicTime(*aStoreTime - *maxOffset_), aSentAt, aReceivedAt);
  }

private:
  std::optional<Duration> maxOffset_; ///< largest possible time of the store minus own time
};

} // namespace boragepier

#endif
