#ifndef BORAGEPIER_DECISION_FRESH_PROBE_BALANCER_H
#define BORAGEPIER_DECISION_FRESH_PROBE_BALANCER_H

#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "boragepier/base/random.h"
#include "boragepier/decision/answer_size_estimator.h"
#include "boragepier/decision/cold_limit.h"
#include "boragepier/decision/fair_queue.h"
#include "boragepier/decision/occupancy_model.h"
#include "boragepier/decision/probe_budget.h"
#include "boragepier/decision/return_advice.h"
#include "boragepier/decision/return_detector.h"
#include "boragepier/decision/service_balancer.h"
#include "boragepier/decision/slowness_model.h"
#include "boragepier/decision/upstream_estimate.h"
#include "boragepier/decision/upstream_pause.h"
#include "boragepier/decision/window_budget.h"
#include "boragepier/decision/work_estimator.h"

namespace boragepier {

/// Load balancer for the policy "fresh-probes", with the interface of ServiceBalancer, which
/// documents it. Meant for upstreams that report their requests in flight and their slowness, and
/// whose load changes faster than requests are served.
///
/// Each new request is queued in the instance until upstreams have been probed for it, first in the
/// own availability zone, then in the others. It is dispatched as soon as a fresh report shows an
/// upstream with a free slot that performs normally. If there is none after all probes, it is sent
/// to the upstream with the lowest cost that has a free slot, or a queue short enough for an answer
/// in time, unless a better one may still turn up in time. While all slots are taken, requests stay
/// queued, the most urgent first. A request that cannot meet its latency target behind those ahead
/// of it is refused at once (load shedding).
///
/// Work is the service time of a request at an idle upstream of normal speed (see SlownessModel).
class FreshProbeBalancer
{
public:
  static constexpr bool kRepeatsHedgeChecks = true;

  FreshProbeBalancer(ServiceConfig aConfig, ZoneName aLocalZone, std::uint64_t aSeed);

  void SetConfig(ServiceConfig aConfig, MonotonicTime aNow);
  void SetUpstreams(std::span<const UpstreamEndpoint> aUpstreams, MonotonicTime aNow);
  void SetFleet(const InstanceId& aSelf,
                std::span<const InstanceId> aInstances,
                MonotonicTime aNow);
  RoutingDecision Submit(const CallInfo& aCall, MonotonicTime aNow);
  void OnAttemptEnded(const AttemptReport& aReport, MonotonicTime aNow);
  void MarkLeaving(UpstreamHandle aUpstream);
  Duration BeginPause(UpstreamHandle aUpstream, Duration aDuration, MonotonicTime aNow);
  Duration RetryAfterAllPause(MonotonicTime aNow);
  bool IsLimitedWhileCold(UpstreamHandle aUpstream, MonotonicTime aNow) const;
  void RecogniseReturn(CallInfo& aCall, Duration aLatencyTarget, MonotonicTime aNow);
  ReturnAdvice Advise(const CallInfo& aCall,
                      RefusalCause aCause,
                      Duration aRetryAfter,
                      MonotonicTime aNow);
  std::vector<ReleasedCall> Release(MonotonicTime aNow);
  std::optional<MonotonicTime> NextRelease() const;
  bool CancelQueued(std::uint64_t aCallId, MonotonicTime aNow);
  RetryDecision DecideRetry(const CallInfo& aCall,
                            const AttemptReport& aReport,
                            MonotonicTime aNow);
  /// @return the time after which DecideHedge() is to check the request again
  std::optional<Duration> HedgeDelay(const CallInfo& aCall, MonotonicTime aNow) const;
  /// Checks a request whose attempt is in flight. While the reports are too old for a decision,
  /// returns nothing and adds probes, which NextProbe() returns.
  std::optional<UpstreamHandle> DecideHedge(const CallInfo& aCall, MonotonicTime aNow);
  Duration AttemptTimeout(const CallInfo& aCall, MonotonicTime aNow) const;
  std::optional<UpstreamHandle> NextProbe(MonotonicTime aNow);
  void OnProbeEnded(UpstreamHandle aUpstream,
                    std::optional<LoadReport> aLoad,
                    Duration aRoundTrip,
                    MonotonicTime aNow);
  void OnProbeNotSent(UpstreamHandle aUpstream, MonotonicTime aNow);
  std::shared_ptr<const UpstreamEndpoint> Endpoint(UpstreamHandle aUpstream) const;
  std::optional<UpstreamHandle> Find(const UpstreamId& aId) const;
  unsigned ConnectionLimit() const;
  std::vector<CandidateInfo> Candidates(MonotonicTime aNow) const;
  std::size_t QueueLength() const { return queue_.size(); }

private:
  struct Upstream
  {
    std::shared_ptr<const UpstreamEndpoint> endpoint_;
    UpstreamEstimate estimate_;
    bool listed_ = false; ///< in the list of the last SetUpstreams()
    bool local_ = false;  ///< in the availability zone of this instance
    /// Position in this instance's order of the upstreams by hash, from 0 (first) to below 1.
    double affinityRank_ = 0;
    bool markedLeaving_ = false; ///< by MarkLeaving(), for this start at this address
    UpstreamPause pause_;        ///< of this start at this address
    ColdUpstream cold_;
    /// Whether this instance may send requests while the upstream is cold; nothing if not computed
    /// yet.
    std::optional<bool> coldSender_;
    RefusedWith latestRefusal_ = RefusedWith::UnknownRoom; ///< of a request of this instance
  };

