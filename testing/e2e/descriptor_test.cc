#include <string>
#include <vector>

#include "testing/e2e/fleet.h"
#include "testing/wire/loop_thread.h"
#include "testing/wire/raw_socket.h"

#include <CppUTest/TestHarness.h>

namespace boragepier::testing {

namespace {

const std::string kGetRequest = "GET /shop/1 HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string kCompleteResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// One upstream gets all requests at once and may keep them for long.
const std::string kServiceKeys =
  "[budget]\nhedges = 0\n[choice]\nslots = 1024\n[deadline]\ndefault-ms = 30000\n";

bool
IsAnswer(const std::string& aMessage)
{
  return aMessage.starts_with("HTTP/1.1 200 ");
}

bool
IsRefusal(const std::string& aMessage)
{
  return aMessage.starts_with("HTTP/1.1 503 ") &&
         aMessage.find("\r\nConnection: close\r\n") != std::string::npos &&
         aMessage.find("\r\nBoragepier-Outcome: not-run\r\n") != std::string::npos;
}

void
CheckReady(const RunningInstance& aInstance)
{
  RawSocket monitor(aInstance.adminPort_);
  monitor.Send("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
  const std::string response = monitor.ReadMessage();
  CHECK_TEXT(IsAnswer(response), response.c_str());
}

std::string
SendAndReceive(RawSocket& aCaller, const std::string& aRequest)
{
  aCaller.Send(aRequest);
  return aCaller.ReadMessage();
}

} // namespace

// Runs the real binary with few descriptors.
TEST_GROUP(Descriptors)
{
  Fleet fleet_;

  RunningInstance& StartInstance(DescriptorLimit aLimit)
  {
    RunningInstance& instance = fleet_.AddInstance({}, aLimit);
    CHECK_EQUAL(0, fleet_.Publish("shop", MakeServiceFile("shop", "/shop/", kServiceKeys)));
    fleet_.WaitForVersion("shop", 1);
    return instance;
  }

  // The shares must suffice, so that the spare descriptors of the listeners are not used. Both
  // metrics are set at the same time, about once a second.
  void CheckNoShortage(const RunningInstance& aInstance, std::size_t aRefusals)
  {
    const std::string refused =
      "\nboragepier_refused_connections_total " + std::to_string(aRefusals) + "\n";
    std::string metrics;
    WaitUntil([&] {
      metrics = fleet_.Client().Get(aInstance.adminPort_, "/metrics");
      return metrics.find(refused) != std::string::npos;
    });
    CHECK_TEXT(metrics.find("\nboragepier_descriptor_shortages_total 0\n") != std::string::npos,
               metrics.c_str());
  }

  // Holds as many requests at an upstream as the instance accepts, and answers them.
  void CheckAcceptedRequestsArePassedOn(DescriptorLimit aLimit)
  {
    constexpr std::size_t kCallers = 600;
    RawListener upstream;
    RunningInstance& instance = StartInstance(aLimit);
    fleet_.RegisterUpstream("raw", "shop", upstream.Port());
    fleet_.WaitForUpstreams(instance, "shop", 1);
    std::vector<RawSocket> callers;
    std::vector<RawSocket> accepted;
    std::vector<RawSocket> upstreamConnections;
    callers.reserve(kCallers);
    for (std::size_t i = 0; i < kCallers; ++i) {
      RawSocket caller(instance.callerPort_);
      caller.Send(kGetRequest);
      WaitUntil([&] { return caller.HasInput() || upstream.HasPending(); });
      if (caller.HasInput()) {
        const std::string response = caller.ReadMessage();
        CHECK_TEXT(IsRefusal(response), response.c_str());
        callers.push_back(std::move(caller));
      } else {
        upstreamConnections.push_back(upstream.Accept());
        upstreamConnections.back().ReadMessage();
        accepted.push_back(std::move(caller));
      }
    }
    CHECK(!accepted.empty());
    CheckReady(instance);
    for (RawSocket& connection : upstreamConnections) {
      connection.Send(kCompleteResponse);
    }
    for (RawSocket& caller : accepted) {
      const std::string response = caller.ReadMessage();
      CHECK_TEXT(IsAnswer(response), response.c_str());
    }
    CheckNoShortage(instance, callers.size());
  }
};

// Guards against callers that hang without an answer because the soft limit, which a process may
// raise itself, is used up.
TEST(Descriptors, CallersBeyondTheSoftLimitAreServed)
{
  constexpr std::size_t kCallers = 500;
  fleet_.AddUpstream("shop");
  RunningInstance& instance = StartInstance({ 64, 4096 });
  fleet_.WaitForUpstreams(instance, "shop", 1);
  std::vector<RawSocket> callers;
  callers.reserve(kCallers);
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back(instance.callerPort_);
    const std::string response = SendAndReceive(callers.back(), kGetRequest);
    CHECK_TEXT(IsAnswer(response), response.c_str());
  }
  CheckReady(instance);
}

// Guards against connections that are neither served nor refused, and against an unanswered /ready,
// when more callers connect than there are descriptors.
TEST(Descriptors, CallersBeyondTheHardLimitAreServedOrRefusedAtOnce)
{
  constexpr std::size_t kCallers = 600;
  fleet_.AddUpstream("shop");
  RunningInstance& instance = StartInstance({ 256, 256 });
  fleet_.WaitForUpstreams(instance, "shop", 1);
  std::vector<RawSocket> callers;
  callers.reserve(kCallers);
  std::size_t answers = 0;
  std::size_t refusals = 0;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back(instance.callerPort_);
    const std::string response = SendAndReceive(callers.back(), kGetRequest);
    (IsAnswer(response) ? answers : refusals) += 1;
    CHECK_TEXT(IsAnswer(response) || IsRefusal(response), response.c_str());
  }
  CHECK(answers > 0 && refusals > 0);
  CheckReady(instance);
  CheckNoShortage(instance, refusals);
  // The others keep their connections idle, so that new callers are served again.
  WaitUntil([&] {
    RawSocket caller(instance.callerPort_);
    return IsAnswer(SendAndReceive(caller, kGetRequest));
  });
}

// Guards against a request that is read and then refused for want of a descriptor towards the
// upstream.
TEST(Descriptors, AcceptedRequestsArePassedOn)
{
  CheckAcceptedRequestsArePassedOn({ 256, 256 });
}

TEST(Descriptors, AcceptedRequestsArePassedOnWithTheSmallestLimit)
{
  CheckAcceptedRequestsArePassedOn({ 64, 64 });
}

// Guards against a /ready that is not answered because idle clients hold all connections of the
// admin address.
TEST(Descriptors, ReadyIsAnsweredWhileIdleClientsHoldAllAdminConnections)
{
  RunningInstance& instance = StartInstance({ 1024, 1024 });
  std::vector<RawSocket> idle;
  idle.reserve(200);
  for (int i = 0; i < 200; ++i) {
    idle.emplace_back(instance.adminPort_);
  }
  CheckReady(instance);
}

} // namespace boragepier::testing
