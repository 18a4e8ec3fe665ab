#include "boragepier/http/server.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <vector>

#include "testing/wire/loop_thread.h"
#include "testing/wire/raw_socket.h"

// Included last, because it defines a macro for new that breaks standard headers.
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
StatusLineStart(const std::string& aMessage)
{
  return aMessage.substr(0, sizeof "HTTP/1.1 200" - 1);
}

// A server in its own thread. The handler echoes the method, target and body of a request.
// Exchanges whose target starts with "/wait" are held until the test responds.
class ServerFixture
{
public:
  explicit ServerFixture(ServerLimits aLimits = {}, std::shared_ptr<BodyBudget> aBudget = nullptr)
    : server_(
        loop_,
        aLimits,
        [this](std::shared_ptr<Exchange> aExchange) { Handle(std::move(aExchange)); },
        [](RefusalReason aReason) {
          return MakeResponse(boragepier::HttpStatusOf(aReason), std::string(ToString(aReason)));
        },
        std::move(aBudget))
    , port_(server_.Listen("127.0.0.1", 0))
    , thread_(loop_)
  {
  }

  RawSocket Connect() const { return RawSocket(port_); }

  // Sends bytes on a new connection and reads until the server closes it.
  std::string SendAndReadToEnd(std::string_view aBytes) const
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

  std::shared_ptr<Exchange> TakeHeldExchange()
  {
    std::unique_lock lock(mutex_);
    if (!exchangeHeld_.wait_for(
          lock, std::chrono::seconds(30), [this] { return !heldExchanges_.empty(); })) {
      throw boragepier::testing::WireError("no request reached the handler");
    }
    auto exchange = std::move(heldExchanges_.front());
    heldExchanges_.pop_front();
    return exchange;
  }

  void Respond(const std::shared_ptr<Exchange>& aExchange, std::string aBody)
  {
    Run([&] { aExchange->Respond(MakeResponse(200, std::move(aBody))); });
  }

  Server& GetServer() { return server_; }

private:
  void Handle(std::shared_ptr<Exchange> aExchange)
  {
    const Request& request = aExchange->GetRequest();
    if (request.target_.starts_with("/wait")) {
      const std::lock_guard lock(mutex_);
      heldExchanges_.push_back(std::move(aExchange));
      exchangeHeld_.notify_all();
      return;
    }
    if (request.target_ == "/throw") {
      throw std::runtime_error("handler");
    }
    if (request.target_ == "/status") {
      aExchange->Respond(MakeResponse(5000, "")); // the writer rejects this status
      return;
    }
    std::string body = request.method_ + " " + request.target_ + " " + request.body_.Text();
    if (const auto trailer = request.headers_.Get("X-Trailer")) {
      body += " trailer";
    }
    aExchange->Respond(MakeResponse(200, std::move(body)));
  }

  net::EventLoop loop_;
  std::mutex mutex_;
  std::condition_variable exchangeHeld_;
  std::deque<std::shared_ptr<Exchange>> heldExchanges_;
  Server server_;
  std::uint16_t port_;
  LoopThread thread_;
};

constexpr std::string_view kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::string_view kGetHeld = "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

TEST_GROUP(Server){};

/// A server whose limits change while connections are open.
TEST_GROUP(ChangedLimits)
{
  ServerLimits limits_;
  ServerFixture server_{ limits_ };

  void SetLimits()
  {
    server_.Run([&] { server_.GetServer().SetLimits(limits_); });
  }

  // Returns a connection on which a request was answered.
  RawSocket ConnectAndUse()
  {
    RawSocket socket = server_.Connect();
    socket.Send(kGet);
    socket.ReadMessage();
    return socket;
  }

  static std::string PostOf(std::size_t aBytes)
  {
    return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(aBytes) + "\r\n\r\n" +
           std::string(aBytes, 'x');
  }
};

// Guards against misreading chunked bodies and against treating trailer fields as header fields.
TEST(Server, ChunkedBodyIsDecodedAndTrailerDropped)
{
  ServerFixture server;
  RawSocket socket = server.Connect();
  socket.Send("POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab");
  socket.Send("c\r\nA;x=y\r\n0123456789\r\n0\r\nX-Trailer: 1\r\n\r\n");
  socket.Send(kGet);
  STRCMP_CONTAINS("\r\n\r\nPOST /c abc0123456789", socket.ReadMessage().c_str());
  STRCMP_CONTAINS("\r\n\r\nGET /a ", socket.ReadMessage().c_str());
}

// Guards against request smuggling, where two parties see the end of a request in different places,
// and against responding to malformed input with 500 or not at all.
TEST(Server, MalformedRequestsAreRefusedAndTheConnectionIsClosed)
{
  const ServerFixture server;
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
    const std::string response = server.SendAndReadToEnd(request + std::string(kGet));
    STRCMP_EQUAL_TEXT("HTTP/1.1 400", StatusLineStart(response).c_str(), request.c_str());
    STRCMP_CONTAINS("Connection: close\r\n", response.c_str());
    // The bytes after a refused request are not parsed as another request.
    CHECK_TEXT(response.ends_with("malformed-request"), request.c_str());
  }
}

// Guards against a field that the limit of the settings allows and at which the parser throws.
TEST(Server, FieldLongerThanTheParserHoldsIsRefused)
{
  ServerFixture server({ .maxHeader_ = 1 << 20 });
  for (const std::string& field :
       { "X: " + std::string(70000, 'x'), std::string(70000, 'x') + ": x" }) {
    CHECK_EQUAL("HTTP/1.1 431"s,
                StatusLineStart(
                  server.SendAndReadToEnd("GET / HTTP/1.1\r\nHost: a\r\n" + field + "\r\n\r\n")));
  }
}

