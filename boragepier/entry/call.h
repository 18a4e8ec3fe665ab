#ifndef BORAGEPIER_ENTRY_CALL_H
#define BORAGEPIER_ENTRY_CALL_H

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "boragepier/entry/attempt_reports.h"
#include "boragepier/entry/call_observer.h"
#include "boragepier/entry/pipeline_ports.h"
#include "boragepier/entry/queue_driver.h"
#include "boragepier/entry/refusal.h"
#include "boragepier/entry/request_checks.h"
#include "boragepier/entry/service_directory.h"
#include "boragepier/http/server.h"

namespace boragepier {

/// One request from its arrival to its response: checks, claim, choice of upstream, attempts. Runs
/// in the thread of its scheduler.
///
/// The response follows from the attempts alone: Answered if one brought a complete answer, NotRun
/// only if every attempt is certainly not run, else Unknown.
template<Scheduler S, RequestSender R, ClaimGate C>
class Call : public std::enable_shared_from_this<Call<S, R, C>>
{
public:
  using Ports = PipelinePorts<S, R, C>;
  /// @param aPorts what the pipeline works with; must outlive this object
  /// @param aDriver must outlive this object
  /// @param aExchange the request and the way to answer it
  /// @param aNumber unique among the requests of the instance
  /// @param aId returned to the caller
  Call(Ports aPorts,
       QueueDriver<S, R, C>& aDriver,
       std::shared_ptr<http::Exchange> aExchange,
       std::uint64_t aNumber,
       RequestId aId)
    : ports_(aPorts)
    , driver_(aDriver)
    , exchange_(std::move(aExchange))
  {
    info_.id_ = aNumber;
    info_.arrival_ = exchange_->Arrival();
    record_.id_ = std::move(aId);
    if (ports_.dialect_.callerNamesRequests_) {
      const auto name = exchange_->GetRequest().headers_.Get(ports_.dialect_.requestIdField_);
      if (name) {
        callerName_ = RequestId(std::string(*name));
        record_.id_ = callerName_;
      }
    }
    record_.arrival_ = ports_.wallNow_();
    record_.method_ = exchange_->GetRequest().method_;
  }

  /// Begins the work. Called once, after construction.
  void Start()
  {
    exchange_->OnAbandoned([weak = this->weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->OnAbandoned();
      }
    });
    try {
      Check();
    } catch (const RequestRefused& refused) {
      Refuse(refused.Reason(), Outcome::NotRun);
      return;
    }
    if (info_.repeatability_ == Repeatability::AtMostOnce && terms_.key_) {
      Claim();
    } else {
      Submit();
    }
  }

private:
  struct Attempt
  {
    UpstreamHandle upstream_{};
    http::SendId sendId_{};
    MonotonicTime start_;
    bool active_ = true;
  };

  MonotonicTime Now() const { return ports_.scheduler_.Now(); }
  bool Expired() const { return Now() >= info_.deadline_; }

  void Check()
  {
    const http::Request& request = exchange_->GetRequest();
    const std::string_view path = PathOf(request.target_);
    record_.path_ = std::string(path);
    if (!ports_.directory_.Configured()) {
      throw RequestRefused(RefusalReason::NotConfigured);
    }
    const RouteMatch match =
      ports_.directory_.Match(request.headers_.Get("Host").value_or(""), path);
    service_ = match.service_;
    if (!service_) {
      throw RequestRefused(match.route_ ? RefusalReason::NoUpstream : RefusalReason::NoRoute);
    }
    config_ = service_->Config();
    record_.service_ = config_->name_;
    record_.configVersion_ = service_->Version();
    if (match.route_) {
      const RouteConfig& route = match.route_->Config();
      terms_ = CheckTerms(request, route, ports_.dialect_);
      info_.maxAttempts_ = route.maxAttempts_;
      info_.rank_ = route.rank_;
      info_.workClass_ = match.route_->WorkClass();
    } else {
      terms_ = CheckTerms(request, path, *config_, ports_.dialect_);
    }
    record_.deadline_ = terms_.timeLimit_;
    info_.deadline_ = info_.arrival_ + terms_.timeLimit_;
    info_.target_ = info_.arrival_ + terms_.latencyTarget_;
    info_.bodyBytes_ = request.body_.size();
    info_.repeatability_ = terms_.repeatability_;
    info_.callClass_ = config_->callClass_;
    if (Now() >= info_.deadline_) {
      throw RequestRefused(RefusalReason::DeadlineExpired);
    }
  }

