#include "boragepier/telemetry/flood_limiter.h"

#include <utility>

#include <xxhash.h>

namespace boragepier {

FloodLimiter::State&
FloodLimiter::StateOf(EventId aEvent, std::string_view aSubject, MonotonicTime aNow)
{
  const auto seed = static_cast<std::uint64_t>(aEvent);
  const std::uint64_t key = XXH3_64bits_withSeed(aSubject.data(), aSubject.size(), seed);
  if (const auto found = states_.find(key); found != states_.end()) {
    return found->second;
  }
  if (states_.size() >= kMaxSubjects) {
    std::erase_if(states_, [&](const auto& aEntry) {
      return aEntry.second.leftOut_ == 0 && aNow - aEntry.second.windowStart_ >= kWindow;
    });
  }
  const bool full = states_.size() >= kMaxSubjects;
  return states_.try_emplace(full ? seed : key, State{ aEvent, aNow }).first->second;
}

FloodLimiter::Verdict
FloodLimiter::Admit(EventId aEvent, std::string_view aSubject, MonotonicTime aNow)
{
  State& state = StateOf(aEvent, aSubject, aNow);
  if (aNow - state.windowStart_ >= kWindow) {
    state.windowStart_ = aNow;
    state.written_ = 0;
  }
  if (state.written_ >= kPerWindow) {
    ++state.leftOut_;
    return {};
  }
  ++state.written_;
  return { true, std::exchange(state.leftOut_, 0) };
}

std::vector<FloodLimiter::LeftOut>
FloodLimiter::Collect(MonotonicTime aNow, bool aAll)
{
  std::vector<LeftOut> collected;
  for (auto& [key, state] : states_) {
    if (state.leftOut_ > 0 && (aAll || aNow - state.windowStart_ >= kWindow)) {
      collected.push_back({ state.event_, std::exchange(state.leftOut_, 0) });
    }
  }
  return collected;
}

} // namespace boragepier
