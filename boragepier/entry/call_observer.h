#ifndef BORAGEPIER_ENTRY_CALL_OBSERVER_H
#define BORAGEPIER_ENTRY_CALL_OBSERVER_H

#include <string_view>

#include "boragepier/base/ids.h"
#include "boragepier/base/outcome.h"
#include "boragepier/config/upstream_endpoint.h"
#include "boragepier/http/client.h"
#include "boragepier/http/server.h"
#include "boragepier/telemetry/explain.h"
#include "boragepier/telemetry/metrics.h"

namespace boragepier {

/// Receives the events of the request pipeline, for metrics, logs and explain records. Called in
/// all traffic threads.
class CallObserver
{
public:
  virtual ~CallObserver() = default;
  /// A service was selected for a request of a route with several services.
  /// @param aRoute name of the route
  virtual void OnSplitRequest(std::string_view aRoute, const ServiceName& aService) = 0;
  /// An attempt was sent.
  /// @param aRecord record of the request; the attempt is the last one in it
  virtual void OnAttemptStarted(const ExplainRecord& aRecord) = 0;
  /// An attempt ended or was cancelled.
  /// @param aRecord record of the request
  /// @param aAttempt the attempt, an element of aRecord
  virtual void OnAttemptEnded(const ExplainRecord& aRecord, const ExplainAttempt& aAttempt) = 0;
  /// A request ended. Called once for each request.
  /// @param aAbandoned whether the caller disconnected before the response
  virtual void OnCallEnded(ExplainRecord aRecord, bool aAbandoned) = 0;
  /// A request was read completely, and its connection ended before the complete response.
  virtual void OnUnanswered(UnansweredCause aCause) = 0;
  /// A request was refused before the pipeline received it.
  virtual void OnNotRouted(const http::ServerRefusal& aRefusal) = 0;
  /// A request is retried or hedged.
  virtual void OnRetry(const ServiceName& aService, RetryReason aReason) = 0;
  /// The claim of a request was decided, or its answer recorded or its key released.
  virtual void OnClaimEvent(const ServiceName& aService, ClaimEvent aEvent) = 0;
  /// A probe is sent to an upstream of aService.
  virtual void OnProbe(const ServiceName& aService) = 0;
  /// A response showed that an upstream is leaving: it drains, or another upstream has its address.
  virtual void OnUpstreamLeaving(const UpstreamEndpoint& aUpstream) = 0;
  /// An upstream refused a request or a probe and asked for a pause.
  /// @param aAdded by how much the end of its pauses has moved
  virtual void OnUpstreamPaused(const ServiceName& aService,
                                const UpstreamEndpoint& aUpstream,
                                Duration aAdded) = 0;
  /// An upstream asked for a pause with a value that is ignored.
  virtual void OnPauseIgnored(const ServiceName& aService, const UpstreamEndpoint& aUpstream) = 0;
  /// The response to another request, or a part of it, arrived on the connection of an attempt or a
  /// probe.
  /// @param aRequest id of the request; empty for a probe
  /// @param aResult result of the attempt or the probe
  virtual void OnForeignResponse(const ServiceName& aService,
                                 const UpstreamEndpoint& aUpstream,
                                 std::string_view aRequest,
                                 const http::SendResult& aResult) = 0;
};

} // namespace boragepier

#endif
