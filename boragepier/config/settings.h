#ifndef BORAGEPIER_CONFIG_SETTINGS_H
#define BORAGEPIER_CONFIG_SETTINGS_H

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "boragepier/base/ids.h"
#include "boragepier/base/log_level.h"
#include "boragepier/base/time.h"
#include "boragepier/config/endpoint_text.h"
#include "boragepier/config/key_table.h"
#include "boragepier/config/service_file.h"

namespace boragepier {

/// Settings of one instance, as read from its settings file. Defaults are those of
/// docs/configuration.md.
struct Settings
{
  InstanceId id_;
  ZoneName zone_;
  double processorCores_ = 1; ///< that the instance may use; orders instances as relays
  double linkMbps_ = 1000;    ///< the same

  Endpoint caller_{ "127.0.0.1", 0 }; ///< port 0 lets the system choose
  Endpoint peer_{ "127.0.0.1", 0 };   ///< address under which other instances reach this one
  Endpoint admin_{ "127.0.0.1", 0 };
  Endpoint platform_; ///< table, object store and instance list; port 0 with store_
  /// Store of configuration, upstreams and instances, used in place of platform_ and of the
  /// exchange with other instances; port 0 without one.
  Endpoint store_;
  std::vector<Endpoint> seeds_; ///< peers that are contacted at the start

  Duration drainGrace_ = std::chrono::seconds(5);
  Duration drainLimit_ = std::chrono::seconds(30);
  Duration drainMargin_{};                ///< the process exits this much before drainLimit_
  std::size_t maxConnections_ = 4096;     ///< from callers
  std::size_t maxHeader_ = 16 << 10;      ///< bytes
  std::size_t maxRequestBody_ = 64 << 20; ///< bytes; the limit of a service may be lower
  Duration idleTimeout_ = std::chrono::seconds(60);
  Duration requestTimeout_ = std::chrono::seconds(30);

  // Limits of the fleet, used with store_ only.
  double retryRatio_ = 0.1; ///< extra attempts per request
  double retrySlack_ = 0;   ///< further extra attempts of the fleet in a window
  Duration retryWindow_ = std::chrono::seconds(10);
  Duration heartbeat_ = std::chrono::milliseconds(1500);
  double probesPerUpstreamSecond_ = 20; ///< of the whole fleet

  LogLevel logLevel_ = LogLevel::Info;
  std::string logFile_;              ///< empty for the output below
  bool logToStandardOutput_ = false; ///< else to the standard error output
};

/// Parses the settings file of an instance (INI) and checks every key. Unknown keys are errors.
/// @param aText contents of the file
/// @param aFileName name used in errors
/// @return the settings, with defaults for the keys that are left out
/// @throws ConfigError for the first thing that is wrong
Settings
ParseSettings(std::string_view aText, std::string_view aFileName);

/// @return all keys of a settings file, in the order of the documentation
std::span<const Key<Settings>>
SettingsKeys();

} // namespace boragepier

#endif
