#ifndef BORAGEPIER_ENTRY_CONTROL_THREAD_H
#define BORAGEPIER_ENTRY_CONTROL_THREAD_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "boragepier/config/settings.h"
#include "boragepier/control/control_plane.h"
#include "boragepier/entry/control_watch.h"
#include "boragepier/http/client.h"
#include "boragepier/net/event_loop.h"
#include "boragepier/peer/peer_node.h"
#include "boragepier/platform/http_platform.h"
#include "boragepier/state/claim_sweeper.h"
#include "boragepier/telemetry/metrics.h"

namespace boragepier {

/// Owns the control state of the instance in one thread: configuration, members, departures, peers,
/// removal of old claims.
class ControlThread
{
public:
  using RoutingCallback = std::function<void(std::shared_ptr<const RoutingTable>)>;

  /// @param aSettings settings of the instance
  /// @param aMetrics outlives this object
  /// @param aOnRouting receives each new routing table, in the control thread
  /// @param aOnSecond runs about once a second in the control thread
  ControlThread(const Settings& aSettings,
                Metrics& aMetrics,
                RoutingCallback aOnRouting,
                std::function<void()> aOnSecond);
  ~ControlThread();
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  /// Opens the address for other instances and starts the thread.
  /// @return the port for other instances
  /// @throws net::ListenError if the address cannot be used
  std::uint16_t Start();
  void Stop();

  /// See ControlPlane. Any thread.
  void ReportLeaving(const UpstreamId& aUpstream, std::uint64_t aStartNumber);
  /// Waits for the control thread to take over a record.
  /// @return whether it was newer than the one held
  /// @throws Error if it cannot be put in force, or the control thread does not answer in time
  bool Announce(ConfigRecord aRecord);
  void BeginShutdown();
  /// @return whether the control thread has made progress in the last seconds
  bool Responsive() const;
  /// Waits for the control thread to describe its state.
  /// @throws Error if it does not answer in time
  ControlStatus Status();

private:
  using Plane = ControlPlane<platform::HttpTableStore, platform::HttpInstanceList, peer::PeerNode>;

  /// Runs aFunction in the control thread and returns its result.
  template<typename Function>
  auto Ask(Function aFunction);
  void OnRouting(std::shared_ptr<const RoutingTable> aTable);
  void Tick();
  void EverySecond();

  const Settings settings_;
  Metrics& metrics_;
  const RoutingCallback onRouting_;
  const std::function<void()> onSecond_;
  ControlWatch watch_;
  net::EventLoop loop_;
  http::Client client_;
  platform::PlatformClient platform_;
  platform::HttpTableStore table_;
  platform::HttpInstanceList list_;
  peer::PeerNode peers_;
  ClaimSweeper<platform::HttpTableStore> sweeper_;
  std::unique_ptr<Plane> plane_;
  std::atomic<MonotonicTime::rep> lastTick_ = 0; ///< nanoseconds of the loop's clock
  std::thread thread_;
};

} // namespace boragepier

#endif
