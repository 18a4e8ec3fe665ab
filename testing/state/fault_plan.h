#ifndef BORAGEPIER_TESTING_STATE_FAULT_PLAN_H
#define BORAGEPIER_TESTING_STATE_FAULT_PLAN_H

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

#include "boragepier/base/random.h"
#include "testing/state/fake_table.h"
#include "testing/state/virtual_time.h"

namespace boragepier::testing {

/// Draws faults for randomized tests from one seeded generator.
class FaultPlan
{
public:
  explicit FaultPlan(std::uint64_t aSeed)
    : random_(aSeed)
  {
  }

  /// @return a number from 0 to aBelow - 1
  std::uint64_t Below(std::uint64_t aBelow) { return random_() % aBelow; }
  bool Percent(unsigned aPercent) { return Below(100) < aPercent; }
  Duration UpTo(Duration aLongest) { return Duration(1 + Below(aLongest.count())); }

  /// @return the fate of a table request: refused, lost before or after it takes effect, late by up
  ///   to 20 s, which is longer than any deadline, or with a short and varying delay
  Fate NextFate()
  {
    if (healed_) {
      return {};
    }
    // In an outage, which lasts for a number of requests, little gets through.
    outage_ = outage_ > 0 ? outage_ - 1 : (Percent(1) ? Below(60) : 0);
    const unsigned rate = outage_ > 0 ? 30 : 5;
    Fate fate;
    fate.refused_ = Percent(rate);
    fate.applied_ = !Percent(rate);
    fate.answered_ = !Percent(rate);
    fate.requestDelay_ = UpTo(std::chrono::milliseconds(Percent(rate) ? 20000 : 10));
    fate.answerDelay_ = UpTo(std::chrono::milliseconds(10));
    return fate;
  }

  /// Ends all faults.
  void Heal() { healed_ = true; }
  bool Healed() const { return healed_; }

private:
  Random random_;
  std::uint64_t outage_ = 0;
  bool healed_ = false;
};

/// One run of a process, which can be paused and killed between any two of its steps.
class Incarnation : public std::enable_shared_from_this<Incarnation>
{
public:
  explicit Incarnation(VirtualTime& aTime)
    : time_(aTime)
  {
  }

  void Kill() { alive_ = false; }
  void Pause(Duration aLength) { pausedUntil_ = time_.Now() + aLength; }

  /// Runs a step now, or when the pause ends, or never if the process is killed.
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

  /// Runs a step later.
  void StepAfter(Duration aDelay, std::function<void()> aStep)
  {
    time_.After(aDelay, [self = shared_from_this(), step = std::move(aStep)] { self->Step(step); });
  }

private:
  VirtualTime& time_;
  MonotonicTime pausedUntil_;
  bool alive_ = true;
};

/// The table as one process sees it: answers wait while the process is paused.
class ProcessTable
{
public:
  ProcessTable(FakeTable& aTable, std::shared_ptr<Incarnation> aProcess)
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
  std::shared_ptr<Incarnation> process_;
};

} // namespace boragepier::testing

#endif
