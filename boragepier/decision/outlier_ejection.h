#ifndef BORAGEPIER_DECISION_OUTLIER_EJECTION_H
#define BORAGEPIER_DECISION_OUTLIER_EJECTION_H

#include <cstddef>
#include <vector>

#include "boragepier/base/random.h"
#include "boragepier/base/time.h"

namespace boragepier {

/// Outlier ejection for the upstreams of one service. Each upstream has a health weight from 0
/// to 1. Errors and slow answers lower it; enough of them eject the upstream for a limited time,
/// which doubles with repeated ejections. Afterwards successes raise the weight again in steps
/// (slow start).
class OutlierEjection
{
public:
  /// @param aMaxShare largest share of the upstreams that may be ejected at a time. One upstream
  /// may always be ejected, unless it is the only one.
  explicit OutlierEjection(double aMaxShare)
    : maxShare_(aMaxShare)
  {
  }

  void SetMaxShare(double aMaxShare) { maxShare_ = aMaxShare; }
  /// Sets the number of listed upstreams, to which the maximum share applies.
  void SetUpstreamCount(std::size_t aCount) { upstreamCount_ = aCount; }
  /// Adds an upstream; its index is the number of upstreams added before it.
  /// @param aSlowStart whether it starts with a low weight, because others already serve requests
  void Add(bool aSlowStart);
  /// Forgets what is known about an upstream that has restarted, and begins a slow start.
  void Restart(std::size_t aIndex);

  void OnSuccess(std::size_t aIndex);
  void OnError(std::size_t aIndex, MonotonicTime aNow, Random& aRandom);
  /// Records an answer whose latency is far above that of the other upstreams.
  void OnSlow(std::size_t aIndex, MonotonicTime aNow, Random& aRandom);

  /// @return 1 for a healthy upstream, 0 for an ejected one, between them for one that recovers:
  /// the probability with which the upstream should be a candidate for a request
  double HealthWeight(std::size_t aIndex, MonotonicTime aNow) const;

private:
  struct Upstream
  {
    int consecutiveErrors_ = 0;
    int slowAnswers_ = 0;
    int successes_ = 0;    ///< since recoveryStep_ last changed
    int recoveryStep_ = 0; ///< index of the health weight
    int ejections_ = 0;    ///< since the upstream was last healthy
    MonotonicTime ejectedUntil_;
  };

  bool MayEject(MonotonicTime aNow) const;
  void Eject(Upstream& aUpstream, MonotonicTime aNow, Random& aRandom);

  double maxShare_;
  std::size_t upstreamCount_ = 0;
  std::vector<Upstream> upstreams_;
};

} // namespace boragepier

#endif
