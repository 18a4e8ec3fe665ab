#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "boragepier/directory/directory_fakes.h"

#include <CppUTest/TestHarness.h>

// Configurations of random size in a small fleet under random faults, in virtual time.

namespace boragepier {

namespace {

constexpr int kZoneCount = 2;
constexpr int kInstancesPerZone = 6;
constexpr int kInstances = kZoneCount * kInstancesPerZone;
constexpr std::uint64_t kSeeds = 30;
constexpr int kSteps = 60;
constexpr int kMaxRoutes = 900; // several messages

} // namespace

TEST_GROUP(ConfigRandom)
{
  FakeScheduler scheduler_;
  FakeStore store_{ scheduler_ };
  FakeNetwork network_{ scheduler_ };
  std::vector<std::unique_ptr<FakeInstance>> instances_; // also those that were stopped
  std::map<InstanceId, FakeInstance*> running_;
  std::map<std::uint64_t, int> routeCounts_; // by version
  std::map<FakeInstance*, std::uint64_t> versions_;
  std::uint64_t version_ = 0;

  InstanceId IdOf(int aIndex) const
  {
    return InstanceId("i-" + std::to_string(aIndex));
  }

  void Start(int aIndex, Random& aRandom)
  {
    const InstanceId id = IdOf(aIndex);
    const double mbps = aIndex % kInstancesPerZone == 0 ? 200 : 10;
    const ZoneName zone("z-" + std::to_string(aIndex / kInstancesPerZone));
    network_.isolated_.erase(id);
    network_.links_[id].zone_ = zone;
    network_.links_[id].bytesPerMs_ = mbps * 125;
    instances_.push_back(std::make_unique<FakeInstance>(
      scheduler_, store_, network_, InstanceEntry{ id, "127.0.0.1", 7, mbps, zone }, aRandom()));
    running_[id] = instances_.back().get();
    instances_.back()->watch_.Start(false);
  }

  void Publish(Random & aRandom)
  {
    const int routes = 1 + static_cast<int>(aRandom(kMaxRoutes));
    routeCounts_[++version_] = routes;
    store_.Put(FeedTopic::Configuration, "config", ConfigRowValue(version_, routes));
  }

  // Each instance has exactly the routes of one version, and never one before another.
  void CheckConfigurations()
  {
    for (const auto& [id, instance] : running_) {
      const auto table = instance->watch_.State().MakeRoutingTable();
      CHECK(table->routesVersion_ >= versions_[instance]);
      versions_[instance] = table->routesVersion_;
      if (table->routesVersion_ == 0) {
        continue;
      }
      const auto expected = MakeConfig(table->routesVersion_, routeCounts_[table->routesVersion_]);
      CHECK_EQUAL(expected.routes_.size(), table->routes_->Size());
      const RouteConfig& changing = expected.routes_.front();
      const auto& shard = table->routes_->ShardAt(
        RouteSet::ShardOf(MakeRouteKey(changing.host_, changing.pathPrefix_)));
      CHECK(std::any_of(shard->begin(), shard->end(), [&](const auto& aRoute) {
        return aRoute->pathPrefix_ == changing.pathPrefix_ &&
               aRoute->timeLimit_ == changing.timeLimit_;
      }));
    }
  }

  // All instances reach each other. A change must be in force in time also on those that the store
  // turns away, if it answers any of the others.
  void CheckChangeReachesThoseTurnedAway(Random & aRandom, std::uint64_t aSeed)
  {
    constexpr Duration kContactTime = std::chrono::milliseconds(3000);
    constexpr Duration kApplyTime = std::chrono::milliseconds(2500);
    if (std::all_of(running_.begin(), running_.end(), [&](const auto& aInstance) {
          return store_.unansweredInstances_.contains(aInstance.first);
        })) {
      return;
    }
    scheduler_.Advance(kContactTime);
    Publish(aRandom);
    scheduler_.Advance(kApplyTime);
    CheckConfigurations();
    for (const auto& [id, instance] : running_) {
      // One without a configuration has no older version to act on.
      if (instance->watch_.State().ConfigVersion() > 0) {
        CHECK_EQUAL_TEXT(version_,
                         instance->watch_.State().ConfigVersion(),
                         StringFromFormat("seed %d, %s", static_cast<int>(aSeed), id.Text().c_str())
                           .asCharString());
      }
    }
  }

  void Act(Random & aRandom)
  {
    const int index = static_cast<int>(aRandom(kInstances));
    const InstanceId id = IdOf(index);
    switch (aRandom(8)) {
      case 0: // stops or starts
        if (const auto found = running_.find(id); found != running_.end()) {
          found->second->Stop(aRandom(2) == 0);
          running_.erase(found);
        } else {
          Start(index, aRandom);
        }
        break;
      case 1: // is cut off from the others, or no longer
        if (!network_.isolated_.insert(id).second) {
          network_.isolated_.erase(id);
        }
        break;
      case 2: // is refused by the store, or no longer
        if (!store_.unansweredInstances_.insert(id).second) {
          store_.unansweredInstances_.erase(id);
        }
        break;
      case 3:
        store_.answerDelay_ = std::chrono::milliseconds(aRandom(400));
        break;
      default:
        Publish(aRandom);
    }
  }
};

// Guards against an instance that uses a mixture of two versions, returns to an older one or stays
// behind, also while the store turns it away: transfers are cut off, sources change, and readers
// see different versions.
TEST(ConfigRandom, EachInstanceHasTheRoutesOfOneVersion)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Random random(seed);
    for (auto& [id, instance] : running_) {
      instance->Stop(true);
    }
    running_.clear();
    store_.unansweredInstances_.clear();
    store_.answerDelay_ = {};
    network_.isolated_.clear();
    Publish(random);
    store_.Put(FeedTopic::Upstreams, "u-1", "x");
    for (int i = 0; i < kInstances; ++i) {
      Start(i, random);
    }
    for (int step = 0; step < kSteps; ++step) {
      Act(random);
      scheduler_.Advance(std::chrono::milliseconds(random(700)));
      CheckConfigurations();
    }
    store_.answerDelay_ = {};
    for (const auto& [id, instance] : running_) {
      network_.isolated_.erase(id);
    }
    CheckChangeReachesThoseTurnedAway(random, seed);
    store_.unansweredInstances_.clear();
    Publish(random);
    scheduler_.Advance(std::chrono::seconds(8));
    CheckConfigurations();
    for (const auto& [id, instance] : running_) {
      CHECK_EQUAL_TEXT(version_,
                       instance->watch_.State().ConfigVersion(),
                       StringFromFormat("seed %d", static_cast<int>(seed)).asCharString());
    }
  }
}

} // namespace boragepier
