#ifndef BORAGEPIER_DECISION_LOAD_ESTIMATOR_H
#define BORAGEPIER_DECISION_LOAD_ESTIMATOR_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "boragepier/base/time.h"
#include "boragepier/decision/latency_profile.h"
#include "boragepier/decision/report_aging_model.h"

namespace boragepier {

/// Estimates the load of the upstreams of one service from what one instance can observe: its own
/// outstanding requests, which it knows exactly, and the requests of other instances, which it
/// infers from load reports of some age. Also measures service times. Upstreams are referred to by
/// index.
class LoadEstimator
{
public:
  /// @param aSlots number of requests that one upstream runs concurrently
  explicit LoadEstimator(unsigned aSlots);

  void SetSlots(unsigned aSlots);
  /// Adds an upstream; its index is the number of upstreams added before it.
  void Add() { upstreams_.emplace_back(); }
  /// Forgets the report and the service times of an upstream that has restarted. Its outstanding
  /// requests are kept.
  void Reset(std::size_t aIndex);

  /// Adds an own outstanding request that is sent now.
  void OnDispatch(std::size_t aIndex, MonotonicTime aNow);
  /// Removes the outstanding request whose time of dispatch is closest to aNow - aLatency.
  void OnAttemptEnded(std::size_t aIndex, Duration aLatency, MonotonicTime aNow);
  /// Updates the service times with the latency of an answer.
  /// @param aInFlight requests in flight reported with it, including the answered one; 0 without a
  /// report
  void OnAnswer(std::size_t aIndex, Duration aLatency, unsigned aInFlight);
  /// Replaces the load report of an upstream. If an attempt carried it, call OnAttemptEnded() for
  /// the attempt first.
  /// @param aInFlight requests in flight at the upstream without the answered one
  void OnReport(std::size_t aIndex, unsigned aInFlight, MonotonicTime aNow);

  /// @return number of own requests in flight at one upstream
  unsigned OwnOutstanding(std::size_t aIndex) const
  {
    return static_cast<unsigned>(upstreams_[aIndex].sendTimes_.size());
  }
  /// @return number of own requests in flight at all upstreams
  unsigned TotalOwnOutstanding() const { return totalOwnOutstanding_; }
  /// @return age of the oldest own request in flight there; zero without one
  Duration OldestOwnAge(std::size_t aIndex, MonotonicTime aNow) const;
  /// @return expected number of requests of other instances in flight there
  double OthersEstimate(std::size_t aIndex, MonotonicTime aNow) const;
  /// @return expected wait of a new request for a slot, in service times
  double ExpectedWaitServiceTimes(std::size_t aIndex, MonotonicTime aNow) const;
  /// @param aLatencies weights own outstanding requests by their expected remaining time
  /// @return cost of the expected wait, in service times; grows faster than the wait itself
  double WaitCost(std::size_t aIndex, const LatencyProfile& aLatencies, MonotonicTime aNow) const;
  /// @return expected service time at one upstream, in milliseconds
  double ServiceTimeMs(std::size_t aIndex) const { return meanServiceTimeMs_ * Slowness(aIndex); }
  /// @return service time as a multiple of the mean over all upstreams. Compares geometric means,
  /// so that a single long request does not make an upstream look slow.
  double Slowness(std::size_t aIndex) const { return upstreams_[aIndex].slowness_; }
  /// @return like Slowness(), but over about the last 12 answers only
  double RecentSlowness(std::size_t aIndex) const { return upstreams_[aIndex].recentSlowness_; }
  /// @return mean service time over all upstreams, in milliseconds
  double MeanServiceTimeMs() const { return meanServiceTimeMs_; }

private:
  struct Upstream
  {
    std::vector<MonotonicTime> sendTimes_; ///< dispatch times of the own outstanding requests
    MonotonicTime reportTime_;
    unsigned reportedOthers_ = 0;
    bool hasReport_ = false;
    double logServiceTimeMs_ = 0; ///< moving average of the logarithm of the service time
    double samples_ = 0;          ///< number of service times in the averages, bounded
    double recentLogServiceTimeMs_ = 0;
    double recentSlowness_ = 1;
    double slowness_ = 1; ///< service time as a multiple of the mean of all upstreams
  };

  /// Values by the number of own requests and the number of other instances' requests.
  using WaitTable = std::array<ReportAgingModel::Values, ReportAgingModel::kCountBins>;

  /// @return expected value of a function of the number of other instances' requests
  double ExpectedValue(const ReportAgingModel::Values& aValues,
                       std::size_t aIndex,
                       MonotonicTime aNow) const;

  unsigned slots_;
  unsigned totalOwnOutstanding_ = 0;
  std::vector<Upstream> upstreams_;
  ReportAgingModel reportAgingModel_;
  WaitTable waitTable_{}; ///< wait for a slot, in service times
  WaitTable waitCostTable_{};
  double meanServiceTimeMs_;
  double meanLogServiceTimeMs_ = 0; ///< moving average of the logarithm over all upstreams
  double overallSamples_ = 0;       ///< number of service times in the overall averages, bounded
  double roundTripMs_; ///< estimated network round trip: the shortest latency seen, bounded
};

} // namespace boragepier

#endif
