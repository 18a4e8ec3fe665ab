#ifndef BORAGEPIER_ENTRY_CALL_OBSERVER_H
#define BORAGEPIER_ENTRY_CALL_OBSERVER_H

#include "boragepier/base/ids.h"
#include "boragepier/base/outcome.h"
#include "boragepier/config/upstream_endpoint.h"
#include "boragepier/telemetry/explain.h"
#include "boragepier/telemetry/metrics.h"

namespace boragepier {

/// Receives what the request pipeline does, for metrics, logs and explain records. Called in
/// traffic threads.
class CallObserver
{
public:
  virtual ~CallObserver() = default;
  /// An attempt was sent; the last one of the record.
  virtual void OnAttemptStarted(const ExplainRecord& aRecord) = 0;
  /// An attempt ended.
  virtual void OnAttemptEnded(const ExplainRecord& aRecord, const ExplainAttempt& aAttempt) = 0;
  /// A request ended; called once for each request.
  /// @param aRecord what happened
  /// @param aAbandoned whether the caller left before the response
  virtual void OnCallEnded(ExplainRecord aRecord, bool aAbandoned) = 0;
  /// Another attempt is sent for a request.
  virtual void OnRetry(const ServiceName& aService, RetryReason aReason) = 0;
  /// The claim of a request was decided or settled.
  virtual void OnClaim(const ServiceName& aService, ClaimEvent aEvent) = 0;
  /// A probe is sent to an upstream of a service.
  virtual void OnProbe(const ServiceName& aService) = 0;
  /// An upstream said in an answer that it is leaving.
  virtual void OnUpstreamLeaving(const UpstreamEndpoint& aUpstream) = 0;
};

} // namespace boragepier

#endif
