#include "boragepier/state/rendezvous.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace boragepier {

InstanceId
RendezvousOwner(std::span<const InstanceId> aInstances, std::string_view aTask)
{
  const auto weight = [&](const InstanceId& aInstance) {
    const XXH64_hash_t seed = XXH3_64bits(aTask.data(), aTask.size());
    // The id breaks ties between equal hashes, so that the result does not depend on the order.
    return std::make_tuple(
      XXH3_64bits_withSeed(aInstance.View().data(), aInstance.View().size(), seed),
      aInstance.View());
  };
  const auto owner = std::ranges::max_element(aInstances, {}, weight);
  return owner == aInstances.end() ? InstanceId() : *owner;
}

} // namespace boragepier
