// Benchmark: CPU time and bytes of a message that one instance sends to another over loopback.
// Prints the results and has no pass criterion.
//
//   build/boragepier/peer/peer_cost

#include <cstdio>
#include <ctime>

#include "boragepier/peer/http2_transport.h"
#include "boragepier/peer/peer_codec.h"

namespace boragepier::peer {

namespace {

constexpr int kMeasuredMessages = 20000;

double
ProcessCpuMicroseconds()
{
  std::timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

// Sends the same message many times from one transport to another, each time after the previous one
// was received.
class MessageBenchmark
{
public:
  explicit MessageBenchmark(PeerMessage aMessage)
    : message_(std::move(aMessage))
    , sender_(loop_, WithoutRateLimits())
    , receiver_(loop_, WithoutRateLimits())
    , target_{ InstanceId("instance-2"), "127.0.0.1", receiver_.Listen("127.0.0.1", 0) }
  {
    sender_.Start(
      { InstanceId("instance-1"), "127.0.0.1", 9 }, [](auto&&...) {}, [](auto&&) {});
    receiver_.Start(
      target_, [this](auto&&...) { OnMessage(); }, [](auto&&) {});
  }

  void Measure(const char* aName)
  {
    loop_.Post([this] { sender_.Send(target_, message_); });
    loop_.Run();
    const PeerCounters counters = sender_.Counters();
    const double wireBytes =
      static_cast<double>(counters.bytesSent_ + counters.bytesReceived_ - firstMessageBytes_) /
      kMeasuredMessages;
    const auto encodedBytes = static_cast<double>(EncodePeerMessage(message_).size());
    std::printf(
      "%-28s %6.0f bytes, framing in both directions %4.1f bytes, for the first message %4.0f; "
      "%5.1f us of CPU time in sender and receiver\n",
      aName,
      encodedBytes,
      wireBytes - encodedBytes,
      static_cast<double>(firstMessageBytes_) - encodedBytes,
      (ProcessCpuMicroseconds() - startCpuMicroseconds_) / kMeasuredMessages);
  }

private:
  static PeerLimits WithoutRateLimits()
  {
    PeerLimits limits;
    limits.maxReceivedBytesPerSecond_ = 1e12;
    limits.maxReceivedMessagesPerSecond_ = 1e12;
    return limits;
  }

  // Runs before the response to the message is sent, so the next message is sent in a later task.
  // The first message opens the connection and is not part of the average.
  void OnMessage()
  {
    loop_.After(Duration::zero(), [this] {
      if (receivedMessages_++ == 0) {
        firstMessageBytes_ = sender_.Counters().bytesSent_ + sender_.Counters().bytesReceived_;
        startCpuMicroseconds_ = ProcessCpuMicroseconds();
      }
      if (receivedMessages_ > kMeasuredMessages) {
        loop_.Stop();
      } else {
        sender_.Send(target_, message_);
      }
    });
  }

  net::EventLoop loop_;
  PeerMessage message_;
  Http2Transport sender_;
  Http2Transport receiver_;
  PeerEndpoint target_;
  int receivedMessages_ = 0;
  std::uint64_t firstMessageBytes_ = 0;
  double startCpuMicroseconds_ = 0;
};

void
MeasureAll()
{
  MessageBenchmark(PeerDigest{ 100000,
                               20000,
                               99999,
                               false,
                               std::vector<std::uint32_t>(16, 7),
                               std::vector<std::uint32_t>(64, 7),
                               std::vector<std::uint32_t>(4, 7) })
    .Measure("digest");
  MessageBenchmark(
    PeerConfigs{ { { ServiceName("stock-lookup"), 17, "publish", std::string(600, 'x') } } })
    .Measure("one configuration");
  MessageBenchmark(PeerDepartures{ 100000, { { UpstreamId("stock-lookup-3"), 12, 100000 } } })
    .Measure("one departure");
  MessageBenchmark(
    PeerKeyVersions{
      PeerSection::Processes,
      { 1, 2 },
      std::vector<PeerKeyVersions::KeyVersion>(
        128, PeerKeyVersions::KeyVersion{ "upstream/stock-lookup-33", { 12, 1ULL << 40 } }) })
    .Measure("128 key versions");
}

} // namespace

} // namespace boragepier::peer

int
main()
{
  boragepier::peer::MeasureAll();
}
