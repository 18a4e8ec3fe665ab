#include "boragepier/decision/service_balancer.h"

#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

constexpr MonotonicTime kStart{ std::chrono::seconds(1) };

std::vector<UpstreamEndpoint>
MakeEndpoints(int aCount)
{
  std::vector<UpstreamEndpoint> endpoints;
  endpoints.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    endpoints.push_back(
      { UpstreamId("u" + std::to_string(i)), "127.0.0.1", 80, ZoneName("a"), 1, false });
  }
  return endpoints;
}

CallInfo
MakeCall(std::uint64_t aId, MonotonicTime aNow)
{
  CallInfo call;
  call.id_ = aId;
  call.arrival_ = aNow;
  call.deadline_ = aNow + std::chrono::seconds(2);
  return call;
}

AttemptReport
MakeAnswer(UpstreamHandle aUpstream, int aStatus, Duration aLatency)
{
  AttemptReport report;
  report.upstream_ = aUpstream;
  report.outcome_ = Outcome::Answered;
  report.status_ = aStatus;
  report.latency_ = aLatency;
  return report;
}

} // namespace

TEST_GROUP(ServiceBalancer)
{
  ServiceConfig config_;
};

// Guards against a request that is queued although there is no upstream to serve it.
TEST(ServiceBalancer, RefusesWithoutUpstreams)
{
  ServiceBalancer balancer(config_, ZoneName("a"), 7);
  const RoutingDecision decision = balancer.Submit(MakeCall(1, kStart), kStart);
  CHECK(decision.kind_ == RoutingDecision::Kind::Refuse);
  CHECK(decision.reason_ == RefusalReason::NoUpstream);
}

// Guards against new requests to a leaving upstream, and against a mark that survives a restart.
TEST(ServiceBalancer, LeavingUpstreamReceivesNoRequestsUntilRestart)
{
  ServiceBalancer balancer(config_, ZoneName("a"), 7);
  auto endpoints = MakeEndpoints(2);
  balancer.SetUpstreams(endpoints, kStart);
  const UpstreamHandle leaving = *balancer.Find(UpstreamId("u0"));
  balancer.MarkLeaving(leaving);
  for (std::uint64_t i = 0; i < 6; ++i) {
    const RoutingDecision decision = balancer.Submit(MakeCall(i, kStart), kStart);
    CHECK(decision.kind_ != RoutingDecision::Kind::Dispatch || decision.upstream_ != leaving);
  }
  endpoints[0].startNumber_ = 2;
  balancer.SetUpstreams(endpoints, kStart);
  CHECK(!balancer.Candidates(kStart)[0].leaving_);
}

// Guards against a second execution of a request that must run at most once.
TEST(ServiceBalancer, AtMostOnceIsRetriedOnlyIfCertainlyNotRun)
{
  ServiceBalancer balancer(config_, ZoneName("a"), 7);
  balancer.SetUpstreams(MakeEndpoints(3), kStart);
  CallInfo call = MakeCall(1, kStart);
  call.repeatability_ = Repeatability::AtMostOnce;
  const RoutingDecision decision = balancer.Submit(call, kStart);
  call.triedUpstreams_.push_back(decision.upstream_);
  AttemptReport report = MakeAnswer(decision.upstream_, 0, std::chrono::milliseconds(1));
  report.outcome_ = Outcome::Unknown;
  report.failure_ = AttemptFailure::ConnectionLost;
  CHECK(!balancer.DecideRetry(call, report, kStart).allowed_);
  CHECK(!balancer.DecideRetry(call, MakeAnswer(decision.upstream_, 503, {}), kStart).allowed_);
  CHECK(!balancer.DecideHedge(call, kStart).has_value());
  report.outcome_ = Outcome::NotRun;
  report.failure_ = AttemptFailure::ConnectFailed;
  CHECK(balancer.DecideRetry(call, report, kStart).allowed_);
  CHECK(!balancer.DecideRetry(call, report, call.deadline_).allowed_);
}

