#ifndef BORAGEPIER_TELEMETRY_LINE_BUDGET_H
#define BORAGEPIER_TELEMETRY_LINE_BUDGET_H

#include <algorithm>
#include <cstdint>
#include <utility>

#include "boragepier/base/time.h"

namespace boragepier {

/// Bounds the lines about single requests in a second. A part is kept for requests that were
/// refused or failed. Reads no clock; not thread-safe.
class LineBudget
{
public:
  /// Lines of one instance in a second; with about 250 bytes each, 100 KB.
  static constexpr double kLinesPerSecond = 400;
  /// Share that lines about requests in good order leave to the others.
  static constexpr double kKeptForTrouble = 0.5;

  /// @param aTrouble whether the line is about a request that was refused or failed
  /// @return whether the line may be written
  bool Admit(bool aTrouble, MonotonicTime aNow)
  {
    if (aNow > last_) {
      saved_ =
        std::min(kLinesPerSecond, saved_ + kLinesPerSecond * ToMilliseconds(aNow - last_) / 1000);
      last_ = aNow;
    }
    if (saved_ < (aTrouble ? 1 : 1 + kKeptForTrouble * kLinesPerSecond)) {
      ++leftOut_;
      return false;
    }
    saved_ -= 1;
    return true;
  }

  /// @return lines left out since the last call
  std::uint64_t TakeLeftOut() { return std::exchange(leftOut_, 0); }

private:
  double saved_ = kLinesPerSecond;
  MonotonicTime last_{};
  std::uint64_t leftOut_ = 0;
};

} // namespace boragepier

#endif
