#ifndef TESTING_BENCH_DECISION_COST_H
#define TESTING_BENCH_DECISION_COST_H

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace boragepier::bench {

/// Cost of decisions with the default policy, by wall clock.
struct DecisionCost
{
  std::size_t services_ = 1;
  std::size_t upstreams_ = 0; ///< per service
  std::size_t instances_ = 0;
  double submitNs_ = 0;    ///< mean of one Submit()
  double endNs_ = 0;       ///< mean of one OnAttemptEnded() with Release()
  double updateMs_ = 0;    ///< SetUpstreams() and SetFleet() of one service
  double memoryBytes_ = 0; ///< heap of all balancers per upstream
};

/// Measures growing numbers of upstreams, services and instances.
std::vector<DecisionCost>
MeasureCosts();

/// @return a table
std::string
FormatCosts(std::span<const DecisionCost> aCosts);

} // namespace boragepier::bench

#endif
