#include "boragepier/entry/installation.h"

#include <utility>

#include "boragepier/entry/control_thread.h"

namespace boragepier {

Installation
OwnInstallation()
{
  return { OwnDialect(),
           [](const Settings& aSettings,
              Metrics& aMetrics,
              ControlRole::RoutingCallback aOnRoutingTable,
              std::function<void()> aPeriodicTask) -> std::unique_ptr<ControlRole> {
             return std::make_unique<ControlThread>(
               aSettings, aMetrics, std::move(aOnRoutingTable), std::move(aPeriodicTask));
           } };
}

} // namespace boragepier
