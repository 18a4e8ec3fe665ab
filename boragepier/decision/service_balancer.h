#ifndef BORAGEPIER_DECISION_SERVICE_BALANCER_H
#define BORAGEPIER_DECISION_SERVICE_BALANCER_H

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "boragepier/base/ids.h"
#include "boragepier/base/outcome.h"
#include "boragepier/base/time.h"
#include "boragepier/config/service_config.h"
#include "boragepier/config/upstream_endpoint.h"
#include "boragepier/decision/return_advice.h"

namespace boragepier {

/// Index of an upstream in one balancer. Stays valid as long as the balancer, also after the
/// upstream has been removed from the list.
enum class UpstreamHandle : std::uint32_t
{
};

/// What a balancer needs to know about one request of a caller (a call).
struct CallInfo
{
  std::uint64_t id_ = 0; ///< unique among the requests of the instance
  MonotonicTime arrival_;
  MonotonicTime deadline_;
  Repeatability repeatability_ = Repeatability::Repeatable;
  TrafficClass trafficClass_ = TrafficClass::Interactive;
  /// Latency target: a later answer is of little use; FreshProbeBalancer only.
  MonotonicTime targetTime_;
  unsigned priority_ = 0;    ///< 0 is the most urgent; FreshProbeBalancer only
  unsigned maxAttempts_ = 3; ///< including the first attempt and hedges; FreshProbeBalancer only
  /// Requests with the same value have similar service times; FreshProbeBalancer only.
  std::uint64_t workClass_ = 0;
  std::size_t bodyBytes_ = 0; ///< size of the request body; FreshProbeBalancer only
  /// Identifies the team of the caller; 0 without one. FreshProbeBalancer only.
  std::uint64_t team_ = 0;
  /// Submitted again because its attempt was withdrawn before it was sent.
  bool moved_ = false;
  /// The caller honours Retry-After and sends a refused request again, to another instance mostly.
  /// FreshProbeBalancer only.
  bool callerReturns_ = false;
  /// The caller sends this request again after a refusal. FreshProbeBalancer only.
  bool returned_ = false;
  Duration sentBefore_{};   ///< from the first time that the caller sent this request to arrival_
  bool mayHaveRun_ = false; ///< an upstream has run an earlier attempt, or may have
  /// Upstreams of earlier attempts in order, avoided while there are others.
  std::vector<UpstreamHandle> triedUpstreams_;
};

/// Decision about a request: send it, queue it or refuse it.
struct RoutingDecision
{
  enum class Kind : std::uint8_t
  {
    Dispatch, ///< send the request to upstream_
    Queued,   ///< the request waits in the balancer; Release() returns it later
    Refuse,   ///< refuse the request for reason_ without sending it to an upstream
  };
  Kind kind_ = Kind::Refuse;
  UpstreamHandle upstream_{};                        ///< valid for Dispatch
  RefusalReason reason_ = RefusalReason::NoUpstream; ///< valid for Refuse
  Duration retryAfter_{}; ///< for Refuse: time until capacity is expected; zero if unknown
};

/// A request that has left the queue of a balancer, and the decision about it.
struct ReleasedCall
{
  std::uint64_t callId_ = 0;
  RoutingDecision decision_; ///< Dispatch or Refuse
};

/// Load that an upstream reports with an answer to a request or a probe.
struct LoadReport
{
  std::uint32_t inFlight_ = 0; ///< requests running and queued there when the answer was written,
                               ///< including the one answered
  std::uint32_t slots_ = 0;    ///< requests that it runs concurrently; 0 if not reported
  double slowness_ = 1;        ///< present service time as a multiple of that at normal speed
  bool healthy_ = true;        ///< whether the upstream reports itself as healthy
  bool hasLoad_ = true;        ///< false if the upstream answered without a load report
  std::optional<Duration> coldRemaining_{}; ///< how long it stays cold; nothing if not reported
};

/// Result of one attempt to send a request to an upstream.
struct AttemptReport
{
  UpstreamHandle upstream_{};
  Outcome outcome_ = Outcome::Unknown;
  AttemptFailure failure_ = AttemptFailure::None;
  int status_ = 0;     ///< HTTP status of the answer, 0 without one
  Duration latency_{}; ///< from the dispatch to the end of the attempt
  std::optional<LoadReport> load_;
  bool draining_ = false;         ///< the upstream announced that it is leaving
  std::optional<Duration> pause_; ///< the upstream refused the request and wants none for this time
  bool invalidPause_ = false;     ///< it asked for a pause with a value that is ignored
  std::size_t answerBytes_ = 0;   ///< size of the body of the answer, 0 without one
};

/// Decision whether a request may be sent again after a failed attempt.
struct RetryDecision
{
  bool allowed_ = false;
  RetryReason reason_ = RetryReason::ConnectFailed; ///< valid if allowed_
};

/// State of one upstream when a decision was made, for explain records.
struct CandidateInfo
{
  UpstreamId id_;
  ZoneName zone_;
  std::uint32_t ownOutstanding_ = 0; ///< requests of this instance in flight there
  double othersEstimate_ = 0;        ///< estimated requests of other instances in flight there
  double expectedWaitMs_ = 0;        ///< expected wait of a new request for a slot
  double healthWeight_ = 1;          ///< 1 for a healthy upstream, 0 for an ejected one
  bool leaving_ = false;             ///< receives no new requests
  bool evacuated_ = false;           ///< its zone is evacuated
  Duration coldFor_{};               ///< time left in which its requests are limited
  Duration pausedFor_{};             ///< time left of the pause that it asked for
  double slowness_ = 0;              ///< as reported; 0 without a report
  Duration reportAge_{};             ///< valid if slowness_ is not 0
};

/// Load balancer for the requests of one service in one instance. Decides which upstream receives a
/// request, when requests are queued or refused, whether they are retried or hedged, and which
/// upstreams are probed. Implements all policies but "fresh-probes", which is FreshProbeBalancer.
///
/// A balancer is a state machine: it takes events with their times and returns actions, reads no
/// clock and does no I/O. Not thread-safe; the owner synchronises access.
///
///   ServiceBalancer balancer(config, ZoneName("a"), seed);
///   balancer.SetUpstreams(endpoints, now);
///   RoutingDecision decision = balancer.Submit(call, now);
///   if (decision.kind_ == RoutingDecision::Kind::Dispatch) {
///     // Send the request to balancer.Endpoint(decision.upstream_). When the attempt has ended:
///     balancer.OnAttemptEnded(report, now);
///     for (const ReleasedCall& released : balancer.Release(now)) { ... }
///   }
class ServiceBalancer
{
public:
  /// Whether HedgeDelay() and DecideHedge() are to be called again for a request after
  /// DecideHedge() returned nothing.
  static constexpr bool kRepeatsHedgeChecks = false;

