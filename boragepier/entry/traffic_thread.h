#ifndef BORAGEPIER_ENTRY_TRAFFIC_THREAD_H
#define BORAGEPIER_ENTRY_TRAFFIC_THREAD_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

#include "boragepier/config/settings.h"
#include "boragepier/entry/batched_claim_service.h"
#include "boragepier/entry/call_observer.h"
#include "boragepier/entry/request_pipeline.h"
#include "boragepier/entry/service_router.h"
#include "boragepier/http/client.h"
#include "boragepier/http/server.h"
#include "boragepier/net/event_loop.h"
#include "boragepier/platform/http_platform.h"

namespace boragepier {

/// Serves callers in one thread of its own: server, client connections, claims.
class TrafficThread
{
public:
  /// @param aSettings settings of the instance
  /// @param aDirectory services in force; outlives this object
  /// @param aObserver outlives this object
  /// @param aIdPrefix starts every request id of this thread
  /// @param aDialect outlives this object
  TrafficThread(const Settings& aSettings,
                ServiceDirectory& aDirectory,
                CallObserver& aObserver,
                std::string aIdPrefix,
                const WireDialect& aDialect);
  ~TrafficThread();
  TrafficThread(const TrafficThread&) = delete;
  TrafficThread& operator=(const TrafficThread&) = delete;

  /// Opens the address for callers. Before Start().
  /// @return the port
  /// @throws net::ListenError if the address cannot be used
  std::uint16_t Listen();
  void Start();

  /// @param aInstances live instances; a hint. Any thread.
  void SetFleetSize(std::size_t aInstances);
  /// Puts limits of the configuration into force for new connections. Any thread.
  void SetCallerLimits(const CallerLimits& aLimits);
  /// Answers further requests with "Connection: close". Any thread.
  void BeginDrain();
  /// Stops accepting and closes idle connections. Any thread.
  void StopAccepting();
  /// @return whether no request is in progress and all claims are settled, as of the last tick. Any
  ///   thread.
  bool Idle() const { return idle_; }
  std::size_t Connections() const { return connections_; }
  /// Ends the thread. Any thread.
  void Stop();

private:
  using Claims = TrafficClaims<platform::HttpTableStore>;
  using Pipeline = RequestPipeline<net::EventLoop, http::Client, Claims>;

  void Tick();

  const Settings settings_;
  net::EventLoop loop_;
  http::Client client_;
  platform::PlatformClient platform_;
  platform::HttpTableStore table_;
  Claims claims_;
  Pipeline pipeline_;
  http::Server server_;
  std::atomic<bool> idle_ = false;
  std::atomic<bool> stopAccepting_ = false;
  std::atomic<std::size_t> connections_ = 0;
  std::thread thread_;
};

} // namespace boragepier

#endif
