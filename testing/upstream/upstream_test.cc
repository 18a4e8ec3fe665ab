#include "testing/upstream/upstream.h"

#include "testing/upstream/echo.h"
#include "testing/wire/loop_thread.h"
#include "testing/wire/raw_socket.h"

// Included last, because it redefines new, which breaks standard headers included after it.
#include <CppUTest/TestHarness.h>

namespace boragepier::testing {

namespace {

UpstreamSettings
MakeSettings(Duration aServiceTime)
{
  UpstreamSettings settings;
  settings.id_ = "u1";
  settings.service_ = "s1";
  settings.zone_ = "z1";
  settings.serviceTime_ = aServiceTime;
  return settings;
}

class TestUpstream
{
public:
  explicit TestUpstream(UpstreamSettings aSettings)
    : upstream_(loop_, std::move(aSettings))
    , thread_(loop_)
  {
  }

  RawSocket Connect() const { return RawSocket(upstream_.Port()); }

  RawSocket SendOrder(std::string_view aKey, std::string_view aHeaderLines = "") const
  {
    RawSocket socket = Connect();
    Send(socket, aKey, aHeaderLines);
    return socket;
  }

  static void Send(RawSocket& aSocket, std::string_view aKey, std::string_view aHeaderLines = "")
  {
    aSocket.Send("POST /order HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nIdempotency-Key: " +
                 std::string(aKey) + "\r\n" + std::string(aHeaderLines) + "\r\n");
  }

  std::string SendControl(std::string_view aRequestLine, std::string_view aBody = "") const
  {
    RawSocket socket = Connect();
    socket.Send(std::string(aRequestLine) + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                std::to_string(aBody.size()) + "\r\n\r\n" + std::string(aBody));
    return socket.ReadMessage();
  }

  void SetMode(std::string_view aJson) const
  {
    CHECK(SendControl("POST /control/mode", aJson).starts_with("HTTP/1.1 200"));
  }

