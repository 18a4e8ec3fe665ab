#include "boragepier/http/client.h"

#include <vector>

#include "testing/wire/loop_thread.h"
#include "testing/wire/raw_socket.h"

// Last, because it redefines new, which standard headers do not expect.
#include <CppUTest/TestHarness.h>

namespace boragepier::http {

using boragepier::testing::Await;
using boragepier::testing::LoopThread;
using boragepier::testing::RawListener;
using boragepier::testing::RawSocket;
using boragepier::testing::WaitUntil;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// A client in its own thread and a peer whose bytes the test decides.
class TestClient
{
public:
  TestClient()
    : client_(loop_)
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
    auto done = std::make_shared<std::promise<SendResult>>();
    auto request = std::make_shared<Request>();
    request->method_ = aMethod;
    request->target_ = "/x";
    request->body_ = aBody;
    lastSend_ = client_.Send(target_, request, options_, [this, done](SendResult aResult) {
      if (const auto next = std::exchange(next_, nullptr)) {
        next();
      }
      done->set_value(std::move(aResult));
    });
    return done->get_future();
  }

  // Sends a request on a new connection, lets the peer answer with these bytes and close.
  SendResult Exchange(std::string_view aMethod, std::string_view aAnswer)
  {
    auto result = Send(aMethod);
    RawSocket peer = listener_.Accept();
    peer.ReadMessage();
    peer.Send(aAnswer);
    peer.Close();
    return Await(std::move(result));
  }

  // Opens a connection that has brought one answer.
  RawSocket OpenIdle()
  {
    auto result = Send();
    RawSocket peer = listener_.Accept();
    AnswerOk(peer);
    CHECK(Await(std::move(result)).outcome_ == Outcome::Answered);
    return peer;
  }

  static void AnswerOk(RawSocket& aPeer)
  {
    aPeer.ReadMessage();
    aPeer.Send(kOk);
  }

  template<typename Function>
  auto Run(Function aFunction)
  {
    return thread_.Run(std::move(aFunction));
  }

  std::size_t ConnectionCount()
  {
    return Run([&] { return client_.ConnectionCount(target_); });
  }

  RawListener listener_;
  Target target_{ "127.0.0.1", listener_.Port() };
  SendOptions options_;
  SendId lastSend_{};
  std::function<void()> next_; // runs inside the next callback
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
CheckAnswer(const SendResult& aResult, int aStatus, std::string_view aBody)
{
  CheckFailure(aResult, Outcome::Answered, AttemptFailure::None);
  LONGS_EQUAL(aStatus, aResult.response_.status_);
  CHECK(aResult.response_.body_ == aBody);
}

} // namespace

TEST_GROUP(Client){};

// Guards against an order that runs twice: the client that this one replaces sends a POST again by
// itself when a kept-alive peer reads it and closes.
TEST(Client, PostIsNeverSentAgain)
{
  TestClient client;
  RawSocket peer = client.OpenIdle();
  auto result = client.Send();
  peer.ReadMessage();
  peer.Close();
  CheckFailure(Await(std::move(result)), Outcome::Unknown, AttemptFailure::ConnectionLost);
  CHECK(!client.listener_.HasPending());
  LONGS_EQUAL(0, client.ConnectionCount());
}

