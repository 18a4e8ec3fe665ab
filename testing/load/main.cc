// Load tool for tests and trials; not installed.

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
  cxxopts::Options options("boragepier_testing_load", "Sends lookups and orders, checks answers");
  // clang-format off
  options.add_options()
    ("targets", "IP:PORT,... taken in turn", cxxopts::value<std::vector<std::string>>())
    ("seed", "of kinds, bodies and arrivals", cxxopts::value<std::uint64_t>()->default_value("1"))
    ("count", "requests", cxxopts::value<std::uint64_t>()->default_value("1000"))
    ("rate", "open loop: requests per second; 0: closed loop",
     cxxopts::value<double>()->default_value("0"))
    ("clients", "closed loop: requests outstanding",
     cxxopts::value<std::uint64_t>()->default_value("8"))
    ("orders-percent", "share of keyed orders", cxxopts::value<double>()->default_value("0"))
    ("order-path", "path of orders", cxxopts::value<std::string>()->default_value("/order"))
    ("lookup-path", "path of lookups", cxxopts::value<std::string>()->default_value("/lookup"))
    ("key-prefix", "of idempotency keys", cxxopts::value<std::string>()->default_value("load"))
    ("deadline-ms", "sent with each request; 0: none",
     cxxopts::value<std::uint32_t>()->default_value("1000"))
    ("timeout-ms", "a response that takes longer is lost",
     cxxopts::value<double>()->default_value("10000"))
    ("keys-file", "receives a line KEY OUTCOME STATUS for each order",
     cxxopts::value<std::string>())
    ("help", "show this text");
  // clang-format on
  return options;
}

LoadSettings
ReadSettings(const cxxopts::ParseResult& aFlags)
{
  LoadSettings settings;
  for (const std::string& target : aFlags["targets"].as<std::vector<std::string>>()) {
    settings.targets_.push_back(boragepier::testing::ParseTarget(target));
  }
  settings.seed_ = aFlags["seed"].as<std::uint64_t>();
  settings.count_ = aFlags["count"].as<std::uint64_t>();
  settings.rate_ = aFlags["rate"].as<double>();
  settings.clients_ = aFlags["clients"].as<std::uint64_t>();
  settings.ordersPercent_ = aFlags["orders-percent"].as<double>();
  settings.orderPath_ = aFlags["order-path"].as<std::string>();
  settings.lookupPath_ = aFlags["lookup-path"].as<std::string>();
  settings.keyPrefix_ = aFlags["key-prefix"].as<std::string>();
  settings.deadlineMs_ = aFlags["deadline-ms"].as<std::uint32_t>();
  settings.timeout_ = boragepier::FromMilliseconds(aFlags["timeout-ms"].as<double>());
  return settings;
}

void
Run(const cxxopts::ParseResult& aFlags)
{
  boragepier::net::EventLoop loop;
  LoadGenerator generator(loop, ReadSettings(aFlags), [&loop] { loop.Stop(); });
  generator.Start();
  loop.Run();
  std::cout << generator.Report().ToJson(generator.Elapsed()) << "\n";
  if (aFlags.count("keys-file") > 0) {
    std::ofstream keys(aFlags["keys-file"].as<std::string>());
    generator.Report().WriteKeys(keys);
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options = MakeOptions();
  try {
    const auto flags = options.parse(aCount, aArguments);
    if (flags.count("help") > 0 || flags.count("targets") == 0) {
      std::cout << options.help();
      return flags.count("help") > 0 ? 0 : 2;
    }
    Run(flags);
  } catch (const std::exception& error) {
    std::cerr << "boragepier_testing_load: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
