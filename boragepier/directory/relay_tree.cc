#include "boragepier/directory/relay_tree.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

#include <xxhash.h>

namespace boragepier {

namespace {

/// Largest number of subscribers that the head of a zone serves without the help of other relays.
constexpr std::size_t kMaxDirectSubscribers = 8;
/// Largest number of relays among the sources of a leaf.
constexpr std::size_t kMaxRelaySources = 2;
/// Largest number of sources of a leaf in its own zone, without the head of the zone if it comes
/// last.
constexpr std::size_t kMaxZoneSources = 3;

/// Capacity of an instance that states none.
constexpr double kMinCapacity = 1e-9;

using RankedInstances = std::vector<const InstanceEntry*>;

std::uint64_t
HashOf(std::string_view aText)
{
  return XXH64(aText.data(), aText.size(), 0);
}

RankedInstances
SortForRelay(std::span<const InstanceEntry> aInstances)
{
  struct Keyed
  {
    std::uint64_t hash_;
    const InstanceEntry* instance_;
  };
  std::vector<Keyed> keyed;
  keyed.reserve(aInstances.size());
  for (const InstanceEntry& instance : aInstances) {
    keyed.push_back({ HashOf(instance.id_.View()), &instance });
  }
  const auto key = [](const Keyed& aKeyed) {
    return std::tuple(
      -aKeyed.instance_->relayCapacity_, aKeyed.hash_, aKeyed.instance_->id_.View());
  };
  std::sort(keyed.begin(), keyed.end(), [&](const Keyed& aLeft, const Keyed& aRight) {
    return key(aLeft) < key(aRight);
  });
  RankedInstances ranked;
  ranked.reserve(keyed.size());
  for (const Keyed& entry : keyed) {
    ranked.push_back(entry.instance_);
  }
  return ranked;
}

// Returns how many of the members of a zone, in the order of their ranks, are relays.
std::size_t
RelayCount(std::size_t aMemberCount)
{
  if (aMemberCount <= kMaxDirectSubscribers + 1) {
    return 1;
  }
  return static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(aMemberCount))));
}

// Returns the relay that a leaf prefers. The subscribers of a zone are divided among its relays in
// proportion to their capacities; those of the head include the other relays.
// @param aHeadDuties subscribers of the head that are not leaves
// @param aPosition of the leaf among the leaves, from 0 to aLeafCount - 1
const InstanceEntry*
RelayOfLeaf(std::span<const InstanceEntry* const> aRelays,
            std::size_t aHeadDuties,
            std::size_t aPosition,
            std::size_t aLeafCount)
{
  double capacity = 0;
  for (const InstanceEntry* const relay : aRelays) {
    capacity += std::max(relay->relayCapacity_, kMinCapacity);
  }
  const auto subscriberCount = static_cast<double>(aLeafCount + aHeadDuties);
  std::vector<double> shares;
  double shareSum = 0;
  for (const InstanceEntry* const relay : aRelays) {
    double share = subscriberCount * std::max(relay->relayCapacity_, kMinCapacity) / capacity;
    if (shares.empty() && aRelays.size() > 1) {
      share = std::max(0.0, share - static_cast<double>(aHeadDuties));
    }
    shares.push_back(share);
    shareSum += share;
  }
  double point =
    (static_cast<double>(aPosition) + 0.5) / static_cast<double>(aLeafCount) * shareSum;
  for (std::size_t i = 0; i < aRelays.size(); ++i) {
    point -= shares[i];
    if (point < 0) {
      return aRelays[i];
    }
  }
  return aRelays.back();
}

// Sorts instances in an order that is random but fixed for aSelf. The probability of being first is
// proportional to the capacity (weighted rendezvous hashing).
void
SortByPreference(RankedInstances& aInstances, const InstanceId& aSelf)
{
  constexpr double kHashRange = 18446744073709551616.0; // 2^64
  std::map<const InstanceEntry*, double> costs;
  for (const InstanceEntry* const instance : aInstances) {
    const std::uint64_t hash = HashOf(instance->id_.Text() + '\n' + aSelf.Text());
    const double uniform = (static_cast<double>(hash) + 1) / (kHashRange + 2);
    costs[instance] = -std::log(uniform) / std::max(instance->relayCapacity_, kMinCapacity);
  }
  std::sort(aInstances.begin(), aInstances.end(), [&](const auto* aLeft, const auto* aRight) {
    return std::tie(costs[aLeft], aLeft->id_) < std::tie(costs[aRight], aRight->id_);
  });
}

