#ifndef BORAGEPIER_BASE_RATE_BUDGET_H
#define BORAGEPIER_BASE_RATE_BUDGET_H

#include <algorithm>
#include <cstddef>

#include "boragepier/base/time.h"

namespace boragepier {

/// Bounds something per second on average, for example bytes. Spending may exceed what is left
/// once, so that a message larger than the budget of a second can pass; the debt is then waited
/// for.
class RateBudget
{
public:
  /// @param aPerSecond the rate; unused budget is kept for one second
  explicit RateBudget(double aPerSecond)
    : rate_(aPerSecond)
    , left_(aPerSecond)
  {
  }

  /// @return whether something may be spent now
  bool Allows(MonotonicTime aNow)
  {
    Refill(aNow);
    return left_ > 0;
  }

  void Spend(std::size_t aAmount, MonotonicTime aNow)
  {
    Refill(aNow);
    left_ -= static_cast<double>(aAmount);
  }

  /// @return time until Allows() holds, at least a millisecond if it does not hold now
  Duration Wait(MonotonicTime aNow)
  {
    Refill(aNow);
    return left_ > 0 ? Duration::zero() : FromMilliseconds(-left_ / rate_ * 1000 + 1);
  }

private:
  void Refill(MonotonicTime aNow)
  {
    const std::chrono::duration<double> passed = aNow - last_;
    if (passed.count() > 0) {
      left_ = std::min(rate_, left_ + passed.count() * rate_);
      last_ = aNow;
    }
  }

  double rate_;
  double left_;
  MonotonicTime last_{};
};

} // namespace boragepier

#endif
