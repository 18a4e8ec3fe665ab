#include "testing/bench/decision_cost.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <deque>
#include <memory>

#include <malloc.h>

#include "boragepier/decision/service_balancer.h"

namespace boragepier::bench {

namespace {

using WallClock = std::chrono::steady_clock;

constexpr int kCallCount = 20'000;
// Outstanding requests per upstream that the measurement keeps up.
constexpr double kOutstandingPerUpstream = 0.25;

std::vector<UpstreamEndpoint>
MakeEndpoints(std::size_t aCount)
{
  std::vector<UpstreamEndpoint> endpoints;
  endpoints.reserve(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    const ZoneName zone("z" + std::to_string(i % 3));
    endpoints.push_back({ UpstreamId("u" + std::to_string(i)), "127.0.0.1", 80, zone, 1, false });
  }
  return endpoints;
}

double
MeanNs(WallClock::duration aTotal, int aCount)
{
  return std::chrono::duration<double, std::nano>(aTotal).count() / aCount;
}

void
MeasureCalls(ServiceBalancer& aBalancer, std::size_t aUpstreams, DecisionCost& aCost)
{
  MonotonicTime now{ std::chrono::hours(1) };
  std::deque<std::pair<UpstreamHandle, MonotonicTime>> running;
  WallClock::duration submitTotal{};
  WallClock::duration completionTotal{};
  int submitted = 0;
  int ended = 0;
  for (int i = 0; i < kCallCount; ++i) {
    now += std::chrono::microseconds(100);
    CallInfo call;
    call.id_ = static_cast<std::uint64_t>(i);
    call.arrival_ = now;
    call.deadline_ = now + std::chrono::seconds(2);
    const auto submitStart = WallClock::now();
    const RoutingDecision decision = aBalancer.Submit(call, now);
    submitTotal += WallClock::now() - submitStart;
    ++submitted;
    if (decision.kind_ == RoutingDecision::Kind::Dispatch) {
      running.emplace_back(decision.upstream_, now);
    }
    if (static_cast<double>(running.size()) <
        kOutstandingPerUpstream * static_cast<double>(aUpstreams)) {
      continue;
    }
    AttemptReport report;
    report.upstream_ = running.front().first;
    report.outcome_ = Outcome::Answered;
    report.status_ = 200;
    report.latency_ = now - running.front().second;
    report.load_ = LoadReport{ 2 };
    running.pop_front();
    const auto completionStart = WallClock::now();
    aBalancer.OnAttemptEnded(report, now);
    for (const ReleasedCall& released : aBalancer.Release(now)) {
      running.emplace_back(released.decision_.upstream_, now);
    }
    completionTotal += WallClock::now() - completionStart;
    ++ended;
  }
  aCost.submitNs_ = MeanNs(submitTotal, submitted);
  aCost.completionNs_ = ended > 0 ? MeanNs(completionTotal, ended) : 0;
}

DecisionCost
MeasureDecisionCost(std::size_t aServices, std::size_t aUpstreams, std::size_t aInstances)
{
  DecisionCost cost{ aServices, aUpstreams, aInstances };
  const auto endpoints = MakeEndpoints(aUpstreams);
  std::vector<InstanceId> instances;
  instances.reserve(aInstances);
  for (std::size_t i = 0; i < aInstances; ++i) {
    instances.emplace_back("i" + std::to_string(i));
  }
  const MonotonicTime now{ std::chrono::hours(1) };
  const auto heapBytesBefore = mallinfo2().uordblks;
  const auto begin = WallClock::now();
  std::vector<std::unique_ptr<ServiceBalancer>> balancers;
  for (std::size_t i = 0; i < aServices; ++i) {
    balancers.push_back(std::make_unique<ServiceBalancer>(ServiceConfig(), ZoneName("z0"), i));
    balancers.back()->SetUpstreams(endpoints, now);
    balancers.back()->SetFleet(instances[0], instances, now);
  }
  cost.membershipUpdateMs_ =
    MeanNs(WallClock::now() - begin, static_cast<int>(aServices)) / 1'000'000;
  MeasureCalls(*balancers[0], aUpstreams, cost);
  cost.heapBytesPerUpstream_ = static_cast<double>(mallinfo2().uordblks - heapBytesBefore) /
                               static_cast<double>(aServices * aUpstreams);
  return cost;
}

} // namespace

std::vector<DecisionCost>
MeasureDecisionCosts()
{
  std::vector<DecisionCost> costs;
  for (const std::size_t upstreams : { 5, 10, 20, 50, 100, 200, 500, 1000, 4400 }) {
    costs.push_back(MeasureDecisionCost(1, upstreams, 15));
  }
  for (const std::size_t services : { 10, 100, 460 }) {
    costs.push_back(MeasureDecisionCost(services, 10, 15));
  }
  for (const std::size_t instances : { 18, 50, 100, 200 }) {
    costs.push_back(MeasureDecisionCost(1, 20, instances));
  }
  return costs;
}

std::string
FormatDecisionCosts(std::span<const DecisionCost> aCosts)
{
  std::string text =
    "services upstreams instances  submit-ns  end-ns  update-ms  bytes-per-upstream\n";
  for (const DecisionCost& cost : aCosts) {
    std::array<char, 128> line{};
    std::snprintf(line.data(),
                  line.size(),
                  "%8zu %9zu %9zu %10.0f %7.0f %10.3f %19.0f\n",
                  cost.services_,
                  cost.upstreams_,
                  cost.instances_,
                  cost.submitNs_,
                  cost.completionNs_,
                  cost.membershipUpdateMs_,
                  cost.heapBytesPerUpstream_);
    text += line.data();
  }
  return text;
}

} // namespace boragepier::bench
