#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>

#include <cxxopts.hpp>

#include "apps/boragepier/control_signals.h"
#include "boragepier/base/errors.h"
#include "boragepier/config/settings.h"
#include "boragepier/entry/entry_instance.h"
#include "boragepier/entry/process_environment.h"
#include "boragepier/net/errors.h"
#include "boragepier/telemetry/log.h"
#include "boragepier/telemetry/process_failure.h"
#include "platform/platform_binding.h"

namespace {

using namespace boragepier;

// Exit codes; docs/OPERATIONS.md lists them.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitInvalidSettings = 3;
constexpr int kExitDrainLimitReached = 4;

// Environment variable with the path of the settings file, used if --settings is not given.
constexpr const char* kSettingsPathVariable = "BORAGEPIER_SETTINGS";
// The settings file is read this often for changes that no SIGHUP announces.
constexpr std::chrono::milliseconds kSettingsPollInterval{ 1000 };

// Addresses that another process uses are waited for at least this long.
constexpr std::chrono::seconds kMinAddressWait{ 5 };
constexpr std::chrono::milliseconds kAddressRetryInterval{ 100 };

constexpr const char* kVersion = "0.1.0";

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw ConfigError(aPath, 0, "", "the file cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Returns the path from --settings or else from the environment; empty if neither is given.
std::string
SettingsPath(const cxxopts::ParseResult& aArguments)
{
  if (aArguments.count("settings") != 0) {
    return aArguments["settings"].as<std::string>();
  }
  const char* const path = std::getenv(kSettingsPathVariable);
  return path == nullptr ? std::string() : path;
}

// A store address in the settings selects the binding to the users' platform; without one the
// instance uses the native binding.
PlatformBinding
ChoosePlatformBinding(const Settings& aSettings)
{
  return aSettings.storeEndpoint_.port_ != 0 ? metastore::MakePlatformBinding()
                                             : MakeNativePlatformBinding();
}

// Starts an instance. While another process uses one of its addresses, such as the previous
// process on this machine during its drain, waits for at most as long as a drain takes.
// Returns the instance, with its ports in aPorts, or nothing if SIGTERM arrived before it listened.
std::unique_ptr<EntryInstance>
StartInstance(const Settings& aSettings, InstancePorts& aPorts)
{
  using Clock = std::chrono::steady_clock;
  const Duration limit = std::max<Duration>(aSettings.drainLimit_, kMinAddressWait);
  const auto deadline = Clock::now() + limit;
  std::set<std::string> logged;
  auto interval = std::chrono::milliseconds(0);
  while (!StopRequested(interval)) {
    try {
      auto instance = std::make_unique<EntryInstance>(aSettings, ChoosePlatformBinding(aSettings));
      aPorts = instance->Start();
      return instance;
    } catch (const net::AddressInUseError& error) {
      if (Clock::now() >= deadline) {
        Log(EventId::StartFailed, { { "error", error.what() } });
        throw;
      }
      if (logged.insert(error.what()).second) {
        Log(EventId::StartDelayed, { { "error", error.what() }, { "limit-ms", limit } });
      }
      interval = kAddressRetryInterval;
    } catch (const Error& error) {
      Log(EventId::StartFailed, { { "error", error.what() } });
      throw;
    }
  }
  Log(EventId::StartCancelled, { { "instance", aSettings.id_ } });
  return nullptr;
}

// Applies changes of the settings file to the running instance.
class SettingsReloader
{
public:
  explicit SettingsReloader(std::string aPath)
    : path_(std::move(aPath))
    , text_(ReadFile(path_))
  {
  }

  /// Reads the file and reloads the instance if the text has changed. If it cannot be read
  /// or is invalid, logs the error and leaves the instance as it is.
  /// @param aForceReload reload unchanged text too
  void ReloadIfChanged(EntryInstance& aInstance, bool aForceReload)
  {
    try {
      std::string text = ReadFile(path_);
      if (text == text_ && !aForceReload) {
        return;
      }
      text_ = std::move(text);
      aInstance.Reload(ParseSettings(text_, path_));
    } catch (const ConfigError& error) {
      Log(EventId::SettingsRejected, { { "error", error.what() } });
    }
  }

private:
  const std::string path_;
  std::string text_;
};

// Polls the settings file until SIGTERM or SIGINT arrives; SIGHUP forces a reload.
void
ServeUntilStopSignal(SettingsReloader& aReloader, EntryInstance& aInstance)
{
  for (;;) {
    const auto received = WaitForSignal(kSettingsPollInterval);
    if (received && *received != SIGHUP) {
      return;
    }
    aReloader.ReloadIfChanged(aInstance, received.has_value());
  }
}

int
Serve(const Settings& aSettings, const std::string& aPath)
{
  // Lets a write to a closed connection fail with EPIPE instead of ending the process.
  signal(SIGPIPE, SIG_IGN);
  ConfigureLog(aSettings.logLevel_,
               aSettings.logFile_,
               aSettings.logToStandardOutput_ ? LogOutput::StandardOutput
                                              : LogOutput::StandardError);
  ReportProcessFailureTo(aSettings.logToStandardOutput_ ? STDOUT_FILENO : STDERR_FILENO);
  SettingsReloader reloader(aPath);
  InstancePorts ports;
  const auto instance = StartInstance(FitToDescriptorLimit(aSettings), ports);
  if (instance == nullptr) {
    return kExitOk;
  }
  std::cout << "listening " << ports.caller_ << "\npeer " << ports.peer_ << "\nadmin "
            << ports.admin_ << std::endl;
  ServeUntilStopSignal(reloader, *instance);
  return instance->Drain() ? kExitOk : kExitDrainLimitReached;
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
    "settings",
    "path of the settings file (docs/configuration.md); default: $BORAGEPIER_SETTINGS",
    cxxopts::value<std::string>(),
    "FILE");
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
  const std::string path = SettingsPath(arguments);
  if (path.empty()) {
    std::cerr << "boragepier: no settings file is given; use --settings FILE or set "
                 "BORAGEPIER_SETTINGS; see boragepier --help\n";
    return kExitUsage;
  }
  const Settings settings = ParseSettings(ReadFile(path), path);
  if (arguments.count("check") != 0) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  return Serve(settings, path);
}

// Entries of this section run before the initializers of all libraries, so that no signal ends a
// process that is still starting.
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const kBlockSignalsAtLoad)() = BlockControlSignals;

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
    return kExitInvalidSettings;
  } catch (const std::exception& error) {
    std::cerr << "boragepier: " << error.what() << "\n";
    return kExitFailed;
  }
}
