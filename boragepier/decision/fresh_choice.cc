#include <algorithm>
#include <cmath>

#include "boragepier/decision/attempt_rules.h"
#include "boragepier/decision/fresh_balancer.h"

namespace boragepier {

namespace {

// A younger report describes the present load well enough to send a request.
constexpr Duration kFreshAge = std::chrono::milliseconds(40);
// Time in which the requests at an upstream change: about the duration of one.
constexpr double kOccupancyHoldMs = 150;
constexpr double kMeanInFlightWeight = 0.05;
// A younger report of an upstream without a free slot is a sign of overload.
constexpr Duration kTakenAge = std::chrono::milliseconds(300);
// A younger report is not asked for again.
constexpr Duration kProbeAgainAge = std::chrono::milliseconds(8);
// Upstreams of the own zone, and of the others, that are probed for one request.
constexpr std::size_t kLocalProbes = 4;
constexpr std::size_t kRemoteProbes = 4;
// Probes are waited for this multiple of the mean round trip, within the limits below.
constexpr double kPatience = 3;
constexpr double kMinPatienceMs = 5;
constexpr double kMaxPatienceMs = 40;
// Waiting requests look for free slots again after this time.
constexpr Duration kPollInterval = std::chrono::milliseconds(25);
// A machine up to this slowness serves at its usual pace.
constexpr double kUsualSlowness = 1.6;
// Pace of an upstream that has just started, as a multiple of the usual duration.
constexpr double kColdSlowness = 2;
// An upstream whose requests fail with a higher probability is not taken before the others are
// known.
constexpr double kSoundFailureShare = 0.1;
// What speaks against an upstream, as shares of the time to the latency target: another zone, each
// megabyte of the request that is sent there, certain failure, and an upstream that calls itself
// unhealthy.
constexpr double kAwayCost = 0.1;
constexpr double kAwayCostPerMegabyte = 8;
constexpr double kMaxAwayCost = 0.9;
constexpr double kFailureCost = 3;
constexpr double kUnhealthyCost = 0.5;
constexpr double kFailedProbeCost = 2;
// Random part of the cost, as a share of the work, that spreads instances over equal upstreams.
constexpr double kJitter = 0.1;
// Preference of upstreams to which connections are open, as a share of the work.
constexpr double kPreferenceCost = 0.3;
// A running request is looked at again after this share of its work.
constexpr double kLookShare = 0.4;
constexpr double kMinLookMs = 20;
// A request that is out for this multiple of its expected time is taken for stuck.
constexpr double kStuckFactor = 2;
// Work that is assumed to be left at least, as a share of the whole.
constexpr double kMinLeft = 0.25;
// A request that would be late at a slow upstream waits for another one until the usual pace would
// leave no more than this multiple of the work.
constexpr double kStartMargin = 1.25;
// A slow upstream is good enough if the answer is expected within this share of the time left.
constexpr double kSafeShare = 0.8;
// A hedge is sent only if it is expected to answer in this share of what the first attempt still
// needs.
constexpr double kHedgeGain = 0.7;
// Time between two looks at a request whose probes are out.
constexpr Duration kHedgeLookAgain = std::chrono::milliseconds(10);
constexpr double kIntervalWeight = 0.2;
// After this many answered probes without a report the upstreams are taken not to report load.
constexpr unsigned kUnreportedProbes = 6;
// Limits of the time that a refused caller is told to wait.
constexpr double kMinRetryAfterMs = 100;
constexpr double kMaxRetryAfterMs = 5000;

double
TargetMs(const CallInfo& aCall)
{
  return std::max(1.0, ToMilliseconds(aCall.target_ - aCall.arrival_));
}

} // namespace

unsigned
FreshBalancer::ExpectedInFlight(const Upstream& aUpstream, MonotonicTime aNow) const
{
  // The older the report, the more the upstream is expected to be as busy as the others.
  const UpstreamBelief& belief = aUpstream.belief_;
  const auto age = belief.Age(aNow);
  const double known = age ? std::exp(-ToMilliseconds(*age) / kOccupancyHoldMs) : 0;
  const double expected = known * belief.InFlight() + (1 - known) * meanInFlight_;
  return std::max(belief.Own(), static_cast<unsigned>(std::lround(expected)));
}

FreshBalancer::Prospect
FreshBalancer::ProspectOf(std::uint32_t aIndex, const CallInfo& aCall, MonotonicTime aNow)
{
  const Upstream& upstream = upstreams_[aIndex];
  const UpstreamBelief& belief = upstream.belief_;
  const unsigned slots = std::max(1U, SlotsOf(upstream));
  const unsigned inFlight = ExpectedInFlight(upstream, aNow);
  const auto age = belief.Age(aNow);

  double slowness = pace_.MeanSlowness();
  if (age) {
    // The older the report, the more likely the pace has changed.
    const double weight = std::exp(-ToMilliseconds(*age) / (2 * MachinePace::kHoldMs));
    slowness = weight * belief.Report()->slowness_ + (1 - weight) * slowness;
  }
  if (upstream.endpoint_->warmUpEnd_ > aNow) {
    slowness *= kColdSlowness;
  }
  const double work = WorkMs(aCall);
  const double service = pace_.DurationMs(work * occupancy_.Factor(inFlight, slots), slowness);
  const double ahead = inFlight >= slots ? inFlight - slots + 1 : 0;

  Prospect prospect;
  prospect.index_ = aIndex;
  prospect.fresh_ = age && *age <= kFreshAge;
  prospect.freeSlot_ = inFlight < slots;
  prospect.mayQueue_ = inFlight <= slots;
  prospect.local_ = upstream.local_;
  const double failures = belief.FailureShare(aNow);
  const bool healthy = !age || belief.Report()->healthy_;
  prospect.taken_ = age && *age <= kTakenAge && !prospect.freeSlot_ && slowness <= kUsualSlowness;
  prospect.usualPace_ = slowness <= kUsualSlowness && failures <= kSoundFailureShare && healthy;
  prospect.answerMs_ = belief.RoundTripMs() + ahead * service / slots + service;
  double against = kFailureCost * failures + (healthy ? 0 : kUnhealthyCost) +
                   kFailedProbeCost * std::min(belief.FailedProbes(), 2U);
  if (!upstream.local_) {
    const double megabytes = static_cast<double>(aCall.bodyBytes_) / 1e6;
    against += std::min(kMaxAwayCost, kAwayCost + kAwayCostPerMegabyte * megabytes);
  }
  const double jitter = kJitter * static_cast<double>(random_(1000)) / 1000;
  prospect.cost_ = prospect.answerMs_ + against * TargetMs(aCall) +
                   (jitter + kPreferenceCost * upstream.preference_) * work;
  return prospect;
}

std::vector<FreshBalancer::Prospect>
FreshBalancer::Prospects(const CallInfo& aCall, MonotonicTime aNow)
{
  std::vector<Prospect> prospects;
  const auto collect = [&](std::span<const std::uint32_t> aIndices, bool aTriedToo) {
    for (const std::uint32_t index : aIndices) {
      if (TakesWork(upstreams_[index], aNow) && (aTriedToo || !WasTried(aCall, index))) {
        prospects.push_back(ProspectOf(index, aCall, aNow));
      }
    }
  };
  collect(scanned_, false);
  if (prospects.empty()) {
    collect(present_, false);
  }
  if (prospects.empty()) {
    collect(present_, true);
  }
  std::sort(prospects.begin(), prospects.end(), [](const Prospect& aLeft, const Prospect& aRight) {
    return aLeft.cost_ < aRight.cost_;
  });
  return prospects;
}

std::vector<std::uint32_t>
FreshBalancer::ProbeTargets(const CallInfo& aCall, bool aLocal, MonotonicTime aNow)
{
  std::vector<std::uint32_t> targets;
  const std::size_t limit = aLocal ? kLocalProbes : kRemoteProbes;
  for (const Prospect& prospect : Prospects(aCall, aNow)) {
    if (prospect.local_ == aLocal && targets.size() < limit) {
      targets.push_back(prospect.index_);
    }
  }
  return targets;
}

void
FreshBalancer::RequestProbe(std::uint32_t aIndex, MonotonicTime aNow)
{
  const UpstreamBelief& belief = upstreams_[aIndex].belief_;
  if (!reportsLoad_) {
    return;
  }
  const auto age = belief.Age(aNow);
  const bool wanted =
    std::find(wantedProbes_.begin(), wantedProbes_.end(), aIndex) != wantedProbes_.end();
  if (!wanted && !belief.ProbeInFlight() && (!age || *age > kProbeAgainAge) &&
      probeBudget_.TryTake(aNow)) {
    wantedProbes_.push_back(aIndex);
  }
}

void
FreshBalancer::BeginStage(Waiting& aWaiting, MonotonicTime aNow)
{
  const bool local = aWaiting.stage_ == Stage::New;
  aWaiting.awaited_.clear();
  double patienceMs = kMinPatienceMs;
  for (const std::uint32_t index : ProbeTargets(aWaiting.call_, local, aNow)) {
    RequestProbe(index, aNow);
    const UpstreamBelief& belief = upstreams_[index].belief_;
    const bool wanted =
      std::find(wantedProbes_.begin(), wantedProbes_.end(), index) != wantedProbes_.end();
    if ((wanted || belief.ProbeInFlight()) && belief.FailedProbes() == 0) {
      aWaiting.awaited_.push_back(index);
      patienceMs = std::max(patienceMs, kPatience * belief.RoundTripMs());
    }
  }
  aWaiting.stage_ = local ? Stage::LocalProbed : Stage::AllProbed;
  aWaiting.stageEnds_ = aWaiting.awaited_.empty()
                          ? aNow
                          : aNow + FromMilliseconds(std::min(patienceMs, kMaxPatienceMs));
}

bool
FreshBalancer::StageEnded(const Waiting& aWaiting, MonotonicTime aNow) const
{
  return aWaiting.awaited_.empty() || aNow >= aWaiting.stageEnds_;
}

const FreshBalancer::Prospect*
FreshBalancer::Pick(const Waiting& aWaiting,
                    std::span<const Prospect> aProspects,
                    MonotonicTime aNow) const
{
  const bool allKnown = aWaiting.stage_ == Stage::AllProbed && StageEnded(aWaiting, aNow);
  const bool localKnown = allKnown || (aWaiting.stage_ != Stage::New && StageEnded(aWaiting, aNow));
  for (const Prospect& prospect : aProspects) {
    if (prospect.fresh_ && prospect.freeSlot_ && prospect.usualPace_ &&
        (prospect.local_ || localKnown)) {
      return &prospect;
    }
  }
  if (!allKnown) {
    return nullptr;
  }
  const double leftMs = ToMilliseconds(aWaiting.call_.target_ - aNow);
  for (const Prospect& prospect : aProspects) {
    if (prospect.freeSlot_) {
      const bool late = prospect.answerMs_ > leftMs;
      const bool waits =
        MayWait(aWaiting, prospect, aNow) || (late && GivesWay(aWaiting, aProspects));
      return waits ? nullptr : &prospect;
    }
    // The queue of an upstream is worth it only for an answer in time: what waits here can still go
    // anywhere, or give way.
    if (prospect.mayQueue_ && prospect.answerMs_ <= kSafeShare * leftMs) {
      return &prospect;
    }
  }
  return nullptr;
}

bool
FreshBalancer::MayWait(const Waiting& aWaiting, const Prospect& aProspect, MonotonicTime aNow) const
{
  const CallInfo& call = aWaiting.call_;
  const double leftMs = ToMilliseconds(call.target_ - aNow);
  return reportsLoad_ && aProspect.answerMs_ > kSafeShare * leftMs && !IsLate(aWaiting, aNow);
}

bool
FreshBalancer::GivesWay(const Waiting& aWaiting, std::span<const Prospect> aProspects)
{
  // A request that starts on a slow machine takes a slot of the usual pace when the machine
  // recovers. While those are all taken, late answers would make further ones late.
  return aWaiting.call_.tried_.empty() &&
         std::any_of(aProspects.begin(), aProspects.end(), [](const Prospect& aProspect) {
           return aProspect.taken_;
         });
}

bool
FreshBalancer::IsLate(const Waiting& aWaiting, MonotonicTime aNow) const
{
  return aNow + FromMilliseconds(kStartMargin * WorkMs(aWaiting.call_)) >= aWaiting.call_.target_;
}

std::optional<Duration>
FreshBalancer::ExpectedWait(const CallInfo& aCall) const
{
  if (dispatchIntervalMs_ <= 0) {
    return std::nullopt;
  }
  const auto ahead = std::count_if(waiting_.begin(), waiting_.end(), [&](const Waiting& aWaiting) {
    return aWaiting.call_.rank_ <= aCall.rank_;
  });
  return FromMilliseconds(dispatchIntervalMs_ * static_cast<double>(ahead));
}

Choice
FreshBalancer::Refuse(RefusalReason aReason, Duration aRetryAfter)
{
  // Spread, so that callers refused together do not return together.
  const double spread = 0.75 + static_cast<double>(random_(500)) / 1000;
  const double ms =
    std::clamp(ToMilliseconds(aRetryAfter) * spread, kMinRetryAfterMs, kMaxRetryAfterMs);
  return { Choice::Kind::Refuse, {}, aReason, FromMilliseconds(ms) };
}

Choice
FreshBalancer::Dispatch(const Prospect& aProspect, const CallInfo& aCall, MonotonicTime aNow)
{
  UpstreamBelief& belief = upstreams_[aProspect.index_].belief_;
  const double slowness = belief.Report() ? belief.Report()->slowness_ : pace_.MeanSlowness();
  sent_.push_back({ aProspect.index_,
                    aCall.workClass_,
                    aNow,
                    belief.InFlight(),
                    slowness,
                    aProspect.answerMs_,
                    0,
                    aNow });
  belief.OnDispatch(aNow);
  return { Choice::Kind::Dispatch, UpstreamHandle{ aProspect.index_ }, {}, {} };
}

void
FreshBalancer::Insert(Waiting aWaiting)
{
  const auto place = std::find_if(waiting_.begin(), waiting_.end(), [&](const Waiting& aOther) {
    return aOther.call_.rank_ > aWaiting.call_.rank_;
  });
  waiting_.insert(place, std::move(aWaiting));
}

Choice
FreshBalancer::Submit(const CallInfo& aCall, MonotonicTime aNow)
{
  const bool first = aCall.tried_.empty();
  if (first) {
    retryBudget_.OnRequest(aNow);
  }
  if (aCall.deadline_ <= aNow) {
    return Refuse(RefusalReason::DeadlineExpired, {});
  }
  const bool any = std::any_of(present_.begin(), present_.end(), [&](std::uint32_t aIndex) {
    return TakesWork(upstreams_[aIndex], aNow);
  });
  if (!any) {
    return Refuse(RefusalReason::NoUpstream, std::chrono::milliseconds(500));
  }
  if (const auto wait = ExpectedWait(aCall); first && wait && *wait > Duration(0)) {
    const double usual = pace_.DurationMs(WorkMs(aCall), 1);
    if (aNow + *wait + FromMilliseconds(usual) > aCall.target_) {
      return Refuse(RefusalReason::Overloaded, *wait);
    }
  }
  Waiting waiting{ aCall, Stage::New, aNow, {} };
  if (const auto choice = Decide(waiting, aNow)) {
    return *choice;
  }
  Insert(std::move(waiting));
  return { Choice::Kind::Queued, {}, {}, {} };
}

std::optional<Choice>
FreshBalancer::Decide(Waiting& aWaiting, MonotonicTime aNow)
{
  if (aWaiting.call_.deadline_ <= aNow) {
    return Refuse(RefusalReason::QueueTimeout, {});
  }
  const auto prospects = Prospects(aWaiting.call_, aNow);
  if (prospects.empty()) {
    return Refuse(RefusalReason::NoUpstream, std::chrono::milliseconds(500));
  }
  if (const Prospect* const picked = Pick(aWaiting, prospects, aNow)) {
    return Dispatch(*picked, aWaiting.call_, aNow);
  }
  while (StageEnded(aWaiting, aNow) && aWaiting.stage_ != Stage::AllProbed) {
    BeginStage(aWaiting, aNow);
    if (const Prospect* const picked = Pick(aWaiting, prospects, aNow)) {
      return Dispatch(*picked, aWaiting.call_, aNow);
    }
  }
  if (reportsLoad_ && aWaiting.stage_ == Stage::AllProbed && StageEnded(aWaiting, aNow) &&
      IsLate(aWaiting, aNow) && GivesWay(aWaiting, prospects)) {
    return Refuse(RefusalReason::Overloaded, ExpectedWait(aWaiting.call_).value_or(Duration()));
  }
  return std::nullopt;
}

std::vector<ReleasedCall>
FreshBalancer::Release(MonotonicTime aNow)
{
  std::vector<ReleasedCall> released;
  for (std::size_t i = 0; i < waiting_.size();) {
    Waiting& waiting = waiting_[i];
    const bool congested = waiting.stage_ == Stage::AllProbed && StageEnded(waiting, aNow);
    auto choice = Decide(waiting, aNow);
    if (!choice && congested) {
      // All slots are taken. A request that would now be late even at once gives way to others.
      const double usual = pace_.DurationMs(WorkMs(waiting.call_), 1);
      if (waiting_.size() > 1 && aNow + FromMilliseconds(usual) > waiting.call_.target_ &&
          waiting.call_.tried_.empty()) {
        choice =
          Refuse(RefusalReason::Overloaded, ExpectedWait(waiting.call_).value_or(Duration()));
      } else if (aNow >= waiting.stageEnds_ + kPollInterval) {
        waiting.stage_ = Stage::New;
        waiting.awaited_.clear();
        choice = Decide(waiting, aNow);
      }
    }
    if (!choice) {
      ++i;
      continue;
    }
    if (choice->kind_ == Choice::Kind::Dispatch && congested) {
      if (lastCongestedDispatch_ != MonotonicTime()) {
        const double interval = ToMilliseconds(aNow - lastCongestedDispatch_);
        dispatchIntervalMs_ += kIntervalWeight * (interval - dispatchIntervalMs_);
      }
      lastCongestedDispatch_ = aNow;
    }
    released.push_back({ waiting.call_.id_, *choice });
    waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(i));
  }
  if (waiting_.empty()) {
    lastCongestedDispatch_ = MonotonicTime();
    dispatchIntervalMs_ = 0;
  }
  return released;
}

