#ifndef BORAGEPIER_DECISION_ATTEMPT_RULES_H
#define BORAGEPIER_DECISION_ATTEMPT_RULES_H

#include <cstdint>
#include <optional>

#include "boragepier/base/outcome.h"
#include "boragepier/decision/service_balancer.h"

// Rules that all balancers share; not for other packages.

namespace boragepier {

/// Without a fresh sign, a sign that an upstream is leaving is dropped after this time.
inline constexpr Duration kLeavingLifetime = std::chrono::seconds(60);

/// @return why another attempt would be sent after this one, or nothing if none is of use
std::optional<RetryReason>
RetryReasonOf(const AttemptReport& aReport);

/// @return whether an earlier attempt of the request was sent to an upstream
bool
WasTried(const CallInfo& aCall, std::uint32_t aIndex);

} // namespace boragepier

#endif
