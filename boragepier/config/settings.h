#ifndef BORAGEPIER_CONFIG_SETTINGS_H
#define BORAGEPIER_CONFIG_SETTINGS_H

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "boragepier/base/descriptor_budget.h"
#include "boragepier/base/ids.h"
#include "boragepier/base/log_level.h"
#include "boragepier/base/time.h"
#include "boragepier/config/endpoint.h"
#include "boragepier/config/key_table.h"
#include "boragepier/config/service_file.h"

namespace boragepier {

/// Settings of one instance, as read from its settings file. Defaults are those of
/// docs/configuration.md.
struct Settings
{
  InstanceId id_;
  ZoneName zone_;
  // With storeEndpoint_, instances with more of these are preferred for relaying store updates to
  // others.
  double processorCores_ = 1; ///< CPU cores available to the instance
  double linkMbps_ = 1000;    ///< bandwidth of the instance's network link in Mbit/s
  /// Descriptors that the process may open; 0 if only its RLIMIT_NOFILE applies.
  std::size_t fileDescriptors_ = 0;
  double memoryMb_ = 256; ///< memory that the process may use, in MB (1,000,000 bytes)

  // Listening addresses; with port 0 the operating system chooses a port.
  Endpoint callerEndpoint_{ "127.0.0.1", 0 }; ///< for callers
  Endpoint peerEndpoint_{ "127.0.0.1", 0 };   ///< for other instances, also sent to them
  Endpoint adminEndpoint_{ "127.0.0.1", 0 };  ///< for the admin API
  /// Platform: table, object store and instance list; unset if only storeEndpoint_ is used.
  Endpoint platformEndpoint_;
  /// Directory store of configuration, upstreams and instances. It replaces platformEndpoint_ and
  /// the gossip between instances; port 0 if it is not used.
  Endpoint storeEndpoint_;
  std::vector<Endpoint> seedPeers_; ///< instances to which this one connects first after its start

  Duration drainGrace_ = std::chrono::seconds(5);   ///< new connections are still accepted
  Duration drainLimit_ = std::chrono::seconds(30);  ///< from SIGTERM to the exit
  std::optional<Duration> stopLimit_;               ///< if given, already applied to the two above
  Duration drainMargin_{};                          ///< subtracted from drainLimit_
  std::size_t maxConnections_ = 4096;               ///< connections from callers
  std::size_t maxHeader_ = 16 << 10;                ///< bytes; request line and header fields
  std::size_t maxRequestBody_ = 64 << 20;           ///< bytes; a service may have a lower limit
  Duration idleTimeout_ = std::chrono::seconds(60); ///< of a connection without a request
  Duration requestTimeout_ = std::chrono::seconds(30); ///< to receive a request or send a response

  // Limits for the whole fleet, used only with storeEndpoint_.
  double retryRatio_ = 0.1; ///< retry budget: extra attempts per request
  double retrySlack_ = 0;   ///< extra attempts to a service in a window in addition to the ratio
  Duration retryWindow_ = std::chrono::seconds(10); ///< of the retry budget
  /// Interval at which upstreams renew their entries in the store.
  Duration heartbeatInterval_ = std::chrono::milliseconds(1500);
  double probesPerUpstreamSecond_ = 20;            ///< probe rate limit
  Duration quotaWindow_ = std::chrono::seconds(5); ///< in which a team's requests are counted
  double quotaOverage_ = 0.1; ///< tolerated share beyond a team's quota in one window
  double quotaSlack_ = 0;     ///< tolerated requests beyond that share in one window
  double coldOverage_ = 1;    ///< tolerated multiple of the rate of a cold upstream
  double coldSlack_ = 0;      ///< tolerated requests to a cold upstream beyond that, in one second
  bool fleetStarts_ = false;  ///< all instances start now, for the first time

  LogLevel logLevel_ = LogLevel::Info;
  std::string logFile_;              ///< path; if empty, logToStandardOutput_ applies
  bool logToStandardOutput_ = false; ///< otherwise to standard error

  DescriptorShares descriptors_; ///< not in the file: see FitToDescriptorLimit()
};

/// @return the greatest number of bytes of message bodies that an instance may hold, so that they
/// fit in its memory beside the rest of the process; at least a quarter of the memory
std::size_t
BodyBudgetBytes(const Settings& aSettings);

/// Parses the settings file of an instance (INI) and checks all values. Unknown keys are errors.
/// @param aText contents of the file
/// @param aFileName name used in errors
/// @return the settings, with defaults for keys that do not occur
/// @throws ConfigError for the first error
Settings
ParseSettings(std::string_view aText, std::string_view aFileName);

/// @return all keys of a settings file, in the order of the documentation
std::span<const KeyBinding<Settings>>
SettingsKeys();

} // namespace boragepier

#endif
