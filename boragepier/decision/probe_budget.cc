#include "boragepier/decision/probe_budget.h"

#include <algorithm>

namespace boragepier {

namespace {

// Part of the instance's share that is used. Two thirds, because the list may lack a third of the
// instances; 5 % less, the default burst of 0.05 s, so that no second exceeds the budget.
constexpr double kUsedShare = 2.0 / 3 * 0.95;

} // namespace

void
ProbeBudget::SetRate(double aPerUpstreamSecond,
                     std::size_t aUpstreams,
                     std::size_t aInstances,
                     double aBurstSeconds)
{
  burstSeconds_ = aBurstSeconds;
  const double fleetPerSecond = aPerUpstreamSecond * static_cast<double>(aUpstreams);
  tokensPerMs_ =
    kUsedShare * fleetPerSecond / static_cast<double>(std::max<std::size_t>(1, aInstances)) / 1000;
}

bool
ProbeBudget::TrySpend(MonotonicTime aNow)
{
  if (tokensPerMs_ <= 0) {
    return false;
  }
  const double maxTokens = std::max(1.0, tokensPerMs_ * 1000 * burstSeconds_);
  if (lastRefill_ == MonotonicTime()) {
    // The bucket starts full, so that the first requests can be probed for.
    tokens_ = maxTokens;
    lastRefill_ = aNow;
  }
  if (aNow > lastRefill_) {
    tokens_ = std::min(maxTokens, tokens_ + ToMilliseconds(aNow - lastRefill_) * tokensPerMs_);
    lastRefill_ = aNow;
  }
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

} // namespace boragepier
