#ifndef TESTING_BENCH_SIMULATION_H
#define TESTING_BENCH_SIMULATION_H

#include <memory>
#include <unordered_map>
#include <vector>

#include "boragepier/base/random.h"
#include "boragepier/decision/service_balancer.h"
#include "testing/bench/event_queue.h"
#include "testing/bench/figures.h"
#include "testing/bench/scenario.h"
#include "testing/bench/upstream_fake.h"

namespace boragepier::bench {

/// Runs one scenario in virtual time: calls, instances with the production ServiceBalancer, and
/// fake upstreams. Equal scenarios give equal figures.
class Simulation
{
public:
  explicit Simulation(Scenario aScenario);

  /// Runs the scenario to its end.
  Figures Run();

private:
  struct Call
  {
    CallInfo info_;
    unsigned instance_ = 0;
    double workMs_ = 0;
    unsigned runs_ = 0; ///< times that an upstream started it
    bool counted_ = false;
    bool queued_ = false;
    bool done_ = false;
    std::vector<std::uint64_t> open_; ///< attempts without an end
  };
  struct Attempt
  {
    std::uint64_t call_ = 0;
    unsigned upstream_ = 0;
    unsigned instance_ = 0;
    MonotonicTime sent_;
    bool ended_ = false;   ///< reported to the balancer
    bool started_ = false; ///< runs or ran at the upstream
    bool silent_ = false;  ///< sent on a connection that has gone silent
    bool hedge_ = false;
    AttemptReport report_; ///< on its way to the instance
  };
  struct Probe
  {
    unsigned instance_ = 0;
    unsigned upstream_ = 0;
    MonotonicTime sent_;
    std::optional<LoadReport> load_;
  };
  struct Instance
  {
    std::unique_ptr<ServiceBalancer> balancer_;
    MonotonicTime nextRelease_ = MonotonicTime::max();
    std::vector<unsigned> silent_;           ///< silent connections per upstream
    std::vector<MonotonicTime> knewLeaving_; ///< first sign per upstream
    bool lost_ = false;
  };

  // Set-up and faults.
  ServiceConfig MakeConfig() const;
  void MakeInstances();
  void ScheduleFaults();
  void StepFaults();
  void BeginFault(const Fault& aFault);
  void EndFault(const Fault& aFault);
  void PublishUpstreams();
  std::vector<unsigned> Affected(const Fault& aFault) const;

  // Calls, seen from the instances.
  void Handle(const Event& aEvent);
  void OnArrival();
  void ScheduleArrival();
  unsigned PickInstance();
  void SubmitCall(std::uint64_t aCall);
  void TakeDecision(std::uint64_t aCall, const RoutingDecision& aDecision);
  void SendAttempt(std::uint64_t aCall, unsigned aUpstream, bool aHedge);
  void EndAttempt(std::uint64_t aAttempt, AttemptReport aReport);
  void Continue(std::uint64_t aCall, const AttemptReport& aReport);
  void FinishCall(std::uint64_t aCall, bool aGood);
  void Refuse(std::uint64_t aCall, RefusalReason aReason);
  void ReleaseQueued(unsigned aInstance);
  void OnAttemptTimeout(std::uint64_t aAttempt);
  void OnHedgeTimer(std::uint64_t aCall);
  void OnCallDeadline(std::uint64_t aCall);
  void ArmReleaseTimer(unsigned aInstance);
  unsigned CentralChoice(const Call& aCall);

  // Upstreams.
  void OnReachUpstream(std::uint64_t aAttempt);
  void OnServiceEnd(std::uint64_t aAttempt);
  void StartWork(unsigned aUpstream);
  void Answer(std::uint64_t aAttempt, AttemptReport aReport, Duration aDelay);
  void SendProbes(unsigned aInstance);
  void OnProbeReach(std::uint64_t aProbe);
  void OnProbeReturn(std::uint64_t aProbe);
  Duration Trip(unsigned aInstance, unsigned aUpstream) const;
  void CheckLateWork(const Instance& aInstance, unsigned aUpstream);
  bool Warm() const { return now_ >= start_ + scenario_.warmUp_; }

  Scenario scenario_;
  Random arrivals_; ///< times, instances and kinds of calls: the same for all policies
  Random work_;
  Random choices_;
  EventQueue events_;
  MonotonicTime start_{ std::chrono::hours(1) };
  MonotonicTime now_ = start_;
  MonotonicTime end_;
  std::vector<Instance> instances_;
  std::vector<UpstreamFake> upstreams_;
  std::vector<UpstreamEndpoint> endpoints_;
  std::vector<unsigned> committed_; ///< requests sent to an upstream and not finished there
  std::unordered_map<std::uint64_t, Call> calls_;
  std::unordered_map<std::uint64_t, Attempt> attempts_;
  std::unordered_map<std::uint64_t, Probe> probes_;
  std::vector<int> faultStates_; ///< 0 before, 1 during, 2 after
  std::uint64_t nextId_ = 1;
  Figures figures_;
  std::vector<float> latencies_;
  std::vector<float> interactive_;
};

/// Runs a scenario.
Figures
RunScenario(const Scenario& aScenario);

} // namespace boragepier::bench

#endif
