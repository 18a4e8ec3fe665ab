#ifndef TESTING_BENCH_UPSTREAM_FAKE_H
#define TESTING_BENCH_UPSTREAM_FAKE_H

#include <array>
#include <cstdint>
#include <deque>
#include <optional>

#include "testing/bench/scenario.h"

namespace boragepier::bench {

/// An upstream: slots, a queue in order of arrival, and faults.
class UpstreamFake
{
public:
  struct Work
  {
    std::uint64_t attempt_ = 0;
    double workMs_ = 0;
  };
  /// What happens to a request that arrives.
  enum class Admission : std::uint8_t
  {
    Accepted, ///< runs or waits
    Failed,   ///< answered with 500 at once
    Shed,     ///< refused, certified as not run
    Vanished, ///< nothing ever comes back
    NoHost,   ///< no connection can be made
  };

  UpstreamFake(unsigned aSlots, double aSpeed, Duration aReportLag)
    : slots_(aSlots)
    , speed_(aSpeed)
    , reportLag_(aReportLag)
  {
  }

  void Begin(const Fault& aFault, MonotonicTime aNow);
  void End(const Fault& aFault);

  Admission Arrive(const Work& aWork, MonotonicTime aNow);
  /// @return a request that starts now, with the time that it takes, if a slot is free
  std::optional<std::pair<Work, Duration>> Start(MonotonicTime aNow);
  /// Frees the slot of a request.
  void Finish() { --running_; }
  /// Removes a request that has not started.
  /// @return false if it is not waiting
  bool Cancel(std::uint64_t aAttempt);

  bool Has(FaultKind aKind) const { return active_.at(static_cast<std::size_t>(aKind)) > 0; }
  /// @return the report for an answer or a probe, if one is sent
  /// @param aAnswering whether the report includes a request that is just answered
  std::optional<unsigned> Report(bool aAnswering, MonotonicTime aNow);

private:
  unsigned slots_;
  double speed_;
  Duration reportLag_;
  unsigned running_ = 0;
  std::deque<Work> queue_;
  std::array<int, kFaultKindCount> active_{};
  double stragglerFactor_ = 1;
  double coldFactor_ = 1;
  MonotonicTime coldSince_;
  MonotonicTime lostSince_;
  MonotonicTime reportTime_;
  unsigned reported_ = 0;
};

} // namespace boragepier::bench

#endif
