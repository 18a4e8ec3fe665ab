#include <string>

#include "testing/e2e/fleet.h"
#include "testing/wire/raw_socket.h"

#include <CppUTest/TestHarness.h>

namespace boragepier::testing {

namespace {

const std::string kGet = "GET /shop/1 HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string kPost = "POST /shop/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello";
const std::string kWhole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

void
CheckContains(const std::string& aText, const std::string& aPart)
{
  CHECK_TEXT(aText.find(aPart) != std::string::npos, aText.c_str());
}

} // namespace

// The real binary between a caller and an upstream whose bytes the test writes.
TEST_GROUP(Wire)
{
  Fleet fleet_;
  RawListener upstream_;
  std::uint16_t port_ = 0;

  void setup() override
  {
    RunningInstance& instance = fleet_.AddInstance();
    port_ = instance.caller_;
    CHECK_EQUAL(0, fleet_.Publish("shop", ServiceText("shop", "/shop/", "[budget]\nhedges = 0\n")));
    fleet_.WaitForVersion("shop", 1);
    fleet_.RegisterUpstream("raw", "shop", upstream_.Port());
    fleet_.WaitForUpstreams(instance, "shop", 1);
  }

  std::string Converse(const std::string& aBytes)
  {
    RawSocket caller(port_);
    caller.Send(aBytes);
    return caller.ReadMessage();
  }

  void CheckRefused(
    const std::string& aAnswer, const std::string& aStatus, const std::string& aOutcome)
  {
    CHECK_TEXT(aAnswer.starts_with("HTTP/1.1 " + aStatus), aAnswer.c_str());
    CheckContains(aAnswer, "Boragepier-Outcome: " + aOutcome + "\r\n");
    CheckContains(aAnswer, "application/problem+json");
  }
};

// Guards against request smuggling and against malformed requests that get 500 or silence.
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
    const std::string answer = caller.ReadToEnd();
    CheckRefused(answer, "400", "not-run");
    CHECK_TEXT(answer.find("HTTP/1.1", 8) == std::string::npos, answer.c_str());
  }
  CheckRefused(Converse("\x01garbage\r\n\r\n"), "400", "not-run");
  CheckRefused(
    Converse("GET /shop/1 HTTP/1.1\r\nHost: a\r\nX: " + std::string(20000, 'x') + "\r\n\r\n"),
    "431",
    "not-run");
  CheckRefused(Converse(head + "Content-Length: 100000000\r\n\r\n"), "413", "not-run");
  CHECK(!upstream_.HasPending());
}

// Guards against a chunked body that is read as empty and whose bytes become the next request.
TEST(Wire, ChunkedRequestBodiesArriveWhole)
{
  RawSocket caller(port_);
  caller.Send("POST /shop/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
              "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n");
  RawSocket attempt = upstream_.Accept();
  CHECK(attempt.ReadMessage().ends_with("\r\n\r\nhello"));
  attempt.Send(kWhole);
  CHECK(caller.ReadMessage().ends_with("ok"));
}

// Guards against a forged field of a caller or an upstream, and forwarded hop-by-hop fields.
TEST(Wire, ReservedAndHopByHopFieldsAreRemoved)
{
  RawSocket caller(port_);
  caller.Send("GET /shop/1 HTTP/1.1\r\nHost: a\r\nBoragepier-Request-Id: forged\r\n"
              "Boragepier-Outcome: forged\r\nConnection: X-Private\r\nX-Private: 1\r\n\r\n");
  RawSocket attempt = upstream_.Accept();
  const std::string request = attempt.ReadMessage();
  CHECK_TEXT(request.find("forged") == std::string::npos, request.c_str());
  CHECK_TEXT(request.find("X-Private") == std::string::npos, request.c_str());
  CheckContains(request, "Boragepier-Deadline-Ms: ");
  attempt.Send("HTTP/1.1 200 OK\r\nBoragepier-Outcome: not-run\r\nContent-Length: 2\r\n\r\nok");
  const std::string answer = caller.ReadMessage();
  CheckContains(answer, "Boragepier-Outcome: answered\r\n");
  CHECK_TEXT(answer.find("not-run") == std::string::npos, answer.c_str());
}

// Guards against a client library that sends a POST again when a kept-alive connection closes.
TEST(Wire, APostReadWithoutAnAnswerIsNotSentAgain)
{
  RawSocket first(port_);
  first.Send(kGet);
  RawSocket attempt = upstream_.Accept();
  attempt.ReadMessage();
  attempt.Send(kWhole);
  first.ReadMessage();
  RawSocket second(port_);
  second.Send(kPost);
  attempt.ReadMessage();
  attempt.Close();
  CheckRefused(second.ReadMessage(), "502", "unknown");
  CHECK(!upstream_.HasPending());
}