std::optional<MonotonicTime>
FreshBalancer::NextRelease() const
{
  std::optional<MonotonicTime> next;
  for (const Waiting& waiting : waiting_) {
    const bool polls = waiting.stage_ == Stage::AllProbed && waiting.awaited_.empty();
    const MonotonicTime due = polls ? waiting.stageEnds_ + kPollInterval : waiting.stageEnds_;
    next = std::min(next.value_or(waiting.call_.deadline_), std::min(due, waiting.call_.deadline_));
  }
  return next;
}

const FreshBalancer::Sent*
FreshBalancer::FindSent(const CallInfo& aCall) const
{
  if (aCall.tried_.empty()) {
    return nullptr;
  }
  const auto index = static_cast<std::uint32_t>(aCall.tried_.back());
  const auto sent = std::find_if(sent_.rbegin(), sent_.rend(), [&](const Sent& aSent) {
    return aSent.index_ == index && aSent.workClass_ == aCall.workClass_;
  });
  return sent == sent_.rend() ? nullptr : &*sent;
}

std::optional<Duration>
FreshBalancer::HedgeDelay(const CallInfo& aCall, MonotonicTime aNow) const
{
  const Sent* const sent = FindSent(aCall);
  if (sent == nullptr || aCall.repeatability_ != Repeatability::Repeatable ||
      aCall.tried_.size() >= aCall.maxAttempts_ || !reportsLoad_) {
    return std::nullopt;
  }
  const UpstreamBelief& belief = upstreams_[sent->index_].belief_;
  const auto age = belief.Age(aNow);
  const bool slow = age && *age <= kFreshAge && belief.Report()->slowness_ > kUsualSlowness;
  const bool soon = belief.ProbeInFlight() || belief.FailedProbes() > 0 || slow;
  const Duration delay =
    soon ? kHedgeLookAgain : FromMilliseconds(std::max(kMinLookMs, kLookShare * WorkMs(aCall)));
  if (aNow + delay >= aCall.deadline_) {
    return std::nullopt;
  }
  return delay;
}

