#ifndef BORAGEPIER_DECISION_PROBE_BUDGET_H
#define BORAGEPIER_DECISION_PROBE_BUDGET_H

#include <cstddef>

#include "boragepier/base/time.h"

namespace boragepier {

/// Token bucket that limits the active probes of one service to this instance's share of the
/// fleet's budget.
///
/// The budget is given per upstream and second for the whole fleet and divided by the number of
/// live instances. Only two thirds of the share are used, so that the budget holds even if the list
/// of instances lacks a third of them.
class ProbeBudget
{
public:
  /// @param aPerUpstreamSecond probes per upstream and second of the whole fleet
  /// @param aUpstreams number of upstreams of the service
  /// @param aInstances number of live instances
  /// @param aBurstSeconds capacity of the bucket: the probes of this time may be sent in a burst
  void SetRate(double aPerUpstreamSecond,
               std::size_t aUpstreams,
               std::size_t aInstances,
               double aBurstSeconds = kDefaultBurstSeconds);

  /// Spends one token on a probe.
  /// @return false if there is none; the probe must not be sent then
  bool TrySpend(MonotonicTime aNow);

private:
  static constexpr double kDefaultBurstSeconds = 0.05;

  double tokensPerMs_ = 0;
  double burstSeconds_ = kDefaultBurstSeconds;
  double tokens_ = 0;
  MonotonicTime lastRefill_;
};

} // namespace boragepier

#endif
