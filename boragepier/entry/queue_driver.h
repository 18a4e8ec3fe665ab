#ifndef BORAGEPIER_ENTRY_QUEUE_DRIVER_H
#define BORAGEPIER_ENTRY_QUEUE_DRIVER_H

#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "boragepier/entry/pipeline_ports.h"
#include "boragepier/entry/request_checks.h"
#include "boragepier/entry/service_directory.h"

namespace boragepier {

/// Does for the balancers of one traffic thread what needs time or I/O: sends the probes that they
/// ask for, and releases queued requests when they are due.
template<Scheduler S, RequestSender R, ClaimGate C>
class QueueDriver
{
public:
  /// @param aPorts what the pipeline works with; must outlive this object
  explicit QueueDriver(PipelinePorts<S, R, C> aPorts)
    : ports_(aPorts)
  {
  }

  /// Called when a request was queued or an attempt ended.
  void Drive(const std::shared_ptr<ServiceEntry>& aService)
  {
    SendProbes(aService);
    const auto next = aService->ReleaseWaiting(ports_.scheduler_.Now());
    SendProbes(aService);
    if (next) {
      ReleaseAt(aService, *next);
    }
  }

private:
  // A probe that takes longer says nothing about the load of now.
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(100);

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
      Drive(aService);
    });
  }

  void SendProbes(const std::shared_ptr<ServiceEntry>& aService)
  {
    while (const auto upstream = aService->With(
             [&](auto& aBalancer) { return aBalancer.NextProbe(ports_.scheduler_.Now()); })) {
      SendProbe(aService, *upstream);
    }
  }

  void SendProbe(const std::shared_ptr<ServiceEntry>& aService,
                 UpstreamHandle aUpstream,
                 bool aNewConnection = false)
  {
    const auto endpoint =
      aService->With([&](auto& aBalancer) { return aBalancer.Endpoint(aUpstream); });
    ports_.observer_.OnProbe(aService->Config()->name_);
    const auto config = aService->Config();
    auto request = std::make_shared<http::Request>();
    if (config->probePath_.empty()) {
      // Asks a server about itself and has no effect on any resource (RFC 7231, 4.3.7).
      request->method_ = "OPTIONS";
      request->target_ = "*";
    } else {
      request->method_ = "GET";
      request->target_ = config->probePath_;
    }
    http::SendOptions options;
    options.timeout_ = kProbeTimeout;
    options.recentlyActiveOnly_ = aNewConnection;
    ports_.sender_.Send({ endpoint->address_, endpoint->port_ },
                        std::move(request),
                        options,
                        [this, aService, aUpstream, endpoint](const http::SendResult& aResult) {
                          OnProbeEnded(aService, aUpstream, *endpoint, aResult);
                        });
  }

  void OnProbeEnded(const std::shared_ptr<ServiceEntry>& aService,
                    UpstreamHandle aUpstream,
                    const UpstreamEndpoint& aEndpoint,
                    const http::SendResult& aResult)
  {
    // An idle connection may be dead without notice, which says nothing about the upstream.
    if (aResult.failure_ == AttemptFailure::ConnectionLost && !aResult.newConnection_) {
      SendProbe(aService, aUpstream, true);
      return;
    }
    const MonotonicTime now = ports_.scheduler_.Now();
    UpstreamSigns signs;
    if (aResult.outcome_ == Outcome::Answered) {
      signs = ports_.dialect_.readSigns_(aResult.response_);
      if (!signs.load_) {
        signs.load_ = LoadReport();
        signs.load_->known_ = false;
      }
      signs.load_->healthy_ = aResult.response_.status_ < 300;
    }
    const bool foreign = aResult.outcome_ == Outcome::Answered &&
                         !ports_.dialect_.isFrom_(aResult.response_, aEndpoint);
    aService->With([&](auto& aBalancer) {
      if (foreign) {
        aBalancer.MarkLeaving(aUpstream, now);
      }
      aBalancer.OnProbeEnded(
        aUpstream, foreign ? std::nullopt : signs.load_, aResult.latency_, now);
    });
    Drive(aService);
  }

  const PipelinePorts<S, R, C> ports_;
  std::map<const ServiceEntry*, Armed> armed_;
};

} // namespace boragepier

#endif
