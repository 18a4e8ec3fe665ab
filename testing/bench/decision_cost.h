#ifndef TESTING_BENCH_DECISION_COST_H
#define TESTING_BENCH_DECISION_COST_H

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace boragepier::bench {

/// Wall-clock and memory cost of ServiceBalancer with the default policy.
struct DecisionCost
{
  std::size_t services_ = 1;
  std::size_t upstreams_ = 0; ///< per service
  std::size_t instances_ = 0;
  double submitNs_ = 0;           ///< mean time of one Submit()
  double completionNs_ = 0;       ///< mean time of one OnAttemptEnded() and the Release() after it
  double membershipUpdateMs_ = 0; ///< construction, SetUpstreams() and SetFleet() of one service
  double heapBytesPerUpstream_ = 0; ///< heap of all balancers, per service and upstream
};

/// Measures the cost for growing numbers of upstreams, then of services, then of instances.
std::vector<DecisionCost>
MeasureDecisionCosts();

/// @return a table with one line per measurement
std::string
FormatDecisionCosts(std::span<const DecisionCost> aCosts);

} // namespace boragepier::bench

#endif
