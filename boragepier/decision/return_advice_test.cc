#include <algorithm>
#include <vector>

#include "boragepier/decision/fresh_probe_balancer.h"
#include "boragepier/decision/return_advice.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

using std::chrono::milliseconds;

constexpr MonotonicTime kStart{ std::chrono::hours(1) };

} // namespace

TEST_GROUP(ReturnAdvice)
{
  Random random_{ 7 };
  ReturnAdvisor advisor_;
};

// The load of a service that sheds by chance: callers that wait a second come back too late.
TEST(ReturnAdvice, CallersRefusedByChanceComeBackAtOnceAndApart)
{
  advisor_.OnRefused(RefusedWith::FreeSlots, kStart);
  CHECK(advisor_.IsByChance(RefusedWith::FreeSlots, kStart));
  CHECK(advisor_.IsByChance(RefusedWith::UnknownRoom, kStart));
  std::vector<Duration> times;
  for (int i = 0; i < 100; ++i) {
    const ReturnAdvice advice = ReturnAdvisor::AdviseByChance(random_);
    CHECK(advice.cause_ == RefusalCause::Chance);
    CHECK(advice.retryAfter_ > Duration(0) && advice.retryAfter_ < kQuickReturn);
    times.push_back(advice.retryAfter_);
  }
  const auto [least, most] = std::minmax_element(times.begin(), times.end());
  CHECK(*most - *least > milliseconds(20));
}

// The load of a service at its limit: the reports of some upstreams are a little too old, and a few
// refusals with free slots must not send all callers back at once.
TEST(ReturnAdvice, RefusalsAtFullLoadAreNotByChance)
{
  CHECK(!advisor_.IsByChance(RefusedWith::UnknownRoom, kStart));
  for (int i = 0; i < 10; ++i) {
    advisor_.OnRefused(i % 3 == 0 ? RefusedWith::FreeSlots : RefusedWith::NoFreeSlot, kStart);
  }
  CHECK(!advisor_.IsByChance(RefusedWith::FreeSlots, kStart));
  CHECK(!advisor_.IsByChance(RefusedWith::NoFreeSlot, kStart));
  // Later the upstreams shed by chance.
  const MonotonicTime later = kStart + std::chrono::seconds(2);
  advisor_.OnRefused(RefusedWith::FreeSlots, later);
  CHECK(advisor_.IsByChance(RefusedWith::FreeSlots, later));
}

// The load of twice the room: callers that are all told the same time come back together.
TEST(ReturnAdvice, ReturnsFitTheRoom)
{
  // 100 slots free every 50 ms, 2,000 slots a second; 8 instances share them.
  const RoomEstimate estimate{ .busySlots_ = 100, .excess_ = 30, .serviceMs_ = 50, .sharedBy_ = 8 };
  std::vector<Duration> returns;
  for (int i = 0; i < 250; ++i) {
    const MonotonicTime now = kStart + i * milliseconds(2);
    const ReturnAdvice advice = advisor_.AdviseNoRoom(estimate, now, random_);
    CHECK(advice.cause_ == RefusalCause::NoRoom);
    CHECK(advice.retryAfter_ >= milliseconds(100));
    CHECK(advice.retryAfter_ <= std::chrono::seconds(5));
    returns.push_back(now + advice.retryAfter_ - kStart);
  }
  // This instance's share of the room is 12.5 requests in 50 ms.
  std::sort(returns.begin(), returns.end());
  for (auto first = returns.begin(); first != returns.end(); ++first) {
    const auto end = std::lower_bound(first, returns.end(), *first + milliseconds(50));
    CHECK_COMPARE(end - first, <=, 30);
  }
}

// The load of a short burst, and of no known load: times as without a schedule.
TEST(ReturnAdvice, WithoutAnEstimateReturnsAreSpreadAroundOneSecond)
{
  for (int i = 0; i < 100; ++i) {
    const ReturnAdvice advice = advisor_.AdviseNoRoom({}, kStart + i * milliseconds(1), random_);
    CHECK(advice.retryAfter_ >= milliseconds(700) && advice.retryAfter_ <= milliseconds(1300));
  }
}

// The load after a start of the platform: callers reach instances that have no configuration yet,
// while others have it.
TEST(ReturnAdvice, CallersOfAnInstanceWithoutConfigurationComeBackSoon)
{
  const ReturnAdvice advice =
    AdviseWithoutBalancer(RefusalCauseOf(RefusalReason::NotConfigured), random_);
  CHECK(advice.cause_ == RefusalCause::NotConfigured);
  CHECK(advice.retryAfter_ >= milliseconds(50) && advice.retryAfter_ <= milliseconds(150));
}

