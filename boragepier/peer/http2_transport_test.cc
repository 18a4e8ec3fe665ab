#include "boragepier/peer/http2_transport.h"

#include <stdexcept>

#include <CppUTest/TestHarness.h>

#include "boragepier/peer/peer_codec.h"
#include "testing/wire/loop_thread.h"

namespace boragepier::peer {

namespace {

// Size of an HTTP/2 frame header; its first three bytes are the length of the payload.
constexpr std::size_t kFrameHeaderBytes = 9;

using testing::RawListener;
using testing::RawSocket;

PeerMessage
MakePull(const std::string& aKey)
{
  return PeerPull{ PeerSection::Configs, { aKey } };
}

// An instance that records the messages it receives and the peers reported to it as unreachable.
// Used in the loop thread only.
struct TestInstance
{
  TestInstance(net::EventLoop& aLoop, const std::string& aId, const PeerLimits& aLimits = {})
    : transport_(aLoop, aLimits)
    , self_{ InstanceId(aId), "127.0.0.1", transport_.Listen("127.0.0.1", 0) }
  {
    transport_.Start(
      self_,
      [this](const PeerEndpoint& aSender, PeerMessage aMessage, std::size_t) {
        const auto* pull = std::get_if<PeerPull>(&aMessage);
        received_.push_back(aSender.id_.Text() + ":" + (pull != nullptr ? pull->keys_.at(0) : ""));
      },
      [this](const InstanceId& aPeer) { unreachable_.push_back(aPeer.Text()); });
  }

