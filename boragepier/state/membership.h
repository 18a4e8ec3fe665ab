#ifndef BORAGEPIER_STATE_MEMBERSHIP_H
#define BORAGEPIER_STATE_MEMBERSHIP_H

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "boragepier/ports/peer_message.h"

namespace boragepier {

/// Rounds (seconds) without a message from an instance after which it counts as not heard from. It
/// is then removed, unless it is in the platform's list or the settings.
inline constexpr std::uint64_t kMemberTimeoutRounds = 60;
/// Rounds after which a peer that could not be reached is contacted again.
inline constexpr std::uint64_t kPeerRetryRounds = 10;

/// The entry instances known to this one: those in the platform's list, seeds from the settings,
/// and peers heard from. The view may be wrong: it is used only to select peers to send to and
/// to divide work such as polling among the live instances. Rounds are explained at FleetState.
class Membership
{
public:
  /// @param aSelf endpoint of this instance, which is not among the peers
  /// @param aSeeds addresses from the settings; their ids are ignored
  Membership(PeerEndpoint aSelf, std::span<const PeerEndpoint> aSeeds);

  /// Replaces the instances known from the platform's list.
  void SetListed(std::span<const MemberEntry> aListed);
  /// Records that a peer was heard from, by this instance or by the peer that sent the entry.
  /// Ignores an entry that is expired or older than the known one.
  /// @param aRound the current round
  /// @return whether the peer is new, or starts or stops leaving
  bool Accept(const MemberEntry& aMember, std::uint64_t aRound);
  /// Records that a peer could not be reached.
  /// @param aPeer the id, or "address:port" for a seed that has not been heard from
  /// @param aRound the current round
  void MarkUnreachable(const InstanceId& aPeer, std::uint64_t aRound);
  /// Removes the peers that have not been heard from for kMemberTimeoutRounds.
  /// @param aRound the current round
  void Expire(std::uint64_t aRound);

  /// @return the peers to send to: all except those that could not be reached within the last
  ///   kPeerRetryRounds rounds and have not been heard from since. The pointers are valid until the
  ///   next change of this object.
  std::vector<const PeerEndpoint*> ReachablePeers(std::uint64_t aRound) const;
  /// @return the instances, listed or heard from, that are reachable and not leaving, and this one;
  ///   ordered by id
  std::vector<InstanceId> LiveInstances(std::uint64_t aRound) const;
  /// @return the instances heard from, to be relayed to peers
  std::vector<MemberEntry> RecentlyHeard() const;
  /// @return the endpoint of a peer, or nothing if it is unknown
  std::optional<PeerEndpoint> Find(const InstanceId& aPeer) const;

private:
  struct Member
  {
    PeerEndpoint endpoint_;
    bool isSeed_ = false;
    bool isListed_ = false;
    bool leaving_ = false;
    std::optional<std::uint64_t> lastHeardRound_;       ///< empty if never heard from or expired
    std::optional<std::uint64_t> lastUnreachableRound_; ///< empty if never unreachable
  };
  bool IsReachable(const Member& aMember, std::uint64_t aRound) const;

  PeerEndpoint self_;
  std::map<InstanceId, Member> members_;
};

} // namespace boragepier

#endif
