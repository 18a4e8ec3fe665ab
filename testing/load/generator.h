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

/// What load is generated.
struct LoadSettings
{
  std::vector<http::Target> targets_; ///< taken in turn
  std::uint64_t seed_ = 1;
  std::uint64_t count_ = 1000;
  double rate_ = 0;           ///< open loop: requests per second; 0: closed loop
  std::uint64_t clients_ = 8; ///< closed loop: requests outstanding
  double ordersPercent_ = 0;
  std::string orderPath_ = "/order";
  std::string lookupPath_ = "/lookup";
  std::string keyPrefix_ = "load";  ///< of idempotency keys; a run of its own needs its own
  std::uint32_t deadlineMs_ = 1000; ///< sent with each request; 0: none
  Duration timeout_ = std::chrono::seconds(10); ///< after which a response counts as lost
};

/// Sends requests whose kinds, bodies and times of arrival follow from the seed. Loop thread only.
class LoadGenerator
{
public:
  /// @param aDone runs when every request has ended
  LoadGenerator(net::EventLoop& aLoop, LoadSettings aSettings, std::function<void()> aDone);

  void Start();
  const LoadReport& Report() const { return report_; }
  Duration Elapsed() const { return elapsed_; }

private:
  struct Operation
  {
    std::shared_ptr<const http::Request> request_;
    std::string key_; // empty for lookups
  };

  Operation MakeOperation();
  void SendNext();
  void OnArrival();
  void OnEnded(const Operation& aOperation, const http::SendResult& aResult);

  net::EventLoop& loop_;
  const LoadSettings settings_;
  const std::function<void()> done_;
  http::Client client_;
  Random random_;
  Random arrivals_; // of its own, so that both loops send the same requests
  LoadReport report_;
  MonotonicTime start_;
  MonotonicTime nextArrival_;
  Duration elapsed_{};
  std::uint64_t sent_ = 0;
  std::uint64_t ended_ = 0;
};

} // namespace boragepier::testing

#endif
