#include "boragepier/entry/service_router.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace boragepier {

namespace {

// Largest deviation of a service's share of a split route from its weight.
constexpr double kMaxShareDeviation = 0.1;
// Number of requests from which on the shares must hold, over all instances.
constexpr int kMinRequests = 300;
constexpr std::size_t kInstances = 100;

ServiceRoute
MakeService(const char* aName)
{
  ServiceRoute service;
  service.version_ = 1;
  service.config_.name_ = ServiceName(aName);
  return service;
}

// Makes a routing table with one route, of which the service "a" has the share aShare and the
// service "b" the rest.
RoutingTable
MakeSplitTable(double aShare)
{
  RoutingTable table;
  table.services_ = { MakeService("a"), MakeService("b") };
  RouteConfig route;
  route.name_ = "split";
  route.host_ = "shop.example";
  route.pathPrefix_ = "/prices/";
  route.services_ = { { ServiceName("a"), aShare }, { ServiceName("b"), 1 - aShare } };
  table.routes_ = { route };
  return table;
}

void
AddUpstream(RoutingTable& aTable, int aNumber)
{
  UpstreamEndpoint upstream;
  upstream.id_ = UpstreamId("u" + std::to_string(aNumber));
  upstream.address_ = "127.0.0.1";
  upstream.port_ = 9000;
  aTable.services_.front().upstreams_.push_back(upstream);
}

} // namespace

/// Routers of a fleet of instances, and the requests that they routed.
TEST_GROUP(TrafficSplit)
{
  std::vector<std::unique_ptr<ServiceRouter>> routers_;
  int requests_ = 0;
  int requestsToA_ = 0;
  MonotonicTime now_ = MonotonicTime(std::chrono::hours(1));

  void StartInstances(std::uint64_t aSeed)
  {
    routers_.clear();
    for (std::size_t i = 0; i < kInstances; ++i) {
      routers_.push_back(std::make_unique<ServiceRouter>(
        InstanceId("i" + std::to_string(i)), ZoneName("a"), aSeed + 1000 * i));
    }
  }

  void ApplyEverywhere(const RoutingTable& aTable)
  {
    now_ += std::chrono::milliseconds(500);
    for (const auto& router : routers_) {
      router->Apply(aTable, now_);
    }
  }

  // Routes one request in each instance.
  void RouteEverywhere()
  {
    for (const auto& router : routers_) {
      const RouteMatch match = router->Match("shop.example", "/prices/today");
      CHECK(match.service_ != nullptr);
      ++requests_;
      requestsToA_ += match.service_->Config()->name_ == ServiceName("a") ? 1 : 0;
    }
  }

  void CheckShareOfA(double aExpected)
  {
    CHECK(requests_ >= kMinRequests);
    DOUBLES_EQUAL(aExpected, static_cast<double>(requestsToA_) / requests_, kMaxShareDeviation);
    requests_ = 0;
    requestsToA_ = 0;
  }
};

// Guards against a split that ignores the weights while upstreams come and go: each change applies
// a routing table, and an instance of a large fleet routes about one request in between.
TEST(TrafficSplit, SharesFollowTheWeightsWhileUpstreamsChange)
{
  for (const double share : { 0.75, 0.9, 0.25 }) {
    StartInstances(1);
    RoutingTable table = MakeSplitTable(share);
    for (int i = 0; i < 6; ++i) {
      AddUpstream(table, i);
      ApplyEverywhere(table);
      RouteEverywhere();
    }
    CheckShareOfA(share);
  }
}

// Guards against a split that ignores the weights after all instances restarted: the first request
// of each of them must follow the weights too.
TEST(TrafficSplit, FirstRequestsOfInstancesFollowTheWeights)
{
  for (const double share : { 0.75, 0.9, 0.25 }) {
    for (std::uint64_t start = 0; start < 4; ++start) {
      StartInstances(start);
      ApplyEverywhere(MakeSplitTable(share));
      RouteEverywhere();
    }
    CheckShareOfA(share);
  }
}

// Guards against old weights that still have an effect after a configuration changed them.
TEST(TrafficSplit, ChangedWeightsTakeEffectAtOnce)
{
  StartInstances(1);
  for (const double share : { 0.75, 0.1, 0.5 }) {
    ApplyEverywhere(MakeSplitTable(share));
    for (int i = 0; i < 4; ++i) {
      RouteEverywhere();
    }
    CheckShareOfA(share);
  }
}

// Guards against requests to a service that a routing table removed while a route still names it.
TEST(TrafficSplit, RemovedServiceGetsNoRequests)
{
  StartInstances(1);
  RoutingTable table = MakeSplitTable(0.5);
  ApplyEverywhere(table);
  table.services_.erase(table.services_.begin());
  ApplyEverywhere(table);
  for (int i = 0; i < 3; ++i) {
    RouteEverywhere();
  }
  LONGS_EQUAL(0, requestsToA_);
}

// Guards against a split that favors some services of a route with more than two.
TEST(TrafficSplit, ThreeServicesGetTheirShares)
{
  StartInstances(1);
  RoutingTable table = MakeSplitTable(0.5);
  table.services_.push_back(MakeService("c"));
  table.routes_.front().services_ = { { ServiceName("c"), 6 },
                                      { ServiceName("b"), 3 },
                                      { ServiceName("a"), 1 } };
  for (int i = 0; i < 6; ++i) {
    AddUpstream(table, i);
    ApplyEverywhere(table);
    RouteEverywhere();
  }
  CheckShareOfA(0.1);
}

} // namespace boragepier
