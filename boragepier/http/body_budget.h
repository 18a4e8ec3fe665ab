#ifndef BORAGEPIER_HTTP_BODY_BUDGET_H
#define BORAGEPIER_HTTP_BODY_BUDGET_H

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "boragepier/base/time.h"

namespace boragepier::http {

/// Whose body a charge pays for.
enum class BodyUse : std::uint8_t
{
  Request,  ///< of a caller
  Response, ///< of an upstream, to a request that may have run
};

/// Bounds the bytes of message bodies that a process holds at the same time. Large requests may use
/// three quarters of it and small ones seven eighths, so that small requests are served while large
/// ones use up their part, and responses find room while requests use up theirs. Thread-safe.
class BodyBudget
{
public:
  /// Greatest size of a small request.
  static constexpr std::size_t kSmallRequestBytes = 64 << 10;

  /// @param aTotal greatest number of bytes held at the same time
  explicit BodyBudget(std::size_t aTotal)
    : total_(aTotal)
  {
  }

  /// @return bytes that may be held in total by the time a body of this size is held
  std::size_t LimitFor(BodyUse aUse, std::size_t aBodyBytes) const;
  /// @return whether a body of this size can be held while no other is
  bool CanEverHold(BodyUse aUse, std::size_t aBodyBytes) const
  {
    return aBodyBytes <= LimitFor(aUse, aBodyBytes);
  }
  std::size_t Total() const { return total_; }
  std::size_t Held() const { return held_.load(std::memory_order_relaxed); }
  /// @return bytes that were released since the construction
  std::uint64_t Released() const { return released_.load(std::memory_order_relaxed); }
  /// @return number of requests that were refused because their body did not fit
  std::uint64_t Refusals() const { return refusals_.load(std::memory_order_relaxed); }
  /// Counts a refused request.
  void CountRefusal() { refusals_.fetch_add(1, std::memory_order_relaxed); }

private:
  friend class BodyCharge;
  bool TryAdd(std::size_t aBytes, std::size_t aLimit);
  void Add(std::size_t aBytes) { held_.fetch_add(aBytes, std::memory_order_relaxed); }
  void Release(std::size_t aBytes);

  const std::size_t total_;
  std::atomic<std::size_t> held_ = 0;
  std::atomic<std::uint64_t> released_ = 0;
  std::atomic<std::uint64_t> refusals_ = 0;
};

/// Bytes of a BodyBudget that belong to one body; released on destruction.
class BodyCharge
{
public:
  /// A charge without a budget, which admits any size.
  BodyCharge() = default;
  /// @param aBudget null admits any size
  BodyCharge(std::shared_ptr<BodyBudget> aBudget, BodyUse aUse);
  ~BodyCharge();
  BodyCharge(BodyCharge&& aOther) noexcept;
  BodyCharge& operator=(BodyCharge&& aOther) noexcept;
  BodyCharge(const BodyCharge&) = delete;
  BodyCharge& operator=(const BodyCharge&) = delete;

  /// Changes the number of bytes.
  /// @return false if they do not fit; nothing is changed then
  bool TryResize(std::size_t aBytes);
  /// Changes the number of bytes, also if they do not fit.
  void Resize(std::size_t aBytes);
  std::size_t Bytes() const { return bytes_; }

private:
  std::shared_ptr<BodyBudget> budget_;
  BodyUse use_ = BodyUse::Request;
  std::size_t bytes_ = 0;
};

/// Estimates how long the bytes of a BodyBudget are held, from the bytes held and released in the
/// last seconds.
class HoldTime
{
public:
  /// Call about ten times per second.
  /// @param aHeld BodyBudget::Held()
  /// @param aReleased BodyBudget::Released()
  void Observe(std::size_t aHeld, std::uint64_t aReleased, MonotonicTime aNow);
  /// @return mean time, from 0.1 s to 10 s; zero if nothing was released
  Duration Mean() const;

private:
  bool started_ = false;
  MonotonicTime lastTime_{};
  std::uint64_t lastReleased_ = 0;
  double heldByteSeconds_ = 0;
  double releasedBytes_ = 0;
};

} // namespace boragepier::http

#endif
