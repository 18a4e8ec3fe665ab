#include "boragepier/peer/peer_node.h"

#include <CppUTest/TestHarness.h>

#include "boragepier/peer/peer_codec.h"
#include "testing/wire/loop_thread.h"

namespace boragepier::peer {

namespace {

// Bytes before the payload of an HTTP/2 frame; the first three are its length.
constexpr std::size_t kFrameHeader = 9;

using testing::RawListener;
using testing::RawSocket;

PeerMessage
PullOf(const std::string& aKey)
{
  return PeerPull{ PeerSection::Configs, { aKey } };
}

// A node, with what it received. Used in the loop thread only.
struct Node
{
  Node(net::EventLoop& aLoop, const std::string& aId, const PeerLimits& aLimits = {})
    : node_(aLoop, aLimits)
    , self_{ InstanceId(aId), "127.0.0.1", node_.Listen("127.0.0.1", 0) }
  {
    node_.Start(
      self_,
      [this](const PeerEndpoint& aSender, PeerMessage aMessage, std::size_t) {
        const auto* pull = std::get_if<PeerPull>(&aMessage);
        received_.push_back(aSender.id_.Text() + ":" + (pull != nullptr ? pull->keys_.at(0) : ""));
      },
      [this](const InstanceId& aPeer) { unreachable_.push_back(aPeer.Text()); });
  }