// Guards against a cut-off answer that passes for a complete one.
TEST(Client, AnswerThatIsCutOffIsTruncated)
{
  TestClient client;
  for (const std::string_view answer : {
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
    CheckFailure(client.Exchange("POST", answer), Outcome::Unknown, AttemptFailure::Truncated);
  }
}

// Guards against an answer that ends with the stream being lost or waited for, and against a reset
// that passes for its end.
TEST(Client, AnswerWithoutLengthEndsWithTheStream)
{
  TestClient client;
  CheckAnswer(client.Exchange("GET", "HTTP/1.1 200 OK\r\n\r\nto the end"), 200, "to the end");
  CheckAnswer(client.Exchange("GET", "HTTP/1.0 200 OK\r\n\r\n"), 200, "");
  auto result = client.Send();
  RawSocket peer = client.listener_.Accept();
  peer.ReadMessage();
  peer.Send("HTTP/1.1 200 OK\r\n\r\npart");
  // Between two tasks the loop reads what has arrived.
  client.Run([] {});
  client.Run([] {});
  peer.Reset();
  CheckFailure(Await(std::move(result)), Outcome::Unknown, AttemptFailure::Truncated);
}

TEST(Client, InterimAnswersAreSkipped)
{
  TestClient client;
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
  const SendResult result =
    client.Exchange("POST", "HTTP/1.1 100 Continue\r\n\r\n" + interim + std::string(kOk));
  CheckAnswer(result, 200, "ok");
  CHECK(!result.response_.headers_.Get("Link"));
}

// Guards against waiting for a body that never comes.
TEST(Client, HeadAndBodilessAnswersHaveNoBody)
{
  TestClient client;
  for (const auto& [method, status] :
       { std::pair("HEAD", 200), std::pair("GET", 204), std::pair("GET", 304) }) {
    auto result = client.Send(method, "");
    RawSocket peer = client.listener_.Accept();
    peer.ReadUntil("\r\n\r\n");
    peer.Send("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: 9\r\n\r\n");
    CheckAnswer(Await(std::move(result)), status, "");
    auto next = client.Send();
    TestClient::AnswerOk(peer);
    CheckAnswer(Await(std::move(next)), 200, "ok");
    client.Run([&] { client.client_.CloseIdle(client.target_); });
  }
}

// Guards against bytes behind an answer becoming the next answer.
TEST(Client, BytesBehindAnAnswerCloseTheConnection)
{
  TestClient client;
  auto result = client.Send();
  RawSocket peer = client.listener_.Accept();
  peer.ReadMessage();
  peer.Send(std::string(kOk) + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
  CheckAnswer(Await(std::move(result)), 200, "ok");
  STRCMP_EQUAL("", peer.ReadToEnd().c_str());
  // The same when they come later, before or while the connection is taken for the next request.
  RawSocket idle = client.OpenIdle();
  auto second = client.Run([&] {
    idle.Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
    return client.SendInLoop("POST", "order");
  });
  RawSocket next = client.listener_.Accept();
  TestClient::AnswerOk(next);
  CheckAnswer(Await(std::move(second)), 200, "ok");
  STRCMP_EQUAL("", idle.ReadToEnd().c_str());
}

TEST(Client, MalformedAnswersAreRefused)
{
  TestClient client;
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  for (const std::string& answer : std::vector<std::string>{
         ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
         ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
         ok + "Content-Length: -2\r\n\r\nok",
         ok + "Transfer-Encoding: gzip\r\n\r\nok",
         ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n",
         "HTTP/1.1 101 Switching Protocols\r\n\r\n",
         "HTTP/1.1 99 Low\r\n\r\n",
         "HTTP/2.0 200 OK\r\n\r\n",
         "garbage\r\n\r\n",
       }) {
    const SendResult result = client.Exchange("POST", answer);
    CheckFailure(result, Outcome::Unknown, AttemptFailure::MalformedResponse);
  }
}

TEST(Client, AnswerPastTheLimitIsRefused)
{
  TestClient client;
  client.options_.maxResponseBody_ = 10;
  for (const std::string_view answer : {
         "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n6\r\n",
         "HTTP/1.1 200 OK\r\n\r\nabcdefghijk",
       }) {
    const SendResult result = client.Exchange("POST", answer);
    CheckFailure(result, Outcome::Unknown, AttemptFailure::ResponseTooLarge);
  }
}

// Guards against a late answer reaching another request.
TEST(Client, LateAnswerReachesNobody)
{
  TestClient client;
  RawSocket peer = client.OpenIdle();
  client.options_.timeout_ = milliseconds(100);
  auto result = client.Send();
  peer.ReadMessage();
  CheckFailure(Await(std::move(result)), Outcome::Unknown, AttemptFailure::Timeout);
  STRCMP_EQUAL("", peer.ReadToEnd().c_str());
  LONGS_EQUAL(0, client.ConnectionCount());
}

// Guards against further requests on connections that went silent together, and against closing
// those that have shown since that they are alive.
TEST(Client, TimeoutClosesIdleConnectionsWithoutLaterProofOfLife)
{
  TestClient client;
  std::vector<std::future<SendResult>> results;
  std::vector<RawSocket> peers;
  for (int i = 0; i < 3; ++i) {
    results.push_back(client.Send());
    peers.push_back(client.listener_.Accept());
  }
  const auto answer = [&](std::size_t aIndex) {
    TestClient::AnswerOk(peers[aIndex]);
    Await(std::move(results[aIndex]));
  };
  answer(0);
  answer(1);
  client.options_.timeout_ = milliseconds(200);
  auto silent = client.Send(); // on the connection that was used last
  peers[1].ReadMessage();
  answer(2);
  CheckFailure(Await(std::move(silent)), Outcome::Unknown, AttemptFailure::Timeout);
  STRCMP_EQUAL("", peers[0].ReadToEnd().c_str());
  LONGS_EQUAL(1, client.ConnectionCount());
  client.options_.timeout_ = std::chrono::seconds(20);
  auto next = client.Send();
  TestClient::AnswerOk(peers[2]);
  CheckAnswer(Await(std::move(next)), 200, "ok");
}

// Guards against an order written to a connection that its peer closed while it was idle.
TEST(Client, ConnectionClosedWhileIdleIsNotUsed)
{
  TestClient client;
  RawSocket peer = client.OpenIdle();
  std::future<SendResult> result;
  client.Run([&] {
    // The loop cannot notice the end of the stream before Send().
    peer.Close();
    result = client.SendInLoop("POST", "order");
  });
  RawSocket next = client.listener_.Accept();
  TestClient::AnswerOk(next);
  CheckAnswer(Await(std::move(result)), 200, "ok");
  LONGS_EQUAL(1, client.ConnectionCount());
  next.Close();
  WaitUntil([&] { return client.ConnectionCount() == 0; });
}

TEST(Client, FailureBeforeTheFirstByteIsNotRun)
{
  TestClient client;
  std::future<SendResult> result;
  client.Run([&] {
    result = client.SendInLoop("POST", "order");
    client.listener_.Accept().Close(); // before the loop notices that it is connected
  });
  CheckFailure(Await(std::move(result)), Outcome::NotRun, AttemptFailure::NothingWritten);
  std::uint16_t unused = 0;
  {
    const RawListener closed;
    unused = closed.Port();
  }
  client.target_.port_ = unused;
  CheckFailure(Await(client.Send()), Outcome::NotRun, AttemptFailure::ConnectFailed);
  client.target_.address_ = "not an address";
  CheckFailure(Await(client.Send()), Outcome::NotRun, AttemptFailure::ConnectFailed);
}

// Guards against "not run" being claimed once a part of a request is on its way.
TEST(Client, PartlyWrittenRequestIsUnknown)
{
  TestClient client;
  std::string body;
  body.resize(50'000'000, 'x');
  auto result = client.Send("POST", body);
  RawSocket peer = client.listener_.Accept();
  peer.ReadUntil("\r\n\r\n");
  peer.Reset();
  CheckFailure(Await(std::move(result)), Outcome::Unknown, AttemptFailure::ConnectionLost);
}

TEST(Client, AnswerBeforeTheRequestIsCompleteIsDelivered)
{
  TestClient client;
  std::string body;
  body.resize(50'000'000, 'x');
  auto result = client.Send("POST", body);
  RawSocket peer = client.listener_.Accept();
  peer.ReadUntil("\r\n\r\n");
  peer.Send("HTTP/1.1 413 Payload Too Large\r\nContent-Length: 0\r\n\r\n");
  CheckAnswer(Await(std::move(result)), 413, "");
  peer.ReadToEnd(); // the connection is closed, as the rest of the request was not sent
}

// Guards against an abandoned request that keeps its upstream busy.
TEST(Client, CancelClosesTheConnection)
{
  TestClient client;
  auto result = client.Send();
  RawSocket peer = client.listener_.Accept();
  peer.ReadMessage();
  CHECK(client.Run([&] { return client.client_.Cancel(client.lastSend_); }) == Outcome::Unknown);
  STRCMP_EQUAL("", peer.ReadToEnd().c_str());
  const Outcome unsent = client.Run([&] {
    client.SendInLoop("POST", "order");
    return client.client_.Cancel(client.lastSend_);
  });
  CHECK(unsent == Outcome::NotRun);
  LONGS_EQUAL(0, client.ConnectionCount());
}

TEST(Client, RequestsWaitForAConnectionBelowTheLimit)
{
  TestClient client;
  client.options_.maxConnections_ = 1;
  auto first = client.Send();
  auto second = client.Send();
  const SendId cancelled = (client.Send(), client.lastSend_);
  auto third = client.Send();
  client.options_.timeout_ = milliseconds(50);
  // Guards against a request that waits in vain being counted as possibly run.
  CheckFailure(Await(client.Send()), Outcome::NotRun, AttemptFailure::Timeout);
  CHECK(client.Run([&] { return client.client_.Cancel(cancelled); }) == Outcome::NotRun);
  RawSocket peer = client.listener_.Accept();
  TestClient::AnswerOk(peer);
  TestClient::AnswerOk(peer);
  CheckAnswer(Await(std::move(first)), 200, "ok");
  CheckAnswer(Await(std::move(second)), 200, "ok");
  peer.ReadMessage();
  peer.Close();
  CheckFailure(Await(std::move(third)), Outcome::Unknown, AttemptFailure::ConnectionLost);
  CHECK(!client.listener_.HasPending());
}

// Guards against a call that must not be repeated being sent on a connection in doubt.
TEST(Client, ProvenAliveOnlyUsesARecentOrNewConnection)
{
  TestClient client;
  client.options_.provenAliveOnly_ = true;
  client.options_.maxConnections_ = 1;
  std::future<SendResult> recent;
  client.next_ = [&] { recent = client.SendInLoop("POST", "order"); };
  RawSocket peer = client.OpenIdle();
  TestClient::AnswerOk(peer);
  CHECK(!Await(std::move(recent)).newConnection_);
  std::promise<void> passed;
  client.Run([&] {
    client.loop_.After(Client::kProvenAliveWindow + milliseconds(1), [&] { passed.set_value(); });
  });
  Await(passed.get_future());
  auto later = client.Send();
  RawSocket next = client.listener_.Accept();
  TestClient::AnswerOk(next);
  CHECK(Await(std::move(later)).newConnection_);
  STRCMP_EQUAL("", peer.ReadToEnd().c_str());
}

} // namespace boragepier::http
