#include "boragepier/decision/machine_pace.h"

#include <algorithm>

namespace boragepier {

namespace {

// Weight of one report in the mean rate; about 200 reports determine it.
constexpr double kReportWeight = 0.005;
// Reports outside these limits are taken for the nearest limit.
constexpr double kMinSlowness = 0.1;
constexpr double kMaxSlowness = 100;

} // namespace

void
MachinePace::OnReport(double aSlowness)
{
  const double slowness = std::clamp(aSlowness, kMinSlowness, kMaxSlowness);
  meanRate_ += kReportWeight * (1 / slowness - meanRate_);
}

double
MachinePace::DurationMs(double aWorkMs, double aSlowness) const
{
  const double slowness = std::clamp(aSlowness, kMinSlowness, kMaxSlowness);
  const double atPresentPace = aWorkMs * slowness;
  if (atPresentPace <= kHoldMs) {
    return atPresentPace;
  }
  return kHoldMs + (aWorkMs - kHoldMs / slowness) / meanRate_;
}

double
MachinePace::WorkMs(double aDurationMs, double aSlowness) const
{
  const double slowness = std::clamp(aSlowness, kMinSlowness, kMaxSlowness);
  if (aDurationMs <= kHoldMs) {
    return aDurationMs / slowness;
  }
  return kHoldMs / slowness + (aDurationMs - kHoldMs) * meanRate_;
}

} // namespace boragepier
