#ifndef TESTING_BENCH_SUITES_H
#define TESTING_BENCH_SUITES_H

#include <vector>

#include "testing/bench/scenario.h"

namespace boragepier::bench {

/// @return all policies; the last one is the reference `central`, the one before it the default
const std::vector<SelectionPolicy>&
AllPolicies();
/// @return the policy with a name as in tables
/// @throws std::invalid_argument if no policy has the name
const SelectionPolicy&
FindPolicy(std::string_view aName);

/// All policies with 15 instances and 15 upstreams at 50, 70, 85 and 95 % load, with exponential
/// and heavy-tailed service times and with upstreams of unequal speed.
std::vector<Scenario>
PolicySuite();
/// The default policy with growing probe budgets, between power of two choices and `central` as the
/// references for its latency.
std::vector<Scenario>
ProbeBudgetSuite();
/// All policies for six typical services: steady load of 50 to 120 %, bursts, and one instance with
/// five times the load of the others.
std::vector<Scenario>
ServiceSuite();
/// A run without a fault, then each kind of fault alone, at 60 % and 85 % load.
std::vector<Scenario>
FaultSuite();

/// @return a scenario with one fault from MakeFault(); the warm-up ends one second after the fault
///   starts
Scenario
MakeFaultScenario(const Fault& aFault, double aLoad);
/// @return a representative fault of a kind. It affects upstream aUpstream; ZoneLoss affects its
/// zone
///   (of three), ReportsStop and SilentConnections the 15 upstreams of the reference workload.
Fault
MakeFault(FaultKind aKind, unsigned aUpstream);

} // namespace boragepier::bench

#endif
