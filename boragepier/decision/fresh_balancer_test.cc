#include <map>

#include "boragepier/decision/fresh_balancer.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

using std::chrono::milliseconds;

constexpr MonotonicTime kStart{ std::chrono::hours(1) };

UpstreamEndpoint
Endpoint(const std::string& aId, const std::string& aZone)
{
  UpstreamEndpoint endpoint;
  endpoint.id_ = UpstreamId(aId);
  endpoint.address_ = "127.0.0.1";
  endpoint.zone_ = ZoneName(aZone);
  endpoint.slots_ = 2;
  endpoint.startNumber_ = 1;
  return endpoint;
}

LoadReport
Load(unsigned aInFlight, double aSlowness = 1)
{
  return { aInFlight, 2, aSlowness, true };
}

} // namespace

TEST_GROUP(FreshBalancer)
{
  static ServiceConfig Config()
  {
    ServiceConfig config;
    config.name_ = ServiceName("s");
    config.policy_ = PolicyKind::FreshProbes;
    config.probesPerUpstreamSecond_ = 100;
    config.retryRatio_ = 0.2;
    config.retrySlack_ = 20;
    return config;
  }

  FreshBalancer balancer_{ Config(), ZoneName("a"), 7 };
  MonotonicTime now_ = kStart;
  std::uint64_t lastCall_ = 0;

  void setup() override
  {
    const std::vector endpoints{ Endpoint("a-1", "a"), Endpoint("a-2", "a"), Endpoint("b-1", "b") };
    balancer_.SetUpstreams(endpoints, now_);
    balancer_.SetFleet(InstanceId("i"), std::vector{ InstanceId("i") }, now_);
    // Lets the budget for probes fill.
    Submit(Call(Repeatability::Repeatable));
    now_ += std::chrono::seconds(2);
    balancer_.Release(now_);
    for (int i = 0; i < 20 && balancer_.QueueLength() > 0; ++i) {
      Answer({}, {});
    }
    now_ += std::chrono::seconds(2);
  }

  CallInfo Call(Repeatability aRepeatability)
  {
    CallInfo call;
    call.id_ = ++lastCall_;
    call.arrival_ = now_;
    call.target_ = now_ + milliseconds(600);
    call.deadline_ = now_ + milliseconds(2000);
    call.repeatability_ = aRepeatability;
    call.maxAttempts_ = 2;
    call.workClass_ = 1;
    return call;
  }

  CallInfo CallWithin(Duration aTarget)
  {
    CallInfo call = Call(Repeatability::AtMostOnce);
    call.target_ = now_ + aTarget;
    return call;
  }

  Choice Submit(const CallInfo& aCall)
  {
    return balancer_.Submit(aCall, now_);
  }

  // Answers all probes that are wanted: by the given loads, else as failed.
  std::vector<ReleasedCall> Answer(const std::map<std::string, LoadReport>& aLoads,
                                   std::vector<ReleasedCall> aReleased)
  {
    std::vector<UpstreamHandle> probed;
    while (const auto probe = balancer_.NextProbe(now_)) {
      probed.push_back(*probe);
    }
    now_ += milliseconds(3);
    for (const UpstreamHandle probe : probed) {
      const auto load = aLoads.find(balancer_.Endpoint(probe)->id_.Text());
      balancer_.OnProbeEnded(probe,
                             load == aLoads.end() ? std::nullopt : std::optional(load->second),
                             milliseconds(3),
                             now_);
    }
    for (const ReleasedCall& call : balancer_.Release(now_)) {
      aReleased.push_back(call);
    }
    return aReleased;
  }

  // Drives the balancer until a request leaves the queue or aLimit has passed.
  std::vector<ReleasedCall> Drive(const std::map<std::string, LoadReport>& aLoads, Duration aLimit)
  {
    std::vector<ReleasedCall> released;
    const MonotonicTime end = now_ + aLimit;
    while (released.empty() && now_ < end) {
      released = Answer(aLoads, std::move(released));
      const auto next = balancer_.NextRelease();
      if (released.empty() && next && *next > now_) {
        now_ = std::min(*next, end);
      }
    }
    return released;
  }

  std::string Chosen(const std::map<std::string, LoadReport>& aLoads,
                     Repeatability aRepeatability = Repeatability::AtMostOnce)
  {
    const CallInfo call = Call(aRepeatability);
    const Choice choice = Submit(call);
    if (choice.kind_ == Choice::Kind::Dispatch) {
      return IdOf(choice);
    }
    const auto released = Drive(aLoads, milliseconds(300));
    return released.empty() ? "none" : IdOf(released[0].choice_);
  }

  std::string IdOf(const Choice& aChoice) const
  {
    return aChoice.kind_ == Choice::Kind::Dispatch
             ? balancer_.Endpoint(aChoice.upstream_)->id_.Text()
             : std::string("refused");
  }

  void End(const std::string& aUpstream, Duration aLatency, int aStatus = 200)
  {
    AttemptReport report;
    report.upstream_ = *balancer_.Find(UpstreamId(aUpstream));
    report.outcome_ = Outcome::Answered;
    report.status_ = aStatus;
    report.latency_ = aLatency;
    balancer_.OnAttemptEnded(report, now_);
  }
};

