#ifndef BORAGEPIER_ENTRY_ATTEMPT_REPORTS_H
#define BORAGEPIER_ENTRY_ATTEMPT_REPORTS_H

#include "boragepier/base/outcome.h"
#include "boragepier/decision/service_balancer.h"
#include "boragepier/entry/wire_dialect.h"
#include "boragepier/http/client.h"

namespace boragepier {

/// Reads from the end of an attempt what the balancer needs to know: outcome, load report, whether
/// the upstream is leaving.
/// @param aUpstream where the attempt was sent
/// @param aResult how it ended; the dialect tells which answers certify that the request was
///   not run
AttemptReport
ReportOf(UpstreamHandle aUpstream, const http::SendResult& aResult, const WireDialect& aDialect);

/// Checks that an answer is one to the request and whole as far as the dialect can tell.
/// @param aRequestId what the caller named the request, if the dialect has that
/// @return the result, turned into a MalformedResponse of unknown outcome if a check fails
http::SendResult
CheckAnswer(http::SendResult aResult, const RequestId& aRequestId, const WireDialect& aDialect);

/// @param aFailure how the last attempt failed
/// @param aExpired whether the deadline of the request has passed
/// @return the reason that the caller is told when no further attempt is made
RefusalReason
ReasonOf(AttemptFailure aFailure, bool aExpired);

} // namespace boragepier

#endif
