#include "boragepier/telemetry/event_rate_limiter.h"

#include <utility>

#include <xxhash.h>

namespace boragepier {

EventRateLimiter::EventWindow&
EventRateLimiter::FindOrAddWindow(EventId aEvent, std::string_view aSubject, MonotonicTime aNow)
{
  const auto eventNumber = static_cast<std::uint64_t>(aEvent);
  const std::uint64_t key = XXH3_64bits_withSeed(aSubject.data(), aSubject.size(), eventNumber);
  if (const auto found = windows_.find(key); found != windows_.end()) {
    return found->second;
  }
  if (windows_.size() >= kMaxTrackedSubjects) {
    std::erase_if(windows_, [&](const auto& aEntry) {
      return aEntry.second.suppressed_ == 0 && aNow - aEntry.second.windowStart_ >= kWindow;
    });
  }
  const bool atCapacity = windows_.size() >= kMaxTrackedSubjects;
  return windows_.try_emplace(atCapacity ? eventNumber : key, EventWindow{ aEvent, aNow })
    .first->second;
}

EventRateLimiter::Decision
EventRateLimiter::Admit(EventId aEvent, std::string_view aSubject, MonotonicTime aNow)
{
  EventWindow& window = FindOrAddWindow(aEvent, aSubject, aNow);
  if (aNow - window.windowStart_ >= kWindow) {
    window.windowStart_ = aNow;
    window.written_ = 0;
  }
  if (window.written_ >= kMaxEventsPerWindow) {
    ++window.suppressed_;
    return {};
  }
  ++window.written_;
  return { true, std::exchange(window.suppressed_, 0) };
}

std::vector<EventRateLimiter::SuppressedEvents>
EventRateLimiter::TakeSuppressed(MonotonicTime aNow, bool aIncludeOpenWindows)
{
  std::vector<SuppressedEvents> suppressed;
  for (auto& [key, window] : windows_) {
    if (window.suppressed_ > 0 && (aIncludeOpenWindows || aNow - window.windowStart_ >= kWindow)) {
      suppressed.push_back({ window.event_, std::exchange(window.suppressed_, 0) });
    }
  }
  return suppressed;
}

} // namespace boragepier
