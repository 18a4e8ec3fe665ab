#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "boragepier/directory/directory_fakes.h"

#include <CppUTest/TestHarness.h>

// Changes of the configuration in a fleet of 60 instances in three availability zones, in virtual
// time: how many bytes they take, and when they are in force.

namespace boragepier {

namespace {

constexpr int kZoneCount = 3;
constexpr int kInstancesPerZone = 20;
constexpr int kLargeInstances = 2; // of each zone
constexpr double kSmallMbps = 10;
constexpr double kLargeMbps = 200;
constexpr int kUpstreamCount = 100;
constexpr int kFewRoutes = 40;
constexpr int kManyRoutes = 4000;

} // namespace

TEST_GROUP(ConfigRelay)
{
  FakeScheduler scheduler_;
  FakeStore store_{ scheduler_ };
  FakeNetwork network_{ scheduler_ };
  std::vector<std::unique_ptr<FakeInstance>> instances_; // also those that were stopped
  std::map<InstanceId, FakeInstance*> running_;
  std::uint64_t version_ = 0;
  Random random_{ 1 };

  void Start(int aZone, int aNumber, bool aFleetStarts)
  {
    const InstanceId id("i-" + std::to_string(aZone) + '-' + std::to_string(aNumber));
    const double mbps = aNumber < kLargeInstances ? kLargeMbps : kSmallMbps;
    const InstanceEntry entry{ id, "127.0.0.1", 7, mbps, ZoneName("z-" + std::to_string(aZone)) };
    network_.links_[id].zone_ = entry.zone_;
    network_.links_[id].bytesPerMs_ = mbps * 125;
    instances_.push_back(
      std::make_unique<FakeInstance>(scheduler_, store_, network_, entry, random_()));
    running_[id] = instances_.back().get();
    instances_.back()->watch_.Start(aFleetStarts);
  }

  void Publish(int aRouteCount)
  {
    store_.Put(FeedTopic::Configuration, "config", ConfigRowValue(++version_, aRouteCount));
  }

  void PutUpstream(int aNumber)
  {
    store_.Put(FeedTopic::Upstreams, "u-" + std::to_string(aNumber), std::string(240, 'x'));
  }

  // Starts a fleet with this configuration, and waits until it is calm.
  void StartFleet(int aRouteCount)
  {
    Publish(aRouteCount);
    for (int i = 0; i < kUpstreamCount; ++i) {
      PutUpstream(i);
    }
    for (int zone = 0; zone < kZoneCount; ++zone) {
      for (int i = 0; i < kInstancesPerZone; ++i) {
        Start(zone, i, true);
      }
    }
    scheduler_.Advance(std::chrono::seconds(10));
    CHECK_EQUAL(running_.size(), CountWithVersion(version_));
  }

  std::size_t CountWithVersion(std::uint64_t aVersion)
  {
    return static_cast<std::size_t>(
      std::count_if(running_.begin(), running_.end(), [&](const auto& aInstance) {
        return aInstance.second->watch_.State().ConfigVersion() >= aVersion;
      }));
  }

  // Waits until all instances have a version, and returns the time from the first one to the last.
  Duration TimeFromFirstToLast(std::uint64_t aVersion)
  {
    constexpr Duration kStep = std::chrono::milliseconds(10);
    constexpr int kMaxSteps = 1000;
    int steps = 0;
    while (CountWithVersion(aVersion) == 0 && steps++ < kMaxSteps) {
      scheduler_.Advance(kStep);
    }
    const MonotonicTime first = scheduler_.Now();
    while (CountWithVersion(aVersion) < running_.size() && steps++ < kMaxSteps) {
      scheduler_.Advance(kStep);
    }
    CHECK_EQUAL(running_.size(), CountWithVersion(aVersion));
    return scheduler_.Now() - first;
  }

  std::map<InstanceId, std::uint64_t> BytesSent() const
  {
    std::map<InstanceId, std::uint64_t> bytes;
    for (const auto& [id, link] : network_.links_) {
      bytes[id] = link.bytesSent_;
    }
    return bytes;
  }

  // Bytes that the busiest instance sends for ten changes of one route, in half a second each.
  std::uint64_t BytesForChanges(int aRouteCount)
  {
    const auto before = BytesSent();
    for (int i = 0; i < 10; ++i) {
      Publish(aRouteCount);
      scheduler_.Advance(std::chrono::milliseconds(500));
    }
    scheduler_.Advance(std::chrono::seconds(3));
    CHECK_EQUAL(running_.size(), CountWithVersion(version_));
    std::uint64_t most = 0;
    for (const auto& [id, bytes] : BytesSent()) {
      most = std::max(most, bytes - before.at(id));
    }
    return most;
  }
};

// Guards against changes whose cost between instances grows with the size of the configuration: a
// change of one route is to take at most twice the bytes beside 4,000 routes that it takes
// beside 40.
TEST(ConfigRelay, ChangeOfOneRouteTakesAsManyBytesInALargeConfiguration)
{
  StartFleet(kFewRoutes);
  const std::uint64_t few = BytesForChanges(kFewRoutes);
  Publish(kManyRoutes);
  scheduler_.Advance(std::chrono::seconds(20));
  CHECK_EQUAL(running_.size(), CountWithVersion(version_));
  const std::uint64_t many = BytesForChanges(kManyRoutes);
  UT_PRINT(StringFromFormat("%d and %d bytes from the busiest instance",
                            static_cast<int>(few),
                            static_cast<int>(many))
             .asCharString());
  CHECK_COMPARE(many, <=, 2 * few);
}

// Guards against a change that is refused as an older version says, because a large configuration
// is still on its way to some instances: during a storm of changes and a release, a version is in
// force on the last instance within a second of the first.
TEST(ConfigRelay, ChangeOfALargeConfigurationIsInForceEverywhereWithinASecond)
{
  StartFleet(kManyRoutes);
  int upstream = 0;
  for (int i = 0; i < 10; ++i) {
    Publish(kManyRoutes);
    store_.Remove(FeedTopic::Upstreams, "u-" + std::to_string(upstream));
    PutUpstream(kUpstreamCount + upstream++);
    const MonotonicTime published = scheduler_.Now();
    const Duration spread = TimeFromFirstToLast(version_);
    UT_PRINT(StringFromFormat("%.0f ms", ToMilliseconds(spread)).asCharString());
    CHECK_COMPARE(ToMilliseconds(spread), <=, 1000);
    scheduler_.Advance(
      std::max(Duration(0), std::chrono::milliseconds(500) - (scheduler_.Now() - published)));
  }
}

// Guards against the same during the restart of a part of the fleet, whose instances need all
// routes at once.
TEST(ConfigRelay, ChangeIsInForceEverywhereWithinASecondDuringARestart)
{
  StartFleet(kManyRoutes);
  for (int zone = 0; zone < kZoneCount; ++zone) {
    for (int i = 1; i < kInstancesPerZone; i += 4) {
      const InstanceId id("i-" + std::to_string(zone) + '-' + std::to_string(i));
      running_.at(id)->Stop(false);
      running_.erase(id);
    }
  }
  scheduler_.Advance(std::chrono::milliseconds(500));
  std::vector<FakeInstance*> restarted;
  for (int zone = 0; zone < kZoneCount; ++zone) {
    for (int i = 1; i < kInstancesPerZone; i += 4) {
      Start(zone, i, false);
    }
  }
  // Instances that start have no older version from which they could refuse a request.
  for (auto it = running_.begin(); it != running_.end();) {
    const bool starting = it->second->watch_.State().ConfigVersion() == 0;
    it = starting ? running_.erase(it) : std::next(it);
  }
  for (int i = 0; i < 4; ++i) {
    Publish(kManyRoutes);
    const Duration spread = TimeFromFirstToLast(version_);
    UT_PRINT(StringFromFormat("%.0f ms", ToMilliseconds(spread)).asCharString());
    CHECK_COMPARE(ToMilliseconds(spread), <=, 1000);
  }
}

// Guards against instances that give up a transfer in progress, because their data becomes too old
// meanwhile, and begin it again from another source or read the store, which takes them longer. The
// routes are added at any time of a long poll, and the store answers late.
TEST(ConfigRelay, ManyNewRoutesReachEverybodyThroughTheTree)
{
  StartFleet(kFewRoutes);
  store_.answerDelay_ = std::chrono::milliseconds(150);
  scheduler_.Advance(std::chrono::seconds(5));
  const auto countSourceChanges = [&] {
    int changes = 0;
    for (const auto& [id, instance] : running_) {
      changes += instance->sourceChanges_;
    }
    return changes;
  };
  for (int round = 1; round <= 10; ++round) {
    const auto callsBefore = store_.callCounts_;
    const int changesBefore = countSourceChanges();
    Publish(round * 1400);
    const Duration spread = TimeFromFirstToLast(version_);
    int readers = 0;
    for (const auto& [id, calls] : store_.callCounts_) {
      const auto before = callsBefore.find(id);
      readers += before == callsBefore.end() || before->second < calls ? 1 : 0;
    }
    UT_PRINT(StringFromFormat("%.0f ms, %d readers, %d changes of source",
                              ToMilliseconds(spread),
                              readers,
                              countSourceChanges() - changesBefore)
               .asCharString());
    // The root, and the heads of the other zones.
    CHECK_COMPARE(readers, <=, kZoneCount);
    CHECK_COMPARE(ToMilliseconds(spread), <=, 2500);
    // At another time of the long polls.
    scheduler_.Advance(std::chrono::milliseconds(3000 + 90 * round));
  }
}

} // namespace boragepier
