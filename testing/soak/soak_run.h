#ifndef BORAGEPIER_TESTING_SOAK_SOAK_RUN_H
#define BORAGEPIER_TESTING_SOAK_SOAK_RUN_H

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

#include "boragepier/base/time.h"

namespace boragepier::testing {

/// Options of a soak test.
struct SoakOptions
{
  std::uint64_t seed_ = 1;
  Duration faultPeriod_ = std::chrono::seconds(20); ///< in which faults start
  std::size_t instances_ = 4;
  std::size_t upstreams_ = 6;
  int callers_ = 8;
  /// Adds the fault that an upstream refuses all requests and asks for a pause. Changes the plan of
  /// each seed.
  bool upstreamPauses_ = false;
  std::string directory_; ///< for the logs of instances and the run logs of upstreams; must exist
};

/// Result of a soak test.
struct SoakResult
{
  int requests_ = 0;
  int answered_ = 0;
  int orders_ = 0;
  std::size_t faultCount_ = 0;
  Duration recovery_{}; ///< from the end of the last fault until all instances serve
  std::vector<std::string> violations_; ///< checks that failed, as text
};

/// Runs the programs as separate processes under load, injects the faults of the seed's plan, and
/// checks what callers and upstreams observe:
/// - no order runs twice, an answered order ran once, an order with outcome "not-run" did not run
/// - responses are complete and belong to their requests
/// - only instances that were killed or paused lose requests; a graceful stop loses none
/// - no instance returns to an older configuration version
/// - additional attempts stay within the retry budget
/// - every instance serves with the latest configuration within 5 s after the last fault
/// @param aOutput receives a line for each start and end of a fault
SoakResult
RunSoak(const SoakOptions& aOptions, std::ostream& aOutput);

} // namespace boragepier::testing

#endif
