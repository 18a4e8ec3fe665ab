#ifndef TESTING_BENCH_SIMULATION_H
#define TESTING_BENCH_SIMULATION_H

#include <memory>
#include <unordered_map>
#include <vector>

#include "boragepier/base/random.h"
#include "boragepier/decision/service_balancer.h"
#include "testing/bench/event_queue.h"
#include "testing/bench/run_statistics.h"
#include "testing/bench/scenario.h"
#include "testing/bench/simulated_upstream.h"

namespace boragepier::bench {

/// Discrete-event simulation of one scenario: generated calls, instances that run the production
/// ServiceBalancer, and simulated upstreams. Deterministic: equal scenarios give equal statistics.
/// Instances and upstreams are identified by index; calls, attempts and probes by a unique ID.
class Simulation
{
public:
  explicit Simulation(Scenario aScenario);

  /// Runs the scenario until all its calls have ended. Call it once only.
  RunStatistics Run();

private:
  struct Call
  {
    CallInfo info_;
    unsigned instance_ = 0;
    double serviceTimeMs_ = 0;
    unsigned startCount_ = 0; ///< attempts that an upstream began to run
    bool counted_ = false;    ///< arrived after the warm-up, so the statistics include it
    bool queued_ = false;     ///< waits in the queue of its instance
    bool done_ = false;       ///< answered or failed, though attempts may still be open
    std::vector<std::uint64_t> openAttempts_; ///< attempts that have not ended
  };
  struct Attempt
  {
    std::uint64_t callId_ = 0;
    unsigned upstream_ = 0;
    unsigned instance_ = 0;
    MonotonicTime sentAt_;
    bool ended_ = false;              ///< the end was reported to the balancer
    bool started_ = false;            ///< the upstream began to run the request
    bool onSilentConnection_ = false; ///< sent on a connection that drops all data without an error
    bool hedge_ = false;
    AttemptReport report_; ///< response in transit to the instance
  };
  struct Probe
  {
    unsigned instance_ = 0;
    unsigned upstream_ = 0;
    MonotonicTime sentAt_;
    std::optional<LoadReport> load_; ///< reply in transit; empty if the upstream sent none
  };
  struct Instance
  {
    std::unique_ptr<ServiceBalancer> balancer_;
    MonotonicTime nextRelease_ = MonotonicTime::max(); ///< due time of the armed ReleaseTimer
    std::vector<unsigned> silentConnections_; ///< per upstream: open connections that drop all data
    std::vector<MonotonicTime> learnedLeavingAt_; ///< per upstream: when the instance first learned
                                                  ///< that it is leaving; max() if it has not
    bool unreachable_ = false;                    ///< its zone is lost; gets no calls
  };

  // Setup and faults (simulation_faults.cc).
  ServiceConfig MakeConfig() const;
  void MakeUpstreamsAndInstances();
  void ScheduleFaults();
  void ApplyFaultTransitions();
  void BeginFault(const Fault& aFault);
  void EndFault(const Fault& aFault);
  void DistributeUpstreamList();
  std::vector<unsigned> AffectedUpstreams(const Fault& aFault) const;

  // Call handling at the instances (simulation.cc).
  void Handle(const Event& aEvent);
  void OnArrival();
  void ScheduleArrival();
  unsigned PickInstance();
  void SubmitCall(std::uint64_t aCall);
  void ApplyChoice(std::uint64_t aCall, const RoutingDecision& aDecision);
  void SendAttempt(std::uint64_t aCall, unsigned aUpstream, bool aHedge);
  void EndAttempt(std::uint64_t aAttempt, AttemptReport aReport);
  void FinishOrRetryCall(std::uint64_t aCall, const AttemptReport& aReport);
  void FinishCall(std::uint64_t aCall, bool aSuccess);
  void Refuse(std::uint64_t aCall, RefusalReason aReason);
  void ReleaseQueued(unsigned aInstance);
  void OnAttemptTimeout(std::uint64_t aAttempt);
  void OnHedgeTimer(std::uint64_t aCall);
  void OnCallDeadline(std::uint64_t aCall);
  void ArmReleaseTimer(unsigned aInstance);
  unsigned ChooseByGlobalState(const Call& aCall);

  // Network, upstreams and probes (simulation_upstreams.cc).
  void OnRequestAtUpstream(std::uint64_t aAttempt);
  void OnServiceCompleted(std::uint64_t aAttempt);
  void StartQueuedRequests(unsigned aUpstream);
  void SendResponse(std::uint64_t aAttempt, AttemptReport aReport, Duration aDelay);
  void SendProbes(unsigned aInstance);
  void OnProbeAtUpstream(std::uint64_t aProbe);
  void OnProbeReply(std::uint64_t aProbe);
  Duration OneWayLatency(unsigned aInstance, unsigned aUpstream) const;
  void CountAttemptAtLeavingUpstream(const Instance& aInstance, unsigned aUpstream);
  bool IsPastWarmUp() const { return now_ >= start_ + scenario_.warmUp_; }

  Scenario scenario_;
  /// Arrival times, instances and classes of calls. Separate, so that all policies get the same
  /// calls.
  Random arrivalRandom_;
  Random serviceTimeRandom_;
  Random tieBreakRandom_;
  EventQueue events_;
  MonotonicTime start_{ std::chrono::hours(1) };
  MonotonicTime now_ = start_;
  MonotonicTime end_;
  std::vector<Instance> instances_;
  std::vector<SimulatedUpstream> upstreams_;
  std::vector<UpstreamEndpoint> endpoints_;
  std::vector<unsigned> outstanding_; ///< per upstream: unfinished requests of all instances
  std::unordered_map<std::uint64_t, Call> calls_;
  std::unordered_map<std::uint64_t, Attempt> attempts_;
  std::unordered_map<std::uint64_t, Probe> probes_;
  std::vector<int> faultStates_; ///< per fault: 0 pending, 1 active, 2 ended
  std::uint64_t nextId_ = 1;
  RunStatistics statistics_;
  std::vector<float> latenciesMs_;
  std::vector<float> interactiveLatenciesMs_;
};

/// Simulates a scenario from start to end.
RunStatistics
RunScenario(const Scenario& aScenario);

} // namespace boragepier::bench

#endif
