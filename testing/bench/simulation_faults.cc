#include <algorithm>
#include <string>

#include "testing/bench/simulation.h"

namespace boragepier::bench {

namespace {

// Delay until the list of upstreams shows a draining upstream as leaving.
constexpr Duration kListDelay = std::chrono::seconds(2);
// Open connections of one instance to one upstream when they go silent.
constexpr unsigned kSilentConnections = 4;

} // namespace

ServiceConfig
Simulation::MakeConfig() const
{
  ServiceConfig config;
  config.name_ = ServiceName("bench");
  config.policy_ = scenario_.chooser_.policy_;
  config.slots_ = scenario_.slots_;
  config.zoneOneWayDelay_ = FromMilliseconds(scenario_.zoneTripMs_);
  config.probesPerUpstreamSecond_ = scenario_.probes_;
  config.hedgeRatio_ = scenario_.hedgeBudget_;
  config.retryRatio_ = scenario_.retryBudget_;
  config.queueLimit_ = scenario_.queueLimit_;
  return config;
}

void
Simulation::MakeInstances()
{
  const auto zone = [&](unsigned aIndex) {
    return ZoneName("z" + std::to_string(aIndex % scenario_.zones_));
  };
  const Duration lag = FromMilliseconds(scenario_.reportLagMs_);
  endpoints_.reserve(scenario_.upstreams_);
  for (unsigned i = 0; i < scenario_.upstreams_; ++i) {
    upstreams_.emplace_back(scenario_.slots_, scenario_.Speed(i), lag);
    endpoints_.push_back(
      { UpstreamId("upstream-" + std::to_string(i)), "127.0.0.1", 80, zone(i), 1, false });
  }
  committed_.resize(scenario_.upstreams_);
  std::vector<InstanceId> ids;
  ids.reserve(scenario_.instances_);
  for (unsigned i = 0; i < scenario_.instances_; ++i) {
    ids.emplace_back("instance-" + std::to_string(i));
  }
  for (unsigned i = 0; i < scenario_.instances_; ++i) {
    Instance& instance = instances_.emplace_back();
    instance.balancer_ =
      std::make_unique<ServiceBalancer>(MakeConfig(), zone(i), scenario_.seed_ * 1000 + i);
    instance.balancer_->SetUpstreams(endpoints_, now_);
    instance.balancer_->SetFleet(ids[i], ids, now_);
    instance.silent_.resize(scenario_.upstreams_);
    instance.knewLeaving_.resize(scenario_.upstreams_, MonotonicTime::max());
  }
}

void
Simulation::ScheduleFaults()
{
  faultStates_.resize(scenario_.faults_.size());
  for (const Fault& fault : scenario_.faults_) {
    for (const Duration delay : { fault.from_, fault.to_, fault.from_ + kListDelay }) {
      if (start_ + delay < end_) {
        events_.Push(start_ + delay, Event::Kind::FaultStep, 0);
      }
    }
  }
}

void
Simulation::StepFaults()
{
  const Duration elapsed = now_ - start_;
  for (std::size_t i = 0; i < scenario_.faults_.size(); ++i) {
    const Fault& fault = scenario_.faults_[i];
    if (faultStates_[i] == 0 && elapsed >= fault.from_) {
      faultStates_[i] = 1;
      BeginFault(fault);
    }
    if (faultStates_[i] == 1 && elapsed >= fault.to_) {
      faultStates_[i] = 2;
      EndFault(fault);
    }
    if (fault.kind_ == FaultKind::Draining && elapsed == fault.from_ + kListDelay) {
      for (const unsigned upstream : fault.upstreams_) {
        endpoints_[upstream].leaving_ = true;
      }
      PublishUpstreams();
    }
  }
}

std::vector<unsigned>
Simulation::Affected(const Fault& aFault) const
{
  if (aFault.kind_ != FaultKind::ZoneLoss) {
    return aFault.upstreams_;
  }
  std::vector<unsigned> affected;
  for (unsigned i = aFault.upstreams_.at(0); i < scenario_.upstreams_; i += scenario_.zones_) {
    affected.push_back(i);
  }
  return affected;
}

void
Simulation::BeginFault(const Fault& aFault)
{
  for (const unsigned index : Affected(aFault)) {
    upstreams_[index].Begin(aFault, now_);
    if (aFault.kind_ == FaultKind::ColdStart) {
      ++endpoints_[index].startNumber_;
    }
    if (aFault.kind_ == FaultKind::SilentConnections) {
      for (unsigned i = 0; i < scenario_.instances_; i += 2) {
        instances_[i].silent_[index] = kSilentConnections;
      }
    }
  }
  if (aFault.kind_ == FaultKind::ColdStart) {
    PublishUpstreams();
  }
  if (aFault.kind_ == FaultKind::ZoneLoss) {
    for (unsigned i = aFault.upstreams_.at(0); i < scenario_.instances_; i += scenario_.zones_) {
      instances_[i].lost_ = true;
    }
  }
}

void
Simulation::EndFault(const Fault& aFault)
{
  for (const unsigned index : Affected(aFault)) {
    upstreams_[index].End(aFault);
  }
  if (aFault.kind_ == FaultKind::ZoneLoss) {
    for (unsigned i = aFault.upstreams_.at(0); i < scenario_.instances_; i += scenario_.zones_) {
      instances_[i].lost_ = false;
    }
  }
}

void
Simulation::PublishUpstreams()
{
  for (Instance& instance : instances_) {
    instance.balancer_->SetUpstreams(endpoints_, now_);
    for (unsigned i = 0; i < scenario_.upstreams_; ++i) {
      if (endpoints_[i].leaving_) {
        instance.knewLeaving_[i] = std::min(instance.knewLeaving_[i], now_);
      }
    }
  }
}

} // namespace boragepier::bench
