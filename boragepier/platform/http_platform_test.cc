#include "boragepier/platform/http_platform.h"

#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "boragepier/http/server.h"
#include "boragepier/platform/instance_codec.h"
#include "boragepier/state/claim_service.h"
#include "boragepier/state/write_batcher.h"
#include "testing/platform/platform_server.h"

#include <CppUTest/TestHarness.h>

namespace boragepier::platform {

using namespace std::chrono_literals;
using testing::PlatformServer;
using Kind = TableOperation::Kind;
using Status = TableReply::Status;

// Runs the adapters in a loop thread of their own. Each function waits for its callback.
class AdapterThread
{
public:
  // @param aStartServer starts a platform server on the given loop and returns its port
  template<typename StartServer>
  explicit AdapterThread(StartServer aStartServer)
    : client_(std::make_unique<http::Client>(loop_))
  {
    PlatformOptions options;
    options.target_ = { "127.0.0.1", aStartServer(loop_) };
    platform_ = std::make_unique<PlatformClient>(loop_, *client_, options);
    list_ = std::make_unique<HttpInstanceList>(*platform_);
    thread_ = std::thread([this] { loop_.Run(); });
  }

  ~AdapterThread()
  {
    loop_.Stop();
    thread_.join();
    client_.reset();
  }
  AdapterThread(const AdapterThread&) = delete;
  AdapterThread& operator=(const AdapterThread&) = delete;

  // Runs aFunction(done) in the loop thread and waits until it has called done(result).
  template<typename Result, typename Function>
  Result Await(Function aFunction)
  {
    std::promise<Result> promise;
    loop_.Post(
      [&] { aFunction([&promise](Result aResult) { promise.set_value(std::move(aResult)); }); });
    return promise.get_future().get();
  }

  TableReply Submit(const TableRequest& aRequest, Duration aTimeout = 10s)
  {
    return Await<TableReply>([&](auto aDone) {
      HttpTableStore(*platform_).Submit(aRequest, loop_.Now() + aTimeout, aDone);
    });
  }

  std::optional<std::vector<ListedProcess>> Fetch()
  {
    return Await<std::optional<std::vector<ListedProcess>>>(
      [&](auto aDone) { list_->Fetch(aDone); });
  }

  http::SendResult Send(const std::string& aMethod, const std::string& aTarget, std::string aBody)
  {
    return Await<http::SendResult>([&](auto aDone) {
      platform_->Send({ aMethod, aTarget, {}, std::move(aBody) }, true, loop_.Now() + 10s, aDone);
    });
  }

