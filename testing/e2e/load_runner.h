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

/// What callers saw.
struct LoadResult
{
  int sent_ = 0;
  int answered_ = 0; ///< whole and right answers below 500
  int serverErrors_ = 0;
  int notRun_ = 0;                            ///< refused as not run
  int unknown_ = 0;                           ///< refused as unknown
  int lost_ = 0;                              ///< no response
  std::map<std::uint16_t, int> lostByPort_;   ///< of lost_, by the port of the instance
  int wrong_ = 0;                             ///< an answer that belongs to another request
  std::vector<double> latenciesMs_;           ///< of all responses
  std::map<std::string, int> refusals_;       ///< by reason
  std::map<std::string, std::string> orders_; ///< outcome of each order by key, or
                                              ///< "server-error" for an answer of 500 and above

  /// @param aFraction for example 0.99
  /// @return the quantile of the latencies in ms, 0 without any
  double Quantile(double aFraction) const;
};

/// Callers that send lookups and keyed orders through several instances until stopped, as behind
/// the platform's balancer: each request goes to one of the targets that are listed at that moment.
class LoadRunner
{
public:
  /// Paths under which requests are sent, in turn. Two lookups are sent for each order.
  struct Paths
  {
    std::vector<std::string> lookups_;
    std::vector<std::string> orders_; ///< empty for lookups only
  };

  /// @param aName starts the names of all requests; unique among the runners of a test
  /// @param aCallers number of callers that send one request after the other
  /// @param aPaths where requests go
  LoadRunner(std::string aName, int aCallers, Paths aPaths);
  ~LoadRunner();
  LoadRunner(const LoadRunner&) = delete;
  LoadRunner& operator=(const LoadRunner&) = delete;

  /// Replaces the list of instances that callers use.
  void SetTargets(std::vector<std::uint16_t> aPorts);
  void Start();
  /// Waits until so many further requests have ended.
  void WaitForRequests(int aCount);
  /// Ends all callers after their present requests.
  LoadResult Stop();

private:
  void Run(int aCaller);
  void SendOne(SyncClient& aClient, const http::Request& aRequest, std::uint16_t aPort);
  http::Request MakeRequest(int aCaller, int aNumber) const;
  void Count(const http::Request& aRequest, const http::SendResult& aResult, std::uint16_t aPort);

  const std::string name_;
  const int callers_;
  const Paths paths_;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> ended_ = 0;
  std::mutex mutex_;
  std::vector<std::uint16_t> targets_;
  LoadResult result_;
  std::vector<std::thread> threads_;
};

} // namespace boragepier::testing

#endif
