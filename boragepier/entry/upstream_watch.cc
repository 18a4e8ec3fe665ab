#include "boragepier/entry/upstream_watch.h"

#include <utility>

namespace boragepier {

namespace {

// Reports the members of aNow that are missing in aBefore.
void
ReportNew(const std::set<UpstreamId>& aBefore,
          const std::set<UpstreamId>& aNow,
          EventId aEvent,
          std::vector<UpstreamWatch::Change>& aChanges)
{
  for (const UpstreamId& upstream : aNow) {
    if (!aBefore.contains(upstream)) {
      aChanges.push_back({ aEvent, upstream });
    }
  }
}

} // namespace

std::vector<UpstreamWatch::Change>
UpstreamWatch::Observe(const ServiceName& aService, std::span<const CandidateInfo> aUpstreams)
{
  State now;
  for (const CandidateInfo& upstream : aUpstreams) {
    now.known_.insert(upstream.id_);
    if (upstream.healthWeight_ <= 0) {
      now.ejected_.insert(upstream.id_);
    }
  }
  now.allUnhealthy_ = !now.known_.empty() && now.ejected_.size() == now.known_.size();

  State& before = services_[aService];
  std::vector<Change> changes;
  ReportNew(before.known_, now.known_, EventId::UpstreamAdded, changes);
  ReportNew(now.known_, before.known_, EventId::UpstreamRemoved, changes);
  ReportNew(before.ejected_, now.ejected_, EventId::UpstreamEjected, changes);
  for (const UpstreamId& upstream : before.ejected_) {
    if (now.known_.contains(upstream) && !now.ejected_.contains(upstream)) {
      changes.push_back({ EventId::UpstreamReinstated, upstream });
    }
  }
  if (now.allUnhealthy_ && !before.allUnhealthy_) {
    changes.push_back({ EventId::AllUpstreamsUnhealthy, UpstreamId() });
  }
  before = std::move(now);
  return changes;
}

} // namespace boragepier