  /// @param aConfig configuration of the service
  /// @param aLocalZone availability zone of this instance
  /// @param aSeed seed of all random choices
  ServiceBalancer(ServiceConfig aConfig, ZoneName aLocalZone, std::uint64_t aSeed);
  ~ServiceBalancer();
  ServiceBalancer(const ServiceBalancer&) = delete;
  ServiceBalancer& operator=(const ServiceBalancer&) = delete;

  /// Applies a changed configuration to later decisions. Requests in flight and queued requests are
  /// kept.
  void SetConfig(ServiceConfig aConfig, MonotonicTime aNow);

  /// Replaces the list of upstreams. The state of upstreams that stay in the list is kept, but
  /// reset if their startNumber_ has risen, which means a restart.
  void SetUpstreams(std::span<const UpstreamEndpoint> aUpstreams, MonotonicTime aNow);

  /// Sets the live instances, from which this instance's share of budgets and its preferred subset
  /// of the upstreams follow. The list may be inexact: no safety property depends on it.
  /// @param aSelf this instance
  /// @param aInstances all live instances, this one included
  void SetFleet(const InstanceId& aSelf,
                std::span<const InstanceId> aInstances,
                MonotonicTime aNow);

  /// Decides about a new request, or about the next attempt of a request whose earlier attempt has
  /// ended (then aCall.triedUpstreams_ is not empty). A dispatched request counts as outstanding
  /// until OnAttemptEnded().
  RoutingDecision Submit(const CallInfo& aCall, MonotonicTime aNow);

  /// Records the end of an attempt. Call Release() afterwards.
  void OnAttemptEnded(const AttemptReport& aReport, MonotonicTime aNow);

