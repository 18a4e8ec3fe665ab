#ifndef BORAGEPIER_ENTRY_CONTROL_PLANE_MONITOR_H
#define BORAGEPIER_ENTRY_CONTROL_PLANE_MONITOR_H

#include <vector>

#include "boragepier/control/control_status.h"
#include "boragepier/telemetry/events.h"

namespace boragepier {

/// Turns the counters of the control plane into events that tell when something fails or recovers.
/// Reads no clock.
class ControlWatch
{
public:
  /// @param aStatus state and counters now
  /// @return what changed since the last call
  std::vector<EventId> Observe(const ControlStatus& aStatus);

private:
  ControlStatus last_;
  bool tableDown_ = false;
  bool listDown_ = false;
};

} // namespace boragepier

#endif