  // Waits until /control/runs reports this state. The upstream handles its connections in any
  // order.
  void AwaitState(std::string_view aJson) const
  {
    WaitUntil([&] { return SendControl("GET /control/runs").ends_with(aJson); });
  }

private:
  net::EventLoop loop_;
  Upstream upstream_;
  LoopThread thread_;
};

constexpr Duration kLongServiceTime = std::chrono::hours(1);

} // namespace

TEST_GROUP(Upstream){};

TEST(Upstream, RespondsWithEchoAndLoadAndRecordsTheRun)
{
  const TestUpstream upstream(MakeSettings({}));
  RawSocket socket = upstream.SendOrder("k1");
  const std::string response = socket.ReadMessage();
  STRCMP_CONTAINS("\r\nBoragepier-Load: in-flight=1\r\n", response.c_str());
  http::Request request{ "POST", "/order", {}, "" };
  request.headers_.Add("Idempotency-Key", "k1");
  const std::string body = response.substr(response.find("\r\n\r\n") + 4);
  CHECK(EchoMatches(request, body));
  request.target_ = "/other";
  CHECK(!EchoMatches(request, body));
  upstream.AwaitState(R"({"inFlight":0,"runs":{"k1":1},"total":1})");
}

TEST(Upstream, ClosedConnectionRemovesTheQueuedRequest)
{
  const TestUpstream upstream(MakeSettings(kLongServiceTime));
  const RawSocket first = upstream.SendOrder("k1");
  const RawSocket second = upstream.SendOrder("k2");
  upstream.AwaitState(R"({"inFlight":2,"runs":{"k1":1,"k2":1},"total":2})");
  RawSocket queued = upstream.SendOrder("k3");
  upstream.AwaitState(R"({"inFlight":3,"runs":{"k1":1,"k2":1},"total":2})");
  queued.Close();
  upstream.AwaitState(R"({"inFlight":2,"runs":{"k1":1,"k2":1},"total":2})");
}

TEST(Upstream, RefusesAQueuedRequestWhoseDeadlineHasPassed)
{
  const TestUpstream upstream(MakeSettings(std::chrono::milliseconds(20)));
  RawSocket first = upstream.SendOrder("k1");
  RawSocket second = upstream.SendOrder("k2");
  const std::string response =
    upstream.SendOrder("k3", "Boragepier-Deadline-Ms: 0\r\n").ReadMessage();
  CHECK(response.starts_with("HTTP/1.1 504"));
  STRCMP_CONTAINS("Boragepier-Not-Run: true\r\n", response.c_str());
  upstream.AwaitState(R"({"inFlight":0,"runs":{"k1":1,"k2":1},"total":2})");
}

TEST(Upstream, ShedsAndFailsFastWithoutRunning)
{
  const TestUpstream upstream(MakeSettings(kLongServiceTime));
  upstream.SetMode(R"({"mode":"shed","limit":1})");
  const RawSocket first = upstream.SendOrder("k1");
  const RawSocket second = upstream.SendOrder("k2");
  upstream.AwaitState(R"({"inFlight":2,"runs":{"k1":1,"k2":1},"total":2})");
  const RawSocket queued = upstream.SendOrder("k3");
  upstream.AwaitState(R"({"inFlight":3,"runs":{"k1":1,"k2":1},"total":2})");
  const std::string shedResponse = upstream.SendOrder("k4").ReadMessage();
  CHECK(shedResponse.starts_with("HTTP/1.1 503"));
  STRCMP_CONTAINS("Boragepier-Not-Run: true\r\n", shedResponse.c_str());
  STRCMP_CONTAINS("Boragepier-Load: in-flight=3\r\n", shedResponse.c_str());
  upstream.SetMode(R"({"mode":"fail-fast"})");
  upstream.SetMode(R"({"mode":"misreport","add":true})");
  const std::string failedResponse = upstream.SendOrder("k5").ReadMessage();
  CHECK(failedResponse.starts_with("HTTP/1.1 500"));
  STRCMP_CONTAINS("Boragepier-Load: in-flight=0\r\n", failedResponse.c_str());
  upstream.AwaitState(R"({"inFlight":3,"runs":{"k1":1,"k2":1},"total":2})");
  CHECK(upstream.SendControl("POST /control/mode", "{}").starts_with("HTTP/1.1 400"));
}

TEST(Upstream, SilentConnectionsStayOpenAndNewOnesWork)
{
  const TestUpstream upstream(MakeSettings({}));
  RawSocket silenced = upstream.SendOrder("k1");
  silenced.ReadMessage();
  upstream.SetMode(R"({"mode":"silent"})");
  TestUpstream::Send(silenced, "k2");
  CHECK(upstream.SendOrder("k3").ReadMessage().starts_with("HTTP/1.1 200"));
  CHECK(!silenced.HasInput());
  upstream.AwaitState(R"({"inFlight":0,"runs":{"k1":1,"k3":1},"total":2})");
  upstream.SetMode(R"({"mode":"silent-after-run"})");
  const RawSocket unanswered = upstream.SendOrder("k4");
  upstream.AwaitState(R"({"inFlight":0,"runs":{"k1":1,"k3":1,"k4":1},"total":3})");
  CHECK(!unanswered.HasInput());
}

TEST(Upstream, TruncatedResponseLacksItsLastByte)
{
  const TestUpstream upstream(MakeSettings({}));
  upstream.SetMode(R"({"mode":"truncate"})");
  const std::string response = upstream.SendOrder("k1").ReadToEnd();
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response.find("\"upstream\":\"u1\"") != std::string::npos && !response.ends_with("}"));
}

TEST(Upstream, DrainIsAnnouncedBeforeNewRequestsAreRefused)
{
  RawListener platform;
  UpstreamSettings settings = MakeSettings({});
  settings.platform_ = http::Target{ "127.0.0.1", platform.Port() };
  const TestUpstream upstream(settings);
  RawSocket registration = platform.Accept();
  const std::string first = registration.ReadMessage();
  CHECK(first.starts_with("PUT /instances/u1 HTTP/1.1\r\n"));
  STRCMP_CONTAINS("\"leaving\":false", first.c_str());
  registration.Send("HTTP/1.1 204 No Content\r\n\r\n");
  upstream.SetMode(R"({"mode":"drain","forMs":3600000})");
  STRCMP_CONTAINS("\"leaving\":true", registration.ReadMessage().c_str());
  const std::string last = upstream.SendOrder("k1").ReadMessage();
  CHECK(last.starts_with("HTTP/1.1 200"));
  STRCMP_CONTAINS("Boragepier-Draining: true\r\n", last.c_str());
  upstream.SetMode(R"({"mode":"drain","forMs":0})");
  const std::string refused = upstream.SendOrder("k2").ReadMessage();
  CHECK(refused.starts_with("HTTP/1.1 503"));
  STRCMP_CONTAINS("Boragepier-Not-Run: true\r\n", refused.c_str());
}

} // namespace boragepier::testing
