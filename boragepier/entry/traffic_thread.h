#ifndef BORAGEPIER_ENTRY_TRAFFIC_THREAD_H
#define BORAGEPIER_ENTRY_TRAFFIC_THREAD_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

#include "boragepier/base/time.h"
#include "boragepier/config/settings.h"
#include "boragepier/entry/batched_claim_service.h"
#include "boragepier/entry/call_observer.h"
#include "boragepier/entry/request_pipeline.h"
#include "boragepier/entry/service_router.h"
#include "boragepier/http/body_budget.h"
#include "boragepier/http/client.h"
#include "boragepier/http/server.h"
#include "boragepier/net/event_loop.h"
#include "boragepier/platform/http_platform.h"

namespace boragepier {

/// Serves callers in a thread of its own, which runs the HTTP server, the connections to upstreams
/// and the claims.
class TrafficThread
{
public:
  /// @param aSettings settings of the instance
  /// @param aRouter finds the service of each request; must outlive this object
  /// @param aObserver must outlive this object
  /// @param aIdPrefix prefix of every request id of this thread
  /// @param aDialect must outlive this object
  /// @param aQuotas quotas of teams; must outlive this object; null if they are not kept
  TrafficThread(const Settings& aSettings,
                ServiceRouter& aRouter,
                CallObserver& aObserver,
                std::string aIdPrefix,
                const WireDialect& aDialect,
                QuotaGate* aQuotas);
  ~TrafficThread();
  TrafficThread(const TrafficThread&) = delete;
  TrafficThread& operator=(const TrafficThread&) = delete;

  /// Listens for callers. Call before Start().
  /// @return the port, also where the system chose it
  /// @throws net::ListenError if the address cannot be used
  std::uint16_t Listen();
  /// Starts the thread.
  void Start();

  /// Sets the number of live instances, this one included. May be inexact. Thread-safe.
  void SetFleetSize(std::size_t aInstances);
  /// Applies limits from the configuration to the requests that begin from now on, and to idle
  /// connections. Thread-safe.
  void SetCallerLimits(const CallerLimits& aLimits);
  /// Processes the requests that wait for the first configuration. Thread-safe.
  void ReleaseHeld();
  /// Sends "Connection: close" with every response from now on. Thread-safe.
  void BeginDrain();
  /// Stops accepting connections and closes idle ones. A request that is being read is served if
  /// its deadline is not after aDrainLimit, and refused otherwise. Thread-safe.
  /// @param aDrainLimit time at which requests in progress are aborted
  void StopAccepting(MonotonicTime aDrainLimit);
  /// @return whether, at the last tick, accepting was stopped, no request was being read or in
  ///   progress and no claim had anything pending. Once true, no request follows. Thread-safe.
  bool Drained() const { return drained_; }
  /// @return the number of connections to callers at the last tick. Thread-safe.
  std::size_t ConnectionCount() const { return connectionCount_; }
  /// @return the number of connections refused up to the last tick because of the connection limit.
  ///   Thread-safe.
  std::uint64_t RefusedConnectionCount() const { return refusedConnectionCount_; }
  /// @return the memory for bodies of requests and answers. Thread-safe.
  const http::BodyBudget& GetBodyBudget() const { return *bodyBudget_; }
  /// Ends the thread and waits for it. Not to be called in the thread itself.
  void Stop();

private:
  using Claims = BatchedClaimService<platform::HttpTableStore>;
  using Pipeline = RequestPipeline<net::EventLoop, http::Client, Claims>;

  void Tick();
  void WatchBodyMemory();
  http::Response MakeServerRefusal(RefusalReason aReason) const;

  const Settings settings_;
  const ServiceRouter& router_;
  const bool limitsFromConfiguration_; ///< otherwise those of the settings apply throughout
  net::EventLoop loop_;
  const std::shared_ptr<http::BodyBudget> bodyBudget_;
  http::HoldTime bodyHoldTime_;
  MonotonicTime nextMemoryWatch_{};
  std::size_t mostBodyBytes_ = 0; ///< held at a tick since memory was last returned
  http::Client client_;
  platform::PlatformClient platform_;
  platform::HttpTableStore table_;
  Claims claims_;
  Pipeline pipeline_;
  http::Server server_;
  std::atomic<bool> drained_ = false;
  std::atomic<bool> stoppedAccepting_ = false;
  std::atomic<std::size_t> connectionCount_ = 0;
  std::atomic<std::uint64_t> refusedConnectionCount_ = 0;
  std::thread thread_;
};

} // namespace boragepier

#endif
