#include "testing/bench/figures.h"

#include <algorithm>
#include <cstdio>

namespace boragepier::bench {

namespace {

double
Percentile(std::vector<float>& aLatencies, double aShare)
{
  if (aLatencies.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(aShare * static_cast<double>(aLatencies.size() - 1));
  const auto position = aLatencies.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(aLatencies.begin(), position, aLatencies.end());
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
SetPercentiles(Figures& aFigures, std::vector<float>& aLatencies)
{
  aFigures.p50Ms_ = Percentile(aLatencies, 0.5);
  aFigures.p99Ms_ = Percentile(aLatencies, 0.99);
  aFigures.p999Ms_ = Percentile(aLatencies, 0.999);
}

std::string
FormatTable(std::span<const Row> aRows)
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
  for (const auto& [scenario, figures] : aRows) {
    std::uint64_t refused = 0;
    for (const std::uint64_t count : figures.refusals_) {
      refused += count;
    }
    text += Format("%-30s %-18s %5.2f %7.1f %7.1f %8.1f %8.3f %7llu %8.4f %8.4f %8.4f %8.1f\n",
                   scenario.name_.c_str(),
                   scenario.chooser_.name_.c_str(),
                   scenario.load_,
                   figures.p50Ms_,
                   figures.p99Ms_,
                   figures.p999Ms_,
                   figures.goodput_,
                   static_cast<unsigned long long>(figures.errors_),
                   figures.PerCall(refused),
                   figures.PerCall(figures.retries_),
                   figures.PerCall(figures.hedges_),
                   figures.probesPerSecond_);
  }
  return text;
}

std::string
FormatCsv(std::span<const Row> aRows)
{
  std::string text = "workload,policy,load,seed,instances,upstreams,calls,p50_ms,p99_ms,p999_ms,"
                     "goodput,errors,refusals_per_call,retries_per_call,hedges_per_call,"
                     "probes_per_upstream_second,interactive_p99_ms,checksum\n";
  for (const auto& [scenario, figures] : aRows) {
    std::uint64_t refused = 0;
    for (const std::uint64_t count : figures.refusals_) {
      refused += count;
    }
    text += Format("%s,%s,%.2f,%llu,%u,%u,%llu,%.4f,%.4f,%.4f,%.5f,%llu,%.6f,%.6f,%.6f,%.3f,%.4f,"
                   "%.6f\n",
                   scenario.name_.c_str(),
                   scenario.chooser_.name_.c_str(),
                   scenario.load_,
                   static_cast<unsigned long long>(scenario.seed_),
                   scenario.instances_,
                   scenario.upstreams_,
                   static_cast<unsigned long long>(figures.calls_),
                   figures.p50Ms_,
                   figures.p99Ms_,
                   figures.p999Ms_,
                   figures.goodput_,
                   static_cast<unsigned long long>(figures.errors_),
                   figures.PerCall(refused),
                   figures.PerCall(figures.retries_),
                   figures.PerCall(figures.hedges_),
                   figures.probesPerSecond_,
                   figures.interactiveP99Ms_,
                   figures.checksum_);
  }
  return text;
}

} // namespace boragepier::bench