  PeerNode node_;
  PeerEndpoint self_;
  std::vector<std::string> received_;
  std::vector<std::string> unreachable_;
};

} // namespace

TEST_GROUP(PeerNode){
  // Waits until a condition holds in the loop thread.
  template<typename Condition>
  void WaitFor(testing::LoopThread & aThread, Condition aCondition){
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
while (!aThread.Run(aCondition)) {
  CHECK_TRUE_TEXT(std::chrono::steady_clock::now() < end, "condition does not hold");
}
}

// Sends bytes to a node and checks that it closes the connection, counts it and still works.
void
CheckDisconnects(const std::string& aBytes, std::uint64_t PeerCounters::*aCounter)
{
  net::EventLoop loop;
  Node node(loop, "a");
  Node other(loop, "b");
  testing::LoopThread thread(loop);
  RawSocket socket(node.self_.port_);
  socket.Send(aBytes);
  socket.ReadToEnd();
  WaitFor(thread, [&] { return node.node_.Counters().*aCounter == 1; });
  thread.Run([&] { return other.node_.Send(node.self_, PullOf("x")); });
  WaitFor(thread, [&] { return node.received_.size() == 1; });
  CHECK_EQUAL(std::string("b:x"), thread.Run([&] { return node.received_.at(0); }));
}

static std::string
RequestOf(const std::string& aBody, unsigned aVersion = kPeerProtocolVersion)
{
  Http2Session client = Http2Session::Client([](std::size_t, bool) {});
  client.Submit({ InstanceId("raw"), "127.0.0.1", 1 }, aBody, aVersion);
  return client.TakeOutput();
}
}
;

TEST(PeerNode, ThreeNodesExchangeMessagesInBothDirections)
{
  net::EventLoop loop;
  Node a(loop, "a");
  Node b(loop, "b");
  Node c(loop, "c");
  testing::LoopThread thread(loop);
  const PeerMessage large =
    PeerConfigs{ { { ServiceName("s"), 1, "p", std::string(kMaxPeerBody, 'x') } } };
  thread.Run([&] {
    a.node_.Send(b.self_, PullOf("ab"));
    b.node_.Send(a.self_, PullOf("ba"));
    c.node_.Send(a.self_, large);
    return a.node_.Send(c.self_, PullOf("ac"));
  });
  WaitFor(thread, [&] {
    return a.received_.size() == 2 && b.received_.size() == 1 && c.received_.size() == 1;
  });
  thread.Run([&] {
    CHECK_EQUAL(std::string("a:ab"), b.received_.at(0));
    CHECK_EQUAL(std::string("a:ac"), c.received_.at(0));
    CHECK_EQUAL(2U, a.node_.Counters().messagesSent_);
    CHECK(a.node_.Counters().bytesReceived_ > kMaxPeerBody);
    return 0;
  });
}

// Guards against a peer of another kind or with faults that stops an instance.
TEST(PeerNode, APeerThatSendsGarbageIsDisconnected)
{
  CheckDisconnects("GET / HTTP/1.1\r\nHost: x\r\n\r\n", &PeerCounters::malformed_);
  CheckDisconnects(RequestOf("no message"), &PeerCounters::malformed_);
  CheckDisconnects(RequestOf("") + std::string(100, '\xff'), &PeerCounters::malformed_);
}

TEST(PeerNode, APeerWithAnotherVersionIsDisconnected)
{
  CheckDisconnects(RequestOf(EncodePeerMessage(PullOf("x")), kPeerProtocolVersion + 1),
                   &PeerCounters::otherVersion_);
}

TEST(PeerNode, APeerThatSendsAnOversizedMessageIsDisconnected)
{
  net::EventLoop loop;
  PeerLimits limits;
  limits.receivedBytesPerSecond_ =
    4.0 * kMaxPeerMessageBytes; // else it is disconnected for flooding
  Node node(loop, "a", limits);
  testing::LoopThread thread(loop);
  RawSocket socket(node.self_.port_);
  // The message exceeds the window of a stream, so the sender must follow its updates.
  Http2Session client = Http2Session::Client([](std::size_t, bool) {});
  client.Submit({ InstanceId("raw"), "127.0.0.1", 1 }, std::string(kMaxPeerMessageBytes + 1, 'x'));
  try {
    for (;;) {
      socket.Send(client.TakeOutput());
      const std::string head = socket.Read(kFrameHeader);
      const auto byte = [&](std::size_t aIndex) {
        return static_cast<unsigned char>(head[aIndex]);
      };
      client.Receive(head + socket.Read((byte(0) << 16U) + (byte(1) << 8U) + byte(2)));
    }
  } catch (const testing::WireError&) { // the node closed the connection
  }
  WaitFor(thread, [&] { return node.node_.Counters().oversized_ == 1; });
}

// Guards against a peer that uses up the processor time of the control thread.
TEST(PeerNode, APeerThatFloodsIsDisconnected)
{
  Http2Session client = Http2Session::Client([](std::size_t, bool) {});
  std::string bytes;
  for (int i = 0; i < 31; ++i) { // one less than the streams that may be open
    client.Submit({ InstanceId("raw"), "127.0.0.1", 1 }, EncodePeerMessage(PullOf("x")));
  }
  bytes = client.TakeOutput();
  net::EventLoop loop;
  PeerLimits limits;
  limits.receivedMessagesPerSecond_ = 20;
  Node node(loop, "a", limits);
  testing::LoopThread thread(loop);
  RawSocket socket(node.self_.port_);
  socket.Send(bytes);
  socket.ReadToEnd();
  WaitFor(thread, [&] { return node.node_.Counters().flooded_ == 1; });
}

// Guards against a connection that is kept for ever by a peer that never completes a request.
TEST(PeerNode, APeerThatDoesNotCompleteARequestIsDisconnected)
{
  net::EventLoop loop;
  PeerLimits limits;
  limits.timeout_ = std::chrono::milliseconds(100);
  Node node(loop, "a", limits);
  testing::LoopThread thread(loop);
  const std::string bytes = RequestOf(EncodePeerMessage(PullOf("x")));
  RawSocket silent(node.self_.port_);
  RawSocket partial(node.self_.port_);
  partial.Send(std::string_view(bytes).substr(0, bytes.size() - 3));
  silent.ReadToEnd();
  partial.ReadToEnd();
  WaitFor(thread, [&] { return node.node_.Counters().timeouts_ == 2; });
}

// Guards against unbounded memory for a peer that does not answer, and against waiting for ever.
TEST(PeerNode, ASilentPeerIsReportedAndItsQueueIsBounded)
{
  net::EventLoop loop;
  PeerLimits limits;
  limits.timeout_ = std::chrono::milliseconds(200);
  limits.firstBackOff_ = std::chrono::hours(1);
  limits.maxBackOff_ = std::chrono::hours(1);
  Node node(loop, "a", limits);
  testing::LoopThread thread(loop);
  RawListener listener;
  const PeerEndpoint silent{ InstanceId("silent"), "127.0.0.1", listener.Port() };
  const std::size_t queued = thread.Run([&] {
    std::size_t sent = 0;
    while (node.node_.Send(silent, PullOf("x")) > 0) {
      ++sent;
    }
    return sent;
  });
  CHECK_EQUAL(limits.queuedMessages_, queued);
  WaitFor(thread, [&] { return node.unreachable_.size() == 1; });
  thread.Run([&] {
    CHECK_EQUAL(std::string("silent"), node.unreachable_.at(0));
    CHECK_EQUAL(1U, node.node_.Counters().timeouts_);
    CHECK_EQUAL(0U, node.node_.Send(silent, PullOf("x"))); // backs off
    return 0;
  });
}

// Guards against a peer that stays lost after one broken connection.
TEST(PeerNode, ABrokenConnectionIsOpenedAgain)
{
  net::EventLoop loop;
  PeerLimits limits;
  limits.firstBackOff_ = std::chrono::milliseconds(1);
  Node node(loop, "a", limits);
  testing::LoopThread thread(loop);
  RawListener listener;
  const PeerEndpoint peer{ InstanceId("p"), "127.0.0.1", listener.Port() };
  thread.Run([&] { return node.node_.Send(peer, PullOf("x")); });
  listener.Accept().Reset();
  WaitFor(thread, [&] { return node.unreachable_.size() == 1; });
  WaitFor(thread, [&] { return node.node_.Send(peer, PullOf("y")) > 0; });
  RawSocket second = listener.Accept();
  CHECK(!second.Read(24).empty()); // the start of an HTTP/2 connection
}

} // namespace boragepier::peer
