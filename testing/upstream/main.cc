// Simulated upstream for tests; not installed.

#include <chrono>
#include <iostream>
#include <string>

#include <cxxopts.hpp>

#include "testing/upstream/upstream.h"
#include "testing/wire/target.h"

namespace {

using boragepier::testing::ParseTarget;
using boragepier::testing::UpstreamSettings;

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options("boragepier_testing_upstream",
                           "Simulated upstream with configurable faults");
  // clang-format off
  options.add_options()
    ("address", "IP address to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1"))
    ("port", "TCP port; 0: any free port", cxxopts::value<std::uint16_t>()->default_value("0"))
    ("id", "upstream id", cxxopts::value<std::string>()->default_value("upstream-1"))
    ("zone", "availability zone", cxxopts::value<std::string>()->default_value("zone-1"))
    ("service", "service name", cxxopts::value<std::string>()->default_value("service-1"))
    ("slots", "maximum number of requests that run concurrently", cxxopts::value<std::size_t>()->default_value("2"))
    ("service-time-ms", "mean service time", cxxopts::value<double>()->default_value("10"))
    ("seed", "seed for exponentially distributed service times; default: fixed times", cxxopts::value<std::uint64_t>())
    ("platform", "IP:PORT of the platform to register with", cxxopts::value<std::string>())
    ("start-number", "number that increases with each start; default: Unix time in ms",
     cxxopts::value<std::uint64_t>())
    ("run-log", "file to which a line is appended for each run", cxxopts::value<std::string>()->default_value(""))
    ("help", "show this text");
  // clang-format on
  return options;
}

UpstreamSettings
ReadSettings(const cxxopts::ParseResult& aFlags)
{
  UpstreamSettings settings;
  settings.address_ = aFlags["address"].as<std::string>();
  settings.port_ = aFlags["port"].as<std::uint16_t>();
  settings.id_ = aFlags["id"].as<std::string>();
  settings.zone_ = aFlags["zone"].as<std::string>();
  settings.service_ = aFlags["service"].as<std::string>();
  settings.runLog_ = aFlags["run-log"].as<std::string>();
  settings.slots_ = aFlags["slots"].as<std::size_t>();
  settings.serviceTime_ = boragepier::FromMilliseconds(aFlags["service-time-ms"].as<double>());
  if (aFlags.count("seed") > 0) {
    settings.seed_ = aFlags["seed"].as<std::uint64_t>();
  }
  if (aFlags.count("platform") > 0) {
    settings.platform_ = ParseTarget(aFlags["platform"].as<std::string>());
  }
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  settings.startNumber_ = aFlags.count("start-number") > 0
                            ? aFlags["start-number"].as<std::uint64_t>()
                            : static_cast<std::uint64_t>(sinceEpoch / std::chrono::milliseconds(1));
  return settings;
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
    boragepier::net::EventLoop loop;
    const boragepier::testing::Upstream upstream(loop, ReadSettings(flags));
    std::cout << "listening " << upstream.Port() << std::endl; // NOLINT(performance-avoid-endl)
    loop.Run();
  } catch (const std::exception& error) {
    std::cerr << "boragepier_testing_upstream: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
