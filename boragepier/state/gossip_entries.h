#ifndef BORAGEPIER_STATE_GOSSIP_ENTRIES_H
#define BORAGEPIER_STATE_GOSSIP_ENTRIES_H

#include <span>
#include <string>

#include "boragepier/ports/peer_message.h"
#include "boragepier/state/fleet_state.h"

namespace boragepier {

/// @return the entry versions of a section
const VersionIndex&
SectionVersions(const FleetState& aState, PeerSection aSection);

/// Builds a message with the entries of the given keys. Unknown keys are skipped.
/// @param aKeys keys of the entries; on return, the keys that did not fit
/// @param aLimit no entry is added once the message has this estimated size in bytes
/// @return a message of the type that belongs to the section
PeerMessage
BuildEntriesMessage(const FleetState& aState,
                    PeerSection aSection,
                    std::span<const std::string>& aKeys,
                    std::size_t aLimit);

} // namespace boragepier

#endif
