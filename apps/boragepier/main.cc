#include <signal.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include <cxxopts.hpp>

#include "boragepier/base/errors.h"
#include "boragepier/config/settings.h"
#include "boragepier/entry/entry_instance.h"
#include "boragepier/telemetry/log.h"

namespace {

using namespace boragepier;

// Exit codes; listed in docs/operations.md.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;
constexpr int kExitDrainLimit = 4;

constexpr const char* kVersion = "0.1.0";

Settings
ReadSettings(const std::string& aFile)
{
  std::ifstream file(aFile);
  if (!file) {
    throw ConfigError(aFile, 0, "", "the file cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str(), aFile);
}

// Blocks the signals in this thread and those that it starts, so that only Wait() receives them.
class StopSignals
{
public:
  StopSignals()
  {
    sigemptyset(&signals_);
    sigaddset(&signals_, SIGTERM);
    sigaddset(&signals_, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
    signal(SIGPIPE, SIG_IGN);
  }

  void Wait() const
  {
    int received = 0;
    sigwait(&signals_, &received);
  }

private:
  sigset_t signals_{};
};

InstancePorts
Start(EntryInstance& aInstance)
{
  try {
    return aInstance.Start();
  } catch (const Error& error) {
    Log(EventId::StartFailed, { { "error", error.what() } });
    throw;
  }
}

int
Serve(const Settings& aSettings)
{
  const StopSignals stop;
  ConfigureLog(aSettings.logLevel_, aSettings.logFile_);
  EntryInstance instance(aSettings);
  const InstancePorts ports = Start(instance);
  std::cout << "listening " << ports.caller_ << "\npeer " << ports.peer_ << "\nadmin "
            << ports.admin_ << std::endl;
  stop.Wait();
  return instance.Drain() ? kExitOk : kExitDrainLimit;
}

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options("boragepier",
                           "Entry instance of the boragepier load balancer.\n\n"
                           "Examples:\n"
                           "  boragepier --settings /etc/boragepier/instance.ini\n"
                           "  boragepier --settings instance.ini --check\n");
  options.add_options()(
    "settings", "settings file (docs/configuration.md)", cxxopts::value<std::string>(), "FILE");
  options.add_options()("check", "check the settings file and exit");
  options.add_options()("version", "print the version and exit");
  options.add_options()("help", "print this help and exit");
  return options;
}

int
Run(int aCount, char** aArguments)
{
  cxxopts::Options options = MakeOptions();
  const cxxopts::ParseResult arguments = options.parse(aCount, aArguments);
  if (arguments.count("help") != 0) {
    std::cout << options.help();
    return kExitOk;
  }
  if (arguments.count("version") != 0) {
    std::cout << "boragepier " << kVersion << "\n";
    return kExitOk;
  }
  if (arguments.count("settings") == 0) {
    std::cerr << "boragepier: --settings FILE is missing; see boragepier --help\n";
    return kExitUsage;
  }
  const Settings settings = ReadSettings(arguments["settings"].as<std::string>());
  if (arguments.count("check") != 0) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  return Serve(settings);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    return Run(aCount, aArguments);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "boragepier: " << error.what() << "; see boragepier --help\n";
    return kExitUsage;
  } catch (const boragepier::ConfigError& error) {
    std::cerr << "boragepier: " << error.what() << "\n";
    return kExitSettings;
  } catch (const std::exception& error) {
    std::cerr << "boragepier: " << error.what() << "\n";
    return kExitFailed;
  }
}
