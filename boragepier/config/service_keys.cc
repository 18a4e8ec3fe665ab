#include "boragepier/config/service_keys.h"

#include <array>

#include "boragepier/config/method_rule.h"

namespace boragepier {

namespace {

// In the order of the enumerators of TrafficClass and PolicyKind.
constexpr std::array<std::string_view, 2> kTrafficClassNames = { "interactive", "background" };
constexpr std::array<std::string_view, 7> kPolicyNames = {
  "random",   "round-robin",     "least-outstanding", "power-of-two",
  "reported", "reported-subset", "fresh-probes",
};

constexpr std::array kKeys = {
  KeyBinding<ServiceConfig>{
    { .section_ = "service",
      .name_ = "name",
      .type_ = KeyType::Name,
      .required_ = true,
      .meaning_ = "name of the service, unique in the installation" },
    [](ServiceConfig& aConfig, const KeyValue& aValue) { Assign(aConfig.name_, aValue); } },
  KeyBinding<ServiceConfig>{
    { .section_ = "service",
      .name_ = "path-prefix",
      .type_ = KeyType::PathPrefix,
      .required_ = true,
      .meaning_ = "requests below this path belong to the service; the longest matching "
                  "prefix wins" },
    [](ServiceConfig& aConfig, const KeyValue& aValue) { Assign(aConfig.pathPrefix_, aValue); } },
  KeyBinding<ServiceConfig>{
    { .section_ = "service",
      .name_ = "class",
      .type_ = KeyType::Choice,
      .choices_ = kTrafficClassNames,
      .default_ = "interactive",
      .meaning_ = "priority class in the admission queue; interactive requests "
                  "are served first" },
    [](ServiceConfig& aConfig, const KeyValue& aValue) { Assign(aConfig.trafficClass_, aValue); } },
  KeyBinding<ServiceConfig>{
    { .section_ = "service",
      .name_ = "key-required",
      .type_ = KeyType::Flag,
      .default_ = "false",
      .meaning_ = "refuse at-most-once requests without an Idempotency-Key" },
    [](ServiceConfig& aConfig, const KeyValue& aValue) { Assign(aConfig.keyRequired_, aValue); } },
  KeyBinding<ServiceConfig>{
    { .section_ = "repeatability",
      .name_ = "rule-N",
      .type_ = KeyType::Rule,
      .meaning_ = "whether requests of this method and path may be sent more than once; "
                  "N from 1 to 64; the longest matching prefix wins, then a named "
                  "method over *; without a rule GET, HEAD and OPTIONS may" },
    [](ServiceConfig& aConfig, const KeyValue& aValue) {
      aConfig.rules_.push_back(ParseMethodRule(aValue.text_).value());
    } },
  KeyBinding<ServiceConfig>{ { .section_ = "deadline",
                               .name_ = "default-ms",
                               .type_ = KeyType::Integer,
                               .unit_ = "ms",
                               .minimum_ = 1,
                               .maximum_ = 600000,
                               .default_ = "2000",
                               .meaning_ = "deadline of a request without Boragepier-Deadline-Ms" },
                             [](ServiceConfig& aConfig, const KeyValue& aValue) {
                               Assign(aConfig.defaultDeadline_, aValue);
                             } },
  KeyBinding<ServiceConfig>{
    { .section_ = "deadline",
      .name_ = "max-ms",
      .type_ = KeyType::Integer,
      .unit_ = "ms",
      .minimum_ = 1,
      .maximum_ = 600000,
      .default_ = "30000",
      .meaning_ = "longest deadline that a caller can ask for" },
    [](ServiceConfig& aConfig, const KeyValue& aValue) { Assign(aConfig.maxDeadline_, aValue); } },
  KeyBinding<ServiceConfig>{
    { .section_ = "choice",
      .name_ = "policy",
      .type_ = KeyType::Choice,
      .choices_ = kPolicyNames,
      .default_ = "reported-subset",
      .meaning_ = "how an upstream is chosen" },
    [](ServiceConfig& aConfig, const KeyValue& aValue) { Assign(aConfig.policy_, aValue); } },
  KeyBinding<ServiceConfig>{
    { .section_ = "choice",
      .name_ = "slots",
      .type_ = KeyType::Integer,
      .minimum_ = 1,
      .maximum_ = 1024,
      .default_ = "2",
      .meaning_ = "requests that one upstream executes concurrently" },
    [](ServiceConfig& aConfig, const KeyValue& aValue) { Assign(aConfig.slots_, aValue); } },
  KeyBinding<ServiceConfig>{ { .section_ = "choice",
                               .name_ = "connections-per-upstream",
                               .type_ = KeyType::Integer,
                               .minimum_ = 1,
                               .maximum_ = 100000,
                               .default_ = "200",
                               .meaning_ = "connections to one upstream from the whole fleet" },
                             [](ServiceConfig& aConfig, const KeyValue& aValue) {
                               Assign(aConfig.connectionsPerUpstream_, aValue);
                             } },
  KeyBinding<ServiceConfig>{ { .section_ = "choice",
                               .name_ = "zone-trip-ms",
                               .type_ = KeyType::Number,
                               .unit_ = "ms",
                               .minimum_ = 0,
                               .maximum_ = 1000,
                               .default_ = "1.5",
                               .meaning_ = "one-way network delay between availability zones" },
                             [](ServiceConfig& aConfig, const KeyValue& aValue) {
                               Assign(aConfig.zoneOneWayDelay_, aValue);
                             } },
  KeyBinding<ServiceConfig>{
    { .section_ = "choice",
      .name_ = "max-ejected-share",
      .type_ = KeyType::Number,
      .minimum_ = 0,
      .maximum_ = 1,
      .default_ = "0.3",
      .meaning_ = "largest fraction of the upstreams that is ejected at a time" },
    [](ServiceConfig& aConfig, const KeyValue& aValue) {
      Assign(aConfig.maxEjectedShare_, aValue);
    } },
  KeyBinding<ServiceConfig>{
    { .section_ = "budget",
      .name_ = "probes-per-upstream-second",
      .type_ = KeyType::Number,
      .minimum_ = 0,
      .maximum_ = 1000,
      .default_ = "200",
      .meaning_ = "probes that one upstream receives per second from the whole fleet; 0 "
                  "sends none" },
    [](ServiceConfig& aConfig, const KeyValue& aValue) {
      Assign(aConfig.probesPerUpstreamSecond_, aValue);
    } },
  KeyBinding<ServiceConfig>{
    { .section_ = "budget",
      .name_ = "retries",
      .type_ = KeyType::Number,
      .minimum_ = 0,
      .maximum_ = 1,
      .default_ = "0.1",
      .meaning_ = "extra attempts per request, hedges included" },
    [](ServiceConfig& aConfig, const KeyValue& aValue) { Assign(aConfig.retryRatio_, aValue); } },
  KeyBinding<ServiceConfig>{
    { .section_ = "budget",
      .name_ = "hedges",
      .type_ = KeyType::Number,
      .minimum_ = 0,
      .maximum_ = 1,
      .default_ = "0.05",
      .meaning_ = "hedges per request; at most budget.retries" },
    [](ServiceConfig& aConfig, const KeyValue& aValue) { Assign(aConfig.hedgeRatio_, aValue); } },
  KeyBinding<ServiceConfig>{
    { .section_ = "queue",
      .name_ = "limit",
      .type_ = KeyType::Integer,
      .minimum_ = 0,
      .maximum_ = 100000,
      .default_ = "64",
      .meaning_ = "requests that wait in one instance; more are refused as overloaded" },
    [](ServiceConfig& aConfig, const KeyValue& aValue) { Assign(aConfig.queueLimit_, aValue); } },
  KeyBinding<ServiceConfig>{
    { .section_ = "limits",
      .name_ = "max-request-body-bytes",
      .type_ = KeyType::Integer,
      .unit_ = "bytes",
      .minimum_ = 0,
      .maximum_ = 64 << 20,
      .default_ = "1048576",
      .meaning_ = "longest request body; a longer one is refused as body-too-large" },
    [](ServiceConfig& aConfig, const KeyValue& aValue) {
      Assign(aConfig.maxRequestBody_, aValue);
    } },
  KeyBinding<ServiceConfig>{ { .section_ = "limits",
                               .name_ = "max-response-body-bytes",
                               .type_ = KeyType::Integer,
                               .unit_ = "bytes",
                               .minimum_ = 0,
                               .maximum_ = 64 << 20,
                               .default_ = "8388608",
                               .meaning_ = "longest response body; a longer one is refused as "
                                           "response-too-large" },
                             [](ServiceConfig& aConfig, const KeyValue& aValue) {
                               Assign(aConfig.maxResponseBody_, aValue);
                             } },
  KeyBinding<ServiceConfig>{ { .section_ = "claims",
                               .name_ = "retention-s",
                               .type_ = KeyType::Integer,
                               .unit_ = "s",
                               .minimum_ = 60,
                               .maximum_ = 2592000,
                               .default_ = "86400",
                               .meaning_ =
                                 "time for which an Idempotency-Key is remembered; at least twice "
                                 "deadline.max-ms" },
                             [](ServiceConfig& aConfig, const KeyValue& aValue) {
                               Assign(aConfig.claimRetention_, aValue);
                             } },
};

} // namespace

std::span<const KeyBinding<ServiceConfig>>
ServiceKeys()
{
  return kKeys;
}

} // namespace boragepier
