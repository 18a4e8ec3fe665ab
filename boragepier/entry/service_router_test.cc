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

// Makes a route of which the service "a" has the share aShare and the service "b" the rest.
RouteConfig
SplitRoute(double aShare)
{
  RouteConfig route;
  route.name_ = "split";
  route.host_ = "shop.example";
  route.pathPrefix_ = "/prices/";
  route.services_ = { { ServiceName("a"), aShare }, { ServiceName("b"), 1 - aShare } };
  return route;
}

// Makes a routing table with this route only.
RoutingTable
MakeSplitTable(double aShare)
{
  RoutingTable table;
  table.services_ = { MakeService("a"), MakeService("b") };
  const RouteConfig route = SplitRoute(aShare);
  table.routes_ = std::make_shared<const RouteSet>(std::span(&route, 1));
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
  RouteConfig route = SplitRoute(0.5);
  route.services_ = { { ServiceName("c"), 6 }, { ServiceName("b"), 3 }, { ServiceName("a"), 1 } };
  table.routes_ = std::make_shared<const RouteSet>(std::span(&route, 1));
  for (int i = 0; i < 6; ++i) {
    AddUpstream(table, i);
    ApplyEverywhere(table);
    RouteEverywhere();
  }
  CheckShareOfA(0.1);
}

/// A router with a table of many routes.
TEST_GROUP(RouteUpdates)
{
  static constexpr std::size_t kRoutes = 4000;

  ServiceRouter router_{ InstanceId("i"), ZoneName("a"), 1 };
  std::vector<RouteConfig> routes_;
  RoutingTable table_;
  MonotonicTime now_ = MonotonicTime(std::chrono::hours(1));

  void setup() override
  {
    table_.services_ = { MakeService("a"), MakeService("b") };
    for (std::size_t i = 0; i < kRoutes; ++i) {
      RouteConfig route = SplitRoute(0.5);
      route.name_ = "r-" + std::to_string(i);
      route.pathPrefix_ = "/prices-" + std::to_string(i) + '/';
      routes_.push_back(route);
    }
    table_.routes_ = std::make_shared<const RouteSet>(routes_);
    router_.Apply(table_, now_);
    LONGS_EQUAL(kRoutes, router_.BuiltRouteCount());
  }

  // Replaces a route as whoever keeps the routes does: the other routes stay.
  void UpdateRoute(std::size_t aIndex)
  {
    RouteSet routes = *table_.routes_;
    routes.Set(std::make_shared<const RouteConfig>(routes_[aIndex]));
    table_.routes_ = std::make_shared<const RouteSet>(routes);
  }

  std::shared_ptr<ActiveRoute> Find(std::size_t aIndex)
  {
    return router_.Match("shop.example", routes_[aIndex].pathPrefix_ + "today").route_;
  }
};

// Guards against changes of upstreams whose cost grows with the number of routes.
TEST(RouteUpdates, ChangeOfAnUpstreamBuildsNoRoute)
{
  const auto route = Find(7);
  for (int i = 0; i < 10; ++i) {
    AddUpstream(table_, i);
    router_.Apply(table_, now_);
  }
  LONGS_EQUAL(kRoutes, router_.BuiltRouteCount());
  CHECK(route == Find(7));
}

// Guards against changes of a route whose cost grows with the number of routes.
TEST(RouteUpdates, ChangeOfOneRouteBuildsOneRoute)
{
  const auto other = Find(8);
  routes_[7].timeLimit_ = std::chrono::seconds(7);
  UpdateRoute(7);
  router_.Apply(table_, now_);
  LONGS_EQUAL(kRoutes + 1, router_.BuiltRouteCount());
  CHECK(Find(7)->Config().timeLimit_ == std::chrono::seconds(7));
  CHECK(other == Find(8));
}

/// A router whose configuration had one route and has none any more.
TEST_GROUP(NoRoutes)
{
  ServiceRouter router_{ InstanceId("i0"), ZoneName("a"), 1 };
  RoutingTable table_ = MakeSplitTable(0.5);
  MonotonicTime now_ = MonotonicTime(std::chrono::hours(1));

  void setup() override
  {
    router_.Apply(table_, now_);
    table_.routes_ = std::make_shared<const RouteSet>();
  }
};

// Guards against requests that run at a service to which no route sends them: an empty set of
// routes was taken as the absence of a set, and services were found by their own prefixes.
TEST(NoRoutes, MatchNoRequest)
{
  router_.Apply(table_, now_);
  const RouteMatch match = router_.Match("shop.example", "/prices/today");
  CHECK(match.route_ == nullptr);
  CHECK(match.service_ == nullptr);
}

// Guards against an instance that is never ready: a configuration may have neither routes nor
// services.
TEST(NoRoutes, AndNoServicesAreAConfiguration)
{
  table_.services_.clear();
  router_.Apply(table_, now_);
  CHECK(router_.HasConfiguration());
  CHECK(router_.Match("shop.example", "/").service_ == nullptr);
}

} // namespace boragepier
