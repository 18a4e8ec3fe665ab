#include "boragepier/decision/outlier_ejection.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

constexpr MonotonicTime kStart{ std::chrono::seconds(1) };
constexpr Duration kLong = std::chrono::minutes(2);

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
    ejection_.SetPresent(10);
  }

  void Fail(std::size_t aIndex, MonotonicTime aNow)
  {
    for (int i = 0; i < 3; ++i) {
      ejection_.OnError(aIndex, aNow, random_);
    }
  }
};

// Guards against a fault of the network that ejects most of the upstreams.
TEST(OutlierEjection, EjectedShareIsBounded)
{
  int ejected = 0;
  for (std::size_t i = 0; i < 10; ++i) {
    Fail(i, kStart);
  }
  for (std::size_t i = 0; i < 10; ++i) {
    ejected += ejection_.Standing(i, kStart) == 0 ? 1 : 0;
    CHECK(ejection_.Standing(i, kStart) < 0.5);
  }
  LONGS_EQUAL(3, ejected);
}

// Guards against a herd on an upstream that returns, and one that never returns fully.
TEST(OutlierEjection, ReturnsInSteps)
{
  Fail(0, kStart);
  DOUBLES_EQUAL(0, ejection_.Standing(0, kStart), 0);
  const MonotonicTime later = kStart + kLong;
  double last = 0;
  int steps = 0;
  for (int i = 0; i < 20; ++i) {
    const double standing = ejection_.Standing(0, later);
    CHECK(standing >= last);
    steps += standing > last ? 1 : 0;
    last = standing;
    ejection_.OnSuccess(0);
  }
  DOUBLES_EQUAL(1, last, 0);
  CHECK(steps >= 4);
}

// Guards against an upstream that is tried at full rate while it keeps failing.
TEST(OutlierEjection, OneErrorOnTheWayBackEjectsAgainForLonger)
{
  Fail(0, kStart);
  const MonotonicTime back = kStart + std::chrono::seconds(3);
  CHECK(ejection_.Standing(0, back) > 0);
  ejection_.OnError(0, back, random_);
  DOUBLES_EQUAL(0, ejection_.Standing(0, back + std::chrono::milliseconds(3900)), 0);
}

// Guards against a herd on an upstream that has just joined or restarted.
TEST(OutlierEjection, ColdUpstreamsStartLow)
{
  ejection_.Add(true);
  CHECK(ejection_.Standing(10, kStart) < 0.5);
  ejection_.Restart(0);
  CHECK(ejection_.Standing(0, kStart) < 0.5);
}

} // namespace boragepier
