#ifndef TESTING_BENCH_SIMULATED_UPSTREAM_H
#define TESTING_BENCH_SIMULATED_UPSTREAM_H

#include <array>
#include <cstdint>
#include <deque>
#include <optional>

#include "testing/bench/scenario.h"

namespace boragepier::bench {

/// Model of an upstream: a fixed number of slots, a FIFO queue without a limit, and injected
/// faults.
class SimulatedUpstream
{
public:
  struct Request
  {
    std::uint64_t attemptId_ = 0;
    double serviceTimeMs_ = 0;
  };
  /// How the upstream treats an arriving request.
  enum class Admission : std::uint8_t
  {
    Accepted,    ///< queued; StartNext() runs it when a slot is free
    Failed,      ///< answered with status 500 at once
    Shed,        ///< refused as not run
    Dropped,     ///< dropped without an answer or an error
    Unreachable, ///< the connection attempt fails
  };

  /// @param aSlots requests that run at a time
  /// @param aSpeed divides the service time of each request
  /// @param aReportRefreshInterval how long load reports repeat a value; zero: always current
  SimulatedUpstream(unsigned aSlots, double aSpeed, Duration aReportRefreshInterval)
    : slots_(aSlots)
    , speed_(aSpeed)
    , reportRefreshInterval_(aReportRefreshInterval)
  {
  }

  /// Starts a fault. Faults of different kinds, and several of one kind, may overlap.
  void BeginFault(const Fault& aFault, MonotonicTime aNow);
  void EndFault(const Fault& aFault);

  /// Takes in an arriving request.
  Admission Admit(const Request& aRequest, MonotonicTime aNow);
  /// Starts the first request of the queue if a slot is free.
  /// @return the request with the time that it takes; nothing if none can start
  std::optional<std::pair<Request, Duration>> StartNext(MonotonicTime aNow);
  /// Frees the slot of a request that has completed.
  void ReleaseSlot() { --running_; }
  /// Removes a request from the queue; running requests continue.
  /// @return false if the request is not in the queue
  bool Cancel(std::uint64_t aAttempt);

  bool HasFault(FaultKind aKind) const
  {
    return activeFaults_.at(static_cast<std::size_t>(aKind)) > 0;
  }
  /// @return the number of requests in flight that a load report states; nothing if none is sent
  /// @param aIncludeAnswered whether to add the request that is being answered
  std::optional<unsigned> ReportInFlight(bool aIncludeAnswered, MonotonicTime aNow);

private:
  unsigned slots_;
  double speed_;
  Duration reportRefreshInterval_;
  unsigned running_ = 0;
  std::deque<Request> queue_;
  std::array<int, kFaultKindCount> activeFaults_{}; ///< number of active faults per FaultKind
  double stragglerFactor_ = 1;
  double coldStartFactor_ = 1;
  MonotonicTime coldStartedAt_;
  MonotonicTime zoneLostAt_;
  MonotonicTime lastReportRefresh_;
  unsigned cachedInFlight_ = 0; ///< value that reports repeat until the next refresh
};

} // namespace boragepier::bench

#endif
