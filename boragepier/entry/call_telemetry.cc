#include "boragepier/entry/call_telemetry.h"

#include <chrono>
#include <utility>

#include "boragepier/telemetry/log.h"

namespace boragepier {

namespace {

// Time in which no attempt was at an upstream. Hedged attempts overlap; their common time counts
// once.
Duration
AddedLatency(const ExplainRecord& aRecord)
{
  Duration atUpstream{};
  Duration coveredUntil{};
  for (const ExplainAttempt& attempt : aRecord.attempts_) {
    const Duration start = std::max(attempt.startedAfter_, coveredUntil);
    const Duration end = attempt.startedAfter_ + attempt.latency_;
    if (end > start) {
      atUpstream += end - start;
      coveredUntil = end;
    }
  }
  return std::max(Duration{}, aRecord.latency_ - atUpstream);
}

void
LogEnd(const ExplainRecord& aRecord, bool aAbandoned)
{
  if (aAbandoned || !aRecord.refusal_) {
    return;
  }
  const EventId event =
    aRecord.outcome_ == Outcome::Unknown ? EventId::RequestOutcomeUnknown : EventId::RequestRefused;
  Log(event,
      { { "service", aRecord.service_ },
        { "reason", *aRecord.refusal_ },
        { "request", aRecord.id_ },
        { "attempts", aRecord.attempts_.size() } });
}

} // namespace

CallTelemetry::CallTelemetry(Metrics& aMetrics, ExplainStore& aExplain, LeavingCallback aOnLeaving)
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
                      .added_ = AddedLatency(aRecord) },
                    std::chrono::steady_clock::now());
  for (const ExplainAttempt& attempt : aRecord.attempts_) {
    if (attempt.failure_ != AttemptFailure::None) {
      service.OnAttemptFailure(attempt.failure_);
    }
  }
  LogEnd(aRecord, aAbandoned);
  explain_.Add(std::move(aRecord));
}

void
CallTelemetry::OnRetry(const ServiceName& aService, RetryReason aReason)
{
  metrics_.Service(aService).OnRetry(aReason);
}

void
CallTelemetry::OnClaim(const ServiceName& aService, ClaimEvent aEvent)
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

} // namespace boragepier
