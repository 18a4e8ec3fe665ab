#ifndef TESTING_BENCH_SUITES_H
#define TESTING_BENCH_SUITES_H

#include <vector>

#include "testing/bench/scenario.h"

namespace boragepier::bench {

/// @return all policies, the default one last but for the reference `central`
const std::vector<Chooser>&
AllChoosers();
/// @return a chooser by its name in tables
/// @throws std::invalid_argument if there is none
const Chooser&
FindChooser(std::string_view aName);

/// 15 instances and 15 upstreams with all policies at 50, 70, 85 and 95 %, with exponential and
/// heavy-tailed work and with upstreams of unequal speed.
std::vector<Scenario>
PolicySuite();
/// The default policy with probe budgets from 0 up, and the limits around it.
std::vector<Scenario>
FrontierSuite();
/// The six services at 50 to 120 %, plain, with bursts and with a noisy tenant.
std::vector<Scenario>
ServiceSuite();
/// Each fault alone at 60 % and 85 %.
std::vector<Scenario>
FaultSuite();

/// @return a scenario with one fault that starts one second before calls are counted
Scenario
WithFault(const Fault& aFault, double aLoad);
/// @return a typical instance of a fault, at upstream aUpstream or in its zone
Fault
MakeFault(FaultKind aKind, unsigned aUpstream);

} // namespace boragepier::bench

#endif
