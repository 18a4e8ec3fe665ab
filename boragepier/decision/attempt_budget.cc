#include "boragepier/decision/attempt_budget.h"

#include <algorithm>

namespace boragepier {

namespace {

// Savings beyond this are dropped, so that a long quiet time does not pay for a retry storm.
constexpr double kMaxBalance = 20;

} // namespace

void
AttemptBudget::OnRequest()
{
  const double repaid = std::min(prepaid_, share_);
  prepaid_ -= repaid;
  balance_ = std::min(kMaxBalance, balance_ + share_ - repaid);
}

bool
AttemptBudget::TryTake()
{
  if (!CanTake()) {
    return false;
  }
  balance_ -= 1;
  return true;
}

} // namespace boragepier
