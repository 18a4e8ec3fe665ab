#include "boragepier/decision/home_subset.h"

#include <algorithm>
#include <cstdint>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace boragepier {

namespace {

struct Pair
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

std::vector<Pair>
WeighPairs(std::span<const InstanceId> aInstances, std::span<const std::string_view> aUpstreams)
{
  std::vector<Pair> pairs;
  pairs.reserve(aInstances.size() * aUpstreams.size());
  for (std::uint32_t i = 0; i < aInstances.size(); ++i) {
    const std::uint64_t seed = Hash(aInstances[i].View(), 0);
    for (std::uint32_t u = 0; u < aUpstreams.size(); ++u) {
      pairs.push_back({ Hash(aUpstreams[u], seed), i, u });
    }
  }
  std::sort(pairs.begin(), pairs.end(), [](const Pair& aLeft, const Pair& aRight) {
    return aLeft.weight_ > aRight.weight_;
  });
  return pairs;
}

} // namespace

std::vector<std::size_t>
HomeSubset(const InstanceId& aSelf,
           std::span<const InstanceId> aInstances,
           std::span<const std::string_view> aUpstreams,
           std::size_t aSize)
{
  std::vector<std::size_t> homes;
  const auto self = std::find(aInstances.begin(), aInstances.end(), aSelf);
  if (self == aInstances.end() || aUpstreams.empty()) {
    return homes;
  }
  const auto selfIndex = static_cast<std::uint32_t>(self - aInstances.begin());
  const std::size_t perUpstream =
    (aSize * aInstances.size() + aUpstreams.size() - 1) / aUpstreams.size();
  std::vector<std::size_t> taken(aUpstreams.size());
  std::vector<std::size_t> given(aInstances.size());
  for (const Pair& pair : WeighPairs(aInstances, aUpstreams)) {
    if (given[pair.instance_] >= aSize || taken[pair.upstream_] >= perUpstream) {
      continue;
    }
    ++given[pair.instance_];
    ++taken[pair.upstream_];
    if (pair.instance_ == selfIndex) {
      homes.push_back(pair.upstream_);
    }
  }
  return homes;
}

} // namespace boragepier
