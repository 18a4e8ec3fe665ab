#ifndef BORAGEPIER_DIRECTORY_RELAY_TREE_H
#define BORAGEPIER_DIRECTORY_RELAY_TREE_H

#include <span>
#include <vector>

#include "boragepier/ports/directory_feed.h"

namespace boragepier {

/// Role of one instance in the tree along which changes of the store are relayed.
struct RelayRole
{
  bool isRoot_ = false; ///< reads the store for all
  /// Instances that it may subscribe to, preferred one first. Empty for the root.
  std::vector<InstanceEntry> sources_;
};

/// Computes the role of an instance in the relay tree.
///
/// The tree has two levels below the root, and the number of subscribers of the root and of each
/// inner instance is about the square root of the number of instances. Instances with more capacity
/// rank higher. All instances that know the same list compute the same tree. A source always ranks
/// above its subscribers, so no two instances subscribe to each other.
/// @param aInstances all instances, aSelf included
/// @param aSelf the instance whose role is computed; a root if it is not listed
/// @param aMaxSources largest number of sources to return, at least 1
RelayRole
ComputeRelayRole(std::span<const InstanceEntry> aInstances,
                 const InstanceId& aSelf,
                 std::size_t aMaxSources);

} // namespace boragepier

#endif
