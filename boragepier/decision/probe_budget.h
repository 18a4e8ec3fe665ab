#ifndef BORAGEPIER_DECISION_PROBE_BUDGET_H
#define BORAGEPIER_DECISION_PROBE_BUDGET_H

#include <cstddef>

#include "boragepier/base/time.h"

namespace boragepier {

/// This instance's share of the fleet's budget for active probes of one service.
///
/// The budget is given per upstream and second for the whole fleet and divided by the live
/// instances. The list of instances may lack a third of them, so that only two thirds of the share
/// are used: the budget then holds.
class ProbeBudget
{
public:
  /// @param aPerUpstreamSecond probes per upstream and second of the whole fleet
  /// @param aSavedSeconds unused probes of this time may be saved for a burst
  void SetRate(double aPerUpstreamSecond,
               std::size_t aUpstreams,
               std::size_t aInstances,
               double aSavedSeconds = kSavedSeconds);

  /// Takes one probe.
  /// @return false if the share is used up
  bool TryTake(MonotonicTime aNow);

private:
  static constexpr double kSavedSeconds = 0.05;

  double perMs_ = 0;
  double savedSeconds_ = kSavedSeconds;
  double saved_ = 0;
  MonotonicTime last_;
};

} // namespace boragepier

#endif
