#ifndef BORAGEPIER_DECISION_WINDOW_BUDGET_H
#define BORAGEPIER_DECISION_WINDOW_BUDGET_H

#include <array>
#include <cstddef>
#include <cstdint>

#include "boragepier/base/time.h"

namespace boragepier {

/// This instance's share of a limit on extra attempts that holds for the whole fleet in every
/// window of a given length: a ratio of the requests in the window plus a fixed number.
///
/// The ratio needs no agreement between instances, as each applies it to its own requests. The
/// fixed number is divided by the live instances.
class WindowBudget
{
public:
  /// @param aRatio extra attempts per request
  /// @param aSlack further extra attempts of the whole fleet in a window
  /// @param aWindow length of the window, positive
  void SetTerms(double aRatio, double aSlack, Duration aWindow);
  /// @param aInstances live instances, a hint
  void SetInstances(std::size_t aInstances);

  /// Takes in a new request.
  void OnRequest(MonotonicTime aNow);
  /// @return whether an extra attempt would be granted
  bool CanTake(MonotonicTime aNow);
  /// Takes one extra attempt.
  /// @return false if the limit does not allow it
  bool TryTake(MonotonicTime aNow);

private:
  static constexpr std::size_t kBuckets = 20;
  struct Bucket
  {
    std::int64_t number_ = -1; ///< of the interval that it counts
    std::uint32_t requests_ = 0;
    std::uint32_t taken_ = 0;
  };

  Bucket& Current(MonotonicTime aNow);

  double ratio_ = 0;
  double slack_ = 0;
  Duration window_ = std::chrono::seconds(10);
  std::size_t instances_ = 1;
  // One more than the window has: the attempts of a bucket that is leaving the window still count.
  std::array<Bucket, kBuckets + 1> buckets_{};
};

} // namespace boragepier

#endif
