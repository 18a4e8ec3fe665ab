#ifndef BORAGEPIER_DECISION_UPSTREAM_BELIEF_H
#define BORAGEPIER_DECISION_UPSTREAM_BELIEF_H

#include <cstddef>
#include <optional>
#include <vector>

#include "boragepier/base/time.h"
#include "boragepier/decision/service_balancer.h"

namespace boragepier {

/// What one instance believes about one upstream: its latest load report, the own requests that the
/// report cannot have counted, and its recent failures.
class UpstreamBelief
{
public:
  /// Forgets everything but the outstanding requests, as after a restart of the upstream.
  void Reset();

  void OnDispatch(MonotonicTime aNow);
  /// Takes in the end of an own request that was sent aLatency ago.
  void OnEnded(Duration aLatency, MonotonicTime aNow);
  /// Takes in a report.
  /// @param aReport requests that are still there, without one that has just been answered
  /// @param aTakenAt time at which the upstream wrote it, as estimated here
  void OnReport(const LoadReport& aReport, MonotonicTime aTakenAt);
  /// The upstream rejected a request for want of room.
  void OnFull(unsigned aSlots, MonotonicTime aNow);
  /// Takes in whether a request failed for a reason that lies at the upstream.
  /// @param aWeight 1 for a request, less for weaker evidence
  void OnOutcome(bool aFailed, double aWeight, MonotonicTime aNow);

  void OnProbeSent() { probing_ = true; }
  void OnProbeEnded(bool aAnswered, Duration aRoundTrip);
  bool ProbeInFlight() const { return probing_; }
  /// @return consecutive probes without an answer
  unsigned FailedProbes() const { return failedProbes_; }
  double RoundTripMs() const { return roundTripMs_; }

  unsigned Own() const { return static_cast<unsigned>(sent_.size()); }
  const std::optional<LoadReport>& Report() const { return report_; }
  /// @return age of the report, or nothing without one
  std::optional<Duration> Age(MonotonicTime aNow) const;
  /// @return requests at the upstream: the reported ones and the own ones sent since
  unsigned InFlight() const;
  /// @return probability that a request fails there; rises with failures and fades with time
  double FailureShare(MonotonicTime aNow) const;

private:
  double FadeFactor(MonotonicTime aNow) const;
  void Fade(MonotonicTime aNow);

  std::vector<MonotonicTime> sent_; ///< own outstanding requests
  std::optional<LoadReport> report_;
  MonotonicTime takenAt_;
  int sinceReport_ = 0;  ///< own requests sent less those ended since the report was written
  bool probing_ = false; ///< a probe is out
  unsigned failedProbes_ = 0;
  double roundTripMs_ = 3;
  double failures_ = 0;
  double outcomes_ = 0;
  MonotonicTime fadedAt_;
};

} // namespace boragepier

#endif