// Pattern: some machines are several times slower at any moment. Guards against a request that goes
// to one of them while another is idle.
TEST(FreshBalancer, SlowMachinesAreAvoided)
{
  for (int i = 0; i < 10; ++i) {
    now_ += milliseconds(200);
    CHECK(Chosen({ { "a-1", Load(0, 7) }, { "a-2", Load(0) }, { "b-1", Load(0) } }) == "a-2");
    now_ += milliseconds(100);
    End("a-2", milliseconds(100));
  }
}

// Guards against traffic between zones while the own zone has room.
TEST(FreshBalancer, OwnZoneIsPreferredUntilItIsSlow)
{
  CHECK(Chosen({ { "a-1", Load(2) }, { "a-2", Load(0) }, { "b-1", Load(0) } }) == "a-2");
  now_ += milliseconds(500);
  CHECK(Chosen({ { "a-1", Load(3, 7) }, { "a-2", Load(3, 7) }, { "b-1", Load(0) } }) == "b-1");
}

// Pattern: upstreams that reset connections when full. Guards against a request that must not be
// repeated and is lost to a queue that was known to be long.
TEST(FreshBalancer, FullUpstreamsGetNothingAndRequestsWaitHere)
{
  const std::map<std::string, LoadReport> full{ { "a-1", Load(5) },
                                                { "a-2", Load(5) },
                                                { "b-1", Load(5) } };
  CHECK(Chosen(full) == "none");
  CHECK_EQUAL(1, balancer_.QueueLength());
  const auto released =
    Drive({ { "a-1", Load(0) }, { "a-2", Load(5) }, { "b-1", Load(5) } }, milliseconds(200));
  CHECK_EQUAL(1, released.size());
  CHECK(IdOf(released[0].choice_) == "a-1");
}

// Pattern: overload with routes of different rank. Guards against a less urgent request that takes
// the slot of a more urgent one.
TEST(FreshBalancer, UrgentRequestsLeaveTheQueueFirst)
{
  const std::map<std::string, LoadReport> full{ { "a-1", Load(5) },
                                                { "a-2", Load(5) },
                                                { "b-1", Load(5) } };
  CallInfo background = Call(Repeatability::AtMostOnce);
  background.rank_ = 2;
  Submit(background);
  CallInfo urgent = Call(Repeatability::AtMostOnce);
  urgent.rank_ = 1;
  Submit(urgent);
  CHECK(Drive(full, milliseconds(60)).empty());
  const auto released =
    Drive({ { "a-1", Load(1) }, { "a-2", Load(5) }, { "b-1", Load(5) } }, milliseconds(100));
  CHECK(!released.empty());
  CHECK_EQUAL(urgent.id_, released[0].callId_);
}

// Pattern: overload. Guards against requests that are held until their deadline although nothing
// can serve them in time.
TEST(FreshBalancer, HopelessRequestsAreRefusedEarlyWithATimeToReturn)
{
  const std::map<std::string, LoadReport> full{ { "a-1", Load(9) },
                                                { "a-2", Load(9) },
                                                { "b-1", Load(9) } };
  for (int i = 0; i < 4; ++i) {
    Submit(Call(Repeatability::AtMostOnce));
  }
  const MonotonicTime began = now_;
  const auto released = Drive(full, std::chrono::seconds(2));
  CHECK(!released.empty());
  CHECK(released[0].choice_.kind_ == Choice::Kind::Refuse);
  CHECK(released[0].choice_.reason_ == RefusalReason::Overloaded);
  CHECK(released[0].choice_.retryAfter_ > Duration(0));
  CHECK(now_ - began < milliseconds(610));
}

