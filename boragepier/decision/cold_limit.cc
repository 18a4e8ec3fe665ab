#include "boragepier/decision/cold_limit.h"

#include <algorithm>

#include <xxhash.h>

namespace boragepier {

namespace {

// By how much the selection of two instances can differ, see ColdShares.
constexpr double kSelectionFactor = 2;

std::uint64_t
HashOf(const InstanceId& aInstance)
{
  return XXH3_64bits(aInstance.View().data(), aInstance.View().size());
}

} // namespace

void
ColdShares::SetTerms(const ColdTerms& aTerms)
{
  if (aTerms != terms_) {
    terms_ = aTerms;
    Recompute();
  }
}

void
ColdShares::SetFleet(const InstanceId& aSelf, std::span<const InstanceId> aInstances)
{
  self_ = HashOf(aSelf);
  others_.clear();
  for (const InstanceId& instance : aInstances) {
    if (instance != aSelf) {
      others_.push_back(HashOf(instance));
    }
  }
  Recompute();
}

void
ColdShares::Recompute()
{
  // In one second a selected instance sends its share and the request that it saved up.
  const double allowed = terms_.requestsPerSecond_ * terms_.overage_ + terms_.slack_;
  const double saved = allowed / kSelectionFactor - terms_.requestsPerSecond_;
  senderCount_ =
    std::clamp<std::size_t>(static_cast<std::size_t>(std::max(0.0, saved)), 1, others_.size() + 1);
  shareRate_ = terms_.requestsPerSecond_ / static_cast<double>(senderCount_);
}

bool
ColdShares::IsSender(std::string_view aUpstream) const
{
  const auto rank = [&](std::uint64_t aInstance) {
    return XXH3_64bits_withSeed(aUpstream.data(), aUpstream.size(), aInstance);
  };
  const std::uint64_t own = rank(self_);
  const auto ahead = std::count_if(
    others_.begin(), others_.end(), [&](std::uint64_t aOther) { return rank(aOther) < own; });
  return static_cast<std::size_t>(ahead) < senderCount_;
}

void
ColdUpstream::ExtendTo(MonotonicTime aEnd, MonotonicTime aNow)
{
  if (aEnd > aNow) {
    end_ = std::max(end_, aEnd);
  }
}

void
ColdUpstream::SetRemaining(Duration aRemaining, MonotonicTime aNow)
{
  end_ = aNow + aRemaining;
}

MonotonicTime
ColdUpstream::NextRequest(double aRate, MonotonicTime aServingSince) const
{
  const Duration interval = FromMilliseconds(1000 / std::max(aRate, 1e-3));
  return std::max(lastRequest_, aServingSince) + interval;
}

} // namespace boragepier
