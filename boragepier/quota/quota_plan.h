#ifndef BORAGEPIER_QUOTA_QUOTA_PLAN_H
#define BORAGEPIER_QUOTA_QUOTA_PLAN_H

#include <cstdint>

#include "boragepier/base/time.h"
#include "boragepier/config/team_config.h"

namespace boragepier {

/// How the requests of a team are counted: in each window at most
/// (rate x window + burst) x (1 + overage) + slack are admitted by all instances together.
struct QuotaRules
{
  Duration window_ = std::chrono::seconds(5);
  double overage_ = 0.1;
  double slack_ = 0;

  friend bool operator==(const QuotaRules&, const QuotaRules&) = default;
};

/// Division of the quota of one team into shares, each of which is granted by one instance.
///
/// Credit is used within creditLifetime_ of its grant, so what is admitted in a window was granted
/// in one that is longer by this time. Rate and size of the shares are such that this, the credit
/// with which new buckets start, and a reserve for repeated restarts stay within the QuotaRules.
struct QuotaPlan
{
  /// Largest number of shares.
  static constexpr std::uint32_t kMaxShares = 4;

  std::uint32_t shareCount_ = 1;
  double shareRate_ = 0;     ///< requests per second that refill the bucket of a share
  double shareSize_ = 1;     ///< requests that the bucket of a share holds
  double initialCredit_ = 0; ///< requests that the bucket of a share holds at its start
  Duration creditLifetime_{};
};

/// @return time after which credit that was asked for ends
Duration
CreditLifetime(const QuotaRules& aRules);

/// @param aTerms terms with a rate above 0
QuotaPlan
PlanQuota(const TeamTerms& aTerms, const QuotaRules& aRules);

} // namespace boragepier

#endif
