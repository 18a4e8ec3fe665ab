#ifndef BORAGEPIER_STATE_FLEET_STATE_H
#define BORAGEPIER_STATE_FLEET_STATE_H

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "boragepier/ports/instance_list.h"
#include "boragepier/state/config_reader.h"
#include "boragepier/state/config_registry.h"
#include "boragepier/state/departures.h"
#include "boragepier/state/membership.h"
#include "boragepier/state/process_list.h"
#include "boragepier/state/routing_table.h"

namespace boragepier {

/// Largest difference of rounds that clock drift explains. An instance that is further behind was
/// just started, paused or partitioned from the others.
inline constexpr std::uint64_t kMaxRoundLag = 10;

/// Everything that an instance knows about the fleet: configurations, the platform's list of
/// processes, departures of upstreams, and the other entry instances. Builds the routing table from
/// it. Reads no clock and does no I/O.
///
/// A round is the logical time of the fleet, one second long. Each instance counts rounds by itself
/// and adopts the round of any peer that is ahead, so the rounds of connected instances agree.
class FleetState
{
public:
  /// @param aSelf endpoint of this instance
  /// @param aSeeds addresses of other instances, from the settings; ids may be empty
  /// @param aParser parses service files
  FleetState(PeerEndpoint aSelf, std::span<const PeerEndpoint> aSeeds, ConfigParser aParser);
  FleetState(const FleetState&) = delete;
  FleetState& operator=(const FleetState&) = delete;

  /// Accepts a configuration, see ConfigRegistry::Accept().
  /// @return whether it was newer than the known one
  /// @throws ConfigRejected if it cannot be activated
  bool AcceptConfig(ConfigRecord aRecord);
  /// Merges a list that was fetched from the platform in this round.
  /// @return keys of the entries that changed
  std::vector<std::string> MergeList(std::span<const ListedProcess> aList);
  /// Accepts an entry of the list from a peer.
  /// @return whether it was newer than the known one
  bool AcceptProcess(const ProcessEntry& aEntry);
  /// Records a signal to this instance that an upstream is leaving.
  /// @return whether the departure is new
  bool RecordDeparture(const UpstreamId& aUpstream, std::uint64_t aStartNumber);
  /// Accepts a departure from a peer.
  /// @param aSenderRound the current round of the peer
  /// @return whether the departure is new
  bool AcceptDeparture(Departure aDeparture, std::uint64_t aSenderRound);
  /// Records that another instance was heard from, by this instance or by a peer.
  /// @return whether the instance is new, or starts or stops leaving
  bool AcceptMember(const MemberEntry& aMember);
  /// Records that a peer with the same list entries has confirmed them by a fetch in a round.
  void ConfirmList(std::uint64_t aRound) { processes_.Confirm(std::min(aRound, round_)); }
  /// Records that a peer could not be reached.
  void OnPeerUnreachable(const InstanceId& aPeer);

  /// Starts the next round and removes expired entries.
  void NextRound();
  /// Adopts the round of a peer if it is ahead.
  void AdoptRound(std::uint64_t aRound);

  /// @return whether a peer with this round is too far behind for clock drift, see kMaxRoundLag
  bool IsBehind(std::uint64_t aRound) const { return aRound + kMaxRoundLag < round_; }

  /// @return whether this instance polls the store and the platform's list in this round. Two of
  ///   the live instances do, so that a change is not delayed if one of them fails.
  bool IsPoller() const;

  /// @return the routing table if it changed since the last call, else nullptr. A peer that is
  ///   heard from again after it could not be reached is included from the next round on.
  std::shared_ptr<const RoutingTable> TakeRoutingTable();

  std::uint64_t Round() const { return round_; }
  const PeerEndpoint& Self() const { return self_; }
  /// @return the reader of configurations; the caller sends its requests to the store
  ConfigReader& StoreReader() { return reader_; }
  const ConfigReader& StoreReader() const { return reader_; }
  const ConfigRegistry& Configs() const { return configs_; }
  const ProcessList& Processes() const { return processes_; }
  const Departures& UpstreamDepartures() const { return departures_; }
  const Membership& Members() const { return members_; }

private:
  void OnListChanged();
  std::map<std::string_view, std::vector<UpstreamEndpoint>> UpstreamsByService() const;

  PeerEndpoint self_;
  ConfigRegistry configs_;
  ConfigReader reader_;
  ProcessList processes_;
  Departures departures_{ processes_ };
  Membership members_;
  std::uint64_t round_ = 0;
  bool routingChanged_ = false;      ///< a new routing table must be built
  bool liveMayHaveChanged_ = true;   ///< the live instances may differ from lastLive_
  std::vector<InstanceId> lastLive_; ///< live instances in the last routing table
};

} // namespace boragepier

#endif
