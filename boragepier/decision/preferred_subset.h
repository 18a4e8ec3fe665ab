#ifndef BORAGEPIER_DECISION_PREFERRED_SUBSET_H
#define BORAGEPIER_DECISION_PREFERRED_SUBSET_H

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "boragepier/base/ids.h"

namespace boragepier {

/// Selects the upstreams that an instance prefers (deterministic subsetting) by rendezvous hashing
/// with bounded load: an upstream is in the subsets of at most the mean number of instances,
/// rounded up. All instances that know the same lists compute the same subsets, in whatever order
/// the instances are listed.
/// @param aSelf the instance whose subset is computed
/// @param aInstances all live instances
/// @param aUpstreams ids of the upstreams
/// @param aSize largest number of upstreams in one subset
/// @return positions in aUpstreams; empty if aSelf is not in aInstances
std::vector<std::size_t>
PreferredSubset(const InstanceId& aSelf,
                std::span<const InstanceId> aInstances,
                std::span<const std::string_view> aUpstreams,
                std::size_t aSize);

} // namespace boragepier

#endif
