#ifndef BORAGEPIER_ENTRY_PLATFORM_BINDING_H
#define BORAGEPIER_ENTRY_PLATFORM_BINDING_H

#include <functional>
#include <memory>

#include "boragepier/config/settings.h"
#include "boragepier/entry/control_thread_base.h"
#include "boragepier/entry/wire_dialect.h"
#include "boragepier/telemetry/metrics.h"

namespace boragepier {

/// The parts of an instance that depend on the platform: the header fields that callers and
/// upstreams use, and the source of configuration and upstreams.
struct PlatformBinding
{
  /// Creates the control thread; the callbacks are described at the constructors of its subclasses.
  using ControlThreadFactory =
    std::function<std::unique_ptr<ControlThreadBase>(const Settings& aSettings,
                                                     Metrics& aMetrics,
                                                     ControlThreadBase::RoutingCallback,
                                                     std::function<void()> aPeriodicTask)>;

  const WireDialect& dialect_; ///< must outlive the instance
  ControlThreadFactory makeControlThread_;
};

/// @return the binding to boragepier's own header fields, platform protocol and peers
PlatformBinding
MakeNativePlatformBinding();

} // namespace boragepier

#endif
