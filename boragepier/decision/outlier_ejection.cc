#include "boragepier/decision/outlier_ejection.h"

#include <algorithm>
#include <array>

namespace boragepier {

namespace {

constexpr std::array<double, 5> kSteps = { 0.05, 0.15, 0.4, 0.7, 1 };
constexpr int kHealthyStep = static_cast<int>(kSteps.size()) - 1;
constexpr int kColdStep = 1;
constexpr int kSuccessesPerStep = 2;
constexpr int kErrorsToEject = 3;
constexpr int kSlowAnswersToEject = 3;
constexpr Duration kFirstEjection = std::chrono::seconds(2);
constexpr int kMaxDoublings = 4;

} // namespace

void
OutlierEjection::Add(bool aCold)
{
  upstreams_.emplace_back().step_ = aCold ? kColdStep : kHealthyStep;
}

void
OutlierEjection::Restart(std::size_t aIndex)
{
  upstreams_[aIndex] = Upstream();
  upstreams_[aIndex].step_ = kColdStep;
}

void
OutlierEjection::OnSuccess(std::size_t aIndex)
{
  Upstream& upstream = upstreams_[aIndex];
  upstream.consecutiveErrors_ = 0;
  upstream.slowAnswers_ = std::max(0, upstream.slowAnswers_ - 1);
  if (upstream.step_ == kHealthyStep || ++upstream.successes_ < kSuccessesPerStep) {
    return;
  }
  upstream.successes_ = 0;
  if (++upstream.step_ == kHealthyStep) {
    upstream.ejections_ = 0;
  }
}

void
OutlierEjection::OnError(std::size_t aIndex, MonotonicTime aNow, Random& aRandom)
{
  Upstream& upstream = upstreams_[aIndex];
  const bool onTheWayBack = upstream.ejections_ > 0;
  upstream.successes_ = 0;
  upstream.step_ = std::max(0, upstream.step_ - 2);
  if (++upstream.consecutiveErrors_ >= kErrorsToEject || onTheWayBack) {
    Eject(upstream, aNow, aRandom);
  }
}

void
OutlierEjection::OnSlow(std::size_t aIndex, MonotonicTime aNow, Random& aRandom)
{
  Upstream& upstream = upstreams_[aIndex];
  const bool onTheWayBack = upstream.ejections_ > 0;
  upstream.successes_ = 0;
  upstream.step_ = std::max(0, upstream.step_ - 1);
  if (++upstream.slowAnswers_ >= kSlowAnswersToEject || onTheWayBack) {
    Eject(upstream, aNow, aRandom);
  }
}

double
OutlierEjection::Standing(std::size_t aIndex, MonotonicTime aNow) const
{
  const Upstream& upstream = upstreams_[aIndex];
  return aNow < upstream.ejectedUntil_ ? 0 : kSteps.at(static_cast<std::size_t>(upstream.step_));
}

bool
OutlierEjection::MayEject(MonotonicTime aNow) const
{
  const auto ejected =
    std::count_if(upstreams_.begin(), upstreams_.end(), [&](const Upstream& aUpstream) {
      return aNow < aUpstream.ejectedUntil_;
    });
  const double bound = std::max(1.0, maxShare_ * static_cast<double>(present_));
  return present_ > 1 && static_cast<double>(ejected) + 1 <= bound;
}

void
OutlierEjection::Eject(Upstream& aUpstream, MonotonicTime aNow, Random& aRandom)
{
  aUpstream.step_ = 0;
  if (aNow < aUpstream.ejectedUntil_ || !MayEject(aNow)) {
    return;
  }
  // A random addition of up to a half keeps the instances from returning at the same moment.
  const Duration base = kFirstEjection * (1 << std::min(aUpstream.ejections_, kMaxDoublings));
  const auto jitter = Duration(aRandom(1000) * (base.count() / 2000));
  aUpstream.ejectedUntil_ = aNow + base + jitter;
  ++aUpstream.ejections_;
  aUpstream.consecutiveErrors_ = 0;
  aUpstream.slowAnswers_ = 0;
}

} // namespace boragepier