  void Claim()
  {
    ClaimRequest claim;
    claim.service_ = config_->name_;
    claim.key_ = *terms_.key_;
    claim.fingerprint_ = FingerprintOf(exchange_->GetRequest());
    claim.deadline_ = info_.deadline_;
    claim.wallTime_ = record_.arrival_;
    ports_.claims_.Claim(
      std::move(claim), Now(), [self = this->shared_from_this()](ClaimResult aResult) {
        std::visit([&](auto& aCase) { self->OnClaimed(std::move(aCase)); }, aResult);
      });
  }

  void OnClaimed(Granted aGranted)
  {
    CountClaim(ClaimEvent::Claimed);
    claim_ = std::move(aGranted.handle_);
    if (abandoned_ || finished_) {
      Finish(Outcome::NotRun);
    } else {
      // The thread may have been paused since the claim was sent: Submit() checks the deadline
      // again.
      Submit();
    }
  }

  void OnClaimed(Replay aReplay)
  {
    CountClaim(ClaimEvent::Replayed);
    record_.replayed_ = true;
    http::Response response;
    response.status_ = aReplay.answer_.status_;
    for (const auto& [name, value] : aReplay.answer_.headers_) {
      response.headers_.Add(name, value);
    }
    response.body_ = std::move(aReplay.answer_.body_);
    response.headers_.Set(kReplayedHeader, "true");
    Respond(std::move(response));
  }

  void OnClaimed(const ReplayWithoutBody&)
  {
    CountClaim(ClaimEvent::Replayed);
    Refuse(RefusalReason::AnswerNotKept, Outcome::Answered);
  }

  void OnClaimed(InProgress)
  {
    CountClaim(ClaimEvent::InProgress);
    Refuse(RefusalReason::InProgress, Outcome::Unknown);
  }

  void OnClaimed(KeyReused)
  {
    CountClaim(ClaimEvent::KeyReused);
    Refuse(RefusalReason::KeyReused, Outcome::NotRun);
  }

  // An earlier request with the same key may have run while the table cannot be read, so the
  // refusal is Unknown although this request was not sent to any upstream.
  void OnClaimed(StoreUnavailable)
  {
    CountClaim(ClaimEvent::StoreUnavailable);
    Refuse(RefusalReason::ClaimStoreUnavailable, Outcome::Unknown);
  }

  void CountClaim(ClaimEvent aEvent) { ports_.observer_.OnClaim(config_->name_, aEvent); }

  void Submit()
  {
    const MonotonicTime now = Now();
    if (now >= info_.deadline_) {
      GiveUp(RefusalReason::DeadlineExpired);
      return;
    }
    const auto self = this->shared_from_this();
    const Choice choice = service_->Submit(info_, now, [self](Choice aChoice) {
      self->ports_.scheduler_.Post([self, aChoice] { self->Follow(aChoice); });
    });
    if (choice.kind_ == Choice::Kind::Queued) {
      WaitInQueue(now);
    } else {
      Follow(choice);
    }
  }

  void WaitInQueue(MonotonicTime aNow)
  {
    queuedSince_ = aNow;
    deadlineTimer_ =
      ports_.scheduler_.After(info_.deadline_ - aNow, [self = this->shared_from_this()] {
        self->deadlineTimer_ = net::TimerId::None;
        if (self->LeaveQueue()) {
          self->GiveUp(RefusalReason::DeadlineExpired);
        }
      });
    driver_.Drive(service_);
  }

