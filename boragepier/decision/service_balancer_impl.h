#ifndef BORAGEPIER_DECISION_SERVICE_BALANCER_IMPL_H
#define BORAGEPIER_DECISION_SERVICE_BALANCER_IMPL_H

#include <deque>
#include <unordered_map>

#include "boragepier/base/random.h"
#include "boragepier/decision/admission_queue.h"
#include "boragepier/decision/attempt_budget.h"
#include "boragepier/decision/choice_policy.h"
#include "boragepier/decision/latency_profile.h"
#include "boragepier/decision/load_estimator.h"
#include "boragepier/decision/outlier_ejection.h"
#include "boragepier/decision/probe_budget.h"
#include "boragepier/decision/service_balancer.h"
#include "boragepier/decision/upstream_pause.h"

namespace boragepier {

/// Implementation of ServiceBalancer, which documents the public methods. Upstreams are referred to
/// by their index in upstreams_. The definitions are spread over several files:
/// service_balancer_upstreams.cc (configuration and lists), _choice.cc (choice of an upstream and
/// queue), _attempts.cc (results of attempts, retries, hedges) and _probes.cc (probes).
class ServiceBalancer::Impl
{
public:
  Impl(ServiceConfig aConfig, ZoneName aLocalZone, std::uint64_t aSeed);

  void SetConfig(ServiceConfig aConfig, MonotonicTime aNow);
  void SetUpstreams(std::span<const UpstreamEndpoint> aUpstreams, MonotonicTime aNow);
  void SetFleet(const InstanceId& aSelf, std::span<const InstanceId> aInstances);
  RoutingDecision Submit(const CallInfo& aCall, MonotonicTime aNow);
  void OnAttemptEnded(const AttemptReport& aReport, MonotonicTime aNow);
  void MarkLeaving(UpstreamHandle aUpstream);
  Duration BeginPause(UpstreamHandle aUpstream, Duration aDuration, MonotonicTime aNow);
  Duration RetryAfterAllPause(MonotonicTime aNow);
  std::vector<ReleasedCall> Release(MonotonicTime aNow);
  std::optional<MonotonicTime> NextRelease() const;
  bool CancelQueued(std::uint64_t aCallId);
  RetryDecision DecideRetry(const CallInfo& aCall,
                            const AttemptReport& aReport,
                            MonotonicTime aNow);
  std::optional<Duration> HedgeDelay(const CallInfo& aCall, MonotonicTime aNow) const;
  std::optional<UpstreamHandle> DecideHedge(const CallInfo& aCall, MonotonicTime aNow);
  Duration AttemptTimeout(const CallInfo& aCall, MonotonicTime aNow) const;
  std::optional<UpstreamHandle> NextProbe(MonotonicTime aNow);
  void OnProbeEnded(UpstreamHandle aUpstream,
                    std::optional<LoadReport> aLoad,
                    Duration aRoundTrip,
                    MonotonicTime aNow);

  std::shared_ptr<const UpstreamEndpoint> Endpoint(UpstreamHandle aUpstream) const;
  std::optional<UpstreamHandle> Find(const UpstreamId& aId) const;
  unsigned ConnectionLimit() const;
  std::vector<CandidateInfo> Candidates(MonotonicTime aNow) const;
  std::size_t QueueLength() const { return queue_.Size() + heldRequests_.size(); }

private:
  struct Upstream
  {
    std::shared_ptr<const UpstreamEndpoint> endpoint_;
    bool listed_ = false;        ///< in the list of the last SetUpstreams()
    bool preferred_ = false;     ///< in the preferred subset of this instance
    double crossZoneRttMs_ = 0;  ///< round trip between availability zones; 0 in the own zone
    bool markedLeaving_ = false; ///< by MarkLeaving(), for this start at this address
    UpstreamPause pause_;        ///< of this start at this address
  };
  struct PickedUpstream
  {
    std::size_t index_;
    double waitServiceTimes_; ///< expected wait for a slot, in service times
  };

  /// A request that waits for the results of probes that were sent for it.
  struct HeldRequest
  {
    CallInfo call_;
    MonotonicTime holdUntil_;
    std::vector<std::uint32_t> awaitedProbes_; ///< upstreams whose probes have not ended
  };

