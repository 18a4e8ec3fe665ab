#include <map>

#include "boragepier/decision/fresh_probe_balancer.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

using std::chrono::milliseconds;

constexpr MonotonicTime kStart{ std::chrono::hours(1) };

UpstreamEndpoint
MakeEndpoint(const std::string& aId, const std::string& aZone)
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
MakeLoad(unsigned aInFlight, double aSlowness = 1)
{
  return { aInFlight, 2, aSlowness, true };
}

} // namespace

TEST_GROUP(FreshProbeBalancer)
{
  static ServiceConfig MakeConfig()
  {
    ServiceConfig config;
    config.name_ = ServiceName("s");
    config.policy_ = PolicyKind::FreshProbes;
    config.probesPerUpstreamSecond_ = 100;
    config.retryRatio_ = 0.2;
    config.retrySlack_ = 20;
    return config;
  }

  FreshProbeBalancer balancer_{ MakeConfig(), ZoneName("a"), 7 };
  MonotonicTime now_ = kStart;
  std::uint64_t lastCallId_ = 0;

  void setup() override
  {
    const std::vector endpoints{ MakeEndpoint("a-1", "a"),
                                 MakeEndpoint("a-2", "a"),
                                 MakeEndpoint("b-1", "b") };
    balancer_.SetUpstreams(endpoints, now_);
    balancer_.SetFleet(InstanceId("i"), std::vector{ InstanceId("i") }, now_);
    // Fills the probe budget: its refill begins with the first request.
    Submit(MakeCall(Repeatability::Repeatable));
    now_ += std::chrono::seconds(2);
    balancer_.Release(now_);
    for (int i = 0; i < 20 && balancer_.QueueLength() > 0; ++i) {
      AnswerProbes({}, {});
    }
    now_ += std::chrono::seconds(2);
  }

  CallInfo MakeCall(Repeatability aRepeatability)
  {
    CallInfo call;
    call.id_ = ++lastCallId_;
    call.arrival_ = now_;
    call.targetTime_ = now_ + milliseconds(600);
    call.deadline_ = now_ + milliseconds(2000);
    call.repeatability_ = aRepeatability;
    call.maxAttempts_ = 2;
    call.workClass_ = 1;
    return call;
  }

  CallInfo MakeCallWithTarget(Duration aTarget)
  {
    CallInfo call = MakeCall(Repeatability::AtMostOnce);
    call.targetTime_ = now_ + aTarget;
    return call;
  }

  RoutingDecision Submit(const CallInfo& aCall)
  {
    return balancer_.Submit(aCall, now_);
  }

  // Answers all requested probes with the load given for the upstream, or else as failed.
  std::vector<ReleasedCall> AnswerProbes(const std::map<std::string, LoadReport>& aLoads,
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

  // Answers probes and advances the time until a request leaves the queue or aLimit has passed.
  std::vector<ReleasedCall> RunUntilReleased(const std::map<std::string, LoadReport>& aLoads,
                                             Duration aLimit)
  {
    std::vector<ReleasedCall> released;
    const MonotonicTime end = now_ + aLimit;
    while (released.empty() && now_ < end) {
      released = AnswerProbes(aLoads, std::move(released));
      const auto next = balancer_.NextRelease();
      if (released.empty() && next && *next > now_) {
        now_ = std::min(*next, end);
      }
    }
    return released;
  }

  std::string SubmitAndGetUpstream(const std::map<std::string, LoadReport>& aLoads,
                                   Repeatability aRepeatability = Repeatability::AtMostOnce)
  {
    const CallInfo call = MakeCall(aRepeatability);
    const RoutingDecision decision = Submit(call);
    if (decision.kind_ == RoutingDecision::Kind::Dispatch) {
      return UpstreamIdOf(decision);
    }
    const auto released = RunUntilReleased(aLoads, milliseconds(300));
    return released.empty() ? "none" : UpstreamIdOf(released[0].decision_);
  }

  std::string UpstreamIdOf(const RoutingDecision& aDecision) const
  {
    return aDecision.kind_ == RoutingDecision::Kind::Dispatch
             ? balancer_.Endpoint(aDecision.upstream_)->id_.Text()
             : std::string("refused");
  }

  void EndAttempt(const std::string& aUpstream, Duration aLatency, int aStatus = 200)
  {
    AttemptReport report;
    report.upstream_ = *balancer_.Find(UpstreamId(aUpstream));
    report.outcome_ = Outcome::Answered;
    report.status_ = aStatus;
    report.latency_ = aLatency;
    balancer_.OnAttemptEnded(report, now_);
  }
};

// Guards against requests to one of the machines that are several times slower for a while, when
// another upstream is idle.
TEST(FreshProbeBalancer, SlowMachinesAreAvoided)
{
  for (int i = 0; i < 10; ++i) {
    now_ += milliseconds(200);
    CHECK(SubmitAndGetUpstream(
            { { "a-1", MakeLoad(0, 7) }, { "a-2", MakeLoad(0) }, { "b-1", MakeLoad(0) } }) ==
          "a-2");
    now_ += milliseconds(100);
    EndAttempt("a-2", milliseconds(100));
  }
}

// Guards against traffic between availability zones while the own zone has free slots.
TEST(FreshProbeBalancer, OwnZoneIsPreferredUntilItIsSlow)
{
  CHECK(SubmitAndGetUpstream(
          { { "a-1", MakeLoad(2) }, { "a-2", MakeLoad(0) }, { "b-1", MakeLoad(0) } }) == "a-2");
  now_ += milliseconds(500);
  CHECK(SubmitAndGetUpstream(
          { { "a-1", MakeLoad(3, 7) }, { "a-2", MakeLoad(3, 7) }, { "b-1", MakeLoad(0) } }) ==
        "b-1");
}

// Upstreams may reset connections when they are full. Guards against the loss of a request that
// must not be repeated, because it is sent to an upstream with a long queue by its own report.
TEST(FreshProbeBalancer, RequestsStayQueuedWhileAllUpstreamsAreFull)
{
  const std::map<std::string, LoadReport> full{ { "a-1", MakeLoad(5) },
                                                { "a-2", MakeLoad(5) },
                                                { "b-1", MakeLoad(5) } };
  CHECK(SubmitAndGetUpstream(full) == "none");
  CHECK_EQUAL(1, balancer_.QueueLength());
  const auto released = RunUntilReleased(
    { { "a-1", MakeLoad(0) }, { "a-2", MakeLoad(5) }, { "b-1", MakeLoad(5) } }, milliseconds(200));
  CHECK_EQUAL(1, released.size());
  CHECK(UpstreamIdOf(released[0].decision_) == "a-1");
}

// Guards against a less urgent request that takes a slot before a more urgent one under overload.
TEST(FreshProbeBalancer, UrgentRequestsLeaveTheQueueFirst)
{
  const std::map<std::string, LoadReport> full{ { "a-1", MakeLoad(5) },
                                                { "a-2", MakeLoad(5) },
                                                { "b-1", MakeLoad(5) } };
  CallInfo background = MakeCall(Repeatability::AtMostOnce);
  background.priority_ = 2;
  Submit(background);
  CallInfo urgent = MakeCall(Repeatability::AtMostOnce);
  urgent.priority_ = 1;
  Submit(urgent);
  CHECK(RunUntilReleased(full, milliseconds(60)).empty());
  const auto released = RunUntilReleased(
    { { "a-1", MakeLoad(1) }, { "a-2", MakeLoad(5) }, { "b-1", MakeLoad(5) } }, milliseconds(100));
  CHECK(!released.empty());
  CHECK_EQUAL(urgent.id_, released[0].callId_);
}

// Guards against requests that stay queued until their deadline under overload, although no
// upstream can serve them in time.
TEST(FreshProbeBalancer, RequestsThatWouldBeLateAreRefusedEarlyWithRetryAfter)
{
  const std::map<std::string, LoadReport> full{ { "a-1", MakeLoad(9) },
                                                { "a-2", MakeLoad(9) },
                                                { "b-1", MakeLoad(9) } };
  for (int i = 0; i < 4; ++i) {
    Submit(MakeCall(Repeatability::AtMostOnce));
  }
  const MonotonicTime startTime = now_;
  const auto released = RunUntilReleased(full, std::chrono::seconds(2));
  CHECK(!released.empty());
  CHECK(released[0].decision_.kind_ == RoutingDecision::Kind::Refuse);
  CHECK(released[0].decision_.reason_ == RefusalReason::Overloaded);
  CHECK(released[0].decision_.retryAfter_ > Duration(0));
  CHECK(now_ - startTime < milliseconds(610));
}

// Guards against requests that start late on slow machines under overload: when the machines
// recover, they occupy slots that requests need which could still be answered in time.
TEST(FreshProbeBalancer, LateRequestsAreShedWhileUpstreamsOfNormalSpeedAreFull)
{
  Submit(MakeCallWithTarget(milliseconds(300)));
  const auto released =
    RunUntilReleased({ { "a-1", MakeLoad(4) }, { "a-2", MakeLoad(0, 7) }, { "b-1", MakeLoad(4) } },
                     milliseconds(300));
  CHECK_EQUAL(1, released.size());
  CHECK(released[0].decision_.kind_ == RoutingDecision::Kind::Refuse);
  CHECK(released[0].decision_.reason_ == RefusalReason::Overloaded);
  CHECK_EQUAL(0, balancer_.QueueLength());
}

// Guards against load shedding while all machines are slow and no other request waits for a slot.
TEST(FreshProbeBalancer, LateRequestsAreDispatchedIfAllMachinesAreSlow)
{
  Submit(MakeCallWithTarget(milliseconds(300)));
  const auto released = RunUntilReleased(
    { { "a-1", MakeLoad(4, 7) }, { "a-2", MakeLoad(0, 7) }, { "b-1", MakeLoad(4, 7) } },
    milliseconds(300));
  CHECK_EQUAL(1, released.size());
  CHECK(UpstreamIdOf(released[0].decision_) == "a-2");
}

// Under overload the probe budget does not suffice for fresh reports of all upstreams. Guards
// against treating upstreams without a recent report as idle.
TEST(FreshProbeBalancer, UpstreamsWithoutReportAreAssumedToHaveMeanLoad)
{
  std::vector<UpstreamEndpoint> endpoints;
  endpoints.reserve(12);
  for (int i = 0; i < 12; ++i) {
    endpoints.push_back(MakeEndpoint("a-" + std::to_string(i), "a"));
  }
  balancer_.SetUpstreams(endpoints, now_);
  const auto reportLoad = [&](unsigned aInFlight) {
    for (int i = 0; i < 100; ++i) {
      const UpstreamHandle probed = *balancer_.Find(UpstreamId("a-1"));
      balancer_.OnProbeEnded(probed, MakeLoad(aInFlight), milliseconds(3), now_);
    }
    now_ += milliseconds(20);
  };
  const auto submit = [&] {
    const RoutingDecision decision = Submit(MakeCallWithTarget(milliseconds(300)));
    // No probe is answered, as if the budget were spent.
    std::vector<ReleasedCall> released;
    if (decision.kind_ != RoutingDecision::Kind::Queued) {
      released.push_back({ lastCallId_, decision });
    }
    for (int i = 0; i < 60 && released.empty(); ++i) {
      now_ += milliseconds(5);
      released = balancer_.Release(now_);
    }
    return released.empty() ? std::string("none") : UpstreamIdOf(released[0].decision_);
  };
  reportLoad(4);
  CHECK(submit() == "refused");
  reportLoad(0);
  CHECK(submit().starts_with("a-"));
}

// Guards against avoiding upstreams because this instance has no descriptor for a connection.
TEST(FreshProbeBalancer, LocalLimitIsNoFailureOfTheUpstream)
{
  const UpstreamHandle upstream = *balancer_.Find(UpstreamId("a-1"));
  for (int i = 0; i < 4; ++i) {
    now_ += milliseconds(100);
    CHECK(SubmitAndGetUpstream(
            { { "a-1", MakeLoad(0) }, { "a-2", MakeLoad(2) }, { "b-1", MakeLoad(2) } }) == "a-1");
    AttemptReport report;
    report.upstream_ = upstream;
    report.outcome_ = Outcome::NotRun;
    report.failure_ = AttemptFailure::LocalLimit;
    balancer_.OnAttemptEnded(report, now_);
    balancer_.OnProbeNotSent(upstream, now_);
  }
  DOUBLES_EQUAL(1, balancer_.Candidates(now_).at(0).healthWeight_, 1e-9);
}

// Guards against avoiding an upstream for seconds after timeouts on a machine that was slow only
// for a moment.
TEST(FreshProbeBalancer, TimeoutsOnSlowMachinesAreNotUpstreamFailures)
{
  const UpstreamHandle upstream = *balancer_.Find(UpstreamId("a-1"));
  for (int i = 0; i < 4; ++i) {
    now_ += milliseconds(100);
    CHECK(SubmitAndGetUpstream(
            { { "a-1", MakeLoad(0) }, { "a-2", MakeLoad(2) }, { "b-1", MakeLoad(2) } }) == "a-1");
    now_ += milliseconds(100);
    balancer_.OnProbeEnded(upstream, MakeLoad(1, 7), milliseconds(3), now_);
    AttemptReport report;
    report.upstream_ = upstream;
    report.failure_ = AttemptFailure::Timeout;
    report.latency_ = milliseconds(100);
    balancer_.OnAttemptEnded(report, now_);
  }
  DOUBLES_EQUAL(1, balancer_.Candidates(now_).at(0).healthWeight_, 1e-9);
}

// Guards against retries and hedges that go to a zone which was evacuated after the first attempt
// was sent, and against probes that keep its upstreams busy.
TEST(FreshProbeBalancer, RetriesAndHedgesAvoidEvacuatedZones)
{
  std::vector endpoints{ MakeEndpoint("a-1", "a"),
                         MakeEndpoint("a-2", "a"),
                         MakeEndpoint("b-1", "b") };
  const std::map<std::string, LoadReport> idle{ { "a-1", MakeLoad(0) },
                                                { "a-2", MakeLoad(0) },
                                                { "b-1", MakeLoad(0) } };
  CallInfo call = MakeCall(Repeatability::Repeatable);
  Submit(call);
  const auto released = RunUntilReleased(idle, milliseconds(100));
  const UpstreamHandle tried = released.at(0).decision_.upstream_;
  const std::string first = UpstreamIdOf(released[0].decision_);
  CHECK(first != "b-1");
  call.triedUpstreams_ = { tried };
  endpoints[0].evacuated_ = true;
  endpoints[1].evacuated_ = true;
  balancer_.SetUpstreams(endpoints, now_);
  while (const auto probe = balancer_.NextProbe(now_)) {
    CHECK(balancer_.Endpoint(*probe)->id_.View() == "b-1");
    balancer_.OnProbeEnded(*probe, MakeLoad(0), milliseconds(3), now_);
  }
  std::map<std::string, LoadReport> loads = idle;
  loads[first] = MakeLoad(1, 7);
  std::optional<UpstreamHandle> hedge;
  for (int i = 0; i < 8 && !hedge; ++i) {
    const auto delay = balancer_.HedgeDelay(call, now_);
    CHECK(delay.has_value());
    now_ += *delay;
    hedge = balancer_.DecideHedge(call, now_);
    AnswerProbes(loads, {});
  }
  CHECK(!hedge || balancer_.Endpoint(*hedge)->id_.View() == "b-1");
  AttemptReport report;
  report.upstream_ = tried;
  report.outcome_ = Outcome::NotRun;
  report.failure_ = AttemptFailure::ConnectFailed;
  const RetryDecision retry = balancer_.DecideRetry(call, report, now_);
  CHECK(retry.allowed_);
  CHECK_EQUAL(std::string("b-1"), SubmitAndGetUpstream(idle, Repeatability::Repeatable));
}

// Guards against sending everything to a zone at the moment in which its evacuation ends: its
// upstreams are asked for their load first, like those of other zones.
TEST(FreshProbeBalancer, EndOfAnEvacuationCausesNoHerd)
{
  std::vector<UpstreamEndpoint> endpoints;
  std::map<std::string, LoadReport> loads;
  for (int i = 0; i < 8; ++i) {
    const std::string zone = i < 4 ? "a" : "b";
    endpoints.push_back(MakeEndpoint((zone + '-' + std::to_string(i)).c_str(), zone.c_str()));
    endpoints.back().evacuated_ = i < 4;
    loads[endpoints.back().id_.Text()] = MakeLoad(0);
  }
  balancer_.SetUpstreams(endpoints, now_);
  for (int i = 0; i < 3; ++i) {
    CHECK_EQUAL('b', SubmitAndGetUpstream(loads)[0]);
    now_ += milliseconds(20);
  }
  for (UpstreamEndpoint& endpoint : endpoints) {
    endpoint.evacuated_ = false;
  }
  balancer_.SetUpstreams(endpoints, now_);
  std::map<std::string, int> counts;
  for (int i = 0; i < 8; ++i) {
    ++counts[SubmitAndGetUpstream(loads)];
  }
  for (const auto& [upstream, count] : counts) {
    CHECK(loads.contains(upstream));
    CHECK_COMPARE(count, <=, 2);
  }
}

// Guards against waiting for a machine that becomes slow while it serves a request, when others are
// idle, and against a hedge while it runs at normal speed.
TEST(FreshProbeBalancer, HedgesWhenTheMachineBecomesSlow)
{
  CallInfo call = MakeCall(Repeatability::Repeatable);
  const std::map<std::string, LoadReport> idle{ { "a-1", MakeLoad(0) },
                                                { "a-2", MakeLoad(0) },
                                                { "b-1", MakeLoad(0) } };
  Submit(call);
  auto released = RunUntilReleased(idle, milliseconds(100));
  call.triedUpstreams_ = { released.at(0).decision_.upstream_ };
  const std::string first = UpstreamIdOf(released[0].decision_);
  std::map<std::string, LoadReport> loads = idle;
  loads[first] = MakeLoad(1);
  const auto checkHedge = [&] {
    const auto delay = balancer_.HedgeDelay(call, now_);
    CHECK(delay.has_value());
    now_ += *delay;
    const auto hedge = balancer_.DecideHedge(call, now_);
    AnswerProbes(loads, {});
    return hedge;
  };
  CHECK(!checkHedge());
  loads[first] = MakeLoad(1, 7);
  std::optional<UpstreamHandle> hedge;
  for (int i = 0; i < 8 && !hedge; ++i) {
    hedge = checkHedge();
  }
  CHECK(hedge.has_value());
  CHECK(balancer_.Endpoint(*hedge)->id_.Text() != first);
}

// The load of downloads of 540 KB over links of 10 Mbit/s: a second copy from another zone takes
// the link from the first, unless that is stuck. Small answers are hedged as before.
TEST(FreshProbeBalancer, LargeAnswersAreHedgedFromOtherZonesOnlyIfStuck)
{
  const std::map<std::string, LoadReport> slow{ { "a-1", MakeLoad(1, 7) }, { "b-1", MakeLoad(0) } };
  const auto timeOfHedge = [&](std::uint64_t aClass, std::size_t aAnswerBytes) {
    const std::map<std::string, LoadReport> idle{ { "a-1", MakeLoad(0) }, { "b-1", MakeLoad(0) } };
    CallInfo call;
    for (int i = 0; i < 2; ++i) {
      now_ += std::chrono::seconds(2);
      call = MakeCall(Repeatability::Repeatable);
      call.workClass_ = aClass;
      Submit(call);
      const auto released = RunUntilReleased(idle, milliseconds(100));
      const UpstreamHandle upstream = released.at(0).decision_.upstream_;
      CHECK(balancer_.Endpoint(upstream)->id_.Text() == "a-1");
      call.triedUpstreams_ = { upstream };
      if (i == 0) {
        now_ += milliseconds(100);
        AttemptReport report;
        report.upstream_ = upstream;
        report.outcome_ = Outcome::Answered;
        report.status_ = 200;
        report.latency_ = milliseconds(100);
        report.answerBytes_ = aAnswerBytes;
        balancer_.OnAttemptEnded(report, now_);
      }
    }
    const MonotonicTime sentAt = now_;
    while (now_ - sentAt < milliseconds(1500)) {
      now_ += balancer_.HedgeDelay(call, now_).value_or(milliseconds(2000));
      if (balancer_.DecideHedge(call, now_)) {
        return now_ - sentAt;
      }
      AnswerProbes(slow, {});
    }
    FAIL("no hedge");
    return Duration();
  };
  balancer_.SetUpstreams(std::vector{ MakeEndpoint("a-1", "a"), MakeEndpoint("b-1", "b") }, now_);
  CHECK(timeOfHedge(1, 2000) < milliseconds(250));
  CHECK(timeOfHedge(2, 540'000) > milliseconds(350));
}

TEST(FreshProbeBalancer, AtMostOnceRequestsAreNeverHedged)
{
  CallInfo call = MakeCall(Repeatability::AtMostOnce);
  Submit(call);
  const auto released = RunUntilReleased({ { "a-1", MakeLoad(0) } }, milliseconds(100));
  call.triedUpstreams_ = { released.at(0).decision_.upstream_ };
  CHECK(!balancer_.HedgeDelay(call, now_));
  CHECK(!balancer_.DecideHedge(call, now_));
}

// An upstream that fails its requests but reports itself as healthy looks idle. Guards against
// sending all requests to it.
TEST(FreshProbeBalancer, FailingUpstreamsAreAvoidedAndTriedAgain)
{
  const std::map<std::string, LoadReport> idle{ { "a-1", MakeLoad(0) },
                                                { "a-2", MakeLoad(0) },
                                                { "b-1", MakeLoad(0) } };
  for (int i = 0; i < 12; ++i) {
    now_ += milliseconds(50);
    const std::string chosen = SubmitAndGetUpstream(idle);
    now_ += milliseconds(5);
    EndAttempt(chosen, milliseconds(5), chosen == "a-1" ? 500 : 200);
  }
  int sentToFailing = 0;
  for (int i = 0; i < 10; ++i) {
    now_ += milliseconds(50);
    const std::string chosen = SubmitAndGetUpstream(idle);
    sentToFailing += chosen == "a-1" ? 1 : 0;
    EndAttempt(chosen, milliseconds(5));
  }
  CHECK(sentToFailing <= 1);
  now_ += std::chrono::seconds(30);
  CHECK(SubmitAndGetUpstream(
          { { "a-1", MakeLoad(0) }, { "a-2", MakeLoad(2) }, { "b-1", MakeLoad(2) } }) == "a-1");
}

// Guards against requests that wait in vain for probes of upstreams that report no load, and
// against probes that take the slots of requests there.
TEST(FreshProbeBalancer, ProbingStopsIfUpstreamsReportNoLoad)
{
  LoadReport noLoad;
  noLoad.hasLoad_ = false;
  const std::map<std::string, LoadReport> withoutLoad{ { "a-1", noLoad },
                                                       { "a-2", noLoad },
                                                       { "b-1", noLoad } };
  for (int i = 0; i < 6; ++i) {
    now_ += milliseconds(50);
    EndAttempt(SubmitAndGetUpstream(withoutLoad), milliseconds(20));
  }
  now_ += milliseconds(50);
  const RoutingDecision decision = Submit(MakeCall(Repeatability::AtMostOnce));
  CHECK(decision.kind_ == RoutingDecision::Kind::Dispatch);
  CHECK(!balancer_.NextProbe(now_));
}

TEST(FreshProbeBalancer, LeavingUpstreamsReceiveNoRequests)
{
  std::vector endpoints{ MakeEndpoint("a-1", "a"), MakeEndpoint("a-2", "a") };
  endpoints[0].leaving_ = true;
  balancer_.SetUpstreams(endpoints, now_);
  for (int i = 0; i < 5; ++i) {
    now_ += milliseconds(50);
    CHECK(SubmitAndGetUpstream({ { "a-1", MakeLoad(0) }, { "a-2", MakeLoad(1) } }) == "a-2");
    EndAttempt("a-2", milliseconds(20));
  }
  endpoints[1].leaving_ = true;
  balancer_.SetUpstreams(endpoints, now_);
  CHECK(Submit(MakeCall(Repeatability::Repeatable)).reason_ == RefusalReason::NoUpstream);
}

// Guards against requests to an upstream that said in an answer that it is leaving, while the store
// is silent or still lists it, and against a mark that outlives that start of the upstream.
// The load of a zone whose upstreams come back cold: they receive their share, and the rest goes to
// the warm ones.
TEST(FreshProbeBalancer, ColdUpstreamsReceiveOnlyTheirShare)
{
  ServiceConfig config = MakeConfig();
  config.coldRequestsPerSecond_ = 4;
  balancer_.SetConfig(config, now_);
  std::vector endpoints{ MakeEndpoint("a-1", "a"), MakeEndpoint("b-1", "b") };
  endpoints[0].startNumber_ = 2;
  endpoints[0].warmUpEnd_ = now_ + std::chrono::seconds(3);
  balancer_.SetUpstreams(endpoints, now_);
  const std::map<std::string, LoadReport> loads{ { "a-1", MakeLoad(0) }, { "b-1", MakeLoad(0) } };
  std::map<std::string, int> counts;
  const MonotonicTime end = now_ + std::chrono::seconds(1);
  while (now_ < end) {
    RoutingDecision decision = Submit(MakeCall(Repeatability::AtMostOnce));
    if (decision.kind_ == RoutingDecision::Kind::Queued) {
      const auto released = RunUntilReleased(loads, milliseconds(500));
      CHECK_EQUAL(1U, released.size());
      decision = released[0].decision_;
    }
    CHECK(decision.kind_ == RoutingDecision::Kind::Dispatch);
    ++counts[balancer_.Endpoint(decision.upstream_)->id_.Text()];
    AttemptReport report;
    report.upstream_ = decision.upstream_;
    report.outcome_ = Outcome::Answered;
    report.status_ = 200;
    balancer_.OnAttemptEnded(report, now_);
    now_ += milliseconds(5);
  }
  CHECK_COMPARE(counts["a-1"], <=, 5);
  CHECK_COMPARE(counts["b-1"], >, 20);
}

// The load of a restart of all upstreams of a service.
TEST(FreshProbeBalancer, RequestsWaitForColdUpstreamsOrAreRefusedAtOnce)
{
  ServiceConfig config = MakeConfig();
  config.coldRequestsPerSecond_ = 4;
  balancer_.SetConfig(config, now_);
  std::vector endpoints{ MakeEndpoint("a-1", "a") };
  endpoints[0].startNumber_ = 2;
  endpoints[0].warmUpEnd_ = now_ + std::chrono::seconds(30);
  balancer_.SetUpstreams(endpoints, now_);
  const std::map<std::string, LoadReport> loads{ { "a-1", MakeLoad(0) } };
  CHECK(Submit(MakeCall(Repeatability::AtMostOnce)).kind_ == RoutingDecision::Kind::Queued);
  CHECK_EQUAL(1U, RunUntilReleased(loads, milliseconds(100)).size());
  // The next one can be served in time after the time of a request.
  const MonotonicTime before = now_;
  CHECK(Submit(MakeCall(Repeatability::AtMostOnce)).kind_ == RoutingDecision::Kind::Queued);
  const auto released = RunUntilReleased(loads, milliseconds(600));
  CHECK_EQUAL(1U, released.size());
  CHECK(released[0].decision_.kind_ == RoutingDecision::Kind::Dispatch);
  CHECK(now_ - before >= milliseconds(200));
  const RoutingDecision refused = Submit(MakeCallWithTarget(milliseconds(100)));
  CHECK(refused.kind_ == RoutingDecision::Kind::Refuse);
  CHECK(refused.reason_ == RefusalReason::UpstreamsCold);
  CHECK(refused.retryAfter_ >= milliseconds(100) && refused.retryAfter_ <= milliseconds(400));
  // The upstream itself says that it is warm.
  LoadReport warm = MakeLoad(0);
  warm.coldRemaining_ = Duration(0);
  balancer_.OnProbeEnded(UpstreamHandle{ 0 }, warm, milliseconds(3), now_);
  CHECK(Submit(MakeCallWithTarget(milliseconds(100))).kind_ != RoutingDecision::Kind::Refuse);
}

// Guards against an entry that was read earlier and makes an upstream cold again that has since
// said that it is warm, whenever another entry changes.
TEST(FreshProbeBalancer, KnownEntriesDoNotMakeUpstreamsColdAgain)
{
  ServiceConfig config = MakeConfig();
  config.coldRequestsPerSecond_ = 4;
  balancer_.SetConfig(config, now_);
  std::vector endpoints{ MakeEndpoint("a-1", "a") };
  endpoints[0].warmUpEnd_ = now_ + std::chrono::seconds(30);
  balancer_.SetUpstreams(endpoints, now_);
  CHECK(balancer_.IsLimitedWhileCold(UpstreamHandle{ 0 }, now_));
  LoadReport load = MakeLoad(0);
  load.coldRemaining_ = Duration(0);
  balancer_.OnProbeEnded(UpstreamHandle{ 0 }, load, milliseconds(3), now_);
  endpoints.push_back(MakeEndpoint("a-2", "a"));
  balancer_.SetUpstreams(endpoints, now_);
  CHECK(!balancer_.IsLimitedWhileCold(UpstreamHandle{ 0 }, now_));
  endpoints[0].warmUpEnd_ = now_ + std::chrono::seconds(40);
  balancer_.SetUpstreams(endpoints, now_);
  CHECK(balancer_.IsLimitedWhileCold(UpstreamHandle{ 0 }, now_));
}

// An upstream that starts again under its id answers probes before its new entry arrives.
TEST(FreshProbeBalancer, EntryOfANewStartDoesNotEndWhatItsProbeSaid)
{
  ServiceConfig config = MakeConfig();
  config.coldRequestsPerSecond_ = 4;
  balancer_.SetConfig(config, now_);
  std::vector endpoints{ MakeEndpoint("a-1", "a") };
  balancer_.SetUpstreams(endpoints, now_);
  LoadReport load = MakeLoad(0);
  load.coldRemaining_ = std::chrono::seconds(3);
  balancer_.OnProbeEnded(UpstreamHandle{ 0 }, load, milliseconds(3), now_);
  endpoints[0].startNumber_ = 2;
  balancer_.SetUpstreams(endpoints, now_);
  CHECK(balancer_.IsLimitedWhileCold(UpstreamHandle{ 0 }, now_));
}

// Guards against a queue whose requests all count on the same next share: all but one would wait in
// vain and be refused late.
TEST(FreshProbeBalancer, OnlyRequestsThatGetAShareInTimeWaitForColdUpstreams)
{
  ServiceConfig config = MakeConfig();
  config.coldRequestsPerSecond_ = 4;
  balancer_.SetConfig(config, now_);
  std::vector endpoints{ MakeEndpoint("a-1", "a") };
  endpoints[0].warmUpEnd_ = now_ + std::chrono::seconds(30);
  balancer_.SetUpstreams(endpoints, now_);
  const std::map<std::string, LoadReport> loads{ { "a-1", MakeLoad(0) } };
  CHECK(Submit(MakeCall(Repeatability::AtMostOnce)).kind_ == RoutingDecision::Kind::Queued);
  CHECK_EQUAL(1U, RunUntilReleased(loads, milliseconds(100)).size());
  int waiting = 0;
  Duration longestRetryAfter{};
  for (int i = 0; i < 20; ++i) {
    const RoutingDecision decision = Submit(MakeCallWithTarget(milliseconds(1500)));
    if (decision.kind_ == RoutingDecision::Kind::Queued) {
      ++waiting;
    } else {
      CHECK(decision.kind_ == RoutingDecision::Kind::Refuse);
      CHECK(decision.reason_ == RefusalReason::UpstreamsCold);
      longestRetryAfter = std::max(longestRetryAfter, decision.retryAfter_);
    }
  }
  CHECK_COMPARE(waiting, >=, 2);
  CHECK_COMPARE(waiting, <=, 6);
  CHECK(longestRetryAfter >= milliseconds(700));
  // Those that wait are served at the rate, and none is refused.
  int served = 0;
  for (int i = 0; i < 10 && balancer_.QueueLength() > 0; ++i) {
    for (const ReleasedCall& call : RunUntilReleased(loads, milliseconds(400))) {
      CHECK(call.decision_.kind_ == RoutingDecision::Kind::Dispatch);
      AttemptReport report;
      report.upstream_ = call.decision_.upstream_;
      report.outcome_ = Outcome::Answered;
      report.status_ = 200;
      balancer_.OnAttemptEnded(report, now_);
      ++served;
    }
  }
  CHECK_EQUAL(waiting, served);
}

// The load of a zone that an operator empties: new and queued requests go to the other zones, and
// if there is none, are refused at once.
TEST(FreshProbeBalancer, UpstreamsOfEvacuatedZonesReceiveNothing)
{
  std::vector endpoints{ MakeEndpoint("a-1", "a"), MakeEndpoint("b-1", "b") };
  balancer_.SetUpstreams(endpoints, now_);
  CHECK(Submit(MakeCall(Repeatability::AtMostOnce)).kind_ == RoutingDecision::Kind::Queued);
  endpoints[0].evacuated_ = true;
  balancer_.SetUpstreams(endpoints, now_);
  const auto released =
    RunUntilReleased({ { "a-1", MakeLoad(0) }, { "b-1", MakeLoad(0) } }, milliseconds(500));
  CHECK_EQUAL(1U, released.size());
  CHECK(released[0].decision_.kind_ == RoutingDecision::Kind::Dispatch);
  CHECK(balancer_.Endpoint(released[0].decision_.upstream_)->id_.View() == "b-1");

  endpoints[1].evacuated_ = true;
  balancer_.SetUpstreams(endpoints, now_);
  const RoutingDecision refused = Submit(MakeCall(Repeatability::Repeatable));
  CHECK(refused.kind_ == RoutingDecision::Kind::Refuse);
  CHECK(refused.reason_ == RefusalReason::NoUpstream);

  endpoints[0].evacuated_ = false;
  balancer_.SetUpstreams(endpoints, now_);
  CHECK(Submit(MakeCall(Repeatability::Repeatable)).kind_ != RoutingDecision::Kind::Refuse);
}

TEST(FreshProbeBalancer, UpstreamThatAnnouncedItsLeavingReceivesNoRequestsUntilItRestarts)
{
  std::vector endpoints{ MakeEndpoint("a-1", "a"), MakeEndpoint("a-2", "a") };
  balancer_.SetUpstreams(endpoints, now_);
  AttemptReport report;
  report.upstream_ = *balancer_.Find(UpstreamId("a-1"));
  report.status_ = 200;
  report.draining_ = true;
  balancer_.OnAttemptEnded(report, now_);
  for (int i = 0; i < 5; ++i) {
    now_ += std::chrono::minutes(1);
    balancer_.SetUpstreams(endpoints, now_);
    CHECK(SubmitAndGetUpstream({ { "a-1", MakeLoad(0) }, { "a-2", MakeLoad(1, 1.5) } }) == "a-2");
    EndAttempt("a-2", milliseconds(20));
  }
  endpoints[0].startNumber_ = 2;
  balancer_.SetUpstreams(endpoints, now_);
  now_ += milliseconds(50);
  CHECK(SubmitAndGetUpstream({ { "a-1", MakeLoad(0) }, { "a-2", MakeLoad(2) } }) == "a-1");
}

// Guards against more attempts of a request than its route allows.
TEST(FreshProbeBalancer, AttemptsAreLimitedByTheRoute)
{
  CallInfo call = MakeCall(Repeatability::Repeatable);
  AttemptReport report;
  report.failure_ = AttemptFailure::ConnectionLost;
  call.triedUpstreams_ = { UpstreamHandle{ 0 } };
  CHECK(balancer_.DecideRetry(call, report, now_).allowed_);
  call.triedUpstreams_.push_back(UpstreamHandle{ 1 });
  CHECK(!balancer_.DecideRetry(call, report, now_).allowed_);
  call.triedUpstreams_.pop_back();
  call.repeatability_ = Repeatability::AtMostOnce;
  CHECK(!balancer_.DecideRetry(call, report, now_).allowed_);
  report.outcome_ = Outcome::NotRun;
  report.failure_ = AttemptFailure::Refused;
  CHECK(balancer_.DecideRetry(call, report, now_).allowed_);
}

TEST_GROUP(WindowBudget){};

// Guards against instances that together exceed the limit of some window, wherever the window
// begins.
TEST(WindowBudget, FleetStaysWithinLimitInEveryWindow)
{
  constexpr int kInstances = 13;
  constexpr double kRatio = 0.2;
  constexpr double kSlack = 56;
  std::vector<WindowBudget> budgets(kInstances);
  for (WindowBudget& budget : budgets) {
    budget.SetLimits(kRatio, kSlack, std::chrono::seconds(10));
    budget.SetInstances(kInstances);
  }
  std::vector<int> requests;
  std::vector<int> extraAttempts;
  for (int step = 0; step < 400; ++step) {
    const MonotonicTime now = kStart + step * milliseconds(100);
    requests.push_back(0);
    extraAttempts.push_back(0);
    for (int i = 0; i < kInstances; ++i) {
      // Half of the instances receive bursts of requests at different times, the others none.
      if ((step / 50 + i) % 3 == 0 && i % 2 == 0) {
        budgets[static_cast<std::size_t>(i)].OnRequest(now);
        ++requests.back();
      }
      while (budgets[static_cast<std::size_t>(i)].TrySpend(now)) {
        ++extraAttempts.back();
      }
    }
    int windowRequests = 0;
    int windowExtraAttempts = 0;
    for (std::size_t s = requests.size() > 100 ? requests.size() - 100 : 0; s < requests.size();
         ++s) {
      windowRequests += requests[s];
      windowExtraAttempts += extraAttempts[s];
    }
    CHECK(windowExtraAttempts <= kRatio * windowRequests + kSlack);
  }
}

TEST(WindowBudget, GrantsAttemptsAgainAfterTheWindow)
{
  WindowBudget budget;
  budget.SetLimits(0, 10, std::chrono::seconds(10));
  int extraAttempts = 0;
  while (budget.TrySpend(kStart)) {
    ++extraAttempts;
  }
  CHECK(extraAttempts >= 5);
  CHECK(!budget.CanSpend(kStart + std::chrono::seconds(9)));
  CHECK(budget.CanSpend(kStart + std::chrono::seconds(12)));
}

TEST_GROUP(SlownessModel){};

TEST(SlownessModel, WorkDoneIsInverseOfServiceTime)
{
  SlownessModel slownessModel;
  for (int i = 0; i < 1000; ++i) {
    slownessModel.OnReport(i % 4 == 0 ? 7 : 1);
  }
  DOUBLES_EQUAL(1 / (0.75 + 0.25 / 7), slownessModel.MeanSlowness(), 0.05);
  for (const double slowness : { 1.0, 7.0 }) {
    for (const double workMs : { 10.0, 100.0, 400.0 }) {
      DOUBLES_EQUAL(
        workMs,
        slownessModel.WorkDoneMs(slownessModel.ServiceTimeMs(workMs, slowness), slowness),
        1e-6);
    }
  }
  // The machine is not expected to stay slow for the whole request.
  CHECK(slownessModel.ServiceTimeMs(200, 7) < 200 * 7 / 2.0);
}

TEST_GROUP(OccupancyModel){};

// Guards against ignoring that some upstreams are slower when nearly full.
TEST(OccupancyModel, LearnsThatTheLastSlotIsSlower)
{
  OccupancyModel model;
  for (int i = 0; i < 300; ++i) {
    model.Add(0, 2, 60, 60);
    model.Add(1, 2, 100, 60);
    model.Add(2, 2, 400, 60);
  }
  DOUBLES_EQUAL(1, model.SlowdownFactor(0, 2), 1e-9);
  DOUBLES_EQUAL(100.0 / 60, model.SlowdownFactor(1, 2), 0.05);
}

} // namespace boragepier
