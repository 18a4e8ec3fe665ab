#ifndef BORAGEPIER_ENTRY_CALL_H
#define BORAGEPIER_ENTRY_CALL_H

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "boragepier/base/internal_error.h"
#include "boragepier/decision/upstream_start.h"
#include "boragepier/entry/attempt_reports.h"
#include "boragepier/entry/balancer_driver.h"
#include "boragepier/entry/call_observer.h"
#include "boragepier/entry/pipeline_dependencies.h"
#include "boragepier/entry/refusal.h"
#include "boragepier/entry/request_checks.h"
#include "boragepier/entry/service_router.h"
#include "boragepier/http/server.h"

namespace boragepier {

/// Processes one request of a caller from its arrival to its response: validates and routes it,
/// claims its idempotency key, has the balancer choose an upstream, and sends, hedges and retries
/// attempts. Runs in the thread of its scheduler. Pending callbacks keep the object alive. An
/// unexpected exception in one of its callbacks ends this request only.
///
/// The outcome that the caller receives is Answered if an upstream answered this request, or an
/// earlier one with the same key, completely; NotRun only if no attempt can have run; otherwise
/// Unknown.
template<Scheduler S, RequestSender R, ClaimCoordinator C>
class Call : public std::enable_shared_from_this<Call<S, R, C>>
{
public:
  using Dependencies = PipelineDependencies<S, R, C>;

  /// @param aDependencies the referenced objects must outlive this object
  /// @param aDriver must outlive this object
  /// @param aExchange holds the request and sends the response
  /// @param aNumber sequence number, unique among the requests of the instance
  /// @param aId request id for the caller, used unless the caller sets a valid one
  /// @param aLatestDeadline the request is refused if its deadline is later
  Call(Dependencies aDependencies,
       BalancerDriver<S, R, C>& aDriver,
       std::shared_ptr<http::Exchange> aExchange,
       std::uint64_t aNumber,
       RequestId aId,
       MonotonicTime aLatestDeadline)
    : deps_(aDependencies)
    , driver_(aDriver)
    , exchange_(std::move(aExchange))
    , latestDeadline_(aLatestDeadline)
  {
    requestInfo_.id_ = aNumber;
    requestInfo_.arrival_ = exchange_->Arrival();
    record_.id_ = std::move(aId);
    record_.arrival_ = deps_.wallClockNow_();
    record_.method_ = exchange_->GetRequest().method_;
  }

  /// Starts processing. Call once, on an object that is owned by a shared_ptr.
  void Start()
  {
    Run([this] {
      WatchCaller();
      RouteAndSubmit();
    });
  }

  /// Starts processing like Start(), but waits for a configuration until EndHold() is called.
  /// @param aUntil EndHold() is called by this object then
  /// @param aOnEnd called when the wait ends, also if the caller leaves
  void StartHeld(MonotonicTime aUntil, std::function<void()> aOnEnd)
  {
    onHoldEnd_ = std::move(aOnEnd);
    Run([&] {
      WatchCaller();
      holdTimer_ = deps_.scheduler_.After(aUntil - Now(),
                                          [self = this->shared_from_this()] { self->EndHold(); });
    });
  }

  /// Ends the wait for a configuration. Without one, the request is refused.
  void EndHold()
  {
    if (LeaveHold() && !finished_) {
      retryAfter_ = deps_.router_.HasConfiguration() ? Duration(0) : kRetryAfterHold;
      Run([this] { RouteAndSubmit(); });
    }
  }

private:
  /// Longest time for which a request waits for credit from the quota of its team.
  static constexpr Duration kMaxQuotaWait = std::chrono::milliseconds(250);
  /// Sent with the refusal of a request that waited for a configuration in vain.
  static constexpr Duration kRetryAfterHold = std::chrono::milliseconds(250);

  // Returns false if the request is not held.
  bool LeaveHold()
  {
    CancelTimer(holdTimer_);
    const auto onEnd = std::exchange(onHoldEnd_, nullptr);
    if (onEnd) {
      onEnd();
    }
    return onEnd != nullptr;
  }

  void WatchCaller()
  {
    exchange_->SetAbandonedCallback([weak = this->weak_from_this()](http::CallerEnd aEnd) {
      if (const auto self = weak.lock()) {
        self->Run([&] { self->OnCallerEnd(aEnd); });
      }
    });
  }

  /// An attempt that was handed to the sender.
  struct Attempt
  {
    UpstreamHandle upstream_{};
    std::shared_ptr<const UpstreamEndpoint> endpoint_; ///< as it was when the request was sent
    http::SendId sendId_{};
    MonotonicTime startedAt_;
    bool active_ = true; ///< has neither ended nor been cancelled
  };

