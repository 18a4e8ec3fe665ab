#ifndef BORAGEPIER_ENTRY_ATTEMPT_REPORTS_H
#define BORAGEPIER_ENTRY_ATTEMPT_REPORTS_H

#include "boragepier/base/outcome.h"
#include "boragepier/decision/service_balancer.h"
#include "boragepier/entry/wire_dialect.h"
#include "boragepier/http/client.h"

namespace boragepier {

/// Converts the result of an attempt into the report for the balancer: outcome, failure, latency,
/// and the load and draining state that the upstream reported with its response.
/// @param aUpstream the upstream that the attempt was sent to
/// @param aResult result of the attempt
/// @param aDialect reads the upstream's headers; a response that certifies that the request was not
///   run is reported with outcome NotRun and failure Refused
AttemptReport
MakeAttemptReport(UpstreamHandle aUpstream,
                  const http::SendResult& aResult,
                  const WireDialect& aDialect);

/// Checks that a response belongs to the request and comes from an upstream: it must echo the
/// request id if callers set one, a response with a status below 300 must carry the signature field
/// if the dialect has one, and its body must not be encoded if upstreams never do that.
/// @param aResult result of the attempt; passed through unless its outcome is Answered
/// @param aRequestId request id that the caller set, or empty
/// @param aDialect names the header fields
/// @return aResult, or a result without a response, with outcome Unknown and failure
///   MalformedResponse, if a check fails
http::SendResult
ValidateResponse(http::SendResult aResult,
                 const RequestId& aRequestId,
                 const WireDialect& aDialect);

/// Decides whether the caller may receive a response that does not certify that the request was not
/// run. The upstream may have run it, so a status that promises the opposite makes a caller run the
/// request a second time.
/// @param aStatus status of the response
/// @param aRepeatability of the request; one that is repeatable may run again
/// @param aDialect knows what statuses promise
bool
MayForwardStatus(int aStatus, Repeatability aRepeatability, const WireDialect& aDialect);

/// Maps the failure of the last attempt to the refusal reason that the caller receives.
/// @param aFailure failure of the last attempt
/// @param aDeadlinePassed whether the deadline of the request has passed; decides whether a timeout
///   is reported as DeadlineExpired or as UpstreamTimeout
RefusalReason
RefusalReasonFor(AttemptFailure aFailure, bool aDeadlinePassed);

} // namespace boragepier

#endif
