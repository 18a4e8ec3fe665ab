#ifndef BORAGEPIER_ENTRY_BALANCER_DRIVER_H
#define BORAGEPIER_ENTRY_BALANCER_DRIVER_H

#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "boragepier/decision/upstream_start.h"
#include "boragepier/entry/pipeline_dependencies.h"
#include "boragepier/entry/request_checks.h"
#include "boragepier/entry/service_router.h"

namespace boragepier {

/// Performs timers and I/O for the balancers that one traffic thread uses: sends the probes that
/// they request, and releases queued requests when they are due. Runs in the thread of its
/// scheduler.
template<Scheduler S, RequestSender R, ClaimCoordinator C>
class BalancerDriver
{
public:
  /// @param aDependencies the referenced objects must outlive this object
  explicit BalancerDriver(PipelineDependencies<S, R, C> aDependencies)
    : deps_(aDependencies)
  {
  }

  /// Sends pending probes, releases due requests and schedules the next release. Call after a
  /// request was queued, an attempt ended, or a request asked for probes.
  void Drive(const std::shared_ptr<ActiveService>& aService)
  {
    SendProbes(aService);
    const auto nextRelease = aService->ReleaseQueued(deps_.scheduler_.Now());
    SendProbes(aService);
    if (nextRelease) {
      ArmReleaseTimer(aService, *nextRelease);
    }
  }

  /// Records a pause that an upstream asked for, and takes back the requests to it that are not
  /// sent yet.
  void BeginPause(const std::shared_ptr<ActiveService>& aService,
                  UpstreamHandle aUpstream,
                  Duration aDuration)
  {
    std::shared_ptr<const UpstreamEndpoint> endpoint;
    const Duration added = aService->WithBalancer([&](auto& aBalancer) {
      endpoint = aBalancer.Endpoint(aUpstream);
      return aBalancer.BeginPause(aUpstream, aDuration, deps_.scheduler_.Now());
    });
    deps_.observer_.OnUpstreamPaused(aService->Config()->name_, *endpoint, added);
    deps_.sender_.Withdraw({ endpoint->address_, endpoint->port_ });
  }

private:
  // A response that takes longer describes a load that is no longer current.
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(100);

  struct ReleaseTimer
  {
    MonotonicTime time_;
    net::TimerId timer_ = net::TimerId::None;
  };

  // Keeps one timer per service. An earlier time replaces a later one.
  void ArmReleaseTimer(const std::shared_ptr<ActiveService>& aService, MonotonicTime aTime)
  {
    ReleaseTimer& releaseTimer = releaseTimers_[aService.get()];
    if (releaseTimer.timer_ != net::TimerId::None) {
      if (releaseTimer.time_ <= aTime) {
        return;
      }
      deps_.scheduler_.Cancel(releaseTimer.timer_);
    }
    releaseTimer.time_ = aTime;
    releaseTimer.timer_ = deps_.scheduler_.After(aTime - deps_.scheduler_.Now(), [this, aService] {
      releaseTimers_.erase(aService.get());
      Drive(aService);
    });
  }

  void SendProbes(const std::shared_ptr<ActiveService>& aService)
  {
    while (const auto upstream = aService->WithBalancer(
             [&](auto& aBalancer) { return aBalancer.NextProbe(deps_.scheduler_.Now()); })) {
      SendProbe(aService, *upstream);
    }
  }

  void SendProbe(const std::shared_ptr<ActiveService>& aService,
                 UpstreamHandle aUpstream,
                 bool aProvenConnectionOnly = false)
  {
    const auto endpoint =
      aService->WithBalancer([&](auto& aBalancer) { return aBalancer.Endpoint(aUpstream); });
    deps_.observer_.OnProbe(aService->Config()->name_);
    const auto config = aService->Config();
    auto request = std::make_shared<http::Request>();
    if (config->probePath_.empty()) {
      // OPTIONS * addresses the server as a whole and affects no resource (RFC 7231, 4.3.7).
      request->method_ = "OPTIONS";
      request->target_ = "*";
    } else {
      request->method_ = "GET";
      request->target_ = config->probePath_;
    }
    http::SendOptions options;
    options.timeout_ = kProbeTimeout;
    options.recentlyActiveOnly_ = aProvenConnectionOnly;
    deps_.dialect_.SetResponseFields(options);
    deps_.sender_.Send({ endpoint->address_, endpoint->port_ },
                       std::move(request),
                       options,
                       [this, aService, aUpstream, endpoint](const http::SendResult& aResult) {
                         OnProbeEnded(aService, aUpstream, *endpoint, aResult);
                       });
  }

  void OnProbeEnded(const std::shared_ptr<ActiveService>& aService,
                    UpstreamHandle aUpstream,
                    const UpstreamEndpoint& aEndpoint,
                    const http::SendResult& aResult)
  {
    if (http::HasForeignResponse(aResult)) {
      deps_.observer_.OnForeignResponse(aService->Config()->name_, aEndpoint, {}, aResult);
    }
    // The upstream may have closed an idle connection in the meantime; that says nothing about its
    // health. The probe is repeated on a connection that is known to work.
    if (aResult.failure_ == AttemptFailure::ConnectionLost && !aResult.newConnection_) {
      SendProbe(aService, aUpstream, true);
      return;
    }
    const MonotonicTime now = deps_.scheduler_.Now();
    if (aResult.failure_ == AttemptFailure::LocalLimit ||
        aResult.failure_ == AttemptFailure::Withdrawn) {
      aService->WithBalancer([&](auto& aBalancer) { aBalancer.OnProbeNotSent(aUpstream, now); });
      Drive(aService);
      return;
    }
    UpstreamFeedback feedback;
    if (aResult.outcome_ == Outcome::Answered) {
      feedback = deps_.dialect_.parseFeedback_(aResult.response_);
      if (!feedback.load_) {
        feedback.load_ = LoadReport();
        feedback.load_->hasLoad_ = false;
      }
      feedback.load_->healthy_ = aResult.response_.status_ < 300;
      feedback.load_->coldRemaining_ = feedback.coldRemaining_;
    }
    const bool fromOtherUpstream = aResult.outcome_ == Outcome::Answered &&
                                   !deps_.dialect_.isFromUpstream_(aResult.response_, aEndpoint);
    bool sameStart = false;
    bool turnedCold = false;
    aService->WithBalancer([&](auto& aBalancer) {
      const bool leaving = fromOtherUpstream || feedback.draining_;
      sameStart = IsSameStart(aEndpoint, *aBalancer.Endpoint(aUpstream));
      if (leaving && sameStart) {
        aBalancer.MarkLeaving(aUpstream);
      }
      if (feedback.load_ && !sameStart) {
        feedback.load_->coldRemaining_.reset(); // of an earlier start
      }
      const bool wasCold = aBalancer.IsLimitedWhileCold(aUpstream, now);
      aBalancer.OnProbeEnded(
        aUpstream, fromOtherUpstream ? std::nullopt : feedback.load_, aResult.latency_, now);
      turnedCold = !wasCold && aBalancer.IsLimitedWhileCold(aUpstream, now);
    });
    if (turnedCold) {
      // Requests that wait for a connection there were meant for a warm upstream.
      deps_.sender_.Withdraw({ aEndpoint.address_, aEndpoint.port_ });
    }
    if (feedback.pause_ && sameStart && !fromOtherUpstream) {
      BeginPause(aService, aUpstream, *feedback.pause_);
    }
    Drive(aService);
  }

  const PipelineDependencies<S, R, C> deps_;
  std::map<const ActiveService*, ReleaseTimer> releaseTimers_;
};

} // namespace boragepier

#endif
