#include "boragepier/decision/attempt_budget.h"

#include <algorithm>

namespace boragepier {

namespace {

// Capacity of the bucket. Without it, tokens saved while few attempts failed would pay for a retry
// storm.
constexpr double kMaxTokens = 20;

} // namespace

void
AttemptBudget::OnRequest()
{
  const double repaid = std::min(unpaidInitialTokens_, share_);
  unpaidInitialTokens_ -= repaid;
  tokens_ = std::min(kMaxTokens, tokens_ + share_ - repaid);
}

bool
AttemptBudget::TrySpend()
{
  if (!CanSpend()) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

} // namespace boragepier
