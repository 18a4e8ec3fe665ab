#include "boragepier/admin/admin_server.h"

#include <atomic>
#include <optional>

#include <nlohmann/json.hpp>

#include "boragepier/admin/admin_api.h"
#include "boragepier/http/client.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

using nlohmann::json;

const std::string kServiceFile = "[service]\nname = orders\npath-prefix = /orders/\n";

InstanceStatus
SampleStatus(bool aReady)
{
  InstanceStatus status;
  status.id_ = InstanceId("i-1");
  status.zone_ = ZoneName("a");
  status.ready_ = aReady;
  status.notReadyReason_ = aReady ? "" : "no configuration";
  status.services_ = { { ServiceName("orders"), 7, 5, 3, 2, 1 } };
  return status;
}

// A server whose hooks return the values of the members.
struct AdminServerFixture
{
  std::atomic<bool> ready_ = true;
  std::atomic<bool> statusHookThrows_ = false;
  std::atomic<std::uint64_t> latestVersion_ = 0;
  Metrics metrics_;
  ExplainStore explain_{ 8 };
  AdminServer server_{ "127.0.0.1", 0, Hooks() };

  AdminHooks Hooks()
  {
    return AdminHooksBuilder()
      .WithStatus([this] {
        if (statusHookThrows_) {
          throw Error("control thread busy");
        }
        return SampleStatus(ready_);
      })
      .WithAnnounce([this](const ConfigRecord& aRecord) {
        const bool newer = aRecord.version_ > latestVersion_;
        latestVersion_ = std::max(latestVersion_.load(), aRecord.version_);
        return newer ? AnnounceResult::Accepted : AnnounceResult::Outdated;
      })
      .WithMetrics(metrics_)
      .WithExplain(explain_)
      .Build();
  }

  http::Response Send(http::Request aRequest)
  {
    net::EventLoop loop;
    http::Client client(loop);
    http::SendResult result;
    client.Send({ "127.0.0.1", server_.Port() },
                std::make_shared<http::Request>(std::move(aRequest)),
                { .timeout_ = std::chrono::seconds(20) },
                [&](http::SendResult aResult) {
                  result = std::move(aResult);
                  loop.Stop();
                });
    loop.Run();
    CHECK_TEXT(result.outcome_ == Outcome::Answered,
               std::string(ToString(result.failure_)).c_str());
    return result.response_;
  }
  http::Response Get(const std::string& aTarget) { return Send({ "GET", aTarget, {}, {} }); }
  http::Response Announce(const std::string& aBody)
  {
    return Send({ "POST", "/config/announce", {}, aBody });
  }
  void CheckError(const http::Response& aResponse, int aStatus, const std::string& aError)
  {
    CHECK_EQUAL(aStatus, aResponse.status_);
    STRCMP_EQUAL(aError.c_str(),
                 json::parse(aResponse.body_).at("error").get<std::string>().c_str());
  }
};

std::string
EncodedRecord(std::uint64_t aVersion, const std::string& aService, const std::string& aBody)
{
  return EncodeConfigRecord({ ServiceName(aService), aVersion, "p-1", aBody });
}

} // namespace

TEST_GROUP(AdminServer){};

TEST(AdminServer, ReportsReadinessStatusAndMetrics)
{
  AdminServerFixture fixture;
  fixture.metrics_.SetPeerCount(3);
  CHECK_EQUAL(200, fixture.Get("/live").status_);
  CHECK_EQUAL(200, fixture.Get("/ready").status_);
  fixture.ready_ = false;
  const http::Response notReady = fixture.Get("/ready");
  CHECK_EQUAL(503, notReady.status_);
  CHECK(json::parse(notReady.body_).at("reason") == "no configuration");
  CHECK(DecodeInstanceStatus(fixture.Get("/status").body_) == SampleStatus(false));
  CHECK(fixture.Get("/metrics").body_.View().find("\nboragepier_peers 3\n") != std::string::npos);
}

