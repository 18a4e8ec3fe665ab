#ifndef BORAGEPIER_TELEMETRY_EVENT_RATE_LIMITER_H
#define BORAGEPIER_TELEMETRY_EVENT_RATE_LIMITER_H

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "boragepier/base/time.h"
#include "boragepier/telemetry/events.h"

namespace boragepier {

/// Limits the rate of repeated log events by fixed windows. Events are repeats of each other if
/// they have the same number and the same subject (the value of the first field, for example the
/// service). Reads no clock; not thread-safe.
class EventRateLimiter
{
public:
  /// Repeats of one event that are written per window.
  static constexpr std::uint32_t kMaxEventsPerWindow = 10;
  static constexpr Duration kWindow = std::chrono::seconds(10);
  /// Subjects with a window of their own; further subjects share one window per event number.
  /// Bounds the memory when callers choose the subjects.
  static constexpr std::size_t kMaxTrackedSubjects = 1024;

  /// Whether to write one event.
  struct Decision
  {
    bool write_ = false;
    std::uint64_t suppressed_ = 0; ///< repeats suppressed since the last one written
  };
  /// Repeats of one event that were suppressed and not yet reported.
  struct SuppressedEvents
  {
    EventId event_;
    std::uint64_t count_;
  };

  /// Counts one event and decides whether to write it. The caller reports Decision::suppressed_.
  Decision Admit(EventId aEvent, std::string_view aSubject, MonotonicTime aNow);
  /// Returns and resets the counts that no later event has reported.
  /// @param aIncludeOpenWindows whether to include windows that have not ended; for the end of the
  ///   process
  /// @return suppressed events of all windows that ended without a further event
  std::vector<SuppressedEvents> TakeSuppressed(MonotonicTime aNow, bool aIncludeOpenWindows);

private:
  struct EventWindow
  {
    EventId event_{};
    MonotonicTime windowStart_;
    std::uint32_t written_ = 0;
    std::uint64_t suppressed_ = 0;
  };

  /// Removes ended windows without suppressed events if the map is full.
  EventWindow& FindOrAddWindow(EventId aEvent, std::string_view aSubject, MonotonicTime aNow);

  std::unordered_map<std::uint64_t, EventWindow> windows_;
};

} // namespace boragepier

#endif
