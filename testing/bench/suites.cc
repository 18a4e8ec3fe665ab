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
  double zoneTripMs_;
  unsigned instances_;
};

// Section 1.3 of docs/design.md; numbers of instances from 13 to 18.
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
AddAllChoosers(std::vector<Scenario>& aScenarios, Scenario aScenario)
{
  for (const Chooser& chooser : AllChoosers()) {
    aScenario.chooser_ = chooser;
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
  scenario.zoneTripMs_ = aService.zoneTripMs_;
  scenario.instances_ = aService.instances_;
  scenario.hedgeBudget_ = 0.05;
  scenario.length_ = std::chrono::seconds(25);
  return scenario;
}

} // namespace

const std::vector<Chooser>&
AllChoosers()
{
  static const std::vector<Chooser> kChoosers = {
    { "random", PolicyKind::Random, false },
    { "round-robin", PolicyKind::RoundRobin, false },
    { "power-of-two", PolicyKind::PowerOfTwo, false },
    { "least-outstanding", PolicyKind::LeastOutstanding, false },
    { "reported", PolicyKind::Reported, false },
    { "reported-subset", PolicyKind::ReportedSubset, false },
    { "central", PolicyKind::Random, true },
  };
  return kChoosers;
}

const Chooser&
FindChooser(std::string_view aName)
{
  const auto& choosers = AllChoosers();
  const auto found = std::find_if(choosers.begin(), choosers.end(), [&](const Chooser& aChooser) {
    return aChooser.name_ == aName;
  });
  if (found == choosers.end()) {
    throw std::invalid_argument("unknown policy: " + std::string(aName));
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
    AddAllChoosers(scenarios, scenario);
    scenario.name_ = "heavy-tailed";
    scenario.workKind_ = WorkKind::HeavyTailed;
    AddAllChoosers(scenarios, scenario);
    scenario.name_ = "unequal-speed";
    scenario.workKind_ = WorkKind::Exponential;
    scenario.speeds_ = { 0.6, 1.4, 1 };
    AddAllChoosers(scenarios, scenario);
  }
  return scenarios;
}

std::vector<Scenario>
FrontierSuite()
{
  std::vector<Scenario> scenarios;
  Scenario scenario;
  scenario.name_ = "frontier";
  scenario.chooser_ = FindChooser("power-of-two");
  scenarios.push_back(scenario);
  scenario.chooser_ = FindChooser("reported-subset");
  for (const double probes : { 0, 25, 50, 100, 200, 400, 800 }) {
    scenario.name_ = "probes-" + std::to_string(static_cast<int>(probes));
    scenario.probes_ = probes;
    scenarios.push_back(scenario);
  }
  scenario.name_ = "frontier";
  scenario.probes_ = 0;
  scenario.chooser_ = FindChooser("central");
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
      AddAllChoosers(scenarios, scenario);
    }
    Scenario bursts = MakeServiceScenario(service);
    bursts.name_ += "/bursts";
    bursts.load_ = 0.7;
    bursts.burstFactor_ = 2;
    AddAllChoosers(scenarios, bursts);
    Scenario noisy = MakeServiceScenario(service);
    noisy.name_ += "/noisy-tenant";
    noisy.load_ = 0.7;
    noisy.noisyFactor_ = 5;
    AddAllChoosers(scenarios, noisy);
  }
  return scenarios;
}

Fault
MakeFault(FaultKind aKind, unsigned aUpstream)
{
  Fault fault;
  fault.kind_ = aKind;
  fault.from_ = kFaultStart;
  fault.upstreams_ = { aUpstream };
  if (aKind == FaultKind::ColdStart) {
    fault.factor_ = 5;
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
WithFault(const Fault& aFault, double aLoad)
{
  Scenario scenario;
  scenario.name_ = ToString(aFault.kind_);
  scenario.load_ = aLoad;
  scenario.hedgeBudget_ = 0.05;
  scenario.faults_ = { aFault };
  scenario.zones_ = aFault.kind_ == FaultKind::ZoneLoss ? 3 : 1;
  scenario.warmUp_ = kFaultStart + std::chrono::seconds(1);
  scenario.length_ = kFaultStart + std::chrono::seconds(31);
  return scenario;
}

std::vector<Scenario>
FaultSuite()
{
  std::vector<Scenario> scenarios;
  for (const double load : { 0.6, 0.85 }) {
    Scenario healthy = WithFault(MakeFault(FaultKind::Straggler, 4), load);
    healthy.name_ = "no-fault";
    healthy.faults_.clear();
    scenarios.push_back(healthy);
    for (int kind = 0; kind < kFaultKindCount; ++kind) {
      scenarios.push_back(WithFault(MakeFault(static_cast<FaultKind>(kind), 4), load));
    }
  }
  return scenarios;
}

} // namespace boragepier::bench