  net::EventLoop& Loop() { return loop_; }
  PlatformClient& Platform() { return *platform_; }

private:
  net::EventLoop loop_;
  std::unique_ptr<http::Client> client_;
  std::unique_ptr<PlatformClient> platform_;
  std::unique_ptr<HttpInstanceList> list_;
  std::thread thread_;
};

TEST_GROUP(HttpPlatform)
{
  std::unique_ptr<PlatformServer> server_;
  std::unique_ptr<AdapterThread> adapters_;

  void setup() override
  {
    adapters_ = std::make_unique<AdapterThread>([this](net::EventLoop& aLoop) {
      server_ = std::make_unique<PlatformServer>(aLoop);
      return server_->Listen("127.0.0.1", 0);
    });
  }

  void teardown() override
  {
    // The server uses the loop, so it is destroyed in the loop thread, before the loop.
    adapters_->Loop().Post([this] { server_.reset(); });
    adapters_->Await<bool>([](auto aDone) { aDone(true); });
    adapters_.reset();
  }

  // Sets fault switches of the platform server, given as a JSON object.
  void SetServerSwitches(const std::string& aSwitches)
  {
    CHECK_EQUAL(200, adapters_->Send("POST", "/control", aSwitches).response_.status_);
  }

  static TableRequest InsertRequest(const std::string& aKey, const std::string& aValue = "v")
  {
    return { { { .kind_ = Kind::Insert, .key_ = aKey, .value_ = aValue } } };
  }

  static TableRequest GetRequest(const std::string& aKey)
  {
    return { { { .key_ = aKey } } };
  }
};

TEST(HttpPlatform, RowsAreWrittenAndReadAndAStaleDeleteIsNotApplied)
{
  const std::string binaryValue("a\0\xff", 3);
  const TableReply inserted = adapters_->Submit(InsertRequest("k", binaryValue));
  CHECK(inserted.status_ == Status::Done);
  CHECK_TRUE(inserted.results_[0].applied_);
  const std::uint64_t revision = inserted.results_[0].row_->revision_;
  CHECK_FALSE(adapters_->Submit(InsertRequest("k")).results_[0].applied_);
  CHECK(adapters_->Submit(GetRequest("k")).results_[0].row_->value_ == binaryValue);
  const TableReply updated = adapters_->Submit(
    { { { .kind_ = Kind::Update, .key_ = "k", .value_ = "w", .expectedRevision_ = revision } } });
  CHECK_TRUE(updated.results_[0].applied_);
  const TableRequest remove{
    { { .kind_ = Kind::Delete, .key_ = "k", .expectedRevision_ = revision } }
  };
  CHECK_FALSE(adapters_->Submit(remove).results_[0].applied_);
  CHECK_EQUAL(1U, adapters_->Submit({ { { .kind_ = Kind::Scan } } }).results_[0].scanned_.size());
}

TEST(HttpPlatform, RefusedWriteIsUnavailableAndNotApplied)
{
  SetServerSwitches(R"({"table_down":true})");
  CHECK(adapters_->Submit(InsertRequest("k")).status_ == Status::Unavailable);
  SetServerSwitches(R"({"table_down":false})");
  CHECK_FALSE(adapters_->Submit(GetRequest("k")).results_[0].row_.has_value());
}

// Guards against reporting a write as not applied because its connection broke before the response.
TEST(HttpPlatform, WriteWithALostResponseIsUnknownAndApplied)
{
  SetServerSwitches(R"({"lose_next_write_answers":1})");
  CHECK(adapters_->Submit(InsertRequest("k")).status_ == Status::Unknown);
  CHECK_TRUE(adapters_->Submit(GetRequest("k")).results_[0].row_.has_value());
}

TEST(HttpPlatform, WriteToADownPlatformIsUnknownAndAfterTheDeadlineUnavailable)
{
  SetServerSwitches(R"({"down":true})");
  CHECK(adapters_->Submit(InsertRequest("k")).status_ == Status::Unknown);
  CHECK_FALSE(adapters_->Fetch().has_value());
  CHECK(adapters_->Submit(InsertRequest("k"), -1s).status_ == Status::Unavailable);
}

TEST(HttpPlatform, SlowResponseIsUnknownAtTheDeadline)
{
  SetServerSwitches(R"({"slow_ms":60000})");
  CHECK(adapters_->Submit(InsertRequest("k"), 20ms).status_ == Status::Unknown);
}

// Guards against a platform server that shows processes before its list lag has passed, and that
// accepts a registration under another id.
TEST(HttpPlatform, ListHoldsRegisteredProcessesAfterItsLag)
{
  const ListedProcess process{ "u-1", "upstream", "s", "127.0.0.1", 80, 0, "a", 7, true };
  CHECK_EQUAL(200,
              adapters_->Send("PUT", "/instances/u-1", EncodeProcess(process)).response_.status_);
  CHECK_EQUAL(400,
              adapters_->Send("PUT", "/instances/u-2", EncodeProcess(process)).response_.status_);
  CHECK_EQUAL(1U, adapters_->Fetch()->size());
  SetServerSwitches(R"({"list_lag_ms":60000})");
  CHECK_EQUAL(0U, adapters_->Fetch()->size());
  SetServerSwitches(R"({"list_lag_ms":0,"list_down":true})");
  CHECK_FALSE(adapters_->Fetch().has_value());
  SetServerSwitches(R"({"list_down":false})");
  CHECK_EQUAL(200, adapters_->Send("DELETE", "/instances/u-1", "").response_.status_);
  CHECK_EQUAL(0U, adapters_->Fetch()->size());
}

// Guards against spending network bandwidth on transferring an unchanged list again.
TEST(HttpPlatform, UnchangedListIsNotSentAgain)
{
  const ListedProcess process{ "u-1", "upstream", "s", "127.0.0.1", 80, 0, "a", 7, false };
  adapters_->Send("PUT", "/instances/u-1", EncodeProcess(process));
  CHECK_EQUAL(1U, adapters_->Fetch()->size());
  CHECK(adapters_->Fetch()->at(0).id_ == process.id_);
  const auto unchangedFetches = [&] {
    return nlohmann::json::parse(adapters_->Send("GET", "/control/counts", "").response_.body_)
      .at("list_unchanged")
      .get<int>();
  };
  CHECK_EQUAL(1, unchangedFetches());
  adapters_->Send("DELETE", "/instances/u-1", "");
  CHECK_EQUAL(0U, adapters_->Fetch()->size());
  CHECK_EQUAL(1, unchangedFetches());
}

TEST(HttpPlatform, ObjectsAreStoredAndRead)
{
  HttpObjectStore store(adapters_->Platform());
  net::EventLoop& loop = adapters_->Loop();
  const auto put = [&](const std::string& aName) {
    return adapters_->Await<ObjectStatus>(
      [&](auto aDone) { store.Put(aName, "bytes", loop.Now() + 10s, aDone); });
  };
  const auto get = [&](const std::string& aName) {
    return adapters_->Await<std::pair<ObjectStatus, std::string>>([&](auto aDone) {
      store.Get(aName, loop.Now() + 10s, [aDone](ObjectStatus aStatus, std::string aBytes) {
        aDone({ aStatus, std::move(aBytes) });
      });
    });
  };
  CHECK(put("a.b") == ObjectStatus::Done);
  STRCMP_EQUAL("bytes", get("a.b").second.c_str());
  CHECK(get("c").first == ObjectStatus::NotFound);
  CHECK(put("../table") == ObjectStatus::Unavailable);
}

TEST(HttpPlatform, CountersSeparateReadsWritesAndListReads)
{
  adapters_->Submit({ { { .kind_ = Kind::Insert, .key_ = "a" }, { .key_ = "b" } } });
  adapters_->Submit(GetRequest("a"));
  adapters_->Fetch();
  const auto counts =
    nlohmann::json::parse(adapters_->Send("GET", "/control/counts", "").response_.body_);
  CHECK_EQUAL(1, counts.at("writes").get<int>());
  CHECK_EQUAL(1, counts.at("reads").get<int>());
  CHECK_EQUAL(3, counts.at("operations").get<int>());
  CHECK_EQUAL(1, counts.at("list_reads").get<int>());
}

TEST(HttpPlatform, UnknownSwitchAndInvalidRequestAreRefused)
{
  CHECK_EQUAL(400, adapters_->Send("POST", "/control", R"({"dwon":true})").response_.status_);
  CHECK_EQUAL(400, adapters_->Send("POST", "/table", "{}").response_.status_);
}

// Guards against store, write batcher and claim service that pass their own tests but do not work
// together. The response to the insert is lost, and the claim is granted by reading the row back.
TEST(HttpPlatform, ClaimWithALostResponseIsGrantedByReadingBack)
{
  SetServerSwitches(R"({"lose_next_write_answers":1})");
  HttpTableStore store(adapters_->Platform());
  WriteBatcher<HttpTableStore> batcher(store);
  ClaimService<WriteBatcher<HttpTableStore>> claims(batcher, InstanceId("i-1"), Random(1));
  net::EventLoop& loop = adapters_->Loop();
  const bool granted = adapters_->Await<bool>([&](auto aDone) {
    claims.Claim(
      { ServiceName("s"), "key", "f", loop.Now() + 10s, WallTime(1s) },
      loop.Now(),
      [aDone](const ClaimResult& aResult) { aDone(std::holds_alternative<Granted>(aResult)); });
  });
  CHECK_TRUE(granted);
  CHECK_EQUAL(1U, claims.Counters().resolvedByReadBack_);
  CHECK_EQUAL(1U, adapters_->Submit({ { { .kind_ = Kind::Scan } } }).results_[0].scanned_.size());
}

TEST_GROUP(InvalidPlatformResponse){
  // Returns the status of a write to which the platform responds with this HTTP status and body.
  static Status StatusOfWriteAnsweredWith(int aStatus, const std::string& aBody){
    std::unique_ptr<http::Server> server;
AdapterThread adapters([&](net::EventLoop& aLoop) {
  server = std::make_unique<http::Server>(
    aLoop,
    http::ServerLimits{},
    [=](const std::shared_ptr<http::Exchange>& aExchange) {
      http::Response response;
      response.status_ = aStatus;
      response.body_ = aBody;
      aExchange->Respond(response);
    },
    [](RefusalReason) {
      return http::Response{ 400, {}, {} };
    });
  return server->Listen("127.0.0.1", 0);
});
const TableReply reply = adapters.Submit({ { { .kind_ = Kind::Insert, .key_ = "k" } } });
adapters.Loop().Post([&] { server.reset(); });
adapters.Await<bool>([](auto aDone) { aDone(true); });
return reply.status_;
}
}
;

// Guards against treating a write as applied, or as not applied, because of a response that proves
// neither.
TEST(InvalidPlatformResponse, ResponseWithoutProofIsUnknown)
{
  CHECK(StatusOfWriteAnsweredWith(200, "") == Status::Unknown);
  CHECK(StatusOfWriteAnsweredWith(200, R"({"results":[]})") == Status::Unknown);
  CHECK(StatusOfWriteAnsweredWith(200, R"({"not_applied":true})") == Status::Unknown);
  CHECK(StatusOfWriteAnsweredWith(503, "") == Status::Unknown);
  CHECK(StatusOfWriteAnsweredWith(503, R"({"not_applied":"yes"})") == Status::Unknown);
  CHECK(StatusOfWriteAnsweredWith(404, "<html>") == Status::Unknown);
  CHECK(StatusOfWriteAnsweredWith(503, R"({"not_applied":true})") == Status::Unavailable);
}

} // namespace boragepier::platform
