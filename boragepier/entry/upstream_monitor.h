#ifndef BORAGEPIER_ENTRY_UPSTREAM_MONITOR_H
#define BORAGEPIER_ENTRY_UPSTREAM_MONITOR_H

#include <map>
#include <set>
#include <span>
#include <vector>

#include "boragepier/decision/service_balancer.h"
#include "boragepier/telemetry/events.h"

namespace boragepier {

/// Compares successive states of the upstreams of each service and reports which were added,
/// removed, ejected or reinstated. Reads no clock.
class UpstreamMonitor
{
public:
  struct Change
  {
    EventId event_{};
    UpstreamId upstream_; ///< empty for AllUpstreamsUnhealthy
  };

  /// @param aUpstreams current state of all upstreams of aService
  /// @return the changes since the last call for aService
  std::vector<Change> Observe(const ServiceName& aService,
                              std::span<const CandidateInfo> aUpstreams);

private:
  struct ServiceState
  {
    std::set<UpstreamId> present_;
    std::set<UpstreamId> ejected_;
    bool allUnhealthy_ = false;
  };
  std::map<ServiceName, ServiceState> states_;
};

} // namespace boragepier

#endif
