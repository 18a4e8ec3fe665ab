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

namespace boragepier {

/// Refers to an upstream of one ServiceBalancer. Stays valid as long as the balancer, also after
/// the upstream has left.
enum class UpstreamHandle : std::uint32_t
{
};

/// A request as the decisions see it.
struct CallInfo
{
  std::uint64_t id_ = 0; ///< unique among the requests of the instance
  MonotonicTime arrival_;
  MonotonicTime deadline_;
  Repeatability repeatability_ = Repeatability::Repeatable;
  TrafficClass trafficClass_ = TrafficClass::Interactive;
  MonotonicTime target_;     ///< an answer after it is of little use; used by FreshBalancer
  unsigned rank_ = 0;        ///< 0 is the most urgent; used by FreshBalancer
  unsigned maxAttempts_ = 3; ///< upstreams that the request may be sent to; used by FreshBalancer
  std::uint64_t workClass_ = 0; ///< requests of one class need similar work; used by FreshBalancer
  std::size_t bodyBytes_ = 0;   ///< of the request; used by FreshBalancer
  std::vector<UpstreamHandle> tried_; ///< upstreams of earlier attempts, avoided while others exist
};

/// What to do with a request now.
struct Choice
{
  enum class Kind : std::uint8_t
  {
    Dispatch, ///< send it to upstream_
    Queued,   ///< it waits in the balancer; Release() returns it later
    Refuse,   ///< answer the caller with reason_; nothing was sent
  };
  Kind kind_ = Kind::Refuse;
  UpstreamHandle upstream_{};
  RefusalReason reason_ = RefusalReason::NoUpstream;
  Duration retryAfter_{}; ///< of Refuse: when room is expected; zero if unknown
};

/// A request that left the queue.
struct ReleasedCall
{
  std::uint64_t callId_ = 0;
  Choice choice_; ///< Dispatch or Refuse
};

/// Load that an upstream reports with an answer or a probe.
struct LoadReport
{
  std::uint32_t inFlight_ = 0; ///< requests running and queued there when the answer was written,
                               ///< including the one answered
  std::uint32_t slots_ = 0;    ///< requests that it runs at a time; 0 if not reported
  double slowness_ = 1;        ///< present duration of work as a multiple of the usual one
  bool healthy_ = true;        ///< what the upstream says of itself
  bool known_ = true;          ///< false if the upstream answered, but reports no load
};

/// How an attempt ended.
struct AttemptReport
{
  UpstreamHandle upstream_{};
  Outcome outcome_ = Outcome::Unknown;
  AttemptFailure failure_ = AttemptFailure::None;
  int status_ = 0; ///< HTTP status of the answer, 0 without one
  Duration latency_{};
  std::optional<LoadReport> load_;
  bool draining_ = false; ///< the upstream said that it is leaving
};

/// Answer to the question whether another attempt may be sent.
struct RetryVerdict
{
  bool allowed_ = false;
  RetryReason reason_ = RetryReason::ConnectFailed; ///< valid when allowed_
};

/// One upstream as it stood when a choice was made, for explain records.
struct CandidateInfo
{
  UpstreamId id_;
  ZoneName zone_;
  std::uint32_t ownOutstanding_ = 0;
  double othersEstimate_ = 0; ///< requests of other instances, from aged reports
  double expectedWaitMs_ = 0;
  double standing_ = 1; ///< 1 for a healthy upstream, 0 for an ejected one
  bool leaving_ = false;
  double slowness_ = 0;  ///< as reported; 0 without a report
  Duration reportAge_{}; ///< valid when slowness_ is not 0
};

/// All decisions about the requests of one service in one instance: which upstream, when to queue
/// or refuse, whether to retry or hedge, what to probe. Takes events and times, returns actions,
/// reads no clock and does no I/O. Not thread-safe: the owner holds a lock.
///
///   ServiceBalancer balancer(config, ZoneName("a"), seed);
///   balancer.SetUpstreams(endpoints, now);
///   Choice choice = balancer.Submit(call, now);
///   if (choice.kind_ == Choice::Kind::Dispatch) { send; later balancer.OnAttemptEnded(report,
///   now); } for (const ReleasedCall& released : balancer.Release(now)) { ... }
class ServiceBalancer
{
public:
  /// Whether a request for which Hedge() returned nothing is looked at again.
  static constexpr bool kLooksAgain = false;

