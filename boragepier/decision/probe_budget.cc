#include "boragepier/decision/probe_budget.h"

#include <algorithm>

namespace boragepier {

namespace {

// Part of the share that is used; the rest covers a list that lacks a third of the instances.
constexpr double kUsedShare = 2.0 / 3;
// Lets a few requests in a row use probes.
constexpr double kMaxSaved = 8;

} // namespace

void
ProbeBudget::SetRate(double aPerUpstreamSecond, std::size_t aUpstreams, std::size_t aInstances)
{
  const double fleet = aPerUpstreamSecond * static_cast<double>(aUpstreams);
  perMs_ = kUsedShare * fleet / static_cast<double>(std::max<std::size_t>(1, aInstances)) / 1000;
}

bool
ProbeBudget::TryTake(MonotonicTime aNow)
{
  if (perMs_ <= 0) {
    return false;
  }
  if (aNow > last_) {
    saved_ = std::min(kMaxSaved, saved_ + ToMilliseconds(aNow - last_) * perMs_);
    last_ = aNow;
  }
  if (saved_ < 1) {
    return false;
  }
  saved_ -= 1;
  return true;
}

} // namespace boragepier
