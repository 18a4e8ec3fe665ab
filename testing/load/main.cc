// Load generator for tests and manual measurements; not installed.

#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "testing/load/generator.h"
#include "testing/wire/target.h"

namespace {

using boragepier::testing::LoadGenerator;
using boragepier::testing::LoadSettings;

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options("boragepier_testing_load",
                           "Sends lookups and orders and checks the answers");
  // clang-format off
  options.add_options()
    ("targets", "IP:PORT,... to send to, round-robin", cxxopts::value<std::vector<std::string>>())
    ("seed", "random seed of operations, bodies and arrival times",
     cxxopts::value<std::uint64_t>()->default_value("1"))
    ("count", "number of requests", cxxopts::value<std::uint64_t>()->default_value("1000"))
    ("rate", "requests per second of an open loop; 0: closed loop",
     cxxopts::value<double>()->default_value("0"))
    ("clients", "outstanding requests of a closed loop",
     cxxopts::value<std::uint64_t>()->default_value("8"))
    ("orders-percent", "percentage of orders, which have idempotency keys",
     cxxopts::value<double>()->default_value("0"))
    ("order-path", "request path of orders", cxxopts::value<std::string>()->default_value("/order"))
    ("lookup-path", "request path of lookups",
     cxxopts::value<std::string>()->default_value("/lookup"))
    ("key-prefix", "prefix of idempotency keys",
     cxxopts::value<std::string>()->default_value("load"))
    ("deadline-ms", "deadline header of each request; 0: no header",
     cxxopts::value<std::uint32_t>()->default_value("1000"))
    ("timeout-ms", "a request without a response by then counts as lost",
     cxxopts::value<double>()->default_value("10000"))
    ("keys-file", "file to write a line KEY OUTCOME STATUS to for each order",
     cxxopts::value<std::string>())
    ("help", "show this help");
  // clang-format on
  return options;
}

LoadSettings
ReadSettings(const cxxopts::ParseResult& aOptions)
{
  LoadSettings settings;
  for (const std::string& target : aOptions["targets"].as<std::vector<std::string>>()) {
    settings.targets_.push_back(boragepier::testing::ParseTarget(target));
  }
  settings.seed_ = aOptions["seed"].as<std::uint64_t>();
  settings.requestCount_ = aOptions["count"].as<std::uint64_t>();
  settings.requestsPerSecond_ = aOptions["rate"].as<double>();
  settings.outstandingRequests_ = aOptions["clients"].as<std::uint64_t>();
  settings.ordersPercent_ = aOptions["orders-percent"].as<double>();
  settings.orderPath_ = aOptions["order-path"].as<std::string>();
  settings.lookupPath_ = aOptions["lookup-path"].as<std::string>();
  settings.keyPrefix_ = aOptions["key-prefix"].as<std::string>();
  settings.deadlineMs_ = aOptions["deadline-ms"].as<std::uint32_t>();
  settings.timeout_ = boragepier::FromMilliseconds(aOptions["timeout-ms"].as<double>());
  return settings;
}

void
Run(const cxxopts::ParseResult& aOptions)
{
  boragepier::net::EventLoop loop;
  LoadGenerator generator(loop, ReadSettings(aOptions), [&loop] { loop.Stop(); });
  generator.Start();
  loop.Run();
  std::cout << generator.Report().ToJson(generator.Elapsed()) << "\n";
  if (aOptions.count("keys-file") > 0) {
    std::ofstream keys(aOptions["keys-file"].as<std::string>());
    generator.Report().WriteKeys(keys);
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options = MakeOptions();
  try {
    const auto parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") > 0 || parsed.count("targets") == 0) {
      std::cout << options.help();
      return parsed.count("help") > 0 ? 0 : 2;
    }
    Run(parsed);
  } catch (const std::exception& error) {
    std::cerr << "boragepier_testing_load: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
