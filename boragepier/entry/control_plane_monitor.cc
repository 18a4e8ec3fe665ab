#include "boragepier/entry/control_plane_monitor.h"

namespace boragepier {

namespace {

// Reads of one source since the last observation.
struct ReadCounts
{
  std::uint64_t sent_ = 0;
  std::uint64_t failed_ = 0;
};

// A source counts as down from the first failed read until an observation in which reads were sent
// and none failed.
void
DetectOutage(const ReadCounts& aReadCounts,
             bool& aDown,
             EventId aDownEvent,
             EventId aUpEvent,
             std::vector<EventId>& aEvents)
{
  if (!aDown && aReadCounts.failed_ > 0) {
    aDown = true;
    aEvents.push_back(aDownEvent);
  } else if (aDown && aReadCounts.failed_ == 0 && aReadCounts.sent_ > 0) {
    aDown = false;
    aEvents.push_back(aUpEvent);
  }
}

std::uint64_t
RefusedPeerCount(const PeerCounters& aCounters)
{
  return aCounters.malformed_ + aCounters.otherVersion_ + aCounters.oversized_ + aCounters.flooded_;
}

} // namespace

std::vector<EventId>
ControlPlaneMonitor::Observe(const ControlStatus& aStatus)
{
  std::vector<EventId> events;
  DetectOutage({ aStatus.storeReads_ - lastStatus_.storeReads_,
                 aStatus.storeFailures_ - lastStatus_.storeFailures_ },
               tableDown_,
               EventId::TableUnavailable,
               EventId::TableAvailable,
               events);
  DetectOutage({ aStatus.listReads_ - lastStatus_.listReads_,
                 aStatus.listFailures_ - lastStatus_.listFailures_ },
               listDown_,
               EventId::ListUnavailable,
               EventId::ListAvailable,
               events);
  if (aStatus.peers_.empty() && !lastStatus_.peers_.empty()) {
    events.push_back(EventId::NoPeers);
  }
  if (RefusedPeerCount(aStatus.peerCounters_) > RefusedPeerCount(lastStatus_.peerCounters_)) {
    events.push_back(EventId::PeerRefused);
  }
  if (aStatus.messagesDropped_ > lastStatus_.messagesDropped_) {
    events.push_back(EventId::PeerBudgetExceeded);
  }
  lastStatus_ = aStatus;
  return events;
}

} // namespace boragepier
