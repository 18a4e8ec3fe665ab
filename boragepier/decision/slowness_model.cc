#include "boragepier/decision/slowness_model.h"

#include <algorithm>

namespace boragepier {

namespace {

// Weight of one report in the moving average of the speed: about 200 reports determine it.
constexpr double kReportEwmaWeight = 0.005;
// Slownesses are clamped to these limits.
constexpr double kMinSlowness = 0.1;
constexpr double kMaxSlowness = 100;

} // namespace

void
SlownessModel::OnReport(double aSlowness)
{
  const double slowness = std::clamp(aSlowness, kMinSlowness, kMaxSlowness);
  meanSpeed_ += kReportEwmaWeight * (1 / slowness - meanSpeed_);
}

double
SlownessModel::ServiceTimeMs(double aWorkMs, double aSlowness) const
{
  const double slowness = std::clamp(aSlowness, kMinSlowness, kMaxSlowness);
  const double atCurrentSlownessMs = aWorkMs * slowness;
  if (atCurrentSlownessMs <= kPersistenceMs) {
    return atCurrentSlownessMs;
  }
  return kPersistenceMs + (aWorkMs - kPersistenceMs / slowness) / meanSpeed_;
}

double
SlownessModel::WorkDoneMs(double aElapsedMs, double aSlowness) const
{
  const double slowness = std::clamp(aSlowness, kMinSlowness, kMaxSlowness);
  if (aElapsedMs <= kPersistenceMs) {
    return aElapsedMs / slowness;
  }
  return kPersistenceMs / slowness + (aElapsedMs - kPersistenceMs) * meanSpeed_;
}

} // namespace boragepier
