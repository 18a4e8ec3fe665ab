#include <fstream>
#include <iostream>
#include <map>

#include <cxxopts.hpp>

#include "testing/bench/decision_cost.h"
#include "testing/bench/simulation.h"
#include "testing/bench/suites.h"

namespace boragepier::bench {

namespace {

std::vector<Scenario>
SelectSuite(const std::string& aName)
{
  static const std::map<std::string, std::vector<Scenario> (*)()> kSuites = {
    { "policies", PolicySuite },
    { "frontier", ProbeBudgetSuite },
    { "services", ServiceSuite },
    { "faults", FaultSuite },
  };
  const auto found = kSuites.find(aName);
  if (found == kSuites.end()) {
    throw std::invalid_argument("no such suite: " + aName);
  }
  return found->second();
}

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options("boragepier_bench",
                           "Compares load balancing policies in a virtual-time simulation.");
  auto add = options.add_options();
  add("suite",
      "policies, frontier, services, faults, or cost (time and memory of decisions)",
      cxxopts::value<std::string>());
  add("policy", "run only the scenarios with this policy", cxxopts::value<std::string>());
  add("load",
      "run only the scenarios with this load (share of the capacity)",
      cxxopts::value<double>());
  add("seed", "random seed of every run", cxxopts::value<std::uint64_t>()->default_value("1"));
  add("probes", "probes per upstream and second, for every run", cxxopts::value<double>());
  add("hedge", "hedges per call, for every run", cxxopts::value<double>());
  add("csv",
      "also write the results to this file as comma-separated values",
      cxxopts::value<std::string>());
  add("help", "print this help");
  options.parse_positional("suite");
  return options;
}

std::vector<RunResult>
RunSuite(const cxxopts::ParseResult& aOptions)
{
  std::vector<RunResult> results;
  for (Scenario& scenario : SelectSuite(aOptions["suite"].as<std::string>())) {
    const bool selected =
      (aOptions.count("policy") == 0 ||
       scenario.selection_.name_ == aOptions["policy"].as<std::string>()) &&
      (aOptions.count("load") == 0 || scenario.load_ == aOptions["load"].as<double>());
    if (!selected) {
      continue;
    }
    scenario.seed_ = aOptions["seed"].as<std::uint64_t>();
    if (aOptions.count("probes") > 0) {
      scenario.probesPerUpstreamSecond_ = aOptions["probes"].as<double>();
    }
    if (aOptions.count("hedge") > 0) {
      scenario.hedgeBudget_ = aOptions["hedge"].as<double>();
    }
    results.push_back({ scenario, RunScenario(scenario) });
  }
  return results;
}

int
Main(int aCount, char** aArguments)
{
  cxxopts::Options options = MakeOptions();
  const auto parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") > 0 || parsed.count("suite") == 0) {
    std::cout << options.help();
    return parsed.count("help") > 0 ? 0 : 2;
  }
  if (parsed["suite"].as<std::string>() == "cost") {
    std::cout << FormatDecisionCosts(MeasureDecisionCosts());
    return 0;
  }
  const std::vector<RunResult> results = RunSuite(parsed);
  std::cout << FormatTable(results);
  if (parsed.count("csv") > 0) {
    std::ofstream(parsed["csv"].as<std::string>()) << FormatCsv(results);
  }
  return 0;
}

} // namespace

} // namespace boragepier::bench

int
main(int aCount, char** aArguments)
{
  try {
    return boragepier::bench::Main(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << "boragepier_bench: " << error.what() << '\n';
    return 2;
  }
}
