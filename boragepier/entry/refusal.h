#ifndef BORAGEPIER_ENTRY_REFUSAL_H
#define BORAGEPIER_ENTRY_REFUSAL_H

#include "boragepier/base/ids.h"
#include "boragepier/base/outcome.h"
#include "boragepier/base/time.h"
#include "boragepier/http/message.h"

namespace boragepier {

/// Creates the response to a refused request.
/// @param aReason determines the status
/// @param aOutcome whether the request was run, as reported to the caller
/// @param aRequestId id of the request; empty if it was refused before an id was assigned
/// @param aRetryAfter time until capacity is expected; zero if unknown. Sent with status 429 and
/// 503 only,
///   in seconds with fractions
/// @return a response with a body of type application/problem+json
http::Response
MakeRefusalResponse(RefusalReason aReason,
                    Outcome aOutcome,
                    const RequestId& aRequestId,
                    Duration aRetryAfter = {});

} // namespace boragepier

#endif
