#ifndef BORAGEPIER_DIRECTORY_READER_CHOICE_H
#define BORAGEPIER_DIRECTORY_READER_CHOICE_H

#include <span>
#include <vector>

#include "boragepier/ports/directory_feed.h"

namespace boragepier {

/// Place of one instance in the tree by which news of the store spreads.
struct RelayPlace
{
  bool reads_ = false; ///< it is the root and reads the store
  /// Whom it follows: the first one that answers. Empty for the root.
  std::vector<InstanceEntry> sources_;
};

/// Arranges the instances in a tree of two levels below the root, in which each has about as many
/// followers as the square root of their number. Instances with more capacity come first. All
/// instances that know the same ones agree on the tree, and a source always stands before its
/// followers in the order, so that no two instances follow each other.
/// @param aInstances all instances, aSelf included
/// @param aSources how many sources are returned
RelayPlace
PlaceInRelay(std::span<const InstanceEntry> aInstances,
             const InstanceId& aSelf,
             std::size_t aSources);

} // namespace boragepier

#endif
