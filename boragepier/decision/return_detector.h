#ifndef BORAGEPIER_DECISION_RETURN_DETECTOR_H
#define BORAGEPIER_DECISION_RETURN_DETECTOR_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "boragepier/base/time.h"

namespace boragepier {

/// Recognises requests that their callers send again after a refusal, by the time that the callers
/// have left. The callers of a route mostly start with the same time, so that a request with
/// clearly less was first sent that much earlier. The usual time is learnt for each route. While
/// the callers of a route start with various times, no request of it counts as sent again.
class ReturnDetector
{
public:
  /// Counts a request of a route.
  /// @param aRoute identifies the route
  /// @param aTimeLeft time that the caller still waits
  /// @return how long ago the request was first sent; zero if now, or if that is unknown
  Duration OnRequest(std::uint64_t aRoute, Duration aTimeLeft, MonotonicTime aNow);

  /// Number of routes with state.
  std::size_t RouteCount() const { return routes_.size(); }

private:
  /// A time counts as usual only if at least this number of requests of a period had it.
  static constexpr std::size_t kLongestKept = 3;

  struct Period
  {
    unsigned requests_ = 0;
    std::array<Duration, kLongestKept> longest_{}; ///< descending
  };
  struct Route
  {
    Period current_;
    Duration previousUsual_{}; ///< of the period before; zero if unknown
    double usualShare_ = 1;    ///< moving average of the requests with the usual time
    MonotonicTime lastRequest_{};
  };

  void RemoveIdle(MonotonicTime aNow);

  std::unordered_map<std::uint64_t, Route> routes_;
  MonotonicTime nextCleanup_{};
};

} // namespace boragepier

#endif
