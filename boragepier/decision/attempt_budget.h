#ifndef BORAGEPIER_DECISION_ATTEMPT_BUDGET_H
#define BORAGEPIER_DECISION_ATTEMPT_BUDGET_H

namespace boragepier {

/// Token bucket that limits extra attempts (retries or hedges) to a share of the requests: every
/// request adds aShare tokens, every extra attempt costs one. For the first n requests at most
/// max(1, share * n) extra attempts are granted.
class AttemptBudget
{
public:
  /// @param aShare extra attempts per request
  explicit AttemptBudget(double aShare)
    : share_(aShare)
  {
  }

  /// Changes the share of later requests. Saved tokens are kept.
  void SetShare(double aShare) { share_ = aShare; }
  /// Adds the tokens of one new request.
  void OnRequest();
  /// @return whether TrySpend() would succeed
  bool CanSpend() const { return share_ > 0 && tokens_ >= 1; }
  /// Spends one token on an extra attempt.
  /// @return false if there is no token left; the attempt must not be sent then
  bool TrySpend();

private:
  double share_;
  double tokens_ = 1;
  double unpaidInitialTokens_ = 1; ///< initial token that later requests still have to pay back
};

} // namespace boragepier

#endif
