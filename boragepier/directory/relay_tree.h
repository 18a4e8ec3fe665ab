#ifndef BORAGEPIER_DIRECTORY_RELAY_TREE_H
#define BORAGEPIER_DIRECTORY_RELAY_TREE_H

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "boragepier/ports/directory_feed.h"

namespace boragepier {

/// Position of an instance in the relay tree. Those of one value come before those of the next.
enum class RelayLevel : std::uint8_t
{
  Root, ///< reads the store for all
  Head, ///< first instance of an availability zone
  Relay,
  Leaf,
};

/// @return the name of the level, in small letters
std::string_view
ToString(RelayLevel aLevel);

/// Role of one instance in the tree along which changes of the store are relayed.
struct RelayRole
{
  RelayLevel level_ = RelayLevel::Leaf;
  /// Instances that it may subscribe to, preferred one first. Empty for the root.
  std::vector<InstanceEntry> sources_;

  bool IsRoot() const { return level_ == RelayLevel::Root; }
  friend bool operator==(const RelayRole&, const RelayRole&) = default;
};

/// Computes the role of an instance in the relay tree.
///
/// Instances with more capacity rank higher. The first instance of each availability zone is the
/// head of the zone, and the first of all is the root. Heads subscribe to the root, so each change
/// crosses the border of a zone once. The relays of a zone, which are its head and the next few
/// instances, subscribe to the head, and the others of the zone, the leaves, to one of the relays.
/// A large zone has as many relays as the square root of the number of its instances, and they
/// share its leaves in proportion to their capacities; in a small one all subscribe to the head.
///
/// All instances that know the same list compute the same tree. A source always comes before its
/// subscribers in the order of root, heads, relays, leaves and, among equals, of their ranks, so no
/// two instances subscribe to each other. An instance that is not listed is a leaf that chooses
/// among the instances of its zone at random, so that many of them spread over those that are
/// listed first; if nobody is listed, it is the root.
/// @param aInstances the listed instances
/// @param aSelf the instance whose role is computed
/// @param aMaxSources largest number of sources to return, at least 2; the last ones of a relay or
/// leaf are in other zones
RelayRole
ComputeRelayRole(std::span<const InstanceEntry> aInstances,
                 const InstanceEntry& aSelf,
                 std::size_t aMaxSources);

} // namespace boragepier

#endif
