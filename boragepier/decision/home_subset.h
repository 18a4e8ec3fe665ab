#ifndef BORAGEPIER_DECISION_HOME_SUBSET_H
#define BORAGEPIER_DECISION_HOME_SUBSET_H

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "boragepier/base/ids.h"

namespace boragepier {

/// Assigns upstreams to an instance by rendezvous hashing with a bound: an upstream is the home of
/// at most the mean number of instances, rounded up. All instances that know the same lists compute
/// the same assignment.
/// @param aSelf the instance whose homes are wanted
/// @param aInstances all live instances
/// @param aUpstreams ids of the upstreams
/// @param aSize homes of one instance
/// @return positions in aUpstreams
std::vector<std::size_t>
HomeSubset(const InstanceId& aSelf,
           std::span<const InstanceId> aInstances,
           std::span<const std::string_view> aUpstreams,
           std::size_t aSize);

} // namespace boragepier

#endif
