#include "boragepier/config/settings.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace boragepier {

namespace {

// In the order of the enumerators of LogLevel.
constexpr std::array<std::string_view, 4> kLogLevelNames = { "debug", "info", "warn", "error" };

constexpr std::array<std::string_view, 2> kLogOutputNames = { "stderr", "stdout" };

// Memory of a process without connections.
constexpr std::size_t kProcessBytes = 32 << 20;
// Sockets, buffers and headers of a connection of a caller and of one to an upstream.
constexpr std::size_t kConnectionBytes = 8 << 10;

constexpr std::array kKeys = {
  KeyBinding<Settings>{
    { .section_ = "instance",
      .name_ = "id",
      .type_ = KeyType::Label,
      .required_ = true,
      .meaning_ = "name of the instance, unique in the installation" },
    [](Settings& aSettings, const KeyValue& aValue) { Assign(aSettings.id_, aValue); } },
  KeyBinding<Settings>{
    { .section_ = "instance",
      .name_ = "zone",
      .type_ = KeyType::Label,
      .required_ = true,
      .meaning_ = "availability zone of the instance" },
    [](Settings& aSettings, const KeyValue& aValue) { Assign(aSettings.zone_, aValue); } },
  KeyBinding<Settings>{ { .section_ = "instance",
                          .name_ = "processor-cores",
                          .type_ = KeyType::Number,
                          .minimum_ = 0,
                          .maximum_ = 1000000,
                          .default_ = "1",
                          .meaning_ =
                            "CPU cores available to the instance; with store.address, "
                            "instances with more of them are preferred for relaying store "
                            "updates" },
                        [](Settings& aSettings, const KeyValue& aValue) {
                          Assign(aSettings.processorCores_, aValue);
                        } },
  KeyBinding<Settings>{
    { .section_ = "instance",
      .name_ = "link-mbps",
      .type_ = KeyType::Number,
      .minimum_ = 0,
      .maximum_ = 1000000000,
      .default_ = "1000",
      .meaning_ = "network bandwidth of the instance in Mbit/s; used like "
                  "processor-cores" },
    [](Settings& aSettings, const KeyValue& aValue) { Assign(aSettings.linkMbps_, aValue); } },
  KeyBinding<Settings>{ { .section_ = "instance",
                          .name_ = "file-descriptors",
                          .type_ = KeyType::Integer,
                          .minimum_ = 0,
                          .maximum_ = 1000000000,
                          .default_ = "0",
                          .meaning_ = "descriptors that the instance may open, if that is less "
                                      "than the limit of the process (RLIMIT_NOFILE); 0 if only "
                                      "that limit applies" },
                        [](Settings& aSettings, const KeyValue& aValue) {
                          Assign(aSettings.fileDescriptors_, aValue);
                        } },
  KeyBinding<Settings>{
    { .section_ = "instance",
      .name_ = "memory-mb",
      .type_ = KeyType::Number,
      .unit_ = "MB",
      .minimum_ = 32,
      .maximum_ = 1000000,
      .default_ = "256",
      .meaning_ = "memory that the process may use; bodies of requests and answers that do not fit "
                  "beside the rest of it are refused or read later" },
    [](Settings& aSettings, const KeyValue& aValue) { Assign(aSettings.memoryMb_, aValue); } },
  KeyBinding<Settings>{ { .section_ = "listen",
                          .name_ = "caller-address",
                          .type_ = KeyType::Address,
                          .default_ = "127.0.0.1",
                          .meaning_ = "address on which callers are accepted" },
                        [](Settings& aSettings, const KeyValue& aValue) {
                          Assign(aSettings.callerEndpoint_.address_, aValue);
                        } },
  KeyBinding<Settings>{ { .section_ = "listen",
                          .name_ = "caller-port",
                          .type_ = KeyType::Integer,
                          .minimum_ = 0,
                          .maximum_ = 65535,
                          .default_ = "0",
                          .meaning_ = "port for callers; 0 lets the system choose" },
                        [](Settings& aSettings, const KeyValue& aValue) {
                          Assign(aSettings.callerEndpoint_.port_, aValue);
                        } },
  KeyBinding<Settings>{ { .section_ = "listen",
                          .name_ = "peer-address",
                          .type_ = KeyType::Address,
                          .default_ = "127.0.0.1",
                          .meaning_ = "address on which other instances connect to this one" },
                        [](Settings& aSettings, const KeyValue& aValue) {
                          Assign(aSettings.peerEndpoint_.address_, aValue);
                        } },
  KeyBinding<Settings>{ { .section_ = "listen",
                          .name_ = "peer-port",
                          .type_ = KeyType::Integer,
                          .minimum_ = 0,
                          .maximum_ = 65535,
                          .default_ = "0",
                          .meaning_ = "port for other instances; 0 lets the system choose" },
                        [](Settings& aSettings, const KeyValue& aValue) {
                          Assign(aSettings.peerEndpoint_.port_, aValue);
                        } },
  KeyBinding<Settings>{ { .section_ = "listen",
                          .name_ = "admin-address",
                          .type_ = KeyType::Address,
                          .default_ = "127.0.0.1",
                          .meaning_ = "address of the admin API; it has no authentication" },
                        [](Settings& aSettings, const KeyValue& aValue) {
                          Assign(aSettings.adminEndpoint_.address_, aValue);
                        } },
  KeyBinding<Settings>{ { .section_ = "listen",
                          .name_ = "admin-port",
                          .type_ = KeyType::Integer,
                          .minimum_ = 0,
                          .maximum_ = 65535,
                          .default_ = "0",
                          .meaning_ = "port of the admin API; 0 lets the system choose" },
                        [](Settings& aSettings, const KeyValue& aValue) {
                          Assign(aSettings.adminEndpoint_.port_, aValue);
                        } },
  KeyBinding<Settings>{ { .section_ = "listen",
                          .name_ = "caller",
                          .type_ = KeyType::Endpoint,
                          .meaning_ = "caller-address and caller-port in one value" },
                        [](Settings& aSettings, const KeyValue& aValue) {
                          aSettings.callerEndpoint_ = ParseEndpoint(aValue.text_).value();
                        } },
  KeyBinding<Settings>{ { .section_ = "listen",
                          .name_ = "admin",
                          .type_ = KeyType::Endpoint,
                          .meaning_ = "admin-address and admin-port in one value" },
                        [](Settings& aSettings, const KeyValue& aValue) {
                          aSettings.adminEndpoint_ = ParseEndpoint(aValue.text_).value();
                        } },
  KeyBinding<Settings>{
    { .section_ = "platform",
      .name_ = "address",
      .type_ = KeyType::Address,
      .meaning_ = "address of the platform's table service, object store and instance list; "
                  "needed unless store.address is given" },
    [](Settings& aSettings, const KeyValue& aValue) {
      Assign(aSettings.platformEndpoint_.address_, aValue);
    } },
  KeyBinding<Settings>{ { .section_ = "platform",
                          .name_ = "port",
                          .type_ = KeyType::Integer,
                          .minimum_ = 1,
                          .maximum_ = 65535,
                          .meaning_ = "port of the platform" },
                        [](Settings& aSettings, const KeyValue& aValue) {
                          Assign(aSettings.platformEndpoint_.port_, aValue);
                        } },
  KeyBinding<Settings>{ { .section_ = "store",
                          .name_ = "address",
                          .type_ = KeyType::Endpoint,
                          .meaning_ =
                            "store that keeps configuration, upstreams and instances; replaces "
                            "the platform and the exchange with other instances" },
                        [](Settings& aSettings, const KeyValue& aValue) {
                          aSettings.storeEndpoint_ = ParseEndpoint(aValue.text_).value();
                        } },
  KeyBinding<Settings>{
    { .section_ = "fleet",
      .name_ = "retry-ratio",
      .type_ = KeyType::Number,
      .minimum_ = 0,
      .maximum_ = 1000000000,
      .default_ = "0.1",
      .meaning_ = "extra attempts per request; this section applies only with "
                  "store.address" },
    [](Settings& aSettings, const KeyValue& aValue) { Assign(aSettings.retryRatio_, aValue); } },
  KeyBinding<Settings>{
    { .section_ = "fleet",
      .name_ = "retry-slack",
      .type_ = KeyType::Number,
      .minimum_ = 0,
      .maximum_ = 1000000000,
      .default_ = "0",
      .meaning_ = "extra attempts to a service in a window from the whole fleet, "
                  "in addition to retry-ratio" },
    [](Settings& aSettings, const KeyValue& aValue) { Assign(aSettings.retrySlack_, aValue); } },
  KeyBinding<Settings>{
    { .section_ = "fleet",
      .name_ = "retry-window-s",
      .type_ = KeyType::Number,
      .unit_ = "s",
      .minimum_ = 0.001,
      .maximum_ = 1000000,
      .default_ = "10",
      .meaning_ = "length of the window in which extra attempts are counted" },
    [](Settings& aSettings, const KeyValue& aValue) { Assign(aSettings.retryWindow_, aValue); } },
  KeyBinding<Settings>{ { .section_ = "fleet",
                          .name_ = "probes-per-upstream-s",
                          .type_ = KeyType::Number,
                          .minimum_ = 0,
                          .maximum_ = 1000000000,
                          .default_ = "20",
                          .meaning_ = "probes to one upstream per second from the whole fleet" },
                        [](Settings& aSettings, const KeyValue& aValue) {
                          Assign(aSettings.probesPerUpstreamSecond_, aValue);
                        } },
  KeyBinding<Settings>{
    { .section_ = "fleet",
      .name_ = "quota-window-s",
      .type_ = KeyType::Number,
      .unit_ = "s",
      .minimum_ = 0.1,
      .maximum_ = 3600,
      .default_ = "5",
      .meaning_ = "length of the window in which the requests of a team are counted" },
    [](Settings& aSettings, const KeyValue& aValue) { Assign(aSettings.quotaWindow_, aValue); } },
  KeyBinding<Settings>{
    { .section_ = "fleet",
      .name_ = "quota-overage",
      .type_ = KeyType::Number,
      .minimum_ = 0,
      .maximum_ = 1000000000,
      .default_ = "0.1",
      .meaning_ = "tolerated share of requests beyond the quota of a team in one window" },
    [](Settings& aSettings, const KeyValue& aValue) { Assign(aSettings.quotaOverage_, aValue); } },
  KeyBinding<Settings>{
    { .section_ = "fleet",
      .name_ = "quota-slack",
      .type_ = KeyType::Number,
      .minimum_ = 0,
      .maximum_ = 1000000000,
      .default_ = "0",
      .meaning_ = "tolerated requests of a team beyond quota-overage in one window" },
    [](Settings& aSettings, const KeyValue& aValue) { Assign(aSettings.quotaSlack_, aValue); } },
  KeyBinding<Settings>{
    { .section_ = "fleet",
      .name_ = "cold-overage",
      .type_ = KeyType::Number,
      .minimum_ = 1,
      .maximum_ = 1000,
      .default_ = "1",
      .meaning_ = "tolerated multiple of the request rate of a cold upstream" },
    [](Settings& aSettings, const KeyValue& aValue) { Assign(aSettings.coldOverage_, aValue); } },
  KeyBinding<Settings>{
    { .section_ = "fleet",
      .name_ = "cold-slack",
      .type_ = KeyType::Number,
      .minimum_ = 0,
      .maximum_ = 1000000000,
      .default_ = "0",
      .meaning_ = "tolerated requests to a cold upstream beyond cold-overage in one second" },
    [](Settings& aSettings, const KeyValue& aValue) { Assign(aSettings.coldSlack_, aValue); } },
  KeyBinding<Settings>{ { .section_ = "fleet",
                          .name_ = "heartbeat-ms",
                          .type_ = KeyType::Integer,
                          .unit_ = "ms",
                          .minimum_ = 1,
                          .maximum_ = 86400000,
                          .default_ = "1500",
                          .meaning_ =
                            "interval at which upstreams renew their entries in the store; "
                            "an entry expires after three intervals without renewal" },
                        [](Settings& aSettings, const KeyValue& aValue) {
                          Assign(aSettings.heartbeatInterval_, aValue);
                        } },
  KeyBinding<Settings>{
    { .section_ = "fleet",
      .name_ = "first-start",
      .type_ = KeyType::Flag,
      .default_ = "false",
      .meaning_ = "all instances start now, for the first time; those with a slower link then wait "
                  "for up to 1.5 s, so that few read the store" },
    [](Settings& aSettings, const KeyValue& aValue) { Assign(aSettings.fleetStarts_, aValue); } },
  KeyBinding<Settings>{ { .section_ = "peers",
                          .name_ = "seeds",
                          .type_ = KeyType::AddressList,
                          .meaning_ =
                            "peer addresses of other instances to which this one connects "
                            "first after its start" },
                        [](Settings& aSettings, const KeyValue& aValue) {
                          aSettings.seedPeers_ = ParseEndpointList(aValue.text_).value();
                        } },
  KeyBinding<Settings>{
    { .section_ = "traffic",
      .name_ = "drain-grace-ms",
      .type_ = KeyType::Integer,
      .unit_ = "ms",
      .minimum_ = 0,
      .maximum_ = 600000,
      .default_ = "5000",
      .meaning_ = "time after SIGTERM for which new connections are still accepted" },
    [](Settings& aSettings, const KeyValue& aValue) { Assign(aSettings.drainGrace_, aValue); } },
  KeyBinding<Settings>{
    { .section_ = "traffic",
      .name_ = "drain-limit-ms",
      .type_ = KeyType::Integer,
      .unit_ = "ms",
      .minimum_ = 0,
      .maximum_ = 3600000,
      .default_ = "30000",
      .meaning_ =
        "time after SIGTERM at which the process exits at the latest; at least drain-grace-ms" },
    [](Settings& aSettings, const KeyValue& aValue) { Assign(aSettings.drainLimit_, aValue); } },
  KeyBinding<Settings>{
    { .section_ = "traffic",
      .name_ = "drain-limit-s",
      .type_ = KeyType::Number,
      .unit_ = "s",
      .minimum_ = 0,
      .maximum_ = 3600,
      .meaning_ = "time after SIGTERM at which the platform ends the process; replaces "
                  "drain-limit-ms and shortens drain-grace-ms to at most half of it" },
    [](Settings& aSettings, const KeyValue& aValue) { aSettings.stopLimit_ = aValue.duration_; } },
  KeyBinding<Settings>{
    { .section_ = "traffic",
      .name_ = "drain-margin-ms",
      .type_ = KeyType::Integer,
      .unit_ = "ms",
      .minimum_ = 0,
      .maximum_ = 600000,
      .default_ = "0",
      .meaning_ = "the process exits this long before drain-limit-ms" },
    [](Settings& aSettings, const KeyValue& aValue) { Assign(aSettings.drainMargin_, aValue); } },
  KeyBinding<Settings>{ { .section_ = "traffic",
                          .name_ = "max-connections",
                          .type_ = KeyType::Integer,
                          .minimum_ = 1,
                          .maximum_ = 1000000,
                          .default_ = "4096",
                          .meaning_ = "maximum number of connections from callers; lowered to what "
                                      "the limit on descriptors allows" },
                        [](Settings& aSettings, const KeyValue& aValue) {
                          Assign(aSettings.maxConnections_, aValue);
                        } },
  KeyBinding<Settings>{
    { .section_ = "traffic",
      .name_ = "max-header-bytes",
      .type_ = KeyType::Integer,
      .unit_ = "bytes",
      .minimum_ = 1024,
      .maximum_ = 1048576,
      .default_ = "16384",
      .meaning_ =
        "longest request line and header fields; a longer one is refused as header-too-large" },
    [](Settings& aSettings, const KeyValue& aValue) { Assign(aSettings.maxHeader_, aValue); } },
  KeyBinding<Settings>{
    { .section_ = "traffic",
      .name_ = "max-request-body-bytes",
      .type_ = KeyType::Integer,
      .unit_ = "bytes",
      .minimum_ = 0,
      .maximum_ = 67108864,
      .default_ = "67108864",
      .meaning_ =
        "longest request body for any service; a longer one is refused as body-too-large" },
    [](Settings& aSettings, const KeyValue& aValue) {
      Assign(aSettings.maxRequestBody_, aValue);
    } },
  KeyBinding<Settings>{
    { .section_ = "traffic",
      .name_ = "idle-timeout-ms",
      .type_ = KeyType::Integer,
      .unit_ = "ms",
      .minimum_ = 1,
      .maximum_ = 3600000,
      .default_ = "60000",
      .meaning_ = "time after which a connection without a request is closed" },
    [](Settings& aSettings, const KeyValue& aValue) { Assign(aSettings.idleTimeout_, aValue); } },
  KeyBinding<Settings>{ { .section_ = "traffic",
                          .name_ = "request-timeout-ms",
                          .type_ = KeyType::Integer,
                          .unit_ = "ms",
                          .minimum_ = 1,
                          .maximum_ = 3600000,
                          .default_ = "30000",
                          .meaning_ = "time from the first to the last byte of a request, and for "
                                      "sending its response" },
                        [](Settings& aSettings, const KeyValue& aValue) {
                          Assign(aSettings.requestTimeout_, aValue);
                        } },
  KeyBinding<Settings>{
    { .section_ = "log",
      .name_ = "level",
      .type_ = KeyType::Choice,
      .choices_ = kLogLevelNames,
      .default_ = "info",
      .meaning_ = "lowest severity that is logged" },
    [](Settings& aSettings, const KeyValue& aValue) { Assign(aSettings.logLevel_, aValue); } },
  KeyBinding<Settings>{
    { .section_ = "log",
      .name_ = "file",
      .type_ = KeyType::FileName,
      .meaning_ = "file to which events are appended; if it is not given, "
                  "log.output applies" },
    [](Settings& aSettings, const KeyValue& aValue) { Assign(aSettings.logFile_, aValue); } },
  KeyBinding<Settings>{ { .section_ = "log",
                          .name_ = "output",
                          .type_ = KeyType::Choice,
                          .choices_ = kLogOutputNames,
                          .default_ = "stderr",
                          .meaning_ = "standard output or standard error output" },
                        [](Settings& aSettings, const KeyValue& aValue) {
                          aSettings.logToStandardOutput_ = aValue.choice_ == 1;
                        } },
};

} // namespace

