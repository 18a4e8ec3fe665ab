#ifndef BORAGEPIER_STATE_RENDEZVOUS_H
#define BORAGEPIER_STATE_RENDEZVOUS_H

#include <span>
#include <string_view>

#include "boragepier/base/ids.h"

namespace boragepier {

/// Selects the instance that owns a task by rendezvous hashing. All callers with the same set of
/// instances get the same owner, whatever the order. When an instance joins or leaves the set, only
/// the tasks that it owns change their owner.
/// @param aTask name of the task
/// @return the owner, or an empty id if aInstances is empty
InstanceId
RendezvousOwner(std::span<const InstanceId> aInstances, std::string_view aTask);

} // namespace boragepier

#endif
