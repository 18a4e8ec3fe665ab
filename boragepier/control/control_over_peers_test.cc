#include "boragepier/control/control_plane.h"

#include <CppUTest/TestHarness.h>

#include "boragepier/peer/http2_transport.h"
#include "testing/wire/loop_thread.h"

namespace boragepier {

namespace {

// The store of a platform that is down.
struct UnavailableStore
{
  void Submit(const TableRequest&, MonotonicTime, const TableCallback& aDone)
  {
    loop_.Post([aDone] { aDone({}); });
  }
  net::EventLoop& loop_;
};

// The list of a platform that is down.
struct UnavailableList
{
  void Fetch(const ListCallback& aDone)
  {
    loop_.Post([aDone] { aDone(std::nullopt); });
  }
  net::EventLoop& loop_;
};

ServiceConfig
ParseStub(std::string_view, std::string_view aName)
{
  ServiceConfig config;
  config.name_ = ServiceName(std::string(aName));
  return config;
}

// An instance with the real transport, which knows the address of one other instance.
struct TestInstance
{
  TestInstance(net::EventLoop& aLoop, const std::string& aId, std::uint16_t aSeedPort)
    : store_{ aLoop }
    , list_{ aLoop }
    , peers_(aLoop)
    , self_{ InstanceId(aId), "127.0.0.1", peers_.Listen("127.0.0.1", 0) }
    , plane_(aLoop,
             store_,
             list_,
             peers_,
             ControlOptions(self_, ParseStub)
               .WithSeeds({ { InstanceId(), "127.0.0.1", aSeedPort } })
               .WithRandomSeed(self_.port_))
  {
    aLoop.Post([this] { plane_.Start(); });
  }

  bool HasConfigVersion(std::uint64_t aVersion) const
  {
    const ControlStatus status = plane_.Status();
    return !status.services_.empty() && status.services_[0].activeVersion_ >= aVersion;
  }

  UnavailableStore store_;
  UnavailableList list_;
  peer::Http2Transport peers_;
  PeerEndpoint self_;
  ControlPlane<UnavailableStore, UnavailableList, peer::Http2Transport> plane_;
};

template<typename Condition>
void
WaitFor(testing::LoopThread& aThread, Condition aCondition)
{
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (!aThread.Run(aCondition)) {
    CHECK_TRUE_TEXT(std::chrono::steady_clock::now() < deadline, "condition does not hold");
  }
}

} // namespace

TEST_GROUP(ControlOverPeers){};

// Guards against control planes that exchange state only in tests with virtual time. This test has
// the real transport and clock, no platform, and an instance that starts later.
TEST(ControlOverPeers, InstancesFindEachOtherAndExchangeStateWithoutThePlatform)
{
  net::EventLoop loop;
  TestInstance first(loop, "i-1", 0);
  TestInstance second(loop, "i-2", first.self_.port_);
  std::unique_ptr<TestInstance> third;
  testing::LoopThread thread(loop);
  WaitFor(thread, [&] { return first.plane_.Status().members_.size() == 2; });
  thread.Run([&] { return first.plane_.Announce({ ServiceName("stock"), 1, "p", "body" }); });
  WaitFor(thread, [&] { return second.HasConfigVersion(1); });

  third =
    thread.Run([&] { return std::make_unique<TestInstance>(loop, "i-3", second.self_.port_); });
  WaitFor(thread, [&] { return third->HasConfigVersion(1) && third->plane_.Ready(); });
  second.plane_.ReportLeaving(UpstreamId("u-1"), 7); // as a traffic thread does
  WaitFor(thread, [&] {
    return first.plane_.Status().departures_.size() == 1 &&
           third->plane_.Status().departures_.size() == 1;
  });
  thread.Run([&] {
    third->plane_.BeginShutdown();
    return 0;
  });
  WaitFor(thread, [&] { return first.plane_.Status().members_.size() == 2; });
}

} // namespace boragepier
