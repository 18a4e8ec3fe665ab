#ifndef BORAGEPIER_DECISION_UPSTREAM_ESTIMATE_H
#define BORAGEPIER_DECISION_UPSTREAM_ESTIMATE_H

#include <cstddef>
#include <optional>
#include <vector>

#include "boragepier/base/time.h"
#include "boragepier/decision/service_balancer.h"

namespace boragepier {

/// One instance's estimate of the state of one upstream: its latest load report, the own requests
/// that the report cannot have counted, and its recent failures.
class UpstreamEstimate
{
public:
  /// Forgets the report and the failures after a restart of the upstream. Outstanding requests and
  /// the round-trip time are kept.
  void Reset();

  /// Adds an own outstanding request that is sent now.
  void OnDispatch(MonotonicTime aNow);
  /// Removes the outstanding request whose time of dispatch is closest to aNow - aLatency.
  void OnAttemptEnded(Duration aLatency, MonotonicTime aNow);
  /// Replaces the load report, unless a newer one is known.
  /// @param aReport the report; its inFlight_ must not include a request that it answers
  /// @param aWrittenAt estimated time at which the upstream wrote it
  void OnReport(const LoadReport& aReport, MonotonicTime aWrittenAt);
  /// Records that the upstream rejected a request because it is full: until the next report it
  /// counts as having more requests in flight than slots.
  void OnRejected(unsigned aSlots, MonotonicTime aNow);
  /// Records the outcome of a request for FailureProbability().
  /// @param aFailed whether it failed for a reason that lies at the upstream
  /// @param aWeight 1 for a certain outcome, less for weaker evidence
  void OnOutcome(bool aFailed, double aWeight, MonotonicTime aNow);

  void OnProbeSent() { probeInFlight_ = true; }
  /// Records the end of a probe. A failed one invalidates the report, an answered one updates the
  /// moving average of the round-trip time.
  void OnProbeEnded(bool aAnswered, Duration aRoundTrip);
  /// The probe that OnProbeSent() announced was not sent after all.
  void OnProbeNotSent() { probeInFlight_ = false; }
  bool ProbeInFlight() const { return probeInFlight_; }
  /// @return number of consecutive probes without an answer
  unsigned FailedProbes() const { return failedProbes_; }
  double RoundTripMs() const { return roundTripMs_; }

  /// @return number of own requests in flight
  unsigned OwnOutstanding() const { return static_cast<unsigned>(sendTimes_.size()); }
  const std::optional<LoadReport>& Report() const { return report_; }
  /// @return age of the latest report, or nothing without a report
  std::optional<Duration> ReportAge(MonotonicTime aNow) const;
  /// @return estimated requests in flight at the upstream: the reported ones plus the own ones sent
  /// and minus those ended since the report
  unsigned InFlight() const;
  /// @return estimated probability that a request fails there, from exponentially decayed outcomes
  double FailureProbability(MonotonicTime aNow) const;

private:
  double DecayFactor(MonotonicTime aNow) const;
  void Decay(MonotonicTime aNow);

  std::vector<MonotonicTime> sendTimes_; ///< dispatch times of the own outstanding requests
  std::optional<LoadReport> report_;
  MonotonicTime reportTime_;
  int ownSinceReport_ = 0; ///< own requests sent minus those ended since the report was written
  bool probeInFlight_ = false;
  unsigned failedProbes_ = 0;
  double roundTripMs_ = 3;
  double decayedFailures_ = 0;
  double decayedOutcomes_ = 0;
  MonotonicTime decayedAt_;
};

} // namespace boragepier

#endif
