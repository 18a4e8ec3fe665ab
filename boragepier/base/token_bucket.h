#ifndef BORAGEPIER_BASE_TOKEN_BUCKET_H
#define BORAGEPIER_BASE_TOKEN_BUCKET_H

#include <algorithm>
#include <cstddef>

#include "boragepier/base/time.h"

namespace boragepier {

/// Token bucket that limits the average rate of something, for example bytes per second. The bucket
/// holds the tokens of one second. Take() may drive the balance below zero, so that a message
/// larger than the whole bucket can pass; nothing further is allowed until the debt is refilled.
class TokenBucket
{
public:
  /// @param aTokensPerSecond refill rate in tokens per second, above 0; also the capacity of the
  /// bucket
  explicit TokenBucket(double aTokensPerSecond)
    : tokensPerSecond_(aTokensPerSecond)
    , tokens_(aTokensPerSecond)
  {
  }

  /// @return whether the balance is above zero
  bool HasTokens(MonotonicTime aNow)
  {
    Refill(aNow);
    return tokens_ > 0;
  }

  /// Takes tokens, whether or not the balance covers them.
  void Take(std::size_t aAmount, MonotonicTime aNow)
  {
    Refill(aNow);
    tokens_ -= static_cast<double>(aAmount);
  }

  /// @return time until HasTokens() returns true; zero if it does now, else at least 1 ms
  Duration TimeUntilAvailable(MonotonicTime aNow)
  {
    Refill(aNow);
    return tokens_ > 0 ? Duration::zero()
                       : FromMilliseconds(-tokens_ / tokensPerSecond_ * 1000 + 1);
  }

private:
  void Refill(MonotonicTime aNow)
  {
    const std::chrono::duration<double> elapsed = aNow - lastRefill_;
    if (elapsed.count() > 0) {
      tokens_ = std::min(tokensPerSecond_, tokens_ + elapsed.count() * tokensPerSecond_);
      lastRefill_ = aNow;
    }
  }

  double tokensPerSecond_;
  double tokens_;
  MonotonicTime lastRefill_{};
};

} // namespace boragepier

#endif
