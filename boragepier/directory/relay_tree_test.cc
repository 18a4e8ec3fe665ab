#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "boragepier/directory/relay_tree.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

TEST_GROUP(RelayRole){};

// Guards against a tree in which instances subscribe to each other in a cycle, or one sends to all.
TEST(RelayRole, SourcesRankAboveTheirSubscribersWhoseNumberIsBounded)
{
  std::vector<InstanceEntry> instances;
  instances.reserve(110);
  for (int i = 0; i < 110; ++i) {
    instances.push_back(
      { InstanceId("i-" + std::to_string(i)), "127.0.0.1", 7, i % 3 == 0 ? 200.0 : 10.0, {} });
  }
  std::map<InstanceId, int> subscriberCounts;
  std::map<InstanceId, InstanceId> sourceOf;
  int roots = 0;
  for (const InstanceEntry& instance : instances) {
    const RelayRole role = ComputeRelayRole(instances, instance, 4);
    roots += role.IsRoot() ? 1 : 0;
    if (!role.IsRoot()) {
      ++subscriberCounts[role.sources_[0].id_];
      sourceOf[instance.id_] = role.sources_[0].id_;
      DOUBLES_EQUAL(200, role.sources_[0].relayCapacity_, 0);
    }
  }
  CHECK_EQUAL(1, roots);
  for (const auto& [id, count] : subscriberCounts) {
    CHECK(count <= 11);
  }
  for (auto [id, source] : sourceOf) {
    int depth = 1;
    for (; sourceOf.contains(source); source = sourceOf[source]) {
      CHECK(++depth <= 3);
    }
  }
}

TEST(RelayRole, UnlistedInstanceIsRootIfNobodyIsListed)
{
  const InstanceEntry self{ InstanceId("i"), "127.0.0.1", 7, 100, {} };
  CHECK(ComputeRelayRole({}, self, 4).IsRoot());
}

namespace {

constexpr std::size_t kMaxSources = 5;

// Five availability zones with three instances of 200 Mbit/s and some of 20 Mbit/s each.
std::vector<InstanceEntry>
MakeLargeFleet()
{
  std::vector<InstanceEntry> instances;
  for (int zone = 0; zone < 5; ++zone) {
    for (int i = 0; i < 90 + zone; ++i) {
      const std::string name = std::to_string(zone) + '-' + std::to_string(i);
      instances.push_back({ InstanceId("i-" + name),
                            "127.0.0.1",
                            7,
                            i < 3 ? 200.0 : 20.0,
                            ZoneName("z-" + std::to_string(zone)) });
    }
  }
  return instances;
}

} // namespace

// Guards against a change that crosses the border of a zone more than once.
TEST(RelayRole, OnlyHeadsOfZonesSubscribeAcrossZones)
{
  const auto instances = MakeLargeFleet();
  int crossing = 0;
  for (const InstanceEntry& instance : instances) {
    const RelayRole role = ComputeRelayRole(instances, instance, kMaxSources);
    if (role.IsRoot()) {
      continue;
    }
    const bool crosses = role.sources_.front().zone_ != instance.zone_;
    CHECK_EQUAL(role.level_ == RelayLevel::Head, crosses);
    crossing += crosses ? 1 : 0;
  }
  CHECK_EQUAL(4, crossing);
}

// Guards against an instance with a slow link that serves as many others as one with a fast link.
TEST(RelayRole, SubscribersAreDividedInProportionToCapacity)
{
  const auto instances = MakeLargeFleet();
  std::map<InstanceId, int> subscriberCounts;
  for (const InstanceEntry& instance : instances) {
    const RelayRole role = ComputeRelayRole(instances, instance, kMaxSources);
    if (!role.IsRoot()) {
      ++subscriberCounts[role.sources_.front().id_];
    }
  }
  for (const InstanceEntry& instance : instances) {
    CHECK_COMPARE(subscriberCounts[instance.id_], <=, instance.relayCapacity_ > 100 ? 28 : 4);
  }
}

// Guards against instances that all lose the directory because their zone lost its relays.
TEST(RelayRole, LeavesHaveSourcesBeyondTheRelaysOfTheirZone)
{
  const auto instances = MakeLargeFleet();
  for (const InstanceEntry& instance : instances) {
    const RelayRole role = ComputeRelayRole(instances, instance, kMaxSources);
    if (role.level_ != RelayLevel::Leaf) {
      continue;
    }
    std::set<InstanceId> ids;
    std::set<ZoneName> zones;
    for (const InstanceEntry& source : role.sources_) {
      ids.insert(source.id_);
      zones.insert(source.zone_);
    }
    CHECK_EQUAL(role.sources_.size(), ids.size());
    CHECK(!ids.contains(instance.id_));
    CHECK(zones.size() >= 2);
  }
}

// Guards against instances that are not listed yet and all subscribe to the same one.
TEST(RelayRole, UnlistedInstancesSpreadOverTheListedOnesOfTheirZone)
{
  auto instances = MakeLargeFleet();
  std::erase_if(instances, [](const auto& aInstance) { return aInstance.relayCapacity_ < 100; });
  std::map<InstanceId, int> subscriberCounts;
  constexpr int kNewcomers = 90;
  for (int i = 0; i < kNewcomers; ++i) {
    const InstanceEntry self{
      InstanceId("new-" + std::to_string(i)), "127.0.0.1", 7, 20, ZoneName("z-2")
    };
    const RelayRole role = ComputeRelayRole(instances, self, kMaxSources);
    CHECK(!role.IsRoot());
    CHECK(role.sources_.front().zone_ == self.zone_);
    ++subscriberCounts[role.sources_.front().id_];
  }
  CHECK_EQUAL(3, subscriberCounts.size());
  for (const auto& [id, count] : subscriberCounts) {
    CHECK_COMPARE(count, <=, kNewcomers / 2);
  }
}

} // namespace boragepier
