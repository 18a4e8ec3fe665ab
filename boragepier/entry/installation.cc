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
              ControlRole::RoutingCallback aOnRouting,
              std::function<void()> aOnSecond) -> std::unique_ptr<ControlRole> {
             return std::make_unique<ControlThread>(
               aSettings, aMetrics, std::move(aOnRouting), std::move(aOnSecond));
           } };
}

} // namespace boragepier
