#ifndef BORAGEPIER_DECISION_FRESH_BALANCER_H
#define BORAGEPIER_DECISION_FRESH_BALANCER_H

#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "boragepier/base/random.h"
#include "boragepier/decision/machine_pace.h"
#include "boragepier/decision/occupancy_model.h"
#include "boragepier/decision/probe_budget.h"
#include "boragepier/decision/service_balancer.h"
#include "boragepier/decision/upstream_belief.h"
#include "boragepier/decision/window_budget.h"
#include "boragepier/decision/work_profile.h"

namespace boragepier {

/// Decides like ServiceBalancer and with the same interface, for upstreams that report occupancy
/// and slowness and whose load changes faster than requests are served. Selected by the policy
/// "fresh-probes".
///
/// A new request waits in the instance until upstreams have been probed on its behalf: first those
/// of the own zone, then the others. It is sent to the first upstream found with a free slot and a
/// usual pace; if there is none, to the one with the earliest expected answer. While all slots are
/// taken, requests wait here, the most urgent first, and take slots as they become free. A request
/// that cannot be answered in time behind those ahead of it is refused at once.
class FreshBalancer
{
public:
  static constexpr bool kLooksAgain = true;

  FreshBalancer(ServiceConfig aConfig, ZoneName aLocalZone, std::uint64_t aSeed);

  void SetConfig(ServiceConfig aConfig, MonotonicTime aNow);
  void SetUpstreams(std::span<const UpstreamEndpoint> aUpstreams, MonotonicTime aNow);
  void SetFleet(const InstanceId& aSelf,
                std::span<const InstanceId> aInstances,
                MonotonicTime aNow);
  Choice Submit(const CallInfo& aCall, MonotonicTime aNow);
  void OnAttemptEnded(const AttemptReport& aReport, MonotonicTime aNow);
  void MarkLeaving(UpstreamHandle aUpstream, MonotonicTime aNow);
  std::vector<ReleasedCall> Release(MonotonicTime aNow);
  std::optional<MonotonicTime> NextRelease() const;
  bool CancelQueued(std::uint64_t aCallId, MonotonicTime aNow);
  RetryVerdict MayRetry(const CallInfo& aCall, const AttemptReport& aReport, MonotonicTime aNow);
  /// @return the time until the request should be looked at again by Hedge()
  std::optional<Duration> HedgeDelay(const CallInfo& aCall, MonotonicTime aNow) const;
  /// Looks at a request whose attempt runs. While nothing fresh is known, probes are requested and
  /// nothing is returned.
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
  std::size_t QueueLength() const { return waiting_.size(); }

private:
  struct Upstream
  {
    std::shared_ptr<const UpstreamEndpoint> endpoint_;
    UpstreamBelief belief_;
    bool present_ = false;
    bool local_ = false;
    double preference_ = 0;      ///< place in the order of this instance, from 0 to 1
    MonotonicTime leavingUntil_; ///< a sign of leaving holds until then
  };

  /// How far the probing for a waiting request has come.
  enum class Stage : std::uint8_t
  {
    New,
    LocalProbed,
    AllProbed,
  };

  struct Waiting
  {
    CallInfo call_;
    Stage stage_ = Stage::New;
    MonotonicTime stageEnds_; ///< probes of the stage are waited for until then
    std::vector<std::uint32_t> awaited_;
  };

  /// What is expected of sending a request to an upstream now.
  struct Prospect
  {
    std::uint32_t index_ = 0;
    bool fresh_ = false; ///< the report is recent
    bool freeSlot_ = false;
    bool taken_ = false; ///< by a recent report the machine has its usual pace and no free slot
    bool usualPace_ = false;
    bool local_ = false;
    bool mayQueue_ = false; ///< at most one request would be ahead of it in the upstream's queue
    double answerMs_ = 0;   ///< expected time to the answer
    double cost_ = 0;       ///< answerMs_ with what speaks against the upstream besides, in ms
  };

