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
  int lost_ = 0;  ///< no response
  int wrong_ = 0; ///< an answer that belongs to another request
  std::map<std::string, int> refusals_;        ///< by reason
  std::map<std::string, std::string> orders_;  ///< outcome of each keyed order, by key
};

/// Callers that send lookups and keyed orders through several instances until stopped, as behind the
/// platform's balancer: each request goes to one of the targets that are listed at that moment.
class LoadRunner
{
public:
  /// @param aCallers number of callers that send one request after the other
  /// @param aLookupPath path of lookups
  /// @param aOrderPath path of orders; empty for lookups only
  LoadRunner(int aCallers, std::string aLookupPath, std::string aOrderPath);
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
  void SendOne(SyncClient& aClient, const std::string& aName, bool aOrder, std::uint16_t aPort);

  const int callers_;
  const std::string lookupPath_;
  const std::string orderPath_;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> ended_ = 0;
  std::mutex mutex_;
  std::vector<std::uint16_t> targets_;
  LoadResult result_;
  std::vector<std::thread> threads_;
};

} // namespace boragepier::testing

#endif
