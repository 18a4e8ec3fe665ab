#ifndef BORAGEPIER_ENTRY_INSTALLATION_H
#define BORAGEPIER_ENTRY_INSTALLATION_H

#include <functional>
#include <memory>

#include "boragepier/config/settings.h"
#include "boragepier/entry/control_role.h"
#include "boragepier/entry/wire_dialect.h"
#include "boragepier/telemetry/metrics.h"

namespace boragepier {

/// What depends on where an instance runs: how requests are spoken, and where configuration and
/// upstreams come from.
struct Installation
{
  using MakeControl = std::function<std::unique_ptr<ControlRole>(const Settings& aSettings,
                                                                 Metrics& aMetrics,
                                                                 ControlRole::RoutingCallback,
                                                                 std::function<void()> aOnSecond)>;

  const WireDialect& dialect_;
  MakeControl makeControl_;
};

/// @return an installation with boragepier's own interface, platform protocol and peers
Installation
OwnInstallation();

} // namespace boragepier

#endif