  MonotonicTime Now() const { return deps_.scheduler_.Now(); }
  bool DeadlinePassed() const { return Now() >= requestInfo_.deadline_; }

  // Runs everything that happens to the request: its start and each callback.
  template<typename Function>
  void Run(Function aFunction)
  {
    if (!RunContained(ErrorScope::Request, aFunction)) {
      EndAfterError();
    }
  }

  // Whether an earlier request with the same key may have run: the claim is not granted yet.
  bool ClaimUndecided() const { return callOptions_.idempotencyKey_ && !claim_; }

  // Answers the request after an exception, which may have left any step incomplete.
  void EndAfterError()
  {
    if (finished_) {
      return;
    }
    const Outcome outcome =
      attempts_.empty() && !ClaimUndecided() ? Outcome::NotRun : Outcome::Unknown;
    if (!RunContained(ErrorScope::Request,
                      [&] { Refuse(RefusalReason::InternalError, outcome); })) {
      finished_ = true;
      exchange_->Abort();
    }
  }

  void RouteAndSubmit()
  {
    try {
      RouteAndValidate();
    } catch (const RequestRefusedError& refused) {
      Refuse(refused.Reason(), Outcome::NotRun);
      return;
    }
    if (deps_.quotas_ != nullptr && team_ && team_->terms_.ratePerSecond_ > 0) {
      AskForQuota();
    } else {
      Proceed();
    }
  }

  // Takes credit from the quota of the team, before the request waits for anything else.
  void AskForQuota()
  {
    const MonotonicTime now = Now();
    const MonotonicTime waitUntil = std::min(requestInfo_.deadline_, now + kMaxQuotaWait);
    const QuotaVerdict verdict = deps_.quotas_->Admit(
      *team_,
      now,
      waitUntil,
      [&scheduler = deps_.scheduler_, &quotas = *deps_.quotas_, weak = this->weak_from_this()](
        const QuotaVerdict& aVerdict) {
        // The request ends in its own thread, so only that one may hold it.
        scheduler.Post([&scheduler, &quotas, weak, aVerdict] {
          if (const auto self = weak.lock()) {
            self->Run([&] { self->OnQuotaVerdict(aVerdict); });
          } else if (aVerdict.kind_ == QuotaVerdict::Kind::Admitted) {
            quotas.Return(aVerdict.credit_, scheduler.Now());
          }
        });
      });
    if (verdict.kind_ != QuotaVerdict::Kind::Waits) {
      OnQuotaVerdict(verdict);
      return;
    }
    quotaTimer_ = deps_.scheduler_.After(waitUntil - now, [self = this->shared_from_this()] {
      self->quotaTimer_ = net::TimerId::None;
      self->Run([&] { self->OnQuotaVerdict({}); });
    });
  }

  void OnQuotaVerdict(const QuotaVerdict& aVerdict)
  {
    CancelTimer(quotaTimer_);
    if (aVerdict.kind_ == QuotaVerdict::Kind::Admitted) {
      quotaCredit_ = aVerdict.credit_;
    }
    if (finished_ || quotaDecided_) {
      ReturnQuotaCredit();
      return;
    }
    quotaDecided_ = true;
    if (!quotaCredit_) {
      retryAfter_ = aVerdict.retryAfter_;
      Refuse(DeadlinePassed() ? RefusalReason::DeadlineExpired : RefusalReason::QuotaExceeded,
             Outcome::NotRun);
    } else if (!RefreshTeam()) {
      Refuse(RefusalReason::KeyRejected, Outcome::NotRun);
    } else {
      Proceed();
    }
  }

  void ReturnQuotaCredit()
  {
    if (const auto credit = std::exchange(quotaCredit_, std::nullopt)) {
      deps_.quotas_->Return(*credit, Now());
    }
  }

  void Proceed()
  {
    if (requestInfo_.repeatability_ == Repeatability::AtMostOnce && callOptions_.idempotencyKey_) {
      ClaimKey();
    } else {
      SubmitToBalancer();
    }
  }

