#ifndef BORAGEPIER_CONFIG_SERVICE_CONFIG_H
#define BORAGEPIER_CONFIG_SERVICE_CONFIG_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "boragepier/base/ids.h"
#include "boragepier/base/time.h"

namespace boragepier {

/// Whether a request may be sent more than once.
enum class Repeatability : std::uint8_t
{
  Repeatable, ///< idempotent: may be retried and hedged
  AtMostOnce, ///< not idempotent: retried only if it is known not to have been executed
};

/// Priority class of a service's requests in the admission queue.
enum class TrafficClass : std::uint8_t
{
  Interactive,
  Background, ///< gives way to interactive requests
};

/// Load balancing policy.
enum class PolicyKind : std::uint8_t
{
  Random,
  RoundRobin,
  LeastOutstanding,
  PowerOfTwo,
  Reported,       ///< by the load: own in-flight requests plus those reported for the other
                  ///< instances, the latter weighted by the age of the report
  ReportedSubset, ///< like Reported, but ranks upstreams outside the instance's preferred subset
                  ///< lower, so that the subset is used first while it is idle
  FreshProbes,    ///< probes several upstreams for each request just before it is sent
};

/// A rule that sets the repeatability of requests by method and path.
struct MethodRule
{
  std::string method_;     ///< for example "POST"; "*" matches all methods
  std::string pathPrefix_; ///< absolute path prefix
  Repeatability repeatability_;
};

/// Configuration of one service, as read from its service file. Defaults are those of
/// docs/configuration.md.
struct ServiceConfig
{
  ServiceName name_;
  std::string pathPrefix_; ///< of the requests that go to the service, for example "/stock/"
  TrafficClass trafficClass_ = TrafficClass::Interactive;
  std::vector<MethodRule> rules_; ///< of those with equal prefixes, the first that matches counts
  bool keyRequired_ = false;      ///< refuse AtMostOnce requests without an Idempotency-Key

  Duration defaultDeadline_ = std::chrono::seconds(2); ///< of requests that do not state one
  Duration maxDeadline_ = std::chrono::seconds(30); ///< longer requested deadlines are cut to this

  PolicyKind policy_ = PolicyKind::ReportedSubset;
  unsigned slots_ = 2;                    ///< requests that one upstream executes concurrently
  unsigned connectionsPerUpstream_ = 200; ///< connections to one upstream from the whole fleet
  Duration zoneOneWayDelay_ = std::chrono::microseconds(1500); ///< between availability zones

  double probesPerUpstreamSecond_ = 200; ///< limit for the whole fleet; 0 disables probes
  std::string probePath_;    ///< path of a GET that reports load and health; empty for "OPTIONS *"
  double retryRatio_ = 0.10; ///< retry budget: extra attempts per request, including hedges
  /// Extra attempts beyond retryRatio_ that the whole fleet may make in one retryWindow_, however
  /// few requests there are; FreshProbes only.
  double retrySlack_ = 0;
  Duration retryWindow_ = std::chrono::seconds(10); ///< of the retry budget; FreshProbes only
  double hedgeRatio_ = 0.05;     ///< hedges per request; they also count as extra attempts
  double maxEjectedShare_ = 0.3; ///< largest fraction of the upstreams that is ejected at a time
  std::size_t queueLimit_ = 64;  ///< requests that may wait in the admission queue of one instance

  std::size_t maxRequestBody_ = 1 << 20;  ///< bytes
  std::size_t maxResponseBody_ = 8 << 20; ///< bytes

  /// Requests per second, from the whole fleet, that an upstream can take while it is cold; 0 for
  /// no limit. FreshProbes only.
  double coldRequestsPerSecond_ = 0;
  double coldOverage_ = 1; ///< tolerated multiple of that rate in one second; FreshProbes only
  double coldSlack_ = 0;   ///< tolerated requests beyond that in one second; FreshProbes only

  Duration claimRetention_ = std::chrono::hours(24); ///< how long an Idempotency-Key is remembered
};

/// @param aConfig configuration of the service
/// @param aMethod method of the request
/// @param aPath absolute path of the request, without the query
/// @return the repeatability set by the matching rule with the longest path prefix; if several have
///   it, by the first of them. Without a matching rule only GET, HEAD and OPTIONS are repeatable.
Repeatability
RepeatabilityOf(const ServiceConfig& aConfig, std::string_view aMethod, std::string_view aPath);

} // namespace boragepier

#endif
