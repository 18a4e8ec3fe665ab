#include <algorithm>

#include "testing/bench/simulation.h"

namespace boragepier::bench {

namespace {

// Timeout of a connection attempt to an unreachable host.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(50);
// Time that an upstream takes to answer a request that it does not run.
constexpr Duration kImmediateAnswerDelay = std::chrono::microseconds(100);
// An instance that has learned that an upstream is leaving must stop sending to it within this
// time (R5).
constexpr Duration kLeavingGracePeriod = std::chrono::seconds(3);

} // namespace

Duration
Simulation::OneWayLatency(unsigned aInstance, unsigned aUpstream) const
{
  const bool sameZone = aInstance % scenario_.zones_ == aUpstream % scenario_.zones_;
  return FromMilliseconds(scenario_.oneWayLatencyMs_ +
                          (sameZone ? 0 : scenario_.addedCrossZoneLatencyMs_));
}

unsigned
Simulation::ChooseByGlobalState(const Call& aCall)
{
  unsigned bestUpstream = 0;
  double lowestLatencyMs = 0;
  unsigned ties = 0;
  for (unsigned i = 0; i < scenario_.upstreams_; ++i) {
    const unsigned occupancy = outstanding_[i] + 1;
    const double serviceRounds =
      1 + (occupancy > scenario_.slots_
             ? static_cast<double>(occupancy - scenario_.slots_) / scenario_.slots_
             : 0);
    const double latencyMs = serviceRounds * scenario_.serviceTimeMs_ / scenario_.UpstreamSpeed(i) +
                             2 * ToMilliseconds(OneWayLatency(aCall.instance_, i));
    if (ties == 0 || latencyMs < lowestLatencyMs) {
      bestUpstream = i;
      lowestLatencyMs = latencyMs;
      ties = 1;
    } else if (latencyMs == lowestLatencyMs && tieBreakRandom_(++ties) == 0) {
      bestUpstream = i;
    }
  }
  return bestUpstream;
}

void
Simulation::CountAttemptAtLeavingUpstream(const Instance& aInstance, unsigned aUpstream)
{
  const MonotonicTime learnedLeavingAt = aInstance.learnedLeavingAt_[aUpstream];
  if (learnedLeavingAt != MonotonicTime::max() && now_ > learnedLeavingAt + kLeavingGracePeriod) {
    ++statistics_.lateAttemptsAtLeaving_;
  }
}

void
Simulation::OnRequestAtUpstream(std::uint64_t aAttempt)
{
  const auto found = attempts_.find(aAttempt);
  if (found == attempts_.end()) {
    return;
  }
  Attempt& attempt = found->second;
  SimulatedUpstream& upstream = upstreams_[attempt.upstream_];
  if (attempt.onSilentConnection_) {
    --outstanding_[attempt.upstream_];
    return;
  }
  const auto call = calls_.find(attempt.callId_);
  const double serviceTimeMs =
    call == calls_.end() ? scenario_.serviceTimeMs_ : call->second.serviceTimeMs_;
  const auto admission = upstream.Admit({ aAttempt, serviceTimeMs }, now_);
  if (admission == SimulatedUpstream::Admission::Accepted) {
    StartQueuedRequests(attempt.upstream_);
    return;
  }
  --outstanding_[attempt.upstream_];
  AttemptReport report;
  if (admission == SimulatedUpstream::Admission::Failed) {
    report.outcome_ = Outcome::Answered;
    report.status_ = 500;
    report.load_ = LoadReport{ 1 };
    SendResponse(aAttempt, report, kImmediateAnswerDelay);
  } else if (admission == SimulatedUpstream::Admission::Shed) {
    report.outcome_ = Outcome::NotRun;
    report.failure_ = AttemptFailure::Refused;
    report.status_ = 503;
    SendResponse(aAttempt, report, kImmediateAnswerDelay);
  } else if (admission == SimulatedUpstream::Admission::Unreachable) {
    report.outcome_ = Outcome::NotRun;
    report.failure_ = AttemptFailure::ConnectFailed;
    SendResponse(aAttempt, report, kConnectTimeout);
  }
}

void
Simulation::SendResponse(std::uint64_t aAttempt, AttemptReport aReport, Duration aDelay)
{
  Attempt& attempt = attempts_.at(aAttempt);
  if (attempt.ended_) {
    attempts_.erase(aAttempt);
    return;
  }
  aReport.draining_ = upstreams_[attempt.upstream_].HasFault(FaultKind::Draining);
  attempt.report_ = aReport;
  events_.Push(now_ + aDelay + OneWayLatency(attempt.instance_, attempt.upstream_),
               Event::Kind::ResponseReachesInstance,
               aAttempt);
}

void
Simulation::StartQueuedRequests(unsigned aUpstream)
{
  while (const auto started = upstreams_[aUpstream].StartNext(now_)) {
    const auto& [request, serviceTime] = *started;
    Attempt& attempt = attempts_.at(request.attemptId_);
    attempt.started_ = true;
    if (const auto call = calls_.find(attempt.callId_); call != calls_.end()) {
      const bool atMostOnce = call->second.info_.repeatability_ == Repeatability::AtMostOnce;
      statistics_.atMostOnceDuplicates_ += ++call->second.startCount_ > 1 && atMostOnce ? 1 : 0;
    }
    events_.Push(now_ + serviceTime, Event::Kind::ServiceCompletes, request.attemptId_);
  }
}

void
Simulation::OnServiceCompleted(std::uint64_t aAttempt)
{
  const unsigned index = attempts_.at(aAttempt).upstream_;
  SimulatedUpstream& upstream = upstreams_[index];
  upstream.ReleaseSlot();
  --outstanding_[index];
  // Responses from a lost zone do not arrive.
  if (!upstream.HasFault(FaultKind::ZoneLoss)) {
    AttemptReport report;
    report.outcome_ = Outcome::Answered;
    report.status_ = 200;
    if (const auto load = upstream.ReportInFlight(true, now_)) {
      report.load_ = LoadReport{ *load };
    }
    SendResponse(aAttempt, report, Duration(0));
  }
  StartQueuedRequests(index);
}

void
Simulation::SendProbes(unsigned aInstance)
{
  Instance& instance = instances_[aInstance];
  while (const auto upstream = instance.balancer_->NextProbe(now_)) {
    const std::uint64_t id = nextId_++;
    const auto index = static_cast<unsigned>(*upstream);
    probes_[id] = { aInstance, index, now_, std::nullopt };
    statistics_.probes_ += IsPastWarmUp() ? 1 : 0;
    events_.Push(now_ + OneWayLatency(aInstance, index), Event::Kind::ProbeReachesUpstream, id);
  }
}

void
Simulation::OnProbeAtUpstream(std::uint64_t aProbe)
{
  Probe& probe = probes_.at(aProbe);
  SimulatedUpstream& upstream = upstreams_[probe.upstream_];
  const bool unreachable = upstream.HasFault(FaultKind::ZoneLoss);
  if (const auto load = unreachable ? std::nullopt : upstream.ReportInFlight(false, now_)) {
    probe.load_ = LoadReport{ *load };
  }
  const Duration wait = unreachable ? kConnectTimeout : Duration(0);
  events_.Push(now_ + wait + OneWayLatency(probe.instance_, probe.upstream_),
               Event::Kind::ProbeReplyReachesInstance,
               aProbe);
}

void
Simulation::OnProbeReply(std::uint64_t aProbe)
{
  const auto found = probes_.find(aProbe);
  const Probe probe = found->second;
  probes_.erase(found);
  instances_[probe.instance_].balancer_->OnProbeEnded(
    UpstreamHandle{ probe.upstream_ }, probe.load_, now_ - probe.sentAt_, now_);
  ReleaseQueued(probe.instance_);
}

} // namespace boragepier::bench
