#include "boragepier/decision/preferred_subset.h"

#include <algorithm>
#include <cstdint>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace boragepier {

namespace {

// An instance, an upstream and their rendezvous hash.
struct WeightedPair
{
  std::uint64_t weight_;
  std::uint32_t instance_;
  std::uint32_t upstream_;
};

std::uint64_t
Hash(std::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

// Returns all pairs, highest hash first.
std::vector<WeightedPair>
PairsByWeight(std::span<const InstanceId> aInstances, std::span<const std::string_view> aUpstreams)
{
  std::vector<WeightedPair> pairs;
  pairs.reserve(aInstances.size() * aUpstreams.size());
  for (std::uint32_t i = 0; i < aInstances.size(); ++i) {
    const std::uint64_t seed = Hash(aInstances[i].View(), 0);
    for (std::uint32_t u = 0; u < aUpstreams.size(); ++u) {
      pairs.push_back({ Hash(aUpstreams[u], seed), i, u });
    }
  }
  std::sort(pairs.begin(), pairs.end(), [](const WeightedPair& aLeft, const WeightedPair& aRight) {
    return aLeft.weight_ > aRight.weight_;
  });
  return pairs;
}

} // namespace

std::vector<std::size_t>
PreferredSubset(const InstanceId& aSelf,
                std::span<const InstanceId> aInstances,
                std::span<const std::string_view> aUpstreams,
                std::size_t aSize)
{
  std::vector<std::size_t> subset;
  const auto self = std::find(aInstances.begin(), aInstances.end(), aSelf);
  if (self == aInstances.end() || aUpstreams.empty()) {
    return subset;
  }
  const auto selfIndex = static_cast<std::uint32_t>(self - aInstances.begin());
  const std::size_t maxInstancesPerUpstream =
    (aSize * aInstances.size() + aUpstreams.size() - 1) / aUpstreams.size();
  std::vector<std::size_t> instancesPerUpstream(aUpstreams.size());
  std::vector<std::size_t> upstreamsPerInstance(aInstances.size());
  for (const WeightedPair& pair : PairsByWeight(aInstances, aUpstreams)) {
    if (upstreamsPerInstance[pair.instance_] >= aSize ||
        instancesPerUpstream[pair.upstream_] >= maxInstancesPerUpstream) {
      continue;
    }
    ++upstreamsPerInstance[pair.instance_];
    ++instancesPerUpstream[pair.upstream_];
    if (pair.instance_ == selfIndex) {
      subset.push_back(pair.upstream_);
    }
  }
  return subset;
}

} // namespace boragepier
