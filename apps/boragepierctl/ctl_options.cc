#include "apps/boragepierctl/ctl_options.h"

#include <charconv>
#include <cstdlib>
#include <limits>

#include <cxxopts.hpp>

#include "apps/boragepierctl/ctl_errors.h"

namespace boragepier::ctl {

namespace {

constexpr std::string_view kCommandsAndExamples =
  "\nCommands:\n"
  "  check FILE...          check service files\n"
  "  publish DIR...         publish all *.service.ini files below DIR, all or none\n"
  "  status                 show versions and readiness of all instances\n"
  "  explain REQUEST-ID     show how a request was served\n"
  "  explain --last N       show the last N requests of each instance\n"
  "  explain REQUEST-ID --log FILE...  show from logs how a request was served and why it failed\n"
  "  log summary FILE...    count failed requests and attempts in logs; - is the standard input\n"
  "\nExamples:\n"
  "  boragepierctl check services/stock.service.ini\n"
  "  boragepierctl publish services/ --platform 10.0.0.5:9000\n"
  "  boragepierctl publish services/orders --platform 10.0.0.5:9000 --base 7\n"
  "  boragepierctl status --platform 10.0.0.5:9000 --admin-port 9100\n"
  "  boragepierctl explain i-3-5f0c2a91-42 --instance 10.0.1.7:9100\n"
  "  boragepierctl explain 93ff70b9bfc6d410 --log front-1.log --log front-2.log\n"
  "\nExit codes:\n";

cxxopts::Options
MakeOptions()
{
  using cxxopts::value;
  cxxopts::Options options("boragepierctl", "Operates a fleet of boragepier instances.\n");
  options.custom_help("COMMAND [OPTION...]");
  auto add = options.add_options();
  add("platform", "address of the platform", value<std::string>(), "IP:PORT");
  add("instance",
      "admin address of an instance; may be repeated; used instead of the platform's list",
      value<std::vector<std::string>>(),
      "IP:PORT");
  add("admin-port",
      "admin port of instances that are listed without one",
      value<std::uint16_t>(),
      "PORT");
  add(
    "base",
    "publish only if this version is current; SERVICE=VERSION, may be repeated, for several files",
    value<std::vector<std::string>>(),
    "VERSION");
  add("operator", "prefix of the publish id; default: $USER", value<std::string>(), "NAME");
  add(
    "log",
    "log file that explain reads instead of querying instances; may be repeated; - is the standard "
    "input",
    value<std::vector<std::string>>(),
    "FILE");
  add("last", "number of most recent requests to show", value<std::uint64_t>(), "N");
  add("timeout-ms",
      "time limit for all responses",
      value<std::uint32_t>()->default_value("10000"),
      "MS");
  add("json", "write the result as JSON");
  add("version", "print the version and exit");
  add("help", "print this help and exit");
  add("command", "", value<std::string>());
  add("operands", "", value<std::vector<std::string>>());
  options.parse_positional({ "command", "operands" });
  options.positional_help("");
  return options;
}

Endpoint
ParseEndpointOption(std::string_view aOption, const std::string& aText)
{
  if (auto endpoint = ParseEndpoint(aText); endpoint) {
    return *std::move(endpoint);
  }
  throw UsageError("--" + std::string(aOption) + " \"" + aText +
                   "\" is not IP:PORT; use for example 10.0.0.5:9000");
}

void
ParseBaseOption(const std::string& aText, CtlOptions& aOptions)
{
  const std::size_t equals = aText.find('=');
  const std::string number = equals == std::string::npos ? aText : aText.substr(equals + 1);
  std::uint64_t version = 0;
  const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), version);
  if (number.empty() || error != std::errc() || end != number.data() + number.size()) {
    throw UsageError(
      "--base \"" + aText +
      "\" is not VERSION or SERVICE=VERSION; boragepierctl status shows the versions");
  }
  if (equals == std::string::npos) {
    aOptions.baseVersion_ = version;
  } else {
    aOptions.baseVersionsByService_[aText.substr(0, equals)] = version;
  }
}

CtlOptions
ToCtlOptions(const cxxopts::ParseResult& aParseResult)
{
  CtlOptions options;
  const auto text = [&](const char* aName) {
    return aParseResult.count(aName) != 0 ? aParseResult[aName].as<std::string>() : std::string();
  };
  const auto texts = [&](const char* aName) {
    return aParseResult.count(aName) != 0 ? aParseResult[aName].as<std::vector<std::string>>()
                                          : std::vector<std::string>();
  };
  options.command_ = text("command");
  options.operands_ = texts("operands");
  options.help_ = aParseResult.count("help") != 0;
  options.version_ = aParseResult.count("version") != 0;
  options.json_ = aParseResult.count("json") != 0;
  if (aParseResult.count("platform") != 0) {
    options.platformEndpoint_ = ParseEndpointOption("platform", text("platform"));
  }
  for (const std::string& instance : texts("instance")) {
    options.adminEndpoints_.push_back(ParseEndpointOption("instance", instance));
  }
  options.logFiles_ = texts("log");
  for (const std::string& base : texts("base")) {
    ParseBaseOption(base, options);
  }
  options.adminPort_ =
    aParseResult.count("admin-port") != 0 ? aParseResult["admin-port"].as<std::uint16_t>() : 0;
  options.lastCount_ =
    aParseResult.count("last") != 0 ? aParseResult["last"].as<std::uint64_t>() : 0;
  options.timeout_ = std::chrono::milliseconds(aParseResult["timeout-ms"].as<std::uint32_t>());
  const char* const user = std::getenv("USER");
  options.operatorName_ = text("operator");
  if (options.operatorName_.empty()) {
    options.operatorName_ = user != nullptr && *user != '\0' ? user : "unknown";
  }
  return options;
}

} // namespace

CtlOptions
ParseOptions(std::span<const std::string> aArguments)
{
  std::vector<const char*> arguments = { "boragepierctl" };
  for (const std::string& argument : aArguments) {
    arguments.push_back(argument.c_str());
  }
  try {
    return ToCtlOptions(MakeOptions().parse(static_cast<int>(arguments.size()), arguments.data()));
  } catch (const cxxopts::exceptions::exception& error) {
    throw UsageError(std::string(error.what()) + "; see boragepierctl --help");
  }
}

std::string
HelpText()
{
  std::string help = MakeOptions().help().append(kCommandsAndExamples);
  for (const ExitCodeInfo& info : ExitCodes()) {
    help.append("  ")
      .append(std::to_string(static_cast<int>(info.code_)))
      .append("  ")
      .append(info.meaning_)
      .append("\n");
  }
  return help;
}

} // namespace boragepier::ctl
