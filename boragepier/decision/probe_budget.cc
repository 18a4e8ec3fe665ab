#include "boragepier/decision/probe_budget.h"

#include <algorithm>

namespace boragepier {

namespace {

// Part of the share that is used. A third covers a list that lacks a third of the instances; the
// burst is left out so that no second exceeds the budget.
constexpr double kUsedShare = 2.0 / 3 * 0.95;

} // namespace

void
ProbeBudget::SetRate(double aPerUpstreamSecond,
                     std::size_t aUpstreams,
                     std::size_t aInstances,
                     double aSavedSeconds)
{
  savedSeconds_ = aSavedSeconds;
  const double fleet = aPerUpstreamSecond * static_cast<double>(aUpstreams);
  perMs_ = kUsedShare * fleet / static_cast<double>(std::max<std::size_t>(1, aInstances)) / 1000;
}

bool
ProbeBudget::TryTake(MonotonicTime aNow)
{
  if (perMs_ <= 0) {
    return false;
  }
  const double limit = std::max(1.0, perMs_ * 1000 * savedSeconds_);
  if (last_ == MonotonicTime()) {
    // Nothing was sent yet, so the first requests need not do without probes.
    saved_ = limit;
    last_ = aNow;
  }
  if (aNow > last_) {
    saved_ = std::min(limit, saved_ + ToMilliseconds(aNow - last_) * perMs_);
    last_ = aNow;
  }
  if (saved_ < 1) {
    return false;
  }
  saved_ -= 1;
  return true;
}

} // namespace boragepier