  /// Requests probes for a request whose best upstream makes it wait.
  /// @return whether the request is held until they end
  bool HoldForProbes(const CallInfo& aCall, const PickedUpstream& aPicked, MonotonicTime aNow);
  /// Dispatches held requests whose probes have ended or that need not wait for them.
  void ReleaseHeld(std::vector<ReleasedCall>& aReleased, MonotonicTime aNow);
  /// Dispatches requests from the front of the queue while the upstreams are not congested.
  void ReleaseQueued(std::vector<ReleasedCall>& aReleased, MonotonicTime aNow);
  /// @return whether an upstream is listed and not leaving
  bool IsInUse(std::size_t aIndex) const;
  /// @return whether an upstream is in use and may receive a request or a probe now
  bool AcceptsRequests(std::size_t aIndex, MonotonicTime aNow) const;
  /// @return the pauses of the upstreams in use
  PauseSummary SummarizePauses(MonotonicTime aNow) const;
  /// @return the decision about a request for which there is no upstream: to wait for the end of a
  /// trial, or to refuse it
  RoutingDecision DecideWithoutUpstream(const CallInfo& aCall, MonotonicTime aNow);
  /// @return expected response time in ms, with penalties
  double Cost(std::size_t aIndex, bool aPreferSubset, MonotonicTime aNow) const;
  /// Adds those of aIndices to candidates_ that accept requests and were not tried yet.
  /// @param aApplyHealthWeight whether an upstream takes part only with the probability given by
  /// its health weight
  void AddCandidates(std::span<const std::uint32_t> aIndices,
                     const CallInfo& aCall,
                     bool aApplyHealthWeight,
                     MonotonicTime aNow);
  /// Fills candidates_. Upstreams that are unhealthy or were tried are included only if there are
  /// no others.
  void CollectCandidates(const CallInfo& aCall, MonotonicTime aNow);
  /// @return the listed upstreams; for a large service the preferred subset and a random sample
  std::span<const std::uint32_t> SelectSample();
  /// @return the upstream picked by the policy, or nothing if none accepts requests
  std::optional<PickedUpstream> Pick(const CallInfo& aCall, MonotonicTime aNow);
  /// @return whether requests should wait in the queue rather than at the picked upstream
  bool IsCongested(const PickedUpstream& aPicked) const;
  /// @return whether the request is expected to miss its deadline behind the queue and at aPicked
  bool WouldMissDeadline(const CallInfo& aCall,
                         const PickedUpstream& aPicked,
                         MonotonicTime aNow) const;
  RoutingDecision Enqueue(const CallInfo& aCall, const PickedUpstream& aPicked, MonotonicTime aNow);
  RoutingDecision Dispatch(std::size_t aIndex, MonotonicTime aNow);
  /// Updates latencies and outlier ejection with the result of an attempt.
  void RecordAttemptOutcome(std::size_t aIndex, const AttemptReport& aReport, MonotonicTime aNow);
  /// @return whether the latencies are heavy-tailed: the longer a request has run, the longer it is
  /// expected to run on
  bool HasHeavyTail() const;
  /// Reports an answer to outlier ejection, as slow or as a success.
  void UpdateLatencyOutlier(std::size_t aIndex, Duration aLatency, MonotonicTime aNow);
  /// Recomputes what follows from the configuration, the upstreams and the instances.
  void RecomputeDerivedState();

  ServiceConfig config_;
  ZoneName localZone_;
  Random random_;
  AnyChoicePolicy policy_;
  std::vector<Upstream> upstreams_; ///< never shrinks: handles stay valid
  std::unordered_map<UpstreamId, std::uint32_t> byId_;
  std::vector<std::uint32_t> listed_; ///< upstreams in the list of the last SetUpstreams()
  std::vector<std::uint32_t> preferredSubset_;
  InstanceId self_;
  std::vector<InstanceId> instances_;
  LoadEstimator loadEstimator_;
  OutlierEjection outlierEjection_;
  LatencyProfile latencyProfile_;
  AdmissionQueue queue_;
  AttemptBudget retryBudget_;
  AttemptBudget hedgeBudget_;
  ProbeBudget probeBudget_;
  std::vector<Candidate> candidates_;   ///< scratch space of Pick()
  std::vector<std::uint32_t> sampled_;  ///< scratch space of SelectSample()
  std::vector<ReleasedCall> displaced_; ///< displaced from the queue; returned by Release()
  std::vector<HeldRequest> heldRequests_;
  /// Upstreams to probe: charged to the budget, but not yet returned by NextProbe().
  std::deque<std::uint32_t> pendingProbes_;
  double probeRttMs_ = 2;       ///< moving average
  double probeSuccessRate_ = 1; ///< moving average: share of probes that returned a load report
  MonotonicTime lastDispatch_;
  MonotonicTime trialRecheck_; ///< requests that wait for the end of a trial stay queued until then
  MonotonicTime lastAttemptEnd_;
  double attemptEndIntervalMs_ = 1; ///< moving average of the time between ends of attempts
};

} // namespace boragepier

#endif
