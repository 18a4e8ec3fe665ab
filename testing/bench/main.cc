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
    { "frontier", FrontierSuite },
    { "services", ServiceSuite },
    { "faults", FaultSuite },
  };
  const auto found = kSuites.find(aName);
  if (found == kSuites.end()) {
    throw std::invalid_argument("unknown suite: " + aName);
  }
  return found->second();
}

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options("boragepier_bench", "Compares policies in virtual time.");
  auto add = options.add_options();
  add("suite", "policies, frontier, services, faults or cost", cxxopts::value<std::string>());
  add("policy", "run only this policy", cxxopts::value<std::string>());
  add("load", "run only this load", cxxopts::value<double>());
  add("seed", "seed of all runs", cxxopts::value<std::uint64_t>()->default_value("1"));
  add("probes", "probe budget of all runs", cxxopts::value<double>());
  add("hedge", "hedge budget of all runs", cxxopts::value<double>());
  add("csv", "file to write comma-separated values to", cxxopts::value<std::string>());
  add("help", "print this text");
  options.parse_positional("suite");
  return options;
}

std::vector<Row>
RunSuite(const cxxopts::ParseResult& aOptions)
{
  std::vector<Row> rows;
  for (Scenario& scenario : SelectSuite(aOptions["suite"].as<std::string>())) {
    const bool selected =
      (aOptions.count("policy") == 0 ||
       scenario.chooser_.name_ == aOptions["policy"].as<std::string>()) &&
      (aOptions.count("load") == 0 || scenario.load_ == aOptions["load"].as<double>());
    if (!selected) {
      continue;
    }
    scenario.seed_ = aOptions["seed"].as<std::uint64_t>();
    if (aOptions.count("probes") > 0) {
      scenario.probes_ = aOptions["probes"].as<double>();
    }
    if (aOptions.count("hedge") > 0) {
      scenario.hedgeBudget_ = aOptions["hedge"].as<double>();
    }
    rows.push_back({ scenario, RunScenario(scenario) });
  }
  return rows;
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
    std::cout << FormatCosts(MeasureCosts());
    return 0;
  }
  const std::vector<Row> rows = RunSuite(parsed);
  std::cout << FormatTable(rows);
  if (parsed.count("csv") > 0) {
    std::ofstream(parsed["csv"].as<std::string>()) << FormatCsv(rows);
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