void
FreshBalancer::TakeLook(Sent& aSent, double aSlowness, MonotonicTime aNow) const
{
  // Between two looks the pace is taken for the mean of both.
  const double pace = (1 / aSent.slowness_ + 1 / std::max(0.1, aSlowness)) / 2;
  aSent.doneMs_ += pace * ToMilliseconds(aNow - aSent.lookedAt_);
  aSent.slowness_ = aSlowness;
  aSent.lookedAt_ = aNow;
}

std::optional<UpstreamHandle>
FreshBalancer::Hedge(const CallInfo& aCall, MonotonicTime aNow)
{
  const Sent* const found = FindSent(aCall);
  if (found == nullptr || aNow >= aCall.deadline_ || !retryBudget_.CanTake(aNow)) {
    return std::nullopt;
  }
  Sent& sent = sent_[static_cast<std::size_t>(found - sent_.data())];
  const UpstreamBelief& belief = upstreams_[sent.index_].belief_;
  const auto age = belief.Age(aNow);
  const bool known = age && *age <= kFreshAge;
  const bool silent = belief.FailedProbes() > 0;
  if (!known && !silent) {
    RequestProbe(sent.index_, aNow);
    return std::nullopt;
  }
  const double work = WorkMs(aCall);
  double remaining = 0;
  if (known) {
    const double slowness = belief.Report()->slowness_;
    TakeLook(sent, slowness, aNow);
    remaining = pace_.DurationMs(std::max(kMinLeft * work, work - sent.doneMs_), slowness);
    const bool stuck = ToMilliseconds(aNow - sent.at_) > kStuckFactor * sent.expectedMs_;
    if (slowness <= kUsualSlowness && !stuck) {
      return std::nullopt;
    }
  }
  const auto prospects = Prospects(aCall, aNow);
  for (const Prospect& prospect : prospects) {
    if (prospect.index_ != sent.index_ && prospect.fresh_ && prospect.freeSlot_ &&
        prospect.usualPace_) {
      if (!silent && prospect.answerMs_ > kHedgeGain * remaining) {
        return std::nullopt;
      }
      retryBudget_.TryTake(aNow);
      return Dispatch(prospect, aCall, aNow).upstream_;
    }
  }
  std::size_t asked = 0;
  for (const Prospect& prospect : prospects) {
    if (asked < kLocalProbes && prospect.index_ != sent.index_) {
      RequestProbe(prospect.index_, aNow);
      ++asked;
    }
  }
  return std::nullopt;
}