// Pattern: overload while part of the machines are slow. Guards against requests that start late on
// slow machines and, when those recover, take the slots of requests that would be in time.
TEST(FreshBalancer, LateRequestsGiveWayWhileUpstreamsOfTheUsualPaceAreFull)
{
  Submit(CallWithin(milliseconds(300)));
  const auto released =
    Drive({ { "a-1", Load(4) }, { "a-2", Load(0, 7) }, { "b-1", Load(4) } }, milliseconds(300));
  CHECK_EQUAL(1, released.size());
  CHECK(released[0].choice_.kind_ == Choice::Kind::Refuse);
  CHECK(released[0].choice_.reason_ == RefusalReason::Overloaded);
  CHECK_EQUAL(0, balancer_.QueueLength());
}

// Pattern: all machines are slow. Guards against refusals where nobody else waits for a slot.
TEST(FreshBalancer, RequestsStartLateWhereAllMachinesAreSlow)
{
  Submit(CallWithin(milliseconds(300)));
  const auto released = Drive(
    { { "a-1", Load(4, 7) }, { "a-2", Load(0, 7) }, { "b-1", Load(4, 7) } }, milliseconds(300));
  CHECK_EQUAL(1, released.size());
  CHECK(IdOf(released[0].choice_) == "a-2");
}

// Pattern: overload beyond what the budget for probes shows. Guards against requests that are sent
// blindly to upstreams of which nothing recent is known, as if they were empty.
TEST(FreshBalancer, UpstreamsWithoutAReportCountAsBusyAsTheOthers)
{
  std::vector<UpstreamEndpoint> endpoints;
  endpoints.reserve(12);
  for (int i = 0; i < 12; ++i) {
    endpoints.push_back(Endpoint("a-" + std::to_string(i), "a"));
  }
  balancer_.SetUpstreams(endpoints, now_);
  const auto learn = [&](unsigned aInFlight) {
    for (int i = 0; i < 100; ++i) {
      const UpstreamHandle probed = *balancer_.Find(UpstreamId("a-1"));
      balancer_.OnProbeEnded(probed, Load(aInFlight), milliseconds(3), now_);
    }
    now_ += milliseconds(20);
  };
  const auto submit = [&] {
    const Choice choice = Submit(CallWithin(milliseconds(300)));
    // No probe is answered, as if the budget were used up.
    std::vector<ReleasedCall> released;
    if (choice.kind_ != Choice::Kind::Queued) {
      released.push_back({ lastCall_, choice });
    }
    for (int i = 0; i < 60 && released.empty(); ++i) {
      now_ += milliseconds(5);
      released = balancer_.Release(now_);
    }
    return released.empty() ? std::string("none") : IdOf(released[0].choice_);
  };
  learn(4);
  CHECK(submit() == "refused");
  learn(0);
  CHECK(submit().starts_with("a-"));
}

// Pattern: time limits pass on machines that are slow for a moment. Guards against upstreams that
// are avoided for seconds afterwards.
TEST(FreshBalancer, TimeLimitsOnSlowMachinesAreNoFailuresOfTheUpstream)
{
  const UpstreamHandle upstream = *balancer_.Find(UpstreamId("a-1"));
  for (int i = 0; i < 4; ++i) {
    now_ += milliseconds(100);
    CHECK(Chosen({ { "a-1", Load(0) }, { "a-2", Load(2) }, { "b-1", Load(2) } }) == "a-1");
    now_ += milliseconds(100);
    balancer_.OnProbeEnded(upstream, Load(1, 7), milliseconds(3), now_);
    AttemptReport report;
    report.upstream_ = upstream;
    report.failure_ = AttemptFailure::Timeout;
    report.latency_ = milliseconds(100);
    balancer_.OnAttemptEnded(report, now_);
  }
  DOUBLES_EQUAL(1, balancer_.Candidates(now_).at(0).standing_, 1e-9);
}

