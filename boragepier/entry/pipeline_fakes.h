#ifndef BORAGEPIER_ENTRY_PIPELINE_FAKES_H
#define BORAGEPIER_ENTRY_PIPELINE_FAKES_H

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

#include "boragepier/entry/pipeline_dependencies.h"
#include "boragepier/entry/request_pipeline.h"

namespace boragepier {

/// Scheduler for tests that runs in virtual time.
class FakeScheduler
{
public:
  MonotonicTime Now() const { return now_; }

  net::TimerId After(Duration aDelay, std::function<void()> aTask)
  {
    timers_.emplace(std::pair(now_ + aDelay, ++lastTimerId_), std::move(aTask));
    return static_cast<net::TimerId>(lastTimerId_);
  }

  void Cancel(net::TimerId aTimer)
  {
    const auto found = std::find_if(timers_.begin(), timers_.end(), [&](const auto& aEntry) {
      return aEntry.first.second == static_cast<std::uint64_t>(aTimer);
    });
    if (found != timers_.end()) {
      timers_.erase(found);
    }
  }

  void Post(std::function<void()> aTask) { After({}, std::move(aTask)); }

  /// Advances the time by aDuration and runs the tasks that become due, in order.
  void Advance(Duration aDuration)
  {
    const MonotonicTime end = now_ + aDuration;
    while (!timers_.empty() && timers_.begin()->first.first <= end) {
      auto node = timers_.extract(timers_.begin());
      now_ = node.key().first;
      node.mapped()();
    }
    now_ = end;
  }

private:
  MonotonicTime now_ = MonotonicTime(std::chrono::hours(1));
  std::map<std::pair<MonotonicTime, std::uint64_t>, std::function<void()>> timers_;
  std::uint64_t lastTimerId_ = 0;
};

/// RequestSender that records the requests and lets the test complete each of them.
class FakeSender
{
public:
  struct SentRequest
  {
    http::Target target_;
    std::shared_ptr<const http::Request> request_;
    http::SendOptions options_;
    std::function<void(http::SendResult)> done_;
    bool cancelled_ = false;
  };

  http::SendId Send(const http::Target& aTarget,
                    std::shared_ptr<const http::Request> aRequest,
                    const http::SendOptions& aOptions,
                    std::function<void(http::SendResult)> aDone)
  {
    sentRequests_.push_back({ aTarget, std::move(aRequest), aOptions, std::move(aDone) });
    return static_cast<http::SendId>(sentRequests_.size() - 1);
  }

  Outcome Cancel(http::SendId aId)
  {
    sentRequests_.at(static_cast<std::size_t>(aId)).cancelled_ = true;
    return Outcome::Unknown;
  }

  void Withdraw(const http::Target& aTarget) { withdrawn_.push_back(aTarget); }

  /// Completes a request with a failure.
  void Fail(std::size_t aIndex, Outcome aOutcome, AttemptFailure aFailure)
  {
    http::SendResult result;
    result.outcome_ = aOutcome;
    result.failure_ = aFailure;
    TakeCallback(aIndex)(std::move(result));
  }

  /// Completes a request with a response.
  void Answer(std::size_t aIndex, http::Response aResponse)
  {
    http::SendResult result;
    result.outcome_ = Outcome::Answered;
    result.response_ = std::move(aResponse);
    result.connection_ = ConnectionOf(aIndex);
    TakeCallback(aIndex)(std::move(result));
  }

  /// @return the connection of a request; each has its own
  static http::ConnectionId ConnectionOf(std::size_t aIndex)
  {
    return static_cast<http::ConnectionId>(aIndex + 1);
  }

  std::vector<SentRequest> sentRequests_;
  std::vector<http::Target> withdrawn_; ///< targets of Withdraw()

private:
  std::function<void(http::SendResult)> TakeCallback(std::size_t aIndex)
  {
    return std::exchange(sentRequests_.at(aIndex).done_, nullptr);
  }
};

/// ClaimCoordinator that lets the test decide each claim.
class FakeClaimCoordinator
{
public:
  void Claim(ClaimRequest aRequest, MonotonicTime, ClaimCallback aDone)
  {
    claimRequests_.push_back(std::move(aRequest));
    pendingCallbacks_.push_back(std::move(aDone));
  }

  void RecordAnswer(ClaimHandle, RecordedAnswer aAnswer, MonotonicTime)
  {
    recordedAnswers_.push_back(std::move(aAnswer));
  }

