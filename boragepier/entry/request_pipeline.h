#ifndef BORAGEPIER_ENTRY_REQUEST_PIPELINE_H
#define BORAGEPIER_ENTRY_REQUEST_PIPELINE_H

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "boragepier/base/time.h"
#include "boragepier/entry/balancer_driver.h"
#include "boragepier/entry/call.h"
#include "boragepier/entry/startup_hold.h"

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
    const auto exchange = aExchange;
    const auto call = std::make_shared<Call<S, R, C>>(deps_,
                                                      driver_,
                                                      std::move(aExchange),
                                                      number,
                                                      RequestId(idPrefix_ + std::to_string(number)),
                                                      latestDeadline_);
    if (!deps_.router_.HasConfiguration() && Hold(call, *exchange, number)) {
      return;
    }
    call->Start();
  }

  /// Ends the wait of the requests that arrived before the first configuration. To be called when
  /// it is in force.
  void ReleaseHeld()
  {
    for (const auto& [number, held] : std::exchange(held_, {})) {
      if (const auto call = held.lock()) {
        call->EndHold();
      }
    }
  }

private:
  using CallType = Call<S, R, C>;

  // Returns whether the request now waits for the first configuration.
  bool Hold(const std::shared_ptr<CallType>& aCall,
            const http::Exchange& aExchange,
            std::uint64_t aNumber)
  {
    const http::Request& request = aExchange.GetRequest();
    const std::size_t bytes = request.body_.size();
    const auto until = hold_.Begin(aExchange.Arrival(),
                                   ParseRequestedTimeLimit(request, deps_.dialect_),
                                   bytes,
                                   deps_.scheduler_.Now());
    if (!until) {
      return false;
    }
    held_[aNumber] = aCall;
    aCall->StartHeld(*until, [this, bytes, aNumber] {
      hold_.End(bytes);
      held_.erase(aNumber);
    });
    return true;
  }

  const Dependencies deps_;
  const std::string idPrefix_;
  std::uint64_t nextNumber_;
  BalancerDriver<S, R, C> driver_;
  StartupHold hold_;
  std::map<std::uint64_t, std::weak_ptr<CallType>> held_; ///< by sequence number
  MonotonicTime latestDeadline_ = MonotonicTime::max();   ///< later ones are refused
};

} // namespace boragepier

#endif
