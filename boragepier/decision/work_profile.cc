#include "boragepier/decision/work_profile.h"

#include <algorithm>

namespace boragepier {

void
WorkProfile::Add(std::uint64_t aClass, double aWorkMs)
{
  if (classes_.size() >= kMaxClasses && !classes_.contains(aClass)) {
    classes_.clear();
  }
  Mean& mean = classes_[aClass];
  mean.samples_ = std::min(mean.samples_ + 1, kMaxSamples);
  mean.workMs_ += (aWorkMs - mean.workMs_) / mean.samples_;
}

double
WorkProfile::MeanMs(std::uint64_t aClass, double aFallbackMs) const
{
  const auto found = classes_.find(aClass);
  return found == classes_.end() ? aFallbackMs : found->second.workMs_;
}

} // namespace boragepier
