#include "boragepier/http/client.h"

#include <thread>
#include <vector>

#include "boragepier/net/descriptor_shortage.h"
#include "testing/wire/descriptors_taken.h"
#include "testing/wire/loop_thread.h"
#include "testing/wire/raw_socket.h"

// Included last, because it defines a macro for new that breaks standard headers.
#include <CppUTest/TestHarness.h>

namespace boragepier::http {

using boragepier::testing::Await;
using boragepier::testing::DescriptorsTaken;
using boragepier::testing::LoopThread;
using boragepier::testing::RawListener;
using boragepier::testing::RawSocket;
using boragepier::testing::WaitUntil;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view kOkResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// A client in its own thread, and a listener on which the test plays the server byte by byte.
class ClientFixture
{
public:
  explicit ClientFixture(std::shared_ptr<BodyBudget> aBudget = nullptr)
    : client_(loop_, std::move(aBudget))
    , thread_(loop_)
  {
    options_.timeout_ = std::chrono::seconds(20);
  }

  std::future<SendResult> Send(std::string_view aMethod = "POST", std::string_view aBody = "order")
  {
    return thread_.Run([&] { return SendInLoop(aMethod, aBody); });
  }

  std::future<SendResult> SendInLoop(std::string_view aMethod, std::string_view aBody)
  {
    auto promise = std::make_shared<std::promise<SendResult>>();
    auto request = std::make_shared<Request>();
    request->method_ = aMethod;
    request->target_ = "/x";
    if (!requestId_.empty()) {
      request->headers_.Add("X-Id", requestId_);
    }
    request->body_ = aBody;
    lastSendId_ = client_.Send(target_, request, options_, [this, promise](SendResult aResult) {
      if (const auto next = std::exchange(onNextResult_, nullptr)) {
        next();
      }
      promise->set_value(std::move(aResult));
    });
    return promise->get_future();
  }

  // Sends a request on a new connection, on which the peer sends these bytes and closes.
  SendResult RespondAndClose(std::string_view aMethod, std::string_view aResponse)
  {
    auto result = Send(aMethod);
    RawSocket peer = listener_.Accept();
    peer.ReadMessage();
    peer.Send(aResponse);
    peer.Close();
    return Await(std::move(result));
  }

  // Opens a connection that is idle after one response.
  RawSocket OpenIdleConnection()
  {
    auto result = Send();
    RawSocket peer = listener_.Accept();
    RespondOk(peer);
    CHECK(Await(std::move(result)).outcome_ == Outcome::Answered);
    return peer;
  }

  static void RespondOk(RawSocket& aPeer)
  {
    aPeer.ReadMessage();
    aPeer.Send(kOkResponse);
  }

  template<typename Function>
  auto Run(Function aFunction)
  {
    return thread_.Run(std::move(aFunction));
  }

  // Sends a request on a new connection, on which the peer sends these bytes and stays silent. If
  // that is no answer, waits until the connection is closed.
  SendResult Respond(const std::vector<std::string>& aPieces, std::string_view aMethod = "POST")
  {
    auto result = Send(aMethod);
    RawSocket peer = listener_.Accept();
    peer.ReadMessage();
    for (const std::string& piece : aPieces) {
      peer.Send(piece);
      // The loop reads the input that has arrived between two tasks.
      Run([] {});
      Run([] {});
    }
    SendResult ended = Await(std::move(result));
    if (ended.outcome_ != Outcome::Answered) {
      peer.ReadToEnd();
    }
    return ended;
  }

  std::size_t ConnectionCount()
  {
    return Run([&] { return client_.ConnectionCount(target_); });
  }

  RawListener listener_;
  Target target_{ "127.0.0.1", listener_.Port() };
  SendOptions options_;
  std::string requestId_ = "2"; // none if empty
  SendId lastSendId_{};
  std::function<void()> onNextResult_; // runs inside the next result callback
  net::EventLoop loop_;
  Client client_;

private:
  LoopThread thread_;
};

void
CheckFailure(const SendResult& aResult, Outcome aOutcome, AttemptFailure aFailure)
{
  STRCMP_EQUAL(ToString(aFailure).data(), ToString(aResult.failure_).data());
  STRCMP_EQUAL(ToString(aOutcome).data(), ToString(aResult.outcome_).data());
}

void
CheckResponse(const SendResult& aResult, int aStatus, std::string_view aBody)
{
  CheckFailure(aResult, Outcome::Answered, AttemptFailure::None);
  LONGS_EQUAL(aStatus, aResult.response_.status_);
  CHECK(aResult.response_.body_ == aBody);
}

// The response to the request of the fixture, or to another one.
std::string
MakeResponse(std::string_view aStatus,
             std::string_view aId,
             std::string_view aBody,
             std::string_view aFields = "X-Load: 1,0,2\r\n")
{
  std::string response = "HTTP/1.1 ";
  response.append(aStatus).append("\r\nX-Id: ").append(aId).append("\r\n");
  response.append("X-Signature: s").append(aId).append("\r\n").append(aFields);
  response.append("Content-Length: ").append(std::to_string(aBody.size())).append("\r\n\r\n");
  return response.append(aBody);
}

std::vector<std::string>
OtherResponses()
{
  return {
    MakeResponse("200 OK", "1", "the answer to another request"),
    MakeResponse("503 Service Unavailable", "1", "", "X-Not-Run: 1\r\n"),
    MakeResponse("200 OK", "1", std::string(2000, 'x')),
    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n"
  };
}

void
CheckNoAnswer(const SendResult& aResult)
{
  STRCMP_EQUAL("unknown", ToString(aResult.outcome_).data());
  CHECK_TEXT(aResult.failure_ == AttemptFailure::MixedResponse ||
               aResult.failure_ == AttemptFailure::MalformedResponse,
             ToString(aResult.failure_).data());
}

// Sends the response to a request up to each cut, and then another one, in one piece and in two.
// No such request is answered, or waits for its timeout.
void
CheckCuts(ClientFixture& aClient,
          std::string_view aResponse,
          std::size_t aFirstCut,
          std::size_t aLastCut,
          std::string_view aOther,
          std::string_view aMethod = "POST")
{
  for (std::size_t cut = aFirstCut; cut <= aLastCut; ++cut) {
    const std::string part(aResponse.substr(0, cut));
    const std::string other(aOther);
    CheckNoAnswer(aClient.Respond({ part + other }, aMethod));
    CheckNoAnswer(aClient.Respond({ part, other }, aMethod));
  }
  CHECK_EQUAL(0U, aClient.ConnectionCount());
}

std::size_t
HeaderBytes(std::string_view aResponse)
{
  return aResponse.find("\r\n\r\n") + 4;
}

} // namespace

