#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "boragepier/entry/call.h"
#include "boragepier/entry/pipeline_fakes.h"
#include "boragepier/entry/team_fakes.h"

#include <CppUTest/TestHarness.h>

// Requests of teams with a quota.

namespace boragepier {

namespace {

constexpr const char* kPath = "/teams/1";

/// Gate that gives the verdict of the test, and counts the credit.
class FakeGate : public QuotaGate
{
public:
  QuotaVerdict Admit(const Team& aTeam,
                     MonotonicTime aNow,
                     MonotonicTime aWaitUntil,
                     QuotaCallback aCallback) override
  {
    ++asked_;
    waitsFor_ = aWaitUntil - aNow;
    callback_ = std::move(aCallback);
    verdict_.credit_ = { aTeam.id_, aNow + std::chrono::seconds(1) };
    return verdict_;
  }
  void Return(const QuotaCredit&, MonotonicTime) override { ++returned_; }

  QuotaVerdict verdict_{ QuotaVerdict::Kind::Admitted, {}, {} };
  QuotaCallback callback_;
  Duration waitsFor_{};
  int asked_ = 0;
  int returned_ = 0;
};

} // namespace

TEST_GROUP(TeamQuota)
{
  FakeScheduler scheduler_;
  FakeSender sender_;
  FakeClaimCoordinator claims_;
  FakeObserver observer_;
  FakeGate gate_;
  ServiceRouter router_{ InstanceId("i1"), ZoneName("a"), 7 };
  WireDialect dialect_ = MakeTeamDialect();
  RequestPipeline<FakeScheduler, FakeSender, FakeClaimCoordinator> pipeline_{ { scheduler_,
                                                                                sender_,
                                                                                claims_,
                                                                                router_,
                                                                                observer_,
                                                                                [] {
                                                                                  return WallTime();
                                                                                },
                                                                                dialect_,
                                                                                &gate_ },
                                                                              "i1-",
                                                                              1 };
  TeamDirectory teams_;
  int upstreamCount_ = 2;

  void setup() override
  {
    std::vector<TeamTerms> terms(2);
    terms[0].name_ = TeamName("limited");
    terms[0].ratePerSecond_ = 10;
    terms[1].name_ = TeamName("free");
    teams_.SetTeams(terms);
    teams_.SetKey(DigestOfKey("key-l"), TeamName("limited"));
    teams_.SetKey(DigestOfKey("key-f"), TeamName("free"));
    Apply();
  }

  void Apply()
  {
    RoutingTable table =
      MakeTeamTable(std::vector{ MakeTeamRoute("teams", "/teams/") }, teams_, upstreamCount_);
    table.services_.front().config_.retrySlack_ = 10;
    router_.Apply(table, scheduler_.Now());
  }

  std::shared_ptr<FakeExchange> Send(const char* aKey)
  {
    http::Request request;
    request.method_ = "GET";
    request.target_ = kPath;
    request.headers_.Add("Host", "a.example");
    request.headers_.Add(kCallerKeyField, aKey);
    auto exchange = std::make_shared<FakeExchange>(std::move(request), scheduler_.Now());
    pipeline_.Handle(exchange);
    return exchange;
  }

  void SetVerdict(QuotaVerdict::Kind aKind, Duration aRetryAfter = {})
  {
    gate_.verdict_.kind_ = aKind;
    gate_.verdict_.retryAfter_ = aRetryAfter;
  }

  // Decides the request that waits.
  void Decide(QuotaVerdict::Kind aKind)
  {
    QuotaVerdict verdict = gate_.verdict_;
    verdict.kind_ = aKind;
    gate_.callback_(verdict);
    scheduler_.Advance({});
  }

  static void CheckOverQuota(const FakeExchange& aExchange)
  {
    CHECK_EQUAL(1, aExchange.responseCount_);
    CHECK_EQUAL(429, aExchange.response_->status_);
    CHECK(aExchange.OutcomeField() == "not-run");
    CHECK(aExchange.response_->headers_.Get("Retry-After").has_value());
  }
};

// With none of it configured, a request costs nothing.
TEST(TeamQuota, TeamWithoutLimitIsNotCounted)
{
  Send("key-f");
  CHECK_EQUAL(0, gate_.asked_);
  CHECK_EQUAL(1U, sender_.sentRequests_.size());
}

TEST(TeamQuota, RequestOverTheQuotaIsRefused)
{
  SetVerdict(QuotaVerdict::Kind::Refused, std::chrono::milliseconds(1250));
  const auto exchange = Send("key-l");
  CheckOverQuota(*exchange);
  CHECK(exchange->response_->headers_.Get("Retry-After") == "1.250");
  CHECK(sender_.sentRequests_.empty());
  CHECK(observer_.records_.back().refusal_ == RefusalReason::QuotaExceeded);
  CHECK_EQUAL(0, gate_.returned_);
}

TEST(TeamQuota, CreditOfARequestThatIsSentIsUsed)
{
  Send("key-l");
  CHECK_EQUAL(1, gate_.asked_);
  sender_.Fail(0, Outcome::NotRun, AttemptFailure::ConnectFailed);
  scheduler_.Advance(std::chrono::milliseconds(1));
  CHECK_EQUAL(2U, sender_.sentRequests_.size());
  CHECK_EQUAL(1, gate_.asked_); // a retry is the same request
  http::Response response;
  response.status_ = 200;
  sender_.Answer(1, std::move(response));
  CHECK_EQUAL(0, gate_.returned_);
}

// Guards against a quota that is used up by requests that no upstream received.
TEST(TeamQuota, CreditIsReturnedOnceIfTheRequestIsRefusedOtherwise)
{
  upstreamCount_ = 0;
  Apply();
  const auto exchange = Send("key-l");
  scheduler_.Advance(std::chrono::seconds(60));
  CHECK_EQUAL(1, exchange->responseCount_);
  CHECK_EQUAL(503, exchange->response_->status_);
  CHECK_EQUAL(1, gate_.asked_);
  CHECK_EQUAL(1, gate_.returned_);
}

TEST(TeamQuota, RequestWaitsForCredit)
{
  SetVerdict(QuotaVerdict::Kind::Waits);
  const auto exchange = Send("key-l");
  CHECK(gate_.waitsFor_ == std::chrono::milliseconds(250));
  CHECK(sender_.sentRequests_.empty());
  Decide(QuotaVerdict::Kind::Admitted);
  CHECK_EQUAL(1U, sender_.sentRequests_.size());
  scheduler_.Advance(std::chrono::seconds(1));
  CHECK_EQUAL(0, exchange->responseCount_); // the end of the wait does not refuse it
}

TEST(TeamQuota, RequestThatWaitsIsRefusedByItsVerdict)
{
  SetVerdict(QuotaVerdict::Kind::Waits, std::chrono::seconds(2));
  const auto exchange = Send("key-l");
  Decide(QuotaVerdict::Kind::Refused);
  CheckOverQuota(*exchange);
  CHECK(exchange->response_->headers_.Get("Retry-After") == "2.000");
}

// Guards against a request that waits for a control thread that hangs, and against credit that
// arrives after the refusal and is lost.
TEST(TeamQuota, WaitEndsWithoutAVerdict)
{
  SetVerdict(QuotaVerdict::Kind::Waits);
  const auto exchange = Send("key-l");
  scheduler_.Advance(std::chrono::milliseconds(250));
  CheckOverQuota(*exchange);
  Decide(QuotaVerdict::Kind::Admitted);
  CHECK_EQUAL(1, gate_.returned_);
  CHECK_EQUAL(1, exchange->responseCount_);
  CHECK(sender_.sentRequests_.empty());
}

TEST(TeamQuota, CallerThatLeavesGivesItsCreditBack)
{
  SetVerdict(QuotaVerdict::Kind::Waits);
  const auto exchange = Send("key-l");
  exchange->onAbandoned_(http::CallerEnd::Gone);
  Decide(QuotaVerdict::Kind::Admitted);
  CHECK_EQUAL(1, gate_.returned_);
  CHECK(sender_.sentRequests_.empty());
}

// Guards against a withdrawn key whose request goes on because it waited for credit.
TEST(TeamQuota, WithdrawnKeyEndsTheWait)
{
  SetVerdict(QuotaVerdict::Kind::Waits);
  const auto exchange = Send("key-l");
  teams_.RemoveKey(DigestOfKey("key-l"));
  Apply();
  Decide(QuotaVerdict::Kind::Admitted);
  CHECK_EQUAL(401, exchange->response_->status_);
  CHECK_EQUAL(1, gate_.returned_);
}

} // namespace boragepier
