#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "boragepier/state/claim_service.h"
#include "boragepier/state/claim_sweeper.h"
#include "boragepier/state/write_batcher.h"
#include "testing/state/fault_injection.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

using namespace std::chrono_literals;
using testing::FakeTable;
using testing::FaultGenerator;
using testing::SimulatedProcess;
using testing::TableClient;
using testing::VirtualTime;

namespace {

constexpr auto kRetention = std::chrono::minutes(5);
constexpr std::size_t kInstances = 4;
// In most simulations calls are frequent and use a few keys that change over time, so that several
// instances claim each new key at the same time. In the slow simulations calls are rare and use the
// same keys again and again, so that late requests meet later claims and keys are claimed again
// after the retention.
constexpr int kConcurrentNewKeys = 6;
constexpr int kCallsPerNewKey = 8;
constexpr int kReusedKeys = 3;

// An instance with the production claim service, sweeper and write batcher.
struct Instance
{
  Instance(VirtualTime& aTime, FakeTable& aTable, const std::string& aName, Random aRandom)
    : process_(std::make_shared<SimulatedProcess>(aTime))
    , table_(aTable, process_)
    , claims_(batcher_, InstanceId(aName), aRandom)
    , sweeper_(batcher_,
               InstanceId(aName),
               { .retention_ = kRetention, .clockSkewMargin_ = 5s, .passInterval_ = 1min })
  {
    batcher_.SetLiveInstances(kInstances);
    sweeper_.SetInstances(
      std::array{ InstanceId("0"), InstanceId("1"), InstanceId("2"), InstanceId("3") });
  }

  void Advance(MonotonicTime aNow, WallTime aWallNow)
  {
    batcher_.Advance(aNow);
    claims_.Advance(aNow);
    sweeper_.Advance(aNow, aWallNow);
  }

  std::shared_ptr<SimulatedProcess> process_;
  TableClient table_;
  WriteBatcher<TableClient> batcher_{ table_ };
  ClaimService<WriteBatcher<TableClient>> claims_;
  ClaimSweeper<WriteBatcher<TableClient>> sweeper_;
};

// What actually happened to the calls of a key, for comparison with the results of the claims.
struct KeyHistory
{
  std::optional<MonotonicTime> lastRun_;
  std::string answer_; // of the last run; starts with the fingerprint
  // When the key was granted to an instance that has neither run the call nor released the key. Not
  // reset if that instance crashes.
  std::optional<MonotonicTime> heldSince_;
};

class Simulation
{
public:
  Simulation(std::uint64_t aSeed, bool aCrashes, bool aSlow)
    : faults_(aSeed)
    , crashes_(aCrashes)
    , slow_(aSlow)
  {
    table_.SetFaultInjector([this](const TableRequest&) { return faults_.NextTableFault(); });
    for (std::size_t index = 0; index < kInstances; ++index) {
      StartInstance(index);
    }
  }

  // Runs aSteps events, then ends all faults and waits until releases and recordings are confirmed.
  void Run(int aSteps)
  {
    ScheduleArrivals();
    while (aSteps-- > 0) {
      time_.RunOne();
    }
    faults_.Stop();
    time_.RunUntil(time_.Now() + 90s);
  }

  // Checks that each key can be claimed whose call did not run and that no instance holds. Call
  // after Run(), when there are no more faults.
  void CheckReleasedKeysCanBeClaimed()
  {
    for (const auto& [key, history] : histories_) {
      if (!history.lastRun_ && !history.heldSince_) {
        std::optional<ClaimResult> result;
        instances_[0]->claims_.Claim(MakeRequest(0, key, 2s),
                                     time_.Now(),
                                     [&](ClaimResult aResult) { result = std::move(aResult); });
        time_.RunUntil(time_.Now() + 5s);
        Require(result && std::holds_alternative<Granted>(*result),
                "a released key cannot be claimed");
      }
    }
  }

  bool NoRetryAbandoned() const
  {
    return std::ranges::all_of(instances_, [](const auto& aInstance) {
      return aInstance->claims_.Counters().abandonedRetries_ == 0;
    });
  }