TEST_GROUP(Client){};

// Guards against an order that runs twice because the client itself retries a POST after the peer
// read it on a kept-alive connection and closed.
TEST(Client, PostIsNotRetriedAfterConnectionLoss)
{
  ClientFixture client;
  RawSocket peer = client.OpenIdleConnection();
  auto result = client.Send();
  peer.ReadMessage();
  peer.Close();
  CheckFailure(Await(std::move(result)), Outcome::Unknown, AttemptFailure::ConnectionLost);
  CHECK(!client.listener_.HasPending());
  LONGS_EQUAL(0, client.ConnectionCount());
}

// Guards against an incomplete response being accepted as complete.
TEST(Client, IncompleteResponseIsReportedAsTruncated)
{
  ClientFixture client;
  for (const std::string_view response : {
         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcd",
         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab",
         "HTTP/1.1 2",
         "HTTP/1.1 100 Continue\r\n\r\n",
       }) {
    CheckFailure(
      client.RespondAndClose("POST", response), Outcome::Unknown, AttemptFailure::Truncated);
  }
}

// Guards against losing a response that ends at end of stream or waiting for more of it, and
// against treating a reset as its end.
TEST(Client, ResponseWithoutLengthEndsAtEndOfStream)
{
  ClientFixture client;
  CheckResponse(
    client.RespondAndClose("GET", "HTTP/1.1 200 OK\r\n\r\nto the end"), 200, "to the end");
  CheckResponse(client.RespondAndClose("GET", "HTTP/1.0 200 OK\r\n\r\n"), 200, "");
  auto result = client.Send();
  RawSocket peer = client.listener_.Accept();
  peer.ReadMessage();
  peer.Send("HTTP/1.1 200 OK\r\n\r\npart");
  // The loop reads the input that has arrived between two tasks.
  client.Run([] {});
  client.Run([] {});
  peer.Reset();
  CheckFailure(Await(std::move(result)), Outcome::Unknown, AttemptFailure::Truncated);
}

// Guards against taking the part of a response that was sent before a reset for all of it: an
// upstream that ends its sending side while the request is still being written may reset the
// connection next.
TEST(Client, ResponseWithoutLengthIsIncompleteWhileTheRequestIsBeingWritten)
{
  ClientFixture client;
  const std::string body(8 << 20, 'x');
  auto result = client.Send("POST", body);
  RawSocket peer = client.listener_.Accept();
  peer.ReadUntil("\r\n\r\n");
  peer.Send("HTTP/1.1 200 OK\r\n\r\npart");
  peer.ShutdownOutput();
  CheckFailure(Await(std::move(result)), Outcome::Unknown, AttemptFailure::Truncated);
}

TEST(Client, InterimResponsesAreSkipped)
{
  ClientFixture client;
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
  const SendResult result = client.RespondAndClose(
    "POST", "HTTP/1.1 100 Continue\r\n\r\n" + interim + std::string(kOkResponse));
  CheckResponse(result, 200, "ok");
  CHECK(!result.response_.headers_.Get("Link"));
}

// Guards against waiting for a body that is never sent.
TEST(Client, ResponsesToHeadAnd204And304HaveNoBody)
{
  ClientFixture client;
  for (const auto& [method, status] :
       { std::pair("HEAD", 200), std::pair("GET", 204), std::pair("GET", 304) }) {
    auto result = client.Send(method, "");
    RawSocket peer = client.listener_.Accept();
    peer.ReadUntil("\r\n\r\n");
    peer.Send("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: 9\r\n\r\n");
    CheckResponse(Await(std::move(result)), status, "");
    auto next = client.Send();
    ClientFixture::RespondOk(peer);
    CheckResponse(Await(std::move(next)), 200, "ok");
    client.Run([&] { client.client_.CloseIdle(client.target_); });
  }
}