  // Returns false if the request was not queued any more; Follow() then runs or has run.
  bool LeaveQueue()
  {
    if (!queuedSince_ || !service_->CancelQueued(info_.id_, Now())) {
      return false;
    }
    EndWait();
    return true;
  }

  void EndWait()
  {
    if (const auto since = std::exchange(queuedSince_, std::nullopt)) {
      record_.queueTime_ += Now() - *since;
    }
    CancelTimer(deadlineTimer_);
  }

  void Follow(const Choice& aChoice)
  {
    EndWait();
    if (aChoice.kind_ != Choice::Kind::Dispatch) {
      record_.refusedCandidates_ = Candidates();
      retryAfter_ = aChoice.retryAfter_;
      GiveUp(aChoice.reason_);
      return;
    }
    if (finished_ || abandoned_ || Now() >= info_.deadline_) {
      ReportUnsent(aChoice.upstream_);
      GiveUp(RefusalReason::DeadlineExpired);
      return;
    }
    Dispatch(aChoice.upstream_, nextReason_);
  }

  void Dispatch(UpstreamHandle aUpstream, std::optional<RetryReason> aReason)
  {
    const MonotonicTime now = Now();
    info_.tried_.push_back(aUpstream);
    http::SendOptions options;
    std::shared_ptr<const UpstreamEndpoint> endpoint;
    service_->With([&](auto& aBalancer) {
      endpoint = aBalancer.Endpoint(aUpstream);
      options.timeout_ = aBalancer.AttemptTimeout(info_, now);
      options.maxConnections_ = aBalancer.ConnectionLimit();
    });
    options.provenAliveOnly_ = info_.repeatability_ == Repeatability::AtMostOnce;
    options.maxResponseBody_ = config_->maxResponseBody_;

    const std::size_t index = attempts_.size();
    attempts_.push_back({ aUpstream, {}, now, true });
    ExplainAttempt attempt;
    attempt.upstream_ = endpoint->id_;
    attempt.retryReason_ = aReason;
    attempt.startedAfter_ = now - info_.arrival_;
    attempt.candidates_ = Candidates();
    record_.attempts_.push_back(std::move(attempt));
    attempts_[index].sendId_ = ports_.sender_.Send(
      { endpoint->address_, endpoint->port_ },
      RequestForUpstream(*endpoint, now),
      options,
      [self = this->shared_from_this(), index](http::SendResult aResult) {
        self->OnSendEnded(
          index, CheckAnswer(std::move(aResult), self->callerName_, self->ports_.dialect_));
      });
    ports_.observer_.OnAttemptStarted(record_);
    if (!hedged_) {
      ArmHedge(now);
    }
  }

  std::shared_ptr<const http::Request> RequestForUpstream(const UpstreamEndpoint& aUpstream,
                                                          MonotonicTime aNow) const
  {
    const WireDialect& dialect = ports_.dialect_;
    auto request = std::make_shared<http::Request>(exchange_->GetRequest());
    http::RemoveHopByHop(request->headers_);
    RemoveReservedFields(request->headers_);
    const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(info_.deadline_ - aNow).count();
    request->headers_.Set(dialect.deadlineField_, std::to_string(std::max<std::int64_t>(left, 1)));
    if (!dialect.callerNamesRequests_) {
      request->headers_.Add(dialect.requestIdField_, record_.id_.View());
    }
    if (!dialect.expectedUpstreamField_.empty()) {
      request->headers_.Set(dialect.expectedUpstreamField_, aUpstream.id_.View());
    }
    return request;
  }

