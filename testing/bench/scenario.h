#ifndef TESTING_BENCH_SCENARIO_H
#define TESTING_BENCH_SCENARIO_H

#include <cstdint>
#include <string>
#include <vector>

#include "boragepier/base/time.h"
#include "boragepier/config/service_config.h"

namespace boragepier::bench {

/// Distribution of the service time of a call. The mean is the same for all.
enum class ServiceTimeDistribution : std::uint8_t
{
  Exponential,
  HeavyTailed, ///< bounded Pareto with exponent 1.5
};

/// Kind of a fault that affects some upstreams for a limited time.
enum class FaultKind : std::uint8_t
{
  Straggler, ///< the service time is multiplied by slowdownFactor_
  FailFast,  ///< answers every request with status 500 at once and reports itself as idle
  ColdStart, ///< restarts; the service time is multiplied by slowdownFactor_, falling to 1 over 3 s
  Shedding,  ///< refuses requests, as not run, while no slot is free
  Draining,  ///< announces in answers that it is leaving; the upstream list shows it 2 s later
  SilentConnections, ///< open connections of every second instance drop all data without an error
  ZoneLoss,          ///< upstreams and instances of one availability zone become unreachable
  MisleadingReports, ///< always reports itself as idle
  ReportsStop,       ///< sends no load reports
};
inline constexpr int kFaultKindCount = 9;

/// @return the name of the fault in tables and CSV files
std::string_view
ToString(FaultKind aKind);

/// One scheduled fault. Offsets are relative to the start of the run.
struct Fault
{
  FaultKind kind_ = FaultKind::Straggler;
  Duration startOffset_{};
  Duration endOffset_ = std::chrono::hours(1);
  std::vector<unsigned> upstreams_; ///< affected upstreams; for ZoneLoss the affected zone
  double slowdownFactor_ = 10;      ///< used by Straggler and ColdStart
};

/// How a run chooses an upstream for a request.
struct SelectionPolicy
{
  std::string name_ = "reported-subset";           ///< in tables, CSV files and the flag --policy
  PolicyKind policy_ = PolicyKind::ReportedSubset; ///< ignored if usesGlobalState_
  /// Whether to join the shortest queue with exact, current knowledge of all upstreams instead. A
  /// reference for comparison that no real policy can reach.
  bool usesGlobalState_ = false;
};

/// Input of one simulation run. The defaults are the reference workload of docs/design.md.
struct Scenario
{
  std::string name_ = "reference";
  std::uint64_t seed_ = 1;
  SelectionPolicy selection_;

  unsigned instances_ = 15;
  unsigned upstreams_ = 15;
  unsigned zones_ = 1;            ///< instances and upstreams are assigned to the zones round-robin
  unsigned slots_ = 2;            ///< requests that one upstream runs at a time
  double oneWayLatencyMs_ = 0.75; ///< network latency within a zone
  double addedCrossZoneLatencyMs_ = 1.5; ///< added to each one-way latency between zones
  double serviceTimeMs_ = 10;            ///< mean at upstream speed 1
  ServiceTimeDistribution serviceTimeDistribution_ = ServiceTimeDistribution::Exponential;
  std::vector<double> upstreamSpeeds_; ///< assigned to the upstreams in turn; all 1 if empty
  double reportRefreshMs_ = 0; ///< a load report repeats its value for this long; 0: always current

  double load_ = 0.85;     ///< offered load as a share of CapacityPerSecond()
  double burstFactor_ = 1; ///< multiple of the mean load in the first 100 ms of each second; the
                           ///< rest of the second has less, so that the mean stays the same
  double noisyInstanceFactor_ = 1; ///< load of the first instance as a multiple of another's
  double atMostOnceShare_ = 0;     ///< share of at-most-once calls
  double backgroundShare_ = 0;     ///< share of calls of class background
  Duration deadline_ = std::chrono::seconds(2); ///< of each call, from its arrival

  double probesPerUpstreamSecond_ = 0; ///< probe budget of all instances together
  double hedgeBudget_ = 0;             ///< hedges per call, part of retryBudget_
  double retryBudget_ = 0.10;          ///< retries and hedges per call
  std::size_t queueLimit_ = 64;        ///< waiting requests per instance

  Duration warmUp_ = std::chrono::seconds(5);    ///< earlier arrivals are not in the statistics
  Duration duration_ = std::chrono::seconds(65); ///< of arrivals, the warm-up included
  std::vector<Fault> faults_;

  /// @return the speed of an upstream; a request takes its service time divided by it
  double UpstreamSpeed(unsigned aUpstream) const
  {
    return upstreamSpeeds_.empty() ? 1 : upstreamSpeeds_[aUpstream % upstreamSpeeds_.size()];
  }
  /// @return requests per second that all upstreams together can serve
  double CapacityPerSecond() const;
};

} // namespace boragepier::bench

#endif
