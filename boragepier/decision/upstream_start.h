#ifndef BORAGEPIER_DECISION_UPSTREAM_START_H
#define BORAGEPIER_DECISION_UPSTREAM_START_H

#include "boragepier/config/upstream_endpoint.h"

namespace boragepier {

/// What an upstream says of itself, for example that it is leaving, applies to one start of it at
/// one address.
/// @param aLeft endpoint of an upstream
/// @param aRight endpoint of the same upstream at another time
/// @return whether both are the same start of the upstream at the same address
inline bool
IsSameStart(const UpstreamEndpoint& aLeft, const UpstreamEndpoint& aRight)
{
  return aLeft.startNumber_ == aRight.startNumber_ && aLeft.address_ == aRight.address_ &&
         aLeft.port_ == aRight.port_;
}

} // namespace boragepier

#endif
