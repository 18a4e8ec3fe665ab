#include <charconv>
#include <memory>
#include <string>
#include <vector>

#include "boragepier/entry/call.h"
#include "boragepier/entry/pipeline_fakes.h"

#include <CppUTest/TestHarness.h>

// What probes say about cold upstreams.

namespace boragepier {

namespace {

constexpr const char* kColdField = "X-Cold";

WireDialect
MakeDialect()
{
  WireDialect dialect = NativeDialect();
  dialect.parseFeedback_ = [](const http::Response& aResponse) {
    UpstreamFeedback feedback;
    feedback.load_ = LoadReport{ 0, 2, 1, true };
    if (const auto field = aResponse.headers_.Get(kColdField)) {
      int ms = 0;
      std::from_chars(field->data(), field->data() + field->size(), ms);
      feedback.coldRemaining_ = std::chrono::milliseconds(ms);
    }
    return feedback;
  };
  return dialect;
}

} // namespace

TEST_GROUP(ColdUpstreams)
{
  FakeScheduler scheduler_;
  FakeSender sender_;
  FakeClaimCoordinator claims_;
  FakeObserver observer_;
  ServiceRouter router_{ InstanceId("i1"), ZoneName("a"), 7 };
  WireDialect dialect_ = MakeDialect();
  RequestPipeline<FakeScheduler, FakeSender, FakeClaimCoordinator> pipeline_{
    { scheduler_, sender_, claims_, router_, observer_, [] { return WallTime(); }, dialect_ },
    "i1-",
    1
  };

  void setup() override
  {
    Apply(1);
  }

  void Apply(std::uint64_t aStartNumber)
  {
    RoutingTable table;
    table.instances_.emplace_back("i1");
    ServiceRoute& service = table.services_.emplace_back();
    service.version_ = 1;
    service.config_.name_ = ServiceName("s");
    service.config_.pathPrefix_ = "/s/";
    service.config_.policy_ = PolicyKind::FreshProbes;
    service.config_.probePath_ = "/health";
    service.config_.probesPerUpstreamSecond_ = 1000;
    service.config_.coldRequestsPerSecond_ = 4;
    UpstreamEndpoint& endpoint = service.upstreams_.emplace_back();
    endpoint.id_ = UpstreamId("u");
    endpoint.address_ = "127.0.0.1";
    endpoint.port_ = 9001;
    endpoint.zone_ = ZoneName("a");
    endpoint.startNumber_ = aStartNumber;
    router_.Apply(table, scheduler_.Now());
  }

  void SendRequest()
  {
    http::Request request;
    request.method_ = "POST";
    request.target_ = "/s/1";
    pipeline_.Handle(std::make_shared<FakeExchange>(std::move(request), scheduler_.Now()));
  }

  // Has a probe sent and returns its index.
  std::size_t BeginProbe()
  {
    const std::size_t first = sender_.sentRequests_.size();
    SendRequest();
    scheduler_.Advance(std::chrono::milliseconds(1));
    for (std::size_t i = first; i < sender_.sentRequests_.size(); ++i) {
      if (sender_.sentRequests_[i].request_->target_ == "/health") {
        return i;
      }
    }
    FAIL("no probe");
    return 0;
  }

  void AnswerProbe(std::size_t aIndex, const char* aColdMs)
  {
    http::Response response;
    response.status_ = 200;
    response.headers_.Set(kColdField, aColdMs);
    sender_.Answer(aIndex, std::move(response));
  }

  bool IsLimited()
  {
    return router_.Services()->front()->WithBalancer([&](auto& aBalancer) {
      return aBalancer.IsLimitedWhileCold(UpstreamHandle{ 0 }, scheduler_.Now());
    });
  }
};

// Guards against requests that wait for a connection, and all reach an upstream of which a probe
// has meanwhile said that it is cold.
TEST(ColdUpstreams, UnsentRequestsAreTakenBackWhenAnUpstreamTurnsCold)
{
  scheduler_.Advance(std::chrono::seconds(2));
  AnswerProbe(BeginProbe(), "0");
  CHECK(!IsLimited());
  CHECK(sender_.withdrawn_.empty());
  scheduler_.Advance(std::chrono::milliseconds(100));
  AnswerProbe(BeginProbe(), "3000");
  CHECK(IsLimited());
  CHECK_EQUAL(1U, sender_.withdrawn_.size());
  CHECK_EQUAL(9001, sender_.withdrawn_.front().port_);
  // Those that were dispatched as its share are not taken back.
  scheduler_.Advance(std::chrono::milliseconds(500));
  AnswerProbe(BeginProbe(), "2500");
  CHECK_EQUAL(1U, sender_.withdrawn_.size());
}

// Guards against a late response of an earlier start that says the upstream is warm.
TEST(ColdUpstreams, ProbesOfAnEarlierStartSayNothing)
{
  scheduler_.Advance(std::chrono::seconds(2));
  AnswerProbe(BeginProbe(), "0");
  scheduler_.Advance(std::chrono::milliseconds(100));
  const std::size_t late = BeginProbe();
  Apply(2);
  AnswerProbe(late, "3000");
  CHECK(!IsLimited());
}

// Guards against a probe that takes a late second answer to a request for its own: its dialect has
// to tell them apart as it does for requests.
TEST(ColdUpstreams, ResponsesToProbesAreToldFromThoseToRequests)
{
  dialect_.callerSetsRequestId_ = true;
  const std::size_t probe = BeginProbe();
  const http::SendOptions& options = sender_.sentRequests_[probe].options_;
  CHECK(options.requestIdField_ == dialect_.requestIdField_);
  CHECK(options.singleFields_.data() == dialect_.singleFields_.data());
  CHECK(!dialect_.singleFields_.empty());
  http::SendResult result;
  result.outcome_ = Outcome::Answered;
  result.foreignResponseSkipped_ = true;
  sender_.sentRequests_[probe].done_(std::move(result));
  CHECK_EQUAL(1U, observer_.foreignResponses_.size());
  STRCMP_EQUAL("", observer_.foreignResponses_.front().second.c_str());
}

} // namespace boragepier
