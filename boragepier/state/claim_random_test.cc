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
// Most worlds are busy: calls go to a few keys that change over time, so that several instances
// meet on each key while it is new. The others are slow: calls come again and again to the same
// keys, so that late requests meet later claims and keys are used again after the retention.
constexpr int kNewKeys = 6;
constexpr int kCallsPerNewKey = 8;
constexpr int kOldKeys = 3;

// One instance: the real claim code over the real batcher.
struct Instance
{
  Instance(VirtualTime& aTime, FakeTable& aTable, const std::string& aName, Random aRandom)
    : process_(std::make_shared<SimulatedProcess>(aTime))
    , table_(aTable, process_)
    , claims_(batcher_, InstanceId(aName), aRandom)
    , sweeper_(batcher_,
               InstanceId(aName),
               { .retention_ = kRetention, .clockMargin_ = 5s, .passInterval_ = 1min })
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

// What really happened to a key, which no instance knows.
struct KeyTruth
{
  std::optional<MonotonicTime> lastRun_;
  std::string answer_; // of the last run, begins with the fingerprint
  // When it was granted to a holder that neither ran nor released it. Stays after a crash.
  std::optional<MonotonicTime> held_;
};

class World
{
public:
  World(std::uint64_t aSeed, bool aCrashes, bool aSlow)
    : faults_(aSeed)
    , crashes_(aCrashes)
    , slow_(aSlow)
  {
    table_.SetFaultInjector([this](const TableRequest&) { return faults_.NextTableFault(); });
    for (std::size_t index = 0; index < kInstances; ++index) {
      Start(index);
    }
  }

  // Runs aSteps events; then ends all faults and lets releases and recordings settle.
  void Run(int aSteps)
  {
    Arrive();
    while (aSteps-- > 0) {
      time_.RunOne();
    }
    faults_.Stop();
    time_.RunUntil(time_.Now() + 90s);
  }

  // Keys that did not run and have no holder must be claimable when nothing fails.
  void CheckKeysAreFree()
  {
    for (const auto& [key, truth] : truths_) {
      if (!truth.lastRun_ && !truth.held_) {
        std::optional<ClaimResult> result;
        instances_[0]->claims_.Claim(Request(0, key, 2s), time_.Now(), [&](ClaimResult aResult) {
          result = std::move(aResult);
        });
        time_.RunUntil(time_.Now() + 5s);
        Require(result && std::holds_alternative<Granted>(*result), "a free key cannot be claimed");
      }
    }
  }

  bool SettledAll() const
  {
    return std::ranges::all_of(instances_, [](const auto& aInstance) {
      return aInstance->claims_.Counters().settleDropped_ == 0;
    });
  }

  const std::map<std::string, int>& Tally() const { return tally_; }
  const std::string& Violation() const { return violation_; }

private:
  void Require(bool aCondition, const char* aInvariant)
  {
    if (!aCondition && violation_.empty()) {
      violation_ = aInvariant;
    }
  }

  void Start(std::size_t aIndex)
  {
    instances_[aIndex] = std::make_unique<Instance>(
      time_, table_, std::to_string(aIndex), Random(faults_.Below(1'000'000)));
    Tick(aIndex);
  }

  void Tick(std::size_t aIndex)
  {
    Instance& instance = *instances_[aIndex];
    instance.process_->StepAfter(slow_ ? 500ms : 20ms, [this, aIndex, &instance] {
      instance.Advance(time_.Now(), Wall(aIndex));
      Tick(aIndex);
    });
  }

