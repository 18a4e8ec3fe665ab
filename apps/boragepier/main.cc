#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <cxxopts.hpp>

#include "apps/boragepier/control_signals.h"
#include "apps/boragepier/settings_file.h"
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

// A settings file that is missing or invalid at the start is read again for this long.
constexpr std::chrono::seconds kSettingsWait{ 5 };

constexpr const char* kVersion = "0.1.0";

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

// Opens those of the descriptors 0 to 2 that are closed on /dev/null. Otherwise the first sockets
// would get their numbers, and output would be written to them.
void
OpenStandardStreams()
{
  int descriptor = 0;
  do {
    descriptor = open("/dev/null", O_RDWR);
  } while (descriptor >= 0 && descriptor <= STDERR_FILENO);
  if (descriptor >= 0) {
    close(descriptor);
  }
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
    } catch (const std::exception& error) {
      Log(EventId::StartFailed, { { "error", error.what() } });
      throw;
    }
  }
  Log(EventId::StartCancelled, { { "instance", aSettings.id_ } });
  return nullptr;
}

// Polls the settings file until SIGTERM or SIGINT arrives; SIGHUP forces a reload.
void
ServeUntilStopSignal(SettingsFile& aFile, EntryInstance& aInstance)
{
  auto interval = kSettingsPollInterval;
  for (;;) {
    const auto received = WaitForSignal(interval);
    if (received && *received != SIGHUP) {
      return;
    }
    if (received) {
      aFile.ForceReload();
    }
    try {
      if (const auto settings = aFile.ReadChange()) {
        aInstance.Reload(*settings);
      }
    } catch (const ConfigError& error) {
      Log(EventId::SettingsRejected, { { "error", error.what() } });
    }
    interval = aFile.Unsettled() ? SettingsFile::kSettleTime : kSettingsPollInterval;
  }
}

// Reads the settings for the start. While the file is missing, invalid or being written, tries
// again for up to kSettingsWait. Returns nothing if SIGTERM arrived before.
std::optional<Settings>
WaitForSettings(SettingsFile& aFile)
{
  using Clock = std::chrono::steady_clock;
  const auto deadline = Clock::now() + kSettingsWait;
  bool logged = false;
  auto interval = std::chrono::milliseconds(0);
  while (!StopRequested(interval)) {
    interval = SettingsFile::kSettleTime;
    try {
      if (auto settings = aFile.ReadChange()) {
        return settings;
      }
      if (Clock::now() >= deadline) {
        throw ConfigError(aFile.Path(), 0, "", "the file changes with each read");
      }
    } catch (const ConfigError& error) {
      if (Clock::now() >= deadline) {
        Log(EventId::StartFailed, { { "error", error.what() } });
        throw;
      }
      if (!logged) {
        Log(EventId::StartDelayed,
            { { "error", error.what() }, { "limit-ms", Duration(kSettingsWait) } });
        logged = true;
      }
      aFile.ForceReload();
    }
  }
  Log(EventId::StartCancelled, { { "settings", aFile.Path() } });
  return std::nullopt;
}

int
Serve(const std::string& aPath)
{
  // Lets a write fail that would end the process: to a closed connection, or to an output whose
  // size is limited.
  signal(SIGPIPE, SIG_IGN);
  signal(SIGXFSZ, SIG_IGN);
  OpenStandardStreams();
  ConfigureLog(LogLevel::Info, "", LogOutput::StandardError);
  SettingsFile file(aPath);
  const auto settings = WaitForSettings(file);
  if (!settings) {
    return kExitOk;
  }
  ConfigureLog(settings->logLevel_,
               settings->logFile_,
               settings->logToStandardOutput_ ? LogOutput::StandardOutput
                                              : LogOutput::StandardError);
  ReportProcessFailureTo(settings->logToStandardOutput_ ? STDOUT_FILENO : STDERR_FILENO);
  ConfigureAllocator();
  InstancePorts ports;
  const auto instance = StartInstance(FitToDescriptorLimit(*settings), ports);
  if (instance == nullptr) {
    return kExitOk;
  }
  std::cout << "listening " << ports.caller_ << "\npeer " << ports.peer_ << "\nadmin "
            << ports.admin_ << std::endl;
  ServeUntilStopSignal(file, *instance);
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
  if (arguments.count("check") != 0) {
    ParseSettings(SettingsFile(path).Read(), path);
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  return Serve(path);
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
