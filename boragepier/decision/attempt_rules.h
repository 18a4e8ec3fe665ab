#ifndef BORAGEPIER_DECISION_ATTEMPT_RULES_H
#define BORAGEPIER_DECISION_ATTEMPT_RULES_H

#include <cstdint>
#include <optional>

#include "boragepier/base/outcome.h"
#include "boragepier/decision/service_balancer.h"

// Rules that ServiceBalancer and FreshProbeBalancer share. Internal to this folder.

namespace boragepier {

/// @return the reason for a retry after this attempt; nothing if the attempt needs no retry or a
/// retry would end in the same way
std::optional<RetryReason>
RetryReasonOf(const AttemptReport& aReport);

/// @return whether the request reached the upstream, or may have
bool
ReachedUpstream(const AttemptReport& aReport);

/// @return whether an earlier attempt of the request was sent to the upstream with this index
bool
WasTried(const CallInfo& aCall, std::uint32_t aIndex);

} // namespace boragepier

#endif
