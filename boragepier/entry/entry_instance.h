#ifndef BORAGEPIER_ENTRY_ENTRY_INSTANCE_H
#define BORAGEPIER_ENTRY_ENTRY_INSTANCE_H

#include <atomic>
#include <cstdint>
#include <memory>

#include "boragepier/admin/admin_server.h"
#include "boragepier/config/settings.h"
#include "boragepier/entry/call_telemetry.h"
#include "boragepier/entry/control_role.h"
#include "boragepier/entry/installation.h"
#include "boragepier/entry/service_router.h"
#include "boragepier/entry/traffic_thread.h"
#include "boragepier/entry/upstream_monitor.h"
#include "boragepier/telemetry/explain.h"
#include "boragepier/telemetry/metrics.h"

namespace boragepier {

/// Ports that an instance listens on.
struct InstancePorts
{
  std::uint16_t caller_ = 0;
  std::uint16_t peer_ = 0;
  std::uint16_t admin_ = 0;
};

/// One entry instance: a control thread, a traffic thread and the admin surface.
///
///   EntryInstance instance(settings);
///   InstancePorts ports = instance.Start();
///   ... wait for SIGTERM ...
///   bool complete = instance.Drain();
class EntryInstance
{
public:
  /// @param aInstallation what depends on where the instance runs
  EntryInstance(const Settings& aSettings, const Installation& aInstallation);
  ~EntryInstance();
  EntryInstance(const EntryInstance&) = delete;
  EntryInstance& operator=(const EntryInstance&) = delete;

  /// Opens all addresses and starts the threads.
  /// @throws net::ListenError if an address cannot be used
  InstancePorts Start();

  /// Puts what may change while running from changed settings into force: the limits of the fleet.
  void Reload(const Settings& aSettings);

  /// Leaves without cutting off a request: reports not ready, goes on accepting for the drain grace
  /// while lists lag, then stops accepting and waits for the requests in progress.
  /// @return false if the drain limit passed before the last request ended
  bool Drain();

private:
  void OnRouting(const std::shared_ptr<const RoutingTable>& aTable);
  void OnSecond();
  AdminHooks MakeHooks();
  InstanceStatus Status();

  const Settings settings_;
  Metrics metrics_;
  ExplainStore explain_;
  std::atomic<bool> configured_ = false;
  std::atomic<bool> draining_ = false;
  ServiceDirectory directory_;
  std::size_t instances_ = 1;   ///< live instances; control thread only
  UpstreamWatch upstreamWatch_; ///< control thread only
  CallTelemetry telemetry_;
  std::unique_ptr<ControlRole> control_;
  TrafficThread traffic_;
  std::unique_ptr<AdminServer> admin_;
};

} // namespace boragepier

#endif