  const std::map<std::string, int>& EventCounts() const { return eventCounts_; }
  const std::string& Violation() const { return violation_; }

private:
  void Require(bool aCondition, const char* aInvariant)
  {
    if (!aCondition && violation_.empty()) {
      violation_ = aInvariant;
    }
  }

  void StartInstance(std::size_t aIndex)
  {
    instances_[aIndex] = std::make_unique<Instance>(
      time_, table_, std::to_string(aIndex), Random(faults_.Below(1'000'000)));
    ScheduleAdvance(aIndex);
  }

  void ScheduleAdvance(std::size_t aIndex)
  {
    Instance& instance = *instances_[aIndex];
    instance.process_->StepAfter(slow_ ? 500ms : 20ms, [this, aIndex, &instance] {
      instance.Advance(time_.Now(), WallClock(aIndex));
      ScheduleAdvance(aIndex);
    });
  }

  // Wall clocks of the instances differ by up to 1.5 s.
  WallTime WallClock(std::size_t aIndex) const
  {
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
      time_.Now().time_since_epoch() + aIndex * 500ms));
  }

  ClaimRequest MakeRequest(std::size_t aIndex, int aKey, Duration aTimeout)
  {
    const std::string key = std::to_string(aKey);
    return {
      ServiceName("order-entry"), key, "f" + key, time_.Now() + aTimeout, WallClock(aIndex)
    };
  }

  // Makes a random instance receive a call, crash or pause, and schedules the next such event.
  void ScheduleArrivals()
  {
    if (faults_.Stopped()) {
      return;
    }
    time_.After(faults_.UpTo(slow_ ? 1s : 40ms), [this] { ScheduleArrivals(); });
    const std::size_t index = faults_.Below(kInstances);
    if (crashes_ && faults_.Percent(1)) {
      instances_[index]->process_->Kill();
      StartInstance(index);
    } else if (faults_.Percent(1)) {
      instances_[index]->process_->Pause(faults_.UpTo(15s));
    } else {
      const int key = DrawKey();
      instances_[index]->process_->Step([this, index, key] { Call(index, key); });
    }
  }

  int DrawKey()
  {
    if (slow_) {
      return static_cast<int>(faults_.Below(kReusedKeys));
    }
    return kReusedKeys + ++callCount_ / kCallsPerNewKey +
           static_cast<int>(faults_.Below(kConcurrentNewKeys));
  }

  void Call(std::size_t aIndex, int aKey)
  {
    Instance& instance = *instances_[aIndex];
    instance.Advance(time_.Now(), WallClock(aIndex));
    ClaimRequest request = MakeRequest(aIndex, aKey, faults_.UpTo(3s));
    request.fingerprint_ += faults_.Percent(5) ? "x" : "";
    const MonotonicTime deadline = request.deadline_;
    const ClaimToken token = instance.claims_.Claim(
      request,
      time_.Now(),
      [this, aIndex, aKey, deadline, fingerprint = request.fingerprint_](ClaimResult aResult) {
        OnResult(aIndex, aKey, deadline, fingerprint, std::move(aResult));
      });
    if (faults_.Percent(5)) {
      instance.process_->StepAfter(faults_.UpTo(20ms), [this, token, &instance] {
        instance.claims_.Cancel(token, time_.Now());
      });
    }
  }

  void OnResult(std::size_t aIndex,
                int aKey,
                MonotonicTime aDeadline,
                const std::string& aFingerprint,
                ClaimResult aResult)
  {
    static constexpr std::array kResultNames{ "granted",     "replay",     "replay-without-body",
                                              "in-progress", "key-reused", "store-unavailable" };
    ++eventCounts_[kResultNames.at(aResult.index())];
    KeyHistory& history = histories_[aKey];
    if (auto* granted = std::get_if<Granted>(&aResult)) {
      Require(!WithinRetention(history.heldSince_), "a key was granted twice");
      history.heldSince_ = time_.Now();
      // The dispatch is a step of its own, so that the process can be paused or crash before it.
      auto handle = std::make_shared<ClaimHandle>(std::move(granted->handle_));
      instances_[aIndex]->process_->StepAfter(
        faults_.UpTo(faults_.Percent(5) ? Duration(5s) : Duration(5ms)),
        [this, aIndex, aKey, aDeadline, handle] { Dispatch(aIndex, aKey, aDeadline, handle); });
    } else if (const auto* replay = std::get_if<Replay>(&aResult)) {
      Require(history.lastRun_ && replay->answer_.body_ == history.answer_,
              "a replayed answer is not that of the last run");
      Require(history.answer_.starts_with(aFingerprint + " "),
              "a replayed answer belongs to another request");
    }
  }

  void Dispatch(std::size_t aIndex,
                int aKey,
                MonotonicTime aDeadline,
                const std::shared_ptr<ClaimHandle>& aHandle)
  {
    Instance& instance = *instances_[aIndex];
    KeyHistory& history = histories_[aKey];
    history.heldSince_.reset();
    if (time_.Now() >= aDeadline || faults_.Percent(40)) {
      // The caller receives not-run, so no copy of the call may have run.
      Require(!WithinRetention(history.lastRun_),
              "the caller received not-run although the call ran");
      instance.claims_.Release(std::move(*aHandle), time_.Now());
      return;
    }
    Require(!WithinRetention(history.lastRun_), "a call ran twice");
    eventCounts_["run again after the retention"] += history.lastRun_ ? 1 : 0;
    history.lastRun_ = time_.Now();
    history.answer_ = aHandle->Record().fingerprint_ + " " + std::to_string(++runCount_);
    ++eventCounts_["run"];
    // In the remaining cases the outcome is unknown and the claim stays in progress.
    if (faults_.Percent(70)) {
      instance.claims_.RecordAnswer(std::move(*aHandle), { 200, {}, history.answer_ }, time_.Now());
    }
  }

  // The margin of 30 s covers the time from a claim to the run of its call, including pauses.
  bool WithinRetention(std::optional<MonotonicTime> aTime) const
  {
    return aTime && time_.Now() - *aTime < kRetention - 30s;
  }

  VirtualTime time_;
  FaultGenerator faults_;
  FakeTable table_{ time_ };
  bool crashes_;
  bool slow_;
  std::array<std::unique_ptr<Instance>, kInstances> instances_;
  std::map<int, KeyHistory> histories_;
  std::map<std::string, int> eventCounts_;
  std::string violation_;
  int runCount_ = 0;
  int callCount_ = 0;
};

