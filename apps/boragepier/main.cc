#include <signal.h>

#include <chrono>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>

#include <cxxopts.hpp>

#include "boragepier/base/errors.h"
#include "boragepier/config/settings.h"
#include "boragepier/entry/entry_instance.h"
#include "boragepier/telemetry/log.h"
#include "platform/platform_binding.h"

namespace {

using namespace boragepier;

// Exit codes; listed in docs/OPERATIONS.md.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;
constexpr int kExitDrainLimit = 4;

// Environment variable that holds the path of the settings file if --settings is not given.
constexpr const char* kSettingsVariable = "BORAGEPIER_SETTINGS";
// Between two looks at the settings file, which may change without a signal.
constexpr std::chrono::milliseconds kSettingsCheckInterval{ 1000 };

constexpr const char* kVersion = "0.1.0";

std::string
ReadText(const std::string& aFile)
{
  std::ifstream file(aFile);
  if (!file) {
    throw ConfigError(aFile, 0, "", "the file cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// The option goes before the environment.
std::string
SettingsFile(const cxxopts::ParseResult& aArguments)
{
  if (aArguments.count("settings") != 0) {
    return aArguments["settings"].as<std::string>();
  }
  const char* const file = std::getenv(kSettingsVariable);
  return file == nullptr ? std::string() : file;
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
    sigaddset(&signals_, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
    signal(SIGPIPE, SIG_IGN);
  }

  /// Waits for a signal for a limited time.
  /// @return the signal, or nothing after the time
  std::optional<int> Wait(std::chrono::milliseconds aLimit) const
  {
    const std::timespec limit{ aLimit.count() / 1000, aLimit.count() % 1000 * 1'000'000 };
    const int received = sigtimedwait(&signals_, nullptr, &limit);
    return received > 0 ? std::optional(received) : std::nullopt;
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

PlatformBinding
SelectPlatformBinding(const Settings& aSettings)
{
  return aSettings.storeEndpoint_.port_ != 0 ? metastore::MakePlatformBinding()
                                             : MakeNativePlatformBinding();
}

// Reads the settings file again when it has changed or a signal asks for it.
class SettingsWatch
{
public:
  explicit SettingsWatch(std::string aFile)
    : file_(std::move(aFile))
    , text_(ReadText(file_))
  {
  }

  void Check(EntryInstance& aInstance, bool aForced)
  {
    try {
      std::string text = ReadText(file_);
      if (text == text_ && !aForced) {
        return;
      }
      text_ = std::move(text);
      aInstance.Reload(ParseSettings(text_, file_));
    } catch (const ConfigError& error) {
      Log(EventId::SettingsRejected, { { "error", error.what() } });
    }
  }

private:
  const std::string file_;
  std::string text_;
};

// Serves until a signal asks to stop.
void
WaitForStop(const StopSignals& aSignals, SettingsWatch& aWatch, EntryInstance& aInstance)
{
  for (;;) {
    const auto received = aSignals.Wait(kSettingsCheckInterval);
    if (received && *received != SIGHUP) {
      return;
    }
    aWatch.Check(aInstance, received.has_value());
  }
}

int
Serve(const Settings& aSettings, const std::string& aFile)
{
  const StopSignals stop;
  ConfigureLog(aSettings.logLevel_,
               aSettings.logFile_,
               aSettings.logToStandardOutput_ ? LogOutput::StandardOutput
                                              : LogOutput::StandardError);
  SettingsWatch watch(aFile);
  EntryInstance instance(aSettings, SelectPlatformBinding(aSettings));
  const InstancePorts ports = Start(instance);
  std::cout << "listening " << ports.caller_ << "\npeer " << ports.peer_ << "\nadmin "
            << ports.admin_ << std::endl;
  WaitForStop(stop, watch, instance);
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
  options.add_options()("settings",
                        "settings file (docs/configuration.md); default: $BORAGEPIER_SETTINGS",
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
  const std::string file = SettingsFile(arguments);
  if (file.empty()) {
    std::cerr << "boragepier: --settings FILE is missing; see boragepier --help\n";
    return kExitUsage;
  }
  const Settings settings = ParseSettings(ReadText(file), file);
  if (arguments.count("check") != 0) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  return Serve(settings, file);
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
