#ifndef BORAGEPIER_TESTING_E2E_LOAD_RUNNER_H
#define BORAGEPIER_TESTING_E2E_LOAD_RUNNER_H

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "testing/e2e/sync_client.h"

namespace boragepier::testing {

/// Responses that the callers received.
struct LoadResult
{
  int sent_ = 0;
  int answered_ = 0; ///< complete, matching responses with a status below 500
  int serverErrors_ = 0;
  int notRun_ = 0;                          ///< refused with outcome "not-run"
  int unknown_ = 0;                         ///< refused with outcome "unknown"
  int lost_ = 0;                            ///< no response
  std::map<std::uint16_t, int> lostByPort_; ///< lost_ by the port of the instance
  int mismatched_ = 0;                      ///< responses whose echo belongs to another request
  std::vector<double> latenciesMs_;         ///< of all requests, including lost ones
  std::map<std::string, int> refusals_;     ///< number by reason
  std::map<std::string, std::string> orderOutcomes_; ///< outcome of each order by key;
                                                     ///< "server-error": answered, 500 or above

  /// @param aFraction between 0 and 1, for example 0.99 for the 99th percentile
  /// @return the quantile of the latencies in ms; 0 if there are none
  double Quantile(double aFraction) const;
};

/// Callers in threads of their own that send lookups and orders with idempotency keys until
/// stopped. Each caller distributes its requests round-robin over the present targets, as the
/// balancer in front of the instances does.
class LoadRunner
{
public:
  /// Path prefixes that are used in turn. Two lookups are sent for each order.
  struct PathPrefixes
  {
    std::vector<std::string> lookupPrefixes_;
    std::vector<std::string> orderPrefixes_; ///< empty for lookups only
  };

  /// @param aName prefix of all request names and idempotency keys; unique within a test
  /// @param aCallers number of callers; each sends one request at a time
  /// @param aPathPrefixes path prefixes of the requests
  LoadRunner(std::string aName, int aCallers, PathPrefixes aPathPrefixes);
  ~LoadRunner();
  LoadRunner(const LoadRunner&) = delete;
  LoadRunner& operator=(const LoadRunner&) = delete;

  /// Replaces the caller ports of the instances to which requests are sent.
  void SetTargets(std::vector<std::uint16_t> aPorts);
  /// Starts the callers. Targets must be set before.
  void Start();
  /// Waits until aCount further requests have completed.
  /// @throws ChildProcessError after twice ChildProcess::kTimeout
  void WaitForRequests(int aCount);
  /// Stops all callers after their requests in progress.
  /// @return the results since Start()
  LoadResult Stop();

private:
  void RunCaller(int aCaller);
  void SendAndRecord(SyncClient& aClient, const http::Request& aRequest, std::uint16_t aPort);
  http::Request MakeRequest(int aCaller, int aSequenceNumber) const;
  void RecordResult(const http::Request& aRequest,
                    const http::SendResult& aResult,
                    std::uint16_t aPort);

  const std::string name_;
  const int callers_;
  const PathPrefixes pathPrefixes_;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> completedRequests_ = 0;
  std::mutex mutex_;
  std::vector<std::uint16_t> targets_;
  LoadResult result_;
  std::vector<std::thread> threads_;
};

} // namespace boragepier::testing

#endif
