#ifndef BORAGEPIER_CONTROL_CONTROL_PLANE_IMPL_H
#define BORAGEPIER_CONTROL_CONTROL_PLANE_IMPL_H

// Definitions of the members of ControlPlane. Included by control_plane.h only.

#include <algorithm>
#include <string>
#include <utility>

#include "boragepier/control/control_plane.h"

namespace boragepier {

/// Length of a round.
inline constexpr Duration kRoundTime = std::chrono::seconds(1);
/// Time for one request to the store; shorter than a round, so that a slow store is read again by
/// the instances of the next round.
inline constexpr Duration kStoreTimeout = std::chrono::milliseconds(800);
/// An instance that has read neither store nor list yet tries again after this time, which doubles
/// up to the maximum.
inline constexpr Duration kFirstBackOff = std::chrono::milliseconds(100);
inline constexpr Duration kMaxBackOff = std::chrono::seconds(5);
/// Signals of one upstream start within this time are passed on once: an upstream that drains sends
/// one with each answer.
inline constexpr Duration kReportInterval = std::chrono::seconds(1);
/// Upstreams whose signals are remembered for kReportInterval. Twice the upstreams of the two-year
/// size, so that it is exceeded only by ids that are no longer in use.
inline constexpr std::size_t kMaxReported = 8800;

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
  , backOff_(kFirstBackOff)
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
  PollUntilAnswered();
  StartRoundTimer();
  gossip_.Tick();
  Flush();
  // Spreads the digests of instances that were started together.
  const std::uint64_t interval = kDigestInterval.count();
  loop_.After(Duration(random_(interval)), [this] { OnDigestTimer(); });
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::ReportLeaving(UpstreamId aUpstream,
                                                      std::uint64_t aStartNumber)
{
  {
    const std::lock_guard lock(reportedMutex_);
    if (reported_.size() > kMaxReported) {
      reported_.clear();
    }
    auto& [startNumber, time] = reported_[aUpstream];
    const MonotonicTime now = loop_.Now();
    if (startNumber == aStartNumber && now < time + kReportInterval) {
      return;
    }
    startNumber = aStartNumber;
    time = now;
  }
  loop_.Post([this, upstream = std::move(aUpstream), aStartNumber] {
    if (state_.RecordDeparture(upstream, aStartNumber)) {
      gossip_.QueueUpdate(PeerSection::Departures, upstream.Text(), true);
      Publish();
      Flush();
    }
  });
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
bool
ControlPlane<Table, List, Peers, Loop>::Announce(ConfigRecord aRecord)
{
  const std::string service = aRecord.service_.Text();
  const auto relay = [&] {
    gossip_.QueueUpdate(PeerSection::Configs, service, true);
    Publish();
    Flush();
  };
  try {
    const bool accepted = state_.AcceptConfig(std::move(aRecord));
    if (accepted) {
      relay();
    }
    return accepted;
  } catch (const ConfigRejected&) {
    relay(); // another instance may be able to parse it
    throw;
  }
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::BeginShutdown()
{
  gossip_.AnnounceLeaving();
  Flush();
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
ControlStatus
ControlPlane<Table, List, Peers, Loop>::Status() const
{
  ControlStatus status = counters_;
  for (const auto& [name, entry] : state_.Configs().All()) {
    status.services_.push_back(
      { name, entry.record_.version_, entry.activeVersion_, entry.rejectionReason_ });
  }
  for (const PeerEndpoint* peer : state_.Members().ReachablePeers(state_.Round())) {
    status.peers_.push_back(*peer);
  }
  status.members_ = state_.Members().LiveInstances(state_.Round());
  for (const auto& [name, departure] : state_.UpstreamDepartures().All()) {
    status.departures_.push_back(departure);
  }
  status.round_ = state_.Round();
  status.configSerial_ = state_.StoreReader().SyncedSerial();
  status.processes_ = state_.Processes().All().size();
  status.messagesDropped_ = gossip_.DroppedCount();
  status.traffic_ = peers_.Counters();
  return status;
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::StartRoundTimer()
{
  roundTimer_ = loop_.After(kRoundTime, [this] {
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
    Poll();
  }
  Publish();
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::OnDigestTimer()
{
  loop_.After(kDigestInterval, [this] { OnDigestTimer(); });
  gossip_.Tick();
  Flush();
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
    Fail(error);
  }
  if (state_.Round() != round) {
    // Follows the peer that is ahead. Without a new timer each instance would add its own step and
    // rounds would pass too fast.
    loop_.Cancel(roundTimer_);
    StartRoundTimer();
    OnRound();
  }
  Publish();
  Flush();
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::Poll()
{
  if (!storeBusy_) {
    storeBusy_ = true;
    ReadStore(state_.StoreReader().Begin());
  }
  if (!listBusy_) {
    FetchList();
  }
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::PollUntilAnswered()
{
  const bool hasConfig = storeAnswered_ || Ready();
  const bool hasList = listAnswered_ || !state_.Processes().All().empty();
  if (hasConfig && hasList) {
    return;
  }
  if (!hasConfig && !storeBusy_) {
    storeBusy_ = true;
    ReadStore(state_.StoreReader().Begin());
  }
  if (!hasList && !listBusy_) {
    FetchList();
  }
  const auto jitter = Duration(random_(static_cast<std::uint64_t>(backOff_.count())));
  loop_.After(backOff_ / 2 + jitter, [this] { PollUntilAnswered(); });
  backOff_ = std::min(backOff_ * 2, kMaxBackOff);
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::FetchList()
{
  listBusy_ = true;
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
    Fail(error);
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
    storeBusy_ = false;
    storeAnswered_ = storeAnswered_ || !step.tableFailed_;
  }
  Publish();
  Flush();
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::OnListReply(
  const std::optional<std::vector<ListedProcess>>& aList)
{
  listBusy_ = false;
  if (!aList) {
    ++counters_.listFailures_;
    return;
  }
  listAnswered_ = true;
  for (const std::string& key : state_.MergeList(*aList)) {
    gossip_.QueueUpdate(PeerSection::Processes, key, true);
  }
  Publish();
  Flush();
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
bool
ControlPlane<Table, List, Peers, Loop>::AcceptConfig(ConfigRecord aRecord)
{
  try {
    return state_.AcceptConfig(std::move(aRecord));
  } catch (const ConfigRejected& error) {
    Fail(error.what());
    return true;
  }
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::Publish()
{
  if (auto table = state_.TakeRoutingTable(); table && onRouting_) {
    onRouting_(std::move(table));
  }
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::Flush()
{
  while (auto item = gossip_.NextMessage(loop_.Now())) {
    gossip_.OnSent(peers_.Send(item->peer_, item->message_), loop_.Now());
  }
  if (const auto wait = gossip_.TimeUntilNextMessage(loop_.Now()); wait && !flushPending_) {
    flushPending_ = true;
    loop_.After(*wait, [this] {
      flushPending_ = false;
      Flush();
    });
  }
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::Fail(const std::string& aError)
{
  ++counters_.rejectedConfigs_;
  if (onError_) {
    onError_(aError);
  }
}

} // namespace boragepier

#endif
