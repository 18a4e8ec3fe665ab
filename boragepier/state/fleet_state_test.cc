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
Upstream(const std::string& aId, std::uint64_t aStart)
{
  ListedProcess process;
  process.id_ = aId;
  process.role_ = "upstream";
  process.service_ = "stock";
  process.startNumber_ = aStart;
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
  void Rounds(std::uint64_t aCount)
  {
    for (std::uint64_t i = 0; i < aCount; ++i) {
      state_.NextRound();
    }
  }
  std::size_t Routed()
  {
    return state_.TakeRouting()->services_.at(0).upstreams_.size();
  }
};

// Guards against an outage of all upstreams because the list was wrong for a moment.
TEST(FleetState, AnUpstreamMissingFromTheListIsUsedForAWhile)
{
  state_.MergeList(list_);
  Rounds(5);
  list_.pop_back();
  CHECK_EQUAL(1U, state_.MergeList(list_).size());
  Rounds(kMissingGraceRounds - 1);
  CHECK_EQUAL(2U, Routed());
  Rounds(1);
  CHECK_EQUAL(1U, Routed());
  CHECK(state_.MergeList({}).empty()); // a list without any upstream is an error
}

// Guards against an instance with an old view that brings back an earlier start or a process that
// is gone.
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
  Rounds(kForgetRounds - 1);
  CHECK(!state_.AcceptProcess({ Upstream("u-1", 6), 0, false }));
  Rounds(10);
  CHECK(state_.Processes().FindUpstream(UpstreamId("u-1")) == nullptr);
  CHECK(!state_.AcceptProcess({ Upstream("u-1", 6), 0, true }));
}

// Guards against a departure that a peer without the newer list brings back.
TEST(FleetState, ADepartureIsRefusedAfterANewerStart)
{
  CHECK(state_.SignalDeparture(UpstreamId("u-1"), 5));
  CHECK(!state_.SignalDeparture(UpstreamId("u-1"), 4));
  list_[0].startNumber_ = 6;
  state_.MergeList(list_);
  Rounds(1);
  CHECK(!state_.Departing().Holds("u-1", 5));
  CHECK(!state_.AcceptDeparture({ UpstreamId("u-1"), 5, 1 }, 1));
  CHECK(state_.AcceptDeparture({ UpstreamId("u-1"), 6, 1 }, 1));
}

// Guards against a departure seen before the first contact with peers that ends at once because
// the fleet's round is far ahead.
TEST(FleetState, ADepartureSurvivesTheJumpToTheRoundOfTheFleet)
{
  state_.MergeList(list_);
  state_.SignalDeparture(UpstreamId("u-1"), 5);
  state_.JumpTo(100000);
  state_.MergeList(list_);
  CHECK(state_.Departing().Holds("u-1", 5));
  Rounds(kDepartureRounds);
  CHECK(state_.Departing().Holds("u-1", 5)); // the list was not fetched since
  state_.MergeList(list_);
  Rounds(1);
  CHECK(!state_.Departing().Holds("u-1", 5));
}

// Guards against a seed that is counted twice, and a silent peer that is counted for ever.
TEST(FleetState, MembersAreTheListSeedsAndPeersHeardFrom)
{
  CHECK_EQUAL(1U, state_.Members().Peers(0).size());
  CHECK_EQUAL(1U, state_.Members().Live(0).size()); // it is not known whether the seed runs
  state_.AcceptMember({ Peer("2"), 0, false });
  CHECK_EQUAL(1U, state_.Members().Peers(0).size());
  CHECK_EQUAL(2U, state_.Members().Live(0).size());
  ListedProcess listed;
  listed.id_ = "3";
  listed.role_ = "entry";
  list_.push_back(listed);
  state_.MergeList(list_);
  CHECK_EQUAL(3U, state_.Members().Live(0).size());
  state_.PeerUnreachable(InstanceId("3"));
  CHECK_EQUAL(2U, state_.Members().Live(0).size());
  Rounds(kMemberRounds);
  CHECK_EQUAL(2U, state_.Members().Live(kMemberRounds).size()); // 3 is listed, 2 was silent
  CHECK(!state_.AcceptMember({ Peer("2"), 0, false }));
}

// Guards against rounds in which nobody, or many instances, read the store.
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
  CHECK(state_.IsPoller()); // without peers it polls by itself
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
