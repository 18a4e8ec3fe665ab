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
Rank(const InstanceId& aInstance, std::uint64_t aRound)
{
  return XXH3_64bits_withSeed(aInstance.View().data(), aInstance.View().size(), aRound);
}

UpstreamEndpoint
EndpointOf(const ListedProcess& aProcess)
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
  changed_ = changed_ || accepted;
  return accepted;
}

std::vector<std::string>
FleetState::MergeList(std::span<const ListedProcess> aList)
{
  std::vector<std::string> keys = processes_.Merge(aList, round_);
  if (!keys.empty()) {
    ListChanged();
  }
  // The list's word on a leaving upstream is a signal even if it has not changed.
  for (const ListedProcess& process : aList) {
    if (process.role_ == kUpstreamRole && process.leaving_) {
      SignalDeparture(UpstreamId(process.id_), process.startNumber_);
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
    // The round of the entry can be that of an instance that had just started.
    SignalDeparture(UpstreamId(process.id_), process.startNumber_);
  }
  changed_ = true;
  if (aEntry.process_.role_ == kEntryRole) {
    ListChanged();
  }
  return true;
}

void
FleetState::ListChanged()
{
  changed_ = true;
  std::vector<MemberEntry> instances;
  for (const auto& [key, entry] : processes_.All()) {
    const ListedProcess& process = entry.process_;
    if (process.role_ == kEntryRole && ProcessList::Usable(entry, round_)) {
      instances.push_back({ { InstanceId(process.id_), process.address_, process.peerPort_ },
                            entry.round_,
                            process.leaving_ });
    }
  }
  members_.SetListed(instances);
  membersChanged_ = true;
}

bool
FleetState::SignalDeparture(const UpstreamId& aUpstream, std::uint64_t aStartNumber)
{
  const bool news = departures_.Signal(aUpstream, aStartNumber, round_);
  changed_ = changed_ || news;
  return news;
}

bool
FleetState::AcceptDeparture(Departure aDeparture, std::uint64_t aSenderRound)
{
  if (IsBehind(aSenderRound)) {
    aDeparture.round_ = std::min(aDeparture.round_ + (round_ - aSenderRound), round_);
  }
  const bool news = departures_.Accept(aDeparture, round_);
  changed_ = changed_ || news;
  return news;
}

bool
FleetState::AcceptMember(const MemberEntry& aMember)
{
  const bool news = members_.Accept(aMember, round_);
  membersChanged_ = membersChanged_ || news;
  return news;
}

void
FleetState::PeerUnreachable(const InstanceId& aPeer)
{
  members_.Unreachable(aPeer, round_);
  membersChanged_ = true;
}

void
FleetState::NextRound()
{
  round_ = std::min(round_ + 1, kMaxRound);
  processes_.Expire(round_);
  members_.Expire(round_);
  membersChanged_ = true;
  const bool ended = departures_.Expire(round_);
  const bool lapsed = std::ranges::any_of(processes_.All(), [&](const auto& aItem) {
    const ProcessEntry& entry = aItem.second;
    return entry.missing_ && entry.round_ + kMissingGraceRounds == round_;
  });
  if (lapsed) {
    ListChanged();
  }
  changed_ = changed_ || ended;
}

void
FleetState::JumpTo(std::uint64_t aRound)
{
  if (aRound <= round_ || aRound > kMaxRound) {
    return;
  }
  if (aRound - round_ > kRoundJump) {
    departures_.Shift(aRound - round_, aRound);
  }
  round_ = aRound - 1;
  NextRound();
}

bool
FleetState::IsPoller() const
{
  const std::uint64_t own = Rank(self_.id_, round_);
  const std::vector<InstanceId> live = members_.Live(round_);
  const auto ahead =
    std::ranges::count_if(live, [&](const InstanceId& aId) { return Rank(aId, round_) > own; });
  return static_cast<std::size_t>(ahead) < kPollersPerRound;
}

std::map<std::string_view, std::vector<UpstreamEndpoint>>
FleetState::UpstreamsByService() const
{
  std::map<std::string_view, std::vector<UpstreamEndpoint>> upstreams;
  for (const auto& [key, entry] : processes_.All()) {
    const ListedProcess& process = entry.process_;
    if (process.role_ != kUpstreamRole || !ProcessList::Usable(entry, round_)) {
      continue;
    }
    UpstreamEndpoint endpoint = EndpointOf(process);
    endpoint.leaving_ = endpoint.leaving_ || departures_.Holds(process.id_, process.startNumber_);
    upstreams[process.service_].push_back(std::move(endpoint));
  }
  return upstreams;
}

std::shared_ptr<const RoutingTable>
FleetState::TakeRouting()
{
  if (!changed_ && !membersChanged_) {
    return nullptr;
  }
  membersChanged_ = false;
  std::vector<InstanceId> live = members_.Live(round_);
  if (!changed_ && live == live_) {
    return nullptr;
  }
  changed_ = false;
  live_ = live;
  auto table = std::make_shared<RoutingTable>();
  table->instances_ = std::move(live);
  auto upstreams = UpstreamsByService();
  for (const auto& [service, entry] : configs_.All()) {
    if (entry.inForce_) {
      table->services_.push_back(
        { *entry.inForce_, entry.inForceVersion_, std::move(upstreams[service.View()]) });
    }
  }
  return table;
}

} // namespace boragepier
