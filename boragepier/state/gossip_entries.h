#ifndef BORAGEPIER_STATE_GOSSIP_ENTRIES_H
#define BORAGEPIER_STATE_GOSSIP_ENTRIES_H

#include <span>
#include <string>

#include "boragepier/ports/peer_message.h"
#include "boragepier/state/fleet_state.h"

namespace boragepier {

/// @return the versions of a section
const VersionIndex&
IndexOf(const FleetState& aState, PeerSection aSection);

/// Makes a message of the entries with some keys. Keys that are not held are passed over.
/// @param aKeys keys wanted; on return, those that did not fit
/// @param aLimit the message is ended after the entry that exceeds this number of bytes
PeerMessage
CollectEntries(const FleetState& aState,
               PeerSection aSection,
               std::span<const std::string>& aKeys,
               std::size_t aLimit);

} // namespace boragepier

#endif
