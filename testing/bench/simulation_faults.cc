#include <algorithm>
#include <string>

#include "testing/bench/simulation.h"

namespace boragepier::bench {

namespace {

// Delay from the start of draining until the upstream list marks the upstream as leaving.
constexpr Duration kLeavingListDelay = std::chrono::seconds(2);
// Open connections from one instance to one upstream that go silent when the fault starts.
constexpr unsigned kSilentConnectionsPerUpstream = 4;

} // namespace

ServiceConfig
Simulation::MakeConfig() const
{
  ServiceConfig config;
  config.name_ = ServiceName("bench");
  config.policy_ = scenario_.selection_.policy_;
  config.slots_ = scenario_.slots_;
  config.zoneOneWayDelay_ = FromMilliseconds(scenario_.addedCrossZoneLatencyMs_);
  config.probesPerUpstreamSecond_ = scenario_.probesPerUpstreamSecond_;
  config.hedgeRatio_ = scenario_.hedgeBudget_;
  config.retryRatio_ = scenario_.retryBudget_;
  config.queueLimit_ = scenario_.queueLimit_;
  return config;
}

void
Simulation::MakeUpstreamsAndInstances()
{
  const auto zone = [&](unsigned aIndex) {
    return ZoneName("z" + std::to_string(aIndex % scenario_.zones_));
  };
  const Duration reportRefresh = FromMilliseconds(scenario_.reportRefreshMs_);
  endpoints_.reserve(scenario_.upstreams_);
  for (unsigned i = 0; i < scenario_.upstreams_; ++i) {
    upstreams_.emplace_back(scenario_.slots_, scenario_.UpstreamSpeed(i), reportRefresh);
    endpoints_.push_back(
      { UpstreamId("upstream-" + std::to_string(i)), "127.0.0.1", 80, zone(i), 1, false });
  }
  outstanding_.resize(scenario_.upstreams_);
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
    instance.silentConnections_.resize(scenario_.upstreams_);
    instance.learnedLeavingAt_.resize(scenario_.upstreams_, MonotonicTime::max());
  }
}

void
Simulation::ScheduleFaults()
{
  faultStates_.resize(scenario_.faults_.size());
  for (const Fault& fault : scenario_.faults_) {
    for (const Duration delay :
         { fault.startOffset_, fault.endOffset_, fault.startOffset_ + kLeavingListDelay }) {
      if (start_ + delay < end_) {
        events_.Push(start_ + delay, Event::Kind::FaultTransition, 0);
      }
    }
  }
}

void
Simulation::ApplyFaultTransitions()
{
  const Duration elapsed = now_ - start_;
  for (std::size_t i = 0; i < scenario_.faults_.size(); ++i) {
    const Fault& fault = scenario_.faults_[i];
    if (faultStates_[i] == 0 && elapsed >= fault.startOffset_) {
      faultStates_[i] = 1;
      BeginFault(fault);
    }
    if (faultStates_[i] == 1 && elapsed >= fault.endOffset_) {
      faultStates_[i] = 2;
      EndFault(fault);
    }
    if (fault.kind_ == FaultKind::Draining && elapsed == fault.startOffset_ + kLeavingListDelay) {
      for (const unsigned upstream : fault.upstreams_) {
        endpoints_[upstream].leaving_ = true;
      }
      DistributeUpstreamList();
    }
  }
}

std::vector<unsigned>
Simulation::AffectedUpstreams(const Fault& aFault) const
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
  for (const unsigned index : AffectedUpstreams(aFault)) {
    upstreams_[index].BeginFault(aFault, now_);
    if (aFault.kind_ == FaultKind::ColdStart) {
      ++endpoints_[index].startNumber_;
    }
    if (aFault.kind_ == FaultKind::SilentConnections) {
      for (unsigned i = 0; i < scenario_.instances_; i += 2) {
        instances_[i].silentConnections_[index] = kSilentConnectionsPerUpstream;
      }
    }
  }
  if (aFault.kind_ == FaultKind::ColdStart) {
    DistributeUpstreamList();
  }
  if (aFault.kind_ == FaultKind::ZoneLoss) {
    for (unsigned i = aFault.upstreams_.at(0); i < scenario_.instances_; i += scenario_.zones_) {
      instances_[i].unreachable_ = true;
    }
  }
}

void
Simulation::EndFault(const Fault& aFault)
{
  for (const unsigned index : AffectedUpstreams(aFault)) {
    upstreams_[index].EndFault(aFault);
  }
  if (aFault.kind_ == FaultKind::ZoneLoss) {
    for (unsigned i = aFault.upstreams_.at(0); i < scenario_.instances_; i += scenario_.zones_) {
      instances_[i].unreachable_ = false;
    }
  }
}

void
Simulation::DistributeUpstreamList()
{
  for (Instance& instance : instances_) {
    instance.balancer_->SetUpstreams(endpoints_, now_);
    for (unsigned i = 0; i < scenario_.upstreams_; ++i) {
      if (endpoints_[i].leaving_) {
        instance.learnedLeavingAt_[i] = std::min(instance.learnedLeavingAt_[i], now_);
      }
    }
  }
}

} // namespace boragepier::bench