// Guards against accepting an oversized header because it arrives in pieces.
TEST(Server, HeaderAboveTheLimitIsRefusedAlsoInPieces)
{
  ServerLimits limits;
  limits.maxHeader_ = 1000;
  const ServerFixture server(limits);
  const std::string start = "GET / HTTP/1.1\r\nHost: h\r\n";
  STRCMP_EQUAL(
    "HTTP/1.1 431",
    StatusLineStart(server.SendAndReadToEnd(start + "X: " + std::string(5000, 'x'))).c_str());
  STRCMP_EQUAL("HTTP/1.1 431",
               StatusLineStart(server.SendAndReadToEnd("GET /" + std::string(5000, 'x'))).c_str());
  RawSocket socket = server.Connect();
  socket.Send(start);
  for (int i = 0; i < 100; ++i) {
    socket.Send("X: 0123456789012345678\r\n");
  }
  STRCMP_EQUAL("HTTP/1.1 431", StatusLineStart(socket.ReadToEnd()).c_str());
  const std::string withinLimit =
    start + "X: " + std::string(900, 'x') + "\r\nConnection: close\r\n\r\n";
  STRCMP_EQUAL("HTTP/1.1 200", StatusLineStart(server.SendAndReadToEnd(withinLimit)).c_str());
}

