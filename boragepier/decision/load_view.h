#ifndef BORAGEPIER_DECISION_LOAD_VIEW_H
#define BORAGEPIER_DECISION_LOAD_VIEW_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "boragepier/base/time.h"
#include "boragepier/decision/latency_profile.h"
#include "boragepier/decision/report_model.h"

namespace boragepier {

/// Load of the upstreams of one service as one instance can know it: the exact number of its own
/// outstanding requests, and an estimate of the others' requests from reports that age.
class LoadView
{
public:
  /// @param aSlots requests that one upstream runs at a time
  explicit LoadView(unsigned aSlots);

  void SetSlots(unsigned aSlots);
  /// Adds one upstream; its index is the number of upstreams before it.
  void Add() { upstreams_.emplace_back(); }
  /// Forgets what was reported and measured about an upstream, but not its outstanding requests.
  void Reset(std::size_t aIndex);

  void OnDispatch(std::size_t aIndex, MonotonicTime aNow);
  /// Takes in the end of one of the own attempts.
  void OnEnded(std::size_t aIndex, Duration aLatency, MonotonicTime aNow);
  /// Takes in the latency of an answer.
  /// @param aInFlight requests reported with it, including the answered one; 0 without a report
  void OnAnswer(std::size_t aIndex, Duration aLatency, unsigned aInFlight);
  /// Takes in a load report. Call it after OnEnded() of the attempt that carried it.
  /// @param aInFlight requests at the upstream after the answer was written
  void OnReport(std::size_t aIndex, unsigned aInFlight, MonotonicTime aNow);

  unsigned Own(std::size_t aIndex) const
  {
    return static_cast<unsigned>(upstreams_[aIndex].sent_.size());
  }
  unsigned OwnTotal() const { return ownTotal_; }
  /// @return time since the oldest own request was sent there; zero without one
  Duration OldestOwn(std::size_t aIndex, MonotonicTime aNow) const;
  /// @return expected number of requests of other instances
  double Others(std::size_t aIndex, MonotonicTime aNow) const;
  /// @return expected wait of a new request for a slot, in service times
  double ExpectedWait(std::size_t aIndex, MonotonicTime aNow) const;
  /// @param aLatencies weighs own requests that are out for long
  /// @return a measure of the wait in which long waits weigh more than in proportion, for choices
  double WaitCost(std::size_t aIndex, const LatencyProfile& aLatencies, MonotonicTime aNow) const;
  /// @return expected time that the upstream needs to serve a request, in milliseconds
  double ServiceMs(std::size_t aIndex) const { return meanServiceMs_ * Slowness(aIndex); }
  /// @return the service time as a multiple of the mean of all upstreams. Compares logarithms, so
  /// that one long request does not make an upstream look slow.
  double Slowness(std::size_t aIndex) const { return upstreams_[aIndex].slowness_; }
  /// @return Slowness() over the most recent answers only
  double RecentSlowness(std::size_t aIndex) const { return upstreams_[aIndex].recentSlowness_; }
  /// @return expected time to serve a request over all upstreams, in milliseconds
  double MeanServiceMs() const { return meanServiceMs_; }

private:
  struct Upstream
  {
    std::vector<MonotonicTime> sent_; ///< times at which the outstanding requests were sent
    MonotonicTime reportTime_;
    unsigned reportedOthers_ = 0;
    bool reported_ = false;
    double logMs_ = 0;   ///< mean logarithm of service times
    double samples_ = 0; ///< number of service times in logMs_, bounded
    double recentLogMs_ = 0;
    double recentSlowness_ = 1;
    double slowness_ = 1; ///< service time as a multiple of the mean of all upstreams
  };

  /// For a number of own requests: a value for each number of others' requests.
  using Table = std::array<ReportModel::Values, ReportModel::kCounts>;

  double Expect(const ReportModel::Values& aValues, std::size_t aIndex, MonotonicTime aNow) const;

  unsigned slots_;
  unsigned ownTotal_ = 0;
  std::vector<Upstream> upstreams_;
  ReportModel model_;
  Table waits_{};
  Table waitCosts_{};
  double meanServiceMs_;
  double meanLogMs_ = 0;
  double meanSamples_ = 0;
  double tripMs_;
};

} // namespace boragepier

#endif
