#include "boragepier/directory/relay_tree.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include <xxhash.h>

namespace boragepier {

namespace {

std::uint64_t
HashOf(const InstanceId& aId)
{
  return XXH64(aId.View().data(), aId.View().size(), 0);
}

std::vector<const InstanceEntry*>
SortForRelay(std::span<const InstanceEntry> aInstances)
{
  std::vector<const InstanceEntry*> ranked;
  for (const InstanceEntry& instance : aInstances) {
    ranked.push_back(&instance);
  }
  const auto key = [](const InstanceEntry* aInstance) {
    return std::tuple(-aInstance->relayCapacity_, HashOf(aInstance->id_), aInstance->id_);
  };
  std::sort(ranked.begin(), ranked.end(), [&](const auto* aLeft, const auto* aRight) {
    return key(aLeft) < key(aRight);
  });
  return ranked;
}

} // namespace

RelayRole
ComputeRelayRole(std::span<const InstanceEntry> aInstances,
                 const InstanceId& aSelf,
                 std::size_t aMaxSources)
{
  const auto ranked = SortForRelay(aInstances);
  const auto self = std::find_if(ranked.begin(), ranked.end(), [&](const InstanceEntry* aInstance) {
    return aInstance->id_ == aSelf;
  });
  const auto rank = static_cast<std::size_t>(self - ranked.begin());
  const auto innerCount =
    static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(ranked.size()))));
  RelayRole role;
  role.isRoot_ = rank == 0 || self == ranked.end();
  if (role.isRoot_) {
    return role;
  }
  if (rank <= innerCount) {
    for (std::size_t i = 0; i < rank && role.sources_.size() < aMaxSources; ++i) {
      role.sources_.push_back(*ranked[i]);
    }
    return role;
  }
  // A leaf prefers one of the inner instances; the root is the last source that it tries.
  for (std::size_t i = 0; i < innerCount && role.sources_.size() + 1 < aMaxSources; ++i) {
    role.sources_.push_back(*ranked[1 + (rank + i) % innerCount]);
  }
  role.sources_.push_back(*ranked[0]);
  return role;
}

} // namespace boragepier
