#ifndef BORAGEPIER_ENTRY_CONTROL_PLANE_THREAD_H
#define BORAGEPIER_ENTRY_CONTROL_PLANE_THREAD_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "boragepier/config/settings.h"
#include "boragepier/control/control_plane.h"
#include "boragepier/entry/control_plane_monitor.h"
#include "boragepier/entry/control_thread_base.h"
#include "boragepier/http/client.h"
#include "boragepier/net/event_loop.h"
#include "boragepier/peer/http2_transport.h"
#include "boragepier/platform/http_platform.h"
#include "boragepier/state/claim_sweeper.h"
#include "boragepier/telemetry/metrics.h"

namespace boragepier {

/// Control thread of an instance that uses boragepier's own platform protocol: exchanges
/// configuration, live instances and leaving upstreams with its peers, and removes expired claims
/// from the table.
class ControlPlaneThread : public ControlThreadBase
{
public:
  /// @param aSettings settings of the instance
  /// @param aMetrics must outlive this object
  /// @param aOnRoutingTable receives each new routing table; called in the control thread
  /// @param aPeriodicTask called about once a second in the control thread
  ControlPlaneThread(const Settings& aSettings,
                     Metrics& aMetrics,
                     RoutingCallback aOnRoutingTable,
                     std::function<void()> aPeriodicTask);
  ~ControlPlaneThread() override;
  ControlPlaneThread(const ControlPlaneThread&) = delete;
  ControlPlaneThread& operator=(const ControlPlaneThread&) = delete;

  std::uint16_t Listen() override;
  void Start() override;
  void Stop() override;
  void ReportLeaving(const UpstreamId& aUpstream, std::uint64_t aStartNumber) override;
  bool Announce(ConfigRecord aRecord) override;
  void BeginShutdown() override;
  bool Responsive() const override;
  ControlStatus Status() override;

private:
  using Plane =
    ControlPlane<platform::HttpTableStore, platform::HttpInstanceList, peer::Http2Transport>;

  void OnRoutingTable(std::shared_ptr<const RoutingTable> aTable);
  void Tick();
  void RunEverySecond();

  const Settings settings_;
  Metrics& metrics_;
  const RoutingCallback onRoutingTable_;
  const std::function<void()> periodicTask_;
  ControlPlaneMonitor monitor_;
  net::EventLoop loop_;
  http::Client client_;
  platform::PlatformClient platform_;
  platform::HttpTableStore table_;
  platform::HttpInstanceList list_;
  peer::Http2Transport peers_;
  ClaimSweeper<platform::HttpTableStore> sweeper_;
  std::unique_ptr<Plane> plane_;
  std::atomic<MonotonicTime::rep> lastTickNs_ = 0; ///< time of the last tick, in the loop's clock
  std::thread thread_;
};

} // namespace boragepier

#endif
