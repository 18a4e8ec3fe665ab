#include "boragepier/decision/window_budget.h"

#include <algorithm>

namespace boragepier {

namespace {

// Part of the fixed number that is used. A restarted instance does not know what it used before,
// and the list of instances may lack some.
constexpr double kUsedSlack = 0.7;
// Part of the ratio that is used: requests and their attempts may fall into different windows.
constexpr double kUsedRatio = 0.9;

} // namespace

void
WindowBudget::SetTerms(double aRatio, double aSlack, Duration aWindow)
{
  ratio_ = aRatio;
  slack_ = aSlack;
  window_ = std::max<Duration>(aWindow, std::chrono::milliseconds(1));
}

void
WindowBudget::SetInstances(std::size_t aInstances)
{
  instances_ = std::max<std::size_t>(1, aInstances);
}

WindowBudget::Bucket&
WindowBudget::Current(MonotonicTime aNow)
{
  const auto bucketLength = window_ / static_cast<std::int64_t>(kBuckets);
  const std::int64_t number = aNow.time_since_epoch() / bucketLength;
  Bucket& bucket = buckets_[static_cast<std::size_t>(number) % buckets_.size()];
  if (bucket.number_ != number) {
    bucket = { number, 0, 0 };
  }
  return bucket;
}

void
WindowBudget::OnRequest(MonotonicTime aNow)
{
  ++Current(aNow).requests_;
}

bool
WindowBudget::CanTake(MonotonicTime aNow)
{
  const std::int64_t last = Current(aNow).number_;
  double requests = 0;
  double taken = 0;
  for (const Bucket& bucket : buckets_) {
    const std::int64_t age = last - bucket.number_;
    if (bucket.number_ < 0 || age < 0 || age > static_cast<std::int64_t>(kBuckets)) {
      continue;
    }
    taken += bucket.taken_;
    // The oldest bucket is only partly inside the window.
    requests += age < static_cast<std::int64_t>(kBuckets) ? bucket.requests_ : 0;
  }
  const double slack = kUsedSlack * slack_ / static_cast<double>(instances_);
  return taken + 1 <= kUsedRatio * ratio_ * requests + slack;
}

bool
WindowBudget::TryTake(MonotonicTime aNow)
{
  if (!CanTake(aNow)) {
    return false;
  }
  ++Current(aNow).taken_;
  return true;
}

} // namespace boragepier
