#include "boragepier/entry/call.h"

#include <CppUTest/TestHarness.h>

#include "boragepier/entry/pipeline_fakes.h"

namespace boragepier {

namespace {

ServiceRoute
MakeServiceRoute()
{
  ServiceRoute route;
  route.version_ = 1;
  route.config_.name_ = ServiceName("order-entry");
  route.config_.pathPrefix_ = "/orders/";
  for (int i = 1; i <= 4; ++i) {
    UpstreamEndpoint endpoint;
    endpoint.id_ = UpstreamId("u" + std::to_string(i));
    endpoint.address_ = "127.0.0.1";
    endpoint.port_ = static_cast<std::uint16_t>(9000 + i);
    endpoint.zone_ = ZoneName("a");
    endpoint.startNumber_ = 1;
    route.upstreams_.push_back(endpoint);
  }
  return route;
}

http::Response
MakeResponse(int aStatus, std::string aBody = "ok")
{
  http::Response response;
  response.status_ = aStatus;
  response.body_ = std::move(aBody);
  return response;
}

} // namespace

TEST_GROUP(Call)
{
  FakeScheduler scheduler_;
  FakeSender sender_;
  FakeClaimCoordinator claims_;
  FakeObserver observer_;
  ServiceRouter router_{ InstanceId("i1"), ZoneName("a"), 7 };
  WireDialect dialect_ = NativeDialect();
  RequestPipeline<FakeScheduler, FakeSender, FakeClaimCoordinator> pipeline_{
    { scheduler_, sender_, claims_, router_, observer_, [] { return WallTime(); }, dialect_ },
    "i1-",
    1
  };

  void setup() override
  {
    RoutingTable table;
    table.services_.push_back(MakeServiceRoute());
    table.instances_.emplace_back("i1");
    router_.Apply(table, scheduler_.Now());
  }

  std::shared_ptr<FakeExchange> Send(const char* aMethod, const char* aKey = nullptr)
  {
    http::Request request;
    request.method_ = aMethod;
    request.target_ = "/orders/1";
    request.headers_.Add("Boragepier-Outcome", "answered");
    if (aKey != nullptr) {
      request.headers_.Add(kIdempotencyKeyHeader, aKey);
    }
    auto exchange = std::make_shared<FakeExchange>(std::move(request), scheduler_.Now());
    pipeline_.Handle(exchange);
    return exchange;
  }

  void CheckRefusal(const FakeExchange& aExchange, RefusalReason aReason, const char* aOutcome)
  {
    CHECK_EQUAL(1, aExchange.responseCount_);
    CHECK(aExchange.OutcomeField() == aOutcome);
    CHECK(observer_.records_.back().refusal_ == aReason);
    CHECK_EQUAL(HttpStatusOf(aReason), aExchange.response_->status_);
  }
};

TEST(Call, ForgedReservedFieldsAreReplaced)
{
  const auto exchange = Send("GET");
  CHECK_EQUAL(1U, sender_.sentRequests_.size());
  CHECK(!sender_.sentRequests_[0].request_->headers_.Get(kOutcomeHeader));
  CHECK(sender_.sentRequests_[0].request_->headers_.Get(kDeadlineHeader) == "2000");
  http::Response response = MakeResponse(200);
  response.headers_.Add("Boragepier-Outcome", "not-run");
  sender_.Answer(0, response);
  CHECK(exchange->OutcomeField() == "answered");
  CHECK(exchange->response_->body_ == "ok");
}

// Guards against running an at-most-once request twice: the upstream may have run it before the
// connection was lost.
TEST(Call, AtMostOnceRequestWithUnknownOutcomeIsNotRetried)
{
  const auto exchange = Send("POST");
  sender_.Fail(0, Outcome::Unknown, AttemptFailure::ConnectionLost);
  scheduler_.Advance(std::chrono::seconds(10));
  CHECK_EQUAL(1U, sender_.sentRequests_.size());
  CheckRefusal(*exchange, RefusalReason::UpstreamLost, "unknown");
}

TEST(Call, AtMostOnceRequestThatWasNotRunIsRetriedOnAnotherUpstream)
{
  const auto exchange = Send("POST");
  sender_.Fail(0, Outcome::NotRun, AttemptFailure::ConnectFailed);
  scheduler_.Advance(std::chrono::milliseconds(100));
  CHECK_EQUAL(2U, sender_.sentRequests_.size());
  CHECK(sender_.sentRequests_[0].target_ != sender_.sentRequests_[1].target_);
  CHECK(sender_.sentRequests_[1].options_.recentlyActiveOnly_);
  sender_.Answer(1, MakeResponse(201));
  CHECK_EQUAL(201, exchange->response_->status_);
}

// Guards against blaming the upstreams for a descriptor that this instance lacks.
TEST(Call, RequestWithoutADescriptorIsRefusedAsOverloaded)
{
  const auto exchange = Send("POST");
  sender_.Fail(0, Outcome::NotRun, AttemptFailure::LocalLimit);
  scheduler_.Advance(std::chrono::milliseconds(100));
  CHECK_EQUAL(1U, sender_.sentRequests_.size());
  CheckRefusal(*exchange, RefusalReason::Overloaded, "not-run");
}

// Guards against running an at-most-once request on a second upstream after it ran and failed on
// the first.
TEST(Call, AtMostOnceRequestIsNotRetriedAfterServerError)
{
  const auto exchange = Send("POST");
  sender_.Answer(0, MakeResponse(500));
  CHECK_EQUAL(1U, sender_.sentRequests_.size());
  CHECK_EQUAL(500, exchange->response_->status_);
  CHECK(exchange->OutcomeField() == "answered");
}

TEST(Call, RepeatableRequestIsRetriedAfterServerError)
{
  const auto exchange = Send("GET");
  sender_.Answer(0, MakeResponse(500));
  scheduler_.Advance(std::chrono::milliseconds(100));
  CHECK_EQUAL(2U, sender_.sentRequests_.size());
  sender_.Answer(1, MakeResponse(200));
  CHECK_EQUAL(200, exchange->response_->status_);
  CHECK(observer_.retryReasons_.front() == RetryReason::ServerError);
}

TEST(Call, RefusalsCertifiedByUpstreamsEndAsNotRun)
{
  const auto exchange = Send("POST");
  for (std::size_t i = 0; i < sender_.sentRequests_.size() && exchange->responseCount_ == 0; ++i) {
    http::Response refusal = MakeResponse(503);
    refusal.headers_.Add(kNotRunHeader, "true");
    sender_.Answer(i, refusal);
    scheduler_.Advance(std::chrono::milliseconds(100));
  }
  scheduler_.Advance(std::chrono::seconds(5));
  CHECK_EQUAL(1, exchange->responseCount_);
  CHECK(exchange->OutcomeField() == "not-run");
}

// Guards against a request that its caller runs twice: the upstream ran it and failed, and the
// status of the response told the caller that it had not run.
TEST(Call, RefusalThatTheUpstreamDoesNotCertifyIsNotForwarded)
{
  dialect_.promisesNotRun_ = [](int aStatus) { return aStatus == 503; };
  const auto exchange = Send("POST");
  sender_.Answer(0, MakeResponse(503));
  scheduler_.Advance(std::chrono::seconds(5));
  CHECK_EQUAL(1U, sender_.sentRequests_.size());
  CheckRefusal(*exchange, RefusalReason::UnconfirmedRefusal, "unknown");
}

TEST(Call, UncertifiedRefusalOfARepeatableRequestIsForwarded)
{
  dialect_.promisesNotRun_ = [](int aStatus) { return aStatus == 503; };
  const auto exchange = Send("GET");
  for (std::size_t i = 0; i < sender_.sentRequests_.size() && exchange->responseCount_ == 0; ++i) {
    sender_.Answer(i, MakeResponse(503));
    scheduler_.Advance(std::chrono::milliseconds(100));
  }
  scheduler_.Advance(std::chrono::seconds(5));
  CHECK_EQUAL(1, exchange->responseCount_);
  CHECK_EQUAL(503, exchange->response_->status_);
  CHECK(exchange->OutcomeField() == "answered");
}

// Guards against an upstream that mixes answers unnoticed, and against a repeatable request that
// fails because of it.
TEST(Call, MixedResponseIsReportedAndARepeatableRequestIsRetried)
{
  const auto exchange = Send("GET");
  sender_.Fail(0, Outcome::Unknown, AttemptFailure::MixedResponse);
  scheduler_.Advance(std::chrono::milliseconds(100));
  CHECK_EQUAL(2U, sender_.sentRequests_.size());
  CHECK_EQUAL(1U, observer_.foreignResponses_.size());
  STRCMP_EQUAL("i1-1", observer_.foreignResponses_.front().second.c_str());
  sender_.Answer(1, MakeResponse(200));
  CHECK_EQUAL(200, exchange->response_->status_);
  CHECK(observer_.retryReasons_.front() == RetryReason::TruncatedResponse);
}

// Guards against a request that runs twice, or is told as not run, because its answer is mixed with
// that of another.
TEST(Call, AtMostOnceRequestIsNotRetriedAfterAMixedResponse)
{
  const auto exchange = Send("POST");
  sender_.Fail(0, Outcome::Unknown, AttemptFailure::MixedResponse);
  scheduler_.Advance(std::chrono::seconds(10));
  CHECK_EQUAL(1U, sender_.sentRequests_.size());
  CheckRefusal(*exchange, RefusalReason::UpstreamTruncated, "unknown");
}

// Guards against a request that is reported as not run although it has run: a late second copy of
// the refusal of one attempt would be taken for the answer to the next one on the same connection.
TEST(Call, AttemptsOfARequestDoNotShareAConnection)
{
  Send("POST");
  std::vector<http::ConnectionId> used;
  for (std::size_t i = 0; i < 2; ++i) {
    CHECK_EQUAL(i + 1, sender_.sentRequests_.size());
    CHECK(sender_.sentRequests_[i].options_.excludedConnections_ == used);
    http::Response refusal = MakeResponse(503);
    refusal.headers_.Add(kNotRunHeader, "true");
    sender_.Answer(i, refusal);
    used.push_back(FakeSender::ConnectionOf(i));
    scheduler_.Advance(std::chrono::milliseconds(100));
  }
}

TEST(Call, KeyedRequestIsSentOnlyAfterItsClaimIsGranted)
{
  const auto exchange = Send("POST", "k-1");
  CHECK(sender_.sentRequests_.empty());
  claims_.GrantNext();
  CHECK_EQUAL(1U, sender_.sentRequests_.size());
  CHECK(sender_.sentRequests_[0].request_->headers_.Get(kIdempotencyKeyHeader) == "k-1");
  sender_.Answer(0, MakeResponse(201, "order 1"));
  CHECK_EQUAL(1U, claims_.recordedAnswers_.size());
  CHECK(claims_.recordedAnswers_[0].body_ == "order 1");
  CHECK_EQUAL(0, claims_.releaseCount_);
}

TEST(Call, RepeatedKeyGetsTheRecordedAnswer)
{
  const auto exchange = Send("POST", "k-1");
  claims_.ResolveNext(Replay{ { 201, { { "X-Order", "1" } }, "order 1" } });
  CHECK(sender_.sentRequests_.empty());
  CHECK_EQUAL(201, exchange->response_->status_);
  CHECK(exchange->response_->headers_.Get(kReplayedHeader) == "true");
}

// Guards against reporting not-run while an earlier request with the same key may have run.
TEST(Call, KeyedRequestIsRefusedAsUnknownWithoutTheTable)
{
  const auto exchange = Send("POST", "k-1");
  claims_.ResolveNext(StoreUnavailable{});
  CHECK(sender_.sentRequests_.empty());
  CheckRefusal(*exchange, RefusalReason::ClaimStoreUnavailable, "unknown");
}

TEST(Call, InProgressAndReusedKeysHaveDifferentRefusals)
{
  const auto inProgress = Send("POST", "k-1");
  claims_.ResolveNext(InProgress{});
  CheckRefusal(*inProgress, RefusalReason::InProgress, "unknown");
  const auto reused = Send("POST", "k-1");
  claims_.ResolveNext(KeyReused{});
  CheckRefusal(*reused, RefusalReason::KeyReused, "not-run");
}

// Guards against sending a request after its deadline when the process was paused while the claim
// was pending.
TEST(Call, ClaimGrantedAfterTheDeadlineIsReleasedAndNotSent)
{
  const auto exchange = Send("POST", "k-1");
  scheduler_.Advance(std::chrono::hours(1));
  claims_.GrantNext();
  CHECK(sender_.sentRequests_.empty());
  CHECK_EQUAL(1, claims_.releaseCount_);
  CheckRefusal(*exchange, RefusalReason::DeadlineExpired, "not-run");
}

TEST(Call, ClaimOfRequestWithUnknownOutcomeIsKept)
{
  const auto exchange = Send("POST", "k-1");
  claims_.GrantNext();
  sender_.Fail(0, Outcome::Unknown, AttemptFailure::Timeout);
  CHECK_EQUAL(0, claims_.releaseCount_);
  CHECK(claims_.recordedAnswers_.empty());
  CHECK(exchange->OutcomeField() == "unknown");
}

// Guards against running a request twice when its caller disconnects and sends it again: the
// response of the first run must be recorded for replay.
TEST(Call, KeyedRequestInProgressCompletesAfterItsCallerDisconnects)
{
  const auto exchange = Send("POST", "k-1");
  claims_.GrantNext();
  exchange->onAbandoned_(http::CallerEnd::Gone);
  CHECK(!sender_.sentRequests_[0].cancelled_);
  sender_.Answer(0, MakeResponse(201));
  CHECK_EQUAL(1U, claims_.recordedAnswers_.size());
}

TEST(Call, RepeatableRequestIsCancelledWhenItsCallerDisconnects)
{
  const auto exchange = Send("GET");
  exchange->onAbandoned_(http::CallerEnd::Gone);
  CHECK(sender_.sentRequests_[0].cancelled_);
  CHECK_EQUAL(1U, observer_.records_.size());
  CHECK_EQUAL(1, observer_.abandonedCount_);
}

// Guards against dropping the response to an unsafe request whose caller ended its sending side and
// waits.
TEST(Call, AtMostOnceRequestOfAHalfClosedCallerIsAnswered)
{
  const auto exchange = Send("POST");
  exchange->onAbandoned_(http::CallerEnd::HalfClosed);
  CHECK(!sender_.sentRequests_[0].cancelled_);
  sender_.Answer(0, MakeResponse(201));
  CHECK_EQUAL(201, exchange->response_->status_);
}

// Guards against sending anything new for a caller that may have gone.
TEST(Call, FailedAttemptOfAHalfClosedCallerIsNotRetried)
{
  const auto exchange = Send("POST");
  exchange->onAbandoned_(http::CallerEnd::HalfClosed);
  sender_.Fail(0, Outcome::NotRun, AttemptFailure::ConnectFailed);
  scheduler_.Advance(std::chrono::milliseconds(100));
  CHECK_EQUAL(1U, sender_.sentRequests_.size());
  CheckRefusal(*exchange, RefusalReason::NoUpstream, "not-run");
}

// Guards against continuing work for a caller that may have gone, and against leaving one that
// waits without a response.
TEST(Call, RepeatableRequestOfAHalfClosedCallerIsCancelledAndRefused)
{
  const auto exchange = Send("GET");
  exchange->onAbandoned_(http::CallerEnd::HalfClosed);
  CHECK(sender_.sentRequests_[0].cancelled_);
  CheckRefusal(*exchange, RefusalReason::ResponseNotAwaited, "unknown");
  // Status 503 would promise that the request has not run.
  CHECK_EQUAL(504, HttpStatusOf(RefusalReason::ResponseNotAwaited));
}

TEST(Call, ClaimGrantedAfterAHalfCloseIsReleased)
{
  const auto exchange = Send("POST", "k-1");
  exchange->onAbandoned_(http::CallerEnd::HalfClosed);
  // An earlier request with the same key may have run.
  CheckRefusal(*exchange, RefusalReason::ResponseNotAwaited, "unknown");
  claims_.GrantNext();
  CHECK(sender_.sentRequests_.empty());
  CHECK_EQUAL(1, claims_.releaseCount_);
}

TEST(Call, ClaimGrantedAfterTheCallerDisconnectedIsReleased)
{
  const auto exchange = Send("POST", "k-1");
  exchange->onAbandoned_(http::CallerEnd::Gone);
  claims_.GrantNext();
  CHECK(sender_.sentRequests_.empty());
  CHECK_EQUAL(1, claims_.releaseCount_);
}

TEST(Call, LeavingUpstreamIsReportedAndAvoided)
{
  Send("GET");
  const http::Target leavingTarget = sender_.sentRequests_[0].target_;
  http::Response response = MakeResponse(200);
  response.headers_.Add(kDrainingHeader, "true");
  sender_.Answer(0, response);
  CHECK_EQUAL(1U, observer_.leavingUpstreams_.size());
  for (int i = 0; i < 50; ++i) {
    Send("GET");
    CHECK(sender_.sentRequests_.back().target_ != leavingTarget);
    sender_.Answer(sender_.sentRequests_.size() - 1, MakeResponse(200));
  }
}

// Guards against requests to a leaving upstream after a time without requests to it, or over a
// routing table from a store that does not know yet that it leaves.
TEST(Call, LeavingUpstreamIsAvoidedAfterALongTimeAndANewRoutingTable)
{
  Send("GET");
  const http::Target leavingTarget = sender_.sentRequests_[0].target_;
  http::Response response = MakeResponse(200);
  response.headers_.Add(kDrainingHeader, "true");
  sender_.Answer(0, response);
  scheduler_.Advance(std::chrono::minutes(5));
  setup();
  for (int i = 0; i < 50; ++i) {
    Send("GET");
    CHECK(sender_.sentRequests_.back().target_ != leavingTarget);
    sender_.Answer(sender_.sentRequests_.size() - 1, MakeResponse(200));
  }
}

// Guards against an upstream that receives nothing after a restart, because an answer of its
// earlier start, which was leaving, arrived late.
TEST(Call, LateAnswerOfALeavingStartDoesNotAffectTheNextStart)
{
  const auto exchange = Send("GET");
  const http::Target target = sender_.sentRequests_[0].target_;
  RoutingTable table;
  table.services_.push_back(MakeServiceRoute());
  table.instances_.emplace_back("i1");
  for (UpstreamEndpoint& endpoint : table.services_[0].upstreams_) {
    endpoint.startNumber_ = 2;
  }
  router_.Apply(table, scheduler_.Now());
  http::Response response = MakeResponse(200);
  response.headers_.Add(kDrainingHeader, "true");
  sender_.Answer(0, response);
  CHECK_EQUAL(200, exchange->response_->status_);
  CHECK(observer_.leavingUpstreams_.empty());
  bool used = false;
  for (int i = 0; i < 50; ++i) {
    Send("GET");
    used = used || sender_.sentRequests_.back().target_ == target;
    sender_.Answer(sender_.sentRequests_.size() - 1, MakeResponse(200));
  }
  CHECK(used);
}

TEST(Call, UnknownPathsAndExpiredDeadlinesAreRefusedWithoutAnAttempt)
{
  http::Request request{ "GET", "/elsewhere/1", {}, "" };
  const auto unrouted = std::make_shared<FakeExchange>(request, scheduler_.Now());
  pipeline_.Handle(unrouted);
  CheckRefusal(*unrouted, RefusalReason::NoRoute, "not-run");
  request.target_ = "/orders/1";
  request.headers_.Add(kDeadlineHeader, "0");
  const auto expired = std::make_shared<FakeExchange>(request, scheduler_.Now());
  pipeline_.Handle(expired);
  CheckRefusal(*expired, RefusalReason::DeadlineExpired, "not-run");
  CHECK(sender_.sentRequests_.empty());
}

// Guards against a request that is still in progress when an instance that shuts down exits.
TEST(Call, RequestThatCouldOutlastTheProcessIsRefusedWithoutAnAttempt)
{
  pipeline_.RefuseDeadlinesAfter(scheduler_.Now() + std::chrono::milliseconds(500));
  http::Request request{ "POST", "/orders/1", {}, "" };
  request.headers_.Add(kDeadlineHeader, "501");
  const auto late = std::make_shared<FakeExchange>(request, scheduler_.Now());
  pipeline_.Handle(late);
  CheckRefusal(*late, RefusalReason::ShuttingDown, "not-run");
  CHECK(late->response_->headers_.Get("Retry-After") == "0");
  CHECK(sender_.sentRequests_.empty());
  request.headers_.Set(kDeadlineHeader, "500");
  pipeline_.Handle(std::make_shared<FakeExchange>(request, scheduler_.Now()));
  CHECK_EQUAL(1U, sender_.sentRequests_.size());
}

// Guards against requests that wait forever when all slots are taken and no response arrives.
TEST(Call, EveryRequestIsAnsweredByItsDeadline)
{
  std::vector<std::shared_ptr<FakeExchange>> exchanges(300);
  for (auto& exchange : exchanges) {
    exchange = Send("GET");
  }
  for (int i = 0; i < 60; ++i) {
    scheduler_.Advance(std::chrono::milliseconds(100));
    for (std::size_t j = 0; j < sender_.sentRequests_.size(); ++j) {
      if (sender_.sentRequests_[j].done_ && !sender_.sentRequests_[j].cancelled_ && i >= 20) {
        sender_.Fail(j, Outcome::Unknown, AttemptFailure::Timeout);
      }
    }
  }
  for (const auto& exchange : exchanges) {
    CHECK_EQUAL(1, exchange->responseCount_);
  }
  CHECK_EQUAL(300U, observer_.records_.size());
}

// Guards against an unexpected exception that ends the process, leaves its request without an
// answer, or calls a request not-run that may have run.
TEST(Call, ExceptionEndsOnlyItsRequestWithATrueOutcome)
{
  observer_.throwsOnAttemptStarted_ = true;
  const auto sent = Send("POST");
  CheckRefusal(*sent, RefusalReason::InternalError, "unknown");
  CHECK(sender_.sentRequests_.at(0).cancelled_);
  observer_.throwsOnAttemptStarted_ = false;

  const auto answered = Send("POST");
  observer_.throwsOnAttemptEnded_ = true;
  sender_.Answer(1, MakeResponse(200));
  CheckRefusal(*answered, RefusalReason::InternalError, "unknown");
  observer_.throwsOnAttemptEnded_ = false;

  observer_.throwsOnClaimEvent_ = true;
  const auto claimed = Send("POST", "key");
  claims_.ResolveNext(InProgress{});
  CheckRefusal(*claimed, RefusalReason::InternalError, "unknown");
  observer_.throwsOnClaimEvent_ = false;

  const auto sound = Send("POST");
  sender_.Answer(2, MakeResponse(200));
  CHECK(sound->OutcomeField() == "answered");
  CHECK_EQUAL(4U, observer_.records_.size());
}

TEST(Call, ExceptionBeforeAnyAttemptEndsAsNotRun)
{
  observer_.throwsOnSplitRequest_ = true;
  RoutingTable table;
  table.services_.push_back(MakeServiceRoute());
  table.instances_.emplace_back("i1");
  RouteConfig route;
  route.name_ = "split";
  route.host_ = "a";
  route.pathPrefix_ = "/orders/";
  route.services_ = { { ServiceName("order-entry"), 1 }, { ServiceName("order-entry"), 1 } };
  table.routes_ = std::make_shared<const RouteSet>(std::span(&route, 1));
  router_.Apply(table, scheduler_.Now());
  http::Request request{ "POST", "/orders/1", {}, "" };
  request.headers_.Add("Host", "a");
  const auto exchange = std::make_shared<FakeExchange>(request, scheduler_.Now());
  pipeline_.Handle(exchange);
  CheckRefusal(*exchange, RefusalReason::InternalError, "not-run");
  CHECK(sender_.sentRequests_.empty());
}

// Guards against a request that loses an attempt, or its place, because the upstream that was
// chosen for it asked for a pause before it was sent.
TEST(Call, WithdrawnRequestIsSentToAnotherUpstream)
{
  const auto exchange = Send("POST");
  const auto paused = sender_.sentRequests_.at(0).target_;
  // Another request to the same upstream is refused with a pause.
  std::vector<std::shared_ptr<FakeExchange>> others;
  std::size_t other = 0;
  while (other == 0) {
    others.push_back(Send("POST"));
    const std::size_t last = sender_.sentRequests_.size() - 1;
    other = sender_.sentRequests_[last].target_ == paused ? last : 0;
  }
  http::Response refusal = MakeResponse(503);
  refusal.headers_.Set(kNotRunHeader, "true");
  refusal.headers_.Set("Retry-After", "3");
  sender_.Answer(other, refusal);
  CHECK_EQUAL(1, sender_.withdrawn_.size());
  CHECK(sender_.withdrawn_.at(0) == paused);
  CHECK_EQUAL(1, observer_.pauseCount_);
  const std::size_t before = sender_.sentRequests_.size();
  const std::size_t retriesBefore = observer_.retryReasons_.size();
  sender_.Fail(0, Outcome::NotRun, AttemptFailure::Withdrawn);
  scheduler_.Advance(std::chrono::milliseconds(20));
  // Beside probes.
  const auto isPost = [](const auto& aSent) { return aSent.request_->method_ == "POST"; };
  const auto first = sender_.sentRequests_.begin() + static_cast<std::ptrdiff_t>(before);
  const auto moved = std::find_if(first, sender_.sentRequests_.end(), isPost);
  CHECK(moved != sender_.sentRequests_.end());
  CHECK(moved->target_ != paused);
  CHECK_EQUAL(retriesBefore, observer_.retryReasons_.size());
  sender_.Answer(static_cast<std::size_t>(moved - sender_.sentRequests_.begin()),
                 MakeResponse(201));
  CHECK_EQUAL(201, exchange->response_->status_);
}

} // namespace boragepier
