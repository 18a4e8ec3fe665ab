#include "boragepier/decision/outlier_ejection.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

constexpr MonotonicTime kStart{ std::chrono::seconds(1) };
constexpr Duration kPastEveryEjection = std::chrono::minutes(2); // longer than any ejection

} // namespace

TEST_GROUP(OutlierEjection)
{
  OutlierEjection ejection_{ 0.3 };
  Random random_{ 5 };

  void setup() override
  {
    for (int i = 0; i < 10; ++i) {
      ejection_.Add(false);
    }
    ejection_.SetUpstreamCount(10);
  }

  void FailRepeatedly(std::size_t aIndex, MonotonicTime aNow)
  {
    for (int i = 0; i < 3; ++i) {
      ejection_.OnError(aIndex, aNow, random_);
    }
  }
};

// Guards against a network fault that ejects most of the upstreams.
TEST(OutlierEjection, EjectedShareIsBounded)
{
  int ejected = 0;
  for (std::size_t i = 0; i < 10; ++i) {
    FailRepeatedly(i, kStart);
  }
  for (std::size_t i = 0; i < 10; ++i) {
    ejected += ejection_.HealthWeight(i, kStart) == 0 ? 1 : 0;
    CHECK(ejection_.HealthWeight(i, kStart) < 0.5);
  }
  LONGS_EQUAL(3, ejected);
}

// Guards against a thundering herd on an upstream that returns, and against one that never recovers
// completely.
TEST(OutlierEjection, RecoversInSteps)
{
  FailRepeatedly(0, kStart);
  DOUBLES_EQUAL(0, ejection_.HealthWeight(0, kStart), 0);
  const MonotonicTime later = kStart + kPastEveryEjection;
  double lastWeight = 0;
  int increases = 0;
  for (int i = 0; i < 20; ++i) {
    const double weight = ejection_.HealthWeight(0, later);
    CHECK(weight >= lastWeight);
    increases += weight > lastWeight ? 1 : 0;
    lastWeight = weight;
    ejection_.OnSuccess(0);
  }
  DOUBLES_EQUAL(1, lastWeight, 0);
  CHECK(increases >= 4);
}

// Guards against an upstream that keeps failing and is tried at the full rate.
TEST(OutlierEjection, OneErrorDuringRecoveryEjectsAgainForLonger)
{
  FailRepeatedly(0, kStart);
  const MonotonicTime afterEjection = kStart + std::chrono::seconds(3);
  CHECK(ejection_.HealthWeight(0, afterEjection) > 0);
  ejection_.OnError(0, afterEjection, random_);
  DOUBLES_EQUAL(0, ejection_.HealthWeight(0, afterEjection + std::chrono::milliseconds(3900)), 0);
}

// Guards against a thundering herd on an upstream that has just joined or restarted.
TEST(OutlierEjection, NewUpstreamsBeginWithSlowStart)
{
  ejection_.Add(true);
  CHECK(ejection_.HealthWeight(10, kStart) < 0.5);
  ejection_.Restart(0);
  CHECK(ejection_.HealthWeight(0, kStart) < 0.5);
}

} // namespace boragepier