  void ArmHedge(MonotonicTime aNow)
  {
    CancelTimer(hedgeTimer_);
    const auto delay =
      service_->With([&](auto& aBalancer) { return aBalancer.HedgeDelay(info_, aNow); });
    if (!delay) {
      return;
    }
    hedgeTimer_ = ports_.scheduler_.After(*delay, [weak = this->weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->SendHedge();
      }
    });
  }

  void SendHedge()
  {
    hedgeTimer_ = net::TimerId::None;
    const MonotonicTime now = Now();
    if (finished_ || ActiveAttempts() != 1 || now >= info_.deadline_) {
      return;
    }
    bool looksAgain = false;
    const auto upstream = service_->With([&](auto& aBalancer) {
      looksAgain = aBalancer.kLooksAgain;
      return aBalancer.Hedge(info_, now);
    });
    if (upstream) {
      hedged_ = true;
      ports_.observer_.OnRetry(config_->name_, RetryReason::Hedge);
      Dispatch(*upstream, RetryReason::Hedge);
    } else if (looksAgain) {
      driver_.Drive(service_);
      ArmHedge(now);
    }
  }

  void OnSendEnded(std::size_t aIndex, http::SendResult aResult)
  {
    attempts_[aIndex].active_ = false;
    const AttemptReport report = ReportOf(attempts_[aIndex].upstream_, aResult, ports_.dialect_);
    RecordAttempt(aIndex, report);
    Report(report);
    if (finished_) {
      return;
    }
    const bool serverError = report.status_ >= 500;
    const bool repeatable = info_.repeatability_ == Repeatability::Repeatable;
    if (report.outcome_ == Outcome::Answered) {
      if (!serverError || !repeatable) {
        Answer(std::move(aResult.response_));
        return;
      }
      serverError_ = std::move(aResult.response_);
    }
    if (ActiveAttempts() == 0) {
      Retry(report);
    }
  }

  // Settles a choice that was made but not followed.
  void ReportUnsent(UpstreamHandle aUpstream)
  {
    AttemptReport report;
    report.upstream_ = aUpstream;
    report.outcome_ = Outcome::NotRun;
    report.failure_ = AttemptFailure::Cancelled;
    Report(report);
  }

  void Report(const AttemptReport& aReport)
  {
    const MonotonicTime now = Now();
    if (aReport.outcome_ == Outcome::Unknown) {
      mayHaveRun_ = true;
      unknownFailure_ = aReport.failure_;
    }
    std::shared_ptr<const UpstreamEndpoint> leaving;
    service_->With([&](auto& aBalancer) {
      aBalancer.OnAttemptEnded(aReport, now);
      if (aReport.draining_) {
        aBalancer.MarkLeaving(aReport.upstream_, now);
        leaving = aBalancer.Endpoint(aReport.upstream_);
      }
    });
    if (leaving) {
      ports_.observer_.OnUpstreamLeaving(*leaving);
    }
    driver_.Drive(service_);
  }

  void Retry(const AttemptReport& aReport)
  {
    const MonotonicTime now = Now();
    RetryVerdict verdict;
    if (now < info_.deadline_ && !abandoned_) {
      verdict =
        service_->With([&](auto& aBalancer) { return aBalancer.MayRetry(info_, aReport, now); });
    }
    if (!verdict.allowed_) {
      GiveUp(ReasonOf(aReport.failure_, Expired()));
      return;
    }
    nextReason_ = verdict.reason_;
    ports_.observer_.OnRetry(config_->name_, verdict.reason_);
    Submit();
  }

  // Ends the request when no further attempt is possible. A 5xx answer of an upstream goes before a
  // refusal of our own; otherwise the way the last attempt failed says more than the choice.
  void GiveUp(RefusalReason aReason)
  {
    if (finished_) {
      return;
    }
    if (serverError_) {
      Answer(std::move(*serverError_));
    } else if (mayHaveRun_) {
      Refuse(ReasonOf(unknownFailure_, Expired()), Outcome::Unknown);
    } else {
      Refuse(aReason, Outcome::NotRun);
    }
  }

  void Answer(http::Response aResponse)
  {
    http::RemoveHopByHop(aResponse.headers_);
    RemoveReservedFields(aResponse.headers_);
    if (claim_) {
      RecordedAnswer answer;
      answer.status_ = aResponse.status_;
      for (const http::Headers::Field& field : aResponse.headers_) {
        answer.headers_.emplace_back(field.name_, field.value_);
      }
      answer.body_ = aResponse.body_;
      CountClaim(ClaimEvent::Recorded);
      ports_.claims_.RecordAnswer(std::move(*claim_), std::move(answer), Now());
      claim_.reset();
    }
    Respond(std::move(aResponse));
  }

  void Respond(http::Response aResponse)
  {
    aResponse.headers_.Set(kOutcomeHeader, ToString(Outcome::Answered));
    aResponse.headers_.Set(kRequestIdHeader, record_.id_.View());
    exchange_->Respond(std::move(aResponse));
    Finish(Outcome::Answered);
  }

  void Refuse(RefusalReason aReason, Outcome aOutcome)
  {
    record_.refusal_ = aReason;
    record_.retryAfter_ = retryAfter_;
    exchange_->Respond(MakeRefusal(aReason, aOutcome, record_.id_, retryAfter_));
    Finish(aOutcome);
  }

  void Finish(Outcome aOutcome)
  {
    if (claim_ && aOutcome == Outcome::NotRun) {
      CountClaim(ClaimEvent::Released);
      ports_.claims_.Release(std::move(*claim_), Now());
      claim_.reset();
    }
    if (finished_) {
      return;
    }
    finished_ = true;
    CancelTimer(deadlineTimer_);
    CancelTimer(hedgeTimer_);
    CancelAttempts();
    record_.outcome_ = aOutcome;
    record_.latency_ = Now() - info_.arrival_;
    ports_.observer_.OnCallEnded(std::move(record_), abandoned_);
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
      report.outcome_ = ports_.sender_.Cancel(attempts_[i].sendId_);
      report.failure_ = AttemptFailure::Cancelled;
      report.latency_ = Now() - attempts_[i].start_;
      RecordAttempt(i, report);
      Report(report);
    }
  }

  // A claimed request whose attempt is under way is finished, so that its answer is recorded and a
  // repeat of the key receives it. Everything else is cancelled.
  void OnAbandoned()
  {
    abandoned_ = true;
    if (finished_ || (claim_ && ActiveAttempts() > 0)) {
      return;
    }
    LeaveQueue();
    const bool sent = mayHaveRun_ || ActiveAttempts() > 0;
    Finish(sent ? Outcome::Unknown : Outcome::NotRun);
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
      ports_.scheduler_.Cancel(std::exchange(aTimer, net::TimerId::None));
    }
  }

  std::vector<CandidateInfo> Candidates()
  {
    return service_->With([&](auto& aBalancer) { return aBalancer.Candidates(Now()); });
  }

  void RecordAttempt(std::size_t aIndex, const AttemptReport& aReport)
  {
    ExplainAttempt& attempt = record_.attempts_[aIndex];
    attempt.latency_ = aReport.latency_;
    attempt.outcome_ = aReport.outcome_;
    attempt.failure_ = aReport.failure_;
    attempt.status_ = aReport.status_;
    ports_.observer_.OnAttemptEnded(record_, attempt);
  }

  const Ports ports_;
  QueueDriver<S, R, C>& driver_;
  const std::shared_ptr<http::Exchange> exchange_;

  std::shared_ptr<ServiceEntry> service_;
  std::shared_ptr<const ServiceConfig> config_;
  CallTerms terms_;
  CallInfo info_;
  RequestId callerName_;  ///< empty if callers do not name requests
  Duration retryAfter_{}; ///< of a refusal; zero if unknown
  ExplainRecord record_;

  std::optional<ClaimHandle> claim_; ///< held until the answer is recorded or the key released
  std::vector<Attempt> attempts_;
  std::optional<RetryReason> nextReason_;
  std::optional<http::Response> serverError_; ///< last 5xx answer of a repeatable request
  AttemptFailure unknownFailure_ = AttemptFailure::None; ///< of the last attempt that may have run
  net::TimerId deadlineTimer_ = net::TimerId::None;
  net::TimerId hedgeTimer_ = net::TimerId::None;
  bool mayHaveRun_ = false; ///< some attempt ended in Unknown
  std::optional<MonotonicTime> queuedSince_;
  bool hedged_ = false;
  bool abandoned_ = false;
  bool finished_ = false;
};

} // namespace boragepier

#endif
