#ifndef BORAGEPIER_ENTRY_REQUEST_PIPELINE_H
#define BORAGEPIER_ENTRY_REQUEST_PIPELINE_H

#include <memory>
#include <string>
#include <utility>

#include "boragepier/base/time.h"
#include "boragepier/entry/balancer_driver.h"
#include "boragepier/entry/call.h"

namespace boragepier {

/// Entry point for the requests of one traffic thread: creates a Call for each. Runs in the thread
/// of its scheduler.
template<Scheduler S, RequestSender R, ClaimCoordinator C>
class RequestPipeline
{
public:
  using Dependencies = PipelineDependencies<S, R, C>;

  /// @param aDependencies the referenced objects must outlive this object
  /// @param aIdPrefix prefix of every request id; unique among instances, starts and threads
  /// @param aFirstNumber sequence number of the first request; the numbers of different threads
  /// must
  ///   not overlap
  RequestPipeline(Dependencies aDependencies, std::string aIdPrefix, std::uint64_t aFirstNumber)
    : deps_(aDependencies)
    , idPrefix_(std::move(aIdPrefix))
    , nextNumber_(aFirstNumber)
    , driver_(aDependencies)
  {
  }

  /// Refuses requests that start from now on and whose deadline is after aTime (ShuttingDown): they
  /// could still be in progress when the process exits.
  void RefuseDeadlinesAfter(MonotonicTime aTime) { latestDeadline_ = aTime; }

  /// Starts processing a request. The response is sent through aExchange.
  void Handle(std::shared_ptr<http::Exchange> aExchange)
  {
    const std::uint64_t number = nextNumber_++;
    const auto call = std::make_shared<Call<S, R, C>>(deps_,
                                                      driver_,
                                                      std::move(aExchange),
                                                      number,
                                                      RequestId(idPrefix_ + std::to_string(number)),
                                                      latestDeadline_);
    call->Start();
  }

private:
  const Dependencies deps_;
  const std::string idPrefix_;
  std::uint64_t nextNumber_;
  BalancerDriver<S, R, C> driver_;
  MonotonicTime latestDeadline_ = MonotonicTime::max(); ///< later ones are refused
};

} // namespace boragepier

#endif