  // Finds the service and resolves the call options. Throws RequestRefusedError.
  void RouteAndValidate()
  {
    const http::Request& request = exchange_->GetRequest();
    if (auto callerId = ParseCallerRequestId(request, deps_.dialect_)) {
      callerRequestId_ = std::move(*callerId);
      record_.id_ = callerRequestId_;
    }
    const std::string_view path = ParseRequestPath(request.target_);
    record_.path_ = std::string(path);
    if (!deps_.router_.HasConfiguration()) {
      throw RequestRefusedError(RefusalReason::NotConfigured);
    }
    const RouteMatch match = deps_.router_.Match(request.headers_.Get("Host").value_or(""), path);
    if (match.teams_) {
      IdentifyTeam(*match.teams_);
    }
    service_ = match.service_;
    if (!service_) {
      throw RequestRefusedError(match.route_ ? RefusalReason::NoUpstream : RefusalReason::NoRoute);
    }
    serviceConfig_ = service_->Config();
    record_.service_ = serviceConfig_->name_;
    record_.configVersion_ = service_->Version();
    if (match.route_) {
      const RouteConfig& route = match.route_->Config();
      record_.route_ = route.name_;
      if (route.services_.size() > 1) {
        deps_.observer_.OnSplitRequest(route.name_, serviceConfig_->name_);
      }
      callOptions_ = ResolveCallOptions(request, route, deps_.dialect_);
      requestInfo_.maxAttempts_ = route.maxAttempts_;
      requestInfo_.priority_ = route.priority_;
      requestInfo_.workClass_ = match.route_->WorkClass();
    } else {
      callOptions_ = ResolveCallOptions(request, path, *serviceConfig_, deps_.dialect_);
    }
    record_.deadline_ = callOptions_.timeLimit_;
    requestInfo_.deadline_ = requestInfo_.arrival_ + callOptions_.timeLimit_;
    requestInfo_.targetTime_ = requestInfo_.arrival_ + callOptions_.latencyTarget_;
    requestInfo_.bodyBytes_ = request.body_.size();
    requestInfo_.repeatability_ = callOptions_.repeatability_;
    requestInfo_.trafficClass_ = serviceConfig_->trafficClass_;
    requestInfo_.callerReturns_ = deps_.dialect_.callersReturn_;
    if (match.route_ && deps_.dialect_.callersReturn_ &&
        request.headers_.Get(deps_.dialect_.deadlineField_)) {
      service_->WithBalancer([&](auto& aBalancer) {
        aBalancer.RecogniseReturn(requestInfo_, match.route_->Config().latencyTarget_, Now());
      });
    }
    if (team_) {
      requestInfo_.team_ = team_->id_;
      requestInfo_.priority_ = team_->terms_.priority_.value_or(requestInfo_.priority_);
    }
    if (Now() >= requestInfo_.deadline_) {
      throw RequestRefusedError(RefusalReason::DeadlineExpired);
    }
    if (requestInfo_.deadline_ > latestDeadline_) {
      throw RequestRefusedError(RefusalReason::ShuttingDown);
    }
  }

  // Throws RequestRefusedError.
  void IdentifyTeam(const TeamDirectory& aTeams)
  {
    callerKey_ = ParseCallerKey(exchange_->GetRequest(), deps_.dialect_);
    team_ = callerKey_ ? aTeams.Find(*callerKey_) : nullptr;
    if (!team_) {
      throw RequestRefusedError(RefusalReason::KeyRejected);
    }
    record_.team_ = team_->terms_.name_;
  }

  // Identifies the team again, because the key may have been given to another one since the request
  // came. Returns false if the key was withdrawn.
  bool RefreshTeam()
  {
    if (!callerKey_) {
      return true;
    }
    auto team = deps_.router_.FindTeam(*callerKey_);
    if (!team) {
      return !deps_.router_.KeysRequired(); // callers may need none any more
    }
    if (team->id_ != team_->id_) {
      requestInfo_.team_ = team->id_;
      record_.team_ = team->terms_.name_;
    }
    team_ = std::move(team);
    return true;
  }

  void ClaimKey()
  {
    ClaimRequest claimRequest;
    claimRequest.service_ = serviceConfig_->name_;
    claimRequest.idempotencyKey_ = *callOptions_.idempotencyKey_;
    claimRequest.fingerprint_ = FingerprintRequest(exchange_->GetRequest());
    claimRequest.deadline_ = requestInfo_.deadline_;
    claimRequest.arrivalTime_ = record_.arrival_;
    deps_.claims_.Claim(
      std::move(claimRequest), Now(), [self = this->shared_from_this()](ClaimResult aResult) {
        self->Run([&] {
          std::visit([&](auto& aCase) { self->OnClaimResult(std::move(aCase)); }, aResult);
        });
      });
  }

  void OnClaimResult(Granted aGranted)
  {
    ReportClaimEvent(ClaimEvent::Claimed);
    claim_ = std::move(aGranted.handle_);
    if (abandoned_ || finished_) {
      Finish(Outcome::NotRun);
    } else {
      // The process may have been paused since the claim was sent, so SubmitToBalancer() checks the
      // deadline again.
      SubmitToBalancer();
    }
  }

