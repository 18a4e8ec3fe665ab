#ifndef BORAGEPIER_ENTRY_PIPELINE_FAKES_H
#define BORAGEPIER_ENTRY_PIPELINE_FAKES_H

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "boragepier/entry/pipeline_ports.h"
#include "boragepier/entry/request_pipeline.h"

namespace boragepier {

/// Scheduler in virtual time for tests.
class FakeScheduler
{
public:
  MonotonicTime Now() const { return now_; }

  net::TimerId After(Duration aDelay, std::function<void()> aTask)
  {
    timers_.emplace(std::pair(now_ + aDelay, ++lastTimer_), std::move(aTask));
    return static_cast<net::TimerId>(lastTimer_);
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

  /// Runs everything that is due until aDuration has passed.
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
  std::uint64_t lastTimer_ = 0;
};

/// Records what is sent and lets the test end each attempt.
class FakeSender
{
public:
  struct Sent
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
    sent_.push_back({ aTarget, std::move(aRequest), aOptions, std::move(aDone) });
    return static_cast<http::SendId>(sent_.size() - 1);
  }

  Outcome Cancel(http::SendId aId)
  {
    sent_.at(static_cast<std::size_t>(aId)).cancelled_ = true;
    return Outcome::Unknown;
  }

  void Fail(std::size_t aIndex, Outcome aOutcome, AttemptFailure aFailure)
  {
    http::SendResult result;
    result.outcome_ = aOutcome;
    result.failure_ = aFailure;
    Take(aIndex)(std::move(result));
  }

  void Answer(std::size_t aIndex, http::Response aResponse)
  {
    http::SendResult result;
    result.outcome_ = Outcome::Answered;
    result.response_ = std::move(aResponse);
    Take(aIndex)(std::move(result));
  }

  std::vector<Sent> sent_;

private:
  std::function<void(http::SendResult)> Take(std::size_t aIndex)
  {
    return std::exchange(sent_.at(aIndex).done_, nullptr);
  }
};

/// Lets the test decide about claims.
class FakeClaims
{
public:
  void Claim(ClaimRequest aRequest, MonotonicTime, ClaimCallback aDone)
  {
    requests_.push_back(std::move(aRequest));
    pending_.push_back(std::move(aDone));
  }

  void RecordAnswer(ClaimHandle, RecordedAnswer aAnswer, MonotonicTime)
  {
    recorded_.push_back(std::move(aAnswer));
  }

  void Release(ClaimHandle, MonotonicTime) { ++released_; }

  void Decide(ClaimResult aResult)
  {
    auto done = std::move(pending_.front());
    pending_.pop_front();
    done(std::move(aResult));
  }

  void Grant() { Decide(Granted{ ClaimHandle("row", ClaimRecord{}, 1, false) }); }

  std::vector<ClaimRequest> requests_;
  std::vector<RecordedAnswer> recorded_;
  int released_ = 0;

private:
  std::deque<ClaimCallback> pending_;
};

/// A request of a caller; keeps the response.
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
    ++responses_;
    response_ = std::move(aResponse);
  }
  void Abort() override {}
  void SetAbandonedCallback(std::function<void()> aFunction) override
  {
    abandoned_ = std::move(aFunction);
  }

  std::string_view OutcomeField() const
  {
    return response_ ? response_->headers_.Get(kOutcomeHeader).value_or("") : "";
  }

  std::optional<http::Response> response_;
  int responses_ = 0;
  std::function<void()> abandoned_;

private:
  http::Request request_;
  MonotonicTime arrival_;
};

/// Keeps the records of ended requests and counts retries.
class FakeObserver : public CallObserver
{
public:
  void OnAttemptStarted(const ExplainRecord&) override {}
  void OnAttemptEnded(const ExplainRecord&, const ExplainAttempt&) override {}
  void OnCallEnded(ExplainRecord aRecord, bool aAbandoned) override
  {
    records_.push_back(std::move(aRecord));
    abandoned_ += aAbandoned ? 1 : 0;
  }
  void OnClaim(const ServiceName&, ClaimEvent) override {}
  void OnProbe(const ServiceName&) override {}
  void OnRetry(const ServiceName&, RetryReason aReason) override { retries_.push_back(aReason); }
  void OnUpstreamLeaving(const UpstreamEndpoint& aUpstream) override
  {
    leaving_.push_back(aUpstream.id_);
  }

  std::vector<ExplainRecord> records_;
  int abandoned_ = 0;
  std::vector<RetryReason> retries_;
  std::vector<UpstreamId> leaving_;
};

} // namespace boragepier

#endif
