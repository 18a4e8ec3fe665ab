#include "testing/bench/suites.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace boragepier::bench {

namespace {

struct Service
{
  const char* name_;
  unsigned upstreams_;
  unsigned zones_;
  double addedCrossZoneLatencyMs_;
  unsigned instances_;
};

// The services of section 1.3 of docs/design.md, with 13 to 18 instances.
constexpr std::array<Service, 6> kServices = { {
  { "stock-lookup", 15, 3, 1.5, 15 },
  { "order-entry", 7, 3, 1.5, 13 },
  { "price-catalogue", 6, 3, 1.5, 18 },
  { "ring-lookup", 17, 4, 1, 16 },
  { "recovery-booking", 12, 4, 1, 14 },
  { "ringing-histories", 8, 4, 1, 17 },
} };

constexpr Duration kFaultStart = std::chrono::seconds(10);

void
AddForAllPolicies(std::vector<Scenario>& aScenarios, Scenario aScenario)
{
  for (const SelectionPolicy& policy : AllPolicies()) {
    aScenario.selection_ = policy;
    aScenarios.push_back(aScenario);
  }
}

Scenario
MakeServiceScenario(const Service& aService)
{
  Scenario scenario;
  scenario.name_ = aService.name_;
  scenario.upstreams_ = aService.upstreams_;
  scenario.zones_ = aService.zones_;
  scenario.addedCrossZoneLatencyMs_ = aService.addedCrossZoneLatencyMs_;
  scenario.instances_ = aService.instances_;
  scenario.hedgeBudget_ = 0.05;
  scenario.duration_ = std::chrono::seconds(25);
  return scenario;
}

} // namespace

const std::vector<SelectionPolicy>&
AllPolicies()
{
  static const std::vector<SelectionPolicy> kPolicies = {
    { "random", PolicyKind::Random, false },
    { "round-robin", PolicyKind::RoundRobin, false },
    { "power-of-two", PolicyKind::PowerOfTwo, false },
    { "least-outstanding", PolicyKind::LeastOutstanding, false },
    { "reported", PolicyKind::Reported, false },
    { "reported-subset", PolicyKind::ReportedSubset, false },
    { "central", PolicyKind::Random, true },
  };
  return kPolicies;
}

const SelectionPolicy&
FindPolicy(std::string_view aName)
{
  const auto& policies = AllPolicies();
  const auto found =
    std::find_if(policies.begin(), policies.end(), [&](const SelectionPolicy& aPolicy) {
      return aPolicy.name_ == aName;
    });
  if (found == policies.end()) {
    throw std::invalid_argument("no such policy: " + std::string(aName));
  }
  return *found;
}

std::vector<Scenario>
PolicySuite()
{
  std::vector<Scenario> scenarios;
  for (const double load : { 0.5, 0.7, 0.85, 0.95 }) {
    Scenario scenario;
    scenario.load_ = load;
    AddForAllPolicies(scenarios, scenario);
    scenario.name_ = "heavy-tailed";
    scenario.serviceTimeDistribution_ = ServiceTimeDistribution::HeavyTailed;
    AddForAllPolicies(scenarios, scenario);
    scenario.name_ = "unequal-speed";
    scenario.serviceTimeDistribution_ = ServiceTimeDistribution::Exponential;
    scenario.upstreamSpeeds_ = { 0.6, 1.4, 1 };
    AddForAllPolicies(scenarios, scenario);
  }
  return scenarios;
}

std::vector<Scenario>
ProbeBudgetSuite()
{
  std::vector<Scenario> scenarios;
  Scenario scenario;
  scenario.name_ = "frontier";
  scenario.selection_ = FindPolicy("power-of-two");
  scenarios.push_back(scenario);
  scenario.selection_ = FindPolicy("reported-subset");
  for (const double probes : { 0, 25, 50, 100, 200, 400, 800 }) {
    scenario.name_ = "probes-" + std::to_string(static_cast<int>(probes));
    scenario.probesPerUpstreamSecond_ = probes;
    scenarios.push_back(scenario);
  }
  scenario.name_ = "frontier";
  scenario.probesPerUpstreamSecond_ = 0;
  scenario.selection_ = FindPolicy("central");
  scenarios.push_back(scenario);
  return scenarios;
}

std::vector<Scenario>
ServiceSuite()
{
  std::vector<Scenario> scenarios;
  for (const Service& service : kServices) {
    for (const double load : { 0.5, 0.7, 0.85, 0.95, 1.2 }) {
      Scenario scenario = MakeServiceScenario(service);
      scenario.load_ = load;
      AddForAllPolicies(scenarios, scenario);
    }
    Scenario burstScenario = MakeServiceScenario(service);
    burstScenario.name_ += "/bursts";
    burstScenario.load_ = 0.7;
    burstScenario.burstFactor_ = 2;
    AddForAllPolicies(scenarios, burstScenario);
    Scenario noisyScenario = MakeServiceScenario(service);
    noisyScenario.name_ += "/noisy-tenant";
    noisyScenario.load_ = 0.7;
    noisyScenario.noisyInstanceFactor_ = 5;
    AddForAllPolicies(scenarios, noisyScenario);
  }
  return scenarios;
}

Fault
MakeFault(FaultKind aKind, unsigned aUpstream)
{
  Fault fault;
  fault.kind_ = aKind;
  fault.startOffset_ = kFaultStart;
  fault.upstreams_ = { aUpstream };
  if (aKind == FaultKind::ColdStart) {
    fault.slowdownFactor_ = 5;
  }
  if (aKind == FaultKind::ReportsStop || aKind == FaultKind::SilentConnections) {
    fault.upstreams_ = { 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14 };
  }
  if (aKind == FaultKind::ZoneLoss) {
    fault.upstreams_ = { aUpstream % 3 };
  }
  return fault;
}

Scenario
MakeFaultScenario(const Fault& aFault, double aLoad)
{
  Scenario scenario;
  scenario.name_ = ToString(aFault.kind_);
  scenario.load_ = aLoad;
  scenario.hedgeBudget_ = 0.05;
  scenario.faults_ = { aFault };
  scenario.zones_ = aFault.kind_ == FaultKind::ZoneLoss ? 3 : 1;
  scenario.warmUp_ = kFaultStart + std::chrono::seconds(1);
  scenario.duration_ = kFaultStart + std::chrono::seconds(31);
  return scenario;
}

std::vector<Scenario>
FaultSuite()
{
  std::vector<Scenario> scenarios;
  for (const double load : { 0.6, 0.85 }) {
    Scenario healthyScenario = MakeFaultScenario(MakeFault(FaultKind::Straggler, 4), load);
    healthyScenario.name_ = "no-fault";
    healthyScenario.faults_.clear();
    scenarios.push_back(healthyScenario);
    for (int kind = 0; kind < kFaultKindCount; ++kind) {
      scenarios.push_back(MakeFaultScenario(MakeFault(static_cast<FaultKind>(kind), 4), load));
    }
  }
  return scenarios;
}

} // namespace boragepier::bench
