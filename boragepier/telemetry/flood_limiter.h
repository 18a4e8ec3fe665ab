#ifndef BORAGEPIER_TELEMETRY_FLOOD_LIMITER_H
#define BORAGEPIER_TELEMETRY_FLOOD_LIMITER_H

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "boragepier/base/time.h"
#include "boragepier/telemetry/events.h"

namespace boragepier {

/// Limits how often equal events are written. Events are equal if their number and their subject
/// (the value of the first field, for example the service) are. Reads no clock; not thread-safe.
class FloodLimiter
{
public:
  /// Equal events written per window.
  static constexpr std::uint32_t kPerWindow = 10;
  static constexpr Duration kWindow = std::chrono::seconds(10);
  /// Subjects that are told apart; further ones share one limit per event number. Bounds memory
  /// when subjects come from callers.
  static constexpr std::size_t kMaxSubjects = 1024;

  struct Verdict
  {
    bool write_ = false;
    std::uint64_t leftOut_ = 0; ///< equal events left out since the last one written
  };
  /// Equal events that were left out and not yet reported.
  struct LeftOut
  {
    EventId event_;
    std::uint64_t count_;
  };

  /// Decides about one event.
  Verdict Admit(EventId aEvent, std::string_view aSubject, MonotonicTime aNow);
  /// @param aAll also of windows that have not ended, for the end of the process
  /// @return what was left out in windows that ended without a further event
  std::vector<LeftOut> Collect(MonotonicTime aNow, bool aAll);

private:
  struct State
  {
    EventId event_{};
    MonotonicTime windowStart_;
    std::uint32_t written_ = 0;
    std::uint64_t leftOut_ = 0;
  };

  State& StateOf(EventId aEvent, std::string_view aSubject, MonotonicTime aNow);

  std::unordered_map<std::uint64_t, State> states_;
};

} // namespace boragepier

#endif
