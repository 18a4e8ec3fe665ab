// Soak test of the real programs under random faults; not installed. See docs/soak.md.

#include <filesystem>
#include <iostream>

#include <cxxopts.hpp>

#include "testing/soak/soak_run.h"

namespace {

using boragepier::testing::SoakOptions;

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options("boragepier_soak", "Soak test of the programs under random faults");
  // clang-format off
  options.add_options()
    ("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))
    ("seeds", "number of consecutive seeds to run", cxxopts::value<std::uint64_t>()->default_value("1"))
    ("seconds", "period in which faults start", cxxopts::value<double>()->default_value("20"))
    ("instances", "number of entry instances", cxxopts::value<std::size_t>()->default_value("4"))
    ("upstreams", "number of upstreams", cxxopts::value<std::size_t>()->default_value("6"))
    ("callers", "number of callers; each sends one request at a time",
     cxxopts::value<int>()->default_value("8"))
    ("upstream-pauses", "upstreams also ask for pauses (Retry-After); changes the plan of a seed")
    ("directory", "directory for logs", cxxopts::value<std::string>()->default_value("out/soak"))
    ("help", "show this text");
  // clang-format on
  return options;
}

// Returns whether the run had no violation.
bool
RunSeed(const cxxopts::ParseResult& aFlags, std::uint64_t aSeed)
{
  SoakOptions options;
  options.seed_ = aSeed;
  options.faultPeriod_ = boragepier::FromMilliseconds(1000 * aFlags["seconds"].as<double>());
  options.instances_ = aFlags["instances"].as<std::size_t>();
  options.upstreams_ = aFlags["upstreams"].as<std::size_t>();
  options.callers_ = aFlags["callers"].as<int>();
  options.upstreamPauses_ = aFlags.count("upstream-pauses") > 0;
  const auto directory = std::filesystem::absolute(aFlags["directory"].as<std::string>()) /
                         ("seed-" + std::to_string(aSeed));
  std::filesystem::remove_all(directory);
  std::filesystem::create_directories(directory);
  options.directory_ = directory.string();
  const auto result = RunSoak(options, std::cout);
  std::cout << "seed " << aSeed << ": " << result.faultCount_ << " faults, " << result.requests_
            << " requests, " << result.answered_ << " answered, " << result.orders_
            << " orders, recovered after " << boragepier::ToMilliseconds(result.recovery_)
            << " ms, " << result.violations_.size() << " violations\n";
  for (const std::string& violation : result.violations_) {
    std::cout << "VIOLATION seed " << aSeed << ": " << violation << "\n";
  }
  return result.violations_.empty();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options = MakeOptions();
  try {
    const auto flags = options.parse(aCount, aArguments);
    if (flags.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    bool passed = true;
    const auto first = flags["seed"].as<std::uint64_t>();
    for (std::uint64_t i = 0; i < flags["seeds"].as<std::uint64_t>(); ++i) {
      passed = RunSeed(flags, first + i) && passed;
    }
    return passed ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "boragepier_soak: " << error.what() << "\n";
    return 2;
  }
}