// Pattern: a machine turns slow while it serves. Guards against waiting for it while others are
// idle, and against a second attempt where it stays fast.
TEST(FreshBalancer, HedgesWhenTheMachineTurnsSlow)
{
  CallInfo call = Call(Repeatability::Repeatable);
  const std::map<std::string, LoadReport> calm{ { "a-1", Load(0) },
                                                { "a-2", Load(0) },
                                                { "b-1", Load(0) } };
  Submit(call);
  auto released = Drive(calm, milliseconds(100));
  call.tried_ = { released.at(0).choice_.upstream_ };
  const std::string first = IdOf(released[0].choice_);
  std::map<std::string, LoadReport> loads = calm;
  loads[first] = Load(1);
  const auto look = [&] {
    const auto delay = balancer_.HedgeDelay(call, now_);
    CHECK(delay.has_value());
    now_ += *delay;
    const auto hedge = balancer_.Hedge(call, now_);
    Answer(loads, {});
    return hedge;
  };
  CHECK(!look());
  loads[first] = Load(1, 7);
  std::optional<UpstreamHandle> hedge;
  for (int i = 0; i < 8 && !hedge; ++i) {
    hedge = look();
  }
  CHECK(hedge.has_value());
  CHECK(balancer_.Endpoint(*hedge)->id_.Text() != first);
}

TEST(FreshBalancer, RequestsThatRunOnceAreNeverHedged)
{
  CallInfo call = Call(Repeatability::AtMostOnce);
  Submit(call);
  const auto released = Drive({ { "a-1", Load(0) } }, milliseconds(100));
  call.tried_ = { released.at(0).choice_.upstream_ };
  CHECK(!balancer_.HedgeDelay(call, now_));
  CHECK(!balancer_.Hedge(call, now_));
}

// Pattern: an upstream fails its requests while it calls itself healthy. Guards against an idle
// looking upstream that attracts all requests.
TEST(FreshBalancer, FailingUpstreamsAreAvoidedAndTriedAgain)
{
  const std::map<std::string, LoadReport> idle{ { "a-1", Load(0) },
                                                { "a-2", Load(0) },
                                                { "b-1", Load(0) } };
  for (int i = 0; i < 12; ++i) {
    now_ += milliseconds(50);
    const std::string chosen = Chosen(idle);
    now_ += milliseconds(5);
    End(chosen, milliseconds(5), chosen == "a-1" ? 500 : 200);
  }
  int failing = 0;
  for (int i = 0; i < 10; ++i) {
    now_ += milliseconds(50);
    const std::string chosen = Chosen(idle);
    failing += chosen == "a-1" ? 1 : 0;
    End(chosen, milliseconds(5));
  }
  CHECK(failing <= 1);
  now_ += std::chrono::seconds(30);
  CHECK(Chosen({ { "a-1", Load(0) }, { "a-2", Load(2) }, { "b-1", Load(2) } }) == "a-1");
}

// Guards against requests that wait for probes in vain where upstreams report no load, and against
// probes that take the slots of requests there.
TEST(FreshBalancer, UpstreamsWithoutReportsAreNotProbedForLong)
{
  LoadReport none;
  none.known_ = false;
  const std::map<std::string, LoadReport> silent{ { "a-1", none },
                                                  { "a-2", none },
                                                  { "b-1", none } };
  for (int i = 0; i < 6; ++i) {
    now_ += milliseconds(50);
    End(Chosen(silent), milliseconds(20));
  }
  now_ += milliseconds(50);
  const Choice choice = Submit(Call(Repeatability::AtMostOnce));
  CHECK(choice.kind_ == Choice::Kind::Dispatch);
  CHECK(!balancer_.NextProbe(now_));
}

TEST(FreshBalancer, LeavingUpstreamsGetNothing)
{
  std::vector endpoints{ Endpoint("a-1", "a"), Endpoint("a-2", "a") };
  endpoints[0].leaving_ = true;
  balancer_.SetUpstreams(endpoints, now_);
  for (int i = 0; i < 5; ++i) {
    now_ += milliseconds(50);
    CHECK(Chosen({ { "a-1", Load(0) }, { "a-2", Load(1) } }) == "a-2");
    End("a-2", milliseconds(20));
  }
  endpoints[1].leaving_ = true;
  balancer_.SetUpstreams(endpoints, now_);
  CHECK(Submit(Call(Repeatability::Repeatable)).reason_ == RefusalReason::NoUpstream);
}

