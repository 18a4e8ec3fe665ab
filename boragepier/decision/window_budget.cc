#include "boragepier/decision/window_budget.h"

#include <algorithm>

namespace boragepier {

namespace {

// Part of the slack that is used. The rest covers attempts that a restarted instance has forgotten
// and instances that are missing in the list.
constexpr double kUsedSlackShare = 0.7;
// Part of the ratio that is used, because a request and its extra attempts may fall into different
// windows.
constexpr double kUsedRatioShare = 0.9;

} // namespace

void
WindowBudget::SetLimits(double aRatio, double aSlack, Duration aWindow)
{
  ratio_ = aRatio;
  fleetSlack_ = aSlack;
  window_ = std::max<Duration>(aWindow, std::chrono::milliseconds(1));
}

void
WindowBudget::SetInstances(std::size_t aInstances)
{
  instances_ = std::max<std::size_t>(1, aInstances);
}

WindowBudget::Bucket&
WindowBudget::CurrentBucket(MonotonicTime aNow)
{
  const auto bucketLength = window_ / static_cast<std::int64_t>(kBuckets);
  const std::int64_t intervalNumber = aNow.time_since_epoch() / bucketLength;
  Bucket& bucket = buckets_[static_cast<std::size_t>(intervalNumber) % buckets_.size()];
  if (bucket.intervalNumber_ != intervalNumber) {
    bucket = { intervalNumber, 0, 0 };
  }
  return bucket;
}

void
WindowBudget::OnRequest(MonotonicTime aNow)
{
  ++CurrentBucket(aNow).requests_;
}

bool
WindowBudget::CanSpend(MonotonicTime aNow)
{
  return FitsInto(1, aNow);
}

bool
WindowBudget::FitsInto(double aShare, MonotonicTime aNow)
{
  const std::int64_t currentInterval = CurrentBucket(aNow).intervalNumber_;
  double requests = 0;
  double extraAttempts = 0;
  for (const Bucket& bucket : buckets_) {
    const std::int64_t age = currentInterval - bucket.intervalNumber_;
    if (bucket.intervalNumber_ < 0 || age < 0 || age > static_cast<std::int64_t>(kBuckets)) {
      continue;
    }
    extraAttempts += bucket.extraAttempts_;
    // The oldest bucket is only partly inside the window: its requests do not count.
    requests += age < static_cast<std::int64_t>(kBuckets) ? bucket.requests_ : 0;
  }
  const double instanceSlack = kUsedSlackShare * fleetSlack_ / static_cast<double>(instances_);
  return extraAttempts + 1 <= aShare * (kUsedRatioShare * ratio_ * requests + instanceSlack);
}

bool
WindowBudget::TrySpend(MonotonicTime aNow, double aReservedShare)
{
  if (!FitsInto(1 - aReservedShare, aNow)) {
    return false;
  }
  ++CurrentBucket(aNow).extraAttempts_;
  return true;
}

} // namespace boragepier
