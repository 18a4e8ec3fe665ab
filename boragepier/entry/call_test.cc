#include "boragepier/entry/call.h"

#include <CppUTest/TestHarness.h>

#include "boragepier/entry/pipeline_fakes.h"

namespace boragepier {

namespace {

ServiceRoute
OrderRoute()
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
  FakeClaims claims_;
  FakeObserver observer_;
  ServiceDirectory directory_{ InstanceId("i1"), ZoneName("a"), 7 };
  RequestPipeline<FakeScheduler, FakeSender, FakeClaims> pipeline_{
    { scheduler_, sender_, claims_, directory_, observer_, [] { return WallTime(); } }, "i1-", 1
  };

  void setup() override
  {
    RoutingTable table;
    table.services_.push_back(OrderRoute());
    table.instances_.emplace_back("i1");
    directory_.Apply(table, scheduler_.Now());
  }

  std::shared_ptr<FakeExchange> Send(const char* aMethod, const char* aKey = nullptr)
  {
    http::Request request;
    request.method_ = aMethod;
    request.target_ = "/orders/1";
    request.headers_.Add("Boragepier-Outcome", "answered");
    if (aKey != nullptr) {
      request.headers_.Add(kKeyHeader, aKey);
    }
    auto exchange = std::make_shared<FakeExchange>(std::move(request), scheduler_.Now());
    pipeline_.Handle(exchange);
    return exchange;
  }