// Guards against ejecting upstreams because this instance has no descriptor for a connection.
TEST(ServiceBalancer, LocalLimitIsNoFailureOfTheUpstream)
{
  ServiceBalancer balancer(config_, ZoneName("a"), 7);
  balancer.SetUpstreams(MakeEndpoints(3), kStart);
  for (int i = 0; i < 100; ++i) {
    const CallInfo call = MakeCall(1, kStart);
    const RoutingDecision decision = balancer.Submit(call, kStart);
    CHECK(decision.kind_ == RoutingDecision::Kind::Dispatch);
    AttemptReport report;
    report.upstream_ = decision.upstream_;
    report.outcome_ = Outcome::NotRun;
    report.failure_ = AttemptFailure::LocalLimit;
    balancer.OnAttemptEnded(report, kStart);
    CHECK(!balancer.DecideRetry(call, report, kStart).allowed_);
  }
  for (const CandidateInfo& candidate : balancer.Candidates(kStart)) {
    DOUBLES_EQUAL(1, candidate.healthWeight_, 1e-9);
    CHECK_EQUAL(0U, candidate.ownOutstanding_);
  }
}

// Guards against attempts that time out at once while no latency is known yet, and against timeouts
// beyond the deadline.
TEST(ServiceBalancer, AttemptTimeoutLeavesTimeBeforeAnyAnswer)
{
  ServiceBalancer balancer(config_, ZoneName("a"), 7);
  CallInfo call = MakeCall(1, kStart);
  CHECK(balancer.AttemptTimeout(call, kStart) >= std::chrono::seconds(1));
  CHECK(balancer.AttemptTimeout(call, kStart) < std::chrono::seconds(2));
  call.repeatability_ = Repeatability::AtMostOnce;
  CHECK(balancer.AttemptTimeout(call, kStart) == std::chrono::seconds(2));
  CHECK(balancer.AttemptTimeout(call, call.deadline_) == Duration(0));
}

// Guards against a retry at the upstream that has just failed.
TEST(ServiceBalancer, RetriesAvoidTriedUpstreams)
{
  ServiceBalancer balancer(config_, ZoneName("a"), 7);
  balancer.SetUpstreams(MakeEndpoints(3), kStart);
  CallInfo call = MakeCall(1, kStart);
  std::set<UpstreamHandle> seen;
  for (int i = 0; i < 3; ++i) {
    const RoutingDecision decision = balancer.Submit(call, kStart);
    CHECK(decision.kind_ == RoutingDecision::Kind::Dispatch);
    CHECK(seen.insert(decision.upstream_).second);
    call.triedUpstreams_.push_back(decision.upstream_);
  }
}

// Guards against requests that are lost when more arrive than can be dispatched or queued.
TEST(ServiceBalancer, EveryRequestIsDispatchedOrRefused)
{
  for (int policy = 0; policy <= static_cast<int>(PolicyKind::ReportedSubset); ++policy) {
    config_.policy_ = static_cast<PolicyKind>(policy);
    ServiceBalancer balancer(config_, ZoneName("a"), 7);
    balancer.SetUpstreams(MakeEndpoints(2), kStart);
    std::vector<UpstreamHandle> running;
    std::size_t refused = 0;
    for (std::uint64_t i = 0; i < 200; ++i) {
      const RoutingDecision decision = balancer.Submit(MakeCall(i, kStart), kStart);
      if (decision.kind_ == RoutingDecision::Kind::Dispatch) {
        running.push_back(decision.upstream_);
      }
      refused += decision.kind_ == RoutingDecision::Kind::Refuse ? 1 : 0;
    }
    std::size_t ended = 0;
    MonotonicTime now = kStart;
    while (!running.empty()) {
      now += std::chrono::milliseconds(1);
      balancer.OnAttemptEnded(MakeAnswer(running.back(), 200, now - kStart), now);
      running.pop_back();
      ++ended;
      for (const ReleasedCall& released : balancer.Release(now)) {
        if (released.decision_.kind_ == RoutingDecision::Kind::Dispatch) {
          running.push_back(released.decision_.upstream_);
        } else {
          ++refused;
        }
      }
    }
    LONGS_EQUAL(200, ended + refused);
    LONGS_EQUAL(0, balancer.QueueLength());
  }
}

} // namespace boragepier
