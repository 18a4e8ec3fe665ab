#ifndef BORAGEPIER_TESTING_LOAD_GENERATOR_H
#define BORAGEPIER_TESTING_LOAD_GENERATOR_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "boragepier/base/random.h"
#include "boragepier/http/client.h"
#include "boragepier/net/event_loop.h"
#include "testing/load/report.h"

namespace boragepier::testing {

/// Parameters of a load run.
struct LoadSettings
{
  std::vector<http::Target> targets_; ///< used round-robin
  std::uint64_t seed_ = 1;            ///< of operations, bodies and arrival times
  std::uint64_t requestCount_ = 1000;
  double requestsPerSecond_ = 0;          ///< arrival rate of an open loop; 0: closed loop
  std::uint64_t outstandingRequests_ = 8; ///< outstanding requests of a closed loop
  double ordersPercent_ = 0; ///< percentage of POST orders with an idempotency key; the rest are
                             ///< GET lookups
  std::string orderPath_ = "/order";
  std::string lookupPath_ = "/lookup";
  std::string keyPrefix_ = "load";  ///< of idempotency keys; a repeated one gets replayed answers
  std::uint32_t deadlineMs_ = 1000; ///< deadline header of each request; 0: no header
  Duration timeout_ = std::chrono::seconds(10); ///< later responses count as lost
};

/// Sends requests and checks their answers. The operations, bodies and, in an open loop, the
/// arrival times depend on the seed only. Not thread-safe: used in the thread of the event loop.
class LoadGenerator
{
public:
  /// @param aLoop must outlive the generator
  /// @param aOnDone called when every request has ended
  LoadGenerator(net::EventLoop& aLoop, LoadSettings aSettings, std::function<void()> aOnDone);

  /// Starts sending; call it once.
  void Start();
  /// @return the results recorded so far
  const LoadRunReport& Report() const { return report_; }
  /// @return the time from Start() to the end of the last request; zero before that
  Duration Elapsed() const { return elapsed_; }

private:
  struct Operation
  {
    std::shared_ptr<const http::Request> request_;
    std::string idempotencyKey_; // empty for lookups
  };

  Operation MakeNextOperation();
  void SendNextRequest();
  void SendDueRequests();
  void OnRequestEnded(const Operation& aOperation, const http::SendResult& aResult);

  net::EventLoop& loop_;
  const LoadSettings settings_;
  const std::function<void()> onDone_;
  http::Client client_;
  Random operationRandom_;
  Random arrivalRandom_; // separate, so that open and closed loops send the same requests
  LoadRunReport report_;
  MonotonicTime start_;
  MonotonicTime nextArrival_;
  Duration elapsed_{};
  std::uint64_t sentCount_ = 0;
  std::uint64_t endedCount_ = 0;
};

} // namespace boragepier::testing

#endif
