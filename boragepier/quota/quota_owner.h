#ifndef BORAGEPIER_QUOTA_QUOTA_OWNER_H
#define BORAGEPIER_QUOTA_QUOTA_OWNER_H

#include <cstddef>
#include <cstdint>
#include <map>

#include "boragepier/base/time.h"
#include "boragepier/quota/quota_ownership.h"
#include "boragepier/quota/quota_plan.h"

namespace boragepier {

/// Answer of the owner of a share to an instance that asks for credit.
struct QuotaDecision
{
  std::uint32_t granted_ = 0;
  /// Time in which the instance should not ask again; zero if it got all that it wanted.
  Duration deniedFor_{};
};

/// Grants credit from the shares that one instance owns: a token bucket for each. Reads no clock
/// and does no I/O.
class QuotaOwner
{
public:
  /// Longest time for which credit is denied at once.
  static constexpr Duration kMaxDenial = std::chrono::seconds(1);

  /// Takes credit from a share.
  /// @param aPlan current plan of the team
  /// @param aTenure from when on this instance grants the share
  /// @param aWanted requests for which credit is asked, at least 1
  QuotaDecision Take(const QuotaShareId& aShare,
                     const QuotaPlan& aPlan,
                     const QuotaTenure& aTenure,
                     std::uint32_t aWanted,
                     MonotonicTime aNow);

  /// Forgets the shares that are owned by others now. To be called after each change of owners.
  /// @param aOwned returns whether this instance owns a share
  template<typename Predicate>
  void Retain(Predicate aOwned)
  {
    std::erase_if(buckets_, [&](const auto& aEntry) { return !aOwned(aEntry.first); });
  }

  /// Forgets the buckets that are full, so that unused ones take no memory. A new one holds no
  /// more.
  void DropFull(MonotonicTime aNow);

  std::size_t BucketCount() const { return buckets_.size(); }

private:
  struct Bucket
  {
    double credit_ = 0;
    double rate_ = 0;
    double size_ = 1;
    MonotonicTime refilledAt_{};
    MonotonicTime nextTurn_{}; ///< until which the latest denial holds

    void Refill(MonotonicTime aNow);
  };

  std::map<QuotaShareId, Bucket> buckets_;
};

} // namespace boragepier

#endif
