#include "boragepier/decision/return_detector.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

using std::chrono::milliseconds;

constexpr MonotonicTime kStart{ std::chrono::hours(1) };

} // namespace

TEST_GROUP(ReturnDetector)
{
  ReturnDetector detector_;
  MonotonicTime now_ = kStart;

  Duration Send(Duration aTimeLeft, std::uint64_t aRoute = 1)
  {
    now_ += milliseconds(10);
    return detector_.OnRequest(aRoute, aTimeLeft, now_);
  }

  void SendMany(int aCount, Duration aTimeLeft)
  {
    for (int i = 0; i < aCount; ++i) {
      Send(aTimeLeft);
    }
  }
};

// Guards against a returned request that is taken for a new one, and so is refused again.
TEST(ReturnDetector, LessTimeThanUsualMeansAnEarlierStart)
{
  SendMany(10, milliseconds(1200));
  CHECK(Send(milliseconds(1200)) == Duration(0));
  CHECK(Send(milliseconds(900)) == milliseconds(300));
  CHECK(Send(milliseconds(1100)) == milliseconds(100));
  // Other routes have their own times.
  CHECK(Send(milliseconds(300), 2) == Duration(0));
}

// Guards against new requests that pass for returned ones because of rounding.
TEST(ReturnDetector, SmallDifferencesCountAsNone)
{
  SendMany(10, milliseconds(1200));
  CHECK(Send(milliseconds(1196)) == Duration(0));
  CHECK(Send(milliseconds(1190)) == milliseconds(10));
}

// Guards against a few callers with a long time that make all others pass for returned ones.
TEST(ReturnDetector, FewLongTimesAreNotUsual)
{
  for (int i = 0; i < 1000; ++i) {
    const bool isLong = i % 100 == 0;
    const Duration earlier = Send(milliseconds(isLong ? 9000 : 1200));
    CHECK(earlier == Duration(0));
  }
}

// Guards against callers that each choose their own time and pass for returned ones.
TEST(ReturnDetector, VariousTimesSayNothing)
{
  int returned = 0;
  for (int i = 0; i < 1000; ++i) {
    returned += Send(milliseconds(500 + 17 * (i * 7 % 60))) > Duration(0) ? 1 : 0;
  }
  // The first requests until that is known.
  CHECK_COMPARE(returned, <=, 100);
  CHECK(Send(milliseconds(500)) == Duration(0));
}

// Guards against a time that callers no longer use.
TEST(ReturnDetector, UsualTimeIsLearntAnew)
{
  SendMany(500, milliseconds(1200));
  SendMany(500, milliseconds(800));
  CHECK(Send(milliseconds(800)) == Duration(0));
  CHECK(Send(milliseconds(600)) == milliseconds(200));
}

// The load of trouble in which most callers come back, some more than once.
TEST(ReturnDetector, ReturnedRequestsAreKnownWhileMostReturn)
{
  SendMany(200, milliseconds(1200));
  for (int i = 0; i < 500; ++i) {
    CHECK(Send(milliseconds(1200)) == Duration(0));
    CHECK(Send(milliseconds(1000)) == milliseconds(200));
    CHECK(Send(milliseconds(700)) == milliseconds(500));
  }
}

// Guards against state of routes that are no longer used.
TEST(ReturnDetector, IdleRoutesAreForgotten)
{
  for (std::uint64_t route = 0; route < 1000; ++route) {
    Send(milliseconds(1200), route);
  }
  now_ += std::chrono::minutes(3);
  Send(milliseconds(1200));
  CHECK_EQUAL(1U, detector_.RouteCount());
}

} // namespace boragepier