constexpr int kStepsPerSeed = 12'000;
constexpr int kSeeds = 24;

} // namespace

TEST_GROUP(ClaimRandom){};

// Guards against calls that run twice, a wrong not-run, a wrong replay and keys that stay claimed,
// with lost, late and reordered table requests, outages of the table, and pauses and crashes of
// instances.
TEST(ClaimRandom, InvariantsHoldUnderFaults)
{
  std::map<std::string, int> eventCounts;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const bool crashes = seed % 2 == 0;
    Simulation simulation(seed, crashes, seed % 3 == 0);
    simulation.Run(kStepsPerSeed);
    // A crashed instance does not release its claims, and a release that is retried for too long is
    // abandoned.
    if (!crashes && simulation.NoRetryAbandoned()) {
      ++eventCounts["seeds checked for free keys"];
      simulation.CheckReleasedKeysCanBeClaimed();
    }
    for (const auto& [name, count] : simulation.EventCounts()) {
      eventCounts[name] += count;
    }
    if (!simulation.Violation().empty()) {
      FAIL(("seed " + std::to_string(seed) + ": " + simulation.Violation()).c_str());
    }
  }
  std::printf("\n%d steps", kSeeds * kStepsPerSeed);
  for (const auto& [name, count] : eventCounts) {
    std::printf(", %s %d", name.c_str(), count);
    // Every case must occur at least once, or the test does not cover it.
    CHECK(count > 0);
  }
  CHECK_EQUAL(8U, eventCounts.size());
}

} // namespace boragepier
