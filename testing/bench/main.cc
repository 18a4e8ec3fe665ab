#include <cstdio>
#include <fstream>
#include <iostream>

#include <cxxopts.hpp>

#include "testing/bench/simulation.h"

using namespace boragepier;
using namespace boragepier::bench;

namespace {

const std::vector<Chooser>&
Choosers()
{
  static const std::vector<Chooser> kChoosers = {
    { "random", PolicyKind::Random },
    { "round-robin", PolicyKind::RoundRobin },
    { "power-of-two", PolicyKind::PowerOfTwo },
    { "least-outstanding", PolicyKind::LeastOutstanding },
    { "reported", PolicyKind::Reported },
    { "reported-subset", PolicyKind::ReportedSubset },
    { "central", PolicyKind::Random, true },
  };
  return kChoosers;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("boragepier_bench", "Runs policies in virtual time");
  options.add_options()(
    "load", "loads", cxxopts::value<std::vector<double>>()->default_value("0.85"))(
    "policy", "policies", cxxopts::value<std::vector<std::string>>()->default_value(""))(
    "seconds", "length", cxxopts::value<int>()->default_value("65"))(
    "seed", "seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
    "probes", "", cxxopts::value<double>()->default_value("0"))(
    "hedge", "", cxxopts::value<double>()->default_value("0"))("heavy", "", cxxopts::value<bool>())(
    "unequal", "", cxxopts::value<bool>());
  const auto parsed = options.parse(aCount, aArguments);
  std::vector<Row> rows;
  const auto names = parsed["policy"].as<std::vector<std::string>>();
  for (const double load : parsed["load"].as<std::vector<double>>()) {
    for (const Chooser& chooser : Choosers()) {
      if (!names[0].empty() &&
          std::find(names.begin(), names.end(), chooser.name_) == names.end()) {
        continue;
      }
      Scenario scenario;
      scenario.chooser_ = chooser;
      scenario.load_ = load;
      scenario.seed_ = parsed["seed"].as<std::uint64_t>();
      scenario.probes_ = parsed["probes"].as<double>();
      scenario.hedgeBudget_ = parsed["hedge"].as<double>();
      scenario.length_ = std::chrono::seconds(parsed["seconds"].as<int>());
      if (parsed.count("heavy")) {
        scenario.workKind_ = WorkKind::HeavyTailed;
      }
      if (parsed.count("unequal")) {
        scenario.speeds_ = { 0.6, 1.4, 1 };
      }
      rows.push_back({ scenario, RunScenario(scenario) });
    }
  }
  std::cout << FormatTable(rows);
}