TEST(AdminServer, ExplainsByIdAndLast)
{
  AdminServerFixture fixture;
  for (int i = 0; i < 3; ++i) {
    ExplainRecord record;
    record.id_ = RequestId("r" + std::to_string(i));
    fixture.explain_.Add(record);
  }
  CHECK(json::parse(fixture.Get("/explain?id=r1").body_).at("requestId") == "r1");
  const json last = json::parse(fixture.Get("/explain?last=2").body_);
  CHECK(last.size() == 2 && last.at(0).at("requestId") == "r2");
  fixture.CheckError(fixture.Get("/explain?id=r9"), 404, "request-unknown");
}

// Invalid input must neither reach the announce hook nor cause a 5xx.
TEST(AdminServer, InvalidInputIsRefusedWithNamedError)
{
  AdminServerFixture fixture;
  for (const char* query : { "",
                             "?",
                             "?id=",
                             "?id=a%20b",
                             "?last=0",
                             "?last=257",
                             "?last=-1",
                             "?last=1x",
                             "?last=",
                             "?last=99999999999999999999",
                             "?x=1" }) {
    fixture.CheckError(fixture.Get(std::string("/explain") + query), 400, "bad-query");
  }
  fixture.CheckError(fixture.Get("/"), 404, "not-found");
  fixture.CheckError(fixture.Get("/statusx"), 404, "not-found");
  fixture.CheckError(fixture.Send({ "DELETE", "/status", {}, {} }), 405, "method-not-allowed");
  fixture.CheckError(fixture.Get("/config/announce"), 405, "method-not-allowed");
  fixture.CheckError(fixture.Announce(""), 400, "bad-record");
  fixture.CheckError(fixture.Announce("{\"service\":1}"), 400, "bad-record");
  fixture.CheckError(fixture.Announce(std::string(100000, '[')), 400, "bad-record");
  fixture.CheckError(fixture.Announce(EncodedRecord(0, "orders", kServiceFile)), 400, "bad-record");
  fixture.CheckError(fixture.Announce(EncodedRecord(1, "other", kServiceFile)), 400, "bad-record");
  fixture.CheckError(fixture.Announce(EncodedRecord(1, "orders", kServiceFile + "x = 1\n")),
                     422,
                     "bad-configuration");
  fixture.CheckError(
    fixture.Announce(std::string(kMaxAnnounceBodyBytes + 1, 'x')), 413, "body-too-large");
  CHECK_EQUAL(0U, fixture.latestVersion_.load());
}

TEST(AdminServer, AnnouncedRecordReachesTheHook)
{
  AdminServerFixture fixture;
  const http::Response first = fixture.Announce(EncodedRecord(8, "orders", kServiceFile));
  CHECK_EQUAL(200, first.status_);
  CHECK(json::parse(first.body_).at("result") == "accepted");
  CHECK_EQUAL(8U, fixture.latestVersion_.load());
  const http::Response second = fixture.Announce(EncodedRecord(8, "orders", kServiceFile));
  CHECK(json::parse(second.body_).at("result") == "outdated");
}

// An exception in a hook must not terminate the process.
TEST(AdminServer, FailingHookGives503)
{
  AdminServerFixture fixture;
  fixture.statusHookThrows_ = true;
  fixture.CheckError(fixture.Get("/status"), 503, "unavailable");
  fixture.statusHookThrows_ = false;
  CHECK_EQUAL(200, fixture.Get("/status").status_);
}

TEST(AdminServer, UnusableAddressOrMissingHooksThrow)
{
  AdminServerFixture fixture;
  CHECK_THROWS(AdminListenError, AdminServer("127.0.0.1", fixture.server_.Port(), fixture.Hooks()));
  CHECK_THROWS(AdminListenError, AdminServer("192.0.2.1", 0, fixture.Hooks()));
  CHECK_THROWS(AdminHooksError, AdminHooksBuilder().Build());
}

} // namespace boragepier
