#include "testing/bench/run_statistics.h"

#include <algorithm>
#include <cstdio>

namespace boragepier::bench {

namespace {

double
Percentile(std::vector<float>& aLatenciesMs, double aQuantile)
{
  if (aLatenciesMs.empty()) {
    return 0;
  }
  const auto rank =
    static_cast<std::size_t>(aQuantile * static_cast<double>(aLatenciesMs.size() - 1));
  const auto position = aLatenciesMs.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(aLatenciesMs.begin(), position, aLatenciesMs.end());
  return *position;
}

template<typename... Arguments>
std::string
Format(const char* aFormat, Arguments... aArguments)
{
  std::array<char, 512> line{};
  std::snprintf(line.data(), line.size(), aFormat, aArguments...);
  return line.data();
}

} // namespace

void
ComputePercentiles(RunStatistics& aStatistics, std::vector<float>& aLatenciesMs)
{
  aStatistics.p50Ms_ = Percentile(aLatenciesMs, 0.5);
  aStatistics.p99Ms_ = Percentile(aLatenciesMs, 0.99);
  aStatistics.p999Ms_ = Percentile(aLatenciesMs, 0.999);
}

std::string
FormatTable(std::span<const RunResult> aResults)
{
  std::string text = Format("%-30s %-18s %5s %7s %7s %8s %8s %7s %8s %8s %8s %8s\n",
                            "workload",
                            "policy",
                            "load",
                            "p50",
                            "p99",
                            "p99.9",
                            "goodput",
                            "errors",
                            "refused",
                            "retries",
                            "hedges",
                            "probes");
  for (const auto& [scenario, statistics] : aResults) {
    std::uint64_t refused = 0;
    for (const std::uint64_t count : statistics.refusals_) {
      refused += count;
    }
    text += Format("%-30s %-18s %5.2f %7.1f %7.1f %8.1f %8.3f %7llu %8.4f %8.4f %8.4f %8.1f\n",
                   scenario.name_.c_str(),
                   scenario.selection_.name_.c_str(),
                   scenario.load_,
                   statistics.p50Ms_,
                   statistics.p99Ms_,
                   statistics.p999Ms_,
                   statistics.goodput_,
                   static_cast<unsigned long long>(statistics.errors_),
                   statistics.PerCall(refused),
                   statistics.PerCall(statistics.retries_),
                   statistics.PerCall(statistics.hedges_),
                   statistics.probesPerUpstreamSecond_);
  }
  return text;
}

std::string
FormatCsv(std::span<const RunResult> aResults)
{
  std::string text = "workload,policy,load,seed,instances,upstreams,calls,p50_ms,p99_ms,p999_ms,"
                     "goodput,errors,refusals_per_call,retries_per_call,hedges_per_call,"
                     "probes_per_upstream_second,interactive_p99_ms,checksum\n";
  for (const auto& [scenario, statistics] : aResults) {
    std::uint64_t refused = 0;
    for (const std::uint64_t count : statistics.refusals_) {
      refused += count;
    }
    text += Format("%s,%s,%.2f,%llu,%u,%u,%llu,%.4f,%.4f,%.4f,%.5f,%llu,%.6f,%.6f,%.6f,%.3f,%.4f,"
                   "%.6f\n",
                   scenario.name_.c_str(),
                   scenario.selection_.name_.c_str(),
                   scenario.load_,
                   static_cast<unsigned long long>(scenario.seed_),
                   scenario.instances_,
                   scenario.upstreams_,
                   static_cast<unsigned long long>(statistics.calls_),
                   statistics.p50Ms_,
                   statistics.p99Ms_,
                   statistics.p999Ms_,
                   statistics.goodput_,
                   static_cast<unsigned long long>(statistics.errors_),
                   statistics.PerCall(refused),
                   statistics.PerCall(statistics.retries_),
                   statistics.PerCall(statistics.hedges_),
                   statistics.probesPerUpstreamSecond_,
                   statistics.interactiveP99Ms_,
                   statistics.checksum_);
  }
  return text;
}

} // namespace boragepier::bench