// Guards against losing the refusal to a connection reset while the caller is still sending.
TEST(Server, BodyAboveTheLimitIsRefusedAndTheResponseArrives)
{
  ServerLimits limits;
  limits.maxBody_ = 1000;
  const ServerFixture server(limits);
  const std::string body(300'000, 'x');
  const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
  STRCMP_EQUAL(
    "HTTP/1.1 413",
    StatusLineStart(server.SendAndReadToEnd(post + "Content-Length: 300000\r\n\r\n" + body))
      .c_str());
  STRCMP_EQUAL("HTTP/1.1 413",
               StatusLineStart(server.SendAndReadToEnd(
                                 post + "Transfer-Encoding: chunked\r\n\r\n493e0\r\n" + body))
                 .c_str());
}

// Guards against refusals of which neither logs nor metrics show which limit was the cause.
TEST(Server, RefusedRequestIsReportedWithItsLimits)
{
  ServerLimits limits;
  limits.maxHeader_ = 2000;
  limits.maxBody_ = 1000;
  std::vector<ServerRefusal> refusals; // used by the loop thread only
  ServerFixture server(limits);
  server.Run([&] {
    server.GetServer().SetRefusedCallback(
      [&](const ServerRefusal& aRefusal) { refusals.push_back(aRefusal); });
  });
  const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
  server.SendAndReadToEnd(post + "Content-Length: 1001\r\n\r\n");
  server.SendAndReadToEnd(post + "X: " + std::string(3000, 'x') + "\r\n\r\n");
  server.SendAndReadToEnd("no request\r\n\r\n");
  const auto reported = server.Run([&] { return refusals; });
  CHECK_EQUAL(3U, reported.size());
  CHECK(reported[0].reason_ == RefusalReason::BodyTooLarge);
  CHECK(reported[0].declaredBody_ == 1001U);
  CHECK_EQUAL(1000U, reported[0].maxBody_);
  CHECK(reported[1].reason_ == RefusalReason::HeaderTooLarge);
  CHECK(!reported[1].declaredBody_);
  CHECK_EQUAL(2000U, reported[1].maxHeader_);
  CHECK(reported[2].reason_ == RefusalReason::MalformedRequest);
}

// Guards against reordering or losing responses to pipelined requests.
TEST(Server, PipelinedRequestsAreAnsweredInOrder)
{
  ServerFixture server;
  RawSocket socket = server.Connect();
  std::string requests;
  for (int i = 0; i < 200; ++i) {
    const std::string path = (i % 100 == 0 ? "/wait" : "/") + std::to_string(i);
    requests += "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }
  socket.Send(requests);
  for (int i = 0; i < 200; ++i) {
    if (i % 100 == 0) {
      server.Respond(server.TakeHeldExchange(), "late");
      STRCMP_CONTAINS("\r\n\r\nlate", socket.ReadMessage().c_str());
    } else {
      const std::string expected = "\r\n\r\nGET /" + std::to_string(i) + " ";
      STRCMP_CONTAINS(expected.c_str(), socket.ReadMessage().c_str());
    }
  }
}

// Guards against continuing work for a caller that has disconnected.
TEST(Server, CallerDisconnectRunsTheAbandonedCallback)
{
  ServerFixture server;
  for (const bool reset : { false, true }) {
    RawSocket socket = server.Connect();
    socket.Send(kGetHeld);
    const auto exchange = server.TakeHeldExchange();
    std::promise<CallerEnd> abandoned;
    server.Run(
      [&] { exchange->SetAbandonedCallback([&](CallerEnd aEnd) { abandoned.set_value(aEnd); }); });
    if (reset) {
      socket.Reset();
    } else {
      socket.Close();
    }
    const CallerEnd end = reset ? CallerEnd::Gone : CallerEnd::HalfClosed;
    CHECK(Await(abandoned.get_future()) == end);
    std::promise<CallerEnd> late;
    server.Run(
      [&] { exchange->SetAbandonedCallback([&](CallerEnd aEnd) { late.set_value(aEnd); }); });
    CHECK(Await(late.get_future()) == end);
    server.Respond(exchange, "ignored");
    LONGS_EQUAL(0, server.Run([&] { return server.GetServer().ConnectionCount(); }));
  }
}

// Guards against continuing work for a caller that resets the connection after it has ended its
// sending side.
TEST(Server, ResetAfterAHalfCloseRunsTheAbandonedCallback)
{
  ServerLimits limits;
  limits.halfCloseGrace_ = std::chrono::hours(1);
  ServerFixture server(limits);
  RawSocket socket = server.Connect();
  socket.Send(kGetHeld);
  const auto exchange = server.TakeHeldExchange();
  std::promise<CallerEnd> abandoned;
  server.Run(
    [&] { exchange->SetAbandonedCallback([&](CallerEnd aEnd) { abandoned.set_value(aEnd); }); });
  socket.ShutdownOutput();
  server.SendAndReadToEnd("GET / HTTP/1.0\r\n\r\n");
  socket.Reset();
  CHECK(Await(abandoned.get_future()) == CallerEnd::Gone);
  LONGS_EQUAL(0, server.Run([&] { return server.GetServer().ConnectionCount(); }));
}

// Guards against running requests of a caller that may have gone long ago: they were pipelined
// behind a slow one.
TEST(Server, PipelinedRequestsAreRefusedAfterTheGracePeriodOfAHalfClose)
{
  ServerLimits limits;
  limits.halfCloseGrace_ = milliseconds(1);
  ServerFixture server(limits);
  RawSocket socket = server.Connect();
  socket.Send(std::string(kGetHeld) + std::string(kGet) + std::string(kGetHeld));
  const auto exchange = server.TakeHeldExchange();
  std::promise<CallerEnd> abandoned;
  server.Run(
    [&] { exchange->SetAbandonedCallback([&](CallerEnd aEnd) { abandoned.set_value(aEnd); }); });
  socket.ShutdownOutput();
  CHECK(Await(abandoned.get_future()) == CallerEnd::HalfClosed);
  server.Respond(exchange, "first");
  STRCMP_CONTAINS("\r\n\r\nfirst", socket.ReadMessage().c_str());
  STRCMP_CONTAINS("\r\n\r\ncaller-left", socket.ReadMessage().c_str());
  const std::string last = socket.ReadToEnd();
  STRCMP_CONTAINS("Connection: close\r\n", last.c_str());
  CHECK(last.ends_with("caller-left"));
}

// Guards against closing the connection of a caller that ends its sending side and waits, without
// the response to its request.
TEST(Server, HalfClosedCallerGetsTheResponse)
{
  ServerFixture server;
  RawSocket socket = server.Connect();
  socket.Send(kGetHeld);
  const auto exchange = server.TakeHeldExchange();
  socket.ShutdownOutput();
  // A request on another connection shows that the loop has handled the end of the input.
  server.SendAndReadToEnd("GET / HTTP/1.0\r\n\r\n");
  LONGS_EQUAL(1, server.Run([&] { return server.GetServer().ConnectionCount(); }));
  server.Respond(exchange, "done");
  const std::string response = socket.ReadToEnd();
  STRCMP_CONTAINS("Connection: close\r\n", response.c_str());
  CHECK(response.ends_with("done"));
  LONGS_EQUAL(0, server.Run([&] { return server.GetServer().ConnectionCount(); }));
}

// Guards against losing the responses to requests that were received before the end of the input.
TEST(Server, PipelinedRequestsBeforeAHalfCloseAreAnswered)
{
  ServerLimits limits;
  limits.halfCloseGrace_ = std::chrono::hours(1);
  ServerFixture server(limits);
  RawSocket socket = server.Connect();
  socket.Send(std::string(kGetHeld) + std::string(kGet) + std::string(kGetHeld));
  socket.ShutdownOutput();
  server.Respond(server.TakeHeldExchange(), "first");
  STRCMP_CONTAINS("\r\n\r\nfirst", socket.ReadMessage().c_str());
  STRCMP_CONTAINS("\r\n\r\nGET /a ", socket.ReadMessage().c_str());
  server.Respond(server.TakeHeldExchange(), "third");
  const std::string last = socket.ReadToEnd();
  STRCMP_CONTAINS("Connection: close\r\n", last.c_str());
  CHECK(last.ends_with("third"));
  LONGS_EQUAL(0, server.Run([&] { return server.GetServer().ConnectionCount(); }));
}

// Guards against cutting off a response that is being written when the caller ends its input.
TEST(Server, ResponseIsCompletedAfterAHalfClose)
{
  ServerFixture server;
  RawSocket socket = server.Connect();
  socket.Send(kGetHeld);
  std::string body; // exceeds the socket buffers of both ends
  body.resize(50'000'000, 'x');
  server.Respond(server.TakeHeldExchange(), body);
  socket.ShutdownOutput();
  server.SendAndReadToEnd("GET / HTTP/1.0\r\n\r\n");
  CHECK(socket.ReadMessage().size() > body.size());
  STRCMP_EQUAL("", socket.ReadToEnd().c_str());
  LONGS_EQUAL(0, server.Run([&] { return server.GetServer().ConnectionCount(); }));
}

// Guards against waiting for the rest of a request that can't arrive any more.
TEST(Server, HalfCloseWithinARequestClosesTheConnection)
{
  ServerFixture server;
  RawSocket socket = server.Connect();
  socket.Send(std::string(kGetHeld) + "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx");
  socket.ShutdownOutput();
  server.Respond(server.TakeHeldExchange(), "first");
  CHECK(socket.ReadToEnd().ends_with("first"));
  LONGS_EQUAL(0, server.Run([&] { return server.GetServer().ConnectionCount(); }));
}

// Guards against slow requests (Slowloris) that hold a connection open by sending single bytes.
TEST(Server, SlowRequestTimesOutWithoutDelayingOthers)
{
  ServerLimits limits;
  limits.requestTimeout_ = milliseconds(300);
  limits.maxHeader_ = 1 << 20; // reached only if each byte extends the timeout
  const ServerFixture server(limits);
  RawSocket slow = server.Connect();
  RawSocket other = server.Connect();
  slow.Send("GET / HTTP/1.1\r\nX: ");
  // Each response to the other caller shows that the slow one does not delay it.
  while (!slow.HasInput()) {
    slow.Send("x");
    other.Send(kGet);
    STRCMP_EQUAL("HTTP/1.1 200", StatusLineStart(other.ReadMessage()).c_str());
  }
  STRCMP_EQUAL("", slow.ReadToEnd().c_str());
}

// Guards against a caller that occupies a connection by not reading a large response.
TEST(Server, CallerThatDoesNotReadTheResponseIsDisconnected)
{
  ServerLimits limits;
  limits.requestTimeout_ = milliseconds(300);
  ServerFixture server(limits);
  RawSocket socket = server.Connect();
  socket.Send(kGetHeld);
  std::string body; // exceeds the socket buffers of both ends
  body.resize(50'000'000, 'x');
  const auto exchange = server.TakeHeldExchange();
  // In one task, because the timeout may expire before a second task runs.
  const std::size_t inProgress = server.Run([&] {
    exchange->Respond(MakeResponse(200, body));
    return server.GetServer().ConnectionCount();
  });
  LONGS_EQUAL(1, inProgress);
  WaitUntil([&] { return server.Run([&] { return server.GetServer().ConnectionCount(); }) == 0; });
  LONGS_EQUAL(0, server.Run([&] { return server.GetServer().ConnectionCount(); }));
  CHECK(socket.ReadToEnd().size() < 50'000'000);
}

TEST(Server, LargeResponseArrivesCompletely)
{
  ServerFixture server;
  RawSocket socket = server.Connect();
  socket.Send(kGetHeld);
  server.Respond(server.TakeHeldExchange(), std::string(5'000'000, 'x'));
  CHECK(socket.ReadMessage().ends_with(std::string(5'000'000, 'x')));
  socket.Send(kGet);
  STRCMP_EQUAL("HTTP/1.1 200", StatusLineStart(socket.ReadMessage()).c_str());
}

// Guards against idle connections that slow down or block other callers.
TEST(Server, ThousandIdleConnectionsDoNotDelayOthers)
{
  ServerFixture server;
  std::vector<RawSocket> idle;
  idle.reserve(1000);
  for (int i = 0; i < 1000; ++i) {
    idle.push_back(server.Connect());
  }
  RawSocket socket = server.Connect();
  for (int i = 0; i < 100; ++i) {
    socket.Send(kGet);
    STRCMP_EQUAL("HTTP/1.1 200", StatusLineStart(socket.ReadMessage()).c_str());
  }
  LONGS_EQUAL(1001, server.Run([&] { return server.GetServer().ConnectionCount(); }));
  idle.back().Send(kGet);
  STRCMP_EQUAL("HTTP/1.1 200", StatusLineStart(idle.back().ReadMessage()).c_str());
}

TEST(Server, IdleConnectionIsClosedAfterTheIdleTimeout)
{
  ServerLimits limits;
  limits.idleTimeout_ = milliseconds(300);
  const ServerFixture server(limits);
  STRCMP_EQUAL("", server.Connect().ReadToEnd().c_str());
  // The idle timeout starts again after a response.
  const std::string response = server.SendAndReadToEnd(kGet);
  CHECK(response.starts_with("HTTP/1.1 200") && response.ends_with("GET /a "));
}

// Guards against requests that are refused, or accepted, by limits that are no longer in force:
// callers keep connections open for longer than limits last.
TEST(ChangedLimits, SizesApplyToTheNextRequestOfAnOpenConnection)
{
  limits_.maxHeader_ = 2000;
  limits_.maxBody_ = 1000;
  SetLimits();
  const std::string large = PostOf(5000);
  const std::string longHeader =
    "GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(3000, 'x') + "\r\n\r\n";
  RawSocket first = ConnectAndUse();
  RawSocket second = ConnectAndUse();
  limits_.maxHeader_ = 4000;
  limits_.maxBody_ = 6000;
  SetLimits();
  for (const std::string& request : { large, longHeader }) {
    first.Send(request);
    STRCMP_EQUAL("HTTP/1.1 200", StatusLineStart(first.ReadMessage()).c_str());
  }
  second.Send(kGet);
  second.ReadMessage();
  limits_.maxHeader_ = 2000;
  limits_.maxBody_ = 1000;
  SetLimits();
  first.Send(large);
  STRCMP_EQUAL("HTTP/1.1 413", StatusLineStart(first.ReadToEnd()).c_str());
  second.Send(longHeader);
  STRCMP_EQUAL("HTTP/1.1 431", StatusLineStart(second.ReadToEnd()).c_str());
}

// Guards against a change that refuses or cuts off a request of which a part has arrived.
TEST(ChangedLimits, RequestThatHasBegunKeepsItsLimits)
{
  RawSocket uploading = server_.Connect();
  uploading.Send("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                 "Expect: 100-continue\r\n\r\n");
  uploading.ReadUntil("\r\n\r\n");
  RawSocket sendingHeader = server_.Connect();
  sendingHeader.Send("POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 500\r\n");
  ConnectAndUse(); // the loop has received what was sent before
  limits_.maxBody_ = 100;
  limits_.headerTimeout_ = milliseconds(1);
  SetLimits();
  std::this_thread::sleep_for(milliseconds(5));
  sendingHeader.Send("X: 1\r\n");
  ConnectAndUse();
  std::this_thread::sleep_for(milliseconds(5));
  sendingHeader.Send("\r\n" + std::string(500, 'x'));
  STRCMP_CONTAINS("POST /c xxx", sendingHeader.ReadMessage().c_str());
  uploading.Send("1f4\r\n" + std::string(500, 'x') + "\r\n0\r\n\r\n");
  STRCMP_CONTAINS("POST /b xxx", uploading.ReadMessage().c_str());
}

// Guards against idle connections that are closed by a timeout that is no longer in force.
TEST(ChangedLimits, RaisedIdleTimeoutAppliesToIdleConnections)
{
  limits_.idleTimeout_ = milliseconds(300);
  SetLimits();
  RawSocket socket = server_.Connect();
  socket.Send(kGetHeld);
  const auto exchange = server_.TakeHeldExchange();
  server_.Run([&] {
    exchange->Respond(MakeResponse(200, "held"));
    limits_.idleTimeout_ = std::chrono::seconds(60);
    server_.GetServer().SetLimits(limits_);
  });
  socket.ReadMessage();
  std::this_thread::sleep_for(milliseconds(600));
  socket.Send(kGet);
  STRCMP_EQUAL("HTTP/1.1 200", StatusLineStart(socket.ReadMessage()).c_str());
}

// Guards against idle connections that stay open for a timeout that is no longer in force, and
// against a change that closes them at once, when requests may be on their way.
TEST(ChangedLimits, LoweredIdleTimeoutAppliesToIdleConnectionsAfterItsLength)
{
  RawSocket socket = server_.Connect();
  socket.Send(kGetHeld);
  const auto exchange = server_.TakeHeldExchange();
  server_.Run([&] {
    exchange->Respond(MakeResponse(200, "held"));
    std::this_thread::sleep_for(milliseconds(400));
    socket.Send(kGet);
    limits_.idleTimeout_ = milliseconds(300); // less than the connection has been idle for
    server_.GetServer().SetLimits(limits_);
  });
  CHECK(socket.ReadMessage().ends_with("held"));
  STRCMP_EQUAL("HTTP/1.1 200", StatusLineStart(socket.ReadMessage()).c_str());
  STRCMP_EQUAL("", socket.ReadToEnd().c_str());
  // Another one is closed although its timeout was 60 s when it became idle.
  limits_.idleTimeout_ = std::chrono::seconds(60);
  SetLimits();
  RawSocket idle = ConnectAndUse();
  limits_.idleTimeout_ = milliseconds(50);
  SetLimits();
  STRCMP_EQUAL("", idle.ReadToEnd().c_str());
}

// Guards against a connection above the limit that is neither served nor refused.
TEST(Server, ConnectionAboveTheLimitIsRefused)
{
  ServerLimits limits;
  limits.maxConnections_ = 2;
  ServerFixture server(limits);
  RawSocket first = server.Connect();
  RawSocket second = server.Connect();
  second.Send(kGet);
  second.ReadMessage();
  const std::string response = server.SendAndReadToEnd(kGet);
  STRCMP_EQUAL("HTTP/1.1 503", StatusLineStart(response).c_str());
  CHECK(response.ends_with("overloaded"));
  first.Close();
  WaitUntil([&] { return server.Run([&] { return server.GetServer().ConnectionCount(); }) == 1; });
  RawSocket third = server.Connect();
  third.Send(kGet);
  STRCMP_EQUAL("HTTP/1.1 200", StatusLineStart(third.ReadMessage()).c_str());
}

// Guards against refused connections that get no answer because others are still being refused.
TEST(Server, RefusedConnectionReplacesTheOneRefusedFirst)
{
  ServerLimits limits;
  limits.maxConnections_ = 0;
  limits.maxRefusedConnections_ = 2;
  ServerFixture server(limits);
  std::vector<RawSocket> callers;
  for (int i = 0; i < 10; ++i) {
    callers.push_back(server.Connect());
    STRCMP_EQUAL("HTTP/1.1 503", StatusLineStart(callers.back().ReadMessage()).c_str());
  }
  CHECK(server.Run([&] { return server.GetServer().ConnectionCount(); }) <= 2);
  CHECK_EQUAL(10U, server.Run([&] { return server.GetServer().RefusedConnectionCount(); }));
}

// Guards against a caller that is refused although others hold idle connections, and against a
// connection with a request that is closed to make room.
TEST(Server, NewConnectionReplacesTheLongestIdle)
{
  ServerLimits limits;
  limits.maxConnections_ = 3;
  limits.replaceableIdleTime_ = Duration(0);
  ServerFixture server(limits);
  RawSocket started = server.Connect();
  started.Send("GET /a HTTP/1.1\r\n");
  RawSocket busy = server.Connect();
  busy.Send(kGetHeld);
  const auto exchange = server.TakeHeldExchange();
  RawSocket idle = server.Connect();
  idle.Send(kGet);
  idle.ReadMessage();
  RawSocket next = server.Connect();
  next.Send(kGetHeld);
  const auto nextExchange = server.TakeHeldExchange();
  STRCMP_EQUAL("", idle.ReadToEnd().c_str());
  STRCMP_EQUAL("HTTP/1.1 503", StatusLineStart(server.SendAndReadToEnd(kGet)).c_str());
  started.Send("Host: h\r\n\r\n");
  STRCMP_EQUAL("HTTP/1.1 200", StatusLineStart(started.ReadMessage()).c_str());
  server.Respond(exchange, "done");
  CHECK(busy.ReadMessage().ends_with("done"));
  server.Respond(nextExchange, "done");
  CHECK(next.ReadMessage().ends_with("done"));
}

// Guards against closing a connection that its caller is about to use again.
TEST(Server, ConnectionThatWasJustUsedIsNotReplaced)
{
  ServerLimits limits;
  limits.maxConnections_ = 1;
  limits.replaceableIdleTime_ = std::chrono::hours(1);
  ServerFixture server(limits);
  RawSocket first = server.Connect();
  first.Send(kGet);
  first.ReadMessage();
  STRCMP_EQUAL("HTTP/1.1 503", StatusLineStart(server.SendAndReadToEnd(kGet)).c_str());
  first.Send(kGet);
  STRCMP_EQUAL("HTTP/1.1 200", StatusLineStart(first.ReadMessage()).c_str());
}

// Guards against a caller that waits for "100 Continue" until its own timeout.
TEST(Server, ExpectContinueIsAnswered)
{
  const ServerFixture server;
  RawSocket socket = server.Connect();
  socket.Send("POST /e HTTP/1.1\r\nHost: h\r\nExpect: 100-Continue\r\nContent-Length: 2\r\n\r\n");
  STRCMP_EQUAL("HTTP/1.1 100 Continue\r\n\r\n", socket.ReadUntil("\r\n\r\n").c_str());
  socket.Send("xy");
  STRCMP_CONTAINS("\r\n\r\nPOST /e xy", socket.ReadMessage().c_str());
  const std::string tooLarge =
    "POST /e HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 9999999\r\n\r\n";
  STRCMP_EQUAL("HTTP/1.1 413", StatusLineStart(server.SendAndReadToEnd(tooLarge)).c_str());
}

// Guards against a drain that aborts a request in progress, or one that a caller sends on an idle
// connection before it knows of the drain.
TEST(Server, DrainCompletesRequestsOnOpenConnections)
{
  ServerFixture server;
  RawSocket idle = server.Connect();
  idle.Send(kGet);
  idle.ReadMessage();
  RawSocket busy = server.Connect();
  busy.Send(kGetHeld);
  const auto exchange = server.TakeHeldExchange();
  server.Run([&] { server.GetServer().BeginDrain(); });
  idle.Send(kGet);
  const std::string late = idle.ReadToEnd();
  STRCMP_CONTAINS("Connection: close\r\n", late.c_str());
  CHECK(late.ends_with("GET /a "));
  server.Respond(exchange, "done");
  const std::string response = busy.ReadToEnd();
  STRCMP_CONTAINS("Connection: close\r\n", response.c_str());
  CHECK(response.ends_with("done"));
  // New connections are still served.
  CHECK(server.SendAndReadToEnd(kGet).ends_with("GET /a "));
}

TEST(Server, StopAcceptingClosesOnlyConnectionsWithoutARequest)
{
  ServerFixture server;
  RawSocket idle = server.Connect();
  idle.Send(kGet);
  idle.ReadMessage();
  RawSocket busy = server.Connect();
  busy.Send(kGetHeld);
  const auto exchange = server.TakeHeldExchange();
  server.Run([&] {
    server.GetServer().BeginDrain();
    server.GetServer().StopAccepting();
  });
  STRCMP_EQUAL("", idle.ReadToEnd().c_str());
  server.Respond(exchange, "done");
  CHECK(busy.ReadToEnd().ends_with("done"));
}

// Guards against resetting connections that the kernel has established but the server has not
// accepted yet, with the requests that callers have sent on them.
TEST(Server, RequestsOnConnectionsNotYetAcceptedAreAnsweredAfterStopAccepting)
{
  net::EventLoop loop;
  Server server(
    loop,
    {},
    [](const std::shared_ptr<Exchange>& aExchange) { aExchange->Respond(MakeResponse(200, "ok")); },
    [](RefusalReason aReason) { return MakeResponse(HttpStatusOf(aReason), ""); });
  const std::uint16_t port = server.Listen("127.0.0.1", 0);
  std::vector<RawSocket> callers;
  for (int i = 0; i < 5; ++i) {
    callers.emplace_back(port);
    callers.back().Send(kGet);
  }
  RawSocket idle(port);
  server.BeginDrain();
  server.StopAccepting();
  LoopThread thread(loop);
  for (RawSocket& caller : callers) {
    CHECK(caller.ReadToEnd().ends_with("ok"));
  }
  STRCMP_EQUAL("", idle.ReadToEnd().c_str());
  callers.clear();
  WaitUntil([&] { return thread.Run([&] { return server.ConnectionCount(); }) == 0; });
}

// Guards against resetting the connection that is accepted already, but whose callback is still to
// run when the server stops accepting.
TEST(Server, ConnectionWhoseAcceptCallbackIsPendingIsServedAfterStopAccepting)
{
  ServerFixture server;
  std::vector<RawSocket> callers;
  server.Run([&] {
    for (int i = 0; i < 300; ++i) {
      callers.push_back(server.Connect());
      callers.back().Send(kGet);
    }
  });
  server.Run([&] {
    server.GetServer().BeginDrain();
    server.GetServer().StopAccepting();
  });
  for (RawSocket& caller : callers) {
    CHECK(caller.ReadToEnd().ends_with("GET /a "));
  }
}

// Guards against a drain that counts as complete while a request is still being read: the process
// would exit after the request has reached an upstream.
TEST(Server, RequestThatIsBeingReadKeepsTheDrainFromCompleting)
{
  ServerFixture server;
  const auto unfinished = [&] {
    return server.Run([&] { return server.GetServer().ConnectionCount(); });
  };
  RawSocket uploading = server.Connect();
  uploading.Send(
    "POST /u HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
  uploading.ReadUntil("\r\n\r\n"); // the server has read the header
  server.Run([&] {
    server.GetServer().BeginDrain();
    server.GetServer().StopAccepting();
  });
  CHECK_EQUAL(1, unfinished());
  uploading.Send("ab");
  CHECK_EQUAL(1, unfinished());
  uploading.Send("cd");
  CHECK(uploading.ReadToEnd().ends_with("POST /u abcd"));
  uploading.Close();
  WaitUntil([&] { return unfinished() == 0; });
}

// Guards against a drain that waits for a connection without a request: it was promised to stay
// open by a response that began before the drain.
TEST(Server, ConnectionThatBecomesIdleAfterTheOthersWereClosedIsClosed)
{
  ServerFixture server;
  RawSocket socket = server.Connect();
  socket.Send(kGetHeld);
  const auto exchange = server.TakeHeldExchange();
  std::string body; // exceeds the socket buffers of both ends
  body.resize(50'000'000, 'x');
  server.Respond(exchange, std::move(body));
  server.Run([&] {
    server.GetServer().BeginDrain();
    server.GetServer().StopAccepting();
  });
  CHECK_EQUAL(1, server.Run([&] { return server.GetServer().ConnectionCount(); }));
  CHECK(socket.ReadMessage().size() > 50'000'000);
  STRCMP_EQUAL("", socket.ReadToEnd().c_str());
  CHECK_EQUAL(0, server.Run([&] { return server.GetServer().ConnectionCount(); }));
}

TEST(Server, HeadResponseHasNoBodyAndHttp10ClosesByDefault)
{
  const ServerFixture server;
  RawSocket socket = server.Connect();
  socket.Send("HEAD /h HTTP/1.1\r\nHost: h\r\n\r\n");
  STRCMP_CONTAINS("Content-Length: 8\r\n", socket.ReadUntil("\r\n\r\n").c_str());
  socket.Send(kGet);
  CHECK(socket.ReadMessage().starts_with("HTTP/1.1 200"));
  STRCMP_CONTAINS("Connection: close", server.SendAndReadToEnd("GET / HTTP/1.0\r\n\r\n").c_str());
  RawSocket kept = server.Connect();
  for (int i = 0; i < 2; ++i) {
    kept.Send("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
    STRCMP_CONTAINS("Connection: keep-alive", kept.ReadMessage().c_str());
  }
}

// Guards against a caller that waits forever for a response that will never be sent.
TEST(Server, AbortedOrDroppedExchangeClosesTheConnection)
{
  ServerFixture server;
  RawSocket aborted = server.Connect();
  aborted.Send(kGetHeld);
  auto exchange = server.TakeHeldExchange();
  server.Run([&] { exchange->Abort(); });
  STRCMP_EQUAL("", aborted.ReadToEnd().c_str());
  RawSocket dropped = server.Connect();
  dropped.Send(kGetHeld);
  exchange = server.TakeHeldExchange();
  server.Run([&] { exchange.reset(); });
  STRCMP_EQUAL("", dropped.ReadToEnd().c_str());
}

// Guards against requests that were read and end without a response in no log and no counter.
TEST(Server, RequestWithoutAResponseIsReportedWithItsCause)
{
  ServerLimits limits;
  limits.requestTimeout_ = milliseconds(300);
  std::vector<UnansweredCause> causes; // used by the loop thread only
  {
    ServerFixture server(limits);
    const auto reported = [&] { return server.Run([&] { return causes.size(); }); };
    server.Run([&] {
      server.GetServer().SetUnansweredCallback(
        [&](UnansweredCause aCause) { causes.push_back(aCause); });
    });
    RawSocket closed = server.Connect();
    closed.Send(kGetHeld);
    const auto abandoned = server.TakeHeldExchange();
    closed.Reset();
    WaitUntil([&] { return reported() == 1; });
    RawSocket aborted = server.Connect();
    aborted.Send(kGetHeld);
    server.Run([exchange = server.TakeHeldExchange()] { exchange->Abort(); });
    RawSocket notReading = server.Connect();
    notReading.Send(kGetHeld);
    std::string body; // exceeds the socket buffers of both ends
    body.resize(50'000'000, 'x');
    server.Respond(server.TakeHeldExchange(), std::move(body));
    WaitUntil([&] { return reported() == 3; });
    RawSocket idle = server.Connect();
    idle.Send(kGet);
    idle.ReadMessage();
    RawSocket held = server.Connect();
    held.Send(kGetHeld);
    server.Run([exchange = server.TakeHeldExchange()]() mutable { exchange.reset(); });
    WaitUntil([&] { return reported() == 4; });
  }
  CHECK(causes == std::vector<UnansweredCause>({ UnansweredCause::CallerClosed,
                                                 UnansweredCause::Aborted,
                                                 UnansweredCause::WriteTimeout,
                                                 UnansweredCause::Aborted }));
}

// Guards against requests that the exit of the process cuts off in no log and no counter.
TEST(Server, RequestCutOffByTheEndOfTheServerIsReported)
{
  std::vector<UnansweredCause> causes;
  net::EventLoop loop;
  std::shared_ptr<Exchange> held;
  {
    Server server(
      loop,
      {},
      [&](std::shared_ptr<Exchange> aExchange) { held = std::move(aExchange); },
      [](RefusalReason) { return Response(); });
    server.SetUnansweredCallback([&](UnansweredCause aCause) { causes.push_back(aCause); });
    const std::uint16_t port = server.Listen("127.0.0.1", 0);
    RawSocket caller(port);
    caller.Send(kGetHeld);
    LoopThread thread(loop);
    WaitUntil([&] { return thread.Run([&] { return held != nullptr; }); });
  }
  CHECK(causes == std::vector<UnansweredCause>({ UnansweredCause::ProcessExit }));
}

// Guards against header injection through a value with a line break.
TEST(Server, LineBreakInAHeaderValueAddsNoField)
{
  ServerFixture server;
  RawSocket socket = server.Connect();
  socket.Send(kGetHeld);
  const auto exchange = server.TakeHeldExchange();
  Response response = MakeResponse(200, "x");
  response.headers_.Add("X-Value", "a\r\nX-Injected: 1");
  server.Run([&] { exchange->Respond(response); });
  CHECK(socket.ReadMessage().find("\nX-Injected") == std::string::npos);
}

// Guards against one request whose handling throws and so ends the thread with all other requests,
// or whose connection stays open without a response.
TEST(Server, RequestWhoseHandlerOrResponseThrowsEndsAlone)
{
  ServerFixture server;
  std::vector<UnansweredCause> causes;
  server.Run([&] {
    server.GetServer().SetUnansweredCallback(
      [&](UnansweredCause aCause) { causes.push_back(aCause); });
  });
  RawSocket other = server.Connect();
  other.Send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
  const auto held = server.TakeHeldExchange();
  for (const char* target : { "/throw", "/status" }) {
    const std::string request = "GET "s + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
    CHECK_EQUAL(""s, server.SendAndReadToEnd(request + request));
  }
  server.Respond(held, "held");
  CHECK(other.ReadMessage().ends_with("held"));
  CHECK_EQUAL(2U, causes.size());
  CHECK(causes.at(0) == UnansweredCause::Aborted && causes.at(1) == UnansweredCause::Aborted);
}

TEST_GROUP(BodyMemory)
{
  static constexpr std::size_t kTotal = 16 << 20;

  std::shared_ptr<BodyBudget> budget_ = std::make_shared<BodyBudget>(kTotal);
  ServerFixture server_{ { .maxBody_ = 64 << 20 }, budget_ };

  // Starts an upload of which only the header and a part of the body arrive.
  RawSocket StartUpload(std::size_t aLength)
  {
    RawSocket socket = server_.Connect();
    socket.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(aLength) +
                "\r\n\r\nx");
    WaitUntil([&] { return budget_->Held() >= aLength; });
    return socket;
  }
};

// Guards against uploads within the limits that take the process over the memory of its machine.
TEST(BodyMemory, BodyThatDoesNotFitIsRefusedBeforeItIsRead)
{
  const RawSocket upload = StartUpload(10 << 20);
  RawSocket socket = server_.Connect();
  socket.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000000\r\n"
              "Expect: 100-continue\r\n\r\n");
  const std::string response = socket.ReadToEnd();
  STRCMP_EQUAL("HTTP/1.1 503", StatusLineStart(response).c_str());
  STRCMP_CONTAINS("Connection: close\r\n", response.c_str());
  CHECK(response.ends_with("body-budget-exceeded"));
  LONGS_EQUAL(1, budget_->Refusals());
}

// Guards against losing the refusal to a reset, and against bytes of a refused body that are taken
// for the next request.
TEST(BodyMemory, RestOfARefusedBodyIsNotParsed)
{
  const RawSocket upload = StartUpload(10 << 20);
  std::string body;
  while (body.size() < 5'000'000) {
    body += kGet;
  }
  const std::string response = server_.SendAndReadToEnd(
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
    body);
  STRCMP_EQUAL("HTTP/1.1 503", StatusLineStart(response).c_str());
  CHECK(response.ends_with("body-budget-exceeded"));
}

// Guards against losing the refusal to a reset while the caller goes on sending over a slow link.
TEST(BodyMemory, RefusalReachesACallerThatGoesOnSending)
{
  const RawSocket upload = StartUpload(10 << 20);
  RawSocket socket = server_.Connect();
  socket.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000000\r\n\r\n");
  const std::string piece(10'000, 'x');
  for (int i = 0; i < 26; ++i) {
    std::this_thread::sleep_for(milliseconds(100));
    socket.Send(piece);
  }
  LONGS_EQUAL(2, server_.Run([&] { return server_.GetServer().ConnectionCount(); }));
  STRCMP_EQUAL("HTTP/1.1 503", StatusLineStart(socket.ReadToEnd()).c_str());
}

// Guards against a planned stop that waits for a caller which ignores the refusal of its upload.
TEST(BodyMemory, RefusedUploadDoesNotHoldAPlannedStop)
{
  ServerFixture server({ .maxBody_ = 64 << 20, .requestTimeout_ = std::chrono::minutes(10) },
                       std::make_shared<BodyBudget>(1 << 20));
  RawSocket socket = server.Connect();
  socket.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 800000\r\n\r\n");
  socket.ReadUntil("\r\n\r\n");
  server.Run([&] {
    server.GetServer().BeginDrain();
    server.GetServer().StopAccepting();
  });
  WaitUntil([&] {
    socket.Send("x");
    return server.Run([&] { return server.GetServer().ConnectionCount(); }) == 0;
  });
}

// Guards against chunked uploads, whose length is not known, that exceed the memory.
TEST(BodyMemory, ChunkedBodyIsRefusedWhenItNoLongerFits)
{
  const RawSocket upload = StartUpload(10 << 20);
  std::string body;
  for (int i = 0; i < 60; ++i) {
    body += "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
  }
  const std::string response = server_.SendAndReadToEnd(
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
  STRCMP_EQUAL("HTTP/1.1 503", StatusLineStart(response).c_str());
  CHECK(response.ends_with("body-budget-exceeded"));
  // Nothing of the refused body is held.
  LONGS_EQUAL(10 << 20, budget_->Held());
}

// Guards against small requests that are refused while uploads use up the memory.
TEST(BodyMemory, SmallRequestsAreServedWhileUploadsUseUpTheirPart)
{
  const RawSocket upload = StartUpload(12 << 20);
  RawSocket socket = server_.Connect();
  const std::string body(60'000, 'x');
  for (int i = 0; i < 10; ++i) {
    socket.Send("POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + body);
    CHECK(socket.ReadMessage().ends_with("POST /s " + body));
  }
}

// Guards against memory that is never released, after an answer or when the caller leaves.
TEST(BodyMemory, BodiesAreReleased)
{
  {
    const RawSocket upload = StartUpload(10 << 20);
    RawSocket socket = server_.Connect();
    const std::string body(1'000'000, 'x');
    socket.Send("POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n" + body);
    CHECK(socket.ReadMessage().ends_with(body));
    WaitUntil([&] { return budget_->Held() == 10 << 20; });
  }
  WaitUntil([&] { return budget_->Held() == 0; });
}

// Guards against a refusal that promises room which a larger body never gets.
TEST(BodyMemory, BodyThatNeverFitsIsRefusedAsTooLarge)
{
  STRCMP_EQUAL("HTTP/1.1 413",
               StatusLineStart(server_.SendAndReadToEnd(
                                 "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 13000000\r\n\r\n"))
                 .c_str());
  LONGS_EQUAL(0, budget_->Refusals());
}

} // namespace boragepier::http
