#include "boragepier/decision/load_view.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

constexpr MonotonicTime kStart{ std::chrono::seconds(1) };
constexpr Duration kTen = std::chrono::milliseconds(10);

} // namespace

TEST_GROUP(LoadView)
{
  LoadView view_{ 2 };

  void setup() override
  {
    view_.Add();
    view_.Add();
  }
};

// Guards against a report that counts the instance's own requests twice.
TEST(LoadView, OwnShareIsSubtractedFromAReport)
{
  view_.OnDispatch(0, kStart);
  view_.OnDispatch(0, kStart);
  const MonotonicTime now = kStart + kTen;
  view_.OnEnded(0, kTen, now);
  view_.OnReport(0, 3, now);
  LONGS_EQUAL(1, view_.Own(0));
  DOUBLES_EQUAL(2, view_.Others(0, now), 0.01);
}

// Guards against a request on its way that is taken for one that the report contains.
TEST(LoadView, RequestsOnTheirWayAreNotSubtracted)
{
  const MonotonicTime now = kStart + kTen;
  view_.OnDispatch(0, now);
  view_.OnReport(0, 2, now);
  DOUBLES_EQUAL(2, view_.Others(0, now), 0.01);
}

// Guards against an old report that is trusted, and against an unknown upstream that looks idle.
TEST(LoadView, OldAndMissingReportsApproachTheUsualLoad)
{
  for (int i = 0; i < 200; ++i) {
    view_.OnReport(0, 4, kStart);
  }
  view_.OnReport(0, 0, kStart);
  CHECK(view_.Others(0, kStart) < 2);
  CHECK(view_.Others(0, kStart + std::chrono::seconds(1)) > 3);
  CHECK(view_.Others(1, kStart) > 3);
  CHECK(view_.ExpectedWait(1, kStart) > 1);
}

// Guards against a straggler that is not recognised, and one long request that looks like one.
TEST(LoadView, SlownessFollowsManyAnswersNotOne)
{
  for (int i = 0; i < 200; ++i) {
    view_.OnAnswer(0, kTen, 1);
  }
  for (int i = 0; i < 10; ++i) {
    view_.OnAnswer(1, kTen, 1);
  }
  view_.OnAnswer(1, kTen * 50, 1);
  CHECK(view_.RecentSlowness(1) < 2);
  for (int i = 0; i < 15; ++i) {
    view_.OnAnswer(1, kTen * 10, 1);
  }
  CHECK(view_.RecentSlowness(1) > 2.5);
  CHECK(view_.RecentSlowness(0) < 1.5);
}

} // namespace boragepier
