#include "boragepier/http/body_budget.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace boragepier::http {

namespace {

// Time after which an observation counts for a third.
constexpr double kWindowSeconds = 3;
constexpr double kMinSeconds = 0.1;
constexpr double kMaxSeconds = 10;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

std::size_t
BodyBudget::LimitFor(BodyUse aUse, std::size_t aBodyBytes) const
{
  if (aUse == BodyUse::Response) {
    return total_;
  }
  return aBodyBytes <= kSmallRequestBytes ? total_ - total_ / 8 : total_ - total_ / 4;
}

bool
BodyBudget::TryAdd(std::size_t aBytes, std::size_t aLimit)
{
  std::size_t held = held_.load(std::memory_order_relaxed);
  do {
    if (aBytes > aLimit || held > aLimit - aBytes) {
      return false;
    }
  } while (!held_.compare_exchange_weak(held, held + aBytes, std::memory_order_relaxed));
  return true;
}

void
BodyBudget::Release(std::size_t aBytes)
{
  held_.fetch_sub(aBytes, std::memory_order_relaxed);
  released_.fetch_add(aBytes, std::memory_order_relaxed);
}

BodyCharge::BodyCharge(std::shared_ptr<BodyBudget> aBudget, BodyUse aUse)
  : budget_(std::move(aBudget))
  , use_(aUse)
{
}

BodyCharge::~BodyCharge()
{
  Resize(0);
}

BodyCharge::BodyCharge(BodyCharge&& aOther) noexcept
  : budget_(std::move(aOther.budget_))
  , use_(aOther.use_)
  , bytes_(std::exchange(aOther.bytes_, 0))
{
}

BodyCharge&
BodyCharge::operator=(BodyCharge&& aOther) noexcept
{
  if (this != &aOther) {
    Resize(0);
    budget_ = std::move(aOther.budget_);
    use_ = aOther.use_;
    bytes_ = std::exchange(aOther.bytes_, 0);
  }
  return *this;
}

bool
BodyCharge::TryResize(std::size_t aBytes)
{
  if (budget_ && aBytes > bytes_ &&
      !budget_->TryAdd(aBytes - bytes_, budget_->LimitFor(use_, aBytes))) {
    return false;
  }
  if (budget_ && aBytes < bytes_) {
    budget_->Release(bytes_ - aBytes);
  }
  bytes_ = aBytes;
  return true;
}

void
BodyCharge::Resize(std::size_t aBytes)
{
  if (budget_ && aBytes > bytes_) {
    budget_->Add(aBytes - bytes_);
  } else if (budget_ && aBytes < bytes_) {
    budget_->Release(bytes_ - aBytes);
  }
  bytes_ = aBytes;
}

void
HoldTime::Observe(std::size_t aHeld, std::uint64_t aReleased, MonotonicTime aNow)
{
  if (const double elapsed = Seconds(aNow - lastTime_); started_ && elapsed > 0) {
    const double kept = std::exp(-elapsed / kWindowSeconds);
    heldByteSeconds_ = heldByteSeconds_ * kept + static_cast<double>(aHeld) * elapsed;
    releasedBytes_ = releasedBytes_ * kept + static_cast<double>(aReleased - lastReleased_);
  }
  started_ = true;
  lastTime_ = aNow;
  lastReleased_ = aReleased;
}

Duration
HoldTime::Mean() const
{
  if (releasedBytes_ < 1) {
    return {};
  }
  // Little's law.
  const double seconds = std::clamp(heldByteSeconds_ / releasedBytes_, kMinSeconds, kMaxSeconds);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace boragepier::http
