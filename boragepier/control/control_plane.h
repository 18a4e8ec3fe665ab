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

/// Settings of a control plane.
///
///   auto options = ControlOptions(PeerEndpoint{ id, address, peerPort }, ParseServiceFile)
///                    .WithSeeds(seeds)
///                    .WithRandomSeed(number);
class ControlOptions
{
public:
  /// @param aSelf this instance and where other instances reach it
  /// @param aParser parses service files
  ControlOptions(PeerEndpoint aSelf, ConfigParser aParser)
    : self_(std::move(aSelf))
    , parser_(std::move(aParser))
  {
  }

  /// Addresses of other instances; needed only when the platform's list is down at the start. An
  /// id may be empty.
  ControlOptions& WithSeeds(std::vector<PeerEndpoint> aSeeds)
  {
    seeds_ = std::move(aSeeds);
    return *this;
  }
  /// Seed of the choice of peers.
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

/// Keeps configuration, upstreams and departures of an instance up to date, from the store, the
/// platform's list and other instances. Everything but ReportLeaving() is called in the thread of
/// the loop, and all callbacks run there. The loop, the adapters and this object live until the
/// loop has stopped.
template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop = net::EventLoop>
class ControlPlane
{
public:
  using RoutingCallback = std::function<void(std::shared_ptr<const RoutingTable>)>;
  using ErrorCallback = std::function<void(const std::string& aError)>;

  ControlPlane(Loop& aLoop, Table& aTable, List& aList, Peers& aPeers, ControlOptions aOptions);
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  /// Called with each new routing table; set before Start().
  void OnRoutingChanged(RoutingCallback aCallback) { onRouting_ = std::move(aCallback); }
  /// Called for each configuration that was rejected; set before Start().
  void OnError(ErrorCallback aCallback) { onError_ = std::move(aCallback); }

  /// Starts reading and exchanging.
  void Start();

  /// An answer or a refusal showed that an upstream is leaving. Any thread.
  /// @param aUpstream the upstream
  /// @param aStartNumber its start number as in the routing table
  void ReportLeaving(UpstreamId aUpstream, std::uint64_t aStartNumber);

  /// Takes over a record that the store has accepted, and relays it.
  /// @return whether it was newer than the one held
  /// @throws ConfigRejected if it cannot be put in force
  bool Announce(ConfigRecord aRecord);

  /// Tells peers that this instance is leaving, so that they no longer count on it. Reading and
  /// exchanging go on.
  void BeginShutdown();

  /// @return whether a configuration is in force
  bool Ready() const { return state_.Configs().HasActiveConfig(); }

  ControlStatus Status() const;

private:
  void Poll();
  void PollUntilAnswered();
  void FetchList();
  void ReadStore(TableRequest aRequest);
  void OnStoreReply(const TableReply& aReply);
  void OnListReply(const std::optional<std::vector<ListedProcess>>& aList);
  bool AcceptConfig(ConfigRecord aRecord);
  void StartRoundTimer();
  void OnRound();
  void OnDigestTimer();
  void OnPeerMessage(const PeerEndpoint& aSender, PeerMessage&& aMessage, std::size_t aBytes);
  void Publish();
  void Flush();
  void Fail(const std::string& aError);

  Loop& loop_;
  Table& table_;
  List& list_;
  Peers& peers_;
  FleetState state_;
  Gossip gossip_;
  Random random_;
  RoutingCallback onRouting_;
  ErrorCallback onError_;
  bool storeBusy_ = false;
  bool listBusy_ = false;
  bool storeAnswered_ = false;
  bool listAnswered_ = false;
  bool flushPending_ = false;
  Duration backOff_;
  decltype(std::declval<Loop&>().After(Duration(), {})) roundTimer_{};

  std::mutex reportedMutex_;
  std::map<UpstreamId, std::pair<std::uint64_t, MonotonicTime>> reported_; ///< by ReportLeaving()
  ControlStatus counters_;
};

} // namespace boragepier

#include "boragepier/control/control_plane_impl.h" // IWYU pragma: keep

#endif