  /// Upstreams that have been probed for a queued request.
  enum class ProbeStage : std::uint8_t
  {
    NotStarted,
    LocalZone, ///< probes in the own zone have been requested
    AllZones,  ///< probes in the other zones have been requested, too
  };

  struct QueuedRequest
  {
    CallInfo call_;
    ProbeStage probeStage_ = ProbeStage::NotStarted;
    MonotonicTime stageDeadline_;              ///< end of the wait for the probes of the stage
    std::vector<std::uint32_t> awaitedProbes_; ///< upstreams whose probes have not ended
    double fairTag_ = 0;                       ///< see FairQueue; 0 if there are no teams
    double fairCost_ = 0;                      ///< charged to the team
  };

  /// Expected result of dispatching a request to an upstream now.
  struct ScoredUpstream
  {
    std::uint32_t index_ = 0;
    bool reportFresh_ = false; ///< the report is within the staleness bound for dispatch
    bool freeSlot_ = false;    ///< expected, not certain
    /// By a recent report, the upstream's machine runs at normal speed and all slots are taken.
    bool fullAtNormalSpeed_ = false;
    bool normal_ = false; ///< normal speed, few failures, and healthy by its own report
    bool local_ = false;
    /// The request would be served at once or be the first in the upstream's queue.
    bool shortQueue_ = false;
    double responseMs_ = 0; ///< expected response time
    double cost_ = 0;       ///< responseMs_ plus penalties, in ms; upstreams are ranked by it
  };

  /// An attempt of this instance that is in flight.
  struct OutstandingAttempt
  {
    std::uint32_t index_ = 0;
    std::uint64_t workClass_ = 0;
    MonotonicTime sentAt_;
    unsigned inFlight_ = 0;         ///< other requests in flight there when it was sent
    double slowness_ = 1;           ///< of the upstream's machine at progressAt_
    double expectedResponseMs_ = 0; ///< response time expected when it was sent
    double workDoneMs_ = 0;         ///< estimated work done until progressAt_
    MonotonicTime progressAt_;      ///< last update of workDoneMs_
    bool freeSlotReported_ = false; ///< a fresh report showed a free slot when it was sent
  };

