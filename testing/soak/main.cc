// Fault soak of the real programs; not installed. See docs/soak.md.

#include <filesystem>
#include <iostream>

#include <cxxopts.hpp>

#include "testing/soak/soak_run.h"

namespace {

using boragepier::testing::SoakOptions;

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options("boragepier_soak", "Runs the programs under random faults");
  // clang-format off
  options.add_options()
    ("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))
    ("seeds", "number of seeds, one after the other", cxxopts::value<std::uint64_t>()->default_value("1"))
    ("seconds", "time in which faults begin", cxxopts::value<double>()->default_value("20"))
    ("instances", "entry instances", cxxopts::value<std::size_t>()->default_value("4"))
    ("upstreams", "upstreams", cxxopts::value<std::size_t>()->default_value("6"))
    ("callers", "callers that send one request after the other",
     cxxopts::value<int>()->default_value("8"))
    ("directory", "for logs", cxxopts::value<std::string>()->default_value("out/soak"))
    ("help", "show this text");
  // clang-format on
  return options;
}

// Returns whether all promises were kept.
bool
RunSeed(const cxxopts::ParseResult& aFlags, std::uint64_t aSeed)
{
  SoakOptions options;
  options.seed_ = aSeed;
  options.length_ = boragepier::FromMilliseconds(1000 * aFlags["seconds"].as<double>());
  options.instances_ = aFlags["instances"].as<std::size_t>();
  options.upstreams_ = aFlags["upstreams"].as<std::size_t>();
  options.callers_ = aFlags["callers"].as<int>();
  const auto directory = std::filesystem::absolute(aFlags["directory"].as<std::string>()) /
                         ("seed-" + std::to_string(aSeed));
  std::filesystem::remove_all(directory);
  std::filesystem::create_directories(directory);
  options.directory_ = directory.string();
  const auto result = RunSoak(options, std::cout);
  std::cout << "seed " << aSeed << ": " << result.faults_ << " faults, " << result.requests_
            << " requests, " << result.answered_ << " answered, " << result.orders_
            << " orders, serving again after " << boragepier::ToMilliseconds(result.recovery_)
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
    bool kept = true;
    const auto first = flags["seed"].as<std::uint64_t>();
    for (std::uint64_t i = 0; i < flags["seeds"].as<std::uint64_t>(); ++i) {
      kept = RunSeed(flags, first + i) && kept;
    }
    return kept ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "boragepier_soak: " << error.what() << "\n";
    return 2;
  }
}