  Http2Transport transport_;
  PeerEndpoint self_;
  std::vector<std::string> received_;
  std::vector<std::string> unreachable_;
};

} // namespace

TEST_GROUP(Http2Transport){
  // Waits until a condition holds in the loop thread.
  template<typename Condition>
  void WaitFor(testing::LoopThread & aThread, Condition aCondition){
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
while (!aThread.Run(aCondition)) {
  CHECK_TRUE_TEXT(std::chrono::steady_clock::now() < end, "condition was not met in time");
}
}

// Sends bytes to an instance and checks that it closes the connection, increments the counter and
// still receives messages from another peer.
void
CheckDisconnects(const std::string& aBytes, std::uint64_t PeerCounters::*aCounter)
{
  net::EventLoop loop;
  TestInstance instance(loop, "a");
  TestInstance other(loop, "b");
  testing::LoopThread thread(loop);
  RawSocket socket(instance.self_.port_);
  socket.Send(aBytes);
  socket.ReadToEnd();
  WaitFor(thread, [&] { return instance.transport_.Counters().*aCounter == 1; });
  thread.Run([&] { return other.transport_.Send(instance.self_, MakePull("x")); });
  WaitFor(thread, [&] { return instance.received_.size() == 1; });
  CHECK_EQUAL(std::string("b:x"), thread.Run([&] { return instance.received_.at(0); }));
}

static std::string
EncodeRequest(const std::string& aBody, unsigned aVersion = kPeerProtocolVersion)
{
  Http2Session client = Http2Session::Client([](std::size_t, bool) {});
  client.Submit({ InstanceId("raw"), "127.0.0.1", 1 }, aBody, aVersion);
  return client.TakeOutput();
}
}
;

TEST(Http2Transport, ThreeInstancesExchangeMessagesInBothDirections)
{
  net::EventLoop loop;
  TestInstance a(loop, "a");
  TestInstance b(loop, "b");
  TestInstance c(loop, "c");
  testing::LoopThread thread(loop);
  const PeerMessage large =
    PeerConfigs{ { { ServiceName("s"), 1, "p", std::string(kMaxPeerConfigBytes, 'x') } } };
  thread.Run([&] {
    a.transport_.Send(b.self_, MakePull("ab"));
    b.transport_.Send(a.self_, MakePull("ba"));
    c.transport_.Send(a.self_, large);
    return a.transport_.Send(c.self_, MakePull("ac"));
  });
  WaitFor(thread, [&] {
    return a.received_.size() == 2 && b.received_.size() == 1 && c.received_.size() == 1;
  });
  thread.Run([&] {
    CHECK_EQUAL(std::string("a:ab"), b.received_.at(0));
    CHECK_EQUAL(std::string("a:ac"), c.received_.at(0));
    CHECK_EQUAL(2U, a.transport_.Counters().messagesSent_);
    CHECK(a.transport_.Counters().bytesReceived_ > kMaxPeerConfigBytes);
    return 0;
  });
}

// Guards against an instance that stops working because of invalid bytes from a peer.
TEST(Http2Transport, PeerThatSendsInvalidBytesIsDisconnected)
{
  CheckDisconnects("GET / HTTP/1.1\r\nHost: x\r\n\r\n", &PeerCounters::malformed_);
  CheckDisconnects(EncodeRequest("no message"), &PeerCounters::malformed_);
  CheckDisconnects(EncodeRequest("") + std::string(100, '\xff'), &PeerCounters::malformed_);
}

TEST(Http2Transport, PeerWithAnotherProtocolVersionIsDisconnected)
{
  CheckDisconnects(EncodeRequest(EncodePeerMessage(MakePull("x")), kPeerProtocolVersion + 1),
                   &PeerCounters::otherVersion_);
}

TEST(Http2Transport, PeerThatSendsAnOversizedMessageIsDisconnected)
{
  net::EventLoop loop;
  PeerLimits limits;
  limits.maxReceivedBytesPerSecond_ =
    4.0 * kMaxPeerMessageBytes; // so that only the size is exceeded
  TestInstance instance(loop, "a", limits);
  testing::LoopThread thread(loop);
  RawSocket socket(instance.self_.port_);
  // The message exceeds the flow control window of a stream, so the sender must process window
  // updates.
  Http2Session client = Http2Session::Client([](std::size_t, bool) {});
  client.Submit({ InstanceId("raw"), "127.0.0.1", 1 }, std::string(kMaxPeerMessageBytes + 1, 'x'));
  try {
    for (;;) {
      socket.Send(client.TakeOutput());
      const std::string frameHeader = socket.Read(kFrameHeaderBytes);
      const auto byte = [&](std::size_t aIndex) {
        return static_cast<unsigned char>(frameHeader[aIndex]);
      };
      client.Receive(frameHeader + socket.Read((byte(0) << 16U) + (byte(1) << 8U) + byte(2)));
    }
  } catch (const testing::WireError&) { // the instance closed the connection
  }
  WaitFor(thread, [&] { return instance.transport_.Counters().oversized_ == 1; });
}

// Guards against a peer whose messages use all CPU time of the control thread.
TEST(Http2Transport, PeerThatExceedsTheMessageRateIsDisconnected)
{
  Http2Session client = Http2Session::Client([](std::size_t, bool) {});
  std::string bytes;
  for (int i = 0; i < 31; ++i) { // one less than the maximum of concurrent streams
    client.Submit({ InstanceId("raw"), "127.0.0.1", 1 }, EncodePeerMessage(MakePull("x")));
  }
  bytes = client.TakeOutput();
  net::EventLoop loop;
  PeerLimits limits;
  limits.maxReceivedMessagesPerSecond_ = 20;
  TestInstance instance(loop, "a", limits);
  testing::LoopThread thread(loop);
  RawSocket socket(instance.self_.port_);
  socket.Send(bytes);
  socket.ReadToEnd();
  WaitFor(thread, [&] { return instance.transport_.Counters().flooded_ == 1; });
}

// Guards against a connection that stays open forever because its peer never completes a request.
TEST(Http2Transport, PeerThatDoesNotCompleteARequestIsDisconnected)
{
  net::EventLoop loop;
  PeerLimits limits;
  limits.progressTimeout_ = std::chrono::milliseconds(100);
  TestInstance instance(loop, "a", limits);
  testing::LoopThread thread(loop);
  const std::string bytes = EncodeRequest(EncodePeerMessage(MakePull("x")));
  RawSocket silent(instance.self_.port_);
  RawSocket partial(instance.self_.port_);
  partial.Send(std::string_view(bytes).substr(0, bytes.size() - 3));
  silent.ReadToEnd();
  partial.ReadToEnd();
  WaitFor(thread, [&] { return instance.transport_.Counters().timeouts_ == 2; });
}

// Guards against a queue that grows without limit while a peer does not respond, and against
// waiting for it forever.
TEST(Http2Transport, UnresponsivePeerIsReportedAndItsQueueIsBounded)
{
  net::EventLoop loop;
  PeerLimits limits;
  limits.progressTimeout_ = std::chrono::milliseconds(200);
  limits.initialBackoff_ = std::chrono::hours(1);
  limits.maxBackoff_ = std::chrono::hours(1);
  TestInstance instance(loop, "a", limits);
  testing::LoopThread thread(loop);
  RawListener listener;
  const PeerEndpoint silent{ InstanceId("silent"), "127.0.0.1", listener.Port() };
  const std::size_t queued = thread.Run([&] {
    std::size_t sent = 0;
    while (instance.transport_.Send(silent, MakePull("x")) > 0) {
      ++sent;
    }
    return sent;
  });
  CHECK_EQUAL(limits.maxPendingMessages_, queued);
  WaitFor(thread, [&] { return instance.unreachable_.size() == 1; });
  thread.Run([&] {
    CHECK_EQUAL(std::string("silent"), instance.unreachable_.at(0));
    CHECK_EQUAL(1U, instance.transport_.Counters().timeouts_);
    CHECK_EQUAL(0U, instance.transport_.Send(silent, MakePull("x"))); // during the backoff
    return 0;
  });
}

// Guards against a peer that stays unreachable after one broken connection.
TEST(Http2Transport, BrokenConnectionIsReopened)
{
  net::EventLoop loop;
  PeerLimits limits;
  limits.initialBackoff_ = std::chrono::milliseconds(1);
  TestInstance instance(loop, "a", limits);
  testing::LoopThread thread(loop);
  RawListener listener;
  const PeerEndpoint peer{ InstanceId("p"), "127.0.0.1", listener.Port() };
  thread.Run([&] { return instance.transport_.Send(peer, MakePull("x")); });
  listener.Accept().Reset();
  WaitFor(thread, [&] { return instance.unreachable_.size() == 1; });
  WaitFor(thread, [&] { return instance.transport_.Send(peer, MakePull("y")) > 0; });
  RawSocket second = listener.Accept();
  CHECK(!second.Read(24).empty()); // the connection preface of HTTP/2
}

// Guards against one message whose handling throws and so ends the thread, or the connection with
// the messages that follow.
TEST(Http2Transport, MessageWhoseHandlingThrowsEndsAlone)
{
  net::EventLoop loop;
  TestInstance sender(loop, "a");
  Http2Transport receiver(loop);
  const PeerEndpoint self{ InstanceId("b"), "127.0.0.1", receiver.Listen("127.0.0.1", 0) };
  int handled = 0;
  receiver.Start(
    self,
    [&](const PeerEndpoint&, const PeerMessage&, std::size_t) {
      if (++handled == 1) {
        throw std::runtime_error("message");
      }
    },
    [](const InstanceId&) {});
  testing::LoopThread thread(loop);
  thread.Run([&] { return sender.transport_.Send(self, MakePull("x")); });
  WaitFor(thread, [&] { return handled == 1; });
  thread.Run([&] { return sender.transport_.Send(self, MakePull("y")); });
  WaitFor(thread, [&] { return handled == 2; });
  CHECK_EQUAL(0U, thread.Run([&] { return sender.transport_.Counters().dropped_; }));
}

} // namespace boragepier::peer
