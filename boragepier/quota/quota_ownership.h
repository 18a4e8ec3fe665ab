#ifndef BORAGEPIER_QUOTA_QUOTA_OWNERSHIP_H
#define BORAGEPIER_QUOTA_QUOTA_OWNERSHIP_H

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "boragepier/base/ids.h"
#include "boragepier/base/time.h"
#include "boragepier/ports/directory_feed.h"
#include "boragepier/ports/peer_message.h"
#include "boragepier/quota/quota_plan.h"

namespace boragepier {

/// One share of the quota of a team.
struct QuotaShareId
{
  std::uint64_t team_ = 0; ///< TeamIdOf() its name
  std::uint32_t share_ = 0;

  // clang-tidy 14 reports a false positive for the defaulted comparison.
  friend auto operator<=>(const QuotaShareId&,
                          const QuotaShareId&) = default; // NOLINT(modernize-use-nullptr)
};

/// From when on an owner may grant a share. Both times can be in the future.
struct QuotaTenure
{
  MonotonicTime grantsFrom_;
  /// From when on the credit of the share counts, unless the owner already has a bucket for it.
  MonotonicTime refillsFrom_;
};

/// Selects the owner of each share by rendezvous hashing among the instances with the most
/// capacity, so that instances with the same list agree. The shares of a team have owners in
/// different availability zones, or at least different owners, as far as there are any. Reads no
/// clock and does no I/O.
///
/// The lists of the instances differ for some time after a change. A new owner therefore waits for
/// kSettleTime after it, in which the former owner, and all that ask it, learn of the change.
class QuotaOwnership
{
public:
  /// Time in which a change of the list of instances reaches all of them.
  static constexpr Duration kSettleTime = std::chrono::seconds(2);

  /// Owners of the shares that a team can have.
  struct Owners
  {
    /// By share; null if no instance is known.
    std::array<const PeerEndpoint*, QuotaPlan::kMaxShares> endpoints_{};
    /// Share whose owner is in the availability zone of this instance.
    std::optional<std::uint32_t> nearShare_;
  };

  /// @param aSelf this instance
  /// @param aZone its availability zone
  explicit QuotaOwnership(InstanceId aSelf, ZoneName aZone = {});

  /// Replaces the list of instances.
  void SetInstances(std::span<const InstanceEntry> aInstances, MonotonicTime aNow);

  /// @return the owners of the shares of a team. Valid until SetInstances().
  Owners OwnersOf(std::uint64_t aTeam) const;
  /// @param aShare a share below QuotaPlan::kMaxShares
  /// @return the owner of a share, or null if no instance is known. Valid until SetInstances().
  const PeerEndpoint* OwnerOf(const QuotaShareId& aShare) const;
  /// @return whether this instance is the owner
  bool Owns(const QuotaShareId& aShare) const
  {
    const PeerEndpoint* const owner = OwnerOf(aShare);
    return owner != nullptr && IsSelf(*owner);
  }
  bool IsSelf(const PeerEndpoint& aOwner) const { return aOwner.id_ == self_; }
  /// @return from when on this instance grants a share, or nothing if another instance owns it
  std::optional<QuotaTenure> TenureOf(const QuotaShareId& aShare, MonotonicTime aNow) const;

private:
  /// An instance that can own shares.
  struct Candidate
  {
    PeerEndpoint endpoint_;
    ZoneName zone_;
    std::uint64_t hash_ = 0; ///< of the id

    friend bool operator==(const Candidate&, const Candidate&) = default;
  };
  using Candidates = std::vector<Candidate>;

  struct FormerList
  {
    Candidates candidates_;
    MonotonicTime replacedAt_;
  };

  using OwnerCandidates = std::array<const Candidate*, QuotaPlan::kMaxShares>;

  static OwnerCandidates OwnersAmong(const Candidates& aCandidates, std::uint64_t aTeam);

  const InstanceId self_;
  const ZoneName zone_;
  Candidates candidates_;
  MonotonicTime refillsFrom_{};      ///< of shares whose owner has changed with candidates_
  std::vector<FormerList> formerly_; ///< replaced recently, oldest first
};

} // namespace boragepier

#endif
