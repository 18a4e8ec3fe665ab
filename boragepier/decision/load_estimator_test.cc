#include "boragepier/decision/load_estimator.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

constexpr MonotonicTime kStart{ std::chrono::seconds(1) };
constexpr Duration kServiceTime = std::chrono::milliseconds(10);

} // namespace

TEST_GROUP(LoadEstimator)
{
  LoadEstimator estimator_{ 2 };

  void setup() override
  {
    estimator_.Add();
    estimator_.Add();
  }
};

// Guards against own requests that are counted twice: as outstanding and as part of the report.
TEST(LoadEstimator, OwnRequestsAreSubtractedFromReport)
{
  estimator_.OnDispatch(0, kStart);
  estimator_.OnDispatch(0, kStart);
  const MonotonicTime now = kStart + kServiceTime;
  estimator_.OnAttemptEnded(0, kServiceTime, now);
  estimator_.OnReport(0, 3, now);
  LONGS_EQUAL(1, estimator_.OwnOutstanding(0));
  DOUBLES_EQUAL(2, estimator_.OthersEstimate(0, now), 0.01);
}

// Guards against subtracting a request that had not reached the upstream when the report was
// written.
TEST(LoadEstimator, RequestsInTransitAreNotSubtracted)
{
  const MonotonicTime now = kStart + kServiceTime;
  estimator_.OnDispatch(0, now);
  estimator_.OnReport(0, 2, now);
  DOUBLES_EQUAL(2, estimator_.OthersEstimate(0, now), 0.01);
}

// Guards against a stale report that is taken as current, and against an upstream that looks idle
// because it has not reported.
TEST(LoadEstimator, StaleAndMissingReportsApproachMeanLoad)
{
  for (int i = 0; i < 200; ++i) {
    estimator_.OnReport(0, 4, kStart);
  }
  estimator_.OnReport(0, 0, kStart);
  CHECK(estimator_.OthersEstimate(0, kStart) < 2);
  CHECK(estimator_.OthersEstimate(0, kStart + std::chrono::seconds(1)) > 3);
  CHECK(estimator_.OthersEstimate(1, kStart) > 3);
  CHECK(estimator_.ExpectedWaitServiceTimes(1, kStart) > 1);
}

// Guards against a straggler that is not detected, and against taking an upstream for one after a
// single long request.
TEST(LoadEstimator, SlownessFollowsSeveralAnswersButNotOne)
{
  for (int i = 0; i < 200; ++i) {
    estimator_.OnAnswer(0, kServiceTime, 1);
  }
  for (int i = 0; i < 10; ++i) {
    estimator_.OnAnswer(1, kServiceTime, 1);
  }
  estimator_.OnAnswer(1, kServiceTime * 50, 1);
  CHECK(estimator_.RecentSlowness(1) < 2);
  for (int i = 0; i < 15; ++i) {
    estimator_.OnAnswer(1, kServiceTime * 10, 1);
  }
  CHECK(estimator_.RecentSlowness(1) > 2.5);
  CHECK(estimator_.RecentSlowness(0) < 1.5);
}

} // namespace boragepier
