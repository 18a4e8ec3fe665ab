#ifndef BORAGEPIER_ENTRY_REQUEST_PIPELINE_H
#define BORAGEPIER_ENTRY_REQUEST_PIPELINE_H

#include <map>
#include <memory>
#include <string>
#include <utility>

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
  {
  }

  /// Serves one request; the response is sent through the exchange.
  void Handle(std::shared_ptr<http::Exchange> aExchange)
  {
    const std::uint64_t number = nextNumber_++;
    auto call =
      std::make_shared<Call<S, R, C>>(ports_,
                                      std::move(aExchange),
                                      number,
                                      RequestId(idPrefix_ + std::to_string(number)),
                                      [this](const std::shared_ptr<ServiceEntry>& aService,
                                             MonotonicTime aTime) { ReleaseAt(aService, aTime); });
    call->Start();
  }

private:
  struct Armed
  {
    MonotonicTime time_;
    net::TimerId timer_ = net::TimerId::None;
  };

  // One timer per service; an earlier time replaces a later one.
  void ReleaseAt(const std::shared_ptr<ServiceEntry>& aService, MonotonicTime aTime)
  {
    Armed& armed = armed_[aService.get()];
    if (armed.timer_ != net::TimerId::None) {
      if (armed.time_ <= aTime) {
        return;
      }
      ports_.scheduler_.Cancel(armed.timer_);
    }
    armed.time_ = aTime;
    armed.timer_ = ports_.scheduler_.After(aTime - ports_.scheduler_.Now(), [this, aService] {
      armed_.erase(aService.get());
      if (const auto next = aService->ReleaseWaiting(ports_.scheduler_.Now())) {
        ReleaseAt(aService, *next);
      }
    });
  }

  const Ports ports_;
  const std::string idPrefix_;
  std::uint64_t nextNumber_;
  std::map<const ServiceEntry*, Armed> armed_;
};

} // namespace boragepier

#endif
