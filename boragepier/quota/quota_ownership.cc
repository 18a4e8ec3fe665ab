#include "boragepier/quota/quota_ownership.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace boragepier {

namespace {

// Instances with less capacity than this part of the largest own no shares, unless there are fewer
// than kMinOwners others.
constexpr double kMinCapacity = 0.5;
constexpr std::ptrdiff_t kMinOwners = 4;

std::uint64_t
WeightOf(std::uint64_t aInstanceHash, const QuotaShareId& aShare)
{
  const std::array<std::uint64_t, 3> key{ aInstanceHash, aShare.team_, aShare.share_ };
  return XXH3_64bits(key.data(), sizeof(key));
}

} // namespace

QuotaOwnership::QuotaOwnership(InstanceId aSelf, ZoneName aZone)
  : self_(std::move(aSelf))
  , zone_(std::move(aZone))
{
}

void
QuotaOwnership::SetInstances(std::span<const InstanceEntry> aInstances, MonotonicTime aNow)
{
  double largest = 0;
  for (const InstanceEntry& instance : aInstances) {
    largest = std::max(largest, instance.relayCapacity_);
  }
  const auto isLarge = [largest](const InstanceEntry& aInstance) {
    return aInstance.relayCapacity_ >= largest * kMinCapacity;
  };
  const bool all = std::ranges::count_if(aInstances, isLarge) < kMinOwners;
  Candidates candidates;
  for (const InstanceEntry& instance : aInstances) {
    if (all || isLarge(instance)) {
      candidates.push_back({ { instance.id_, instance.address_, instance.port_ },
                             instance.zone_,
                             XXH3_64bits(instance.id_.View().data(), instance.id_.View().size()) });
    }
  }
  std::ranges::sort(
    candidates, {}, [](const Candidate& aCandidate) { return aCandidate.endpoint_.id_.View(); });
  if (candidates == candidates_) {
    return;
  }
  std::erase_if(formerly_, [aNow](const FormerList& aFormer) {
    return aFormer.replacedAt_ + kSettleTime <= aNow;
  });
  std::swap(candidates, candidates_);
  refillsFrom_ = aNow;
  if (!candidates.empty()) {
    formerly_.push_back({ std::move(candidates), aNow });
    refillsFrom_ += kSettleTime;
  }
}

QuotaOwnership::OwnerCandidates
QuotaOwnership::OwnersAmong(const Candidates& aCandidates, std::uint64_t aTeam)
{
  OwnerCandidates owners{};
  for (std::uint32_t share = 0; share < owners.size(); ++share) {
    const std::span<const Candidate* const> earlier = std::span(owners).first(share);
    const auto rank = [&](const Candidate& aCandidate) {
      const auto owned = std::ranges::count(earlier, &aCandidate);
      const auto ownedInZone = std::ranges::count_if(
        earlier, [&](const Candidate* aOwner) { return aOwner->zone_ == aCandidate.zone_; });
      return std::make_tuple(-owned, -ownedInZone, WeightOf(aCandidate.hash_, { aTeam, share }));
    };
    const auto owner = std::ranges::max_element(aCandidates, {}, rank);
    if (owner == aCandidates.end()) {
      break;
    }
    owners[share] = &*owner;
  }
  return owners;
}

QuotaOwnership::Owners
QuotaOwnership::OwnersOf(std::uint64_t aTeam) const
{
  Owners owners;
  const OwnerCandidates candidates = OwnersAmong(candidates_, aTeam);
  for (std::uint32_t share = 0; share < candidates.size(); ++share) {
    const Candidate* const owner = candidates[share];
    if (owner == nullptr) {
      break;
    }
    owners.endpoints_[share] = &owner->endpoint_;
    if (owner->zone_ == zone_ && !owners.nearShare_) {
      owners.nearShare_ = share;
    }
  }
  return owners;
}

const PeerEndpoint*
QuotaOwnership::OwnerOf(const QuotaShareId& aShare) const
{
  const Candidate* const owner = OwnersAmong(candidates_, aShare.team_).at(aShare.share_);
  return owner != nullptr ? &owner->endpoint_ : nullptr;
}

std::optional<QuotaTenure>
QuotaOwnership::TenureOf(const QuotaShareId& aShare, MonotonicTime aNow) const
{
  if (!Owns(aShare)) {
    return std::nullopt;
  }
  const auto latest =
    std::find_if(formerly_.rbegin(), formerly_.rend(), [&](const FormerList& aFormer) {
      const Candidate* const owner =
        OwnersAmong(aFormer.candidates_, aShare.team_).at(aShare.share_);
      return aFormer.replacedAt_ + kSettleTime > aNow && owner != nullptr &&
             !IsSelf(owner->endpoint_);
    });
  if (latest != formerly_.rend()) {
    return QuotaTenure{ latest->replacedAt_ + kSettleTime, refillsFrom_ };
  }
  return QuotaTenure{ aNow, refillsFrom_ };
}

} // namespace boragepier
