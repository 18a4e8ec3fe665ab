#ifndef BORAGEPIER_DECISION_ATTEMPT_BUDGET_H
#define BORAGEPIER_DECISION_ATTEMPT_BUDGET_H

namespace boragepier {

/// Limits extra attempts (retries or hedges) to a share of the requests. Over any number n of
/// requests at most max(1, share * n) attempts are granted.
class AttemptBudget
{
public:
  /// @param aShare extra attempts per request
  explicit AttemptBudget(double aShare)
    : share_(aShare)
  {
  }

  /// Changes the share; what has been saved is kept.
  void SetShare(double aShare) { share_ = aShare; }
  /// Credits one new request.
  void OnRequest();
  /// @return whether an extra attempt would be granted now
  bool CanTake() const { return share_ > 0 && balance_ >= 1; }
  /// Takes one extra attempt.
  /// @return false if the budget does not allow it
  bool TryTake();

private:
  double share_;
  double balance_ = 1;
  double prepaid_ = 1; ///< part of the first balance that requests have not paid for yet
};

} // namespace boragepier

#endif
