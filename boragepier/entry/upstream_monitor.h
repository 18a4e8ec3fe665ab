#ifndef BORAGEPIER_ENTRY_UPSTREAM_MONITOR_H
#define BORAGEPIER_ENTRY_UPSTREAM_MONITOR_H

#include <map>
#include <set>
#include <span>
#include <vector>

#include "boragepier/decision/service_balancer.h"
#include "boragepier/telemetry/events.h"

namespace boragepier {

/// Tells when the upstreams of a service are ejected, reinstated, added or removed, from what the
/// balancer shows of them. Reads no clock.
class UpstreamWatch
{
public:
  struct Change
  {
    EventId event_{};
    UpstreamId upstream_; ///< empty for AllUpstreamsUnhealthy
  };

  /// @param aService the service
  /// @param aUpstreams its upstreams as they stand now
  /// @return what changed since the last call for the service
  std::vector<Change> Observe(const ServiceName& aService,
                              std::span<const CandidateInfo> aUpstreams);

private:
  struct State
  {
    std::set<UpstreamId> known_;
    std::set<UpstreamId> ejected_;
    bool allUnhealthy_ = false;
  };
  std::map<ServiceName, State> services_;
};

} // namespace boragepier

#endif
