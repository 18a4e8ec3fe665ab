// Measures processor time and bytes of a message between two instances over loopback. Prints
// figures; gives no verdict.
//
//   build/boragepier/peer/peer_cost

#include <cstdio>
#include <ctime>

#include "boragepier/peer/peer_codec.h"
#include "boragepier/peer/peer_node.h"

namespace boragepier::peer {

namespace {

constexpr int kMessages = 20000;

double
ProcessorMicroseconds()
{
  std::timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

// Sends messages one after the other from one node to another.
class Run
{
public:
  explicit Run(PeerMessage aMessage)
    : message_(std::move(aMessage))
    , sender_(loop_, Unlimited())
    , receiver_(loop_, Unlimited())
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
    const double bytes =
      static_cast<double>(counters.bytesSent_ + counters.bytesReceived_ - firstBytes_) / kMessages;
    const auto encoded = static_cast<double>(EncodePeerMessage(message_).size());
    std::printf("%-28s %6.0f bytes, framing of both directions %4.1f bytes, first message %4.0f; "
                "%5.1f us of processor time for sender and receiver\n",
                aName,
                encoded,
                bytes - encoded,
                static_cast<double>(firstBytes_) - encoded,
                (ProcessorMicroseconds() - start_) / kMessages);
  }

private:
  static PeerLimits Unlimited()
  {
    PeerLimits limits;
    limits.receivedBytesPerSecond_ = 1e12;
    limits.receivedMessagesPerSecond_ = 1e12;
    return limits;
  }

  // Runs before the answer is sent, so the next message follows in a task of its own.
  void OnMessage()
  {
    loop_.After(Duration::zero(), [this] {
      if (received_++ == 0) {
        firstBytes_ = sender_.Counters().bytesSent_ + sender_.Counters().bytesReceived_;
        start_ = ProcessorMicroseconds();
      }
      if (received_ > kMessages) {
        loop_.Stop();
      } else {
        sender_.Send(target_, message_);
      }
    });
  }

  net::EventLoop loop_;
  PeerMessage message_;
  PeerNode sender_;
  PeerNode receiver_;
  PeerEndpoint target_;
  int received_ = 0;
  std::uint64_t firstBytes_ = 0;
  double start_ = 0;
};

void
RunAll()
{
  Run(PeerDigest{ 100000,
                  20000,
                  99999,
                  false,
                  std::vector<std::uint32_t>(16, 7),
                  std::vector<std::uint32_t>(64, 7),
                  std::vector<std::uint32_t>(4, 7) })
    .Measure("digest");
  Run(PeerConfigs{ { { ServiceName("stock-lookup"), 17, "publish", std::string(600, 'x') } } })
    .Measure("one configuration");
  Run(PeerDepartures{ 100000, { { UpstreamId("stock-lookup-3"), 12, 100000 } } })
    .Measure("one departure");
  Run(PeerKeyVersions{
        PeerSection::Processes,
        { 1, 2 },
        std::vector<PeerKeyVersions::KeyVersion>(
          128, PeerKeyVersions::KeyVersion{ "upstream/stock-lookup-33", { 12, 1ULL << 40 } }) })
    .Measure("128 heads");
}

} // namespace

} // namespace boragepier::peer

int
main()
{
  boragepier::peer::RunAll();
}