  /// @return whether an upstream is listed and not leaving
  static bool IsInUse(const Upstream& aUpstream);
  /// @return whether an upstream is in use and may receive a request or a probe now
  static bool AcceptsRequests(const Upstream& aUpstream, MonotonicTime aNow);
  /// Has coldSender_ computed again.
  void ForgetColdSenders();
  /// @return whether an upstream is cold, and its requests are limited
  bool IsColdAndLimited(const Upstream& aUpstream, MonotonicTime aNow) const;
  /// @return when this instance may send the next request to a cold upstream; nothing if it may not
  std::optional<MonotonicTime> NextColdRequest(Upstream& aUpstream) const;
  /// @return whether an upstream that accepts requests may receive another one while it is cold
  bool HasColdRoom(Upstream& aUpstream, MonotonicTime aNow) const;
  /// @return number of queued requests that are dispatched before a request, which may be queued
  std::size_t CountAhead(const CallInfo& aCall) const;
  /// Decides about a request to which no upstream is open: waits for room at a cold one while an
  /// answer in time is possible behind those ahead of it, or refuses it.
  /// @return nothing if no upstream is cold, or if the request waits
  std::optional<RoutingDecision> DecideWithoutWarmUpstream(QueuedRequest& aQueued,
                                                           bool& aWaits,
                                                           MonotonicTime aNow);
  /// @return the pauses of the upstreams in use
  PauseSummary SummarizePauses(MonotonicTime aNow) const;
  /// @return the refusal of a request because all upstreams pause, or nothing if they do not
  std::optional<RoutingDecision> RefuseIfAllPause(MonotonicTime aNow);
  void StopAwaitingProbe(std::uint32_t aIndex, MonotonicTime aNow);
  /// @return the latest attempt of a request, or null if it is not in flight
  const OutstandingAttempt* FindOutstanding(const CallInfo& aCall) const;
  /// Adds the work done since the last update, given the present slowness of the machine.
  void UpdateProgress(OutstandingAttempt& aAttempt, double aSlowness, MonotonicTime aNow) const;
  /// @return the slots of an upstream: as reported, else as listed, else as configured
  unsigned SlotsOf(const Upstream& aUpstream) const;
  /// @return expected work of a request: the mean of its work class
  double ExpectedWorkMs(const CallInfo& aCall) const;
  /// @return expected requests in flight at an upstream; approaches the mean of all upstreams as
  /// its report ages
  unsigned ExpectedInFlight(const Upstream& aUpstream, MonotonicTime aNow) const;
  /// @return expected wait for a slot of an upstream, in milliseconds
  double ExpectedWaitMs(const Upstream& aUpstream, MonotonicTime aNow) const;
  ScoredUpstream ScoreUpstream(std::uint32_t aIndex, const CallInfo& aCall, MonotonicTime aNow);
  /// @return the upstreams to which the request may be sent, by ascending cost
  std::vector<ScoredUpstream> RankUpstreams(const CallInfo& aCall, MonotonicTime aNow);
  /// @param aLocal whether upstreams of the own zone or those of the others are wanted
  /// @return the upstreams to probe for a request
  std::vector<std::uint32_t> ProbeTargets(const CallInfo& aCall, bool aLocal, MonotonicTime aNow);
  /// Requests the probes of the next stage.
  void BeginProbeStage(QueuedRequest& aQueued, MonotonicTime aNow);
  /// @return whether all probes of the stage have ended or timed out
  bool ProbeStageEnded(const QueuedRequest& aQueued, MonotonicTime aNow) const;
  /// @return the decision about a request, or nothing if it has to wait
  std::optional<RoutingDecision> Decide(QueuedRequest& aQueued, MonotonicTime aNow);
  /// @return the one of aRanked to which the request should be dispatched now, or null if it should
  /// wait
  const ScoredUpstream* Pick(const QueuedRequest& aQueued,
                             std::span<const ScoredUpstream> aRanked,
                             MonotonicTime aNow) const;
  /// @return whether a request that would be late at aScored may still find a better upstream in
  /// time
  bool ShouldKeepWaiting(const QueuedRequest& aQueued,
                         const ScoredUpstream& aScored,
                         MonotonicTime aNow) const;
  /// @return whether a request that would be late should be shed rather than dispatched
  static bool ShouldShedIfLate(const QueuedRequest& aQueued,
                               std::span<const ScoredUpstream> aRanked);
  /// @return whether even an upstream of normal speed would hardly answer within the latency target
  bool IsPastLatestStart(const QueuedRequest& aQueued, MonotonicTime aNow) const;
  /// @return expected wait behind the queued requests ahead of this one; nothing if unknown
  std::optional<Duration> ExpectedQueueWait(const CallInfo& aCall) const;
  RoutingDecision Refuse(RefusalReason aReason, Duration aRetryAfter);
  RoutingDecision Dispatch(const ScoredUpstream& aScored,
                           const CallInfo& aCall,
                           MonotonicTime aNow);
  /// @return whether a queued request goes before another one
  static bool IsAhead(const CallInfo& aQueued, const CallInfo& aCall);
  /// @return whether a queued request goes before a new one, given the tag of the new one
  static bool GoesBefore(const QueuedRequest& aQueued, const CallInfo& aCall, double aTag);
  /// @return the tag that a request would get if it were queued now; 0 without teams
  double NextFairTag(const CallInfo& aCall) const;
  /// Charges the team of a request that is queued or dispatched.
  void ChargeTeam(QueuedRequest& aQueued);
  /// Records for the shares of the teams how a request left the queue.
  void SettleTeam(const QueuedRequest& aQueued, bool aDispatched);
  /// @return whether a request of a team waits for a slot that goes before a new request
  bool WaitsBehindTeams(const CallInfo& aCall, MonotonicTime aNow) const;
  /// Inserts a request behind those that go before it.
  void Enqueue(QueuedRequest aQueued);
  /// Adds an upstream to pendingProbes_ unless its report is new or the probe budget is spent.
  void RequestProbe(std::uint32_t aIndex, MonotonicTime aNow);
  /// @return the attempt in flight that has ended, or the end of outstanding_
  std::vector<OutstandingAttempt>::iterator FindEnded(const AttemptReport& aReport,
                                                      MonotonicTime aNow);
  /// Records whether an upstream that refused a request had said that it has a free slot.
  void NoteRefusal(const AttemptReport& aReport, MonotonicTime aNow);
  RoomEstimate EstimateRoom(const CallInfo& aCall, MonotonicTime aNow) const;
  /// @return whether the latest attempt of a request was refused by chance
  bool WasRefusedByChance(const CallInfo& aCall, MonotonicTime aNow) const;
  /// @return the share of the retry budget that is left to requests whose callers cannot come back
  /// after a refusal; 0 for one of these
  double ReservedForOthers(const CallInfo& aCall, MonotonicTime aNow) const;
  /// Updates failures, work and occupancy with the result of an attempt.
  void UpdateModels(const AttemptReport& aReport, MonotonicTime aNow);
  /// Recomputes what follows from the configuration, the upstreams and the instances.
  void RecomputeDerivedState();