void
AppendSources(std::vector<InstanceEntry>& aSources,
              std::span<const InstanceEntry* const> aInstances,
              std::size_t aMaxSize)
{
  for (const InstanceEntry* const instance : aInstances) {
    if (aSources.size() >= aMaxSize) {
      return;
    }
    const auto same = [&](const InstanceEntry& aSource) { return aSource.id_ == instance->id_; };
    if (std::none_of(aSources.begin(), aSources.end(), same)) {
      aSources.push_back(*instance);
    }
  }
}

} // namespace

std::string_view
ToString(RelayLevel aLevel)
{
  switch (aLevel) {
    case RelayLevel::Root:
      return "root";
    case RelayLevel::Head:
      return "head";
    case RelayLevel::Relay:
      return "relay";
    case RelayLevel::Leaf:
      break;
  }
  return "leaf";
}

RelayRole
ComputeRelayRole(std::span<const InstanceEntry> aInstances,
                 const InstanceEntry& aSelf,
                 std::size_t aMaxSources)
{
  const RankedInstances ranked = SortForRelay(aInstances);
  RankedInstances members; // of the own zone
  RankedInstances heads;   // the first instance of each zone; the root is the first of them
  std::set<std::string_view> zones;
  for (const InstanceEntry* const instance : ranked) {
    if (zones.insert(instance->zone_.View()).second) {
      heads.push_back(instance);
    }
    if (instance->zone_ == aSelf.zone_) {
      members.push_back(instance);
    }
  }
  const auto rankAmong = [&](const RankedInstances& aAmong) {
    const auto found =
      std::find_if(aAmong.begin(), aAmong.end(), [&](const InstanceEntry* aInstance) {
        return aInstance->id_ == aSelf.id_;
      });
    return static_cast<std::size_t>(found - aAmong.begin());
  };
  const std::size_t rankInZone = rankAmong(members);
  const std::size_t relayCount = RelayCount(members.size());
  RelayRole role;
  if (ranked.empty() || ranked.front()->id_ == aSelf.id_) {
    role.level_ = RelayLevel::Root;
    return role;
  }
  if (rankInZone == members.size()) {
    SortByPreference(members, aSelf.id_);
    AppendSources(role.sources_, members, std::min(kMaxZoneSources, aMaxSources));
  } else if (rankInZone == 0) {
    role.level_ = RelayLevel::Head;
    AppendSources(role.sources_, std::span(heads).first(rankAmong(heads)), aMaxSources);
    return role;
  } else if (rankInZone < relayCount) {
    role.level_ = RelayLevel::Relay;
    AppendSources(role.sources_, std::span(members).first(rankInZone), aMaxSources - 1);
  } else {
    RankedInstances relays(members.begin(),
                           members.begin() + static_cast<std::ptrdiff_t>(relayCount));
    const std::size_t headDuties =
      relayCount - 1 + (members.front() == heads.front() ? heads.size() - 1 : 0);
    const InstanceEntry* const preferred =
      RelayOfLeaf(relays, headDuties, rankInZone - relayCount, members.size() - relayCount);
    AppendSources(role.sources_, std::span(&preferred, 1), aMaxSources);
    SortByPreference(relays, aSelf.id_);
    AppendSources(role.sources_, relays, std::min(kMaxRelaySources, aMaxSources));
    // If the relays fail, the first leaves of the zone take their place.
    AppendSources(role.sources_,
                  std::span(members).first(rankInZone).subspan(relayCount),
                  std::min(kMaxZoneSources, aMaxSources));
  }
  // Heads of other zones come last, in an order that spreads the subscribers of a failed zone.
  SortByPreference(heads, aSelf.id_);
  AppendSources(role.sources_, heads, aMaxSources);
  return role;
}

} // namespace boragepier
