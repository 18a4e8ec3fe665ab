#ifndef BORAGEPIER_CONTROL_CONTROL_PLANE_IMPL_H
#define BORAGEPIER_CONTROL_CONTROL_PLANE_IMPL_H

// Definitions of the member functions of ControlPlane. Included only by control_plane.h.

#include <algorithm>
#include <string>
#include <utility>

#include "boragepier/control/control_plane.h"

namespace boragepier {

/// Duration of a round.
inline constexpr Duration kRoundDuration = std::chrono::seconds(1);
/// Timeout of one request to the store. It is shorter than a round, so that the instances that poll
/// in the next round can retry.
inline constexpr Duration kStoreTimeout = std::chrono::milliseconds(800);
/// Delay before an instance that still lacks the configuration or the list after its start polls
/// again. It doubles with each attempt up to kMaxStartupBackoff and has a jitter.
inline constexpr Duration kInitialStartupBackoff = std::chrono::milliseconds(100);
inline constexpr Duration kMaxStartupBackoff = std::chrono::seconds(5);
/// Reports that the same run of an upstream is leaving are relayed once per interval: an upstream
/// that drains says so in each response.
inline constexpr Duration kLeavingReportInterval = std::chrono::seconds(1);
/// Number of upstreams whose last leaving report is remembered. Twice the number of upstreams
/// planned for in two years (4,400), so that only ids that are no longer in use can exceed it.
inline constexpr std::size_t kMaxLeavingReports = 8800;

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
ControlPlane<Table, List, Peers, Loop>::ControlPlane(Loop& aLoop,
                                                     Table& aTable,
                                                     List& aList,
                                                     Peers& aPeers,
                                                     ControlOptions aOptions)
  : loop_(aLoop)
  , table_(aTable)
  , list_(aList)
  , peers_(aPeers)
  , state_(std::move(aOptions.self_), aOptions.seeds_, std::move(aOptions.parser_))
  , gossip_(state_, aOptions.randomSeed_)
  , random_(aOptions.randomSeed_, 1)
  , startupBackoff_(kInitialStartupBackoff)
{
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::Start()
{
  peers_.Start(
    state_.Self(),
    [this](const PeerEndpoint& aSender, PeerMessage aMessage, std::size_t aBytes) {
      OnPeerMessage(aSender, std::move(aMessage), aBytes);
    },
    [this](const InstanceId& aPeer) { state_.OnPeerUnreachable(aPeer); });
  PollUntilInitialized();
  StartRoundTimer();
  gossip_.Tick();
  SendQueuedMessages();
  // The random delay spreads the digests of instances that were started together.
  const std::uint64_t interval = kDigestInterval.count();
  loop_.After(Duration(random_(interval)), [this] { OnDigestTimer(); });
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::ReportLeaving(UpstreamId aUpstream,
                                                      std::uint64_t aStartNumber)
{
  {
    const std::lock_guard lock(leavingReportsMutex_);
    if (leavingReports_.size() > kMaxLeavingReports) {
      leavingReports_.clear();
    }
    auto& [startNumber, reportedAt] = leavingReports_[aUpstream];
    const MonotonicTime now = loop_.Now();
    if (startNumber == aStartNumber && now < reportedAt + kLeavingReportInterval) {
      return;
    }
    startNumber = aStartNumber;
    reportedAt = now;
  }
  loop_.Post([this, upstream = std::move(aUpstream), aStartNumber] {
    if (state_.RecordDeparture(upstream, aStartNumber)) {
      gossip_.QueueUpdate(PeerSection::Departures, upstream.Text(), true);
      PublishRoutingTable();
      SendQueuedMessages();
    }
  });
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
bool
ControlPlane<Table, List, Peers, Loop>::Announce(ConfigRecord aRecord)
{
  const std::string service = aRecord.service_.Text();
  const auto relayRecord = [&] {
    gossip_.QueueUpdate(PeerSection::Configs, service, true);
    PublishRoutingTable();
    SendQueuedMessages();
  };
  try {
    const bool accepted = state_.AcceptConfig(std::move(aRecord));
    if (accepted) {
      relayRecord();
    }
    return accepted;
  } catch (const ConfigRejected&) {
    relayRecord(); // another instance may be able to parse the configuration
    throw;
  }
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::BeginShutdown()
{
  gossip_.AnnounceLeaving();
  SendQueuedMessages();
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
ControlStatus
ControlPlane<Table, List, Peers, Loop>::Status() const
{
  ControlStatus status = counters_;
  for (const auto& [serviceName, entry] : state_.Configs().All()) {
    status.services_.push_back(
      { serviceName, entry.record_.version_, entry.activeVersion_, entry.rejectionReason_ });
  }
  for (const PeerEndpoint* peer : state_.Members().ReachablePeers(state_.Round())) {
    status.peers_.push_back(*peer);
  }
  status.members_ = state_.Members().LiveInstances(state_.Round());
  for (const auto& [upstreamId, departure] : state_.UpstreamDepartures().All()) {
    status.departures_.push_back(departure);
  }
  status.round_ = state_.Round();
  status.configSerial_ = state_.StoreReader().SyncedSerial();
  status.listedProcesses_ = state_.Processes().All().size();
  status.messagesDropped_ = gossip_.DroppedCount();
  status.peerCounters_ = peers_.Counters();
  return status;
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::StartRoundTimer()
{
  roundTimer_ = loop_.After(kRoundDuration, [this] {
    state_.NextRound();
    StartRoundTimer();
    OnRound();
  });
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::OnRound()
{
  if (state_.IsPoller()) {
    PollStoreAndList();
  }
  PublishRoutingTable();
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::OnDigestTimer()
{
  loop_.After(kDigestInterval, [this] { OnDigestTimer(); });
  gossip_.Tick();
  SendQueuedMessages();
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::OnPeerMessage(const PeerEndpoint& aSender,
                                                      PeerMessage&& aMessage,
                                                      std::size_t aBytes)
{
  const std::uint64_t round = state_.Round();
  const std::vector<std::string> errors =
    gossip_.OnMessage(aSender, std::move(aMessage), aBytes, loop_.Now());
  for (const std::string& error : errors) {
    RecordRejection(error);
  }
  if (state_.Round() != round) {
    // The round jumped to that of a peer that is ahead. The timer is restarted: otherwise the step
    // of this instance's own timer would come on top, and rounds would pass too fast.
    loop_.Cancel(roundTimer_);
    StartRoundTimer();
    OnRound();
  }
  PublishRoutingTable();
  SendQueuedMessages();
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::PollStoreAndList()
{
  if (!storeReadPending_) {
    storeReadPending_ = true;
    ReadStore(state_.StoreReader().Begin());
  }
  if (!listFetchPending_) {
    FetchInstanceList();
  }
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::PollUntilInitialized()
{
  const bool hasConfig = storeAnswered_ || Ready();
  const bool hasList = listAnswered_ || !state_.Processes().All().empty();
  if (hasConfig && hasList) {
    return;
  }
  if (!hasConfig && !storeReadPending_) {
    storeReadPending_ = true;
    ReadStore(state_.StoreReader().Begin());
  }
  if (!hasList && !listFetchPending_) {
    FetchInstanceList();
  }
  const auto jitter = Duration(random_(static_cast<std::uint64_t>(startupBackoff_.count())));
  loop_.After(startupBackoff_ / 2 + jitter, [this] { PollUntilInitialized(); });
  startupBackoff_ = std::min(startupBackoff_ * 2, kMaxStartupBackoff);
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::FetchInstanceList()
{
  listFetchPending_ = true;
  ++counters_.listReads_;
  list_.Fetch(
    [this](const std::optional<std::vector<ListedProcess>>& aList) { OnListReply(aList); });
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::ReadStore(TableRequest aRequest)
{
  ++counters_.storeReads_;
  table_.Submit(std::move(aRequest), loop_.Now() + kStoreTimeout, [this](const TableReply& aReply) {
    OnStoreReply(aReply);
  });
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::OnStoreReply(const TableReply& aReply)
{
  ConfigReader::Step step = state_.StoreReader().OnReply(aReply, state_.Configs());
  counters_.storeFailures_ += step.tableFailed_ ? 1 : 0;
  for (const std::string& error : step.rowErrors_) {
    RecordRejection(error);
  }
  for (ConfigRecord& record : step.records_) {
    const std::string service = record.service_.Text();
    if (AcceptConfig(std::move(record))) {
      gossip_.QueueUpdate(PeerSection::Configs, service, true);
    }
  }
  if (step.nextRequest_) {
    ReadStore(std::move(*step.nextRequest_));
  } else {
    storeReadPending_ = false;
    storeAnswered_ = storeAnswered_ || !step.tableFailed_;
  }
  PublishRoutingTable();
  SendQueuedMessages();
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::OnListReply(
  const std::optional<std::vector<ListedProcess>>& aList)
{
  listFetchPending_ = false;
  if (!aList) {
    ++counters_.listFailures_;
    return;
  }
  listAnswered_ = true;
  for (const std::string& key : state_.MergeList(*aList)) {
    gossip_.QueueUpdate(PeerSection::Processes, key, true);
  }
  PublishRoutingTable();
  SendQueuedMessages();
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
bool
ControlPlane<Table, List, Peers, Loop>::AcceptConfig(ConfigRecord aRecord)
{
  try {
    return state_.AcceptConfig(std::move(aRecord));
  } catch (const ConfigRejected& error) {
    RecordRejection(error.what());
    return true; // relayed, since another instance may be able to parse the configuration
  }
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::PublishRoutingTable()
{
  if (auto table = state_.TakeRoutingTable(); table && onRoutingChanged_) {
    onRoutingChanged_(std::move(table));
  }
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::SendQueuedMessages()
{
  while (auto outgoing = gossip_.NextMessage(loop_.Now())) {
    gossip_.OnSent(peers_.Send(outgoing->peer_, outgoing->message_), loop_.Now());
  }
  if (const auto delay = gossip_.TimeUntilNextMessage(loop_.Now()); delay && !sendTimerArmed_) {
    sendTimerArmed_ = true;
    loop_.After(*delay, [this] {
      sendTimerArmed_ = false;
      SendQueuedMessages();
    });
  }
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::RecordRejection(const std::string& aError)
{
  ++counters_.rejectedConfigs_;
  if (onConfigRejected_) {
    onConfigRejected_(aError);
  }
}

} // namespace boragepier

#endif