  void OnClaimResult(Replay aReplay)
  {
    ReportClaimEvent(ClaimEvent::Replayed);
    record_.replayed_ = true;
    http::Response response;
    response.status_ = aReplay.answer_.status_;
    for (const auto& [name, value] : aReplay.answer_.headers_) {
      response.headers_.Add(name, value);
    }
    response.body_ = std::move(aReplay.answer_.body_);
    response.headers_.Set(kReplayedHeader, "true");
    SendResponse(std::move(response));
  }

  void OnClaimResult(const ReplayWithoutBody&)
  {
    ReportClaimEvent(ClaimEvent::Replayed);
    Refuse(RefusalReason::ResponseNotRecorded, Outcome::Answered);
  }

  void OnClaimResult(InProgress)
  {
    ReportClaimEvent(ClaimEvent::InProgress);
    Refuse(RefusalReason::InProgress, Outcome::Unknown);
  }

  void OnClaimResult(KeyReused)
  {
    ReportClaimEvent(ClaimEvent::KeyReused);
    Refuse(RefusalReason::KeyReused, Outcome::NotRun);
  }

  // While the table cannot be read, a previous request with the same key may have run. So the
  // outcome is Unknown although this request was not sent to any upstream.
  void OnClaimResult(StoreUnavailable)
  {
    ReportClaimEvent(ClaimEvent::StoreUnavailable);
    Refuse(RefusalReason::ClaimStoreUnavailable, Outcome::Unknown);
  }

  void ReportClaimEvent(ClaimEvent aEvent)
  {
    deps_.observer_.OnClaimEvent(serviceConfig_->name_, aEvent);
  }

  void SubmitToBalancer()
  {
    const MonotonicTime now = Now();
    if (now >= requestInfo_.deadline_) {
      GiveUp(RefusalReason::DeadlineExpired);
      return;
    }
    const auto self = this->shared_from_this();
    const RoutingDecision decision =
      service_->Submit(requestInfo_, now, [self](RoutingDecision aDecision) {
        self->deps_.scheduler_.Post(
          [self, aDecision] { self->Run([&] { self->HandleDecision(aDecision); }); });
      });
    if (decision.kind_ == RoutingDecision::Kind::Queued) {
      StartQueueWait(now);
    } else {
      HandleDecision(decision);
    }
  }

  void StartQueueWait(MonotonicTime aNow)
  {
    queuedSince_ = aNow;
    queueDeadlineTimer_ =
      deps_.scheduler_.After(requestInfo_.deadline_ - aNow, [self = this->shared_from_this()] {
        self->Run([&] { self->OnQueueDeadline(); });
      });
    driver_.Drive(service_);
  }

  void OnQueueDeadline()
  {
    queueDeadlineTimer_ = net::TimerId::None;
    if (CancelQueueWait()) {
      GiveUp(RefusalReason::DeadlineExpired);
    }
  }

  // Returns false if the request had left the queue; HandleDecision() has run or will run then.
  bool CancelQueueWait()
  {
    if (!queuedSince_ || !service_->CancelQueued(requestInfo_.id_, Now())) {
      return false;
    }
    EndQueueWait();
    return true;
  }

  void EndQueueWait()
  {
    if (const auto since = std::exchange(queuedSince_, std::nullopt)) {
      record_.queueTime_ += Now() - *since;
    }
    CancelTimer(queueDeadlineTimer_);
  }

  void HandleDecision(const RoutingDecision& aDecision)
  {
    EndQueueWait();
    if (aDecision.kind_ != RoutingDecision::Kind::Dispatch) {
      record_.refusedCandidates_ = Candidates();
      retryAfter_ = aDecision.retryAfter_;
      GiveUp(aDecision.reason_);
      return;
    }
    if (finished_ || abandoned_ || halfClosed_ || Now() >= requestInfo_.deadline_) {
      ReportUnsentAttempt(aDecision.upstream_);
      GiveUp(RefusalReason::DeadlineExpired);
      return;
    }
    if (!RefreshTeam()) {
      ReportUnsentAttempt(aDecision.upstream_);
      GiveUp(RefusalReason::KeyRejected);
      return;
    }
    StartAttempt(aDecision.upstream_, nextRetryReason_);
  }

