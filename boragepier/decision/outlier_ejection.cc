#include "boragepier/decision/outlier_ejection.h"

#include <algorithm>
#include <array>

namespace boragepier {

namespace {

// Health weights from the end of an ejection to full recovery.
constexpr std::array<double, 5> kRecoveryWeights = { 0.05, 0.15, 0.4, 0.7, 1 };
constexpr int kHealthyStep = static_cast<int>(kRecoveryWeights.size()) - 1;
constexpr int kSlowStartStep = 1;
constexpr int kSuccessesPerStep = 2;
constexpr int kErrorsToEject = 3;
constexpr int kSlowAnswersToEject = 3;
constexpr Duration kBaseEjectionTime = std::chrono::seconds(2);
// The duration of an ejection doubles with each one until the upstream is healthy, at most this
// many times.
constexpr int kMaxBackoffDoublings = 4;

} // namespace

void
OutlierEjection::Add(bool aSlowStart)
{
  upstreams_.emplace_back().recoveryStep_ = aSlowStart ? kSlowStartStep : kHealthyStep;
}

void
OutlierEjection::Restart(std::size_t aIndex)
{
  upstreams_[aIndex] = Upstream();
  upstreams_[aIndex].recoveryStep_ = kSlowStartStep;
}

void
OutlierEjection::OnSuccess(std::size_t aIndex)
{
  Upstream& upstream = upstreams_[aIndex];
  upstream.consecutiveErrors_ = 0;
  upstream.slowAnswers_ = std::max(0, upstream.slowAnswers_ - 1);
  if (upstream.recoveryStep_ == kHealthyStep || ++upstream.successes_ < kSuccessesPerStep) {
    return;
  }
  upstream.successes_ = 0;
  if (++upstream.recoveryStep_ == kHealthyStep) {
    upstream.ejections_ = 0;
  }
}

void
OutlierEjection::OnError(std::size_t aIndex, MonotonicTime aNow, Random& aRandom)
{
  Upstream& upstream = upstreams_[aIndex];
  const bool recovering = upstream.ejections_ > 0;
  upstream.successes_ = 0;
  upstream.recoveryStep_ = std::max(0, upstream.recoveryStep_ - 2);
  if (++upstream.consecutiveErrors_ >= kErrorsToEject || recovering) {
    Eject(upstream, aNow, aRandom);
  }
}

void
OutlierEjection::OnSlow(std::size_t aIndex, MonotonicTime aNow, Random& aRandom)
{
  Upstream& upstream = upstreams_[aIndex];
  const bool recovering = upstream.ejections_ > 0;
  upstream.successes_ = 0;
  upstream.recoveryStep_ = std::max(0, upstream.recoveryStep_ - 1);
  if (++upstream.slowAnswers_ >= kSlowAnswersToEject || recovering) {
    Eject(upstream, aNow, aRandom);
  }
}

double
OutlierEjection::HealthWeight(std::size_t aIndex, MonotonicTime aNow) const
{
  const Upstream& upstream = upstreams_[aIndex];
  return aNow < upstream.ejectedUntil_
           ? 0
           : kRecoveryWeights.at(static_cast<std::size_t>(upstream.recoveryStep_));
}

bool
OutlierEjection::MayEject(MonotonicTime aNow) const
{
  const auto ejected =
    std::count_if(upstreams_.begin(), upstreams_.end(), [&](const Upstream& aUpstream) {
      return aNow < aUpstream.ejectedUntil_;
    });
  const double bound = std::max(1.0, maxShare_ * static_cast<double>(upstreamCount_));
  return upstreamCount_ > 1 && static_cast<double>(ejected) + 1 <= bound;
}

void
OutlierEjection::Eject(Upstream& aUpstream, MonotonicTime aNow, Random& aRandom)
{
  aUpstream.recoveryStep_ = 0;
  if (aNow < aUpstream.ejectedUntil_ || !MayEject(aNow)) {
    return;
  }
  // Jitter of up to half the duration keeps the instances from returning to the upstream at the
  // same time.
  const Duration base =
    kBaseEjectionTime * (1 << std::min(aUpstream.ejections_, kMaxBackoffDoublings));
  const auto jitter = Duration(aRandom(1000) * (base.count() / 2000));
  aUpstream.ejectedUntil_ = aNow + base + jitter;
  ++aUpstream.ejections_;
  aUpstream.consecutiveErrors_ = 0;
  aUpstream.slowAnswers_ = 0;
}

} // namespace boragepier