// Guards against an answer that was cut off and is passed on as complete.
TEST(Wire, ATruncatedAnswerIsNeverPassedOnAsWhole)
{
  for (const std::string& part :
       { std::string("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"),
         std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel"),
         std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n") }) {
    RawSocket caller(port_);
    caller.Send(kPost);
    RawSocket attempt = upstream_.Accept();
    attempt.ReadMessage();
    attempt.Send(part);
    attempt.Close();
    CheckRefused(caller.ReadMessage(), "502", "unknown");
  }
}

// Guards against bytes behind an answer that become the answer to the next request.
TEST(Wire, BytesBehindAnAnswerReachNoOtherRequest)
{
  RawSocket caller(port_);
  caller.Send(kGet);
  RawSocket attempt = upstream_.Accept();
  attempt.ReadMessage();
  attempt.Send(kWhole + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
  CHECK(caller.ReadMessage().ends_with("ok"));
  caller.Send(kGet);
  RawSocket next = upstream_.Accept();
  next.ReadMessage();
  next.Send(kWhole);
  CHECK(caller.ReadMessage().ends_with("ok"));
}

TEST(Wire, EachKindOfAnswerArrivesAsItIs)
{
  struct Case
  {
    std::string request_;
    std::string answer_;
    std::string status_;
    std::string body_;
    bool close_;
  };
  const Case cases[] = {
    { kGet, "HTTP/1.1 100 Continue\r\n\r\n" + kWhole, "200", "ok", false },
    { kGet, "HTTP/1.1 204 No Content\r\n\r\n", "204", "", false },
    { kGet, "HTTP/1.1 304 Not Modified\r\nETag: \"1\"\r\n\r\n", "304", "", false },
    { kGet, "HTTP/1.1 200 OK\r\n\r\nuntil the end", "200", "until the end", true },
    { kGet,
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
      "200",
      "ok",
      false },
  };
  for (const Case& one : cases) {
    RawSocket caller(port_);
    caller.Send(one.request_.substr(0, one.request_.size() - 2) + "Connection: close\r\n\r\n");
    RawSocket attempt = upstream_.Accept();
    attempt.ReadMessage();
    attempt.Send(one.answer_);
    if (one.close_) {
      attempt.Close();
    }
    const std::string answer = caller.ReadToEnd();
    CHECK_TEXT(answer.starts_with("HTTP/1.1 " + one.status_), answer.c_str());
    CHECK_TEXT(answer.ends_with("\r\n\r\n" + one.body_), answer.c_str());
    attempt.Close();
    fleet_.WaitForStatus(fleet_.Instance(0), "/none", 404);
  }
}

// Guards against a HEAD that waits for a body that never comes.
TEST(Wire, HeadEndsWithItsHeader)
{
  RawSocket caller(port_);
  caller.Send("HEAD /shop/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  RawSocket attempt = upstream_.Accept();
  attempt.ReadMessage();
  attempt.Send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n");
  CHECK(caller.ReadToEnd().starts_with("HTTP/1.1 200"));
}

// Guards against an answer that arrives after its request timed out and reaches another request.
TEST(Wire, ALateAnswerReachesNobody)
{
  RawSocket caller(port_);
  caller.Send("POST /shop/1 HTTP/1.1\r\nHost: a\r\nBoragepier-Deadline-Ms: 200\r\n"
              "Content-Length: 5\r\n\r\nhello");
  RawSocket attempt = upstream_.Accept();
  attempt.ReadMessage();
  CheckRefused(caller.ReadMessage(), "504", "unknown");
  attempt.Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
  caller.Send(kGet);
  RawSocket next = upstream_.Accept();
  next.ReadMessage();
  next.Send(kWhole);
  CHECK(caller.ReadMessage().ends_with("ok"));
}

// Guards against an upstream that works on for a caller that has left.
TEST(Wire, CancellationReachesTheUpstream)
{
  RawSocket attempt = [&] {
    RawSocket caller(port_);
    caller.Send(kGet);
    RawSocket accepted = upstream_.Accept();
    accepted.ReadMessage();
    return accepted;
  }();
  STRCMP_EQUAL("", attempt.ReadToEnd().c_str());
}

// Guards against callers that hold up others: idle ones, slow ones, and those that left.
TEST(Wire, SlowAndIdleCallersHoldUpNobody)
{
  std::vector<RawSocket> idle;
  idle.reserve(1000);
  for (int i = 0; i < 1000; ++i) {
    idle.emplace_back(port_);
    idle.back().Send(i % 2 == 0 ? "G" : "");
  }
  RawSocket caller(port_);
  caller.Send(kGet);
  RawSocket attempt = upstream_.Accept();
  attempt.ReadMessage();
  attempt.Send(kWhole);
  CHECK(caller.ReadMessage().ends_with("ok"));
}

} // namespace boragepier::testing
