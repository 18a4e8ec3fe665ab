#ifndef BORAGEPIER_ENTRY_REFUSAL_H
#define BORAGEPIER_ENTRY_REFUSAL_H

#include "boragepier/base/ids.h"
#include "boragepier/base/outcome.h"
#include "boragepier/base/time.h"
#include "boragepier/http/message.h"

namespace boragepier {

/// Makes the response of a refused request.
/// @param aReason why it is refused; selects the status
/// @param aOutcome what the caller may conclude about its request
/// @param aRequestId id of the request, empty if it was refused before it got one
/// @param aRetryAfter when room is expected; zero if unknown. Sent with status 503 in seconds with
///   fractions
/// @return a response of type application/problem+json
http::Response
MakeRefusal(RefusalReason aReason,
            Outcome aOutcome,
            const RequestId& aRequestId,
            Duration aRetryAfter = {});

} // namespace boragepier

#endif
