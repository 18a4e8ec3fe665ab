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

/// A larger difference of rounds means that an instance was started, paused or cut off, not that
/// its clock is a little slow.
inline constexpr std::uint64_t kRoundJump = 10;

/// What an instance knows of the fleet: configuration, the platform's list, departures, members.
/// Builds the routing table from it. Reads no clock and does no I/O.
class FleetState
{
public:
  /// @param aSelf this instance
  /// @param aSeeds addresses of other instances, from settings
  /// @param aParser parses service files
  FleetState(PeerEndpoint aSelf, std::span<const PeerEndpoint> aSeeds, ConfigParser aParser);
  FleetState(const FleetState&) = delete;
  FleetState& operator=(const FleetState&) = delete;

  /// @throws ConfigRejected see ConfigRegistry::Accept()
  bool AcceptConfig(ConfigRecord aRecord);
  /// Merges a fetched list.
  /// @return keys of the entries that changed
  std::vector<std::string> MergeList(std::span<const ListedProcess> aList);
  /// Accepts an entry of the list from a peer.
  /// @return whether it was newer
  bool AcceptProcess(const ProcessEntry& aEntry);
  /// Records that an upstream is leaving, as seen by this instance.
  /// @return whether it is news
  bool SignalDeparture(const UpstreamId& aUpstream, std::uint64_t aStartNumber);
  /// Accepts a departure from a peer.
  /// @param aSenderRound the round of the peer
  /// @return whether it is news
  bool AcceptDeparture(Departure aDeparture, std::uint64_t aSenderRound);
  /// Accepts a member that was heard from.
  /// @return whether it is news
  bool AcceptMember(const MemberEntry& aMember);
  /// A peer that holds the same list has it as fetched in a round.
  void ConfirmList(std::uint64_t aRound) { processes_.Confirm(std::min(aRound, round_)); }
  /// A peer could not be reached.
  void PeerUnreachable(const InstanceId& aPeer);

  /// Starts the next round and expires what has become too old.
  void NextRound();
  /// Takes over the round of a peer that is ahead.
  void JumpTo(std::uint64_t aRound);

  /// @return whether a peer with this round was started, paused or cut off
  bool IsBehind(std::uint64_t aRound) const { return aRound + kRoundJump < round_; }

  /// @return whether this instance reads the store and the list in this round. Two instances of
  ///         the live view do, so that the loss of one does not delay a change.
  bool IsPoller() const;

  /// @return the routing table if it changed since the last call, else null. A peer that is reached
  ///         again is taken up in the next round.
  std::shared_ptr<const RoutingTable> TakeRouting();

  std::uint64_t Round() const { return round_; }
  const PeerEndpoint& Self() const { return self_; }
  /// @return the reader of the store's configuration; its owner submits the requests
  ConfigReader& Reader() { return reader_; }
  const ConfigReader& Reader() const { return reader_; }
  const ConfigRegistry& Configs() const { return configs_; }
  const ProcessList& Processes() const { return processes_; }
  const Departures& Departing() const { return departures_; }
  const Membership& Members() const { return members_; }

private:
  void ListChanged();
  std::map<std::string_view, std::vector<UpstreamEndpoint>> UpstreamsByService() const;

  PeerEndpoint self_;
  ConfigRegistry configs_;
  ConfigReader reader_;
  ProcessList processes_;
  Departures departures_{ processes_ };
  Membership members_;
  std::uint64_t round_ = 0;
  bool changed_ = false;
  bool membersChanged_ = true;   ///< may have; see TakeRouting()
  std::vector<InstanceId> live_; ///< as in the last routing table
};

} // namespace boragepier

#endif
