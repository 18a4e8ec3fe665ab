#include "boragepier/directory/reader_choice.h"

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
Order(std::span<const InstanceEntry> aInstances)
{
  std::vector<const InstanceEntry*> order;
  for (const InstanceEntry& instance : aInstances) {
    order.push_back(&instance);
  }
  const auto key = [](const InstanceEntry* aInstance) {
    return std::tuple(-aInstance->relayCapacity_, HashOf(aInstance->id_), aInstance->id_);
  };
  std::sort(order.begin(), order.end(), [&](const auto* aLeft, const auto* aRight) {
    return key(aLeft) < key(aRight);
  });
  return order;
}

} // namespace

RelayPlace
PlaceInRelay(std::span<const InstanceEntry> aInstances,
             const InstanceId& aSelf,
             std::size_t aSources)
{
  const auto order = Order(aInstances);
  const auto self = std::find_if(order.begin(), order.end(), [&](const InstanceEntry* aInstance) {
    return aInstance->id_ == aSelf;
  });
  const auto rank = static_cast<std::size_t>(self - order.begin());
  const auto inner =
    static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(order.size()))));
  RelayPlace place;
  place.reads_ = rank == 0 || self == order.end();
  if (place.reads_) {
    return place;
  }
  if (rank <= inner) {
    for (std::size_t i = 0; i < rank && place.sources_.size() < aSources; ++i) {
      place.sources_.push_back(*order[i]);
    }
    return place;
  }
  // A leaf follows one of the inner instances; the root is its last resort before the store.
  for (std::size_t i = 0; i < inner && place.sources_.size() + 1 < aSources; ++i) {
    place.sources_.push_back(*order[1 + (rank + i) % inner]);
  }
  place.sources_.push_back(*order[0]);
  return place;
}

} // namespace boragepier
