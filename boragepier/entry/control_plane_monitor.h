#ifndef BORAGEPIER_ENTRY_CONTROL_PLANE_MONITOR_H
#define BORAGEPIER_ENTRY_CONTROL_PLANE_MONITOR_H

#include <vector>

#include "boragepier/control/control_status.h"
#include "boragepier/telemetry/events.h"

namespace boragepier {

/// Compares successive states of the control plane and reports when the table, the instance list or
/// the peers become unavailable or recover. Reads no clock.
class ControlPlaneMonitor
{
public:
  /// @param aStatus current state and counters
  /// @return the events since the last call, each failure and each recovery once
  std::vector<EventId> Observe(const ControlStatus& aStatus);

private:
  ControlStatus lastStatus_;
  bool tableDown_ = false;
  bool listDown_ = false;
};

} // namespace boragepier

#endif
