#include "boragepier/control/fleet_fixture.h"

#include <array>

#include <CppUTest/TestHarness.h>

namespace boragepier::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kInstances = 15;
constexpr int kUpstreams = 12;
constexpr int kServices = 4;
constexpr std::uint64_t kSeeds = 6;
constexpr int kStepsPerSeed = 20000;
// Longest time until the list shows that an upstream is leaving. It is shorter than the time after
// which a departure ends without further signals, so that no departed start may be used again.
constexpr Duration kMaxListLag = seconds(20);

// Runs a fleet with random events.
class RandomRun
{
public:
  explicit RandomRun(std::uint64_t aSeed)
    : fleet_(aSeed)
    , random_(aSeed, 7)
  {
    for (int i = 0; i < kServices; ++i) {
      fleet_.Publish(Service(i));
    }
    for (int i = 0; i < kUpstreams; ++i) {
      fleet_.AddUpstream(Upstream(i), Service(i % kServices));
    }
    fleet_.StartAll(kInstances);
  }

  void Step()
  {
    using Action = void (RandomRun::*)();
    static constexpr std::array<Action, 9> kActions = {
      &RandomRun::Publish,
      &RandomRun::Announce,
      &RandomRun::ToggleStore,
      &RandomRun::ToggleList,
      &RandomRun::PartitionFleet,
      &RandomRun::HealPartition,
      &RandomRun::KillOrStartInstance,
      &RandomRun::DepartUpstream,
      &RandomRun::ChangeNetwork,
    };
    // Most steps only let time pass: otherwise the fleet never converges between two events.
    if (const std::size_t drawn = RandomBelow(kActions.size() * 4); drawn < kActions.size()) {
      (this->*kActions.at(drawn))();
    }
    fleet_.clock_.RunFor(milliseconds(RandomBelow(120)));
  }

  // Ends all faults. Returns whether all instances then get the versions of the store within 60 s.
  bool ConvergesAfterFaultsEnd()
  {
    fleet_.network_ = {};
    fleet_.storeDown_ = false;
    fleet_.listDown_ = false;
    HealPartition();
    for (int i = 1; i <= kInstances; ++i) {
      if (!fleet_.instances_.contains(i)) {
        fleet_.Start(i);
      }
    }
    return fleet_.RunUntil(seconds(60), [&](const Instance& aInstance) {
      if (aInstance.plane_.Status().services_.size() != kServices) {
        return false;
      }
      for (int i = 0; i < kServices; ++i) {
        if (aInstance.plane_.Status().services_.at(i).version_ !=
            fleet_.publishedVersions_[Service(i)]) {
          return false;
        }
      }
      return true;
    }) <= seconds(60);
  }

  Fleet fleet_;

private:
  static std::string Service(int aNumber) { return "service-" + std::to_string(aNumber); }
  static std::string Upstream(int aNumber) { return "u-" + std::to_string(aNumber); }
  int RandomBelow(int aBound)
  {
    return static_cast<int>(random_(static_cast<std::uint32_t>(aBound)));
  }

  void Publish()
  {
    if (!fleet_.storeDown_) {
      fleet_.Publish(Service(RandomBelow(kServices)), RandomBelow(10) == 0 ? "bad" : "body");
    }
  }

  void Announce()
  {
    const auto instance = fleet_.instances_.find(1 + RandomBelow(kInstances));
    if (fleet_.storeDown_ || instance == fleet_.instances_.end()) {
      return;
    }
    const ConfigRecord record = fleet_.Publish(Service(RandomBelow(kServices)));
    fleet_.storeDown_ = RandomBelow(2) == 0;
    instance->second->plane_.Announce(record);
  }

  void ToggleStore() { fleet_.storeDown_ = !fleet_.storeDown_; }
  void ToggleList() { fleet_.listDown_ = !fleet_.listDown_; }

  void PartitionFleet()
  {
    for (int i = 1; i <= kInstances; ++i) {
      fleet_.partitions_[i] = RandomBelow(2);
    }
    fleet_.partitionsWithPlatform_ = RandomBelow(2) == 0 ? std::set{ 0 } : std::set{ 0, 1 };
  }

  void HealPartition()
  {
    fleet_.partitions_.clear();
    fleet_.partitionsWithPlatform_ = { 0, 1 };
  }

  void KillOrStartInstance()
  {
    const int number = 1 + RandomBelow(kInstances);
    if (fleet_.instances_.contains(number) && fleet_.instances_.size() > 1) {
      if (RandomBelow(2) == 0) {
        fleet_.instances_[number]->plane_.BeginShutdown();
      }
      fleet_.Kill(number);
    } else if (!fleet_.instances_.contains(number)) {
      fleet_.Start(number);
    }
  }

  // Makes an upstream leave: one instance learns of it from a response, the others later from the
  // list. Then the upstream starts again with the next start number.
  void DepartUpstream()
  {
    const std::string id = Upstream(RandomBelow(kUpstreams));
    const std::uint64_t startNumber = fleet_.FindListedProcess(id)->startNumber_;
    if (!departingUpstreams_.insert(id).second) {
      return;
    }
    if (const auto instance = fleet_.instances_.find(1 + RandomBelow(kInstances));
        instance != fleet_.instances_.end()) {
      instance->second->plane_.ReportLeaving(UpstreamId(id), startNumber);
    }
    const MonotonicTime listShowsAt =
      fleet_.clock_.Now() + milliseconds(RandomBelow(kMaxListLag / milliseconds(1)));
    fleet_.clock_.ScheduleAt(listShowsAt,
                             [this, id] { fleet_.FindListedProcess(id)->leaving_ = true; });
    fleet_.clock_.ScheduleAt(listShowsAt + seconds(1 + RandomBelow(90)), [this, id] {
      fleet_.FindListedProcess(id)->leaving_ = false;
      ++fleet_.FindListedProcess(id)->startNumber_;
      departingUpstreams_.erase(id);
    });
  }

  void ChangeNetwork()
  {
    fleet_.network_ = { RandomBelow(4) * 0.1,
                        RandomBelow(3) * 0.1,
                        milliseconds(1),
                        milliseconds(2 + RandomBelow(400)) };
  }

  Random random_;
  std::set<std::string> departingUpstreams_;
};

} // namespace

TEST_GROUP(FleetRandom){};

// Guards against an instance that goes back to a lower version, or uses a departed start of an
// upstream again, after any sequence of faults.
TEST(FleetRandom, VersionsNeverDecreaseAndDepartedStartsNeverReturn)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomRun run(seed);
    for (int step = 0; step < kStepsPerSeed; ++step) {
      run.Step();
      if (!run.fleet_.violations_.empty()) {
        const std::string text = "seed " + std::to_string(seed) + " step " + std::to_string(step) +
                                 ": " + run.fleet_.violations_.front();
        FAIL(text.c_str());
      }
    }
    CHECK_TRUE_TEXT(run.ConvergesAfterFaultsEnd(),
                    ("does not converge: seed " + std::to_string(seed)).c_str());
  }
}

} // namespace boragepier::fleet
