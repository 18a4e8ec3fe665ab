#ifndef BORAGEPIER_ENTRY_CALL_TELEMETRY_H
#define BORAGEPIER_ENTRY_CALL_TELEMETRY_H

#include <functional>

#include "boragepier/entry/call_observer.h"
#include "boragepier/telemetry/explain.h"
#include "boragepier/telemetry/metrics.h"

namespace boragepier {

/// Updates metrics, explain records and logs from the events of the request pipeline. Thread-safe.
class CallTelemetry : public CallObserver
{
public:
  using UpstreamLeavingCallback = std::function<void(const UpstreamEndpoint&)>;

  /// @param aMetrics must outlive this object
  /// @param aExplain must outlive this object
  /// @param aOnLeaving receives each upstream whose response showed that it is leaving; called in
  ///   all traffic threads
  CallTelemetry(Metrics& aMetrics, ExplainStore& aExplain, UpstreamLeavingCallback aOnLeaving);

  void OnSplitRequest(std::string_view aRoute, const ServiceName& aService) override;
  void OnAttemptStarted(const ExplainRecord& aRecord) override;
  void OnAttemptEnded(const ExplainRecord& aRecord, const ExplainAttempt& aAttempt) override;
  void OnCallEnded(ExplainRecord aRecord, bool aAbandoned) override;
  void OnUnanswered(UnansweredCause aCause) override;
  void OnNotRouted(const http::ServerRefusal& aRefusal) override;
  void OnRetry(const ServiceName& aService, RetryReason aReason) override;
  void OnClaimEvent(const ServiceName& aService, ClaimEvent aEvent) override;
  void OnProbe(const ServiceName& aService) override;
  void OnUpstreamLeaving(const UpstreamEndpoint& aUpstream) override;
  void OnUpstreamPaused(const ServiceName& aService,
                        const UpstreamEndpoint& aUpstream,
                        Duration aAdded) override;
  void OnPauseIgnored(const ServiceName& aService, const UpstreamEndpoint& aUpstream) override;
  void OnForeignResponse(const ServiceName& aService,
                         const UpstreamEndpoint& aUpstream,
                         std::string_view aRequest,
                         const http::SendResult& aResult) override;

private:
  Metrics& metrics_;
  ExplainStore& explain_;
  const UpstreamLeavingCallback onLeaving_;
};

} // namespace boragepier

#endif
