#include "boragepier/quota/quota_ownership.h"

#include <algorithm>
#include <array>
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

QuotaOwnership::QuotaOwnership(InstanceId aSelf)
  : self_(std::move(aSelf))
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
                             XXH3_64bits(instance.id_.View().data(), instance.id_.View().size()) });
    }
  }
  std::ranges::sort(candidates, {}, [](const Candidate& aCandidate) {
    return aCandidate.endpoint_.id_.View();
  });
  if (candidates == candidates_) {
    return;
  }
  std::swap(candidates, candidates_);
  refillsFrom_ = aNow;
  if (!candidates.empty()) {
    formerly_.push_back({ std::move(candidates), aNow });
    refillsFrom_ += kSettleTime;
  }
}

const QuotaOwnership::Candidate*
QuotaOwnership::OwnerAmong(const Candidates& aCandidates, const QuotaShareId& aShare)
{
  const auto owner = std::ranges::max_element(
    aCandidates, {}, [&](const Candidate& aCandidate) { return WeightOf(aCandidate.hash_, aShare); });
  return owner == aCandidates.end() ? nullptr : &*owner;
}

const PeerEndpoint*
QuotaOwnership::OwnerOf(const QuotaShareId& aShare) const
{
  const Candidate* const owner = OwnerAmong(candidates_, aShare);
  return owner != nullptr ? &owner->endpoint_ : nullptr;
}

std::optional<QuotaTenure>
QuotaOwnership::TenureOf(const QuotaShareId& aShare, MonotonicTime aNow)
{
  const PeerEndpoint* const owner = OwnerOf(aShare);
  if (owner == nullptr || !IsSelf(*owner)) {
    return std::nullopt;
  }
  while (!formerly_.empty() && formerly_.front().replacedAt_ + kSettleTime <= aNow) {
    formerly_.pop_front();
  }
  for (auto former = formerly_.rbegin(); former != formerly_.rend(); ++former) {
    if (const Candidate* const before = OwnerAmong(former->candidates_, aShare);
        before != nullptr && !IsSelf(before->endpoint_)) {
      return QuotaTenure{ former->replacedAt_ + kSettleTime, refillsFrom_ };
    }
  }
  return QuotaTenure{ aNow, refillsFrom_ };
}

} // namespace boragepier
