#ifndef BORAGEPIER_DECISION_SLOWNESS_MODEL_H
#define BORAGEPIER_DECISION_SLOWNESS_MODEL_H

namespace boragepier {

/// Predicts service times on shared machines whose speed changes several times a second and is
/// reported.
///
/// The work of a request is its service time in milliseconds on a machine of normal speed. The
/// slowness of a machine is its present service time as a multiple of that: 1 is normal speed, 2 is
/// half of it. A reported slowness is assumed to last for kPersistenceMs; after that the machine is
/// assumed to run at the mean speed of all reports.
class SlownessModel
{
public:
  /// Assumed remaining duration of a reported slowness. Speeds change about twice a second, and a
  /// request arrives at a random time between two changes.
  static constexpr double kPersistenceMs = 250;

  /// Updates the mean speed with a reported slowness.
  void OnReport(double aSlowness);

  /// @param aWorkMs service time at normal speed
  /// @param aSlowness present slowness of the machine
  /// @return expected service time in milliseconds
  double ServiceTimeMs(double aWorkMs, double aSlowness) const;
  /// @param aElapsedMs time since the work began
  /// @param aSlowness slowness of the machine when it began
  /// @return expected work done in this time; the inverse of ServiceTimeMs()
  double WorkDoneMs(double aElapsedMs, double aSlowness) const;
  /// @return slowness to assume without a report: the inverse of the mean speed
  double MeanSlowness() const { return 1 / meanSpeed_; }

private:
  double meanSpeed_ = 1; ///< moving average of the inverse slowness
};

} // namespace boragepier

#endif
