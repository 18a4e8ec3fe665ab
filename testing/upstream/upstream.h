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

/// What a stand-in upstream is started with.
struct UpstreamSettings
{
  std::string address_ = "127.0.0.1";
  std::uint16_t port_ = 0; ///< 0: chosen by the system
  std::string id_;
  std::string zone_;
  std::string service_;
  std::size_t slots_ = 2;                                ///< requests that run at the same time
  Duration serviceTime_ = std::chrono::milliseconds(10); ///< mean
  std::optional<std::uint64_t> seed_;    ///< given: service times are exponential, else fixed
  std::optional<http::Target> platform_; ///< where the upstream registers itself
  std::uint64_t startNumber_ = 1;        ///< higher for a later start of the same id
  std::string runLog_; ///< file to which each run is appended: time in ms, target, key or "-"
};

/// A stand-in for an upstream that queues, reports its load, records each run by idempotency key
/// and misbehaves on request. Serves GET /control/runs and POST /control/mode (see ApplyMode). Loop
/// thread only.
class Upstream
{
public:
  /// Starts to listen and to register.
  /// @throws net::ListenError
  Upstream(net::EventLoop& aLoop, UpstreamSettings aSettings);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  std::uint16_t Port() const { return listener_->Port(); }

private:
  using Connection = std::shared_ptr<CallerConnection>;
  struct Job
  {
    Connection connection_;
    http::Request request_;
    std::optional<MonotonicTime> deadline_;
    MonotonicTime arrival_;
    MonotonicTime end_; ///< of its service
  };

  void OnAccepted(std::shared_ptr<net::TcpStream> aStream);
  void OnClosed(CallerConnection& aConnection);
  void OnRequest(const Connection& aConnection, http::Request aRequest);
  void OnControl(const Connection& aConnection, const http::Request& aRequest);
  void SetMode(const http::Request& aRequest);
  void StartJobs(MonotonicTime aSlotFreeSince);
  void Run(std::shared_ptr<Job> aJob, MonotonicTime aStart);
  void OnRunEnded(const Job& aJob);
  Duration DrawServiceTime();
  void Refuse(const Connection& aConnection, int aStatus);
  http::Response MakeResponse(int aStatus, std::string aBody) const;
  std::string RunsAsJson() const;
  void Register();

  net::EventLoop& loop_;
  const UpstreamSettings settings_;
  http::Client client_;
  std::unique_ptr<net::TcpListener> listener_;
  std::unordered_map<CallerConnection*, Connection> connections_;
  std::deque<Job> queue_;
  std::size_t running_ = 0;
  std::map<std::string, std::uint64_t> runs_; // by idempotency key
  std::uint64_t totalRuns_ = 0;
  std::ofstream runLog_; ///< flushed after each line, so that a killed process loses none
  Faults faults_;
  Random random_;
  bool registering_ = false;
  bool registerAgain_ = false;
};

} // namespace boragepier::testing

#endif
