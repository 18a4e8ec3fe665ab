#include "boragepier/state/fleet_state.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace boragepier {

namespace {

constexpr std::size_t kPollersPerRound = 2;
constexpr std::string_view kUpstreamRole = "upstream";
constexpr std::string_view kEntryRole = "entry";

std::uint64_t
PollerRank(const InstanceId& aInstance, std::uint64_t aRound)
{
  return XXH3_64bits_withSeed(aInstance.View().data(), aInstance.View().size(), aRound);
}

UpstreamEndpoint
ToEndpoint(const ListedProcess& aProcess)
{
  return { UpstreamId(aProcess.id_), aProcess.address_,     aProcess.port_,
           ZoneName(aProcess.zone_), aProcess.startNumber_, aProcess.leaving_ };
}

} // namespace

FleetState::FleetState(PeerEndpoint aSelf,
                       std::span<const PeerEndpoint> aSeeds,
                       ConfigParser aParser)
  : self_(std::move(aSelf))
  , configs_(std::move(aParser))
  , members_(self_, aSeeds)
{
}

bool
FleetState::AcceptConfig(ConfigRecord aRecord)
{
  const bool accepted = configs_.Accept(std::move(aRecord));
  routingChanged_ = routingChanged_ || accepted;
  return accepted;
}

std::vector<std::string>
FleetState::MergeList(std::span<const ListedProcess> aList)
{
  std::vector<std::string> keys = processes_.Merge(aList, round_);
  if (!keys.empty()) {
    OnListChanged();
  }
  // A leaving upstream in the list is a signal even if its entry has not changed, so that the
  // departure does not end.
  for (const ListedProcess& process : aList) {
    if (process.role_ == kUpstreamRole && process.leaving_) {
      RecordDeparture(UpstreamId(process.id_), process.startNumber_);
    }
  }
  return keys;
}

bool
FleetState::AcceptProcess(const ProcessEntry& aEntry)
{
  if (!processes_.Accept(aEntry, round_)) {
    return false;
  }
  if (const ListedProcess& process = aEntry.process_;
      process.role_ == kUpstreamRole && process.leaving_) {
    // The signal gets the current round instead of the round of the entry, which can come from an
    // instance that had just started.
    RecordDeparture(UpstreamId(process.id_), process.startNumber_);
  }
  routingChanged_ = true;
  if (aEntry.process_.role_ == kEntryRole) {
    OnListChanged();
  }
  return true;
}

void
FleetState::OnListChanged()
{
  routingChanged_ = true;
  std::vector<MemberEntry> instances;
  for (const auto& [key, entry] : processes_.All()) {
    const ListedProcess& process = entry.process_;
    if (process.role_ == kEntryRole && ProcessList::IsUsable(entry, round_)) {
      instances.push_back({ { InstanceId(process.id_), process.address_, process.peerPort_ },
                            entry.round_,
                            process.leaving_ });
    }
  }
  members_.SetListed(instances);
  liveMayHaveChanged_ = true;
}

bool
FleetState::RecordDeparture(const UpstreamId& aUpstream, std::uint64_t aStartNumber)
{
  const bool isNew = departures_.RecordSignal(aUpstream, aStartNumber, round_);
  routingChanged_ = routingChanged_ || isNew;
  return isNew;
}

bool
FleetState::AcceptDeparture(Departure aDeparture, std::uint64_t aSenderRound)
{
  if (IsBehind(aSenderRound)) {
    // Converts the round of the sender, which was not connected to the fleet, to that of the fleet.
    aDeparture.round_ = std::min(aDeparture.round_ + (round_ - aSenderRound), round_);
  }
  const bool isNew = departures_.Accept(aDeparture, round_);
  routingChanged_ = routingChanged_ || isNew;
  return isNew;
}

bool
FleetState::AcceptMember(const MemberEntry& aMember)
{
  const bool isNew = members_.Accept(aMember, round_);
  liveMayHaveChanged_ = liveMayHaveChanged_ || isNew;
  return isNew;
}

void
FleetState::OnPeerUnreachable(const InstanceId& aPeer)
{
  members_.MarkUnreachable(aPeer, round_);
  liveMayHaveChanged_ = true;
}

void
FleetState::NextRound()
{
  round_ = std::min(round_ + 1, kMaxRound);
  processes_.Expire(round_);
  members_.Expire(round_);
  liveMayHaveChanged_ = true;
  const bool ended = departures_.Expire(round_);
  const bool graceEnded = std::ranges::any_of(processes_.All(), [&](const auto& aItem) {
    const ProcessEntry& entry = aItem.second;
    return entry.missing_ && entry.round_ + kMissingGraceRounds == round_;
  });
  if (graceEnded) {
    OnListChanged();
  }
  routingChanged_ = routingChanged_ || ended;
}

void
FleetState::AdoptRound(std::uint64_t aRound)
{
  if (aRound <= round_ || aRound > kMaxRound) {
    return;
  }
  if (aRound - round_ > kMaxRoundLag) {
    departures_.ShiftRounds(aRound - round_, aRound);
  }
  round_ = aRound - 1;
  NextRound();
}

bool
FleetState::IsPoller() const
{
  const std::uint64_t ownRank = PollerRank(self_.id_, round_);
  const std::vector<InstanceId> live = members_.LiveInstances(round_);
  const auto higherRanked = std::ranges::count_if(
    live, [&](const InstanceId& aId) { return PollerRank(aId, round_) > ownRank; });
  return static_cast<std::size_t>(higherRanked) < kPollersPerRound;
}

std::map<std::string_view, std::vector<UpstreamEndpoint>>
FleetState::UpstreamsByService() const
{
  std::map<std::string_view, std::vector<UpstreamEndpoint>> upstreams;
  for (const auto& [key, entry] : processes_.All()) {
    const ListedProcess& process = entry.process_;
    if (process.role_ != kUpstreamRole || !ProcessList::IsUsable(entry, round_)) {
      continue;
    }
    UpstreamEndpoint endpoint = ToEndpoint(process);
    endpoint.leaving_ =
      endpoint.leaving_ || departures_.IsDeparting(process.id_, process.startNumber_);
    upstreams[process.service_].push_back(std::move(endpoint));
  }
  return upstreams;
}

std::shared_ptr<const RoutingTable>
FleetState::TakeRoutingTable()
{
  if (!routingChanged_ && !liveMayHaveChanged_) {
    return nullptr;
  }
  liveMayHaveChanged_ = false;
  std::vector<InstanceId> live = members_.LiveInstances(round_);
  if (!routingChanged_ && live == lastLive_) {
    return nullptr;
  }
  routingChanged_ = false;
  lastLive_ = live;
  auto table = std::make_shared<RoutingTable>();
  table->instances_ = std::move(live);
  auto upstreams = UpstreamsByService();
  for (const auto& [service, entry] : configs_.All()) {
    if (entry.activeConfig_) {
      table->services_.push_back(
        { *entry.activeConfig_, entry.activeVersion_, std::move(upstreams[service.View()]) });
    }
  }
  return table;
}

} // namespace boragepier