  void StartAttempt(UpstreamHandle aUpstream, std::optional<RetryReason> aReason)
  {
    const MonotonicTime now = Now();
    requestInfo_.triedUpstreams_.push_back(aUpstream);
    http::SendOptions sendOptions;
    std::shared_ptr<const UpstreamEndpoint> endpoint;
    service_->WithBalancer([&](auto& aBalancer) {
      endpoint = aBalancer.Endpoint(aUpstream);
      sendOptions.timeout_ = aBalancer.AttemptTimeout(requestInfo_, now);
      sendOptions.maxConnections_ = aBalancer.ConnectionLimit();
    });
    sendOptions.recentlyActiveOnly_ = requestInfo_.repeatability_ == Repeatability::AtMostOnce;
    sendOptions.maxResponseBody_ = serviceConfig_->maxResponseBody_;
    sendOptions.excludedConnections_ = usedConnections_;
    deps_.dialect_.SetResponseFields(sendOptions);

    const std::size_t index = attempts_.size();
    attempts_.push_back({ aUpstream, endpoint, {}, now, true });
    ExplainAttempt attempt;
    attempt.upstream_ = endpoint->id_;
    attempt.retryReason_ = aReason;
    attempt.startedAfter_ = now - requestInfo_.arrival_;
    attempt.candidates_ = Candidates();
    record_.attempts_.push_back(std::move(attempt));
    attempts_[index].sendId_ = deps_.sender_.Send(
      { endpoint->address_, endpoint->port_ },
      MakeUpstreamRequest(*endpoint, now),
      sendOptions,
      [self = this->shared_from_this(), index](http::SendResult aResult) {
        self->Run([&] {
          self->OnAttemptEnded(
            index,
            ValidateResponse(std::move(aResult), self->callerRequestId_, self->deps_.dialect_));
        });
      });
    deps_.observer_.OnAttemptStarted(record_);
    if (!hedged_) {
      ArmHedgeTimer(now);
    }
  }

  std::shared_ptr<const http::Request> MakeUpstreamRequest(const UpstreamEndpoint& aUpstream,
                                                           MonotonicTime aNow) const
  {
    const WireDialect& dialect = deps_.dialect_;
    auto request = std::make_shared<http::Request>(exchange_->GetRequest());
    http::RemoveHopByHopFields(request->headers_);
    RemoveReservedFields(request->headers_);
    if (callerKey_ || deps_.router_.KeysRequired()) {
      request->headers_.Remove(dialect.callerKeyField_);
      request->headers_.Remove(dialect.teamField_);
    }
    if (team_) {
      request->headers_.Set(dialect.teamField_, team_->terms_.name_.View());
    }
    const auto remainingMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(requestInfo_.deadline_ - aNow).count();
    request->headers_.Set(dialect.deadlineField_,
                          std::to_string(std::max<std::int64_t>(remainingMs, 1)));
    if (!dialect.callerSetsRequestId_) {
      request->headers_.Add(dialect.requestIdField_, record_.id_.View());
    }
    if (!dialect.expectedUpstreamField_.empty()) {
      request->headers_.Set(dialect.expectedUpstreamField_, aUpstream.id_.View());
    }
    return request;
  }

  void ArmHedgeTimer(MonotonicTime aNow)
  {
    CancelTimer(hedgeTimer_);
    const auto delay = service_->WithBalancer(
      [&](auto& aBalancer) { return aBalancer.HedgeDelay(requestInfo_, aNow); });
    if (!delay) {
      return;
    }
    hedgeTimer_ = deps_.scheduler_.After(*delay, [weak = this->weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->Run([&] { self->OnHedgeTimer(); });
      }
    });
  }

  void OnHedgeTimer()
  {
    hedgeTimer_ = net::TimerId::None;
    const MonotonicTime now = Now();
    if (finished_ || ActiveAttempts() != 1 || now >= requestInfo_.deadline_ || !RefreshTeam()) {
      return;
    }
    bool rechecksHedge = false;
    const auto upstream = service_->WithBalancer([&](auto& aBalancer) {
      rechecksHedge = aBalancer.kRepeatsHedgeChecks;
      return aBalancer.DecideHedge(requestInfo_, now);
    });
    if (upstream) {
      hedged_ = true;
      deps_.observer_.OnRetry(serviceConfig_->name_, RetryReason::Hedge);
      StartAttempt(*upstream, RetryReason::Hedge);
    } else if (rechecksHedge) {
      driver_.Drive(service_);
      ArmHedgeTimer(now);
    }
  }