std::span<const KeyBinding<Settings>>
SettingsKeys()
{
  return kKeys;
}

std::size_t
BodyBudgetBytes(const Settings& aSettings)
{
  const auto memory = static_cast<std::size_t>(aSettings.memoryMb_ * 1e6);
  const std::size_t rest = kProcessBytes + aSettings.maxConnections_ * kConnectionBytes;
  return std::max(memory / 4, (memory - std::min(memory, rest)) / 8 * 7);
}

Settings
ParseSettings(std::string_view aText, std::string_view aFileName)
{
  Settings settings = ParseIniByKeys(SettingsKeys(), aText, aFileName, ValueForms::Rendered);
  if (settings.stopLimit_) {
    settings.drainLimit_ = *settings.stopLimit_;
    settings.drainGrace_ = std::min(settings.drainGrace_, settings.drainLimit_ / 2);
  }
  if (settings.drainLimit_ < settings.drainGrace_) {
    throw ConfigError(std::string(aFileName),
                      0,
                      "traffic.drain-limit-ms",
                      "must be at least traffic.drain-grace-ms");
  }
  if (settings.storeEndpoint_.port_ == 0 &&
      (settings.platformEndpoint_.port_ == 0 || settings.platformEndpoint_.address_.empty())) {
    throw ConfigError(std::string(aFileName),
                      0,
                      "platform.address",
                      "platform.address and platform.port, or store.address, must be given");
  }
  return settings;
}

} // namespace boragepier
