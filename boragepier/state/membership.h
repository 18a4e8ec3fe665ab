#ifndef BORAGEPIER_STATE_MEMBERSHIP_H
#define BORAGEPIER_STATE_MEMBERSHIP_H

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "boragepier/ports/peer_message.h"

namespace boragepier {

/// An instance that is on no list is forgotten when nobody has heard from it for this number of
/// rounds.
inline constexpr std::uint64_t kMemberRounds = 60;
/// A peer that could not be reached is tried again after this number of rounds.
inline constexpr std::uint64_t kRetryPeerRounds = 10;

/// Entry instances as far as known: the platform's list, seeds from settings and peers heard from.
/// A hint: it decides whom to send to and who polls the store, and nothing else.
class Membership
{
public:
  /// @param aSelf this instance
  /// @param aSeeds addresses from settings; their ids may be empty
  Membership(PeerEndpoint aSelf, std::span<const PeerEndpoint> aSeeds);

  /// Replaces what the platform's list holds.
  void SetListed(std::span<const MemberEntry> aListed);
  /// A peer was heard from, by this instance or by the peer that sent the entry.
  /// @return whether the peer is new, or starts or stops leaving
  bool Accept(const MemberEntry& aMember, std::uint64_t aRound);
  /// A peer could not be reached. Seeds are identified by "address:port" until they are heard from.
  void Unreachable(const InstanceId& aPeer, std::uint64_t aRound);
  /// Forgets peers that were not heard from for long.
  void Expire(std::uint64_t aRound);

  /// @return peers to send to: all but those that could not be reached lately. Valid until the
  ///         next change.
  std::vector<const PeerEndpoint*> Peers(std::uint64_t aRound) const;
  /// @return instances that are live and not leaving, this one included, ordered by id
  std::vector<InstanceId> Live(std::uint64_t aRound) const;
  /// @return what is worth relaying: the instances heard from
  std::vector<MemberEntry> Heard() const;
  /// @return where a peer is reached, or nothing
  std::optional<PeerEndpoint> Find(const InstanceId& aPeer) const;

private:
  struct Member
  {
    PeerEndpoint endpoint_;
    bool seed_ = false;
    bool listed_ = false;
    bool leaving_ = false;
    std::optional<std::uint64_t> heard_;       ///< round
    std::optional<std::uint64_t> unreachable_; ///< round
  };
  bool Reachable(const Member& aMember, std::uint64_t aRound) const;

  PeerEndpoint self_;
  std::map<InstanceId, Member> members_;
};

} // namespace boragepier

#endif
