#ifndef BORAGEPIER_ENTRY_REQUEST_PIPELINE_H
#define BORAGEPIER_ENTRY_REQUEST_PIPELINE_H

#include <memory>
#include <string>
#include <utility>

#include "boragepier/entry/balancer_driver.h"
#include "boragepier/entry/call.h"

namespace boragepier {

/// Serves the requests of one traffic thread.
template<Scheduler S, RequestSender R, ClaimGate C>
class RequestPipeline
{
public:
  using Ports = PipelinePorts<S, R, C>;

  /// @param aPorts what the pipeline works with; must outlive it
  /// @param aIdPrefix starts every request id; unique among instances, starts and threads
  /// @param aFirstNumber number of the first request; distinct ranges for distinct threads
  RequestPipeline(Ports aPorts, std::string aIdPrefix, std::uint64_t aFirstNumber)
    : ports_(aPorts)
    , idPrefix_(std::move(aIdPrefix))
    , nextNumber_(aFirstNumber)
    , driver_(aPorts)
  {
  }

  /// Serves one request; the response is sent through the exchange.
  void Handle(std::shared_ptr<http::Exchange> aExchange)
  {
    const std::uint64_t number = nextNumber_++;
    const auto call = std::make_shared<Call<S, R, C>>(
      ports_, driver_, std::move(aExchange), number, RequestId(idPrefix_ + std::to_string(number)));
    call->Start();
  }

private:
  const Ports ports_;
  const std::string idPrefix_;
  std::uint64_t nextNumber_;
  QueueDriver<S, R, C> driver_;
};

} // namespace boragepier

#endif
