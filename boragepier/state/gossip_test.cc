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

// An instance of a fleet of ten.
struct GossipInstance
{
  explicit GossipInstance(int aNumber, GossipLimits aLimits = {})
    : state_(Peer(aNumber), {}, ParseStub)
    , gossip_(state_, 1, aLimits)
  {
    for (int i = 1; i <= 10; ++i) {
      state_.AcceptMember({ Peer(i), 0, false });
    }
  }

  // Takes the messages that may be sent now and charges aBytes for each.
  std::vector<Gossip::Outgoing> TakeMessages(MonotonicTime aNow, std::size_t aBytes = 10)
  {
    std::vector<Gossip::Outgoing> sent;
    while (auto item = gossip_.NextMessage(aNow)) {
      gossip_.OnSent(aBytes, aNow);
      sent.push_back(std::move(*item));
    }
    return sent;
  }

  void AcceptConfig(const std::string& aService, std::uint64_t aVersion, std::size_t aBodyBytes)
  {
    state_.AcceptConfig({ ServiceName(aService), aVersion, "p", std::string(aBodyBytes, 'x') });
  }

  FleetState state_;
  Gossip gossip_;
};

} // namespace

TEST_GROUP(Gossip)
{
  const MonotonicTime now_{ std::chrono::hours(1) };
  GossipInstance first_{ 1 };
  GossipInstance second_{ 2 };

  // Delivers messages between the two instances until none is left. Messages to others are lost.
  void DeliverUntilQuiet()
  {
    for (bool active = true; active;) {
      active = false;
      for (auto [from, to] : { std::pair(&first_, &second_), std::pair(&second_, &first_) }) {
        for (Gossip::Outgoing& item : from->TakeMessages(now_)) {
          if (item.peer_ == to->state_.Self()) {
            to->gossip_.OnMessage(from->state_.Self(), std::move(item.message_), 10, now_);
            active = true;
          }
        }
      }
    }
  }
};

// Guards against differences between two instances that digests do not repair in both directions.
TEST(Gossip, DigestsRepairDifferencesInBothDirections)
{
  first_.AcceptConfig("stock", 2, 10);
  first_.AcceptConfig("orders", 1, 5000);
  second_.AcceptConfig("stock", 1, 10);
  second_.AcceptConfig("prices", 4, 10);
  second_.state_.RecordDeparture(UpstreamId("u-1"), 3);
  const auto sameConfigs = [&] {
    return std::ranges::equal(first_.state_.Configs().Versions().BucketChecksums(),
                              second_.state_.Configs().Versions().BucketChecksums());
  };
  // Several ticks are needed: a digest goes to two of nine peers, and a large body fills a message.
  for (int i = 0; i < 100 && !sameConfigs(); ++i) {
    first_.gossip_.Tick();
    DeliverUntilQuiet();
  }
  CHECK(sameConfigs());
  CHECK_EQUAL(4U, first_.state_.Configs().AcceptedVersion(ServiceName("prices")));
  CHECK_EQUAL(2U, second_.state_.Configs().AcceptedVersion(ServiceName("stock")));
  CHECK(first_.state_.UpstreamDepartures().IsDeparting("u-1", 3));
}

// Guards against new entries that are not pushed before the next digest, or are pushed to all
// instances, and against large bodies that are pushed whole although they can be pulled.
TEST(Gossip, NewEntriesArePushedToFourPeersAndLargeOnesOffered)
{
  first_.AcceptConfig("stock", 1, 10);
  first_.gossip_.QueueUpdate(PeerSection::Configs, "stock", false);
  std::vector<Gossip::Outgoing> sent = first_.TakeMessages(now_);
  CHECK_EQUAL(kPushFanout, sent.size());
  for (const Gossip::Outgoing& item : sent) {
    CHECK(std::holds_alternative<PeerConfigs>(item.message_));
  }
  first_.AcceptConfig("orders", 1, 20000);
  first_.gossip_.QueueUpdate(PeerSection::Configs, "orders", false);
  sent = first_.TakeMessages(now_);
  CHECK_EQUAL(kPushFanout, sent.size());
  CHECK(std::holds_alternative<PeerKeyVersions>(sent.front().message_));
}

// Guards against pulling an entry from each of several peers that offer it at the same time.
TEST(Gossip, AnEntryIsPulledFromOnePeerAtATime)
{
  const PeerKeyVersions offeredVersions{ PeerSection::Configs, {}, { { "stock", { 3, 0 } } } };
  second_.gossip_.OnMessage(Peer(3), offeredVersions, 10, now_);
  second_.gossip_.OnMessage(Peer(4), offeredVersions, 10, now_);
  CHECK_EQUAL(1U, second_.TakeMessages(now_).size());
  // After the pull timed out, another peer is asked.
  second_.gossip_.OnMessage(Peer(4), offeredVersions, 10, now_ + std::chrono::seconds(1));
  CHECK_EQUAL(1U, second_.TakeMessages(now_ + std::chrono::seconds(1)).size());
}

// Guards against sending or queuing more than the limits allow.
TEST(Gossip, BytesAndQueuesAreBounded)
{
  GossipLimits limits;
  limits.bytesPerSecond_ = 1000;
  limits.maxQueuedMessages_ = 5;
  limits.maxPendingUpdates_ = 3;
  GossipInstance instance(1, limits);
  instance.AcceptConfig("stock", 1, 10);
  for (int i = 0; i < 8; ++i) {
    instance.gossip_.OnMessage(Peer(3), PeerPull{ PeerSection::Configs, { "stock" } }, 10, now_);
  }
  CHECK_EQUAL(3U, instance.gossip_.DroppedCount());
  // The second message of 600 bytes exceeds the budget of 1000 bytes, so a third one has to wait.
  CHECK_EQUAL(2U, instance.TakeMessages(now_, 600).size());
  CHECK(instance.gossip_.TimeUntilNextMessage(now_).value() >= std::chrono::milliseconds(200));
  CHECK_EQUAL(2U, instance.TakeMessages(now_ + std::chrono::milliseconds(1300), 600).size());
  for (int i = 0; i < 4; ++i) {
    instance.gossip_.QueueUpdate(PeerSection::Processes, "upstream/" + std::to_string(i), false);
  }
  CHECK_EQUAL(4U, instance.gossip_.DroppedCount());
}

// Guards against invalid accesses for messages with bucket numbers, bucket counts or keys that this
// instance does not have.
TEST(Gossip, UnknownBucketsAreIgnored)
{
  first_.AcceptConfig("stock", 1, 10);
  first_.gossip_.OnMessage(
    Peer(2), PeerKeyVersions{ PeerSection::Configs, { 60000 }, {} }, 10, now_);
  first_.gossip_.OnMessage(Peer(2), PeerDigest{ 0, 0, 0, false, { 1, 2 }, {}, {} }, 10, now_);
  CHECK(first_.TakeMessages(now_).empty());
  first_.gossip_.OnMessage(Peer(2), PeerPull{ PeerSection::Departures, { "?" } }, 10, now_);
  // A record without a service name is rejected.
  CHECK(first_.gossip_.OnMessage(Peer(2), PeerConfigs{ { {} } }, 10, now_).size() == 1);
}

} // namespace boragepier
