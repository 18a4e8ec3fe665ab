#include "boragepier/control/fleet_fixture.h"

#include <cstdio>

#include <CppUTest/TestHarness.h>

namespace boragepier::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Limit on the peer traffic of one instance, in both directions with framing.
constexpr double kMaxBytesPerSecond = 16.0 * 1024;
// Limit on reads of the whole fleet. Two instances poll in each round; an instance whose list of
// members or round differs may poll too.
constexpr double kMaxReadsPerSecond = 2.5;
constexpr int kMeasuredSeconds = 40;

// Size of a fleet and rate of changes.
struct Scenario
{
  const char* name_;
  int instances_;
  int services_;
  int upstreams_;
  std::size_t bodyBytes_;
  Duration publishInterval_;
  Duration departureInterval_;
};

struct Measurements
{
  double meanBytesPerSecond_ = 0; ///< peer traffic of one instance
  double maxBytesPerSecond_ = 0;
  double storeReadsPerSecond_ = 0; ///< of the whole fleet
  double listReadsPerSecond_ = 0;
};

std::uint64_t
PeerBytes(const Instance& aInstance)
{
  const PeerCounters& counters = aInstance.transport_.counters_;
  return counters.bytesSent_ + counters.bytesReceived_;
}

Measurements
Measure(const Scenario& aScenario)
{
  Fleet fleet(1);
  const std::string body(aScenario.bodyBytes_, 'x');
  for (int i = 0; i < aScenario.services_; ++i) {
    fleet.Publish("service-" + std::to_string(i), body);
  }
  for (int i = 0; i < aScenario.upstreams_; ++i) {
    fleet.AddUpstream("upstream-" + std::to_string(i),
                      "service-" + std::to_string(i % aScenario.services_));
  }
  fleet.StartAll(aScenario.instances_);
  fleet.clock_.RunFor(seconds(60));

  std::map<int, std::uint64_t> bytesBefore;
  for (const auto& [number, instance] : fleet.instances_) {
    bytesBefore[number] = PeerBytes(*instance);
  }
  fleet.storeReads_ = 0;
  fleet.listReads_ = 0;
  const MonotonicTime start = fleet.clock_.Now();
  MonotonicTime nextPublish = start;
  MonotonicTime nextDeparture = start;
  int publishedCount = 0;
  int departureCount = 0;
  while (fleet.clock_.Now() < start + seconds(kMeasuredSeconds)) {
    if (fleet.clock_.Now() >= nextPublish) {
      fleet.Publish("service-" + std::to_string(++publishedCount % aScenario.services_), body);
      nextPublish += aScenario.publishInterval_;
    }
    if (fleet.clock_.Now() >= nextDeparture) {
      fleet
        .FindListedProcess("upstream-" + std::to_string(++departureCount % aScenario.upstreams_))
        ->leaving_ = true;
      nextDeparture += aScenario.departureInterval_;
    }
    fleet.clock_.RunFor(milliseconds(100));
  }

  Measurements measurements;
  for (const auto& [number, instance] : fleet.instances_) {
    const double bytesPerSecond =
      static_cast<double>(PeerBytes(*instance) - bytesBefore[number]) / kMeasuredSeconds;
    measurements.meanBytesPerSecond_ += bytesPerSecond / aScenario.instances_;
    measurements.maxBytesPerSecond_ = std::max(measurements.maxBytesPerSecond_, bytesPerSecond);
  }
  measurements.storeReadsPerSecond_ = static_cast<double>(fleet.storeReads_) / kMeasuredSeconds;
  measurements.listReadsPerSecond_ = static_cast<double>(fleet.listReads_) / kMeasuredSeconds;
  return measurements;
}

Measurements
MeasureAndCheck(const Scenario& aScenario)
{
  const Measurements measurements = Measure(aScenario);
  std::printf("%-10s %4d instances %4d services %5d upstreams: bytes/s mean %6.0f max %6.0f, "
              "store reads/s %4.2f, list reads/s %4.2f\n",
              aScenario.name_,
              aScenario.instances_,
              aScenario.services_,
              aScenario.upstreams_,
              measurements.meanBytesPerSecond_,
              measurements.maxBytesPerSecond_,
              measurements.storeReadsPerSecond_,
              measurements.listReadsPerSecond_);
  CHECK(measurements.maxBytesPerSecond_ <= kMaxBytesPerSecond);
  // A change adds at most one read by each of the two instances that poll.
  const double changeReadsPerSecond =
    2 / std::chrono::duration<double>(aScenario.publishInterval_).count();
  CHECK(measurements.storeReadsPerSecond_ <= kMaxReadsPerSecond + changeReadsPerSecond);
  CHECK(measurements.listReadsPerSecond_ <= kMaxReadsPerSecond);
  return measurements;
}

} // namespace

TEST_GROUP(FleetLoad){};

// Guards against peer traffic per instance, or reads, that grow with the number of instances.
TEST(FleetLoad, BytesAndReadsStayWithinBoundsForAllFleetSizes)
{
  const auto printSlope =
    [](const char* aName, Duration aPublishInterval, Duration aDepartureInterval) {
      const auto measureAndCheck = [&](int aInstances) {
        return MeasureAndCheck(
          { aName, aInstances, 3, 28, 600, aPublishInterval, aDepartureInterval });
      };
      const Measurements small = measureAndCheck(15);
      measureAndCheck(60);
      const Measurements large = measureAndCheck(240);
      std::printf(
        "%-10s slope from 15 to 240 instances: %.2f bytes/s and %.4f store reads/s for each\n",
        aName,
        (large.meanBytesPerSecond_ - small.meanBytesPerSecond_) / (240 - 15),
        (large.storeReadsPerSecond_ - small.storeReadsPerSecond_) / (240 - 15));
    };
  printSlope("idle", std::chrono::hours(1), std::chrono::hours(1));
  printSlope("changing", seconds(4), seconds(10));
}

// Guards against a control plane that exceeds its limits at the fleet size that is planned for in
// two years, with 20,000 configuration changes and some thousand restarts a day.
TEST(FleetLoad, PlannedFleetSizeStaysWithinBounds)
{
  MeasureAndCheck({ "two years", 60, 460, 4400, 600, milliseconds(4300), seconds(10) });
}

} // namespace boragepier::fleet
