#ifndef BORAGEPIER_DECISION_MACHINE_PACE_H
#define BORAGEPIER_DECISION_MACHINE_PACE_H

namespace boragepier {

/// Predicts how long work takes on a machine that it shares with others, when the machine's
/// slowness is reported and changes several times a second.
///
/// The reported slowness is taken to last for kHoldMs; after that the machine is expected to work
/// at the mean rate of all reports.
class MachinePace
{
public:
  /// Expected time for which a reported slowness lasts: reports show changes about twice a second,
  /// and a request arrives at any time between two of them.
  static constexpr double kHoldMs = 250;

  /// Takes in a reported slowness, a multiple of the usual duration of work.
  void OnReport(double aSlowness);

  /// @param aWorkMs duration of the work at the usual pace
  /// @param aSlowness present slowness
  /// @return expected duration in milliseconds
  double DurationMs(double aWorkMs, double aSlowness) const;
  /// @return the work that was done in a duration that began with this slowness; the inverse of
  /// DurationMs()
  double WorkMs(double aDurationMs, double aSlowness) const;
  /// @return slowness to assume without a report: the inverse of the mean rate
  double MeanSlowness() const { return 1 / meanRate_; }

private:
  double meanRate_ = 1; ///< mean of the inverse slowness
};

} // namespace boragepier

#endif
