#include <signal.h>

#include <chrono>
#include <string>
#include <thread>

#include "testing/e2e/fleet.h"
#include "testing/wire/loop_thread.h"
#include "testing/wire/raw_socket.h"

#include <CppUTest/TestHarness.h>

namespace boragepier::testing {

namespace {

const std::string kGetRequest = "GET /shop/1 HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string kPostRequest =
  "POST /shop/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";
const std::string kCompleteResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

void
CheckContains(const std::string& aText, const std::string& aPart)
{
  CHECK_TEXT(aText.find(aPart) != std::string::npos, aText.c_str());
}

} // namespace

// Runs the real binary between a raw caller socket and a raw upstream socket.
TEST_GROUP(Wire)
{
  Fleet fleet_;
  RawListener upstream_;
  std::uint16_t port_ = 0;

  void setup() override
  {
    RunningInstance& instance = fleet_.AddInstance();
    port_ = instance.callerPort_;
    CHECK_EQUAL(
      0, fleet_.Publish("shop", MakeServiceFile("shop", "/shop/", "[budget]\nhedges = 0\n")));
    fleet_.WaitForVersion("shop", 1);
    fleet_.RegisterUpstream("raw", "shop", upstream_.Port());
    fleet_.WaitForUpstreams(instance, "shop", 1);
  }

  std::string SendAndReceive(const std::string& aBytes)
  {
    RawSocket caller(port_);
    caller.Send(aBytes);
    return caller.ReadMessage();
  }

  void CheckRefused(
    const std::string& aResponse, const std::string& aStatus, const std::string& aOutcome)
  {
    CHECK_TEXT(aResponse.starts_with("HTTP/1.1 " + aStatus), aResponse.c_str());
    CheckContains(aResponse, "Boragepier-Outcome: " + aOutcome + "\r\n");
    CheckContains(aResponse, "application/problem+json");
  }
};

// Guards against request smuggling, and against malformed requests that get status 500 or no
// response.
TEST(Wire, MalformedRequestsAreRefusedAndNothingReachesTheUpstream)
{
  const std::string head = "POST /shop/1 HTTP/1.1\r\nHost: a\r\n";
  const std::string smuggled = "GET /shop/smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
  for (const std::string& fields :
       { std::string("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
         std::string("Content-Length: 5\r\nContent-Length: 6\r\n\r\n"),
         std::string("Content-Length: -1\r\n\r\n"),
         std::string("Content-Length: 99999999999999999999999\r\n\r\n"),
         std::string("Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
         std::string("no colon\r\n\r\n") }) {
    RawSocket caller(port_);
    caller.Send(head);
    caller.Send(fields);
    caller.Send(smuggled);
    const std::string response = caller.ReadToEnd();
    CheckRefused(response, "400", "not-run");
    CHECK_TEXT(response.find("HTTP/1.1", 8) == std::string::npos, response.c_str());
  }
  CheckRefused(SendAndReceive("\x01garbage\r\n\r\n"), "400", "not-run");
  CheckRefused(
    SendAndReceive("GET /shop/1 HTTP/1.1\r\nHost: a\r\nX: " + std::string(20000, 'x') + "\r\n\r\n"),
    "431",
    "not-run");
  CheckRefused(SendAndReceive(head + "Content-Length: 100000000\r\n\r\n"), "413", "not-run");
  CHECK(!upstream_.HasPending());
}

// Guards against a chunked body that is read as empty, so that its bytes become the next request.
TEST(Wire, ChunkedRequestBodiesAreForwardedCompletely)
{
  RawSocket caller(port_);
  caller.Send("POST /shop/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
              "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n");
  RawSocket upstreamConnection = upstream_.Accept();
  CHECK(upstreamConnection.ReadMessage().ends_with("\r\n\r\nhello"));
  upstreamConnection.Send(kCompleteResponse);
  CHECK(caller.ReadMessage().ends_with("ok"));
}

// Guards against reserved header fields that a caller or an upstream forges, and against hop-by-hop
// fields that are forwarded.
TEST(Wire, ReservedAndHopByHopFieldsAreRemoved)
{
  RawSocket caller(port_);
  caller.Send("GET /shop/1 HTTP/1.1\r\nHost: a\r\nBoragepier-Request-Id: forged\r\n"
              "Boragepier-Outcome: forged\r\nConnection: X-Private\r\nX-Private: 1\r\n\r\n");
  RawSocket upstreamConnection = upstream_.Accept();
  const std::string request = upstreamConnection.ReadMessage();
  CHECK_TEXT(request.find("forged") == std::string::npos, request.c_str());
  CHECK_TEXT(request.find("X-Private") == std::string::npos, request.c_str());
  CheckContains(request, "Boragepier-Deadline-Ms: ");
  upstreamConnection.Send(
    "HTTP/1.1 200 OK\r\nBoragepier-Outcome: not-run\r\nContent-Length: 2\r\n\r\nok");
  const std::string response = caller.ReadMessage();
  CheckContains(response, "Boragepier-Outcome: answered\r\n");
  CHECK_TEXT(response.find("not-run") == std::string::npos, response.c_str());
}

// Guards against a client library that retries a POST when a persistent connection closes.
TEST(Wire, AnUnansweredPostIsNotRetried)
{
  RawSocket first(port_);
  first.Send(kGetRequest);
  RawSocket upstreamConnection = upstream_.Accept();
  upstreamConnection.ReadMessage();
  upstreamConnection.Send(kCompleteResponse);
  first.ReadMessage();
  RawSocket second(port_);
  second.Send(kPostRequest);
  upstreamConnection.ReadMessage();
  upstreamConnection.Close();
  CheckRefused(second.ReadMessage(), "502", "unknown");
  CHECK(!upstream_.HasPending());
}

// Guards against a truncated response that is forwarded as complete.
TEST(Wire, ATruncatedResponseIsNotForwarded)
{
  for (const std::string& truncated :
       { std::string("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"),
         std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel"),
         std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n") }) {
    RawSocket caller(port_);
    caller.Send(kPostRequest);
    RawSocket upstreamConnection = upstream_.Accept();
    upstreamConnection.ReadMessage();
    upstreamConnection.Send(truncated);
    upstreamConnection.Close();
    CheckRefused(caller.ReadMessage(), "502", "unknown");
  }
}

// Guards against bytes after a response that become the response to the next request.
TEST(Wire, ExcessResponseBytesReachNoOtherRequest)
{
  RawSocket caller(port_);
  caller.Send(kGetRequest);
  RawSocket upstreamConnection = upstream_.Accept();
  upstreamConnection.ReadMessage();
  upstreamConnection.Send(kCompleteResponse + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
  CHECK(caller.ReadMessage().ends_with("ok"));
  caller.Send(kGetRequest);
  RawSocket nextConnection = upstream_.Accept();
  nextConnection.ReadMessage();
  nextConnection.Send(kCompleteResponse);
  CHECK(caller.ReadMessage().ends_with("ok"));
}

TEST(Wire, EachResponseFramingIsForwarded)
{
  struct Case
  {
    std::string request_;
    std::string response_;
    std::string status_;
    std::string body_;
    bool closesConnection_;
  };
  const Case cases[] = {
    { kGetRequest, "HTTP/1.1 100 Continue\r\n\r\n" + kCompleteResponse, "200", "ok", false },
    { kGetRequest, "HTTP/1.1 204 No Content\r\n\r\n", "204", "", false },
    { kGetRequest, "HTTP/1.1 304 Not Modified\r\nETag: \"1\"\r\n\r\n", "304", "", false },
    { kGetRequest, "HTTP/1.1 200 OK\r\n\r\nuntil the end", "200", "until the end", true },
    { kGetRequest,
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
      "200",
      "ok",
      false },
  };
  for (const Case& testCase : cases) {
    RawSocket caller(port_);
    caller.Send(testCase.request_.substr(0, testCase.request_.size() - 2) +
                "Connection: close\r\n\r\n");
    RawSocket upstreamConnection = upstream_.Accept();
    upstreamConnection.ReadMessage();
    upstreamConnection.Send(testCase.response_);
    if (testCase.closesConnection_) {
      upstreamConnection.Close();
    }
    const std::string response = caller.ReadToEnd();
    CHECK_TEXT(response.starts_with("HTTP/1.1 " + testCase.status_), response.c_str());
    CHECK_TEXT(response.ends_with("\r\n\r\n" + testCase.body_), response.c_str());
    upstreamConnection.Close();
    fleet_.WaitForStatus(fleet_.Instance(0), "/none", 404);
  }
}

// Guards against a HEAD request that waits for a body of its response.
TEST(Wire, HeadResponseEndsAfterItsHeader)
{
  RawSocket caller(port_);
  caller.Send("HEAD /shop/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  RawSocket upstreamConnection = upstream_.Accept();
  upstreamConnection.ReadMessage();
  upstreamConnection.Send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n");
  CHECK(caller.ReadToEnd().starts_with("HTTP/1.1 200"));
}

// Guards against a response that arrives after its request timed out and reaches another request.
TEST(Wire, ALateResponseIsDiscarded)
{
  RawSocket caller(port_);
  caller.Send("POST /shop/1 HTTP/1.1\r\nHost: a\r\nBoragepier-Deadline-Ms: 200\r\n"
              "Content-Length: 5\r\n\r\nhello");
  RawSocket upstreamConnection = upstream_.Accept();
  upstreamConnection.ReadMessage();
  CheckRefused(caller.ReadMessage(), "504", "unknown");
  upstreamConnection.Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
  caller.Send(kGetRequest);
  RawSocket nextConnection = upstream_.Accept();
  nextConnection.ReadMessage();
  nextConnection.Send(kCompleteResponse);
  CHECK(caller.ReadMessage().ends_with("ok"));
}

// Guards against an order that is refused as not run although it has run: an upstream sends its
// refusal a second time, at the point where the answer to the next attempt is expected.
TEST(Wire, SecondCopyOfARefusalIsNotTakenForTheAnswerToTheNextAttempt)
{
  const std::string refusal =
    "HTTP/1.1 503 Full\r\nBoragepier-Not-Run: true\r\nContent-Length: 0\r\n\r\n";
  RawSocket caller(port_);
  caller.Send(kPostRequest);
  RawSocket first = upstream_.Accept();
  first.ReadMessage();
  first.Send(refusal);
  WaitUntil([&] { return first.HasInput() || upstream_.HasPending(); });
  if (first.HasInput()) { // the next attempt, on the same connection
    first.ReadMessage();
    first.Send(refusal + kCompleteResponse);
  } else {
    RawSocket next = upstream_.Accept();
    next.ReadMessage();
    first.Send(refusal);
    next.Send(kCompleteResponse);
    CHECK(caller.ReadMessage().starts_with("HTTP/1.1 200"));
    return;
  }
  CHECK(!caller.ReadMessage().starts_with("HTTP/1.1 503"));
}

// Guards against an attempt that stays open after its caller closed the connection.
TEST(Wire, CancellationReachesTheUpstream)
{
  RawSocket upstreamConnection = [&] {
    RawSocket caller(port_);
    caller.Send(kGetRequest);
    RawSocket accepted = upstream_.Accept();
    accepted.ReadMessage();
    return accepted;
  }();
  STRCMP_EQUAL("", upstreamConnection.ReadToEnd().c_str());
}

// Guards against closing the connection of a caller that ended its sending side and waits: its
// unsafe request was run and got no response.
TEST(Wire, HalfClosedCallerGetsTheResponseToAnUnsafeRequest)
{
  RawSocket caller(port_);
  caller.Send(kPostRequest);
  caller.ShutdownOutput();
  RawSocket upstreamConnection = upstream_.Accept();
  upstreamConnection.ReadMessage();
  // Past the grace period in which the requests of a half-closed caller are handled as usual.
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  upstreamConnection.Send(kCompleteResponse);
  CHECK(caller.ReadToEnd().ends_with("ok"));
}

// Guards against an exit that is decided while a request is still being read: the request would
// reach the upstream in the last moments of the process and never be answered.
TEST(Wire, SlowUploadIsAnsweredDuringAPlannedStop)
{
  RunningInstance& instance =
    fleet_.AddInstance("[traffic]\ndrain-grace-ms = 100\ndrain-limit-ms = 20000\n");
  fleet_.WaitForVersion("shop", 1);
  fleet_.WaitForUpstreams(instance, "shop", 1);
  RawSocket caller(instance.callerPort_);
  caller.Send("POST /shop/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 40\r\n\r\n");
  instance.process_->Signal(SIGTERM);
  for (int i = 0; i < 40; ++i) {
    caller.Send("x");
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  WaitUntil([&] { return caller.HasInput() || upstream_.HasPending(); });
  CHECK(upstream_.HasPending());
  RawSocket upstreamConnection = upstream_.Accept();
  upstreamConnection.ReadMessage();
  upstreamConnection.Send(kCompleteResponse);
  CHECK(caller.ReadToEnd().ends_with("ok"));
  CHECK_EQUAL(0, instance.process_->WaitForExit());
}

// Guards against losing the rest of a response that the kernel had accepted when the process
// exited: bytes that the caller sends to a closed socket are answered by a reset, which discards
// it.
TEST(Wire, ResponseToASlowReaderArrivesDuringAPlannedStop)
{
  RunningInstance& instance =
    fleet_.AddInstance("[traffic]\ndrain-grace-ms = 100\ndrain-limit-ms = 20000\n");
  fleet_.WaitForVersion("shop", 1);
  fleet_.WaitForUpstreams(instance, "shop", 1);
  RawSocket caller(instance.callerPort_);
  caller.Send(kGetRequest);
  RawSocket upstreamConnection = upstream_.Accept();
  upstreamConnection.ReadMessage();
  instance.process_->Signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(400)); // past the grace period
  const std::string body(300'000, 'x');
  upstreamConnection.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                          "\r\n\r\n" + body);
  WaitUntil([&] { return caller.HasInput(); });
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  caller.Send(kGetRequest);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(caller.ReadToEnd().ends_with(body));
  caller.Close();
  CHECK_EQUAL(0, instance.process_->WaitForExit());
}

// Guards against idle or slow callers that block other callers.
TEST(Wire, SlowAndIdleCallersDoNotBlockOthers)
{
  std::vector<RawSocket> idle;
  idle.reserve(1000);
  for (int i = 0; i < 1000; ++i) {
    idle.emplace_back(port_);
    idle.back().Send(i % 2 == 0 ? "G" : "");
  }
  RawSocket caller(port_);
  caller.Send(kGetRequest);
  RawSocket upstreamConnection = upstream_.Accept();
  upstreamConnection.ReadMessage();
  upstreamConnection.Send(kCompleteResponse);
  CHECK(caller.ReadMessage().ends_with("ok"));
}

} // namespace boragepier::testing
