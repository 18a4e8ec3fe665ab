#ifndef BORAGEPIER_STATE_RENDEZVOUS_H
#define BORAGEPIER_STATE_RENDEZVOUS_H

#include <span>
#include <string_view>

#include "boragepier/base/ids.h"

namespace boragepier {

/// Chooses one instance for a task by rendezvous hashing: all instances with the same view choose
/// the same one, and a change of the view moves only the tasks of the instance that came or left.
/// @return the chosen instance, or an empty id if there are none
InstanceId
RendezvousOwner(std::span<const InstanceId> aInstances, std::string_view aTask);

} // namespace boragepier

#endif
