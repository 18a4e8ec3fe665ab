#ifndef TESTING_BENCH_SCENARIO_H
#define TESTING_BENCH_SCENARIO_H

#include <cstdint>
#include <string>
#include <vector>

#include "boragepier/base/time.h"
#include "boragepier/config/service_config.h"

namespace boragepier::bench {

/// Distribution of the work of a call. All have the same mean.
enum class WorkKind : std::uint8_t
{
  Exponential,
  HeavyTailed, ///< bounded Pareto with exponent 1.5
};

/// What goes wrong at some upstreams for some time.
enum class FaultKind : std::uint8_t
{
  Straggler,         ///< service takes factor_ times as long
  FailFast,          ///< answers 500 at once and reports itself idle
  ColdStart,         ///< restarts; service takes factor_ times as long at first, less over 3 s
  Shedding,          ///< refuses, certified as not run, what does not find a free slot
  Draining,          ///< says in answers that it is leaving; the list follows 2 s later
  SilentConnections, ///< open connections of half the instances vanish without a sign
  ZoneLoss,          ///< upstreams and instances of a zone disappear
  MisleadingReports, ///< reports itself idle always
  ReportsStop,       ///< sends no reports
};
inline constexpr int kFaultKindCount = 9;

/// @return the name used in tables
std::string_view
ToString(FaultKind aKind);

/// One fault of a script.
struct Fault
{
  FaultKind kind_ = FaultKind::Straggler;
  Duration from_{};
  Duration to_ = std::chrono::hours(1);
  std::vector<unsigned> upstreams_; ///< the zone's number for ZoneLoss
  double factor_ = 10;
};

/// How upstreams are chosen in a run.
struct Chooser
{
  std::string name_ = "reported-subset";
  PolicyKind policy_ = PolicyKind::ReportedSubset;
  bool central_ = false; ///< join the shortest queue with fresh central knowledge instead
};

/// One run of the bench. Defaults are those of the reference workload of docs/design.md.
struct Scenario
{
  std::string name_ = "reference";
  std::uint64_t seed_ = 1;
  Chooser chooser_;

  unsigned instances_ = 15;
  unsigned upstreams_ = 15;
  unsigned zones_ = 1; ///< instances and upstreams are spread over them in turn
  unsigned slots_ = 2;
  double tripMs_ = 0.75;    ///< one way within a zone
  double zoneTripMs_ = 1.5; ///< added one way between zones
  double workMs_ = 10;      ///< mean service time at speed 1
  WorkKind workKind_ = WorkKind::Exponential;
  std::vector<double> speeds_; ///< of the upstreams, repeated; 1 if empty
  double reportLagMs_ = 0;     ///< reports repeat a value for this long

  double load_ = 0.85;         ///< offered load as a share of the capacity
  double burstFactor_ = 1;     ///< load during 100 ms of every second, the mean stays the same
  double noisyFactor_ = 1;     ///< load of the first instance as a multiple of the others'
  double atMostOnceShare_ = 0; ///< of the calls
  double backgroundShare_ = 0; ///< of the calls
  Duration deadline_ = std::chrono::seconds(2);

  double probes_ = 0; ///< per upstream and second of the whole fleet
  double hedgeBudget_ = 0;
  double retryBudget_ = 0.10;
  std::size_t queueLimit_ = 64;

  Duration warmUp_ = std::chrono::seconds(5); ///< calls that arrive earlier are not counted
  Duration length_ = std::chrono::seconds(65);
  std::vector<Fault> faults_;

  double Speed(unsigned aUpstream) const
  {
    return speeds_.empty() ? 1 : speeds_[aUpstream % speeds_.size()];
  }
  /// @return requests per second that all upstreams together can serve
  double Capacity() const;
};

} // namespace boragepier::bench

#endif