  /// Records that an upstream is leaving, for example as announced in its answers. The upstream
  /// receives no new requests until its startNumber_ rises or its address changes.
  void MarkLeaving(UpstreamHandle aUpstream);
  /// Records that an upstream asked for a pause when it refused a request or a probe. It receives
  /// nothing until the end, then one request that tries it, and others once that one has ended. The
  /// pause ends with its start at this address. While all upstreams pause, requests are refused.
  /// @return by how much the end of the pauses of the upstream has moved
  Duration BeginPause(UpstreamHandle aUpstream, Duration aDuration, MonotonicTime aNow);
  /// @return Retry-After of a request that is refused now; zero unless all upstreams pause
  Duration RetryAfterAllPause(MonotonicTime aNow);
  /// @return whether requests to an upstream are limited because it is cold
  static bool IsLimitedWhileCold(UpstreamHandle, MonotonicTime) { return false; }
  /// Recognises a request that its caller sends again after a refusal. Sets returned_ and
  /// sentBefore_, and counts its latency target from the first time that it was sent.
  /// @param aCall a new request
  /// @param aLatencyTarget of its route
  void RecogniseReturn(CallInfo& aCall, Duration aLatencyTarget, MonotonicTime aNow);
  /// Advises the caller of a request that is refused now when to come back.
  /// @param aCause as it follows from the reason of the refusal
  /// @param aRetryAfter as decided with the refusal; zero if unknown
  ReturnAdvice Advise(const CallInfo& aCall,
                      RefusalCause aCause,
                      Duration aRetryAfter,
                      MonotonicTime aNow);

  /// @return the requests that leave the queue now, to be dispatched or refused, in order
  std::vector<ReleasedCall> Release(MonotonicTime aNow);

  /// @return the latest time at which Release() must be called again, or nothing if no request
  /// waits
  std::optional<MonotonicTime> NextRelease() const;

  /// Removes a queued request whose caller has left.
  /// @return false if the request is not queued
  bool CancelQueued(std::uint64_t aCallId, MonotonicTime aNow);

  /// Decides whether a request may be sent again after an attempt has ended, and charges the retry
  /// budget if it may.
  RetryDecision DecideRetry(const CallInfo& aCall,
                            const AttemptReport& aReport,
                            MonotonicTime aNow);

  /// @param aCall a request with one attempt in flight, at the last of triedUpstreams_
  /// @return hedging delay: the time from now after which DecideHedge() is to be called if the
  /// attempt has not ended; nothing if the request must not be hedged
  std::optional<Duration> HedgeDelay(const CallInfo& aCall, MonotonicTime aNow) const;

  /// Chooses an upstream for a hedge and charges the budgets.
  /// @param aCall a request with one attempt in flight, at the last of triedUpstreams_
  /// @return the upstream, where the hedge counts as outstanding; nothing if no hedge is to be sent
  std::optional<UpstreamHandle> DecideHedge(const CallInfo& aCall, MonotonicTime aNow);

  /// @return the time limit of an attempt that begins now; at most the time left to the deadline
  Duration AttemptTimeout(const CallInfo& aCall, MonotonicTime aNow) const;

  /// Returns the next upstream to probe. Requests may wait for the results of probes, so call this
  /// after every Submit() and Release() until it returns nothing.
  /// @return an upstream to probe now, already charged to this instance's share of the probe budget
  std::optional<UpstreamHandle> NextProbe(MonotonicTime aNow);
  /// Records the end of a probe. Call Release() afterwards.
  /// @param aLoad the load report; nothing if the probe failed
  /// @param aRoundTrip time from sending the probe to its end
  void OnProbeEnded(UpstreamHandle aUpstream,
                    std::optional<LoadReport> aLoad,
                    Duration aRoundTrip,
                    MonotonicTime aNow);
  /// A probe from NextProbe() could not be sent because of a limit of this instance.
  void OnProbeNotSent(UpstreamHandle aUpstream, MonotonicTime aNow)
  {
    OnProbeEnded(aUpstream, std::nullopt, {}, aNow);
  }

  /// @return the endpoint of an upstream; never null
  std::shared_ptr<const UpstreamEndpoint> Endpoint(UpstreamHandle aUpstream) const;
  /// @return the handle of the upstream with this id, or nothing if it is not in the current list
  std::optional<UpstreamHandle> Find(const UpstreamId& aId) const;
  /// @return number of connections that this instance may open to one upstream
  unsigned ConnectionLimit() const;
  /// @return the state of all upstreams in the current list
  std::vector<CandidateInfo> Candidates(MonotonicTime aNow) const;
  /// @return number of requests that wait in the balancer
  std::size_t QueueLength() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace boragepier

#endif
