#include "boragepier/control/fleet_fixture.h"

#include <cstdio>

#include <CppUTest/TestHarness.h>

namespace boragepier::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Budget of the control plane of one instance, both directions with framing.
constexpr double kBytesPerSecond = 16.0 * 1024;
// Two instances read in each round; an instance whose view or round differs may read too.
constexpr double kReadsPerSecond = 2.5;
constexpr int kSeconds = 40;

// What a fleet holds and what changes.
struct Load
{
  const char* name_;
  int instances_;
  int services_;
  int upstreams_;
  std::size_t bodyBytes_;
  Duration publishEvery_;
  Duration departEvery_;
};

struct Figures
{
  double meanBytes_ = 0; ///< per instance and second
  double maxBytes_ = 0;
  double storeReads_ = 0; ///< of the fleet per second
  double listReads_ = 0;
};

std::uint64_t
BytesOf(const Instance& aInstance)
{
  const PeerCounters& counters = aInstance.transport_.counters_;
  return counters.bytesSent_ + counters.bytesReceived_;
}

Figures
Run(const Load& aLoad)
{
  Fleet fleet(1);
  const std::string body(aLoad.bodyBytes_, 'x');
  for (int i = 0; i < aLoad.services_; ++i) {
    fleet.Publish("service-" + std::to_string(i), body);
  }
  for (int i = 0; i < aLoad.upstreams_; ++i) {
    fleet.AddUpstream("upstream-" + std::to_string(i),
                      "service-" + std::to_string(i % aLoad.services_));
  }
  fleet.StartAll(aLoad.instances_);
  fleet.clock_.RunFor(seconds(60));

  std::map<int, std::uint64_t> before;
  for (const auto& [number, instance] : fleet.instances_) {
    before[number] = BytesOf(*instance);
  }
  fleet.storeReads_ = 0;
  fleet.listReads_ = 0;
  const MonotonicTime start = fleet.clock_.Now();
  MonotonicTime publish = start;
  MonotonicTime depart = start;
  int published = 0;
  int departed = 0;
  while (fleet.clock_.Now() < start + seconds(kSeconds)) {
    if (fleet.clock_.Now() >= publish) {
      fleet.Publish("service-" + std::to_string(++published % aLoad.services_), body);
      publish += aLoad.publishEvery_;
    }
    if (fleet.clock_.Now() >= depart) {
      fleet.FindListed("upstream-" + std::to_string(++departed % aLoad.upstreams_))->leaving_ =
        true;
      depart += aLoad.departEvery_;
    }
    fleet.clock_.RunFor(milliseconds(100));
  }

  Figures figures;
  for (const auto& [number, instance] : fleet.instances_) {
    const double bytes = static_cast<double>(BytesOf(*instance) - before[number]) / kSeconds;
    figures.meanBytes_ += bytes / aLoad.instances_;
    figures.maxBytes_ = std::max(figures.maxBytes_, bytes);
  }
  figures.storeReads_ = static_cast<double>(fleet.storeReads_) / kSeconds;
  figures.listReads_ = static_cast<double>(fleet.listReads_) / kSeconds;
  return figures;
}

Figures
RunAndCheck(const Load& aLoad)
{
  const Figures figures = Run(aLoad);
  std::printf("%-10s %4d instances %4d services %5d upstreams: bytes/s mean %6.0f max %6.0f, "
              "store reads/s %4.2f, list reads/s %4.2f\n",
              aLoad.name_,
              aLoad.instances_,
              aLoad.services_,
              aLoad.upstreams_,
              figures.meanBytes_,
              figures.maxBytes_,
              figures.storeReads_,
              figures.listReads_);
  CHECK(figures.maxBytes_ <= kBytesPerSecond);
  // A change adds at most one read by each of the instances that poll.
  const double changes = 2 / std::chrono::duration<double>(aLoad.publishEvery_).count();
  CHECK(figures.storeReads_ <= kReadsPerSecond + changes);
  CHECK(figures.listReads_ <= kReadsPerSecond);
  return figures;
}

} // namespace

TEST_GROUP(FleetLoad){};

// Guards against bytes or reads that grow with the number of instances.
TEST(FleetLoad, BytesAndReadsStayWithinBoundsForAllSizesOfTheFleet)
{
  const auto slope = [](const char* aName, Duration aPublishEvery, Duration aDepartEvery) {
    const auto run = [&](int aInstances) {
      return RunAndCheck({ aName, aInstances, 3, 28, 600, aPublishEvery, aDepartEvery });
    };
    const Figures small = run(15);
    run(60);
    const Figures large = run(240);
    std::printf(
      "%-10s slope from 15 to 240 instances: %.2f bytes/s and %.4f store reads/s for each\n",
      aName,
      (large.meanBytes_ - small.meanBytes_) / (240 - 15),
      (large.storeReads_ - small.storeReads_) / (240 - 15));
  };
  slope("idle", std::chrono::hours(1), std::chrono::hours(1));
  slope("changing", seconds(4), seconds(10));
}

// Guards against a control plane that does not fit its budget at the size planned for two years:
// 20,000 changes and some thousand restarts a day.
TEST(FleetLoad, TheTwoYearSizeStaysWithinBounds)
{
  RunAndCheck({ "two years", 60, 460, 4400, 600, milliseconds(4300), seconds(10) });
}

} // namespace boragepier::fleet
