#include "boragepier/decision/return_detector.h"

#include <algorithm>
#include <utility>

namespace boragepier {

namespace {

// The usual time is the longest of the present period and the one before, so it falls within two of
// them.
constexpr unsigned kRequestsPerPeriod = 64;
// Smaller differences are taken for rounding. Callers that come back at once after a refusal by
// chance have hardly less time than before.
constexpr Duration kMinDifference = std::chrono::milliseconds(5);
// Of the requests of a route, at least this share has the usual time, even if each caller comes
// back a few times.
constexpr double kMinUsualShare = 0.25;
constexpr double kUsualShareEwmaWeight = 0.02;
constexpr Duration kIdleTime = std::chrono::minutes(1);

} // namespace

Duration
ReturnDetector::OnRequest(std::uint64_t aRoute, Duration aTimeLeft, MonotonicTime aNow)
{
  if (aNow >= nextCleanup_) {
    RemoveIdle(aNow);
    nextCleanup_ = aNow + kIdleTime;
  }
  Route& route = routes_[aRoute];
  route.lastRequest_ = aNow;
  ++route.current_.requests_;
  Duration inserted = aTimeLeft;
  for (Duration& longest : route.current_.longest_) {
    if (inserted > longest) {
      std::swap(inserted, longest);
    }
  }
  const Duration usual = std::max(route.previousUsual_, route.current_.longest_.back());
  if (route.current_.requests_ >= kRequestsPerPeriod) {
    route.previousUsual_ = route.current_.longest_.back();
    route.current_ = {};
  }
  if (usual <= Duration(0)) {
    return {};
  }
  const Duration difference = usual - aTimeLeft;
  const bool isUsual = std::chrono::abs(difference) < kMinDifference;
  route.usualShare_ += kUsualShareEwmaWeight * ((isUsual ? 1 : 0) - route.usualShare_);
  if (isUsual || difference < Duration(0) || route.usualShare_ < kMinUsualShare) {
    return {};
  }
  return difference;
}

void
ReturnDetector::RemoveIdle(MonotonicTime aNow)
{
  std::erase_if(routes_,
                [&](const auto& aEntry) { return aNow - aEntry.second.lastRequest_ > kIdleTime; });
}

} // namespace boragepier
