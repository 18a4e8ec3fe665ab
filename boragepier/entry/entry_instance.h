#ifndef BORAGEPIER_ENTRY_ENTRY_INSTANCE_H
#define BORAGEPIER_ENTRY_ENTRY_INSTANCE_H

#include <atomic>
#include <cstdint>
#include <memory>

#include "boragepier/admin/admin_server.h"
#include "boragepier/config/settings.h"
#include "boragepier/entry/call_telemetry.h"
#include "boragepier/entry/control_thread_base.h"
#include "boragepier/entry/platform_binding.h"
#include "boragepier/entry/service_router.h"
#include "boragepier/entry/traffic_thread.h"
#include "boragepier/entry/upstream_monitor.h"
#include "boragepier/telemetry/explain.h"
#include "boragepier/telemetry/metrics.h"

namespace boragepier {

/// TCP ports that an instance listens on.
struct InstancePorts
{
  std::uint16_t caller_ = 0;
  std::uint16_t peer_ = 0; ///< 0 without peers
  std::uint16_t admin_ = 0;
};

/// One entry instance: a control thread, a traffic thread and the admin server.
///
///   EntryInstance instance(settings, MakeNativePlatformBinding());
///   InstancePorts ports = instance.Start();
///   ... wait for SIGTERM ...
///   bool complete = instance.Drain();
class EntryInstance
{
public:
  /// @param aSettings settings of the instance
  /// @param aPlatformBinding parts that depend on the platform
  EntryInstance(const Settings& aSettings, const PlatformBinding& aPlatformBinding);
  ~EntryInstance();
  EntryInstance(const EntryInstance&) = delete;
  EntryInstance& operator=(const EntryInstance&) = delete;

  /// Listens on all addresses and then starts the threads. After an error the object can only be
  /// destroyed.
  /// @return the ports it listens on, including those that the system chose
  /// @throws net::AddressInUseError if another socket uses one of the addresses
  /// @throws Error if an address cannot be used for another reason
  InstancePorts Start();

  /// Applies the settings that may change at run time: the limits that apply to all instances
  /// together.
  void Reload(const Settings& aSettings);

  /// Shuts down without interrupting requests: reports not ready, continues to accept for the drain
  /// grace period, in which callers can notice, then stops accepting and waits for the requests
  /// that are being read or in progress and for pending claims. Blocks.
  /// @return false if the drain limit, less its margin, passed before the last of them ended
  bool Drain();

private:
  void OnRoutingTable(const std::shared_ptr<const RoutingTable>& aTable);
  /// Updates metrics and logs changes of upstreams. Control thread only, about once a second.
  void RunPeriodicTasks();
  /// Counts and logs connections that were refused since the last call.
  void ReportRefusedConnections();
  /// Publishes how much of the memory for bodies is held, and logs refusals for the lack of it.
  void ReportBodyMemory();
  AdminHooks MakeAdminHooks();
  InstanceStatus Status();

  const Settings settings_;
  Metrics metrics_;
  ExplainStore explain_;
  std::atomic<bool> configured_ = false; ///< a routing table with services was received
  std::atomic<bool> draining_ = false;
  std::uint64_t reportedBodyRefusals_ = 0; ///< used only by ReportBodyMemory()
  ServiceRouter router_;
  std::size_t instanceCount_ = 1;        ///< live instances, this one included; control thread only
  UpstreamMonitor upstreamMonitor_;      ///< control thread only
  std::uint64_t refusedConnections_ = 0; ///< reported so far; control thread only
  std::uint64_t descriptorShortages_ = 0; ///< reported so far; control thread only
  CallTelemetry telemetry_;
  std::unique_ptr<ControlThreadBase> control_;
  TrafficThread traffic_;
  std::unique_ptr<AdminServer> admin_;
};

} // namespace boragepier

#endif
