#include "boragepier/state/fleet_state.h"

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

ListedProcess
Upstream(const std::string& aId, std::uint64_t aStartNumber)
{
  ListedProcess process;
  process.id_ = aId;
  process.role_ = "upstream";
  process.service_ = "stock";
  process.startNumber_ = aStartNumber;
  return process;
}

PeerEndpoint
Peer(const std::string& aId)
{
  return { InstanceId(aId), "10.0.0." + aId, 7 };
}

} // namespace

TEST_GROUP(FleetState)
{
  const std::vector<PeerEndpoint> seeds_{ { {}, "10.0.0.2", 7 } };
  FleetState state_{ Peer("1"), seeds_, ParseStub };
  std::vector<ListedProcess> list_{ Upstream("u-1", 5), Upstream("u-2", 5) };

  void setup() override
  {
    state_.AcceptConfig({ ServiceName("stock"), 1, "p", "b" });
  }
  void AdvanceRounds(std::uint64_t aCount)
  {
    for (std::uint64_t i = 0; i < aCount; ++i) {
      state_.NextRound();
    }
  }
  std::size_t RoutedUpstreamCount()
  {
    return state_.TakeRoutingTable()->services_.at(0).upstreams_.size();
  }
};

// Guards against removing upstreams because the list was incomplete for a short time.
TEST(FleetState, AMissingUpstreamIsUsedDuringTheGracePeriod)
{
  state_.MergeList(list_);
  AdvanceRounds(5);
  list_.pop_back();
  CHECK_EQUAL(1U, state_.MergeList(list_).size());
  AdvanceRounds(kMissingGraceRounds - 1);
  CHECK_EQUAL(2U, RoutedUpstreamCount());
  AdvanceRounds(1);
  CHECK_EQUAL(1U, RoutedUpstreamCount());
  CHECK(state_.MergeList({}).empty()); // a list without upstreams removes none
}

// Guards against an instance with an outdated view that restores an earlier start or a process that
// has been removed.
TEST(FleetState, AnOlderStartNeverReplacesANewerOne)
{
  state_.MergeList(list_);
  list_[0].startNumber_ = 6;
  state_.MergeList(list_);
  list_[0].startNumber_ = 5;
  CHECK(state_.MergeList(list_).empty());
  CHECK(!state_.AcceptProcess({ Upstream("u-1", 5), 100, false }));
  list_.erase(list_.begin());
  state_.MergeList(list_);
  AdvanceRounds(kTombstoneRounds - 1);
  CHECK(!state_.AcceptProcess({ Upstream("u-1", 6), 0, false }));
  AdvanceRounds(10);
  CHECK(state_.Processes().FindUpstream(UpstreamId("u-1")) == nullptr);
  CHECK(!state_.AcceptProcess({ Upstream("u-1", 6), 0, true }));
}

// Guards against a departure of an earlier start that a peer with an older list restores.
TEST(FleetState, ADepartureIsRefusedAfterANewerStart)
{
  CHECK(state_.RecordDeparture(UpstreamId("u-1"), 5));
  CHECK(!state_.RecordDeparture(UpstreamId("u-1"), 4));
  list_[0].startNumber_ = 6;
  state_.MergeList(list_);
  AdvanceRounds(1);
  CHECK(!state_.UpstreamDepartures().IsDeparting("u-1", 5));
  CHECK(!state_.AcceptDeparture({ UpstreamId("u-1"), 5, 1 }, 1));
  CHECK(state_.AcceptDeparture({ UpstreamId("u-1"), 6, 1 }, 1));
}

// Guards against losing a departure that an instance saw before its first contact with peers: when
// it adopts the much higher round of the fleet, the departure must not look old.
TEST(FleetState, ADepartureSurvivesAdoptingTheRoundOfTheFleet)
{
  state_.MergeList(list_);
  state_.RecordDeparture(UpstreamId("u-1"), 5);
  state_.AdoptRound(100000);
  state_.MergeList(list_);
  CHECK(state_.UpstreamDepartures().IsDeparting("u-1", 5));
  AdvanceRounds(kDepartureTimeoutRounds);
  CHECK(state_.UpstreamDepartures().IsDeparting("u-1", 5)); // the list has not been fetched since
  state_.MergeList(list_);
  AdvanceRounds(1);
  CHECK(!state_.UpstreamDepartures().IsDeparting("u-1", 5));
}

// Guards against counting a seed twice, and against peers that stay live although nobody hears from
// them.
TEST(FleetState, MembersAreListedInstancesSeedsAndPeersHeardFrom)
{
  CHECK_EQUAL(1U, state_.Members().ReachablePeers(0).size());
  CHECK_EQUAL(1U, state_.Members().LiveInstances(0).size()); // the seed has not been heard from
  state_.AcceptMember({ Peer("2"), 0, false });
  CHECK_EQUAL(1U, state_.Members().ReachablePeers(0).size());
  CHECK_EQUAL(2U, state_.Members().LiveInstances(0).size());
  ListedProcess listed;
  listed.id_ = "3";
  listed.role_ = "entry";
  list_.push_back(listed);
  state_.MergeList(list_);
  CHECK_EQUAL(3U, state_.Members().LiveInstances(0).size());
  state_.OnPeerUnreachable(InstanceId("3"));
  CHECK_EQUAL(2U, state_.Members().LiveInstances(0).size());
  AdvanceRounds(kMemberTimeoutRounds);
  CHECK_EQUAL(
    2U, state_.Members().LiveInstances(kMemberTimeoutRounds).size()); // 3 is listed, 2 has expired
  CHECK(!state_.AcceptMember({ Peer("2"), 0, false }));
}

// Guards against rounds in which no instance or too many instances poll the store.
TEST(FleetState, TwoInstancesPollInEachRound)
{
  std::vector<std::unique_ptr<FleetState>> fleet;
  for (int i = 0; i < 15; ++i) {
    fleet.push_back(std::make_unique<FleetState>(
      Peer(std::to_string(i)), std::span<const PeerEndpoint>(), ParseStub));
    for (int j = 0; j < 15; ++j) {
      fleet.back()->AcceptMember({ Peer(std::to_string(j)), 0, false });
    }
  }
  CHECK(state_.IsPoller()); // an instance without peers is always a poller
  for (int round = 0; round < 50; ++round) {
    int pollers = 0;
    for (const auto& instance : fleet) {
      pollers += instance->IsPoller() ? 1 : 0;
      instance->NextRound();
    }
    CHECK_EQUAL(2, pollers);
  }
}

} // namespace boragepier
