#ifndef BORAGEPIER_TESTING_UPSTREAM_UPSTREAM_H
#define BORAGEPIER_TESTING_UPSTREAM_UPSTREAM_H

#include <cstdint>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "boragepier/base/random.h"
#include "boragepier/http/client.h"
#include "boragepier/http/message.h"
#include "boragepier/net/event_loop.h"
#include "boragepier/net/tcp_listener.h"
#include "testing/upstream/caller_connection.h"
#include "testing/upstream/faults.h"

namespace boragepier::testing {

/// Settings of a simulated upstream.
struct UpstreamSettings
{
  std::string address_ = "127.0.0.1";
  std::uint16_t port_ = 0; ///< 0: any free port
  std::string id_;
  std::string zone_;
  std::string service_;
  std::size_t slots_ = 2; ///< maximum number of requests that run concurrently
  Duration serviceTime_ = std::chrono::milliseconds(10); ///< mean
  /// If set, service times are exponentially distributed; otherwise they are fixed.
  std::optional<std::uint64_t> seed_;
  std::optional<http::Target> platform_; ///< platform to register with; unset: does not register
  std::uint64_t startNumber_ = 1;        ///< increases with each start of the same id
  /// File to which a line is appended for each run: Unix time in ms, target, idempotency key or
  /// "-".
  std::string runLog_;
};

/// Counts the requests of one instance that arrive in a pause for which it was asked. Those that
/// were on their way, and arrive soon after, are not counted.
class PauseMonitor
{
public:
  void OnRefused(Duration aPause, MonotonicTime aNow);
  void OnArrival(MonotonicTime aNow);
  /// @return the largest number of requests in one pause
  int Most() const { return most_; }

private:
  struct Pause
  {
    MonotonicTime countedFrom_;
    MonotonicTime end_;
    int arrivals_ = 0;
  };
  std::vector<Pause> pauses_; ///< that have not ended
  int most_ = 0;
};

/// Simulated upstream: queues requests, reports its load, counts the runs of each idempotency key
/// and injects faults. Serves GET /control/runs, GET /control/pauses, which has the largest number
/// of requests that one instance sent in one pause for which it was asked, and POST /control/mode
/// (see ApplyMode). Loop thread only.
class Upstream
{
public:
  /// Starts to listen and, if a platform is set, to register. Retries a failed registration.
  /// @throws net::ListenError
  Upstream(net::EventLoop& aLoop, UpstreamSettings aSettings);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  std::uint16_t Port() const { return listener_->Port(); }

private:
  using ConnectionPtr = std::shared_ptr<CallerConnection>;
  struct Job
  {
    ConnectionPtr connection_;
    http::Request request_;
    std::optional<MonotonicTime> deadline_;
    MonotonicTime arrivalTime_;
    MonotonicTime serviceEnd_;
  };

  void OnAccepted(std::shared_ptr<net::TcpStream> aStream);
  void OnConnectionClosed(CallerConnection& aConnection);
  void OnRequest(const ConnectionPtr& aConnection, http::Request aRequest);
  void OnControl(const ConnectionPtr& aConnection, const http::Request& aRequest);
  void SetMode(const http::Request& aRequest);
  void StartQueuedJobs(MonotonicTime aSlotFreeSince);
  void RunJob(std::shared_ptr<Job> aJob, MonotonicTime aStart);
  void OnJobEnded(const Job& aJob);
  Duration DrawServiceTime();
  void Refuse(const ConnectionPtr& aConnection, int aStatus);
  /// Refuses a request and asks the instance that sent it for a pause.
  void RefuseWithPause(const ConnectionPtr& aConnection,
                       const std::string& aInstance,
                       MonotonicTime aNow);
  http::Response MakeResponse(int aStatus, std::string aBody) const;
  std::string RunsAsJson() const;
  std::string PausesAsJson() const;
  void Register();

  net::EventLoop& loop_;
  const UpstreamSettings settings_;
  http::Client client_;
  std::unique_ptr<net::TcpListener> listener_;
  std::unordered_map<CallerConnection*, ConnectionPtr> connections_;
  std::deque<Job> queue_;
  std::size_t running_ = 0;
  std::map<std::string, std::uint64_t> runsByKey_; ///< number of runs by idempotency key
  std::map<std::string, PauseMonitor> pauses_;     ///< by instance
  std::uint64_t totalRuns_ = 0;
  std::ofstream runLog_; ///< flushed after each line, so that a killed process loses no line
  Faults faults_;
  Random random_;
  bool registrationInProgress_ = false;
  bool registrationOutdated_ = false; ///< the state changed while a registration was in progress
};

} // namespace boragepier::testing

#endif
