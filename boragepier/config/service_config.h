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
  Repeatable, ///< may be retried and hedged
  AtMostOnce, ///< retried only when certainly not run
};

/// Priority class of a service's requests in the admission queue.
enum class CallClass : std::uint8_t
{
  Interactive,
  Background, ///< gives way to interactive requests
};

/// How an upstream is chosen.
enum class PolicyKind : std::uint8_t
{
  Random,
  RoundRobin,
  LeastOutstanding,
  PowerOfTwo,
  Reported,       ///< own count plus the aged report of the others' count
  ReportedSubset, ///< Reported, but prefers a fixed subset of the upstreams in each instance
  FreshProbes,    ///< several upstreams are probed for each request just before it is sent
};

/// A rule that assigns a repeatability to requests.
struct MethodRule
{
  std::string method_;     ///< for example "POST"; "*" stands for all methods
  std::string pathPrefix_; ///< absolute path prefix
  Repeatability repeatability_;
};

/// Configuration of one service, as read from its service file. Defaults are those of
/// docs/configuration.md.
struct ServiceConfig
{
  ServiceName name_;
  std::string
    pathPrefix_; ///< requests below this path belong to the service, for example "/stock/"
  CallClass callClass_ = CallClass::Interactive;
  std::vector<MethodRule> rules_; ///< the longest matching prefix wins over the method's default
  bool keyRequired_ = false;      ///< refuse AtMostOnce requests that carry no Idempotency-Key

  Duration defaultDeadline_ = std::chrono::seconds(2);
  Duration maxDeadline_ = std::chrono::seconds(30);

  PolicyKind policy_ = PolicyKind::ReportedSubset;
  unsigned slots_ = 2;                    ///< requests that one upstream runs at a time
  unsigned connectionsPerUpstream_ = 200; ///< limit of one upstream for the whole fleet
  Duration zoneTrip_ = std::chrono::microseconds(1500); ///< one way between availability zones

  double probesPerUpstreamSecond_ = 200; ///< budget of the whole fleet; 0 turns probes off
  std::string probePath_;     ///< path of a GET that reports load and health; empty for "OPTIONS *"
  double retryBudget_ = 0.10; ///< extra attempts per request
  double retrySlack_ = 0;     ///< extra attempts of the whole fleet in a window, whatever
                              ///< the number of requests; FreshProbes only
  Duration retryWindow_ = std::chrono::seconds(10); ///< FreshProbes only
  double hedgeBudget_ = 0.05;    ///< hedges per request, part of the retry budget
  double maxEjectedShare_ = 0.3; ///< of the upstreams of the service
  std::size_t queueLimit_ = 64;  ///< requests that wait in one instance

  std::size_t maxRequestBody_ = 1 << 20;  ///< bytes
  std::size_t maxResponseBody_ = 8 << 20; ///< bytes

  Duration claimRetention_ = std::chrono::hours(24);
};

/// @param aConfig the service
/// @param aMethod method of the request
/// @param aPath absolute path of the request, without the query
/// @return whether the request may be repeated. Without a matching rule GET, HEAD and OPTIONS may.
Repeatability
RepeatabilityOf(const ServiceConfig& aConfig, std::string_view aMethod, std::string_view aPath);

} // namespace boragepier

#endif
