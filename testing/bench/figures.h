#ifndef TESTING_BENCH_FIGURES_H
#define TESTING_BENCH_FIGURES_H

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "boragepier/base/outcome.h"
#include "testing/bench/scenario.h"

namespace boragepier::bench {

/// What one run measured about the calls that arrived after the warm-up.
struct Figures
{
  std::uint64_t calls_ = 0;
  std::uint64_t answered_ = 0;   ///< with a good answer before the deadline
  std::uint64_t errors_ = 0;     ///< repeatable calls that ended otherwise, refusals included
  std::uint64_t onceErrors_ = 0; ///< the same for at-most-once calls
  std::array<std::uint64_t, kRefusalReasonCount> refusals_{};
  std::uint64_t attempts_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t hedges_ = 0;
  std::uint64_t probes_ = 0;
  std::uint64_t allCalls_ = 0; ///< of the whole run, warm-up included
  std::uint64_t allExtra_ = 0; ///< retries and hedges of the whole run
  std::uint64_t runTwice_ = 0; ///< at-most-once calls that ran more than once
  std::uint64_t lateWork_ = 0; ///< attempts at draining upstreams 3 s after the first sign
  double p50Ms_ = 0;
  double p99Ms_ = 0;
  double p999Ms_ = 0;
  double interactiveP99Ms_ = 0;
  double goodput_ = 0;         ///< answered per second, as a share of the capacity
  double probesPerSecond_ = 0; ///< per upstream
  double checksum_ = 0;        ///< sum of all latencies

  double PerCall(std::uint64_t aCount) const
  {
    return calls_ == 0 ? 0 : static_cast<double>(aCount) / static_cast<double>(calls_);
  }
};

/// Computes the percentiles of latencies.
/// @param aLatencies in ms; reordered
void
SetPercentiles(Figures& aFigures, std::vector<float>& aLatencies);

/// A run with its result.
struct Row
{
  Scenario scenario_;
  Figures figures_;
};

/// @return a table for people
std::string
FormatTable(std::span<const Row> aRows);
/// @return comma-separated values with a header line
std::string
FormatCsv(std::span<const Row> aRows);

} // namespace boragepier::bench

#endif
