#ifndef BORAGEPIER_CONTROL_CONTROL_PLANE_H
#define BORAGEPIER_CONTROL_CONTROL_PLANE_H

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "boragepier/control/control_status.h"
#include "boragepier/net/event_loop.h"
#include "boragepier/ports/instance_list.h"
#include "boragepier/ports/peer_transport.h"
#include "boragepier/ports/scheduler.h"
#include "boragepier/ports/table_store.h"
#include "boragepier/state/fleet_state.h"
#include "boragepier/state/gossip.h"

namespace boragepier {

/// Settings of a ControlPlane.
///
///   auto options = ControlOptions(PeerEndpoint{ id, address, peerPort }, ParseServiceFile)
///                    .WithSeeds(seeds)
///                    .WithRandomSeed(number);
class ControlOptions
{
public:
  /// @param aSelf id of this instance and the address at which others reach it
  /// @param aParser parses service files
  ControlOptions(PeerEndpoint aSelf, ConfigParser aParser)
    : self_(std::move(aSelf))
    , parser_(std::move(aParser))
  {
  }

  /// Sets the addresses of other instances. They are needed only if the platform's list is
  /// unavailable at the start. Their ids may be empty.
  ControlOptions& WithSeeds(std::vector<PeerEndpoint> aSeeds)
  {
    seeds_ = std::move(aSeeds);
    return *this;
  }
  /// Sets the seed of the random choice of peers and of the jitter.
  ControlOptions& WithRandomSeed(std::uint64_t aSeed)
  {
    randomSeed_ = aSeed;
    return *this;
  }

  PeerEndpoint self_;
  ConfigParser parser_;
  std::vector<PeerEndpoint> seeds_;
  std::uint64_t randomSeed_ = 0;
};

/// Keeps the configuration, the upstreams and their departures up to date on one instance.
///
/// Time is divided into rounds on which the instances agree. In each round, a few instances read
/// the configuration from the store and the list of processes from the platform; all exchange their
/// state by gossip. A departure says that one run of an upstream, which is identified by its start
/// number, is leaving or has exited.
///
/// All functions but ReportLeaving() are called in the thread of the loop, and all callbacks run
/// there. The loop, the adapters and this object must live until the loop has stopped.
/// @tparam Table adapter to the store that holds the configuration
/// @tparam List adapter to the platform's list of processes
/// @tparam Peers carries messages between instances
template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop = net::EventLoop>
class ControlPlane
{
public:
  using RoutingCallback = std::function<void(std::shared_ptr<const RoutingTable>)>;
  using ErrorCallback = std::function<void(const std::string& aError)>;

  ControlPlane(Loop& aLoop, Table& aTable, List& aList, Peers& aPeers, ControlOptions aOptions);
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  /// Sets the callback for each new routing table. Call before Start().
  void OnRoutingChanged(RoutingCallback aCallback) { onRoutingChanged_ = std::move(aCallback); }
  /// Sets the callback for each rejected configuration, which receives the reason. Call before
  /// Start().
  void OnConfigRejected(ErrorCallback aCallback) { onConfigRejected_ = std::move(aCallback); }

  /// Starts to read the store and the list and to exchange state with peers.
  void Start();

  /// Reports that a response or a refusal of an upstream says that it is leaving. Can be called
  /// from any thread.
  /// @param aUpstream the upstream
  /// @param aStartNumber its start number in the routing table
  void ReportLeaving(UpstreamId aUpstream, std::uint64_t aStartNumber);

  /// Applies a configuration that the store has accepted, and sends it to peers.
  /// @return whether it is newer than the one held
  /// @throws ConfigRejected if it cannot be activated; it is sent to peers nevertheless
  bool Announce(ConfigRecord aRecord);

  /// Tells peers that this instance is shutting down, so that they stop counting it as live.
  /// Reading and the exchange with peers go on.
  void BeginShutdown();

  /// @return whether any configuration is active
  bool Ready() const { return state_.Configs().HasActiveConfig(); }

  /// @return current state and counters
  ControlStatus Status() const;

private:
  void PollStoreAndList();
  void PollUntilInitialized();
  void FetchInstanceList();
  void ReadStore(TableRequest aRequest);
  void OnStoreReply(const TableReply& aReply);
  void OnListReply(const std::optional<std::vector<ListedProcess>>& aList);
  bool AcceptConfig(ConfigRecord aRecord);
  void StartRoundTimer();
  void OnRound();
  void OnDigestTimer();
  void OnPeerMessage(const PeerEndpoint& aSender, PeerMessage&& aMessage, std::size_t aBytes);
  void PublishRoutingTable();
  void SendQueuedMessages();
  void RecordRejection(const std::string& aError);

  Loop& loop_;
  Table& table_;
  List& list_;
  Peers& peers_;
  FleetState state_;
  Gossip gossip_;
  Random random_;
  RoutingCallback onRoutingChanged_;
  ErrorCallback onConfigRejected_;
  bool storeReadPending_ = false;
  bool listFetchPending_ = false;
  bool storeAnswered_ = false;
  bool listAnswered_ = false;
  bool sendTimerArmed_ = false;
  Duration startupBackoff_;
  decltype(std::declval<Loop&>().After(Duration(), {})) roundTimer_{};

  std::mutex leavingReportsMutex_;
  /// Start number and time of the last ReportLeaving() that was passed to the loop, by upstream.
  std::map<UpstreamId, std::pair<std::uint64_t, MonotonicTime>> leavingReports_;
  ControlStatus counters_; ///< only its counters; Status() fills in the rest
};

} // namespace boragepier

#include "boragepier/control/control_plane_impl.h" // IWYU pragma: keep

#endif
