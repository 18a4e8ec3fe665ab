#ifndef BORAGEPIER_ENTRY_CALL_TELEMETRY_H
#define BORAGEPIER_ENTRY_CALL_TELEMETRY_H

#include <functional>

#include "boragepier/entry/call_observer.h"
#include "boragepier/telemetry/explain.h"
#include "boragepier/telemetry/metrics.h"

namespace boragepier {

/// Turns what the request pipeline does into metrics, explain records and log events. Thread-safe.
class CallTelemetry : public CallObserver
{
public:
  using LeavingCallback = std::function<void(const UpstreamEndpoint&)>;

  /// @param aMetrics outlives this object
  /// @param aExplain outlives this object
  /// @param aOnLeaving receives upstreams that said that they are leaving; any thread
  CallTelemetry(Metrics& aMetrics, ExplainStore& aExplain, LeavingCallback aOnLeaving);

  void OnAttemptStarted(const ExplainRecord& aRecord) override;
  void OnAttemptEnded(const ExplainRecord& aRecord, const ExplainAttempt& aAttempt) override;
  void OnCallEnded(ExplainRecord aRecord, bool aAbandoned) override;
  void OnRetry(const ServiceName& aService, RetryReason aReason) override;
  void OnClaim(const ServiceName& aService, ClaimEvent aEvent) override;
  void OnProbe(const ServiceName& aService) override;
  void OnUpstreamLeaving(const UpstreamEndpoint& aUpstream) override;

private:
  Metrics& metrics_;
  ExplainStore& explain_;
  const LeavingCallback onLeaving_;
};

} // namespace boragepier

#endif
