#include "boragepier/entry/control_plane_monitor.h"

namespace boragepier {

namespace {

/// Reads of one source since the last observation.
struct Reads
{
  std::uint64_t sent_ = 0;
  std::uint64_t failed_ = 0;
};

// A source is down from the first failed read on, and up again when one succeeds.
void
ObserveSource(const Reads& aReads,
              bool& aDown,
              EventId aDownEvent,
              EventId aUpEvent,
              std::vector<EventId>& aEvents)
{
  if (!aDown && aReads.failed_ > 0) {
    aDown = true;
    aEvents.push_back(aDownEvent);
  } else if (aDown && aReads.failed_ == 0 && aReads.sent_ > 0) {
    aDown = false;
    aEvents.push_back(aUpEvent);
  }
}

std::uint64_t
RefusedPeers(const PeerCounters& aCounters)
{
  return aCounters.malformed_ + aCounters.otherVersion_ + aCounters.oversized_ + aCounters.flooded_;
}

} // namespace

std::vector<EventId>
ControlWatch::Observe(const ControlStatus& aStatus)
{
  std::vector<EventId> events;
  ObserveSource(
    { aStatus.storeReads_ - last_.storeReads_, aStatus.storeFailures_ - last_.storeFailures_ },
    tableDown_,
    EventId::TableUnavailable,
    EventId::TableAvailable,
    events);
  ObserveSource(
    { aStatus.listReads_ - last_.listReads_, aStatus.listFailures_ - last_.listFailures_ },
    listDown_,
    EventId::ListUnavailable,
    EventId::ListAvailable,
    events);
  if (aStatus.peers_.empty() && !last_.peers_.empty()) {
    events.push_back(EventId::NoPeers);
  }
  if (RefusedPeers(aStatus.traffic_) > RefusedPeers(last_.traffic_)) {
    events.push_back(EventId::PeerRefused);
  }
  if (aStatus.messagesDropped_ > last_.messagesDropped_) {
    events.push_back(EventId::PeerBudgetExceeded);
  }
  last_ = aStatus;
  return events;
}

} // namespace boragepier
