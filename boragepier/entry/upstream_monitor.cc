#include "boragepier/entry/upstream_monitor.h"

#include <utility>

namespace boragepier {

namespace {

// Appends a change for each member of aCurrent that is missing in aPrevious.
void
AppendAdded(const std::set<UpstreamId>& aPrevious,
            const std::set<UpstreamId>& aCurrent,
            EventId aEvent,
            std::vector<UpstreamMonitor::Change>& aChanges)
{
  for (const UpstreamId& upstream : aCurrent) {
    if (!aPrevious.contains(upstream)) {
      aChanges.push_back({ aEvent, upstream });
    }
  }
}

} // namespace

std::vector<UpstreamMonitor::Change>
UpstreamMonitor::Observe(const ServiceName& aService, std::span<const CandidateInfo> aUpstreams)
{
  ServiceState current;
  for (const CandidateInfo& upstream : aUpstreams) {
    current.present_.insert(upstream.id_);
    if (upstream.healthWeight_ <= 0) {
      current.ejected_.insert(upstream.id_);
    }
  }
  current.allUnhealthy_ =
    !current.present_.empty() && current.ejected_.size() == current.present_.size();

  ServiceState& previous = states_[aService];
  std::vector<Change> changes;
  AppendAdded(previous.present_, current.present_, EventId::UpstreamAdded, changes);
  AppendAdded(current.present_, previous.present_, EventId::UpstreamRemoved, changes);
  AppendAdded(previous.ejected_, current.ejected_, EventId::UpstreamEjected, changes);
  for (const UpstreamId& upstream : previous.ejected_) {
    if (current.present_.contains(upstream) && !current.ejected_.contains(upstream)) {
      changes.push_back({ EventId::UpstreamReinstated, upstream });
    }
  }
  if (current.allUnhealthy_ && !previous.allUnhealthy_) {
    changes.push_back({ EventId::AllUpstreamsUnhealthy, UpstreamId() });
  }
  previous = std::move(current);
  return changes;
}

} // namespace boragepier
