#include "boragepier/state/gossip.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

ServiceConfig
ParseStub(std::string_view, std::string_view aName)
{
  ServiceConfig config;
  config.name_ = ServiceName(std::string(aName));
  return config;
}

PeerEndpoint
Peer(int aNumber)
{
  const std::string text = std::to_string(aNumber);
  return { InstanceId("i-" + text), "10.0.0." + text, 7 };
}

// An instance that knows ten others.
struct Side
{
  explicit Side(int aNumber, GossipLimits aLimits = {})
    : state_(Peer(aNumber), {}, ParseStub)
    , gossip_(state_, 1, aLimits)
  {
    for (int i = 1; i <= 10; ++i) {
      state_.AcceptMember({ Peer(i), 0, false });
    }
  }

  // Messages that may be sent now; each costs aBytes.
  std::vector<Gossip::Outgoing> Sent(MonotonicTime aNow, std::size_t aBytes = 10)
  {
    std::vector<Gossip::Outgoing> sent;
    while (auto item = gossip_.Next(aNow)) {
      gossip_.OnSent(aBytes, aNow);
      sent.push_back(std::move(*item));
    }
    return sent;
  }

  void Put(const std::string& aService, std::uint64_t aVersion, std::size_t aBody)
  {
    state_.AcceptConfig({ ServiceName(aService), aVersion, "p", std::string(aBody, 'x') });
  }

  FleetState state_;
  Gossip gossip_;
};

} // namespace

TEST_GROUP(Gossip)
{
  const MonotonicTime now_{ std::chrono::hours(1) };
  Side left_{ 1 };
  Side right_{ 2 };

  // Passes messages between the two sides until none is left.
  void Converse()
  {
    for (bool active = true; active;) {
      active = false;
      for (auto [from, to] : { std::pair(&left_, &right_), std::pair(&right_, &left_) }) {
        for (Gossip::Outgoing& item : from->Sent(now_)) {
          if (item.peer_ == to->state_.Self()) {
            to->gossip_.OnMessage(from->state_.Self(), std::move(item.message_), 10, now_);
            active = true;
          }
        }
      }
    }
  }
};

// Guards against a difference that digests do not find, in either direction.
TEST(Gossip, ADigestLeadsToTheExchangeOfWhatEachSideLacks)
{
  left_.Put("stock", 2, 10);
  left_.Put("orders", 1, 5000);
  right_.Put("stock", 1, 10);
  right_.Put("prices", 4, 10);
  right_.state_.SignalDeparture(UpstreamId("u-1"), 3);
  const auto same = [&] {
    return std::ranges::equal(left_.state_.Configs().Index().Sums(),
                              right_.state_.Configs().Index().Sums());
  };
  // A digest reaches the other side with each fifth tick on average, and a large body fills a
  // message by itself.
  for (int i = 0; i < 100 && !same(); ++i) {
    left_.gossip_.Tick();
    Converse();
  }
  CHECK(same());
  CHECK_EQUAL(4U, left_.state_.Configs().VersionOf(ServiceName("prices")));
  CHECK_EQUAL(2U, right_.state_.Configs().VersionOf(ServiceName("stock")));
  CHECK(left_.state_.Departing().Holds("u-1", 3));
}

// Guards against news that waits for the next digest, or that goes to all instances.
TEST(Gossip, NewsGoesToFourPeersAtOnceOrOnceItIsLarge)
{
  left_.Put("stock", 1, 10);
  left_.gossip_.AddNews(PeerSection::Configs, "stock", false);
  std::vector<Gossip::Outgoing> sent = left_.Sent(now_);
  CHECK_EQUAL(kNewsPeers, sent.size());
  for (const Gossip::Outgoing& item : sent) {
    CHECK(std::holds_alternative<PeerConfigs>(item.message_));
  }
  left_.Put("orders", 1, 20000);
  left_.gossip_.AddNews(PeerSection::Configs, "orders", false);
  sent = left_.Sent(now_);
  CHECK_EQUAL(kNewsPeers, sent.size());
  CHECK(std::holds_alternative<PeerKeyVersions>(sent.front().message_));
}

// Guards against a body that several peers offer at once and that is pulled from each of them.
TEST(Gossip, AnEntryIsPulledOnceAtATime)
{
  const PeerKeyVersions offer{ PeerSection::Configs, {}, { { "stock", { 3, 0 } } } };
  right_.gossip_.OnMessage(Peer(3), offer, 10, now_);
  right_.gossip_.OnMessage(Peer(4), offer, 10, now_);
  CHECK_EQUAL(1U, right_.Sent(now_).size());
  right_.gossip_.OnMessage(Peer(4), offer, 10, now_ + std::chrono::seconds(1)); // no answer came
  CHECK_EQUAL(1U, right_.Sent(now_ + std::chrono::seconds(1)).size());
}

// Guards against an instance that sends or keeps more than its limits allow.
TEST(Gossip, BytesAndQueuesAreBounded)
{
  GossipLimits limits;
  limits.bytesPerSecond_ = 1000;
  limits.queuedMessages_ = 5;
  limits.pendingNews_ = 3;
  Side side(1, limits);
  side.Put("stock", 1, 10);
  for (int i = 0; i < 8; ++i) {
    side.gossip_.OnMessage(Peer(3), PeerPull{ PeerSection::Configs, { "stock" } }, 10, now_);
  }
  CHECK_EQUAL(3U, side.gossip_.Dropped());
  CHECK_EQUAL(2U, side.Sent(now_, 600).size()); // the second one uses up the second's budget
  CHECK(side.gossip_.Wait(now_).value() >= std::chrono::milliseconds(200));
  CHECK_EQUAL(2U, side.Sent(now_ + std::chrono::milliseconds(1300), 600).size());
  for (int i = 0; i < 4; ++i) {
    side.gossip_.AddNews(PeerSection::Processes, "upstream/" + std::to_string(i), false);
  }
  CHECK_EQUAL(4U, side.gossip_.Dropped());
}

// Guards against messages with indices or sizes that fit another version of the bucket layout.
TEST(Gossip, UnknownBucketsAreIgnored)
{
  left_.Put("stock", 1, 10);
  left_.gossip_.OnMessage(
    Peer(2), PeerKeyVersions{ PeerSection::Configs, { 60000 }, {} }, 10, now_);
  left_.gossip_.OnMessage(Peer(2), PeerDigest{ 0, 0, 0, false, { 1, 2 }, {}, {} }, 10, now_);
  CHECK(left_.Sent(now_).empty());
  left_.gossip_.OnMessage(Peer(2), PeerPull{ PeerSection::Departures, { "?" } }, 10, now_);
  CHECK(left_.gossip_.OnMessage(Peer(2), PeerConfigs{ { {} } }, 10, now_).size() == 1); // no name
}

} // namespace boragepier