  void OnAttemptEnded(std::size_t aIndex, http::SendResult aResult)
  {
    attempts_[aIndex].active_ = false;
    if (aResult.connection_ != http::ConnectionId::None) {
      usedConnections_.push_back(aResult.connection_);
    }
    if (http::HasForeignResponse(aResult)) {
      deps_.observer_.OnForeignResponse(
        serviceConfig_->name_, *attempts_[aIndex].endpoint_, record_.id_.View(), aResult);
    }
    AttemptReport report = MakeAttemptReport(attempts_[aIndex].upstream_, aResult, deps_.dialect_);
    // A late answer of an earlier start says nothing about the present one.
    if ((report.draining_ || report.pause_) && !IsCurrentStart(attempts_[aIndex])) {
      report.draining_ = false;
      report.pause_.reset();
    }
    RecordAttemptEnd(aIndex, report);
    if (report.invalidPause_) {
      deps_.observer_.OnPauseIgnored(serviceConfig_->name_, *attempts_[aIndex].endpoint_);
    }
    ReportToBalancer(report);
    if (finished_) {
      return;
    }
    if (report.failure_ == AttemptFailure::Withdrawn) {
      SubmitAgain(aIndex);
      return;
    }
    const bool serverError = report.status_ >= 500;
    const bool repeatable = requestInfo_.repeatability_ == Repeatability::Repeatable;
    if (report.outcome_ == Outcome::Answered) {
      if (!MayForwardStatus(report.status_, requestInfo_.repeatability_, deps_.dialect_)) {
        Refuse(RefusalReason::UnconfirmedRefusal, Outcome::Unknown);
        return;
      }
      if (!serverError || !repeatable) {
        ForwardResponse(std::move(aResult.response_));
        return;
      }
      lastServerErrorResponse_ = std::move(aResult.response_);
    }
    if (ActiveAttempts() == 0) {
      RetryOrGiveUp(report);
    }
  }

  // Whether the upstream of an attempt is still the one to which it was sent.
  bool IsCurrentStart(const Attempt& aAttempt)
  {
    return service_->WithBalancer([&](auto& aBalancer) {
      return IsSameStart(*aAttempt.endpoint_, *aBalancer.Endpoint(aAttempt.upstream_));
    });
  }

  // Reports that a dispatched request was not sent, so that the balancer no longer counts it as
  // outstanding at the upstream.
  void ReportUnsentAttempt(UpstreamHandle aUpstream)
  {
    AttemptReport report;
    report.upstream_ = aUpstream;
    report.outcome_ = Outcome::NotRun;
    report.failure_ = AttemptFailure::Cancelled;
    ReportToBalancer(report);
  }

  void ReportToBalancer(const AttemptReport& aReport)
  {
    const MonotonicTime now = Now();
    if (aReport.outcome_ == Outcome::Unknown) {
      mayHaveRun_ = true;
      lastUnknownFailure_ = aReport.failure_;
    }
    requestInfo_.mayHaveRun_ = requestInfo_.mayHaveRun_ || aReport.outcome_ != Outcome::NotRun;
    std::shared_ptr<const UpstreamEndpoint> leaving;
    service_->WithBalancer([&](auto& aBalancer) {
      aBalancer.OnAttemptEnded(aReport, now);
      if (aReport.draining_) {
        aBalancer.MarkLeaving(aReport.upstream_);
        leaving = aBalancer.Endpoint(aReport.upstream_);
      }
    });
    if (leaving) {
      deps_.observer_.OnUpstreamLeaving(*leaving);
    }
    if (aReport.pause_) {
      driver_.BeginPause(service_, aReport.upstream_, *aReport.pause_);
    }
    driver_.Drive(service_);
  }

  // Has the balancer choose again for an attempt that was withdrawn before it was sent. It does not
  // count as an attempt.
  void SubmitAgain(std::size_t aIndex)
  {
    std::erase(requestInfo_.triedUpstreams_, attempts_[aIndex].upstream_);
    if (ActiveAttempts() > 0) {
      return;
    }
    if (abandoned_ || halfClosed_) {
      GiveUp(RefusalReason::CallerLeft);
      return;
    }
    requestInfo_.moved_ = true;
    SubmitToBalancer();
  }

  void RetryOrGiveUp(const AttemptReport& aReport)
  {
    const MonotonicTime now = Now();
    RetryDecision decision;
    if (now < requestInfo_.deadline_ && !abandoned_ && !halfClosed_) {
      decision = service_->WithBalancer(
        [&](auto& aBalancer) { return aBalancer.DecideRetry(requestInfo_, aReport, now); });
    }
    if (!decision.allowed_) {
      retryAfter_ =
        service_->WithBalancer([&](auto& aBalancer) { return aBalancer.RetryAfterAllPause(now); });
      GiveUp(RefusalReasonFor(aReport.failure_, DeadlinePassed()));
      return;
    }
    nextRetryReason_ = decision.reason_;
    deps_.observer_.OnRetry(serviceConfig_->name_, decision.reason_);
    SubmitToBalancer();
  }