// Guards against more attempts of a request than its route allows.
TEST(FreshBalancer, AttemptsAreLimitedByTheRoute)
{
  CallInfo call = Call(Repeatability::Repeatable);
  AttemptReport report;
  report.failure_ = AttemptFailure::ConnectionLost;
  call.tried_ = { UpstreamHandle{ 0 } };
  CHECK(balancer_.MayRetry(call, report, now_).allowed_);
  call.tried_.push_back(UpstreamHandle{ 1 });
  CHECK(!balancer_.MayRetry(call, report, now_).allowed_);
  call.tried_.pop_back();
  call.repeatability_ = Repeatability::AtMostOnce;
  CHECK(!balancer_.MayRetry(call, report, now_).allowed_);
  report.outcome_ = Outcome::NotRun;
  report.failure_ = AttemptFailure::Refused;
  CHECK(balancer_.MayRetry(call, report, now_).allowed_);
}

TEST_GROUP(WindowBudget){};

// Guards against instances that together exceed the limit of a window, wherever it begins.
TEST(WindowBudget, HoldsInEveryWindowOfTheFleet)
{
  constexpr int kInstances = 13;
  constexpr double kRatio = 0.2;
  constexpr double kSlack = 56;
  std::vector<WindowBudget> budgets(kInstances);
  for (WindowBudget& budget : budgets) {
    budget.SetTerms(kRatio, kSlack, std::chrono::seconds(10));
    budget.SetInstances(kInstances);
  }
  std::vector<int> requests;
  std::vector<int> taken;
  for (int step = 0; step < 400; ++step) {
    const MonotonicTime now = kStart + step * milliseconds(100);
    requests.push_back(0);
    taken.push_back(0);
    for (int i = 0; i < kInstances; ++i) {
      // Bursts of different length on instances with different shares of the requests.
      if ((step / 50 + i) % 3 == 0 && i % 2 == 0) {
        budgets[static_cast<std::size_t>(i)].OnRequest(now);
        ++requests.back();
      }
      while (budgets[static_cast<std::size_t>(i)].TryTake(now)) {
        ++taken.back();
      }
    }
    int windowRequests = 0;
    int windowTaken = 0;
    for (std::size_t s = requests.size() > 100 ? requests.size() - 100 : 0; s < requests.size();
         ++s) {
      windowRequests += requests[s];
      windowTaken += taken[s];
    }
    CHECK(windowTaken <= kRatio * windowRequests + kSlack);
  }
}

TEST(WindowBudget, RecoversAfterTheWindow)
{
  WindowBudget budget;
  budget.SetTerms(0, 10, std::chrono::seconds(10));
  int taken = 0;
  while (budget.TryTake(kStart)) {
    ++taken;
  }
  CHECK(taken >= 5);
  CHECK(!budget.CanTake(kStart + std::chrono::seconds(9)));
  CHECK(budget.CanTake(kStart + std::chrono::seconds(12)));
}

TEST_GROUP(MachinePace){};

TEST(MachinePace, WorkAndDurationAreInverse)
{
  MachinePace pace;
  for (int i = 0; i < 1000; ++i) {
    pace.OnReport(i % 4 == 0 ? 7 : 1);
  }
  DOUBLES_EQUAL(1 / (0.75 + 0.25 / 7), pace.MeanSlowness(), 0.05);
  for (const double slowness : { 1.0, 7.0 }) {
    for (const double work : { 10.0, 100.0, 400.0 }) {
      DOUBLES_EQUAL(work, pace.WorkMs(pace.DurationMs(work, slowness), slowness), 1e-6);
    }
  }
  // A slow machine is not slow for the whole request.
  CHECK(pace.DurationMs(200, 7) < 200 * 7 / 2.0);
}

TEST_GROUP(OccupancyModel){};

// Pattern: upstreams that slow down when nearly full.
TEST(OccupancyModel, LearnsThatTheLastSlotIsSlower)
{
  OccupancyModel model;
  for (int i = 0; i < 300; ++i) {
    model.Add(0, 2, 60, 60);
    model.Add(1, 2, 100, 60);
    model.Add(2, 2, 400, 60);
  }
  DOUBLES_EQUAL(1, model.Factor(0, 2), 1e-9);
  DOUBLES_EQUAL(100.0 / 60, model.Factor(1, 2), 0.05);
}

} // namespace boragepier