// Guards against taking extra bytes after a response for the next response.
TEST(Client, ExtraBytesAfterAResponseCloseTheConnection)
{
  ClientFixture client;
  auto result = client.Send();
  RawSocket peer = client.listener_.Accept();
  peer.ReadMessage();
  peer.Send(std::string(kOkResponse) + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
  CheckResponse(Await(std::move(result)), 200, "ok");
  STRCMP_EQUAL("", peer.ReadToEnd().c_str());
  // The same if they arrive later, before or while the connection is reused for the next request.
  RawSocket idle = client.OpenIdleConnection();
  auto second = client.Run([&] {
    idle.Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
    return client.SendInLoop("POST", "order");
  });
  RawSocket next = client.listener_.Accept();
  ClientFixture::RespondOk(next);
  CheckResponse(Await(std::move(second)), 200, "ok");
  STRCMP_EQUAL("", idle.ReadToEnd().c_str());
}

TEST(Client, MalformedResponsesAreRejected)
{
  ClientFixture client;
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  for (const std::string& response : std::vector<std::string>{
         ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
         ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
         ok + "Content-Length: -2\r\n\r\nok",
         ok + "Transfer-Encoding: gzip\r\n\r\nok",
         ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n",
         "HTTP/1.1 101 Switching Protocols\r\n\r\n",
         "HTTP/1.1 99 Low\r\n\r\n",
         "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok",
         "HTTP/1.1 600 High\r\nContent-Length: 2\r\n\r\nok",
         "HTTP/1.1 999 High\r\nContent-Length: 2\r\n\r\nok",
         "HTTP/2.0 200 OK\r\n\r\n",
         "garbage\r\n\r\n",
       }) {
    const SendResult result = client.RespondAndClose("POST", response);
    CheckFailure(result, Outcome::Unknown, AttemptFailure::MalformedResponse);
  }
}

TEST(Client, ResponseBodyAboveTheLimitIsRejected)
{
  ClientFixture client;
  client.options_.maxResponseBody_ = 10;
  for (const std::string_view response : {
         "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n6\r\n",
         "HTTP/1.1 200 OK\r\n\r\nabcdefghijk",
       }) {
    const SendResult result = client.RespondAndClose("POST", response);
    CheckFailure(result, Outcome::Unknown, AttemptFailure::ResponseTooLarge);
  }
}

// Guards against delivering a late response to another request.
TEST(Client, LateResponseIsDiscarded)
{
  ClientFixture client;
  RawSocket peer = client.OpenIdleConnection();
  client.options_.timeout_ = milliseconds(100);
  auto result = client.Send();
  peer.ReadMessage();
  CheckFailure(Await(std::move(result)), Outcome::Unknown, AttemptFailure::Timeout);
  STRCMP_EQUAL("", peer.ReadToEnd().c_str());
  LONGS_EQUAL(0, client.ConnectionCount());
}

// Guards against a long response that is given up and requested again, over and over, although it
// arrives without a pause.
TEST(Client, ResponseThatKeepsArrivingMayTakeLongerThanTheTimeout)
{
  ClientFixture client;
  client.options_.timeout_ = milliseconds(50);
  client.options_.stallTimeout_ = std::chrono::seconds(15);
  client.options_.maxTimeout_ = std::chrono::seconds(30);
  auto result = client.Send();
  RawSocket peer = client.listener_.Accept();
  peer.ReadMessage();
  peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
  for (int i = 0; i < 10; ++i) {
    std::this_thread::sleep_for(milliseconds(10));
    peer.Send("x");
  }
  CheckResponse(Await(std::move(result)), 200, "xxxxxxxxxx");
}

// Guards against a response that is awaited without end: one that has not begun, one that pauses,
// and one that goes on for too long.
TEST(Client, ResponseThatDoesNotArriveInTimeIsGivenUp)
{
  for (const bool begins : { false, true }) {
    ClientFixture client;
    client.options_.timeout_ = milliseconds(50);
    client.options_.stallTimeout_ = milliseconds(100);
    auto result = client.Send();
    RawSocket peer = client.listener_.Accept();
    peer.ReadMessage();
    if (begins) {
      peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nx");
    }
    CheckFailure(Await(std::move(result)), Outcome::Unknown, AttemptFailure::Timeout);
  }
  ClientFixture client;
  client.options_.timeout_ = milliseconds(50);
  client.options_.stallTimeout_ = std::chrono::seconds(15);
  client.options_.maxTimeout_ = milliseconds(200);
  auto result = client.Send();
  RawSocket peer = client.listener_.Accept();
  peer.ReadMessage();
  peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
  while (result.wait_for(milliseconds(10)) != std::future_status::ready) {
    peer.Send("x");
  }
  CheckFailure(Await(std::move(result)), Outcome::Unknown, AttemptFailure::Timeout);
}

// Guards against reusing connections that went dead at the same time as the one that timed out, and
// against closing those that received a response since.
TEST(Client, TimeoutClosesIdleConnectionsWithoutLaterActivity)
{
  ClientFixture client;
  std::vector<std::future<SendResult>> results;
  std::vector<RawSocket> peers;
  for (int i = 0; i < 3; ++i) {
    results.push_back(client.Send());
    peers.push_back(client.listener_.Accept());
  }
  const auto respond = [&](std::size_t aIndex) {
    ClientFixture::RespondOk(peers[aIndex]);
    Await(std::move(results[aIndex]));
  };
  respond(0);
  respond(1);
  client.options_.timeout_ = milliseconds(200);
  auto silent = client.Send(); // on the most recently used connection
  peers[1].ReadMessage();
  respond(2);
  CheckFailure(Await(std::move(silent)), Outcome::Unknown, AttemptFailure::Timeout);
  STRCMP_EQUAL("", peers[0].ReadToEnd().c_str());
  LONGS_EQUAL(1, client.ConnectionCount());
  client.options_.timeout_ = std::chrono::seconds(20);
  auto next = client.Send();
  ClientFixture::RespondOk(peers[2]);
  CheckResponse(Await(std::move(next)), 200, "ok");
}

// Guards against writing an order to a connection that the peer closed while it was idle.
TEST(Client, ConnectionClosedWhileIdleIsNotUsed)
{
  ClientFixture client;
  RawSocket peer = client.OpenIdleConnection();
  std::future<SendResult> result;
  client.Run([&] {
    // In one task, so that the loop cannot handle the end of the stream before Send().
    peer.Close();
    result = client.SendInLoop("POST", "order");
  });
  RawSocket next = client.listener_.Accept();
  ClientFixture::RespondOk(next);
  CheckResponse(Await(std::move(result)), 200, "ok");
  LONGS_EQUAL(1, client.ConnectionCount());
  next.Close();
  WaitUntil([&] { return client.ConnectionCount() == 0; });
}

TEST(Client, FailureBeforeTheFirstByteHasOutcomeNotRun)
{
  ClientFixture client;
  std::future<SendResult> result;
  client.Run([&] {
    result = client.SendInLoop("POST", "order");
    client.listener_.Accept().Close(); // before the loop handles the established connection
  });
  CheckFailure(Await(std::move(result)), Outcome::NotRun, AttemptFailure::NothingWritten);
  std::uint16_t closedPort = 0;
  {
    const RawListener closed;
    closedPort = closed.Port();
  }
  client.target_.port_ = closedPort;
  CheckFailure(Await(client.Send()), Outcome::NotRun, AttemptFailure::ConnectFailed);
  client.target_.address_ = "not an address";
  CheckFailure(Await(client.Send()), Outcome::NotRun, AttemptFailure::ConnectFailed);
}

// Guards against reporting "not run" after part of a request was written.
TEST(Client, PartlyWrittenRequestHasUnknownOutcome)
{
  ClientFixture client;
  std::string body;
  body.resize(50'000'000, 'x');
  auto result = client.Send("POST", body);
  RawSocket peer = client.listener_.Accept();
  peer.ReadUntil("\r\n\r\n");
  peer.Reset();
  CheckFailure(Await(std::move(result)), Outcome::Unknown, AttemptFailure::ConnectionLost);
}

TEST(Client, ResponseBeforeTheRequestIsFullyWrittenIsDelivered)
{
  ClientFixture client;
  std::string body;
  body.resize(50'000'000, 'x');
  auto result = client.Send("POST", body);
  RawSocket peer = client.listener_.Accept();
  peer.ReadUntil("\r\n\r\n");
  peer.Send("HTTP/1.1 413 Payload Too Large\r\nContent-Length: 0\r\n\r\n");
  CheckResponse(Await(std::move(result)), 413, "");
  peer.ReadToEnd(); // returns when the client has closed the connection, as it must not reuse it
}

// Guards against a cancelled request that keeps its upstream busy.
TEST(Client, CancelClosesTheConnection)
{
  ClientFixture client;
  auto result = client.Send();
  RawSocket peer = client.listener_.Accept();
  peer.ReadMessage();
  CHECK(client.Run([&] { return client.client_.Cancel(client.lastSendId_); }) == Outcome::Unknown);
  STRCMP_EQUAL("", peer.ReadToEnd().c_str());
  const Outcome unsentOutcome = client.Run([&] {
    client.SendInLoop("POST", "order");
    return client.client_.Cancel(client.lastSendId_);
  });
  CHECK(unsentOutcome == Outcome::NotRun);
  LONGS_EQUAL(0, client.ConnectionCount());
}

TEST(Client, RequestsWaitWhenTheConnectionLimitIsReached)
{
  ClientFixture client;
  client.options_.maxConnections_ = 1;
  auto first = client.Send();
  auto second = client.Send();
  const SendId cancelled = (client.Send(), client.lastSendId_);
  auto third = client.Send();
  client.options_.timeout_ = milliseconds(50);
  // Guards against reporting an unknown outcome for a request that timed out in the queue.
  CheckFailure(Await(client.Send()), Outcome::NotRun, AttemptFailure::Timeout);
  CHECK(client.Run([&] { return client.client_.Cancel(cancelled); }) == Outcome::NotRun);
  RawSocket peer = client.listener_.Accept();
  ClientFixture::RespondOk(peer);
  ClientFixture::RespondOk(peer);
  CheckResponse(Await(std::move(first)), 200, "ok");
  CheckResponse(Await(std::move(second)), 200, "ok");
  peer.ReadMessage();
  peer.Close();
  CheckFailure(Await(std::move(third)), Outcome::Unknown, AttemptFailure::ConnectionLost);
  CHECK(!client.listener_.HasPending());
}

// Guards against more connections than the process has descriptors for: idle ones, also to other
// targets, are closed first.
TEST(Client, ConnectionLimitOfAllTargetsReplacesIdleConnections)
{
  ClientFixture client;
  client.Run([&] { client.client_.SetMaxConnections(2); });
  RawSocket idle = client.OpenIdleConnection();
  RawListener otherListener;
  client.target_.port_ = otherListener.Port();
  auto first = client.Send();
  auto second = client.Send();
  auto third = client.Send();
  STRCMP_EQUAL("", idle.ReadToEnd().c_str());
  client.options_.timeout_ = milliseconds(50);
  CheckFailure(Await(client.Send()), Outcome::NotRun, AttemptFailure::LocalLimit);
  RawSocket peer = otherListener.Accept();
  RawSocket otherPeer = otherListener.Accept();
  CHECK(!otherListener.HasPending());
  ClientFixture::RespondOk(peer);
  ClientFixture::RespondOk(peer); // the third request, which has waited
  ClientFixture::RespondOk(otherPeer);
  CheckResponse(Await(std::move(first)), 200, "ok");
  CheckResponse(Await(std::move(second)), 200, "ok");
  CheckResponse(Await(std::move(third)), 200, "ok");
}

// Guards against a request to another target that waits for ever, or whose pool is released while
// it waits.
TEST(Client, RequestThatWaitsForADescriptorIsSentWhenAnotherTargetReleasesOne)
{
  ClientFixture client;
  client.Run([&] { client.client_.SetMaxConnections(1); });
  auto first = client.Send();
  RawSocket peer = client.listener_.Accept();
  peer.ReadMessage();
  RawListener otherListener;
  const Target other{ "127.0.0.1", otherListener.Port() };
  client.target_ = other;
  auto second = client.Send();
  const SendId cancelled = (client.Send(), client.lastSendId_);
  client.Run([&] { client.client_.CloseIdle(other); });
  CHECK(client.Run([&] { return client.client_.Cancel(cancelled); }) == Outcome::NotRun);
  peer.Close();
  CheckFailure(Await(std::move(first)), Outcome::Unknown, AttemptFailure::ConnectionLost);
  RawSocket otherPeer = otherListener.Accept();
  ClientFixture::RespondOk(otherPeer);
  CheckResponse(Await(std::move(second)), 200, "ok");
}

// Guards against an upstream that is taken for failed because this process has no descriptor left.
TEST(Client, MissingDescriptorIsNoFailureOfTheTarget)
{
  ClientFixture client;
  auto descriptorsTaken = std::make_unique<DescriptorsTaken>();
  const SendResult result = Await(client.Send());
  descriptorsTaken.reset();
  CheckFailure(result, Outcome::NotRun, AttemptFailure::LocalLimit);
  CHECK_EQUAL(0U, client.ConnectionCount());
}

// Guards against a request that fails for want of a descriptor that an idle connection holds.
TEST(Client, MissingDescriptorIsTakenFromAnIdleConnection)
{
  ClientFixture client;
  RawSocket idle = client.OpenIdleConnection();
  RawListener otherListener;
  client.target_.port_ = otherListener.Port();
  auto descriptorsTaken = std::make_unique<DescriptorsTaken>();
  auto result = client.Send();
  const std::string received = idle.ReadToEnd();
  WaitUntil([&] { return otherListener.HasPending(); });
  descriptorsTaken.reset();
  STRCMP_EQUAL("", received.c_str());
  RawSocket peer = otherListener.Accept();
  ClientFixture::RespondOk(peer);
  CheckResponse(Await(std::move(result)), 200, "ok");
}

// Guards against a loop that connects again and again for a request that waits for a descriptor.
TEST(Client, RequestThatWaitsForADescriptorIsNotTriedUntilOneIsReleased)
{
  ClientFixture client;
  auto busy = client.Send();
  RawSocket peer = client.listener_.Accept();
  peer.ReadMessage();
  const std::uint64_t before = net::DescriptorShortageCount();
  auto descriptorsTaken = std::make_unique<DescriptorsTaken>();
  auto waiting = client.Send();
  WaitUntil([&] { return net::DescriptorShortageCount() > before; });
  for (int i = 0; i < 100; ++i) {
    client.Run([] {}); // one iteration of the loop, or more
  }
  const std::uint64_t shortages = net::DescriptorShortageCount() - before;
  descriptorsTaken.reset();
  CHECK_EQUAL(1U, shortages);
  peer.Send(kOkResponse);
  CheckResponse(Await(std::move(busy)), 200, "ok");
  ClientFixture::RespondOk(peer);
  CheckResponse(Await(std::move(waiting)), 200, "ok");
}

// Guards against a request that is answered with a late second answer to an earlier one, and
// against a connection on which each further request gets the answer to the one before it.
TEST(Client, ForeignResponsesAreSkippedAndTheConnectionIsNotUsedAgain)
{
  ClientFixture client;
  client.options_.requestIdField_ = "X-Id";
  auto result = client.Send();
  RawSocket peer = client.listener_.Accept();
  peer.ReadMessage();
  const std::string foreign = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nold";
  peer.Send(foreign + foreign + "HTTP/1.1 200 OK\r\nX-Id: 2\r\n");
  peer.Send("Content-Length: 3\r\n\r\nnew");
  STRCMP_EQUAL("new", Await(std::move(result)).response_.body_.Text().c_str());
  STRCMP_EQUAL("", peer.ReadToEnd().c_str());
  CHECK_EQUAL(0U, client.ConnectionCount());
}

TEST(Client, ForeignResponseAtTheEndOfTheConnectionIsNoAnswer)
{
  for (const std::string end : { "Connection: close\r\nContent-Length: 0\r\n", "" }) {
    ClientFixture client;
    client.options_.requestIdField_ = "X-Id";
    CheckFailure(client.RespondAndClose("POST", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + end + "\r\n"),
                 Outcome::Unknown,
                 AttemptFailure::MalformedResponse);
  }
}

// Guards against a connection that a request must not use but gets after a wait or at the limit.
TEST(Client, ExcludedConnectionIsNotUsedAlsoAtTheConnectionLimit)
{
  ClientFixture client;
  client.options_.maxConnections_ = 1;
  auto first = client.Send();
  RawSocket peer = client.listener_.Accept();
  ClientFixture::RespondOk(peer);
  const ConnectionId used = Await(std::move(first)).connection_;
  CHECK(used != ConnectionId::None);
  client.options_.excludedConnections_ = { used };
  auto second = client.Send();
  RawSocket nextPeer = client.listener_.Accept();
  ClientFixture::RespondOk(nextPeer);
  CHECK(Await(std::move(second)).connection_ != used);
  STRCMP_EQUAL("", peer.ReadToEnd().c_str());
  CHECK_EQUAL(1U, client.ConnectionCount());
}

// Guards against sending a request that must not be repeated on a connection that may be dead.
TEST(Client, RecentlyActiveOnlyUsesARecentOrNewConnection)
{
  ClientFixture client;
  client.options_.recentlyActiveOnly_ = true;
  client.options_.maxConnections_ = 1;
  std::future<SendResult> recent;
  client.onNextResult_ = [&] { recent = client.SendInLoop("POST", "order"); };
  RawSocket peer = client.OpenIdleConnection();
  ClientFixture::RespondOk(peer);
  CHECK(!Await(std::move(recent)).newConnection_);
  std::promise<void> windowElapsed;
  client.Run([&] {
    client.loop_.After(Client::kRecentActivityWindow + milliseconds(1),
                       [&] { windowElapsed.set_value(); });
  });
  Await(windowElapsed.get_future());
  auto later = client.Send();
  RawSocket next = client.listener_.Accept();
  ClientFixture::RespondOk(next);
  CHECK(Await(std::move(later)).newConnection_);
  STRCMP_EQUAL("", peer.ReadToEnd().c_str());
}

// Guards against a callback that throws and so ends the thread with all other requests, or leaves
// the requests that wait for a connection without an end.
TEST(Client, CallbackThatThrowsEndsAlone)
{
  ClientFixture client;
  client.options_.maxConnections_ = 1;
  auto first = client.Send();
  client.onNextResult_ = [] { throw std::runtime_error("callback"); };
  auto second = client.Send();
  RawSocket peer = client.listener_.Accept();
  ClientFixture::RespondOk(peer);
  ClientFixture::RespondOk(peer);
  CHECK(Await(std::move(second)).outcome_ == Outcome::Answered);
}

// Guards against answers that take the process over its memory, and against the loss of the answer
// to a request that ran because there was no memory for a moment.
TEST(Client, ResponseThatDoesNotFitIsReadWhenItDoes)
{
  const auto budget = std::make_shared<BodyBudget>(1 << 20);
  BodyCharge other(budget, BodyUse::Request);
  CHECK(other.TryResize(700'000));
  ClientFixture client(budget);
  auto result = client.Send();
  RawSocket peer = client.listener_.Accept();
  peer.ReadMessage();
  const std::string body(500'000, 'x');
  peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n" + body);
  CHECK(result.wait_for(milliseconds(200)) == std::future_status::timeout);
  LONGS_EQUAL(700'000, budget->Held());
  other = {};
  CheckResponse(Await(std::move(result)), 200, body);
}

// Guards against a second copy of the body in the output of each attempt.
TEST(Client, BodyOfARequestIsSharedWithTheConnections)
{
  ClientFixture client;
  auto request = std::make_shared<Request>();
  request->method_ = "POST";
  request->target_ = "/x";
  std::string body; // exceeds the socket buffers of both ends
  body.resize(50'000'000, 'x');
  request->body_ = std::move(body);
  const std::weak_ptr<const void> owner = request->body_.Owner();
  client.Run([&] {
    for (int i = 0; i < 2; ++i) {
      const Request copy = *request;
      client.client_.Send(client.target_,
                          std::make_shared<const Request>(copy),
                          client.options_,
                          [](const SendResult&) {});
    }
  });
  const RawSocket first = client.listener_.Accept();
  const RawSocket second = client.listener_.Accept();
  client.Run([] {});
  // The test, two requests and the output of two connections.
  WaitUntil([&] { return client.Run([&] { return owner.use_count(); }) == 5; });
}

// Guards against requests that reach an upstream long after it has asked for a pause, because they
// waited for a connection: they end as not run. One that was sent goes on.
TEST(Client, WithdrawEndsOnlyRequestsThatWereNotSent)
{
  ClientFixture client;
  client.options_.maxConnections_ = 1;
  auto sent = client.Send();
  RawSocket peer = client.listener_.Accept();
  peer.ReadMessage();
  constexpr int kWaiting = 3;
  std::vector<std::future<SendResult>> waiting;
  waiting.reserve(kWaiting);
  for (int i = 0; i < kWaiting; ++i) {
    waiting.push_back(client.Send());
  }
  client.Run([&] { client.client_.Withdraw({ "127.0.0.1", 1 }); });
  client.Run([&] { client.client_.Withdraw(client.target_); });
  for (auto& result : waiting) {
    CheckFailure(Await(std::move(result)), Outcome::NotRun, AttemptFailure::Withdrawn);
  }
  peer.Send(kOkResponse);
  CheckResponse(Await(std::move(sent)), 200, "ok");
  // The connection is used again.
  auto next = client.Send();
  ClientFixture::RespondOk(peer);
  CheckResponse(Await(std::move(next)), 200, "ok");
}

// Guards against two answers that make one header: the status, the fields or the certificate "not
// run" of one request are taken for those of another.
TEST(Client, HeaderContinuedByAnotherResponseIsNoAnswer)
{
  ClientFixture client;
  client.options_.requestIdField_ = "X-Id";
  for (const std::string_view status : { "200 OK", "500 Internal Server Error" }) {
    const std::string response = MakeResponse(status, "2", "its body");
    for (const std::string& other : OtherResponses()) {
      CheckCuts(client, response, 1, HeaderBytes(response) - 1, other);
    }
  }
}

// Guards against the same where responses do not name their requests.
TEST(Client, HeaderContinuedByAnotherResponseIsNoAnswerWithoutIds)
{
  ClientFixture client;
  const std::string response = MakeResponse("200 OK", "2", "its body");
  for (const std::string& other : OtherResponses()) {
    CheckCuts(client, response, 1, HeaderBytes(response) - 1, other);
  }
}

// Guards against a body that is filled up with the bytes of another answer.
TEST(Client, BodyFilledUpByAnotherResponseIsNoAnswer)
{
  ClientFixture client;
  client.options_.requestIdField_ = "X-Id";
  for (const std::size_t size : { 30U, 400U }) {
    const std::string response = MakeResponse("200 OK", "2", std::string(size, 'y'));
    for (const std::string& other : OtherResponses()) {
      CheckCuts(client, response, HeaderBytes(response), response.size() - 1, other);
    }
  }
}

// Guards against the same where responses do not name their requests: the other answer goes on
// after the body.
TEST(Client, BodyFilledUpByAnotherResponseIsNoAnswerWithoutIds)
{
  ClientFixture client;
  const std::string other = MakeResponse("200 OK", "1", "the answer to another request");
  const std::string response = MakeResponse("200 OK", "2", std::string(400, 'y'));
  CheckCuts(client, response, response.size() - other.size() + 1, response.size() - 1, other);
}

// Guards against chunks, a trailer, or a body up to the end of the connection that hold another
// answer.
TEST(Client, ResponseWithoutLengthContinuedByAnotherIsNoAnswer)
{
  ClientFixture client;
  client.options_.requestIdField_ = "X-Id";
  const std::string header = "HTTP/1.1 200 OK\r\nX-Id: 2\r\n";
  const std::string chunked = header + "Transfer-Encoding: chunked\r\n\r\n1e;a=b\r\n" +
                              std::string(30, 'y') + "\r\n0;a=b\r\nX-Sum: 12\r\n\r\n";
  for (const std::string& other : OtherResponses()) {
    CheckCuts(client, chunked, HeaderBytes(chunked), chunked.size() - 1, other);
    std::string response = header;
    response.append("\r\nhalf").append(other);
    const SendResult result = client.RespondAndClose("POST", response);
    CheckFailure(result, Outcome::Unknown, AttemptFailure::MixedResponse);
  }
}

// Guards against an interim answer that is broken off and takes the header of the next answer in.
TEST(Client, InterimResponseContinuedByAnotherIsNoAnswer)
{
  ClientFixture client;
  client.options_.requestIdField_ = "X-Id";
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
  for (const std::string& other : OtherResponses()) {
    CheckCuts(client, interim, 1, interim.size() - 1, other);
  }
  CheckCuts(client, interim, 1, interim.size() - 1, MakeResponse("200 OK", "2", "its body"));
}

// Guards against a request that waits for its timeout, because its own answer was taken for the
// rest of one to another request that was broken off.
TEST(Client, ResponseAfterABrokenForeignOneIsNotAwaited)
{
  ClientFixture client;
  client.options_.requestIdField_ = "X-Id";
  const std::string own = MakeResponse("200 OK", "2", "its body");
  for (const std::string& foreign : OtherResponses()) {
    CheckCuts(client, foreign, 1, foreign.size() - 1, own);
  }
}

// Guards against an answer to HEAD whose missing body is looked for in another answer, or the
// reverse.
TEST(Client, ResponseToHeadContinuedByAnotherIsNoAnswer)
{
  ClientFixture client;
  client.options_.requestIdField_ = "X-Id";
  const std::string response = MakeResponse("200 OK", "2", "");
  for (const std::string& other : OtherResponses()) {
    CheckCuts(client, response, 1, response.size() - 1, other, "HEAD");
  }
  // The second answer to an earlier HEAD, whose length is that of a body that does not follow.
  const std::string foreign = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\n";
  CheckNoAnswer(client.Respond({ foreign + MakeResponse("200 OK", "2", "its body") }));
}

// Guards against sound answers that are lost because they look like mixed ones.
TEST(Client, SoundResponsesAreDeliveredHoweverTheyLook)
{
  ClientFixture client;
  client.options_.requestIdField_ = "X-Id";
  const std::string quote = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine";
  const std::string other = MakeResponse("200 OK", "1", "the answer to another request");
  for (const std::string& body :
       { std::string(), std::string("ends as HTT"), quote, "a" + quote }) {
    const std::string response = MakeResponse("200 OK", "2", body, "Via: HTTP/1.1 gateway\r\n");
    {
      auto first = client.Send();
      RawSocket peer = client.listener_.Accept();
      for (int i = 0; i < 2; ++i) { // the connection is used again
        peer.ReadMessage();
        peer.Send(response);
        CheckResponse(Await(std::move(first)), 200, body);
        first = client.Send();
      }
      peer.ReadMessage();
      peer.Close();
      Await(std::move(first));
    }
    CheckResponse(client.Respond({ response + other }), 200, body);
    CheckResponse(client.Respond({ response, other }), 200, body);
    const SendResult result = client.Respond({ other + response });
    CheckResponse(result, 200, body);
    CHECK(result.foreignResponseSkipped_);
    for (std::size_t cut = 1; cut < response.size(); ++cut) {
      CheckResponse(
        client.Respond({ response.substr(0, cut), response.substr(cut) + other }), 200, body);
    }
  }
}

// Guards against a field that decides something and has two values, of which one is that of another
// answer.
TEST(Client, RepeatedFieldIsNoAnswer)
{
  ClientFixture client;
  const std::vector<std::string> singleFields = { "X-Load", "X-Not-Run" };
  client.options_.requestIdField_ = "X-Id";
  client.options_.singleFields_ = singleFields;
  for (const std::string repeated : { "X-Id: 2\r\n", "X-Id: 1\r\n", "x-load: 1,0,2\r\n" }) {
    const SendResult result =
      client.Respond({ MakeResponse("200 OK", "2", "its body", "X-Load: 0,0,2\r\n" + repeated) });
    CheckFailure(result, Outcome::Unknown, AttemptFailure::MixedResponse);
  }
  CHECK_EQUAL(0U, client.ConnectionCount());
  CheckResponse(client.Respond({ MakeResponse("200 OK", "2", "its body", "X-A: 1\r\nX-A: 1\r\n") }),
                200,
                "its body");
}

// Guards against a probe that takes a late second answer for its own, and against an order that is
// answered with the second answer to a probe, or fails because of it.
TEST(Client, RequestsWithAndWithoutIdShareAConnection)
{
  ClientFixture client;
  client.options_.requestIdField_ = "X-Id";
  const std::string order = MakeResponse("200 OK", "2", "order");
  const auto probeResponse = [](std::string_view aBody) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
           std::string(aBody);
  };
  for (const bool probeFirst : { false, true }) {
    client.requestId_ = probeFirst ? "" : "2";
    auto first = client.Send();
    RawSocket peer = client.listener_.Accept();
    peer.ReadMessage();
    peer.Send(probeFirst ? probeResponse("probe") : order);
    CheckResponse(Await(std::move(first)), 200, probeFirst ? "probe" : "order");
    client.requestId_ = probeFirst ? "2" : "";
    auto second = client.Send();
    peer.ReadMessage();
    peer.Send(probeFirst ? probeResponse("late") + order : order + probeResponse("probe"));
    const SendResult result = Await(std::move(second));
    CheckResponse(result, 200, probeFirst ? "order" : "probe");
    CHECK(result.foreignResponseSkipped_);
    STRCMP_EQUAL("", peer.ReadToEnd().c_str());
  }
}

// Guards against using a connection again whose peer does not say which request it answered.
TEST(Client, ResponseWithoutIdIsNoAnswer)
{
  ClientFixture client;
  client.options_.requestIdField_ = "X-Id";
  CheckFailure(client.Respond({ std::string(kOkResponse) }),
               Outcome::Unknown,
               AttemptFailure::MalformedResponse);
  CHECK_EQUAL(0U, client.ConnectionCount());
}

} // namespace boragepier::http
