#include "testing/bench/simulation.h"

#include <algorithm>

#include "testing/bench/work_times.h"

namespace boragepier::bench {

namespace {

constexpr Duration kBurstPeriod = std::chrono::seconds(1);
constexpr Duration kBurstLength = std::chrono::milliseconds(100);

} // namespace

Simulation::Simulation(Scenario aScenario)
  : scenario_(std::move(aScenario))
  , arrivals_(scenario_.seed_, 1)
  , work_(scenario_.seed_, 2)
  , choices_(scenario_.seed_, 3)
  , end_(start_ + scenario_.length_)
{
  MakeInstances();
  ScheduleFaults();
}

Figures
Simulation::Run()
{
  ScheduleArrival();
  // Calls that arrived before the end run to their own end.
  while (!events_.Empty()) {
    const Event event = events_.Pop();
    now_ = event.time_;
    Handle(event);
  }
  const double seconds = ToMilliseconds(scenario_.length_ - scenario_.warmUp_) / 1000;
  SetPercentiles(figures_, interactive_);
  figures_.interactiveP99Ms_ = figures_.p99Ms_;
  SetPercentiles(figures_, latencies_);
  figures_.goodput_ = static_cast<double>(figures_.answered_) / seconds / scenario_.Capacity();
  figures_.probesPerSecond_ =
    static_cast<double>(figures_.probes_) / seconds / scenario_.upstreams_;
  return figures_;
}

void
Simulation::Handle(const Event& aEvent)
{
  const std::uint64_t subject = aEvent.subject_;
  switch (aEvent.kind_) {
    case Event::Kind::Arrival:
      return OnArrival();
    case Event::Kind::ReachUpstream:
      return OnReachUpstream(subject);
    case Event::Kind::ServiceEnd:
      return OnServiceEnd(subject);
    case Event::Kind::ReachInstance:
      if (const auto found = attempts_.find(subject); found != attempts_.end()) {
        EndAttempt(subject, found->second.report_);
      }
      return;
    case Event::Kind::CancelUpstream: {
      const auto found = attempts_.find(subject);
      if (found != attempts_.end() && upstreams_[found->second.upstream_].Cancel(subject)) {
        --committed_[found->second.upstream_];
        attempts_.erase(found);
      }
      return;
    }
    case Event::Kind::AttemptTimeout:
      return OnAttemptTimeout(subject);
    case Event::Kind::HedgeTimer:
      return OnHedgeTimer(subject);
    case Event::Kind::CallDeadline:
      return OnCallDeadline(subject);
    case Event::Kind::ReleaseTimer:
      if (instances_[subject].nextRelease_ == now_) {
        instances_[subject].nextRelease_ = MonotonicTime::max();
        ReleaseQueued(static_cast<unsigned>(subject));
      }
      return;
    case Event::Kind::ProbeReach:
      return OnProbeReach(subject);
    case Event::Kind::ProbeReturn:
      return OnProbeReturn(subject);
    case Event::Kind::FaultStep:
      return StepFaults();
  }
}

void
Simulation::ScheduleArrival()
{
  double rate = scenario_.load_ * scenario_.Capacity() / 1000; // calls per ms
  if (scenario_.burstFactor_ > 1) {
    const double share = ToMilliseconds(kBurstLength) / ToMilliseconds(kBurstPeriod);
    const bool burst = (now_ - start_) % kBurstPeriod < kBurstLength;
    rate *= burst ? scenario_.burstFactor_ : (1 - share * scenario_.burstFactor_) / (1 - share);
  }
  const MonotonicTime next = now_ + FromMilliseconds(Exponential(arrivals_, 1 / rate));
  if (next < end_) {
    events_.Push(next, Event::Kind::Arrival, 0);
  }
}

unsigned
Simulation::PickInstance()
{
  const double noisy = scenario_.noisyFactor_;
  const double position = UniformOpen(arrivals_) * (noisy - 1 + scenario_.instances_);
  auto instance = position <= noisy ? 0 : static_cast<unsigned>(position - noisy) + 1;
  instance = std::min(instance, scenario_.instances_ - 1);
  while (instances_[instance].lost_) {
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
  call.workMs_ = DrawWork(work_, scenario_.workKind_, scenario_.workMs_);
  call.counted_ = Warm();
  call.info_.id_ = id;
  call.info_.arrival_ = now_;
  call.info_.deadline_ = now_ + scenario_.deadline_;
  if (UniformOpen(arrivals_) <= scenario_.atMostOnceShare_) {
    call.info_.repeatability_ = Repeatability::AtMostOnce;
  }
  if (UniformOpen(arrivals_) <= scenario_.backgroundShare_) {
    call.info_.trafficClass_ = TrafficClass::Background;
  }
  ++figures_.allCalls_;
  figures_.calls_ += call.counted_ ? 1 : 0;
  events_.Push(call.info_.deadline_, Event::Kind::CallDeadline, id);
  ScheduleArrival();
  SubmitCall(id);
}

void
Simulation::SubmitCall(std::uint64_t aCall)
{
  const Call& call = calls_.at(aCall);
  if (scenario_.chooser_.central_) {
    SendAttempt(aCall, CentralChoice(call), false);
    return;
  }
  const unsigned instance = call.instance_;
  TakeDecision(aCall, instances_[instance].balancer_->Submit(call.info_, now_));
  SendProbes(instance);
  ArmReleaseTimer(instance);
}

void
Simulation::TakeDecision(std::uint64_t aCall, const RoutingDecision& aDecision)
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
  attempt.call_ = aCall;
  attempt.upstream_ = aUpstream;
  attempt.instance_ = call.instance_;
  attempt.sent_ = now_;
  attempt.hedge_ = aHedge;
  // At-most-once calls use only connections that are proven alive.
  if (instance.silent_[aUpstream] > 0 && call.info_.repeatability_ == Repeatability::Repeatable) {
    --instance.silent_[aUpstream];
    attempt.silent_ = true;
  }
  call.open_.push_back(id);
  ++committed_[aUpstream];
  figures_.attempts_ += call.counted_ ? 1 : 0;
  figures_.hedges_ += call.counted_ && aHedge ? 1 : 0;
  figures_.allExtra_ += first ? 0 : 1;
  CheckLateWork(instance, aUpstream);
  events_.Push(now_ + Trip(call.instance_, aUpstream), Event::Kind::ReachUpstream, id);
  if (scenario_.chooser_.central_) {
    return;
  }
  const Duration limit = instance.balancer_->AttemptTimeout(call.info_, now_);
  events_.Push(now_ + limit, Event::Kind::AttemptTimeout, id);
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
  const std::uint64_t callId = attempt.call_;
  const unsigned instanceIndex = attempt.instance_;
  aReport.upstream_ = UpstreamHandle{ attempt.upstream_ };
  aReport.latency_ = now_ - attempt.sent_;
  Instance& instance = instances_[instanceIndex];
  if (aReport.draining_ && instance.knewLeaving_[attempt.upstream_] == MonotonicTime::max()) {
    instance.knewLeaving_[attempt.upstream_] = now_;
  }
  if (aReport.failure_ == AttemptFailure::Timeout) {
    // The pipeline closes all connections of the same age.
    instance.silent_[attempt.upstream_] = 0;
  }
  if (aReport.failure_ != AttemptFailure::Cancelled &&
      aReport.failure_ != AttemptFailure::Timeout) {
    attempts_.erase(aAttempt);
  }
  std::erase(calls_.at(callId).open_, aAttempt);
  if (!scenario_.chooser_.central_) {
    instance.balancer_->OnAttemptEnded(aReport, now_);
  }
  Continue(callId, aReport);
  if (!scenario_.chooser_.central_) {
    ReleaseQueued(instanceIndex);
  }
}

void
Simulation::Continue(std::uint64_t aCall, const AttemptReport& aReport)
{
  Call& call = calls_.at(aCall);
  if (call.done_) {
    if (call.open_.empty()) {
      calls_.erase(aCall);
    }
    return;
  }
  if (aReport.failure_ == AttemptFailure::None && aReport.status_ < 500) {
    FinishCall(aCall, true);
    return;
  }
  if (!call.open_.empty()) {
    return; // the other attempt may still bring an answer
  }
  const bool retry =
    !scenario_.chooser_.central_ &&
    instances_[call.instance_].balancer_->DecideRetry(call.info_, aReport, now_).allowed_;
  if (!retry) {
    FinishCall(aCall, false);
    return;
  }
  figures_.retries_ += call.counted_ ? 1 : 0;
  SubmitCall(aCall);
}

void
Simulation::FinishCall(std::uint64_t aCall, bool aGood)
{
  Call& call = calls_.at(aCall);
  call.done_ = true;
  const double latencyMs = ToMilliseconds(now_ - call.info_.arrival_);
  if (call.counted_ && aGood) {
    ++figures_.answered_;
    latencies_.push_back(static_cast<float>(latencyMs));
    if (call.info_.trafficClass_ == TrafficClass::Interactive) {
      interactive_.push_back(static_cast<float>(latencyMs));
    }
    figures_.checksum_ += latencyMs;
  } else if (call.counted_) {
    auto& errors = call.info_.repeatability_ == Repeatability::Repeatable ? figures_.errors_
                                                                          : figures_.onceErrors_;
    ++errors;
  }
  const std::vector<std::uint64_t> losers = call.open_;
  if (losers.empty()) {
    calls_.erase(aCall);
    return;
  }
  for (const std::uint64_t loser : losers) {
    const Attempt& attempt = attempts_.at(loser);
    const Duration trip = Trip(attempt.instance_, attempt.upstream_);
    events_.Push(now_ + trip, Event::Kind::CancelUpstream, loser);
    AttemptReport report;
    report.failure_ = AttemptFailure::Cancelled;
    EndAttempt(loser, report);
  }
}

void
Simulation::Refuse(std::uint64_t aCall, RefusalReason aReason)
{
  if (calls_.at(aCall).counted_) {
    ++figures_.refusals_.at(static_cast<std::size_t>(aReason));
  }
  FinishCall(aCall, false);
}

void
Simulation::ReleaseQueued(unsigned aInstance)
{
  for (const ReleasedCall& released : instances_[aInstance].balancer_->Release(now_)) {
    TakeDecision(released.callId_, released.decision_);
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
  const Duration trip = Trip(attempt.instance_, attempt.upstream_);
  events_.Push(now_ + trip, Event::Kind::CancelUpstream, aAttempt);
  AttemptReport report;
  report.failure_ = AttemptFailure::Timeout;
  EndAttempt(aAttempt, report);
}

void
Simulation::OnHedgeTimer(std::uint64_t aCall)
{
  const auto found = calls_.find(aCall);
  if (found == calls_.end() || found->second.done_ || found->second.open_.size() != 1) {
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

Figures
RunScenario(const Scenario& aScenario)
{
  return Simulation(aScenario).Run();
}

} // namespace boragepier::bench