  // Ends the request when no further attempt is possible. A 5xx response of an upstream takes
  // precedence over a refusal; the failure of an attempt that may have run takes precedence over
  // aReason.
  void GiveUp(RefusalReason aReason)
  {
    if (finished_) {
      return;
    }
    if (lastServerErrorResponse_) {
      ForwardResponse(std::move(*lastServerErrorResponse_));
    } else if (mayHaveRun_) {
      Refuse(RefusalReasonFor(lastUnknownFailure_, DeadlinePassed()), Outcome::Unknown);
    } else {
      Refuse(aReason, Outcome::NotRun);
    }
  }

  // Forwards the response of an upstream and records it if the request holds a claim.
  void ForwardResponse(http::Response aResponse)
  {
    http::RemoveHopByHopFields(aResponse.headers_);
    RemoveReservedFields(aResponse.headers_);
    if (claim_) {
      RecordedAnswer answer;
      answer.status_ = aResponse.status_;
      for (const http::Headers::Field& field : aResponse.headers_) {
        answer.headers_.emplace_back(field.name_, field.value_);
      }
      answer.body_ = aResponse.body_.Text();
      ReportClaimEvent(ClaimEvent::Recorded);
      deps_.claims_.RecordAnswer(std::move(*claim_), std::move(answer), Now());
      claim_.reset();
    }
    SendResponse(std::move(aResponse));
  }

  void SendResponse(http::Response aResponse)
  {
    aResponse.headers_.Set(kOutcomeHeader, ToString(Outcome::Answered));
    aResponse.headers_.Set(kRequestIdHeader, record_.id_.View());
    exchange_->Respond(std::move(aResponse));
    Finish(Outcome::Answered);
  }

  void Refuse(RefusalReason aReason, Outcome aOutcome)
  {
    record_.refusal_ = aReason;
    const ReturnAdvice advice = AdviseReturn(aReason);
    record_.retryAfter_ = advice.retryAfter_;
    record_.returnCause_ = advice.cause_;
    exchange_->Respond(MakeRefusalResponse(aReason, aOutcome, record_.id_, advice.retryAfter_));
    Finish(aOutcome);
  }

  ReturnAdvice AdviseReturn(RefusalReason aReason)
  {
    const RefusalCause cause = RefusalCauseOf(aReason);
    if (!deps_.dialect_.callersReturn_ || cause == RefusalCause::None) {
      return { cause, retryAfter_ };
    }
    if (!service_) {
      Random random(requestInfo_.id_);
      return AdviseWithoutBalancer(cause, random);
    }
    return service_->WithBalancer(
      [&](auto& aBalancer) { return aBalancer.Advise(requestInfo_, cause, retryAfter_, Now()); });
  }

  // Releases the claim of a request that was not run, cancels what is still active and reports the
  // end of the request.
  void Finish(Outcome aOutcome)
  {
    if (claim_ && aOutcome == Outcome::NotRun) {
      ReportClaimEvent(ClaimEvent::Released);
      deps_.claims_.Release(std::move(*claim_), Now());
      claim_.reset();
    }
    if (finished_) {
      return;
    }
    finished_ = true;
    if (attempts_.empty()) {
      ReturnQuotaCredit();
    }
    CancelTimer(quotaTimer_);
    LeaveHold();
    CancelTimer(queueDeadlineTimer_);
    CancelTimer(hedgeTimer_);
    CancelAttempts();
    record_.outcome_ = aOutcome;
    record_.latency_ = Now() - requestInfo_.arrival_;
    deps_.observer_.OnCallEnded(std::move(record_), abandoned_);
  }

  void CancelAttempts()
  {
    for (std::size_t i = 0; i < attempts_.size(); ++i) {
      if (!attempts_[i].active_) {
        continue;
      }
      attempts_[i].active_ = false;
      AttemptReport report;
      report.upstream_ = attempts_[i].upstream_;
      report.outcome_ = deps_.sender_.Cancel(attempts_[i].sendId_);
      report.failure_ = AttemptFailure::Cancelled;
      report.latency_ = Now() - attempts_[i].startedAt_;
      RecordAttemptEnd(i, report);
      ReportToBalancer(report);
    }
  }

  void OnCallerEnd(http::CallerEnd aEnd)
  {
    if (aEnd == http::CallerEnd::Gone) {
      OnAbandoned();
    } else {
      OnHalfClosed();
    }
  }

