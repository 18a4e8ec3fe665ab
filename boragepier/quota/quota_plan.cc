#include "boragepier/quota/quota_plan.h"

#include <algorithm>

namespace boragepier {

namespace {

// Credit must outlive the exchange of two messages, however small the overage is.
constexpr Duration kMinCreditLifetime = std::chrono::milliseconds(50);
// Bounds of the total rate of the shares as a multiple of the team's rate. The lower one takes
// effect for quotas below a few requests a window, which cannot be divided.
constexpr double kMinRateFactor = 0.5;
constexpr double kMaxRateFactor = 2;

double
InSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

Duration
CreditLifetime(const QuotaRules& aRules)
{
  return std::max(
    kMinCreditLifetime,
    FromMilliseconds(ToMilliseconds(aRules.window_) * std::min(1.0, aRules.overage_ / 2)));
}

QuotaPlan
PlanQuota(const TeamTerms& aTerms, const QuotaRules& aRules)
{
  QuotaPlan plan;
  plan.creditLifetime_ = CreditLifetime(aRules);
  const double rate = aTerms.ratePerSecond_;
  const double burst = aTerms.burst_;
  const double window = InSeconds(aRules.window_);
  const double refill = rate * (window + InSeconds(plan.creditLifetime_));
  const double bound = (rate * window + burst) * (1 + aRules.overage_) + aRules.slack_;
  // Half of what the rules tolerate beyond the quota covers the starts of owners.
  const double spare = std::max(0.0, bound - refill - burst);
  const double usable = bound - spare / 2;
  plan.shareCount_ = QuotaPlan::kMaxShares;
  while (plan.shareCount_ > 1 && refill + plan.shareCount_ > usable) {
    --plan.shareCount_;
  }
  const double shares = plan.shareCount_;
  // Part of the slack evens out the arrivals of teams with few requests.
  const double slack = std::min(spare, aRules.slack_);
  const double size = std::max(shares, burst + slack / 4);
  const double factor = std::clamp((usable - size) / refill, kMinRateFactor, kMaxRateFactor);
  plan.shareRate_ = rate * factor / shares;
  plan.shareSize_ = size / shares;
  plan.initialCredit_ = std::min(plan.shareSize_, slack / (2 * shares));
  return plan;
}

} // namespace boragepier
