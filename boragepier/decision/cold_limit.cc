#include "boragepier/decision/cold_limit.h"

#include <algorithm>
#include <utility>

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

bool
ColdShares::SetTerms(const ColdTerms& aTerms)
{
  if (aTerms == terms_) {
    return false;
  }
  terms_ = aTerms;
  Recompute();
  return true;
}

bool
ColdShares::SetFleet(const InstanceId& aSelf, std::span<const InstanceId> aInstances)
{
  if (!IsLimited()) {
    return false;
  }
  std::vector<std::uint64_t> others;
  others.reserve(aInstances.size());
  for (const InstanceId& instance : aInstances) {
    if (instance != aSelf) {
      others.push_back(HashOf(instance));
    }
  }
  const std::uint64_t self = HashOf(aSelf);
  if (self == self_ && others == others_) {
    return false;
  }
  self_ = self;
  others_ = std::move(others);
  Recompute();
  return true;
}

void
ColdShares::Recompute()
{
  // In one second a selected instance sends its share and the request that it saved up.
  const double rate = terms_.requestsPerSecond_;
  const double factor = others_.empty() ? 1 : kSelectionFactor;
  const double allowed = (rate * terms_.overage_ + terms_.slack_) / factor;
  senderCount_ = std::clamp<std::size_t>(
    static_cast<std::size_t>(std::max(0.0, allowed - rate)), 1, others_.size() + 1);
  const auto senders = static_cast<double>(senderCount_);
  shareRate_ = std::min(rate, std::max(allowed - senders, rate / factor)) / senders;
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