TEST(ReturnAdvice, CausesFollowFromReasons)
{
  CHECK(RefusalCauseOf(RefusalReason::Overloaded) == RefusalCause::NoRoom);
  CHECK(RefusalCauseOf(RefusalReason::QueueTimeout) == RefusalCause::NoRoom);
  CHECK(RefusalCauseOf(RefusalReason::UpstreamsPaused) == RefusalCause::Paused);
  CHECK(RefusalCauseOf(RefusalReason::UpstreamsCold) == RefusalCause::Cold);
  CHECK(RefusalCauseOf(RefusalReason::QuotaExceeded) == RefusalCause::Quota);
  CHECK(RefusalCauseOf(RefusalReason::ShuttingDown) == RefusalCause::ShuttingDown);
  CHECK(RefusalCauseOf(RefusalReason::NoUpstream) == RefusalCause::Unreachable);
  CHECK(RefusalCauseOf(RefusalReason::NoRoute) == RefusalCause::None);
}

TEST_GROUP(ReturnAdviceOfBalancer)
{
  FreshProbeBalancer balancer_{ MakeConfig(), ZoneName("a"), 7 };
  MonotonicTime now_ = kStart;

  static ServiceConfig MakeConfig()
  {
    ServiceConfig config;
    config.name_ = ServiceName("s");
    config.policy_ = PolicyKind::FreshProbes;
    config.probesPerUpstreamSecond_ = 1000;
    config.retryRatio_ = 0;
    config.retrySlack_ = 30;
    return config;
  }

  void setup() override
  {
    std::vector<UpstreamEndpoint> endpoints;
    for (const char* const id : { "a-1", "a-2", "a-3", "a-4", "a-5", "a-6", "a-7", "a-8" }) {
      UpstreamEndpoint endpoint;
      endpoint.id_ = UpstreamId(id);
      endpoint.zone_ = ZoneName("a");
      endpoint.slots_ = 4;
      endpoint.startNumber_ = 1;
      endpoints.push_back(endpoint);
    }
    balancer_.SetUpstreams(endpoints, now_);
    balancer_.SetFleet(InstanceId("i"), std::vector{ InstanceId("i") }, now_);
  }

  CallInfo MakeCall() const
  {
    CallInfo call;
    call.arrival_ = now_;
    call.targetTime_ = now_ + milliseconds(400);
    call.deadline_ = now_ + milliseconds(1200);
    call.maxAttempts_ = 2;
    call.callerReturns_ = true;
    return call;
  }

  // An attempt of aCall at aUpstream is refused, with a report of aInFlight requests in 4 slots.
  AttemptReport Refuse(CallInfo & aCall, unsigned aUpstream, unsigned aInFlight)
  {
    AttemptReport report;
    report.upstream_ = UpstreamHandle{ aUpstream };
    report.outcome_ = Outcome::NotRun;
    report.failure_ = AttemptFailure::Refused;
    report.status_ = 503;
    report.load_ = LoadReport{ aInFlight, 4 };
    aCall.triedUpstreams_.push_back(report.upstream_);
    balancer_.OnAttemptEnded(report, now_);
    return report;
  }

  // Requests whose callers are refused by chance, until the budget allows no further attempt.
  int CountRetries(const CallInfo& aCall)
  {
    int retries = 0;
    for (; retries < 100; ++retries) {
      CallInfo call = aCall;
      const AttemptReport report = Refuse(call, 0, 1);
      if (!balancer_.DecideRetry(call, report, now_).allowed_) {
        break;
      }
    }
    return retries;
  }
};

