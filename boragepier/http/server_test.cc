#include "boragepier/http/server.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <vector>

#include "testing/wire/loop_thread.h"
#include "testing/wire/raw_socket.h"

// Last, because it redefines new, which standard headers do not expect.
#include <CppUTest/TestHarness.h>

namespace boragepier::http {

using boragepier::testing::Await;
using boragepier::testing::LoopThread;
using boragepier::testing::RawSocket;
using boragepier::testing::WaitUntil;
using std::chrono::milliseconds;
using namespace std::string_literals;

namespace {

Response
MakeResponse(int aStatus, std::string aBody)
{
  Response response;
  response.status_ = aStatus;
  response.body_ = std::move(aBody);
  return response;
}

std::string
StatusOf(const std::string& aMessage)
{
  return aMessage.substr(0, sizeof "HTTP/1.1 200" - 1);
}

// A server in its own thread. The handler answers with the request's own method, target and body,
// except for targets that start with "/wait", whose exchanges are kept for the test.
class TestServer
{
public:
  explicit TestServer(ServerLimits aLimits = {})
    : server_(
        loop_,
        aLimits,
        [this](std::shared_ptr<Exchange> aExchange) { Handle(std::move(aExchange)); },
        [](RefusalReason aReason) {
          return MakeResponse(boragepier::HttpStatusOf(aReason), std::string(ToString(aReason)));
        })
    , port_(server_.Listen("127.0.0.1", 0))
    , thread_(loop_)
  {
  }

  RawSocket Connect() const { return RawSocket(port_); }

  // Sends bytes on a new connection and reads until the server closes it.
  std::string Converse(std::string_view aBytes) const
  {
    RawSocket socket = Connect();
    socket.Send(aBytes);
    return socket.ReadToEnd();
  }

  template<typename Function>
  auto Run(Function aFunction)
  {
    return thread_.Run(std::move(aFunction));
  }

  std::shared_ptr<Exchange> NextWaiting()
  {
    std::unique_lock lock(mutex_);
    if (!arrived_.wait_for(lock, std::chrono::seconds(30), [this] { return !waiting_.empty(); })) {
      throw boragepier::testing::WireError("no request reached the handler");
    }
    auto exchange = std::move(waiting_.front());
    waiting_.pop_front();
    return exchange;
  }

  void Respond(const std::shared_ptr<Exchange>& aExchange, std::string aBody)
  {
    Run([&] { aExchange->Respond(MakeResponse(200, std::move(aBody))); });
  }

  Server& Get() { return server_; }

private:
  void Handle(std::shared_ptr<Exchange> aExchange)
  {
    const Request& request = aExchange->GetRequest();
    if (request.target_.starts_with("/wait")) {
      const std::lock_guard lock(mutex_);
      waiting_.push_back(std::move(aExchange));
      arrived_.notify_all();
      return;
    }
    std::string body = request.method_ + " " + request.target_ + " " + request.body_;
    if (const auto trailer = request.headers_.Get("X-Trailer")) {
      body += " trailer";
    }
    aExchange->Respond(MakeResponse(200, std::move(body)));
  }

