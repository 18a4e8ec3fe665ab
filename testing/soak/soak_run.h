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

/// What a soak runs.
struct SoakOptions
{
  std::uint64_t seed_ = 1;
  Duration length_ = std::chrono::seconds(20); ///< in which faults begin
  std::size_t instances_ = 4;
  std::size_t upstreams_ = 6;
  int callers_ = 8;
  std::string directory_; ///< receives the logs and the runs of the upstreams; must exist
};

/// What a soak found.
struct SoakResult
{
  int requests_ = 0;
  int answered_ = 0;
  int orders_ = 0;
  std::size_t faults_ = 0;
  Duration recovery_{};                 ///< from the end of the last fault until all serves again
  std::vector<std::string> violations_; ///< promises that were broken
};

/// Runs the programs as separate processes, harms them from outside as the seed says, and checks
/// what callers and upstreams see:
/// - no order runs twice, an answered order ran once, one that is told "not run" did not run
/// - answers belong to their requests and are whole
/// - only instances that were killed or paused lose requests, a graceful stop cuts off none
/// - no instance steps back to an older configuration
/// - extra attempts stay within the budget
/// - soon after the last fault every instance serves with the latest configuration
/// @param aOutput receives one line for each fault
SoakResult
RunSoak(const SoakOptions& aOptions, std::ostream& aOutput);

} // namespace boragepier::testing

#endif
