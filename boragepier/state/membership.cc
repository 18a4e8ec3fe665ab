#include "boragepier/state/membership.h"

#include <algorithm>
#include <string>
#include <utility>

namespace boragepier {

namespace {

InstanceId
SeedId(const PeerEndpoint& aSeed)
{
  return InstanceId(aSeed.address_ + ':' + std::to_string(aSeed.port_));
}

bool
SameAddress(const PeerEndpoint& aLeft, const PeerEndpoint& aRight)
{
  return aLeft.address_ == aRight.address_ && aLeft.port_ == aRight.port_;
}

} // namespace

Membership::Membership(PeerEndpoint aSelf, std::span<const PeerEndpoint> aSeeds)
  : self_(std::move(aSelf))
{
  for (PeerEndpoint seed : aSeeds) {
    if (SameAddress(seed, self_)) {
      continue;
    }
    seed.id_ = SeedId(seed);
    Member& member = members_[seed.id_];
    member.endpoint_ = seed;
    member.isSeed_ = true;
  }
}

void
Membership::SetListed(std::span<const MemberEntry> aListed)
{
  for (auto& [id, member] : members_) {
    member.isListed_ = false;
  }
  for (const MemberEntry& listed : aListed) {
    if (listed.endpoint_.id_ == self_.id_ || listed.endpoint_.id_.Empty()) {
      continue;
    }
    Member& member = members_[listed.endpoint_.id_];
    member.isListed_ = true;
    if (!member.lastHeardRound_) { // what the peer reported itself is newer than the list
      member.endpoint_ = listed.endpoint_;
      member.leaving_ = listed.leaving_;
    }
  }
}

bool
Membership::Accept(const MemberEntry& aMember, std::uint64_t aRound)
{
  const InstanceId& id = aMember.endpoint_.id_;
  if (id == self_.id_ || id.Empty() || aMember.round_ + kMemberTimeoutRounds <= aRound) {
    return false;
  }
  Member& member = members_[id];
  const std::uint64_t round = std::min(aMember.round_, aRound + kMemberTimeoutRounds);
  const bool older = member.lastHeardRound_ && round < *member.lastHeardRound_;
  // Of two entries of the same round, the one that says that the peer is leaving wins.
  const bool stopsLeaving = member.lastHeardRound_ == round && member.leaving_ && !aMember.leaving_;
  if (older || stopsLeaving) {
    return false;
  }
  const bool isNew = !member.lastHeardRound_ || member.leaving_ != aMember.leaving_;
  member.endpoint_ = aMember.endpoint_;
  member.leaving_ = aMember.leaving_;
  member.lastHeardRound_ = round;
  return isNew;
}

void
Membership::MarkUnreachable(const InstanceId& aPeer, std::uint64_t aRound)
{
  if (const auto found = members_.find(aPeer); found != members_.end()) {
    found->second.lastUnreachableRound_ = aRound;
  }
}

void
Membership::Expire(std::uint64_t aRound)
{
  for (auto& [id, member] : members_) {
    if (member.lastHeardRound_ && *member.lastHeardRound_ + kMemberTimeoutRounds <= aRound) {
      member.lastHeardRound_.reset();
    }
  }
  std::erase_if(members_, [](const auto& aItem) {
    const Member& member = aItem.second;
    return !member.lastHeardRound_ && !member.isSeed_ && !member.isListed_;
  });
}

bool
Membership::IsReachable(const Member& aMember, std::uint64_t aRound) const
{
  const auto& heard = aMember.lastHeardRound_;
  const auto& unreachable = aMember.lastUnreachableRound_;
  return !unreachable || (heard && *heard > *unreachable) ||
         *unreachable + kPeerRetryRounds <= aRound;
}

std::vector<const PeerEndpoint*>
Membership::ReachablePeers(std::uint64_t aRound) const
{
  std::vector<const PeerEndpoint*> peers;
  for (const auto& item : members_) {
    const Member& member = item.second;
    if (!IsReachable(member, aRound)) {
      continue;
    }
    // A seed whose id is known is returned only once, under its id.
    const bool knownById =
      member.isSeed_ && std::ranges::any_of(members_, [&](const auto& aOther) {
        return !aOther.second.isSeed_ && SameAddress(aOther.second.endpoint_, member.endpoint_);
      });
    if (!knownById) {
      peers.push_back(&member.endpoint_);
    }
  }
  return peers;
}

std::vector<InstanceId>
Membership::LiveInstances(std::uint64_t aRound) const
{
  std::vector<InstanceId> live;
  for (const auto& [id, member] : members_) {
    const bool unreachable = !IsReachable(member, aRound);
    if (!member.leaving_ && !unreachable && (member.lastHeardRound_ || member.isListed_)) {
      live.push_back(id);
    }
  }
  live.insert(std::ranges::upper_bound(live, self_.id_), self_.id_);
  return live;
}

std::vector<MemberEntry>
Membership::RecentlyHeard() const
{
  std::vector<MemberEntry> heard;
  for (const auto& [id, member] : members_) {
    if (member.lastHeardRound_) {
      heard.push_back({ member.endpoint_, *member.lastHeardRound_, member.leaving_ });
    }
  }
  return heard;
}

std::optional<PeerEndpoint>
Membership::Find(const InstanceId& aPeer) const
{
  const auto found = members_.find(aPeer);
  return found == members_.end() ? std::nullopt : std::optional(found->second.endpoint_);
}

} // namespace boragepier
