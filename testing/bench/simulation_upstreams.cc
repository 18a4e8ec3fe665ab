#include <algorithm>

#include "testing/bench/simulation.h"

namespace boragepier::bench {

namespace {

// Time until a connection attempt to a lost host is given up.
constexpr Duration kConnectLimit = std::chrono::milliseconds(50);
constexpr Duration kFailDelay = std::chrono::microseconds(100);
// A sign of leaving must take effect within this time (R5).
constexpr Duration kLeavingLimit = std::chrono::seconds(3);

} // namespace

Duration
Simulation::Trip(unsigned aInstance, unsigned aUpstream) const
{
  const bool local = aInstance % scenario_.zones_ == aUpstream % scenario_.zones_;
  return FromMilliseconds(scenario_.tripMs_ + (local ? 0 : scenario_.zoneTripMs_));
}

unsigned
Simulation::CentralChoice(const Call& aCall)
{
  unsigned best = 0;
  double bestMs = 0;
  unsigned ties = 0;
  for (unsigned i = 0; i < scenario_.upstreams_; ++i) {
    const unsigned held = committed_[i] + 1;
    const double turns =
      1 + (held > scenario_.slots_ ? static_cast<double>(held - scenario_.slots_) / scenario_.slots_
                                   : 0);
    const double ms =
      turns * scenario_.workMs_ / scenario_.Speed(i) + 2 * ToMilliseconds(Trip(aCall.instance_, i));
    if (ties == 0 || ms < bestMs) {
      best = i;
      bestMs = ms;
      ties = 1;
    } else if (ms == bestMs && choices_(++ties) == 0) {
      best = i;
    }
  }
  return best;
}

void
Simulation::CheckLateWork(const Instance& aInstance, unsigned aUpstream)
{
  const MonotonicTime knew = aInstance.knewLeaving_[aUpstream];
  if (knew != MonotonicTime::max() && now_ > knew + kLeavingLimit) {
    ++figures_.lateWork_;
  }
}

void
Simulation::OnReachUpstream(std::uint64_t aAttempt)
{
  const auto found = attempts_.find(aAttempt);
  if (found == attempts_.end()) {
    return;
  }
  Attempt& attempt = found->second;
  UpstreamFake& upstream = upstreams_[attempt.upstream_];
  if (attempt.silent_) {
    --committed_[attempt.upstream_];
    return;
  }
  const auto call = calls_.find(attempt.call_);
  const double workMs = call == calls_.end() ? scenario_.workMs_ : call->second.workMs_;
  const auto admission = upstream.Arrive({ aAttempt, workMs }, now_);
  if (admission == UpstreamFake::Admission::Accepted) {
    StartWork(attempt.upstream_);
    return;
  }
  --committed_[attempt.upstream_];
  AttemptReport report;
  if (admission == UpstreamFake::Admission::Failed) {
    report.outcome_ = Outcome::Answered;
    report.status_ = 500;
    report.load_ = LoadReport{ 1 };
    Answer(aAttempt, report, kFailDelay);
  } else if (admission == UpstreamFake::Admission::Shed) {
    report.outcome_ = Outcome::NotRun;
    report.failure_ = AttemptFailure::Refused;
    report.status_ = 503;
    Answer(aAttempt, report, kFailDelay);
  } else if (admission == UpstreamFake::Admission::NoHost) {
    report.outcome_ = Outcome::NotRun;
    report.failure_ = AttemptFailure::ConnectFailed;
    Answer(aAttempt, report, kConnectLimit);
  }
}

void
Simulation::Answer(std::uint64_t aAttempt, AttemptReport aReport, Duration aDelay)
{
  Attempt& attempt = attempts_.at(aAttempt);
  if (attempt.ended_) {
    attempts_.erase(aAttempt);
    return;
  }
  aReport.draining_ = upstreams_[attempt.upstream_].Has(FaultKind::Draining);
  attempt.report_ = aReport;
  events_.Push(now_ + aDelay + Trip(attempt.instance_, attempt.upstream_),
               Event::Kind::ReachInstance,
               aAttempt);
}

void
Simulation::StartWork(unsigned aUpstream)
{
  while (const auto started = upstreams_[aUpstream].Start(now_)) {
    const auto& [work, length] = *started;
    Attempt& attempt = attempts_.at(work.attempt_);
    attempt.started_ = true;
    if (const auto call = calls_.find(attempt.call_); call != calls_.end()) {
      const bool once = call->second.info_.repeatability_ == Repeatability::AtMostOnce;
      figures_.runTwice_ += ++call->second.runs_ > 1 && once ? 1 : 0;
    }
    events_.Push(now_ + length, Event::Kind::ServiceEnd, work.attempt_);
  }
}

void
Simulation::OnServiceEnd(std::uint64_t aAttempt)
{
  const unsigned index = attempts_.at(aAttempt).upstream_;
  UpstreamFake& upstream = upstreams_[index];
  upstream.Finish();
  --committed_[index];
  // A request in progress when its zone is lost brings no answer.
  if (!upstream.Has(FaultKind::ZoneLoss)) {
    AttemptReport report;
    report.outcome_ = Outcome::Answered;
    report.status_ = 200;
    if (const auto load = upstream.Report(true, now_)) {
      report.load_ = LoadReport{ *load };
    }
    Answer(aAttempt, report, Duration(0));
  }
  StartWork(index);
}

void
Simulation::SendProbes(unsigned aInstance)
{
  Instance& instance = instances_[aInstance];
  while (const auto upstream = instance.balancer_->NextProbe(now_)) {
    const std::uint64_t id = nextId_++;
    const auto index = static_cast<unsigned>(*upstream);
    probes_[id] = { aInstance, index, now_, std::nullopt };
    figures_.probes_ += Warm() ? 1 : 0;
    events_.Push(now_ + Trip(aInstance, index), Event::Kind::ProbeReach, id);
  }
}

void
Simulation::OnProbeReach(std::uint64_t aProbe)
{
  Probe& probe = probes_.at(aProbe);
  UpstreamFake& upstream = upstreams_[probe.upstream_];
  const bool lost = upstream.Has(FaultKind::ZoneLoss);
  if (const auto load = lost ? std::nullopt : upstream.Report(false, now_)) {
    probe.load_ = LoadReport{ *load };
  }
  const Duration wait = lost ? kConnectLimit : Duration(0);
  events_.Push(
    now_ + wait + Trip(probe.instance_, probe.upstream_), Event::Kind::ProbeReturn, aProbe);
}

void
Simulation::OnProbeReturn(std::uint64_t aProbe)
{
  const auto found = probes_.find(aProbe);
  const Probe probe = found->second;
  probes_.erase(found);
  instances_[probe.instance_].balancer_->OnProbeEnded(
    UpstreamHandle{ probe.upstream_ }, probe.load_, now_ - probe.sent_, now_);
  ReleaseQueued(probe.instance_);
}

} // namespace boragepier::bench