  // Clocks of the instances differ by up to 1.5 s.
  WallTime Wall(std::size_t aIndex) const
  {
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
      time_.Now().time_since_epoch() + aIndex * 500ms));
  }

  ClaimRequest Request(std::size_t aIndex, int aKey, Duration aTimeout)
  {
    const std::string key = std::to_string(aKey);
    return { ServiceName("order-entry"), key, "f" + key, time_.Now() + aTimeout, Wall(aIndex) };
  }

  // A caller arrives, or something happens to an instance.
  void Arrive()
  {
    if (faults_.Stopped()) {
      return;
    }
    time_.After(faults_.UpTo(slow_ ? 1s : 40ms), [this] { Arrive(); });
    const std::size_t index = faults_.Below(kInstances);
    if (crashes_ && faults_.Percent(1)) {
      instances_[index]->process_->Kill();
      Start(index);
    } else if (faults_.Percent(1)) {
      instances_[index]->process_->Pause(faults_.UpTo(15s));
    } else {
      const int key = NextKey();
      instances_[index]->process_->Step([this, index, key] { Call(index, key); });
    }
  }

  int NextKey()
  {
    if (slow_) {
      return static_cast<int>(faults_.Below(kOldKeys));
    }
    return kOldKeys + ++calls_ / kCallsPerNewKey + static_cast<int>(faults_.Below(kNewKeys));
  }

  void Call(std::size_t aIndex, int aKey)
  {
    Instance& instance = *instances_[aIndex];
    instance.Advance(time_.Now(), Wall(aIndex));
    ClaimRequest request = Request(aIndex, aKey, faults_.UpTo(3s));
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
    static constexpr std::array kNames{ "granted",     "replay",     "replay-without-body",
                                        "in-progress", "key-reused", "store-unavailable" };
    ++tally_[kNames.at(aResult.index())];
    KeyTruth& truth = truths_[aKey];
    if (auto* granted = std::get_if<Granted>(&aResult)) {
      Require(!WithinRetention(truth.held_), "two holders of one key");
      truth.held_ = time_.Now();
      // Another step, so that a pause or a crash can come between the claim and the dispatch.
      auto handle = std::make_shared<ClaimHandle>(std::move(granted->handle_));
      instances_[aIndex]->process_->StepAfter(
        faults_.UpTo(faults_.Percent(5) ? Duration(5s) : Duration(5ms)),
        [this, aIndex, aKey, aDeadline, handle] { Dispatch(aIndex, aKey, aDeadline, handle); });
    } else if (const auto* replay = std::get_if<Replay>(&aResult)) {
      Require(truth.lastRun_ && replay->answer_.body_ == truth.answer_, "answer of another run");
      Require(truth.answer_.starts_with(aFingerprint + " "), "answer of another request");
    }
  }

  void Dispatch(std::size_t aIndex,
                int aKey,
                MonotonicTime aDeadline,
                const std::shared_ptr<ClaimHandle>& aHandle)
  {
    Instance& instance = *instances_[aIndex];
    KeyTruth& truth = truths_[aKey];
    truth.held_.reset();
    if (time_.Now() >= aDeadline || faults_.Percent(40)) {
      // The caller is told not-run: no copy of the call may have run.
      Require(!WithinRetention(truth.lastRun_), "told not-run although the call ran");
      instance.claims_.Release(std::move(*aHandle), time_.Now());
      return;
    }
    Require(!WithinRetention(truth.lastRun_), "a call ran twice");
    tally_["run again after the retention"] += truth.lastRun_ ? 1 : 0;
    truth.lastRun_ = time_.Now();
    truth.answer_ = aHandle->Record().fingerprint_ + " " + std::to_string(++runs_);
    ++tally_["run"];
    // Otherwise the outcome is unknown and the claim stays.
    if (faults_.Percent(70)) {
      instance.claims_.RecordAnswer(std::move(*aHandle), { 200, {}, truth.answer_ }, time_.Now());
    }
  }

  // The margin covers the time between a claim and the run that follows it, with pauses.
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
  std::map<int, KeyTruth> truths_;
  std::map<std::string, int> tally_;
  std::string violation_;
  int runs_ = 0;
  int calls_ = 0;
};

constexpr int kStepsPerSeed = 12'000;
constexpr int kSeeds = 24;

} // namespace

TEST_GROUP(ClaimRandom){};

// Guards against a second run of a call, a false not-run, a wrong replay and a key that stays
// blocked, under lost, late and reordered table requests, outages, pauses and crashes.
TEST(ClaimRandom, InvariantsHoldUnderFaults)
{
  std::map<std::string, int> tally;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const bool crashes = seed % 2 == 0;
    World world(seed, crashes, seed % 3 == 0);
    world.Run(kStepsPerSeed);
    // A crashed instance cannot release its claims, and a release can run out of time.
    if (!crashes && world.SettledAll()) {
      ++tally["seeds checked for free keys"];
      world.CheckKeysAreFree();
    }
    for (const auto& [name, count] : world.Tally()) {
      tally[name] += count;
    }
    if (!world.Violation().empty()) {
      FAIL(("seed " + std::to_string(seed) + ": " + world.Violation()).c_str());
    }
  }
  std::printf("\n%d steps", kSeeds * kStepsPerSeed);
  for (const auto& [name, count] : tally) {
    std::printf(", %s %d", name.c_str(), count);
    // A test in which a case never occurs guards against nothing.
    CHECK(count > 0);
  }
  CHECK_EQUAL(8U, tally.size());
}

} // namespace boragepier
