#ifndef BORAGEPIER_TESTING_STATE_FAULT_INJECTION_H
#define BORAGEPIER_TESTING_STATE_FAULT_INJECTION_H

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

#include "boragepier/base/random.h"
#include "testing/state/fake_table.h"
#include "testing/state/virtual_time.h"

namespace boragepier::testing {

/// Random source of faults and choices for randomized tests; reproducible from its seed.
class FaultGenerator
{
public:
  explicit FaultGenerator(std::uint64_t aSeed)
    : random_(aSeed)
  {
  }

  /// @return a random number from 0 to aBound - 1
  std::uint64_t Below(std::uint64_t aBound) { return random_() % aBound; }
  /// @return true with a probability of aPercent %
  bool Percent(unsigned aPercent) { return Below(100) < aPercent; }
  /// @return a random duration of more than 0 up to aMaximum
  Duration UpTo(Duration aMaximum) { return Duration(1 + Below(aMaximum.count())); }

  /// @return how the table treats the next request: refused, lost before or after it is applied,
  ///   delayed by up to 20 s, which exceeds every deadline, or answered after a short random delay
  InjectedFault NextTableFault()
  {
    if (stopped_) {
      return {};
    }
    // During an outage, which lasts for a random number of requests, each kind of fault is more
    // frequent.
    outageRequestsLeft_ =
      outageRequestsLeft_ > 0 ? outageRequestsLeft_ - 1 : (Percent(1) ? Below(60) : 0);
    const unsigned faultPercent = outageRequestsLeft_ > 0 ? 30 : 5;
    InjectedFault fault;
    fault.refused_ = Percent(faultPercent);
    fault.applied_ = !Percent(faultPercent);
    fault.answered_ = !Percent(faultPercent);
    fault.requestDelay_ = UpTo(std::chrono::milliseconds(Percent(faultPercent) ? 20000 : 10));
    fault.answerDelay_ = UpTo(std::chrono::milliseconds(10));
    return fault;
  }

  /// Ends faults: later requests to the table succeed.
  void Stop() { stopped_ = true; }
  bool Stopped() const { return stopped_; }

private:
  Random random_;
  std::uint64_t outageRequestsLeft_ = 0;
  bool stopped_ = false;
};

/// Simulated process, from its start until it is killed. Its code runs in steps, between which it
/// can be paused or killed.
class SimulatedProcess : public std::enable_shared_from_this<SimulatedProcess>
{
public:
  explicit SimulatedProcess(VirtualTime& aTime)
    : time_(aTime)
  {
  }

  /// Drops all later steps, including those already scheduled.
  void Kill() { alive_ = false; }
  /// Delays all steps that are due within aLength from now until its end.
  void Pause(Duration aLength) { pausedUntil_ = time_.Now() + aLength; }

  /// Runs a step now, or after the pause if the process is paused, or not at all if it was killed.
  void Step(std::function<void()> aStep)
  {
    if (!alive_) {
      return;
    }
    if (time_.Now() < pausedUntil_) {
      time_.At(pausedUntil_,
               [self = shared_from_this(), step = std::move(aStep)] { self->Step(step); });
      return;
    }
    aStep();
  }

  /// Runs a step after a delay, subject to pauses and Kill() like Step().
  void StepAfter(Duration aDelay, std::function<void()> aStep)
  {
    time_.After(aDelay, [self = shared_from_this(), step = std::move(aStep)] { self->Step(step); });
  }

private:
  VirtualTime& time_;
  MonotonicTime pausedUntil_;
  bool alive_ = true;
};

/// Access of one process to the table: replies are delivered as steps of the process, so they wait
/// while it is paused and are dropped once it is killed.
class TableClient
{
public:
  TableClient(FakeTable& aTable, std::shared_ptr<SimulatedProcess> aProcess)
    : table_(aTable)
    , process_(std::move(aProcess))
  {
  }

  void Submit(TableRequest aRequest, MonotonicTime aDeadline, TableCallback aDone)
  {
    table_.Submit(std::move(aRequest),
                  aDeadline,
                  [process = process_, done = std::move(aDone)](const TableReply& aReply) {
                    process->Step([done, aReply] { done(aReply); });
                  });
  }

private:
  FakeTable& table_;
  std::shared_ptr<SimulatedProcess> process_;
};

} // namespace boragepier::testing

#endif
