#include "testing/bench/simulation.h"

#include <algorithm>

#include "testing/bench/service_times.h"

namespace boragepier::bench {

namespace {

constexpr Duration kBurstPeriod = std::chrono::seconds(1);
constexpr Duration kBurstLength = std::chrono::milliseconds(100);

} // namespace

Simulation::Simulation(Scenario aScenario)
  : scenario_(std::move(aScenario))
  , arrivalRandom_(scenario_.seed_, 1)
  , serviceTimeRandom_(scenario_.seed_, 2)
  , tieBreakRandom_(scenario_.seed_, 3)
  , end_(start_ + scenario_.duration_)
{
  MakeUpstreamsAndInstances();
  ScheduleFaults();
}

RunStatistics
Simulation::Run()
{
  ScheduleArrival();
  // Arrivals stop at end_; the calls in progress then run to completion.
  while (!events_.Empty()) {
    const Event event = events_.Pop();
    now_ = event.time_;
    Handle(event);
  }
  const double seconds = ToMilliseconds(scenario_.duration_ - scenario_.warmUp_) / 1000;
  ComputePercentiles(statistics_, interactiveLatenciesMs_);
  statistics_.interactiveP99Ms_ = statistics_.p99Ms_;
  ComputePercentiles(statistics_, latenciesMs_);
  statistics_.goodput_ =
    static_cast<double>(statistics_.answered_) / seconds / scenario_.CapacityPerSecond();
  statistics_.probesPerUpstreamSecond_ =
    static_cast<double>(statistics_.probes_) / seconds / scenario_.upstreams_;
  return statistics_;
}

void
Simulation::Handle(const Event& aEvent)
{
  const std::uint64_t subjectId = aEvent.subjectId_;
  switch (aEvent.kind_) {
    case Event::Kind::Arrival:
      return OnArrival();
    case Event::Kind::RequestReachesUpstream:
      return OnRequestAtUpstream(subjectId);
    case Event::Kind::ServiceCompletes:
      return OnServiceCompleted(subjectId);
    case Event::Kind::ResponseReachesInstance:
      if (const auto found = attempts_.find(subjectId); found != attempts_.end()) {
        EndAttempt(subjectId, found->second.report_);
      }
      return;
    case Event::Kind::CancellationReachesUpstream: {
      const auto found = attempts_.find(subjectId);
      if (found != attempts_.end() && upstreams_[found->second.upstream_].Cancel(subjectId)) {
        --outstanding_[found->second.upstream_];
        attempts_.erase(found);
      }
      return;
    }
    case Event::Kind::AttemptTimeout:
      return OnAttemptTimeout(subjectId);
    case Event::Kind::HedgeTimer:
      return OnHedgeTimer(subjectId);
    case Event::Kind::CallDeadline:
      return OnCallDeadline(subjectId);
    case Event::Kind::ReleaseTimer:
      if (instances_[subjectId].nextRelease_ == now_) {
        instances_[subjectId].nextRelease_ = MonotonicTime::max();
        ReleaseQueued(static_cast<unsigned>(subjectId));
      }
      return;
    case Event::Kind::ProbeReachesUpstream:
      return OnProbeAtUpstream(subjectId);
    case Event::Kind::ProbeReplyReachesInstance:
      return OnProbeReply(subjectId);
    case Event::Kind::FaultTransition:
      return ApplyFaultTransitions();
  }
}

void
Simulation::ScheduleArrival()
{
  double ratePerMs = scenario_.load_ * scenario_.CapacityPerSecond() / 1000;
  if (scenario_.burstFactor_ > 1) {
    const double burstShare = ToMilliseconds(kBurstLength) / ToMilliseconds(kBurstPeriod);
    const bool inBurst = (now_ - start_) % kBurstPeriod < kBurstLength;
    ratePerMs *= inBurst ? scenario_.burstFactor_
                         : (1 - burstShare * scenario_.burstFactor_) / (1 - burstShare);
  }
  const MonotonicTime next =
    now_ + FromMilliseconds(DrawExponential(arrivalRandom_, 1 / ratePerMs));
  if (next < end_) {
    events_.Push(next, Event::Kind::Arrival, 0);
  }
}

unsigned
Simulation::PickInstance()
{
  const double noisyWeight = scenario_.noisyInstanceFactor_;
  const double position =
    UniformPositive(arrivalRandom_) * (noisyWeight - 1 + scenario_.instances_);
  auto instance = position <= noisyWeight ? 0 : static_cast<unsigned>(position - noisyWeight) + 1;
  instance = std::min(instance, scenario_.instances_ - 1);
  while (instances_[instance].unreachable_) {
    instance = (instance + 1) % scenario_.instances_;
  }
  return instance;
}

void
Simulation::OnArrival()
{
  const std::uint64_t id = nextId_++;
  Call& call = calls_[id];
  call.instance_ = PickInstance();
  call.serviceTimeMs_ = DrawServiceTimeMs(
    serviceTimeRandom_, scenario_.serviceTimeDistribution_, scenario_.serviceTimeMs_);
  call.counted_ = IsPastWarmUp();
  call.info_.id_ = id;
  call.info_.arrival_ = now_;
  call.info_.deadline_ = now_ + scenario_.deadline_;
  if (UniformPositive(arrivalRandom_) <= scenario_.atMostOnceShare_) {
    call.info_.repeatability_ = Repeatability::AtMostOnce;
  }
  if (UniformPositive(arrivalRandom_) <= scenario_.backgroundShare_) {
    call.info_.trafficClass_ = TrafficClass::Background;
  }
  ++statistics_.callsWithWarmUp_;
  statistics_.calls_ += call.counted_ ? 1 : 0;
  events_.Push(call.info_.deadline_, Event::Kind::CallDeadline, id);
  ScheduleArrival();
  SubmitCall(id);
}

void
Simulation::SubmitCall(std::uint64_t aCall)
{
  const Call& call = calls_.at(aCall);
  if (scenario_.selection_.usesGlobalState_) {
    SendAttempt(aCall, ChooseByGlobalState(call), false);
    return;
  }
  const unsigned instance = call.instance_;
  ApplyChoice(aCall, instances_[instance].balancer_->Submit(call.info_, now_));
  SendProbes(instance);
  ArmReleaseTimer(instance);
}

void
Simulation::ApplyChoice(std::uint64_t aCall, const RoutingDecision& aDecision)
{
  Call& call = calls_.at(aCall);
  call.queued_ = aDecision.kind_ == RoutingDecision::Kind::Queued;
  if (aDecision.kind_ == RoutingDecision::Kind::Dispatch) {
    SendAttempt(aCall, static_cast<unsigned>(aDecision.upstream_), false);
  } else if (aDecision.kind_ == RoutingDecision::Kind::Refuse) {
    Refuse(aCall, aDecision.reason_);
  }
}

void
Simulation::SendAttempt(std::uint64_t aCall, unsigned aUpstream, bool aHedge)
{
  Call& call = calls_.at(aCall);
  Instance& instance = instances_[call.instance_];
  const bool first = call.info_.triedUpstreams_.empty();
  call.info_.triedUpstreams_.push_back(UpstreamHandle{ aUpstream });
  const std::uint64_t id = nextId_++;
  Attempt& attempt = attempts_[id];
  attempt.callId_ = aCall;
  attempt.upstream_ = aUpstream;
  attempt.instance_ = call.instance_;
  attempt.sentAt_ = now_;
  attempt.hedge_ = aHedge;
  // An instance sends at-most-once calls only on connections that it has just verified, so a silent
  // connection affects repeatable calls only.
  if (instance.silentConnections_[aUpstream] > 0 &&
      call.info_.repeatability_ == Repeatability::Repeatable) {
    --instance.silentConnections_[aUpstream];
    attempt.onSilentConnection_ = true;
  }
  call.openAttempts_.push_back(id);
  ++outstanding_[aUpstream];
  statistics_.attempts_ += call.counted_ ? 1 : 0;
  statistics_.hedges_ += call.counted_ && aHedge ? 1 : 0;
  statistics_.extraAttemptsWithWarmUp_ += first ? 0 : 1;
  CountAttemptAtLeavingUpstream(instance, aUpstream);
  events_.Push(
    now_ + OneWayLatency(call.instance_, aUpstream), Event::Kind::RequestReachesUpstream, id);
  if (scenario_.selection_.usesGlobalState_) {
    return;
  }
  const Duration timeout = instance.balancer_->AttemptTimeout(call.info_, now_);
  events_.Push(now_ + timeout, Event::Kind::AttemptTimeout, id);
  if (!first) {
    return;
  }
  if (const auto delay = instance.balancer_->HedgeDelay(call.info_, now_)) {
    events_.Push(now_ + *delay, Event::Kind::HedgeTimer, aCall);
  }
}

void
Simulation::EndAttempt(std::uint64_t aAttempt, AttemptReport aReport)
{
  Attempt& attempt = attempts_.at(aAttempt);
  if (attempt.ended_) {
    return;
  }
  attempt.ended_ = true;
  const std::uint64_t callId = attempt.callId_;
  const unsigned instanceIndex = attempt.instance_;
  aReport.upstream_ = UpstreamHandle{ attempt.upstream_ };
  aReport.latency_ = now_ - attempt.sentAt_;
  Instance& instance = instances_[instanceIndex];
  if (aReport.draining_ && instance.learnedLeavingAt_[attempt.upstream_] == MonotonicTime::max()) {
    instance.learnedLeavingAt_[attempt.upstream_] = now_;
  }
  if (aReport.failure_ == AttemptFailure::Timeout) {
    // After a timeout, an instance closes all connections of the same age to that upstream, so the
    // other silent ones go too.
    instance.silentConnections_[attempt.upstream_] = 0;
  }
  if (aReport.failure_ != AttemptFailure::Cancelled &&
      aReport.failure_ != AttemptFailure::Timeout) {
    attempts_.erase(aAttempt);
  }
  std::erase(calls_.at(callId).openAttempts_, aAttempt);
  if (!scenario_.selection_.usesGlobalState_) {
    instance.balancer_->OnAttemptEnded(aReport, now_);
  }
  FinishOrRetryCall(callId, aReport);
  if (!scenario_.selection_.usesGlobalState_) {
    ReleaseQueued(instanceIndex);
  }
}

void
Simulation::FinishOrRetryCall(std::uint64_t aCall, const AttemptReport& aReport)
{
  Call& call = calls_.at(aCall);
  if (call.done_) {
    if (call.openAttempts_.empty()) {
      calls_.erase(aCall);
    }
    return;
  }
  if (aReport.failure_ == AttemptFailure::None && aReport.status_ < 500) {
    FinishCall(aCall, true);
    return;
  }
  if (!call.openAttempts_.empty()) {
    return; // the hedge or the original attempt may still succeed
  }
  const bool retry =
    !scenario_.selection_.usesGlobalState_ &&
    instances_[call.instance_].balancer_->DecideRetry(call.info_, aReport, now_).allowed_;
  if (!retry) {
    FinishCall(aCall, false);
    return;
  }
  statistics_.retries_ += call.counted_ ? 1 : 0;
  SubmitCall(aCall);
}

void
Simulation::FinishCall(std::uint64_t aCall, bool aSuccess)
{
  Call& call = calls_.at(aCall);
  call.done_ = true;
  const double latencyMs = ToMilliseconds(now_ - call.info_.arrival_);
  if (call.counted_ && aSuccess) {
    ++statistics_.answered_;
    latenciesMs_.push_back(static_cast<float>(latencyMs));
    if (call.info_.trafficClass_ == TrafficClass::Interactive) {
      interactiveLatenciesMs_.push_back(static_cast<float>(latencyMs));
    }
    statistics_.checksum_ += latencyMs;
  } else if (call.counted_) {
    auto& errors = call.info_.repeatability_ == Repeatability::Repeatable
                     ? statistics_.errors_
                     : statistics_.atMostOnceErrors_;
    ++errors;
  }
  const std::vector<std::uint64_t> abandonedAttempts = call.openAttempts_;
  if (abandonedAttempts.empty()) {
    calls_.erase(aCall);
    return;
  }
  for (const std::uint64_t abandonedAttempt : abandonedAttempts) {
    const Attempt& attempt = attempts_.at(abandonedAttempt);
    const Duration oneWayLatency = OneWayLatency(attempt.instance_, attempt.upstream_);
    events_.Push(now_ + oneWayLatency, Event::Kind::CancellationReachesUpstream, abandonedAttempt);
    AttemptReport report;
    report.failure_ = AttemptFailure::Cancelled;
    EndAttempt(abandonedAttempt, report);
  }
}

void
Simulation::Refuse(std::uint64_t aCall, RefusalReason aReason)
{
  if (calls_.at(aCall).counted_) {
    ++statistics_.refusals_.at(static_cast<std::size_t>(aReason));
  }
  FinishCall(aCall, false);
}

void
Simulation::ReleaseQueued(unsigned aInstance)
{
  for (const ReleasedCall& released : instances_[aInstance].balancer_->Release(now_)) {
    ApplyChoice(released.callId_, released.decision_);
  }
  ArmReleaseTimer(aInstance);
}

void
Simulation::ArmReleaseTimer(unsigned aInstance)
{
  Instance& instance = instances_[aInstance];
  if (const auto next = instance.balancer_->NextRelease(); next && *next < instance.nextRelease_) {
    instance.nextRelease_ = std::max(*next, now_ + std::chrono::microseconds(1));
    events_.Push(instance.nextRelease_, Event::Kind::ReleaseTimer, aInstance);
  }
}

void
Simulation::OnAttemptTimeout(std::uint64_t aAttempt)
{
  const auto found = attempts_.find(aAttempt);
  if (found == attempts_.end() || found->second.ended_) {
    return;
  }
  const Attempt& attempt = found->second;
  const Duration oneWayLatency = OneWayLatency(attempt.instance_, attempt.upstream_);
  events_.Push(now_ + oneWayLatency, Event::Kind::CancellationReachesUpstream, aAttempt);
  AttemptReport report;
  report.failure_ = AttemptFailure::Timeout;
  EndAttempt(aAttempt, report);
}

void
Simulation::OnHedgeTimer(std::uint64_t aCall)
{
  const auto found = calls_.find(aCall);
  if (found == calls_.end() || found->second.done_ || found->second.openAttempts_.size() != 1) {
    return;
  }
  Instance& instance = instances_[found->second.instance_];
  if (const auto upstream = instance.balancer_->DecideHedge(found->second.info_, now_)) {
    SendAttempt(aCall, static_cast<unsigned>(*upstream), true);
  }
}

void
Simulation::OnCallDeadline(std::uint64_t aCall)
{
  const auto found = calls_.find(aCall);
  if (found == calls_.end() || found->second.done_) {
    return;
  }
  if (found->second.queued_) {
    instances_[found->second.instance_].balancer_->CancelQueued(aCall, now_);
  }
  Refuse(aCall, RefusalReason::DeadlineExpired);
}

RunStatistics
RunScenario(const Scenario& aScenario)
{
  return Simulation(aScenario).Run();
}

} // namespace boragepier::bench
