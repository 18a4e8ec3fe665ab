#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "boragepier/peer/http2_transport.h"
#include "boragepier/quota/quota_agent.h"
#include "testing/wire/loop_thread.h"

// Quotas over real connections between instances.

namespace boragepier {

namespace {

using std::chrono::seconds;

// Used in the loop thread only.
struct Instance
{
  Instance(net::EventLoop& aLoop, const std::string& aId)
    : peers_(aLoop)
    , entry_{ InstanceId(aId), "127.0.0.1", peers_.Listen("127.0.0.1", 0), 100, ZoneName("z") }
    , agent_(aLoop, peers_, entry_.id_, entry_.zone_, { seconds(5), 0.1, 20 }, 5)
  {
    peers_.Start(
      { entry_.id_, entry_.address_, entry_.port_ },
      [this](const PeerEndpoint& aSender, const PeerMessage& aMessage, std::size_t) {
        agent_.OnMessage(aSender, aMessage);
      },
      [this](const InstanceId& aPeer) { agent_.OnUnreachable(aPeer); });
  }

  peer::Http2Transport peers_;
  InstanceEntry entry_;
  QuotaAgent<net::EventLoop, peer::Http2Transport> agent_;
};

} // namespace

TEST_GROUP(QuotaPeers){};

// Guards against an agent whose messages do not pass the codec or the transport.
TEST(QuotaPeers, CreditComesFromAnotherInstance)
{
  net::EventLoop loop;
  Instance owner(loop, "owner");
  Instance asker(loop, "asker");
  Team team;
  team.terms_.name_ = TeamName("t");
  team.terms_.ratePerSecond_ = 1000;
  team.terms_.burst_ = 1000;
  team.id_ = TeamIdOf(team.terms_.name_);
  auto teams = std::make_shared<TeamDirectory>();
  teams->SetTeams(std::span(&team.terms_, 1));
  int decided = 0;
  testing::LoopThread thread(loop);
  thread.Run([&] {
    for (Instance* const instance : { &owner, &asker }) {
      instance->agent_.SetTeams(teams);
      instance->agent_.SetInstances(std::vector<InstanceEntry>{ owner.entry_ });
    }
    // As many as the buckets hold at their start, and without a limit on the wait.
    for (int i = 0; i < 10; ++i) {
      const MonotonicTime now = loop.Now();
      asker.agent_.Admit(team, now, now + seconds(60), [&](const QuotaVerdict&) { ++decided; });
    }
    return true;
  });
  const auto end = std::chrono::steady_clock::now() + seconds(30);
  while (!thread.Run([&] { return decided == 10; })) {
    CHECK_TRUE_TEXT(std::chrono::steady_clock::now() < end, "no verdict in time");
  }
  thread.Run([&] {
    CHECK(owner.agent_.GetCounters().grantsGiven_ > 0);
    CHECK(asker.agent_.GetCounters().messagesSent_ > 0);
    CHECK_EQUAL(0U, owner.peers_.Counters().malformed_);
    return true;
  });
}

} // namespace boragepier