  void CheckRefusal(const FakeExchange& aExchange, RefusalReason aReason, const char* aOutcome)
  {
    CHECK_EQUAL(1, aExchange.responses_);
    CHECK(aExchange.OutcomeField() == aOutcome);
    CHECK(observer_.records_.back().refusal_ == aReason);
    CHECK_EQUAL(StatusOf(aReason), aExchange.response_->status_);
  }
};

TEST(Call, AnAnswerReachesItsCallerWithoutForgedFields)
{
  const auto exchange = Send("GET");
  CHECK_EQUAL(1U, sender_.sent_.size());
  CHECK(!sender_.sent_[0].request_->headers_.Get(kOutcomeHeader));
  CHECK(sender_.sent_[0].request_->headers_.Get(kDeadlineHeader) == "2000");
  http::Response response = MakeResponse(200);
  response.headers_.Add("Boragepier-Outcome", "not-run");
  sender_.Answer(0, response);
  CHECK(exchange->OutcomeField() == "answered");
  CHECK(exchange->response_->body_ == "ok");
}

// Guards against an order that is sent twice after its connection broke.
TEST(Call, AnOrderWithUnknownOutcomeIsNotSentAgain)
{
  const auto exchange = Send("POST");
  sender_.Fail(0, Outcome::Unknown, AttemptFailure::ConnectionLost);
  scheduler_.Advance(std::chrono::seconds(10));
  CHECK_EQUAL(1U, sender_.sent_.size());
  CheckRefusal(*exchange, RefusalReason::UpstreamLost, "unknown");
}

TEST(Call, AnOrderThatCertainlyDidNotRunGoesToAnotherUpstream)
{
  const auto exchange = Send("POST");
  sender_.Fail(0, Outcome::NotRun, AttemptFailure::ConnectFailed);
  scheduler_.Advance(std::chrono::milliseconds(100));
  CHECK_EQUAL(2U, sender_.sent_.size());
  CHECK(sender_.sent_[0].target_ != sender_.sent_[1].target_);
  CHECK(sender_.sent_[1].options_.recentlyActiveOnly_);
  sender_.Answer(1, MakeResponse(201));
  CHECK_EQUAL(201, exchange->response_->status_);
}

// Guards against an order that ran and failed being run again on another upstream.
TEST(Call, AServerErrorOfAnOrderIsItsAnswer)
{
  const auto exchange = Send("POST");
  sender_.Answer(0, MakeResponse(500));
  CHECK_EQUAL(1U, sender_.sent_.size());
  CHECK_EQUAL(500, exchange->response_->status_);
  CHECK(exchange->OutcomeField() == "answered");
}

TEST(Call, ALookupThatMeetsAServerErrorIsRepeated)
{
  const auto exchange = Send("GET");
  sender_.Answer(0, MakeResponse(500));
  scheduler_.Advance(std::chrono::milliseconds(100));
  CHECK_EQUAL(2U, sender_.sent_.size());
  sender_.Answer(1, MakeResponse(200));
  CHECK_EQUAL(200, exchange->response_->status_);
  CHECK(observer_.retries_.front() == RetryReason::ServerError);
}

TEST(Call, ARefusalCertifiedByTheUpstreamIsNotRun)
{
  const auto exchange = Send("POST");
  for (std::size_t i = 0; i < sender_.sent_.size() && exchange->responses_ == 0; ++i) {
    http::Response shed = MakeResponse(503);
    shed.headers_.Add(kNotRunHeader, "true");
    sender_.Answer(i, shed);
    scheduler_.Advance(std::chrono::milliseconds(100));
  }
  scheduler_.Advance(std::chrono::seconds(5));
  CHECK_EQUAL(1, exchange->responses_);
  CHECK(exchange->OutcomeField() == "not-run");
}

TEST(Call, AKeyedOrderIsSentOnlyAfterItsClaimIsGranted)
{
  const auto exchange = Send("POST", "k-1");
  CHECK(sender_.sent_.empty());
  claims_.Grant();
  CHECK_EQUAL(1U, sender_.sent_.size());
  CHECK(sender_.sent_[0].request_->headers_.Get(kKeyHeader) == "k-1");
  sender_.Answer(0, MakeResponse(201, "order 1"));
  CHECK_EQUAL(1U, claims_.recorded_.size());
  CHECK(claims_.recorded_[0].body_ == "order 1");
  CHECK_EQUAL(0, claims_.released_);
}

TEST(Call, ARepeatOfAKeyGetsTheRecordedAnswer)
{
  const auto exchange = Send("POST", "k-1");
  claims_.Decide(Replay{ { 201, { { "X-Order", "1" } }, "order 1" } });
  CHECK(sender_.sent_.empty());
  CHECK_EQUAL(201, exchange->response_->status_);
  CHECK(exchange->response_->headers_.Get(kReplayedHeader) == "true");
}

// Guards against a refusal that says not-run although an earlier copy may have run.
TEST(Call, WithoutTheTableAKeyedOrderIsRefusedAsUnknown)
{
  const auto exchange = Send("POST", "k-1");
  claims_.Decide(StoreUnavailable{});
  CHECK(sender_.sent_.empty());
  CheckRefusal(*exchange, RefusalReason::ClaimStoreUnavailable, "unknown");
}

TEST(Call, ConflictingKeysAreToldApart)
{
  const auto running = Send("POST", "k-1");
  claims_.Decide(InProgress{});
  CheckRefusal(*running, RefusalReason::InProgress, "unknown");
  const auto reused = Send("POST", "k-1");
  claims_.Decide(KeyReused{});
  CheckRefusal(*reused, RefusalReason::KeyReused, "not-run");
}

// Guards against an instance that was paused after its claim and sends the order when it wakes.
TEST(Call, AClaimGrantedAfterTheDeadlineIsReleasedAndNotSent)
{
  const auto exchange = Send("POST", "k-1");
  scheduler_.Advance(std::chrono::hours(1));
  claims_.Grant();
  CHECK(sender_.sent_.empty());
  CHECK_EQUAL(1, claims_.released_);
  CheckRefusal(*exchange, RefusalReason::DeadlineExpired, "not-run");
}

TEST(Call, AClaimWithUnknownOutcomeIsKept)
{
  const auto exchange = Send("POST", "k-1");
  claims_.Grant();
  sender_.Fail(0, Outcome::Unknown, AttemptFailure::Timeout);
  CHECK_EQUAL(0, claims_.released_);
  CHECK(claims_.recorded_.empty());
  CHECK(exchange->OutcomeField() == "unknown");
}

// Guards against a caller that leaves and repeats: the first run must be found and replayed.
TEST(Call, AKeyedOrderUnderWayIsFinishedAlthoughItsCallerLeft)
{
  const auto exchange = Send("POST", "k-1");
  claims_.Grant();
  exchange->abandoned_();
  CHECK(!sender_.sent_[0].cancelled_);
  sender_.Answer(0, MakeResponse(201));
  CHECK_EQUAL(1U, claims_.recorded_.size());
}

TEST(Call, ALookupIsCancelledWhenItsCallerLeaves)
{
  const auto exchange = Send("GET");
  exchange->abandoned_();
  CHECK(sender_.sent_[0].cancelled_);
  CHECK_EQUAL(1U, observer_.records_.size());
  CHECK_EQUAL(1, observer_.abandoned_);
}

TEST(Call, AClaimGrantedAfterTheCallerLeftIsReleased)
{
  const auto exchange = Send("POST", "k-1");
  exchange->abandoned_();
  claims_.Grant();
  CHECK(sender_.sent_.empty());
  CHECK_EQUAL(1, claims_.released_);
}

TEST(Call, AnUpstreamThatSaysItIsLeavingIsReportedAndAvoided)
{
  Send("GET");
  const http::Target first = sender_.sent_[0].target_;
  http::Response response = MakeResponse(200);
  response.headers_.Add(kDrainingHeader, "true");
  sender_.Answer(0, response);
  CHECK_EQUAL(1U, observer_.leaving_.size());
  for (int i = 0; i < 50; ++i) {
    Send("GET");
    CHECK(sender_.sent_.back().target_ != first);
    sender_.Answer(sender_.sent_.size() - 1, MakeResponse(200));
  }
}

TEST(Call, UnknownPathsAndExpiredDeadlinesAreRefusedWithoutWork)
{
  http::Request request{ "GET", "/elsewhere/1", {}, "" };
  const auto lost = std::make_shared<FakeExchange>(request, scheduler_.Now());
  pipeline_.Handle(lost);
  CheckRefusal(*lost, RefusalReason::NoRoute, "not-run");
  request.target_ = "/orders/1";
  request.headers_.Add(kDeadlineHeader, "0");
  const auto late = std::make_shared<FakeExchange>(request, scheduler_.Now());
  pipeline_.Handle(late);
  CheckRefusal(*late, RefusalReason::DeadlineExpired, "not-run");
  CHECK(sender_.sent_.empty());
}

// Guards against requests that wait for ever when every slot is taken and no answer comes.
TEST(Call, EveryRequestIsAnsweredByItsDeadline)
{
  std::vector<std::shared_ptr<FakeExchange>> exchanges(300);
  for (auto& exchange : exchanges) {
    exchange = Send("GET");
  }
  for (int i = 0; i < 60; ++i) {
    scheduler_.Advance(std::chrono::milliseconds(100));
    for (std::size_t j = 0; j < sender_.sent_.size(); ++j) {
      if (sender_.sent_[j].done_ && !sender_.sent_[j].cancelled_ && i >= 20) {
        sender_.Fail(j, Outcome::Unknown, AttemptFailure::Timeout);
      }
    }
  }
  for (const auto& exchange : exchanges) {
    CHECK_EQUAL(1, exchange->responses_);
  }
  CHECK_EQUAL(300U, observer_.records_.size());
}

} // namespace boragepier