  ServiceConfig config_;
  ZoneName localZone_;
  Random random_;
  std::vector<Upstream> upstreams_; ///< never shrinks: handles stay valid
  std::unordered_map<UpstreamId, std::uint32_t> byId_;
  std::vector<std::uint32_t> listed_; ///< upstreams in the list of the last SetUpstreams()
  /// The listed upstreams that receive requests: all of a small service, a subset of a large one,
  /// so that connections are reused. The subset differs between instances.
  std::vector<std::uint32_t> subset_;
  InstanceId self_;
  std::size_t instances_ = 1;
  ColdShares coldShares_;
  MonotonicTime servingSince_{}; ///< time of the first SetFleet()
  SlownessModel slownessModel_;
  WorkEstimator workEstimator_;
  AnswerSizeEstimator answerSizes_;
  OccupancyModel occupancyModel_;
  double meanWorkMs_ = 0; ///< moving average over all answered requests, for explain records
  WindowBudget retryBudget_;
  ReturnAdvisor returnAdvisor_;
  ReturnDetector returnDetector_;
  FairQueue fairQueue_;
  ProbeBudget probeBudget_;
  std::vector<QueuedRequest> queue_;        ///< by priority, then by arrival
  std::deque<std::uint32_t> pendingProbes_; ///< for NextProbe(); already charged to the budget
  std::vector<OutstandingAttempt> outstanding_;
  double meanInFlight_ = 0; ///< moving average over the reports of probes
  MonotonicTime lastCongestedDispatch_;
  /// Moving average of the time between dispatches while all slots are taken; 0 if unknown.
  double dispatchIntervalMs_ = 0;
  MonotonicTime lastBacklogDispatch_;
  /// Likewise, of the requests of teams that use more than their share.
  double backlogIntervalMs_ = 0;
  bool upstreamsReportLoad_ = true; ///< false after enough probes were answered without a report
  unsigned probesWithoutLoad_ = 0;  ///< probes answered since the last load report
};

} // namespace boragepier

#endif