// Guards against a refusal for which the caller waits as if there were no room.
TEST(ReturnAdviceOfBalancer, NamesTheCause)
{
  CallInfo call = MakeCall();
  Refuse(call, 0, 1);
  ReturnAdvice advice = balancer_.Advise(call, RefusalCause::NoRoom, Duration(0), now_);
  CHECK(advice.cause_ == RefusalCause::Chance);
  CHECK(advice.retryAfter_ < kQuickReturn);
  // From the queue there is no room, whatever an earlier attempt met.
  advice = balancer_.Advise(call, RefusalCause::NoRoom, milliseconds(100), now_);
  CHECK(advice.cause_ == RefusalCause::NoRoom);
  CHECK(advice.retryAfter_ >= milliseconds(100));

  CallInfo other = MakeCall();
  Refuse(other, 1, 4);
  Refuse(other, 2, 4);
  advice = balancer_.Advise(other, RefusalCause::NoRoom, Duration(0), now_);
  CHECK(advice.cause_ == RefusalCause::NoRoom);
  CHECK(advice.retryAfter_ >= milliseconds(100));
  // Upstreams that reset connections while they are full.
  for (unsigned i = 0; i < 8; ++i) {
    Refuse(other, i, 4);
  }
  CHECK(balancer_.Advise(other, RefusalCause::Unreachable, Duration(0), now_).cause_ ==
        RefusalCause::NoRoom);

  for (unsigned i = 0; i < 8; ++i) {
    balancer_.BeginPause(UpstreamHandle{ i }, std::chrono::seconds(2), now_);
  }
  advice = balancer_.Advise(call, RefusalCause::NoRoom, Duration(0), now_);
  CHECK(advice.cause_ == RefusalCause::Paused);
  CHECK(advice.retryAfter_ >= std::chrono::seconds(2));
}

// Guards against connection failures that send callers away for a second although other instances
// may reach the upstreams.
TEST(ReturnAdviceOfBalancer, CallersComeBackSoonIfNoUpstreamWasReached)
{
  CallInfo call = MakeCall();
  call.triedUpstreams_ = { UpstreamHandle{ 0 } };
  const ReturnAdvice advice = balancer_.Advise(call, RefusalCause::Unreachable, Duration(0), now_);
  CHECK(advice.cause_ == RefusalCause::Unreachable);
  CHECK(advice.retryAfter_ > Duration(0) && advice.retryAfter_ < kQuickReturn);
  // As decided where there is no upstream at all.
  CHECK(balancer_.Advise(call, RefusalCause::Unreachable, milliseconds(500), now_).retryAfter_ ==
        milliseconds(500));
}

// Guards against a retry budget that is spent on requests whose callers can come back, when one
// comes that cannot.
TEST(ReturnAdviceOfBalancer, LastPartOfTheBudgetIsForCallersThatCannotComeBack)
{
  const CallInfo first = MakeCall();
  CallInfo returned = MakeCall();
  returned.returned_ = true;
  CallInfo shortOfTime = MakeCall();
  shortOfTime.deadline_ = now_ + milliseconds(100);
  const int retriesOfFirst = CountRetries(first);
  CHECK_COMPARE(retriesOfFirst, >=, 10);
  CHECK_EQUAL(0, CountRetries(first));
  CallInfo call = shortOfTime;
  const AttemptReport report = Refuse(call, 0, 1);
  CHECK(balancer_.DecideRetry(call, report, now_).allowed_);
  const int retriesOfReturned = CountRetries(returned);
  CHECK_COMPARE(retriesOfReturned, >=, 4);
  // Callers that do not come back have all of the budget.
  now_ += std::chrono::minutes(1);
  CallInfo stays = MakeCall();
  stays.callerReturns_ = false;
  const int retriesOfStaying = CountRetries(stays);
  CHECK_COMPARE(retriesOfStaying, >, retriesOfFirst);
}

// Guards against a request that is refused after two upstreams shed it by chance, and against one
// that is run by more upstreams than its route allows.
TEST(ReturnAdviceOfBalancer, RequestsRefusedByChanceAreTriedOnMoreUpstreams)
{
  CallInfo call = MakeCall();
  Refuse(call, 0, 1);
  AttemptReport report = Refuse(call, 1, 1);
  CHECK(balancer_.DecideRetry(call, report, now_).allowed_);
  for (unsigned i = 2; i < 6; ++i) {
    report = Refuse(call, i, 1);
  }
  CHECK(!balancer_.DecideRetry(call, report, now_).allowed_);

  CallInfo mayHaveRun = MakeCall();
  Refuse(mayHaveRun, 0, 1);
  report = Refuse(mayHaveRun, 1, 1);
  mayHaveRun.mayHaveRun_ = true;
  CHECK(!balancer_.DecideRetry(mayHaveRun, report, now_).allowed_);

  CallInfo full = MakeCall();
  for (unsigned i = 0; i < 8; ++i) {
    report = Refuse(full, i % 2, 4);
  }
  CHECK(!balancer_.DecideRetry(full, report, now_).allowed_);
}

} // namespace boragepier