  // Runs when the caller may have gone, or waits for the response without sending any more. Nothing
  // new is sent for it. An attempt of a request that must not be repeated continues, because the
  // caller cannot get the response in another way. Any other request is answered with a refusal.
  void OnHalfClosed()
  {
    halfClosed_ = true;
    const bool passedOn = ActiveAttempts() > 0;
    const bool finishes =
      passedOn && (claim_ || requestInfo_.repeatability_ == Repeatability::AtMostOnce);
    if (finished_ || finishes) {
      return;
    }
    CancelQueueWait();
    if ((passedOn || ClaimUndecided()) && !lastServerErrorResponse_) {
      Refuse(RefusalReason::ResponseNotAwaited, Outcome::Unknown);
    } else {
      GiveUp(RefusalReason::CallerLeft);
    }
  }

  // Runs when the connection of the caller breaks. A claimed request with an active attempt
  // continues, so that its response is recorded and replayed when the key is sent again. Any other
  // request is cancelled.
  void OnAbandoned()
  {
    abandoned_ = true;
    if (finished_ || (claim_ && ActiveAttempts() > 0)) {
      return;
    }
    CancelQueueWait();
    const bool anySent = mayHaveRun_ || ActiveAttempts() > 0;
    Finish(anySent ? Outcome::Unknown : Outcome::NotRun);
  }

  std::size_t ActiveAttempts() const
  {
    return static_cast<std::size_t>(
      std::count_if(attempts_.begin(), attempts_.end(), [](const Attempt& aAttempt) {
        return aAttempt.active_;
      }));
  }

  void CancelTimer(net::TimerId& aTimer)
  {
    if (aTimer != net::TimerId::None) {
      deps_.scheduler_.Cancel(std::exchange(aTimer, net::TimerId::None));
    }
  }

  std::vector<CandidateInfo> Candidates()
  {
    return service_->WithBalancer([&](auto& aBalancer) { return aBalancer.Candidates(Now()); });
  }

  void RecordAttemptEnd(std::size_t aIndex, const AttemptReport& aReport)
  {
    if (aIndex >= record_.attempts_.size()) {
      return; // an exception interrupted the start of the attempt
    }
    ExplainAttempt& attempt = record_.attempts_[aIndex];
    attempt.latency_ = aReport.latency_;
    attempt.outcome_ = aReport.outcome_;
    attempt.failure_ = aReport.failure_;
    attempt.status_ = aReport.status_;
    deps_.observer_.OnAttemptEnded(record_, attempt);
  }

  const Dependencies deps_;
  BalancerDriver<S, R, C>& driver_;
  const std::shared_ptr<http::Exchange> exchange_;
  const MonotonicTime latestDeadline_;

  std::shared_ptr<ActiveService> service_;
  std::shared_ptr<const ServiceConfig> serviceConfig_;
  CallOptions callOptions_;
  CallInfo requestInfo_;
  std::optional<KeyDigest> callerKey_; ///< nothing if the caller needs none
  TeamDirectory::TeamPointer team_;    ///< null if the caller needs no key
  RequestId callerRequestId_;          ///< request id set by the caller; empty if there is none
  Duration retryAfter_{};              ///< Retry-After of a refusal; zero if unknown
  ExplainRecord record_;

  std::optional<ClaimHandle> claim_; ///< held until the response is recorded or the key is released
  std::vector<Attempt> attempts_;
  /// Connections of the attempts that have ended. A late second answer to one of them would carry
  /// the id of this request, and pass for the answer to a later attempt.
  std::vector<http::ConnectionId> usedConnections_;
  std::optional<RetryReason> nextRetryReason_; ///< of the next attempt; nothing for the first
  std::optional<http::Response> lastServerErrorResponse_; ///< of a repeatable request
  /// Of the last attempt with outcome Unknown.
  AttemptFailure lastUnknownFailure_ = AttemptFailure::None;
  std::optional<QuotaCredit> quotaCredit_;       ///< taken for this request and not returned
  net::TimerId quotaTimer_ = net::TimerId::None; ///< active while the request waits for credit
  bool quotaDecided_ = false;
  std::function<void()> onHoldEnd_; ///< set while the request waits for a configuration
  net::TimerId holdTimer_ = net::TimerId::None;
  net::TimerId queueDeadlineTimer_ = net::TimerId::None; ///< active while the request is queued
  net::TimerId hedgeTimer_ = net::TimerId::None;
  bool mayHaveRun_ = false; ///< an attempt ended with outcome Unknown
  std::optional<MonotonicTime> queuedSince_;
  bool hedged_ = false;
  bool abandoned_ = false;  ///< the caller disconnected before the response
  bool halfClosed_ = false; ///< the caller ended its input, and the grace period has passed
  bool finished_ = false;
};

} // namespace boragepier

#endif
