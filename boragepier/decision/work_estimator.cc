#include "boragepier/decision/work_estimator.h"

#include <algorithm>

namespace boragepier {

void
WorkEstimator::AddSample(std::uint64_t aClass, double aWorkMs)
{
  if (meansByClass_.size() >= kMaxClasses && !meansByClass_.contains(aClass)) {
    meansByClass_.clear();
  }
  Mean& mean = meansByClass_[aClass];
  mean.samples_ = std::min(mean.samples_ + 1, kMaxSamples);
  mean.workMs_ += (aWorkMs - mean.workMs_) / mean.samples_;
}

double
WorkEstimator::MeanWorkMs(std::uint64_t aClass, double aFallbackMs) const
{
  const auto found = meansByClass_.find(aClass);
  return found == meansByClass_.end() ? aFallbackMs : found->second.workMs_;
}

} // namespace boragepier
