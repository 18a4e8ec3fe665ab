#include "boragepier/quota/quota_owner.h"

#include <algorithm>
#include <iterator>

namespace boragepier {

namespace {

double
InSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Duration
FromSeconds(double aSeconds)
{
  return FromMilliseconds(aSeconds * 1000);
}

} // namespace

void
QuotaOwner::Bucket::Refill(MonotonicTime aNow)
{
  if (aNow > refilledAt_) {
    credit_ += InSeconds(aNow - refilledAt_) * rate_;
    refilledAt_ = aNow;
  }
  credit_ = std::min(credit_, size_);
}

QuotaDecision
QuotaOwner::Take(const QuotaShareId& aShare,
                 const QuotaPlan& aPlan,
                 const QuotaTenure& aTenure,
                 std::uint32_t aWanted,
                 MonotonicTime aNow)
{
  if (aNow < aTenure.grantsFrom_) {
    return { 0, std::min(kMaxDenial, aTenure.grantsFrom_ - aNow) };
  }
  const auto [entry, isNew] = buckets_.try_emplace(aShare);
  Bucket& bucket = entry->second;
  if (isNew) {
    bucket.credit_ = aPlan.initialCredit_;
    bucket.refilledAt_ = aTenure.refillsFrom_;
    bucket.rate_ = aPlan.shareRate_;
    bucket.size_ = aPlan.shareSize_;
  }
  bucket.Refill(aNow);
  // What was refilled at the old rate remains, up to the new size.
  bucket.rate_ = aPlan.shareRate_;
  bucket.size_ = aPlan.shareSize_;
  bucket.credit_ = std::min(bucket.credit_, bucket.size_);

  QuotaDecision decision;
  decision.granted_ =
    static_cast<std::uint32_t>(std::min(static_cast<double>(aWanted), bucket.credit_));
  bucket.credit_ -= decision.granted_;
  if (decision.granted_ < aWanted) {
    // Those that are denied come back in turn, so that they ask about as often as credit arises.
    const Duration interval = FromSeconds(1 / bucket.rate_);
    const MonotonicTime creditAt =
      aNow + std::max(Duration(0), FromSeconds((1 - bucket.credit_) / bucket.rate_));
    bucket.nextTurn_ =
      std::clamp(bucket.nextTurn_ + interval, creditAt, std::max(creditAt, aNow + kMaxDenial));
    decision.deniedFor_ = std::min(kMaxDenial, bucket.nextTurn_ - aNow);
  }
  return decision;
}

void
QuotaOwner::DropFull(MonotonicTime aNow)
{
  for (auto entry = buckets_.begin(); entry != buckets_.end();) {
    Bucket& bucket = entry->second;
    bucket.Refill(aNow);
    entry = bucket.credit_ >= bucket.size_ ? buckets_.erase(entry) : std::next(entry);
  }
}

} // namespace boragepier
