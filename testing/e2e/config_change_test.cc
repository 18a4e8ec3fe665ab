#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "testing/e2e/store_fleet.h"
#include "testing/wire/raw_socket.h"

// Included last, because it defines a macro for new that breaks standard headers.
#include <CppUTest/TestHarness.h>

namespace boragepier::testing {

namespace {

constexpr std::string_view kRoute =
  R"({"name":"r","host":"a","prefix":"/r/","kind":"safe","service":"s"})";
constexpr std::string_view kService = R"({"name":"s","health_path":"/health"})";

std::string
MakeConfig(int aVersion,
           std::string_view aRoutes,
           std::string_view aServices,
           std::string_view aLimits = "{}")
{
  std::string config = R"({"version":"0000000)" + std::to_string(aVersion) + R"(","routes":[)";
  config.append(aRoutes).append(R"(],"services":[)").append(aServices);
  return config.append(R"(],"limits":)").append(aLimits).append("}");
}

// Sends a request and returns the status of the response.
std::string
StatusOf(RawSocket& aSocket, const std::string& aTarget, std::size_t aBodyBytes = 0)
{
  aSocket.Send("POST " + aTarget + " HTTP/1.1\r\nHost: a\r\nContent-Length: " +
               std::to_string(aBodyBytes) + "\r\n\r\n" + std::string(aBodyBytes, 'x'));
  return aSocket.ReadMessage().substr(sizeof "HTTP/1.1", 3);
}

std::string
StatusOnNewConnection(std::uint16_t aPort, const std::string& aTarget, std::size_t aBodyBytes = 0)
{
  RawSocket socket(aPort);
  return StatusOf(socket, aTarget, aBodyBytes);
}

} // namespace

TEST_GROUP(ConfigChange){};

// Guards against requests that run at a service to which no configuration sent them: after the
// removal of all routes, every path led to a service.
TEST(ConfigChange, RemovalOfAllRoutesLeavesNoService)
{
  StoreFleet fleet(1, MakeConfig(1, kRoute, kService));
  const std::uint16_t port = fleet.Ports().front();
  WaitUntil([&] { return StatusOnNewConnection(port, "/r/1") == "503"; });
  RawSocket kept(port);
  STRCMP_EQUAL("404", StatusOf(kept, "/other/1").c_str());
  fleet.Publish(MakeConfig(2, "", kService));
  // Until then each request has the route, and is refused because its service has no upstream.
  WaitUntil([&] { return StatusOf(kept, "/r/1") == "404"; });
  STRCMP_EQUAL("404", StatusOf(kept, "/other/1").c_str());
  STRCMP_EQUAL("404", StatusOnNewConnection(port, "/").c_str());
}

// Guards against an instance that takes an empty configuration for none, and is never ready.
TEST(ConfigChange, EmptyConfigurationIsServed)
{
  StoreFleet fleet(1, MakeConfig(0, "", ""));
  const std::uint16_t port = fleet.Ports().front();
  WaitUntil([&] { return StatusOnNewConnection(port, "/r/1") == "404"; });
}

// Guards against uploads that are refused on connections that are older than the limits in force.
TEST(ConfigChange, RaisedBodyLimitAppliesToOpenConnections)
{
  StoreFleet fleet(1, MakeConfig(1, kRoute, kService, R"({"body_bytes":1000})"));
  const std::uint16_t port = fleet.Ports().front();
  WaitUntil([&] { return StatusOnNewConnection(port, "/r/1", 3000) == "413"; });
  RawSocket kept(port);
  STRCMP_EQUAL("503", StatusOf(kept, "/r/1", 500).c_str());
  fleet.Publish(MakeConfig(2, kRoute, kService, R"({"body_bytes":5000})"));
  WaitUntil([&] { return StatusOnNewConnection(port, "/r/1", 3000) == "503"; });
  STRCMP_EQUAL("503", StatusOf(kept, "/r/1", 3000).c_str());
}

} // namespace boragepier::testing
