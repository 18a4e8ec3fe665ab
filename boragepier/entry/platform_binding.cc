#include "boragepier/entry/platform_binding.h"

#include <utility>

#include "boragepier/entry/control_plane_thread.h"

namespace boragepier {

PlatformBinding
MakeNativePlatformBinding()
{
  return { NativeDialect(),
           [](const Settings& aSettings,
              Metrics& aMetrics,
              ControlThreadBase::RoutingCallback aOnRoutingTable,
              std::function<void()> aPeriodicTask) -> std::unique_ptr<ControlThreadBase> {
             return std::make_unique<ControlPlaneThread>(
               aSettings, aMetrics, std::move(aOnRoutingTable), std::move(aPeriodicTask));
           } };
}

} // namespace boragepier
