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
// The list shows a leaving upstream at the latest after this time. Less than the time after which a
// departure without a signal ends, so that no return of a departed start is allowed.
constexpr Duration kListLag = seconds(20);

// Drives a fleet with random events.
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
      &RandomRun::Publish,     &RandomRun::Announce, &RandomRun::ToggleStore,
      &RandomRun::ToggleList,  &RandomRun::Divide,   &RandomRun::Heal,
      &RandomRun::KillOrStart, &RandomRun::Depart,   &RandomRun::ChangeNetwork,
    };
    // Most steps only let time pass: otherwise nothing settles between two events.
    if (const std::size_t choice = Below(kActions.size() * 4); choice < kActions.size()) {
      (this->*kActions.at(choice))();
    }
    fleet_.clock_.RunFor(milliseconds(Below(120)));
  }

  // Ends all faults and returns whether all instances then agree with the store.
  bool Settles()
  {
    fleet_.network_ = {};
    fleet_.storeDown_ = false;
    fleet_.listDown_ = false;
    Heal();
    for (int i = 1; i <= kInstances; ++i) {
      if (!fleet_.instances_.contains(i)) {
        fleet_.Start(i);
      }
    }
    return fleet_.Until(seconds(60), [&](const Instance& aInstance) {
      if (aInstance.plane_.Status().services_.size() != kServices) {
        return false;
      }
      for (int i = 0; i < kServices; ++i) {
        if (aInstance.plane_.Status().services_.at(i).version_ != fleet_.published_[Service(i)]) {
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
  int Below(int aBound) { return static_cast<int>(random_(static_cast<std::uint32_t>(aBound))); }

  void Publish()
  {
    if (!fleet_.storeDown_) {
      fleet_.Publish(Service(Below(kServices)), Below(10) == 0 ? "bad" : "body");
    }
  }

  void Announce()
  {
    const auto found = fleet_.instances_.find(1 + Below(kInstances));
    if (fleet_.storeDown_ || found == fleet_.instances_.end()) {
      return;
    }
    const ConfigRecord record = fleet_.Publish(Service(Below(kServices)));
    fleet_.storeDown_ = Below(2) == 0;
    found->second->plane_.Announce(record);
  }

  void ToggleStore() { fleet_.storeDown_ = !fleet_.storeDown_; }
  void ToggleList() { fleet_.listDown_ = !fleet_.listDown_; }

  void Divide()
  {
    for (int i = 1; i <= kInstances; ++i) {
      fleet_.group_[i] = Below(2);
    }
    fleet_.storeGroups_ = Below(2) == 0 ? std::set{ 0 } : std::set{ 0, 1 };
  }

  void Heal()
  {
    fleet_.group_.clear();
    fleet_.storeGroups_ = { 0, 1 };
  }

  void KillOrStart()
  {
    const int number = 1 + Below(kInstances);
    if (fleet_.instances_.contains(number) && fleet_.instances_.size() > 1) {
      if (Below(2) == 0) {
        fleet_.instances_[number]->plane_.BeginShutdown();
      }
      fleet_.Kill(number);
    } else if (!fleet_.instances_.contains(number)) {
      fleet_.Start(number);
    }
  }

  // An upstream leaves; instances learn of it from answers, later from the list. Then it starts
  // again with the next number.
  void Depart()
  {
    const std::string id = Upstream(Below(kUpstreams));
    const std::uint64_t start = fleet_.FindListed(id)->startNumber_;
    if (!departing_.insert(id).second) {
      return;
    }
    if (const auto found = fleet_.instances_.find(1 + Below(kInstances));
        found != fleet_.instances_.end()) {
      found->second->plane_.ReportLeaving(UpstreamId(id), start);
    }
    const MonotonicTime listed =
      fleet_.clock_.Now() + milliseconds(Below(kListLag / milliseconds(1)));
    fleet_.clock_.At(listed, [this, id] { fleet_.FindListed(id)->leaving_ = true; });
    fleet_.clock_.At(listed + seconds(1 + Below(90)), [this, id] {
      fleet_.FindListed(id)->leaving_ = false;
      ++fleet_.FindListed(id)->startNumber_;
      departing_.erase(id);
    });
  }

  void ChangeNetwork()
  {
    fleet_.network_ = {
      Below(4) * 0.1, Below(3) * 0.1, milliseconds(1), milliseconds(2 + Below(400))
    };
  }

  Random random_;
  std::set<std::string> departing_;
};

} // namespace

TEST_GROUP(FleetRandom){};

// Guards against a version that steps back and a departed start that comes back at any instance,
// under any order of faults.
TEST(FleetRandom, VersionsNeverStepBackAndDepartedStartsNeverReturn)
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
    CHECK_TRUE_TEXT(run.Settles(), ("does not settle: seed " + std::to_string(seed)).c_str());
  }
}

} // namespace boragepier::fleet