  void Release(ClaimHandle, MonotonicTime) { ++releaseCount_; }

  /// Decides the oldest pending claim.
  void ResolveNext(ClaimResult aResult)
  {
    auto done = std::move(pendingCallbacks_.front());
    pendingCallbacks_.pop_front();
    done(std::move(aResult));
  }

  void GrantNext() { ResolveNext(Granted{ ClaimHandle("row", ClaimRecord{}, 1, false) }); }

  std::vector<ClaimRequest> claimRequests_;
  std::vector<RecordedAnswer> recordedAnswers_;
  int releaseCount_ = 0;

private:
  std::deque<ClaimCallback> pendingCallbacks_;
};

/// Exchange that holds a given request and keeps the response.
class FakeExchange : public http::Exchange
{
public:
  FakeExchange(http::Request aRequest, MonotonicTime aArrival)
    : request_(std::move(aRequest))
    , arrival_(aArrival)
  {
  }

  const http::Request& GetRequest() const override { return request_; }
  MonotonicTime Arrival() const override { return arrival_; }
  void Respond(http::Response aResponse) override
  {
    ++responseCount_;
    response_ = std::move(aResponse);
  }
  void Abort() override {}
  void SetAbandonedCallback(std::function<void(http::CallerEnd)> aFunction) override
  {
    onAbandoned_ = std::move(aFunction);
  }

  std::string_view OutcomeField() const
  {
    return response_ ? response_->headers_.Get(kOutcomeHeader).value_or("") : "";
  }

  std::optional<http::Response> response_;
  int responseCount_ = 0;
  std::function<void(http::CallerEnd)> onAbandoned_;

private:
  http::Request request_;
  MonotonicTime arrival_;
};

/// Keeps the records of ended requests and the other events that tests check.
class FakeObserver : public CallObserver
{
public:
  void OnSplitRequest(std::string_view, const ServiceName&) override
  {
    ThrowIf(throwsOnSplitRequest_);
  }
  void OnAttemptStarted(const ExplainRecord&) override { ThrowIf(throwsOnAttemptStarted_); }
  void OnAttemptEnded(const ExplainRecord&, const ExplainAttempt&) override
  {
    ThrowIf(throwsOnAttemptEnded_);
  }
  void OnCallEnded(ExplainRecord aRecord, bool aAbandoned) override
  {
    records_.push_back(std::move(aRecord));
    abandonedCount_ += aAbandoned ? 1 : 0;
  }
  void OnClaimEvent(const ServiceName&, ClaimEvent) override { ThrowIf(throwsOnClaimEvent_); }
  void OnProbe(const ServiceName&) override {}
  void OnRetry(const ServiceName&, RetryReason aReason) override
  {
    retryReasons_.push_back(aReason);
  }
  void OnUnanswered(UnansweredCause) override {}
  void OnNotRouted(const http::ServerRefusal&) override {}
  void OnUpstreamPaused(const ServiceName&, const UpstreamEndpoint&, Duration) override
  {
    ++pauseCount_;
  }
  void OnPauseIgnored(const ServiceName&, const UpstreamEndpoint&) override
  {
    ++ignoredPauseCount_;
  }
  void OnForeignResponse(const ServiceName&,
                         const UpstreamEndpoint& aUpstream,
                         std::string_view aRequest,
                         const http::SendResult&) override
  {
    foreignResponses_.emplace_back(aUpstream.id_, aRequest);
  }
  void OnUpstreamLeaving(const UpstreamEndpoint& aUpstream) override
  {
    leavingUpstreams_.push_back(aUpstream.id_);
  }

  std::vector<ExplainRecord> records_;
  int abandonedCount_ = 0;
  std::vector<RetryReason> retryReasons_;
  std::vector<UpstreamId> leavingUpstreams_;
  std::vector<std::pair<UpstreamId, std::string>> foreignResponses_; ///< upstream, request id
  int pauseCount_ = 0;
  int ignoredPauseCount_ = 0;
  bool throwsOnAttemptStarted_ = false;
  bool throwsOnAttemptEnded_ = false;
  bool throwsOnClaimEvent_ = false;
  bool throwsOnSplitRequest_ = false;

private:
  static void ThrowIf(bool aThrows)
  {
    if (aThrows) {
      throw std::runtime_error("observer");
    }
  }
};

} // namespace boragepier

#endif
