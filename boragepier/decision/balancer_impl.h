#ifndef BORAGEPIER_DECISION_BALANCER_IMPL_H
#define BORAGEPIER_DECISION_BALANCER_IMPL_H

#include <deque>
#include <unordered_map>

#include "boragepier/base/random.h"
#include "boragepier/decision/admission_queue.h"
#include "boragepier/decision/attempt_budget.h"
#include "boragepier/decision/choice_policy.h"
#include "boragepier/decision/latency_profile.h"
#include "boragepier/decision/load_view.h"
#include "boragepier/decision/outlier_ejection.h"
#include "boragepier/decision/probe_budget.h"
#include "boragepier/decision/service_balancer.h"

namespace boragepier {

/// State and rules of a ServiceBalancer. The public methods are those of ServiceBalancer.
class ServiceBalancer::Impl
{
public:
  Impl(ServiceConfig aConfig, ZoneName aLocalZone, std::uint64_t aSeed);

  void SetConfig(ServiceConfig aConfig, MonotonicTime aNow);
  void SetUpstreams(std::span<const UpstreamEndpoint> aUpstreams, MonotonicTime aNow);
  void SetFleet(const InstanceId& aSelf, std::span<const InstanceId> aInstances);
  Choice Submit(const CallInfo& aCall, MonotonicTime aNow);
  void OnAttemptEnded(const AttemptReport& aReport, MonotonicTime aNow);
  void MarkLeaving(UpstreamHandle aUpstream, MonotonicTime aNow);
  std::vector<ReleasedCall> Release(MonotonicTime aNow);
  std::optional<MonotonicTime> NextRelease() const;
  bool CancelQueued(std::uint64_t aCallId);
  RetryVerdict MayRetry(const CallInfo& aCall, const AttemptReport& aReport, MonotonicTime aNow);
  std::optional<Duration> HedgeDelay(const CallInfo& aCall, MonotonicTime aNow) const;
  std::optional<UpstreamHandle> Hedge(const CallInfo& aCall, MonotonicTime aNow);
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
  std::size_t QueueLength() const { return queue_.Size() + held_.size(); }

private:
  struct Upstream
  {
    std::shared_ptr<const UpstreamEndpoint> endpoint_;
    bool present_ = false; ///< in the present list
    bool home_ = false;
    double extraTripMs_ = 0;
    MonotonicTime leavingUntil_; ///< a sign of leaving holds until then
  };
  struct Picked
  {
    std::size_t index_;
    double waitTurns_; ///< expected wait for a slot, in service times
  };

  /// A request that waits for the results of probes sent on its behalf.
  struct Held
  {
    CallInfo call_;
    MonotonicTime until_;
    std::vector<std::uint32_t> awaited_; ///< upstreams whose probes are out
  };

  bool HoldForProbes(const CallInfo& aCall, const Picked& aPicked, MonotonicTime aNow);
  void ReleaseHeld(std::vector<ReleasedCall>& aReleased, MonotonicTime aNow);
  void ReleaseQueued(std::vector<ReleasedCall>& aReleased, MonotonicTime aNow);
  bool TakesWork(std::size_t aIndex, MonotonicTime aNow) const;
  double Cost(std::size_t aIndex, bool aPreferHomes, MonotonicTime aNow) const;
  void CollectFrom(std::span<const std::uint32_t> aIndices,
                   const CallInfo& aCall,
                   bool aByStanding,
                   MonotonicTime aNow);
  void Collect(const CallInfo& aCall, MonotonicTime aNow);
  std::span<const std::uint32_t> ScanList();
  std::optional<Picked> Pick(const CallInfo& aCall, MonotonicTime aNow);
  bool IsCongested(const Picked& aPicked) const;
  bool CannotBeInTime(const CallInfo& aCall, const Picked& aPicked, MonotonicTime aNow) const;
  Choice Enqueue(const CallInfo& aCall, const Picked& aPicked, MonotonicTime aNow);
  Choice Dispatch(std::size_t aIndex, MonotonicTime aNow);
  void JudgeAttempt(std::size_t aIndex, const AttemptReport& aReport, MonotonicTime aNow);
  /// @return whether a request that is out for long is likely to stay out for much longer
  bool HasHeavyTail() const;
  void JudgeLatency(std::size_t aIndex, Duration aLatency, MonotonicTime aNow);
  void RefreshDerived();

  ServiceConfig config_;
  ZoneName localZone_;
  Random random_;
  AnyChoicePolicy policy_;
  std::vector<Upstream> upstreams_; ///< never shrinks: handles stay valid
  std::unordered_map<UpstreamId, std::uint32_t> byId_;
  std::vector<std::uint32_t> present_;
  std::vector<std::uint32_t> homes_;
  InstanceId self_;
  std::vector<InstanceId> instances_;
  LoadView load_;
  OutlierEjection ejection_;
  LatencyProfile latencies_;
  AdmissionQueue queue_;
  AttemptBudget retryBudget_;
  AttemptBudget hedgeBudget_;
  ProbeBudget probeBudget_;
  std::vector<Candidate> candidates_;   ///< scratch space of Pick()
  std::vector<std::uint32_t> scanned_;  ///< scratch space of ScanList()
  std::vector<ReleasedCall> displaced_; ///< refused in favour of others, returned by Release()
  std::vector<Held> held_;
  std::deque<std::uint32_t> wantedProbes_; ///< charged to the budget, not yet handed out
  double probeRttMs_ = 2;
  double probeSuccess_ = 1; ///< recent share of the probes that brought a report
  MonotonicTime lastDispatch_;
  MonotonicTime lastEnd_;
  double endIntervalMs_ = 1; ///< mean time between ends of own attempts
};

} // namespace boragepier

#endif