  net::EventLoop loop_;
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::deque<std::shared_ptr<Exchange>> waiting_;
  Server server_;
  std::uint16_t port_;
  LoopThread thread_;
};

constexpr std::string_view kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::string_view kGetWait = "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

TEST_GROUP(Server){};

// Guards against chunked bodies being misread, the fault of the server that this one replaces, and
// against trailer fields that pass for header fields.
TEST(Server, ChunkedBodyIsJoinedAndTrailerDropped)
{
  TestServer server;
  RawSocket socket = server.Connect();
  socket.Send("POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab");
  socket.Send("c\r\nA;x=y\r\n0123456789\r\n0\r\nX-Trailer: 1\r\n\r\n");
  socket.Send(kGet);
  STRCMP_CONTAINS("\r\n\r\nPOST /c abc0123456789", socket.ReadMessage().c_str());
  STRCMP_CONTAINS("\r\n\r\nGET /a ", socket.ReadMessage().c_str());
}

// Guards against a request whose end two parties could place differently (request smuggling), and
// against malformed input that is answered with 500 or not at all.
TEST(Server, MalformedRequestsAreRefusedAndTheConnectionIsClosed)
{
  const TestServer server;
  const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
  const std::vector<std::string> requests = {
    post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
    post + "Transfer-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc",
    post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    post + "Content-Length: 3, 4\r\n\r\nabcd",
    post + "Content-Length: -3\r\n\r\nabc",
    post + "Content-Length: +3\r\n\r\nabc",
    post + "Content-Length: 0x3\r\n\r\nabc",
    post + "Content-Length: 18446744073709551619\r\n\r\nabc",
    post + "Content-Length: \r\n\r\nabc",
    post + "Transfer-Encoding: gzip\r\n\r\n",
    post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    post + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
    post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n0\r\n\r\n",
    post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    post + "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
    post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
    post + "Transfer-Encoding: chunked\r\n\r\n3;x=\"y\r\nabc\r\n0\r\n\r\n",
    post + "Transfer-Encoding: chunked\r\n\r\n3;" + std::string(100'000, 'x'),
    "GET / HTTP/1.1\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    "GET / HTTP/2.0\r\nHost: h\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: h\r\nNo colon\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: h\r\nName : space\r\n\r\n",
    "GET  / HTTP/1.1\r\nHost: h\r\n\r\n",
    "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
    "GET /\0 HTTP/1.1\r\nHost: h\r\n\r\n"s,
    "\x16\x03\x01\x02\r\n\r\n",
  };
  for (const std::string& request : requests) {
    const std::string answer = server.Converse(request + std::string(kGet));
    STRCMP_EQUAL_TEXT("HTTP/1.1 400", StatusOf(answer).c_str(), request.c_str());
    STRCMP_CONTAINS("Connection: close\r\n", answer.c_str());
    // The bytes that follow a refused request are not taken for another one.
    CHECK_TEXT(answer.ends_with("malformed-request"), request.c_str());
  }
}

// Guards against a header that passes the limit because it arrives in pieces.
TEST(Server, HeaderPastTheLimitIsRefusedHoweverItArrives)
{
  ServerLimits limits;
  limits.maxHeader_ = 1000;
  const TestServer server(limits);
  const std::string start = "GET / HTTP/1.1\r\nHost: h\r\n";
  STRCMP_EQUAL("HTTP/1.1 431",
               StatusOf(server.Converse(start + "X: " + std::string(5000, 'x'))).c_str());
  STRCMP_EQUAL("HTTP/1.1 431", StatusOf(server.Converse("GET /" + std::string(5000, 'x'))).c_str());
  RawSocket socket = server.Connect();
  socket.Send(start);
  for (int i = 0; i < 100; ++i) {
    socket.Send("X: 0123456789012345678\r\n");
  }
  STRCMP_EQUAL("HTTP/1.1 431", StatusOf(socket.ReadToEnd()).c_str());
  const std::string fitting =
    start + "X: " + std::string(900, 'x') + "\r\nConnection: close\r\n\r\n";
  STRCMP_EQUAL("HTTP/1.1 200", StatusOf(server.Converse(fitting)).c_str());
}

// Guards against the refusal being lost by a reset because the caller is still sending.
TEST(Server, BodyPastTheLimitIsRefusedAndTheRefusalArrives)
{
  ServerLimits limits;
  limits.maxBody_ = 1000;
  const TestServer server(limits);
  const std::string body(300'000, 'x');
  const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
  STRCMP_EQUAL("HTTP/1.1 413",
               StatusOf(server.Converse(post + "Content-Length: 300000\r\n\r\n" + body)).c_str());
  STRCMP_EQUAL(
    "HTTP/1.1 413",
    StatusOf(server.Converse(post + "Transfer-Encoding: chunked\r\n\r\n493e0\r\n" + body)).c_str());
}

// Guards against answers of pipelined requests being exchanged or lost.
TEST(Server, PipelinedRequestsAreAnsweredInOrder)
{
  TestServer server;
  RawSocket socket = server.Connect();
  std::string requests;
  for (int i = 0; i < 200; ++i) {
    const std::string path = (i % 100 == 0 ? "/wait" : "/") + std::to_string(i);
    requests += "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }
  socket.Send(requests);
  for (int i = 0; i < 200; ++i) {
    if (i % 100 == 0) {
      server.Respond(server.NextWaiting(), "late");
      STRCMP_CONTAINS("\r\n\r\nlate", socket.ReadMessage().c_str());
    } else {
      const std::string expected = "\r\n\r\nGET /" + std::to_string(i) + " ";
      STRCMP_CONTAINS(expected.c_str(), socket.ReadMessage().c_str());
    }
  }
}

// Guards against work for a caller that has left.
TEST(Server, CallerThatLeavesTriggersOnAbandoned)
{
  TestServer server;
  for (const bool reset : { false, true }) {
    RawSocket socket = server.Connect();
    socket.Send(kGetWait);
    const auto exchange = server.NextWaiting();
    std::promise<void> abandoned;
    server.Run([&] { exchange->OnAbandoned([&] { abandoned.set_value(); }); });
    if (reset) {
      socket.Reset();
    } else {
      socket.Close();
    }
    Await(abandoned.get_future());
    server.Respond(exchange, "ignored");
    std::promise<void> late;
    server.Run([&] { exchange->OnAbandoned([&] { late.set_value(); }); });
    Await(late.get_future());
    LONGS_EQUAL(0, server.Run([&] { return server.Get().RequestsInProgress(); }));
  }
}

// Guards against a caller that holds a connection open by sending a byte at a time.
TEST(Server, SlowCallerIsCutOffAndHoldsUpNobody)
{
  ServerLimits limits;
  limits.requestTimeout_ = milliseconds(300);
  limits.maxHeader_ = 1 << 20; // not reached unless each byte extends the time
  const TestServer server(limits);
  RawSocket slow = server.Connect();
  RawSocket other = server.Connect();
  slow.Send("GET / HTTP/1.1\r\nX: ");
  // Each answer to the other caller shows that the slow one holds nothing up.
  while (!slow.HasInput()) {
    slow.Send("x");
    other.Send(kGet);
    STRCMP_EQUAL("HTTP/1.1 200", StatusOf(other.ReadMessage()).c_str());
  }
  STRCMP_EQUAL("", slow.ReadToEnd().c_str());
}

// Guards against a caller that never reads a long answer.
TEST(Server, CallerThatDoesNotReadIsCutOff)
{
  ServerLimits limits;
  limits.requestTimeout_ = milliseconds(300);
  TestServer server(limits);
  RawSocket socket = server.Connect();
  socket.Send(kGetWait);
  std::string body; // more than the buffers of both systems hold
  body.resize(50'000'000, 'x');
  const auto exchange = server.NextWaiting();
  // In one task, as the time limit may pass before another one runs.
  const std::size_t inProgress = server.Run([&] {
    exchange->Respond(MakeResponse(200, body));
    return server.Get().RequestsInProgress();
  });
  LONGS_EQUAL(1, inProgress);
  WaitUntil([&] { return server.Run([&] { return server.Get().ConnectionCount(); }) == 0; });
  LONGS_EQUAL(0, server.Run([&] { return server.Get().RequestsInProgress(); }));
  CHECK(socket.ReadToEnd().size() < 50'000'000);
}

TEST(Server, LongAnswerArrivesCompletely)
{
  TestServer server;
  RawSocket socket = server.Connect();
  socket.Send(kGetWait);
  server.Respond(server.NextWaiting(), std::string(5'000'000, 'x'));
  CHECK(socket.ReadMessage().ends_with(std::string(5'000'000, 'x')));
  socket.Send(kGet);
  STRCMP_EQUAL("HTTP/1.1 200", StatusOf(socket.ReadMessage()).c_str());
}

// Guards against idle callers that take service from others.
TEST(Server, ThousandIdleConnectionsHoldUpNobody)
{
  TestServer server;
  std::vector<RawSocket> idle;
  idle.reserve(1000);
  for (int i = 0; i < 1000; ++i) {
    idle.push_back(server.Connect());
  }
  RawSocket socket = server.Connect();
  for (int i = 0; i < 100; ++i) {
    socket.Send(kGet);
    STRCMP_EQUAL("HTTP/1.1 200", StatusOf(socket.ReadMessage()).c_str());
  }
  LONGS_EQUAL(1001, server.Run([&] { return server.Get().ConnectionCount(); }));
  idle.back().Send(kGet);
  STRCMP_EQUAL("HTTP/1.1 200", StatusOf(idle.back().ReadMessage()).c_str());
}

TEST(Server, IdleConnectionIsClosedAfterTheIdleTimeout)
{
  ServerLimits limits;
  limits.idleTimeout_ = milliseconds(300);
  const TestServer server(limits);
  STRCMP_EQUAL("", server.Connect().ReadToEnd().c_str());
  // After an answer the time-out starts anew.
  const std::string answer = server.Converse(kGet);
  CHECK(answer.starts_with("HTTP/1.1 200") && answer.ends_with("GET /a "));
}

// Guards against a connection above the limit that is neither served nor refused.
TEST(Server, ConnectionAboveTheLimitIsRefused)
{
  ServerLimits limits;
  limits.maxConnections_ = 2;
  TestServer server(limits);
  RawSocket first = server.Connect();
  RawSocket second = server.Connect();
  second.Send(kGet);
  second.ReadMessage();
  const std::string answer = server.Converse(kGet);
  STRCMP_EQUAL("HTTP/1.1 503", StatusOf(answer).c_str());
  CHECK(answer.ends_with("overloaded"));
  first.Close();
  WaitUntil([&] { return server.Run([&] { return server.Get().ConnectionCount(); }) == 1; });
  RawSocket third = server.Connect();
  third.Send(kGet);
  STRCMP_EQUAL("HTTP/1.1 200", StatusOf(third.ReadMessage()).c_str());
}

// Guards against a caller that waits for 100 Continue until its own time-out.
TEST(Server, ExpectContinueIsAnswered)
{
  const TestServer server;
  RawSocket socket = server.Connect();
  socket.Send("POST /e HTTP/1.1\r\nHost: h\r\nExpect: 100-Continue\r\nContent-Length: 2\r\n\r\n");
  STRCMP_EQUAL("HTTP/1.1 100 Continue\r\n\r\n", socket.ReadUntil("\r\n\r\n").c_str());
  socket.Send("xy");
  STRCMP_CONTAINS("\r\n\r\nPOST /e xy", socket.ReadMessage().c_str());
  const std::string tooLarge =
    "POST /e HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 9999999\r\n\r\n";
  STRCMP_EQUAL("HTTP/1.1 413", StatusOf(server.Converse(tooLarge)).c_str());
}

// Guards against a drain that cuts off a request: one in progress, or one that a caller sends on an
// idle connection before it learns of the drain.
TEST(Server, DrainCompletesRequestsOnOpenConnections)
{
  TestServer server;
  RawSocket idle = server.Connect();
  idle.Send(kGet);
  idle.ReadMessage();
  RawSocket busy = server.Connect();
  busy.Send(kGetWait);
  const auto exchange = server.NextWaiting();
  server.Run([&] { server.Get().BeginDrain(); });
  idle.Send(kGet);
  const std::string late = idle.ReadToEnd();
  STRCMP_CONTAINS("Connection: close\r\n", late.c_str());
  CHECK(late.ends_with("GET /a "));
  server.Respond(exchange, "done");
  const std::string answer = busy.ReadToEnd();
  STRCMP_CONTAINS("Connection: close\r\n", answer.c_str());
  CHECK(answer.ends_with("done"));
  // New connections are still served.
  CHECK(server.Converse(kGet).ends_with("GET /a "));
}

TEST(Server, CloseIdleClosesOnlyConnectionsWithoutARequest)
{
  TestServer server;
  RawSocket idle = server.Connect();
  idle.Send(kGet);
  idle.ReadMessage();
  RawSocket busy = server.Connect();
  busy.Send(kGetWait);
  const auto exchange = server.NextWaiting();
  server.Run([&] {
    server.Get().BeginDrain();
    server.Get().CloseIdle();
  });
  STRCMP_EQUAL("", idle.ReadToEnd().c_str());
  server.Respond(exchange, "done");
  CHECK(busy.ReadToEnd().ends_with("done"));
}

TEST(Server, HeadHasNoBodyAndHttp10Closes)
{
  const TestServer server;
  RawSocket socket = server.Connect();
  socket.Send("HEAD /h HTTP/1.1\r\nHost: h\r\n\r\n");
  STRCMP_CONTAINS("Content-Length: 8\r\n", socket.ReadUntil("\r\n\r\n").c_str());
  socket.Send(kGet);
  CHECK(socket.ReadMessage().starts_with("HTTP/1.1 200"));
  STRCMP_CONTAINS("Connection: close", server.Converse("GET / HTTP/1.0\r\n\r\n").c_str());
  RawSocket kept = server.Connect();
  for (int i = 0; i < 2; ++i) {
    kept.Send("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
    STRCMP_CONTAINS("Connection: keep-alive", kept.ReadMessage().c_str());
  }
}

// Guards against a caller that waits for ever for an answer that no one will send.
TEST(Server, AbortedOrForgottenExchangeClosesTheConnection)
{
  TestServer server;
  RawSocket aborted = server.Connect();
  aborted.Send(kGetWait);
  auto exchange = server.NextWaiting();
  server.Run([&] { exchange->Abort(); });
  STRCMP_EQUAL("", aborted.ReadToEnd().c_str());
  RawSocket forgotten = server.Connect();
  forgotten.Send(kGetWait);
  exchange = server.NextWaiting();
  server.Run([&] { exchange.reset(); });
  STRCMP_EQUAL("", forgotten.ReadToEnd().c_str());
}

// Guards against header injection by a value that holds a line break.
TEST(Server, LineBreakInAHeaderValueAddsNoField)
{
  TestServer server;
  RawSocket socket = server.Connect();
  socket.Send(kGetWait);
  const auto exchange = server.NextWaiting();
  Response response = MakeResponse(200, "x");
  response.headers_.Add("X-Value", "a\r\nX-Injected: 1");
  server.Run([&] { exchange->Respond(response); });
  CHECK(socket.ReadMessage().find("\nX-Injected") == std::string::npos);
}

} // namespace boragepier::http