std::optional<UpstreamHandle>
FreshBalancer::NextProbe(MonotonicTime aNow)
{
  while (!wantedProbes_.empty()) {
    const std::uint32_t index = wantedProbes_.front();
    wantedProbes_.pop_front();
    if (reportsLoad_ && TakesWork(upstreams_[index], aNow)) {
      upstreams_[index].belief_.OnProbeSent();
      return UpstreamHandle{ index };
    }
  }
  return std::nullopt;
}

void
FreshBalancer::OnProbeEnded(UpstreamHandle aUpstream,
                            std::optional<LoadReport> aLoad,
                            Duration aRoundTrip,
                            MonotonicTime aNow)
{
  const auto index = static_cast<std::uint32_t>(aUpstream);
  UpstreamBelief& belief = upstreams_.at(index).belief_;
  belief.OnProbeEnded(aLoad.has_value(), aRoundTrip);
  if (aLoad && !aLoad->known_) {
    // A probe that brings no report may take a slot like a request, so it is not worth its cost.
    reportsLoad_ = reportsLoad_ && ++unreportedProbes_ < kUnreportedProbes;
  } else if (aLoad) {
    unreportedProbes_ = 0;
    pace_.OnReport(aLoad->slowness_);
    meanInFlight_ += kMeanInFlightWeight * (aLoad->inFlight_ - meanInFlight_);
    belief.OnReport(*aLoad, aNow - aRoundTrip / 2);
  }
  for (Waiting& waiting : waiting_) {
    std::erase(waiting.awaited_, index);
    if (waiting.awaited_.empty()) {
      waiting.stageEnds_ = std::min(waiting.stageEnds_, aNow);
    }
  }
}

} // namespace boragepier