  /// @param aConfig configuration of the service
  /// @param aLocalZone availability zone of this instance
  /// @param aSeed seed of all random choices
  ServiceBalancer(ServiceConfig aConfig, ZoneName aLocalZone, std::uint64_t aSeed);
  ~ServiceBalancer();
  ServiceBalancer(const ServiceBalancer&) = delete;
  ServiceBalancer& operator=(const ServiceBalancer&) = delete;

  /// Puts a changed configuration into force for later decisions. Requests in progress and queued
  /// requests are kept.
  void SetConfig(ServiceConfig aConfig, MonotonicTime aNow);

  /// Replaces the list of upstreams. What is known about upstreams that stay is kept; one whose
  /// startNumber_ rose starts anew.
  void SetUpstreams(std::span<const UpstreamEndpoint> aUpstreams, MonotonicTime aNow);

  /// Sets the place of this instance among the live ones, from which budgets and home subsets
  /// follow. A hint: no safety property depends on it.
  /// @param aSelf this instance
  /// @param aInstances all live instances, this one included
  void SetFleet(const InstanceId& aSelf,
                std::span<const InstanceId> aInstances,
                MonotonicTime aNow);

  /// Decides about a new request, or about the next attempt of one whose earlier attempt ended
  /// (then aCall.tried_ is not empty). A choice of Dispatch counts as outstanding until
  /// OnAttemptEnded().
  Choice Submit(const CallInfo& aCall, MonotonicTime aNow);

  /// Takes in the end of an attempt. Call Release() afterwards.
  void OnAttemptEnded(const AttemptReport& aReport, MonotonicTime aNow);

  /// Takes in that an upstream is leaving, for example from a peer. Only the current start of the
  /// upstream is meant.
  void MarkLeaving(UpstreamHandle aUpstream, MonotonicTime aNow);

  /// @return the requests that leave the queue now, in order
  std::vector<ReleasedCall> Release(MonotonicTime aNow);

  /// @return the time at which Release() must be called at the latest, if any request waits
  std::optional<MonotonicTime> NextRelease() const;

  /// Removes a queued request whose caller left.
  /// @return false if it was not queued
  bool CancelQueued(std::uint64_t aCallId, MonotonicTime aNow);

  /// Decides whether a request whose attempt ended so may be sent again, and charges the retry
  /// budget if it may.
  RetryVerdict MayRetry(const CallInfo& aCall, const AttemptReport& aReport, MonotonicTime aNow);

  /// @return the time after dispatch at which a hedge is worth sending; nothing for requests that
  /// must not be repeated. aCall.tried_ names the upstream of the first attempt, here and in
  /// Hedge().
  std::optional<Duration> HedgeDelay(const CallInfo& aCall, MonotonicTime aNow) const;

  /// Chooses an upstream for a hedge and charges the budgets.
  /// @return the upstream, counted as outstanding, or nothing if no hedge may be sent
  std::optional<UpstreamHandle> Hedge(const CallInfo& aCall, MonotonicTime aNow);

  /// @return the time limit of one attempt; at most the time left
  Duration AttemptTimeout(const CallInfo& aCall, MonotonicTime aNow) const;

  /// Probes are sent on behalf of requests that wait for their results, so ask after every call of
  /// Submit() and Release() until nothing is returned.
  /// @return an upstream to probe now within this instance's share of the budget, if any
  std::optional<UpstreamHandle> NextProbe(MonotonicTime aNow);
  /// Takes in the end of a probe. Call Release() afterwards.
  /// @param aLoad the report, nothing if the probe failed
  void OnProbeEnded(UpstreamHandle aUpstream,
                    std::optional<LoadReport> aLoad,
                    Duration aRoundTrip,
                    MonotonicTime aNow);

  /// @return the endpoint of an upstream; never null
  std::shared_ptr<const UpstreamEndpoint> Endpoint(UpstreamHandle aUpstream) const;
  /// @return the handle of an upstream in the present list, if it is there
  std::optional<UpstreamHandle> Find(const UpstreamId& aId) const;
  /// @return connections that this instance may hold to one upstream
  unsigned ConnectionLimit() const;
  /// @return all present upstreams as they stand now
  std::vector<CandidateInfo> Candidates(MonotonicTime aNow) const;
  std::size_t QueueLength() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace boragepier

#endif
