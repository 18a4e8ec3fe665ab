#ifndef TESTING_BENCH_RUN_STATISTICS_H
#define TESTING_BENCH_RUN_STATISTICS_H

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "boragepier/base/outcome.h"
#include "testing/bench/scenario.h"

namespace boragepier::bench {

/// Statistics of one run. They cover the calls that arrived after the warm-up, unless a member says
/// otherwise.
struct RunStatistics
{
  std::uint64_t calls_ = 0;
  std::uint64_t answered_ = 0; ///< got an answer with a status below 500 before the deadline
  std::uint64_t errors_ = 0;   ///< repeatable calls that failed, refusals included
  std::uint64_t atMostOnceErrors_ = 0; ///< at-most-once calls that failed, refusals included
  std::array<std::uint64_t, kRefusalReasonCount> refusals_{}; ///< indexed by RefusalReason
  std::uint64_t attempts_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t hedges_ = 0;
  std::uint64_t probes_ = 0;
  std::uint64_t callsWithWarmUp_ = 0;         ///< calls of the whole run
  std::uint64_t extraAttemptsWithWarmUp_ = 0; ///< retries and hedges of the whole run
  std::uint64_t atMostOnceDuplicates_ = 0;  ///< repeated executions of at-most-once calls, over the
                                            ///< whole run
  std::uint64_t lateAttemptsAtLeaving_ = 0; ///< attempts sent to a leaving upstream more than 3 s
                                            ///< after the instance learned it, over the whole run
  double p50Ms_ = 0;
  double p99Ms_ = 0;
  double p999Ms_ = 0;
  double interactiveP99Ms_ = 0;
  double goodput_ = 0;                 ///< answered per second, as a share of the capacity
  double probesPerUpstreamSecond_ = 0; ///< of all instances
  double checksum_ = 0;                ///< sum of all latencies in ms, to tell runs apart

  /// @return aCount per counted call
  double PerCall(std::uint64_t aCount) const
  {
    return calls_ == 0 ? 0 : static_cast<double>(aCount) / static_cast<double>(calls_);
  }
};

/// Sets p50Ms_, p99Ms_ and p999Ms_.
/// @param aLatenciesMs latencies of the answered calls; reordered
void
ComputePercentiles(RunStatistics& aStatistics, std::vector<float>& aLatenciesMs);

/// A scenario and the statistics of its run.
struct RunResult
{
  Scenario scenario_;
  RunStatistics statistics_;
};

/// @return a table with aligned columns, one line per run
std::string
FormatTable(std::span<const RunResult> aResults);
/// @return comma-separated values with a header line, one line per run
std::string
FormatCsv(std::span<const RunResult> aResults);

} // namespace boragepier::bench

#endif
