#include "boragepier/entry/traffic_thread.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "boragepier/entry/pipeline_fakes.h"
#include "testing/wire/loop_thread.h"
#include "testing/wire/raw_socket.h"

// Included last, because it defines a macro for new that breaks standard headers.
#include <CppUTest/TestHarness.h>

namespace boragepier {

using boragepier::testing::RawSocket;
using boragepier::testing::WaitUntil;

namespace {

Settings
MakeSettings()
{
  Settings settings;
  settings.id_ = InstanceId("i1");
  settings.zone_ = ZoneName("a");
  settings.storeEndpoint_ = { "127.0.0.1", 1 }; // the configuration comes from a store
  return settings;
}

std::string
GetWithHeaderOf(std::size_t aBytes)
{
  return "GET /prices/1 HTTP/1.1\r\nHost: shop.example\r\nX: " + std::string(aBytes, 'x') +
         "\r\n\r\n";
}

} // namespace

/// A traffic thread without upstreams.
TEST_GROUP(TrafficThread)
{
  FakeObserver observer_;
  ServiceRouter router_{ InstanceId("i1"), ZoneName("a"), 1 };
  TrafficThread traffic_{ MakeSettings(), router_, observer_, "i1-", NativeDialect(), nullptr };
  std::uint16_t port_ = 0;

  void setup() override
  {
    port_ = traffic_.Listen();
    traffic_.Start();
  }

  // Applies a configuration with one service, and with a route to it or none.
  void Configure(bool aWithRoute)
  {
    RoutingTable table;
    table.services_.emplace_back().config_.name_ = ServiceName("a");
    RouteSet routes;
    if (aWithRoute) {
      auto route = std::make_shared<RouteConfig>();
      route->name_ = "r";
      route->host_ = "shop.example";
      route->pathPrefix_ = "/prices/";
      route->services_ = { { ServiceName("a"), 1 } };
      routes.Set(std::move(route));
    }
    table.routes_ = std::make_shared<const RouteSet>(routes);
    router_.Apply(table, std::chrono::steady_clock::now());
  }

  // Sends a request and returns the reason of its refusal.
  static std::string RefusalOf(RawSocket & aSocket, const std::string& aRequest)
  {
    aSocket.Send(aRequest);
    const std::string response = aSocket.ReadMessage();
    const std::string member = "\"reason\":\"";
    const std::size_t start = response.find(member) + member.size();
    return response.substr(start, response.find('"', start) - start);
  }
};

// Guards against a request that is lost because a limit is taken for that of the configuration
// before there is one: callers do not send a request again after 413 or 431.
TEST(TrafficThread, LargeRequestBeforeTheFirstConfigurationIsNotTooLarge)
{
  RawSocket early(port_);
  STRCMP_EQUAL("not-configured", RefusalOf(early, GetWithHeaderOf(20'000)).c_str());
  CallerLimits limits;
  limits.maxHeader_ = 18'000;
  Configure(true);
  traffic_.SetCallerLimits(limits);
  WaitUntil([&] {
    RawSocket socket(port_);
    return RefusalOf(socket, GetWithHeaderOf(17'000)) == "no-upstream";
  });
  RawSocket late(port_);
  STRCMP_EQUAL("header-too-large", RefusalOf(late, GetWithHeaderOf(20'000)).c_str());
}

// Guards against a connection that keeps the limits and routes under which it was accepted.
TEST(TrafficThread, OpenConnectionFollowsTheConfiguration)
{
  Configure(true);
  RawSocket socket(port_);
  STRCMP_EQUAL("no-upstream", RefusalOf(socket, GetWithHeaderOf(10)).c_str());
  Configure(false);
  STRCMP_EQUAL("no-route", RefusalOf(socket, GetWithHeaderOf(10)).c_str());
  CallerLimits limits;
  limits.maxHeader_ = 40'000;
  traffic_.SetCallerLimits(limits);
  WaitUntil([&] {
    RawSocket other(port_);
    return RefusalOf(other, GetWithHeaderOf(30'000)) == "no-route";
  });
  STRCMP_EQUAL("no-route", RefusalOf(socket, GetWithHeaderOf(30'000)).c_str());
}

} // namespace boragepier
