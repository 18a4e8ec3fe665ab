#include <memory>
#include <string>
#include <vector>

#include "boragepier/entry/call.h"
#include "boragepier/entry/pipeline_fakes.h"
#include "boragepier/entry/team_fakes.h"

#include <CppUTest/TestHarness.h>

// Callers that identify themselves by the key of a team.

namespace boragepier {

namespace {

constexpr const char* kPublicPath = "/public/1";
constexpr const char* kTeamPath = "/teams/1";

std::vector<RouteConfig>
MakeRoutes()
{
  std::vector<RouteConfig> routes = { MakeTeamRoute("teams", "/teams/"),
                                      MakeTeamRoute("public", "/public/") };
  routes[1].public_ = true;
  for (RouteConfig& route : routes) {
    route.priority_ = 3;
  }
  return routes;
}

} // namespace

TEST_GROUP(TeamKey)
{
  FakeScheduler scheduler_;
  FakeSender sender_;
  FakeClaimCoordinator claims_;
  FakeObserver observer_;
  ServiceRouter router_{ InstanceId("i1"), ZoneName("a"), 7 };
  WireDialect dialect_ = MakeTeamDialect();
  RequestPipeline<FakeScheduler, FakeSender, FakeClaimCoordinator> pipeline_{
    { scheduler_, sender_, claims_, router_, observer_, [] { return WallTime(); }, dialect_ },
    "i1-",
    1
  };
  TeamDirectory teams_;
  int upstreamCount_ = 2;

  void setup() override
  {
    std::vector<TeamTerms> terms(2);
    terms[0].name_ = TeamName("north");
    terms[0].priority_ = 1;
    terms[1].name_ = TeamName("south");
    teams_.SetTeams(terms);
    teams_.SetKey(DigestOfKey("key-n"), TeamName("north"));
    teams_.SetKey(DigestOfKey("key-s"), TeamName("south"));
    Apply(true);
  }

  void Apply(bool aKeysRequired)
  {
    RoutingTable table = MakeTeamTable(MakeRoutes(), teams_, upstreamCount_);
    table.keysRequired_ = aKeysRequired;
    router_.Apply(table, scheduler_.Now());
  }

  std::shared_ptr<FakeExchange> Send(
    const char* aPath, const std::vector<std::string>& aKeys, const char* aMethod = "POST")
  {
    http::Request request;
    request.method_ = aMethod;
    request.target_ = aPath;
    request.headers_.Add("Host", "a.example");
    request.headers_.Add("x-team", "forged");
    for (const std::string& key : aKeys) {
      request.headers_.Add("x-caller-KEY", key);
    }
    auto exchange = std::make_shared<FakeExchange>(std::move(request), scheduler_.Now());
    pipeline_.Handle(exchange);
    return exchange;
  }

  const http::Headers& LastSent() const
  {
    return sender_.sentRequests_.back().request_->headers_;
  }

  void CheckRejected(const FakeExchange& aExchange)
  {
    CHECK_EQUAL(1, aExchange.responseCount_);
    CHECK_EQUAL(401, aExchange.response_->status_);
    CHECK(aExchange.OutcomeField() == "not-run");
  }
};

// Guards against an upstream that learns the key, or takes a team that the caller names for the
// caller's.
TEST(TeamKey, UpstreamsReceiveTheTeamInsteadOfTheKey)
{
  Send(kTeamPath, { "key-n" });
  CHECK_EQUAL(1U, sender_.sentRequests_.size());
  CHECK(LastSent().Get(kTeamField) == "north");
  CHECK(!LastSent().Get(kCallerKeyField));
  Send(kTeamPath, { "key-s" });
  CHECK(LastSent().Get(kTeamField) == "south");
}

TEST(TeamKey, UnknownKeysAreRejected)
{
  CheckRejected(*Send(kTeamPath, {}));
  for (const std::string& key : { std::string(),
                                  std::string("other"),
                                  std::string("key-n "),
                                  std::string("\xff\x01"),
                                  std::string(64 << 10, 'k') }) {
    CheckRejected(*Send(kTeamPath, { key }));
  }
  // It would be unclear whose request it is.
  CheckRejected(*Send(kTeamPath, { "key-n", "key-s" }));
  CheckRejected(*Send(kTeamPath, { "key-n", "key-n" }));
  CHECK(sender_.sentRequests_.empty());
}

TEST(TeamKey, PublicRoutesNeedNoKey)
{
  Send(kPublicPath, {});
  CHECK_EQUAL(1U, sender_.sentRequests_.size());
  CHECK(!LastSent().Get(kTeamField));
  Send(kPublicPath, { "other" });
  CHECK_EQUAL(2U, sender_.sentRequests_.size());
  CHECK(!LastSent().Get(kCallerKeyField));
}

// A path that leads nowhere is no secret, and callers should not be told that their key is wrong.
TEST(TeamKey, UnknownRoutesAreNotFound)
{
  const auto exchange = Send("/elsewhere/", {});
  CHECK_EQUAL(404, exchange->response_->status_);
}

// Guards against callers that are told that their key is wrong by an instance that knows no keys.
TEST(TeamKey, InstanceWithoutConfigurationIsUnavailable)
{
  ServiceRouter router{ InstanceId("i2"), ZoneName("a"), 7 };
  RequestPipeline<FakeScheduler, FakeSender, FakeClaimCoordinator> pipeline{
    { scheduler_, sender_, claims_, router, observer_, [] { return WallTime(); }, dialect_ },
    "i2-",
    1
  };
  http::Request request;
  request.method_ = "GET";
  request.target_ = kTeamPath;
  const auto exchange = std::make_shared<FakeExchange>(std::move(request), scheduler_.Now());
  pipeline.Handle(exchange);
  // It waits for a configuration first.
  CHECK(!exchange->response_);
  scheduler_.Advance(std::chrono::seconds(1));
  CHECK(exchange->response_.has_value());
  CHECK_EQUAL(503, exchange->response_->status_);
}

// Without keys in the configuration, the fields are those of the caller.
TEST(TeamKey, FieldsPassUnlessKeysAreRequired)
{
  Apply(false);
  Send(kTeamPath, { "any" });
  CHECK(LastSent().Get(kCallerKeyField) == "any");
  CHECK(LastSent().Get(kTeamField) == "forged");
}

TEST(TeamKey, KeysAreAddedAndWithdrawnByNewConfigurations)
{
  CheckRejected(*Send(kTeamPath, { "key-new" }));
  teams_.SetKey(DigestOfKey("key-new"), TeamName("south"));
  teams_.RemoveKey(DigestOfKey("key-n"));
  Apply(true);
  Send(kTeamPath, { "key-new" });
  CHECK(LastSent().Get(kTeamField) == "south");
  CheckRejected(*Send(kTeamPath, { "key-n" }));
}

// Guards against a withdrawn key whose requests go on to upstreams because they came before.
TEST(TeamKey, WithdrawnKeyEndsRetries)
{
  const auto exchange = Send(kTeamPath, { "key-n" });
  CHECK_EQUAL(1U, sender_.sentRequests_.size());
  teams_.RemoveKey(DigestOfKey("key-n"));
  Apply(true);
  sender_.Fail(0, Outcome::NotRun, AttemptFailure::ConnectFailed);
  scheduler_.Advance(std::chrono::milliseconds(1));
  CHECK_EQUAL(1U, sender_.sentRequests_.size());
  CheckRejected(*exchange);
}

// Guards against a request that is rejected though its key is still valid, and against one that
// counts for a team which no longer has the key.
TEST(TeamKey, RequestsGoOnForTheTeamThatHasTheKeyNow)
{
  Send(kTeamPath, { "key-n" });
  teams_.SetKey(DigestOfKey("key-n"), TeamName("south"));
  Apply(true);
  sender_.Fail(0, Outcome::NotRun, AttemptFailure::ConnectFailed);
  scheduler_.Advance(std::chrono::milliseconds(1));
  CHECK_EQUAL(2U, sender_.sentRequests_.size());
  CHECK(LastSent().Get(kTeamField) == "south");
}

// Guards against requests that wait and are rejected because callers need no keys any more, and
// against a key that is then passed on.
TEST(TeamKey, RequestsGoOnWhenKeysAreNoLongerRequired)
{
  Send(kTeamPath, { "key-n" });
  Apply(false);
  sender_.Fail(0, Outcome::NotRun, AttemptFailure::ConnectFailed);
  scheduler_.Advance(std::chrono::milliseconds(1));
  CHECK_EQUAL(2U, sender_.sentRequests_.size());
  CHECK(!LastSent().Get(kCallerKeyField));
}

// A retry after an unchanged or another configuration goes on.
TEST(TeamKey, RetriesGoOnWithAValidKey)
{
  Send(kTeamPath, { "key-n" });
  teams_.RemoveKey(DigestOfKey("key-s"));
  Apply(true);
  sender_.Fail(0, Outcome::NotRun, AttemptFailure::ConnectFailed);
  scheduler_.Advance(std::chrono::milliseconds(1));
  CHECK_EQUAL(2U, sender_.sentRequests_.size());
  CHECK(LastSent().Get(kTeamField) == "north");
}

} // namespace boragepier
