#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "boragepier/entry/pipeline_fakes.h"
#include "boragepier/entry/startup_hold.h"

namespace boragepier {

namespace {

constexpr MonotonicTime kNow{ std::chrono::hours(1) };
constexpr Duration kMs = std::chrono::milliseconds(1);

} // namespace

TEST_GROUP(StartupHold){};

// Guards against callers that learn of a refusal too late to go elsewhere.
TEST(StartupHold, HoldEndsAtAShareOfTheTimeLimit)
{
  StartupHold hold;
  CHECK(*hold.Begin(kNow, std::nullopt, 0, kNow) == kNow + 500 * kMs);
  CHECK(*hold.Begin(kNow, 10'000 * kMs, 0, kNow) == kNow + 500 * kMs);
  CHECK(*hold.Begin(kNow, 400 * kMs, 0, kNow) == kNow + 100 * kMs);
  CHECK(!hold.Begin(kNow, 400 * kMs, 0, kNow + 100 * kMs));
  CHECK(!hold.Begin(kNow, 0 * kMs, 0, kNow));
}

// Guards against memory that held requests fill.
TEST(StartupHold, NumberAndBytesAreLimited)
{
  StartupHoldLimits limits;
  limits.maxRequests_ = 2;
  limits.maxBytes_ = 100;
  StartupHold hold(limits);
  CHECK(!hold.Begin(kNow, std::nullopt, 101, kNow));
  CHECK(hold.Begin(kNow, std::nullopt, 90, kNow).has_value());
  CHECK(!hold.Begin(kNow, std::nullopt, 11, kNow));
  CHECK(hold.Begin(kNow, std::nullopt, 10, kNow).has_value());
  CHECK(!hold.Begin(kNow, std::nullopt, 0, kNow));
  hold.End(90);
  CHECK(hold.Begin(kNow, std::nullopt, 90, kNow).has_value());
}

// Guards against refusals that come late for as long as the store does not answer.
TEST(StartupHold, NothingIsHeldAfterTheFirstPeriod)
{
  StartupHold hold;
  CHECK(hold.Begin(kNow, std::nullopt, 0, kNow).has_value());
  const MonotonicTime late = kNow + 1900 * kMs;
  CHECK(*hold.Begin(late, std::nullopt, 0, late) == kNow + 2000 * kMs);
  const MonotonicTime after = kNow + 2000 * kMs;
  CHECK(!hold.Begin(after, std::nullopt, 0, after));
}

TEST_GROUP(HeldRequests)
{
  FakeScheduler scheduler_;
  FakeSender sender_;
  FakeClaimCoordinator claims_;
  FakeObserver observer_;
  ServiceRouter router_{ InstanceId("i1"), ZoneName("a"), 7 };
  RequestPipeline<FakeScheduler, FakeSender, FakeClaimCoordinator> pipeline_{
    { scheduler_, sender_, claims_, router_, observer_, [] { return WallTime(); } }, "i1-", 1
  };

  void ApplyConfiguration()
  {
    RoutingTable table;
    ServiceRoute& route = table.services_.emplace_back();
    route.version_ = 1;
    route.config_.name_ = ServiceName("order-entry");
    route.config_.pathPrefix_ = "/orders/";
    UpstreamEndpoint& endpoint = route.upstreams_.emplace_back();
    endpoint.id_ = UpstreamId("u1");
    endpoint.address_ = "127.0.0.1";
    endpoint.port_ = 9000;
    endpoint.zone_ = ZoneName("a");
    endpoint.startNumber_ = 1;
    table.instances_.emplace_back("i1");
    router_.Apply(table, scheduler_.Now());
  }

  std::shared_ptr<FakeExchange> Send(const char* aDeadlineMs = "2000")
  {
    http::Request request;
    request.method_ = "GET";
    request.target_ = "/orders/1";
    request.headers_.Add(kDeadlineHeader, aDeadlineMs);
    auto exchange = std::make_shared<FakeExchange>(std::move(request), scheduler_.Now());
    pipeline_.Handle(exchange);
    return exchange;
  }
};

// Guards against refusals in the first moments of an instance that start callers' retries.
TEST(HeldRequests, RequestIsServedOnceThereIsAConfiguration)
{
  const auto exchange = Send();
  scheduler_.Advance(300 * kMs);
  CHECK_EQUAL(0, exchange->responseCount_);
  ApplyConfiguration();
  pipeline_.ReleaseHeld();
  CHECK_EQUAL(1, sender_.sentRequests_.size());
  // The time that it waited counts.
  CHECK(sender_.sentRequests_[0].request_->headers_.Get(kDeadlineHeader) == "1700");
  http::Response response;
  response.status_ = 200;
  sender_.Answer(0, response);
  CHECK_EQUAL(200, exchange->response_->status_);
  scheduler_.Advance(5000 * kMs);
  CHECK_EQUAL(1, exchange->responseCount_);
}

TEST(HeldRequests, RequestIsRefusedAtTheEndOfTheHold)
{
  const auto exchange = Send("800");
  scheduler_.Advance(199 * kMs);
  CHECK_EQUAL(0, exchange->responseCount_);
  scheduler_.Advance(1 * kMs);
  CHECK_EQUAL(1, exchange->responseCount_);
  CHECK(observer_.records_.back().refusal_ == RefusalReason::NotConfigured);
  CHECK(exchange->OutcomeField() == "not-run");
  CHECK(exchange->response_->headers_.Get("Retry-After") == "0.250");
  ApplyConfiguration();
  pipeline_.ReleaseHeld();
  CHECK_EQUAL(0, sender_.sentRequests_.size());
  CHECK_EQUAL(1, exchange->responseCount_);
}

// Guards against requests that are served though their callers have left, and against a wait that
// such a request occupies.
TEST(HeldRequests, RequestOfACallerThatLeavesIsDropped)
{
  const auto gone = Send();
  const auto halfClosed = Send();
  gone->onAbandoned_(http::CallerEnd::Gone);
  halfClosed->onAbandoned_(http::CallerEnd::HalfClosed);
  CHECK_EQUAL(0, gone->responseCount_);
  CHECK_EQUAL(1, halfClosed->responseCount_);
  ApplyConfiguration();
  pipeline_.ReleaseHeld();
  scheduler_.Advance(1000 * kMs);
  CHECK_EQUAL(0, sender_.sentRequests_.size());
  CHECK_EQUAL(2, observer_.records_.size());
}

// Guards against a flood that the instance holds in memory.
TEST(HeldRequests, FurtherRequestsAreRefusedAtOnce)
{
  std::vector<std::shared_ptr<FakeExchange>> held;
  for (std::size_t i = 0; i < StartupHoldLimits{}.maxRequests_; ++i) {
    held.push_back(Send());
  }
  const auto refused = Send();
  CHECK_EQUAL(1, refused->responseCount_);
  ApplyConfiguration();
  pipeline_.ReleaseHeld();
  scheduler_.Advance(5000 * kMs);
  CHECK_EQUAL(
    1, std::count_if(observer_.records_.begin(), observer_.records_.end(), [](const auto& aRecord) {
      return aRecord.refusal_ == RefusalReason::NotConfigured;
    }));
  CHECK(!sender_.sentRequests_.empty());
}

} // namespace boragepier
