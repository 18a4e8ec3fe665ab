#ifndef BORAGEPIER_CONTROL_CONTROL_PLANE_IMPL_H
#define BORAGEPIER_CONTROL_CONTROL_PLANE_IMPL_H

// Definitions of the members of ControlPlane. Included by control_plane.h only.

#include <string>
#include <utility>

#include "boragepier/control/control_plane.h"

namespace boragepier {

/// Length of a round.
inline constexpr Duration kRoundTime = std::chrono::seconds(1);
/// Time for one request to the store; shorter than a round, so that a slow store is read again by
/// the instances of the next round.
inline constexpr Duration kStoreTimeout = std::chrono::milliseconds(800);

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
{
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::Start()
{
  Poll();
  StartRoundTimer();
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::ReportLeaving(UpstreamId aUpstream,
                                                      std::uint64_t aStartNumber)
{
  loop_.Post([this, upstream = std::move(aUpstream), aStartNumber] {
    state_.SignalDeparture(upstream, aStartNumber);
    Publish();
  });
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
bool
ControlPlane<Table, List, Peers, Loop>::Announce(ConfigRecord aRecord)
{
  const bool accepted = state_.AcceptConfig(std::move(aRecord));
  Publish();
  return accepted;
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::BeginShutdown()
{
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
ControlStatus
ControlPlane<Table, List, Peers, Loop>::Status() const
{
  ControlStatus status = counters_;
  for (const auto& [name, entry] : state_.Configs().All()) {
    status.services_.push_back(
      { name, entry.record_.version_, entry.inForceVersion_, entry.error_ });
  }
  status.peers_ = state_.Members().Peers(state_.Round());
  status.members_ = state_.Members().Live(state_.Round());
  for (const auto& [name, departure] : state_.Departing().All()) {
    status.departures_.push_back(departure);
  }
  status.round_ = state_.Round();
  status.configSerial_ = reader_.Serial();
  status.processes_ = state_.Processes().All().size();
  status.traffic_ = peers_.Counters();
  return status;
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::StartRoundTimer()
{
  loop_.After(kRoundTime, [this] { OnRoundTimer(); });
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::OnRoundTimer()
{
  state_.NextRound();
  Poll();
  Publish();
  StartRoundTimer();
}

template<TableStore Table, InstanceList List, PeerTransport Peers, Scheduler Loop>
void
ControlPlane<Table, List, Peers, Loop>::Poll()
{
  if (!storeBusy_) {
    storeBusy_ = true;
    ReadStore(reader_.Begin());
  }
  if (!listBusy_) {
    listBusy_ = true;
    ++counters_.listReads_;
    list_.Fetch(
      [this](const std::optional<std::vector<ListedProcess>>& aList) { OnListReply(aList); });
  }
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
  ConfigReader::Step step = reader_.OnReply(aReply, state_.Configs());
  counters_.storeFailures_ += step.failed_ ? 1 : 0;
  for (const std::string& error : step.errors_) {
    Fail(error);
  }
  for (ConfigRecord& record : step.records_) {
    AcceptConfig(std::move(record));
  }
  if (step.next_) {
    ReadStore(std::move(*step.next_));
  } else {
    storeBusy_ = false;
  }
  Publish();
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
  state_.MergeList(*aList);
  Publish();
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
  if (auto table = state_.TakeRouting(); table && onRouting_) {
    onRouting_(std::move(table));
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