  /// One of the own outstanding requests.
  struct Sent
  {
    std::uint32_t index_ = 0;
    std::uint64_t workClass_ = 0;
    MonotonicTime at_;
    unsigned inFlight_ = 0; ///< requests that were there before it
    double slowness_ = 1;   ///< at the latest look
    double expectedMs_ = 0; ///< time to the answer, as expected then
    double doneMs_ = 0;     ///< work that is done, as far as looks tell
    MonotonicTime lookedAt_;
  };

  bool TakesWork(const Upstream& aUpstream, MonotonicTime aNow) const;
  const Sent* FindSent(const CallInfo& aCall) const;
  void TakeLook(Sent& aSent, double aSlowness, MonotonicTime aNow) const;
  unsigned SlotsOf(const Upstream& aUpstream) const;
  double WorkMs(const CallInfo& aCall) const;
  /// @return requests that are expected at an upstream, also where nothing recent is known
  unsigned ExpectedInFlight(const Upstream& aUpstream, MonotonicTime aNow) const;
  /// @return time until a slot of an upstream is expected to be free, in milliseconds
  double ExpectedWaitMs(const Upstream& aUpstream, MonotonicTime aNow) const;
  Prospect ProspectOf(std::uint32_t aIndex, const CallInfo& aCall, MonotonicTime aNow);
  /// @return the prospects of all upstreams that the request may be sent to, best first
  std::vector<Prospect> Prospects(const CallInfo& aCall, MonotonicTime aNow);
  std::vector<std::uint32_t> ProbeTargets(const CallInfo& aCall, bool aLocal, MonotonicTime aNow);
  void BeginStage(Waiting& aWaiting, MonotonicTime aNow);
  bool StageEnded(const Waiting& aWaiting, MonotonicTime aNow) const;
  std::optional<Choice> Decide(Waiting& aWaiting, MonotonicTime aNow);
  /// @return the one of aProspects that the request should be sent to now, or null
  const Prospect* Pick(const Waiting& aWaiting,
                       std::span<const Prospect> aProspects,
                       MonotonicTime aNow) const;
  bool MayWait(const Waiting& aWaiting, const Prospect& aProspect, MonotonicTime aNow) const;
  /// @return whether a request that would be late is refused rather than sent
  static bool GivesWay(const Waiting& aWaiting, std::span<const Prospect> aProspects);
  /// @return whether even an upstream of the usual pace would hardly answer in time
  bool IsLate(const Waiting& aWaiting, MonotonicTime aNow) const;
  std::optional<Duration> ExpectedWait(const CallInfo& aCall) const;
  Choice Refuse(RefusalReason aReason, Duration aRetryAfter);
  Choice Dispatch(const Prospect& aProspect, const CallInfo& aCall, MonotonicTime aNow);
  void Insert(Waiting aWaiting);
  void RequestProbe(std::uint32_t aIndex, MonotonicTime aNow);
  void LearnFrom(const AttemptReport& aReport, MonotonicTime aNow);
  void RefreshDerived();

  ServiceConfig config_;
  ZoneName localZone_;
  Random random_;
  std::vector<Upstream> upstreams_; ///< never shrinks: handles stay valid
  std::unordered_map<UpstreamId, std::uint32_t> byId_;
  std::vector<std::uint32_t> present_;
  /// The upstreams of present_ that requests are sent to: all of a small service; of a large one
  /// those that this instance prefers, so that connections are used again.
  std::vector<std::uint32_t> scanned_;
  InstanceId self_;
  std::size_t instances_ = 1;
  MachinePace pace_;
  WorkProfile work_;
  OccupancyModel occupancy_;
  double typicalWorkMs_ = 0; ///< mean work of answered requests, for explain records
  WindowBudget retryBudget_;
  ProbeBudget probeBudget_;
  std::vector<Waiting> waiting_; ///< in the order in which slots are given out
  std::deque<std::uint32_t> wantedProbes_;
  std::vector<Sent> sent_;
  double meanInFlight_ = 0; ///< requests at an upstream, as probes found it
  MonotonicTime lastCongestedDispatch_;
  double dispatchIntervalMs_ = 0; ///< between dispatches while all slots are taken; 0 if unknown
  bool reportsLoad_ = true;       ///< false once enough probes were answered without a report
  unsigned unreportedProbes_ = 0; ///< answered without a report since the last report
};

} // namespace boragepier

#endif
