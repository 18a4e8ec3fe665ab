#include "boragepier/entry/call_telemetry.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <span>
#include <string_view>
#include <utility>

#include "boragepier/telemetry/log.h"

namespace boragepier {

namespace {

// Returns the part of the latency during which no attempt was active, which is the latency that
// boragepier adds. Hedged attempts overlap; the overlap counts once.
Duration
AddedLatency(const ExplainRecord& aRecord)
{
  Duration upstreamTime{};
  Duration coveredUntil{};
  for (const ExplainAttempt& attempt : aRecord.attempts_) {
    const Duration start = std::max(attempt.startedAfter_, coveredUntil);
    const Duration end = attempt.startedAfter_ + attempt.latency_;
    if (end > start) {
      upstreamTime += end - start;
      coveredUntil = end;
    }
  }
  return std::max(Duration{}, aRecord.latency_ - upstreamTime);
}

// Returns the state of the chosen upstream at the time of the choice.
CandidateInfo
ChosenCandidate(const ExplainAttempt& aAttempt)
{
  const auto chosen = std::find_if(
    aAttempt.candidates_.begin(), aAttempt.candidates_.end(), [&](const CandidateInfo& aCandidate) {
      return aCandidate.id_ == aAttempt.upstream_;
    });
  return chosen == aAttempt.candidates_.end() ? CandidateInfo() : *chosen;
}

// An upstream whose reported slowness is at least this counts as slow in the log of a refusal.
constexpr double kSlowThreshold = 1.6;

// State of the upstreams when a request was refused.
struct RefusalSummary
{
  std::size_t slowUpstreams_ = 0; ///< number of slow upstreams
  double leastWaitMs_ = 0; ///< shortest expected wait at the others that stay; 0 if there are none
};

RefusalSummary
SummarizeRefusal(std::span<const CandidateInfo> aCandidates)
{
  RefusalSummary summary;
  std::optional<double> leastMs;
  for (const CandidateInfo& candidate : aCandidates) {
    if (candidate.slowness_ >= kSlowThreshold) {
      ++summary.slowUpstreams_;
    } else if (!candidate.leaving_ && candidate.pausedFor_ <= Duration(0)) {
      leastMs = std::min(leastMs.value_or(candidate.expectedWaitMs_), candidate.expectedWaitMs_);
    }
  }
  summary.leastWaitMs_ = leastMs.value_or(0);
  return summary;
}

void
LogRequestEnd(const ExplainRecord& aRecord, bool aAbandoned)
{
  const bool failed = aRecord.refusal_.has_value() || aAbandoned;
  const RefusalSummary summary = SummarizeRefusal(aRecord.refusedCandidates_);
  LogRequest(
    EventId::RequestEnded,
    failed,
    { { "request", aRecord.id_ },
      { "service", aRecord.service_ },
      { "route", aRecord.route_ },
      LogField::IfNotEmpty("team", aRecord.team_.View()),
      { "path", aRecord.path_ },
      { "config", aRecord.configVersion_ },
      { "outcome", aRecord.outcome_ },
      { "reason", aRecord.refusal_ ? ToString(*aRecord.refusal_) : std::string_view("none") },
      { "abandoned", aAbandoned },
      { "latencyMs", aRecord.latency_ },
      { "queuedMs", aRecord.queueTime_ },
      { "deadlineMs", aRecord.deadline_ },
      { "retryAfterMs", aRecord.retryAfter_ },
      { "retryAdvice", ToString(aRecord.returnCause_) },
      { "attempts", aRecord.attempts_.size() },
      { "candidates", aRecord.refusedCandidates_.size() },
      { "slow", summary.slowUpstreams_ },
      { "leastWaitMs", summary.leastWaitMs_ } });
  if (aAbandoned || !aRecord.refusal_) {
    return;
  }
  const EventId event =
    aRecord.outcome_ == Outcome::Unknown ? EventId::RequestOutcomeUnknown : EventId::RequestRefused;
  Log(event,
      { { "service", aRecord.service_ },
        { "reason", *aRecord.refusal_ },
        LogField::IfNotEmpty("team", aRecord.team_.View()),
        { "request", aRecord.id_ },
        { "attempts", aRecord.attempts_.size() } });
}

} // namespace

CallTelemetry::CallTelemetry(Metrics& aMetrics,
                             ExplainStore& aExplain,
                             UpstreamLeavingCallback aOnLeaving)
  : metrics_(aMetrics)
  , explain_(aExplain)
  , onLeaving_(std::move(aOnLeaving))
{
}

void
CallTelemetry::OnCallEnded(ExplainRecord aRecord, bool aAbandoned)
{
  ServiceMetrics& service = metrics_.Service(aRecord.service_);
  service.OnRequest({ .outcome_ = aRecord.outcome_,
                      .refusal_ = aRecord.refusal_,
                      .latency_ = aRecord.latency_,
                      .addedLatency_ = AddedLatency(aRecord),
                      .queueTime_ = aRecord.queueTime_ },
                    std::chrono::steady_clock::now());
  for (const ExplainAttempt& attempt : aRecord.attempts_) {
    service.OnAttempt(attempt.latency_);
    if (attempt.failure_ != AttemptFailure::None) {
      service.OnAttemptFailure(attempt.failure_);
    }
  }
  if (!aRecord.team_.Empty()) {
    metrics_.OnTeamRequest(aRecord.team_, aRecord.refusal_);
  }
  LogRequestEnd(aRecord, aAbandoned);
  explain_.Add(std::move(aRecord));
}

void
CallTelemetry::OnSplitRequest(std::string_view aRoute, const ServiceName& aService)
{
  metrics_.OnSplitRequest(aRoute, aService);
}

void
CallTelemetry::OnAttemptStarted(const ExplainRecord& aRecord)
{
  const ExplainAttempt& attempt = aRecord.attempts_.back();
  const CandidateInfo chosen = ChosenCandidate(attempt);
  LogRequest(
    EventId::AttemptStarted,
    attempt.retryReason_.has_value(),
    { { "request", aRecord.id_ },
      { "service", aRecord.service_ },
      { "attempt", aRecord.attempts_.size() },
      { "reason",
        attempt.retryReason_ ? ToString(*attempt.retryReason_) : std::string_view("first") },
      { "upstream", attempt.upstream_ },
      { "afterMs", attempt.startedAfter_ },
      { "own", chosen.ownOutstanding_ },
      { "others", chosen.othersEstimate_ },
      { "slowness", chosen.slowness_ },
      { "reportAgeMs", chosen.reportAge_ },
      { "standing", chosen.healthWeight_ },
      { "known", attempt.candidates_.size() } });
}

void
CallTelemetry::OnAttemptEnded(const ExplainRecord& aRecord, const ExplainAttempt& aAttempt)
{
  LogRequest(EventId::AttemptEnded,
             aAttempt.failure_ != AttemptFailure::None,
             { { "request", aRecord.id_ },
               { "upstream", aAttempt.upstream_ },
               { "outcome", aAttempt.outcome_ },
               { "failure", aAttempt.failure_ },
               { "status", aAttempt.status_ },
               { "latencyMs", aAttempt.latency_ } });
}

void
CallTelemetry::OnUnanswered(UnansweredCause aCause)
{
  metrics_.OnUnanswered(aCause);
  if (aCause != UnansweredCause::CallerClosed) {
    Log(EventId::RequestUnanswered, { { "cause", aCause } });
  }
}

void
CallTelemetry::OnNotRouted(const http::ServerRefusal& aRefusal)
{
  metrics_.OnNotRouted(aRefusal.reason_);
  constexpr std::int64_t kNotDeclared = -1;
  LogRequest(EventId::RequestNotRouted,
             true,
             { { "reason", aRefusal.reason_ },
               { "declaredBytes",
                 aRefusal.declaredBody_ ? static_cast<std::int64_t>(*aRefusal.declaredBody_)
                                        : kNotDeclared },
               { "maxBodyBytes", aRefusal.maxBody_ },
               { "maxHeaderBytes", aRefusal.maxHeader_ } });
}

void
CallTelemetry::OnRetry(const ServiceName& aService, RetryReason aReason)
{
  metrics_.Service(aService).OnRetry(aReason);
}

void
CallTelemetry::OnClaimEvent(const ServiceName& aService, ClaimEvent aEvent)
{
  metrics_.Service(aService).OnClaim(aEvent);
}

void
CallTelemetry::OnProbe(const ServiceName& aService)
{
  metrics_.Service(aService).OnProbe(std::chrono::steady_clock::now());
}

void
CallTelemetry::OnUpstreamLeaving(const UpstreamEndpoint& aUpstream)
{
  Log(EventId::UpstreamLeaving,
      { { "upstream", aUpstream.id_ }, { "start", aUpstream.startNumber_ } });
  onLeaving_(aUpstream);
}

void
CallTelemetry::OnUpstreamPaused(const ServiceName& aService,
                                const UpstreamEndpoint& aUpstream,
                                Duration aAdded)
{
  metrics_.Service(aService).OnPause(aAdded);
  Log(EventId::UpstreamPaused,
      { { "upstream", aUpstream.id_ }, { "service", aService }, { "addedMs", aAdded } });
}

void
CallTelemetry::OnPauseIgnored(const ServiceName& aService, const UpstreamEndpoint& aUpstream)
{
  metrics_.Service(aService).OnPauseIgnored();
  Log(EventId::PauseIgnored, { { "upstream", aUpstream.id_ }, { "service", aService } });
}

void
CallTelemetry::OnForeignResponse(const ServiceName& aService,
                                 const UpstreamEndpoint& aUpstream,
                                 std::string_view aRequest,
                                 const http::SendResult& aResult)
{
  metrics_.Service(aService).OnForeignResponse();
  Log(EventId::ForeignResponse,
      { { "upstream", aUpstream.id_ },
        { "service", aService },
        { "request", aRequest },
        { "mixed", aResult.failure_ == AttemptFailure::MixedResponse },
        { "outcome", aResult.outcome_ } });
}

} // namespace boragepier
