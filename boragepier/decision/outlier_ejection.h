#ifndef BORAGEPIER_DECISION_OUTLIER_EJECTION_H
#define BORAGEPIER_DECISION_OUTLIER_EJECTION_H

#include <cstddef>
#include <vector>

#include "boragepier/base/random.h"
#include "boragepier/base/time.h"

namespace boragepier {

/// Standing of the upstreams of one service. Errors and outlying latency lower it, down to an
/// ejection for a limited time; answers raise it again in steps.
class OutlierEjection
{
public:
  /// @param aMaxShare largest share of the upstreams that may be ejected at a time. One upstream
  /// may be ejected whatever the share, unless it is the only one.
  explicit OutlierEjection(double aMaxShare)
    : maxShare_(aMaxShare)
  {
  }

  void SetMaxShare(double aMaxShare) { maxShare_ = aMaxShare; }
  /// Sets the number of present upstreams, to which the share applies.
  void SetPresent(std::size_t aCount) { present_ = aCount; }
  /// Adds an upstream.
  /// @param aCold whether it starts with a low standing because others already serve
  void Add(bool aCold);
  /// Starts an upstream anew, as after a restart.
  void Restart(std::size_t aIndex);

  void OnSuccess(std::size_t aIndex);
  void OnError(std::size_t aIndex, MonotonicTime aNow, Random& aRandom);
  /// Takes in a latency far above that of the other upstreams.
  void OnSlow(std::size_t aIndex, MonotonicTime aNow, Random& aRandom);

  /// @return 1 for a healthy upstream, 0 for an ejected one, between them on the way back. The
  /// probability with which the upstream takes part in a choice.
  double Standing(std::size_t aIndex, MonotonicTime aNow) const;

private:
  struct Upstream
  {
    int consecutiveErrors_ = 0;
    int slowAnswers_ = 0;
    int successes_ = 0; ///< since the last change of step_
    int step_ = 0;
    int ejections_ = 0; ///< without a full recovery between them
    MonotonicTime ejectedUntil_;
  };

  bool MayEject(MonotonicTime aNow) const;
  void Eject(Upstream& aUpstream, MonotonicTime aNow, Random& aRandom);

  double maxShare_;
  std::size_t present_ = 0;
  std::vector<Upstream> upstreams_;
};

} // namespace boragepier

#endif
