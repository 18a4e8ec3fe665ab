#include "boragepier/state/config_publisher.h"

#include <vector>

#include "testing/state/fake_table.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

using namespace std::chrono_literals;
using testing::FakeTable;
using testing::InjectedFault;
using testing::VirtualTime;

TEST_GROUP(ConfigPublisher)
{
  VirtualTime time_;
  FakeTable table_{ time_ };
  ConfigPublisher<FakeTable> publisher_{ table_ };

  PublishRequest MakeRequest(
    const std::string& aId, const std::vector<std::pair<std::string, std::uint64_t>>& aBaseVersions)
  {
    PublishRequest request{ .publishId_ = aId, .deadline_ = time_.Now() + 10s };
    for (const auto& [service, baseVersion] : aBaseVersions) {
      request.changes_.push_back({ ServiceName(service), baseVersion, aId + " body" });
    }
    return request;
  }

  PublishResult Publish(const PublishRequest& aRequest)
  {
    std::optional<PublishResult> result;
    publisher_.Publish(aRequest, time_.Now(), [&](const PublishResult& aResult) {
      CHECK_FALSE(result.has_value());
      result = aResult;
    });
    time_.RunUntil(time_.Now() + 20s);
    CHECK_TRUE(result.has_value());
    return *result;
  }

  template<typename Expected>
  Expected PublishAndExpect(const PublishRequest& aRequest)
  {
    PublishResult result = Publish(aRequest);
    CHECK_TRUE(std::holds_alternative<Expected>(result));
    return std::get<Expected>(result);
  }

  std::optional<ConfigRecord> StoredRecord(const std::string& aService)
  {
    const auto& rows = table_.Rows().Rows();
    const auto row = rows.find(ConfigRowKey(ServiceName(aService)));
    return row == rows.end() ? std::nullopt : std::optional(DecodeConfigRecord(row->second.value_));
  }

  ConfigHead Head()
  {
    return DecodeConfigHead(table_.Rows().Rows().at(std::string(kConfigHeadKey)).value_);
  }

  // Runs an action when the write with the given number is submitted, and injects a fault into it.
  void BeforeWrite(
    int aNumber, const std::function<void()>& aAction, const InjectedFault& aFault = {})
  {
    table_.SetFaultInjector([=, writes = 0](const TableRequest& aRequest) mutable {
      if (HoldsWrite(aRequest) && ++writes == aNumber) {
        aAction();
        return aFault;
      }
      return InjectedFault{};
    });
  }

  // Applies a publish of another operator at once.
  void ApplyOtherPublish(
    const std::string& aId, const std::string& aService, std::uint64_t aBaseVersion)
  {
    PublishTransaction transaction(MakeRequest(aId, { { aService, aBaseVersion } }));
    const auto write = transaction.OnRead(
      { TableReply::Status::Done, table_.Rows().Apply(transaction.ReadRequest()) });
    table_.Rows().Apply(std::get<TableRequest>(write));
  }
};

TEST(ConfigPublisher, WritesAllServicesAndTheHead)
{
  CHECK_EQUAL(
    2U,
    PublishAndExpect<Published>(MakeRequest("p-1", { { "a", 0 }, { "b", 0 } })).records_.size());
  PublishAndExpect<Published>(MakeRequest("p-2", { { "b", 1 } }));
  CHECK_EQUAL(1U, StoredRecord("a")->version_);
  CHECK_EQUAL(2U, StoredRecord("b")->version_);
  CHECK_EQUAL(3U, Head().serial_);
  CHECK_EQUAL(2U, table_.Writes());
  CHECK_EQUAL(2U, table_.Reads());
}

// Guards against a publish that is applied in part.
TEST(ConfigPublisher, ConflictOnOneServiceChangesNothing)
{
  ApplyOtherPublish("p-1", "b", 0);
  const auto conflict =
    PublishAndExpect<PublishConflict>(MakeRequest("p-2", { { "a", 0 }, { "b", 0 } }));
  STRCMP_EQUAL("b", conflict.Service().Text().c_str());
  CHECK_EQUAL(0U, conflict.ExpectedVersion());
  CHECK_EQUAL(1U, conflict.CurrentVersion());
  STRCMP_EQUAL("p-1", conflict.CurrentPublishId().c_str());
  CHECK_FALSE(StoredRecord("a").has_value());
}

TEST(ConfigPublisher, ConflictBetweenReadAndWriteIsFound)
{
  BeforeWrite(1, [this] { ApplyOtherPublish("p-1", "a", 0); });
  STRCMP_EQUAL("p-1",
               PublishAndExpect<PublishConflict>(MakeRequest("p-2", { { "a", 0 } }))
                 .CurrentPublishId()
                 .c_str());
}

// Guards against conflicts between operators that publish different services.
TEST(ConfigPublisher, ConflictOnTheHeadAloneIsRetried)
{
  BeforeWrite(1, [this] { ApplyOtherPublish("p-1", "b", 0); });
  PublishAndExpect<Published>(MakeRequest("p-2", { { "a", 0 } }));
  CHECK_EQUAL(2U, Head().serial_);
}

TEST(ConfigPublisher, LostReplyIsResolvedByReadingBack)
{
  BeforeWrite(1, [] {}, { .answered_ = false });
  PublishAndExpect<Published>(MakeRequest("p-1", { { "a", 0 } }));
  CHECK_EQUAL(1U, table_.Writes());
  CHECK_EQUAL(1U, Head().serial_);
}

// Guards against a publish that is applied twice because its first write was delayed.
TEST(ConfigPublisher, LateWriteDoesNotApplyTwice)
{
  BeforeWrite(1, [] {}, { .answered_ = false, .requestDelay_ = 5s });
  PublishAndExpect<Published>(MakeRequest("p-1", { { "a", 0 } }));
  CHECK_EQUAL(1U, Head().serial_);
  CHECK_EQUAL(1U, StoredRecord("a")->version_);
}

TEST(ConfigPublisher, RepeatWithTheSameIdIsHarmless)
{
  PublishRequest request = MakeRequest("p-1", { { "a", 0 } });
  PublishAndExpect<Published>(request);
  request.repeated_ = true;
  request.deadline_ = time_.Now() + 10s;
  PublishAndExpect<Published>(request);
  CHECK_EQUAL(1U, Head().serial_);
}

// Guards against reporting a conflict, which means that the publish was not applied, when it may
// have been applied and then replaced.
TEST(ConfigPublisher, ReplacedAfterAnUnknownOutcomeIsUnknown)
{
  ApplyOtherPublish("p-0", "a", 0);
  ApplyOtherPublish("p-1", "a", 1);
  ApplyOtherPublish("p-2", "a", 2);
  PublishRequest request = MakeRequest("p-9", { { "a", 1 } });
  PublishAndExpect<PublishConflict>(request);
  request.repeated_ = true;
  request.deadline_ = time_.Now() + 10s;
  PublishAndExpect<PublishUnknown>(request);
}

TEST(ConfigPublisher, RefusedIsUnavailableAndUnansweredIsUnknown)
{
  table_.SetFaultInjector([](const TableRequest&) { return InjectedFault{ .refused_ = true }; });
  PublishAndExpect<PublishUnavailable>(MakeRequest("p-1", { { "a", 0 } }));
  table_.SetFaultInjector([](const TableRequest& aRequest) {
    return InjectedFault{ .applied_ = !HoldsWrite(aRequest) };
  });
  PublishAndExpect<PublishUnknown>(MakeRequest("p-1", { { "a", 0 } }));
}

TEST(ConfigPublisher, InvalidRequestsAreErrors)
{
  CHECK_THROWS(PublishRequestError, PublishTransaction(MakeRequest("", { { "a", 0 } })));
  CHECK_THROWS(PublishRequestError, PublishTransaction(MakeRequest("p", {})));
  CHECK_THROWS(PublishRequestError,
               PublishTransaction(MakeRequest("p", { { "a", 0 }, { "a", 1 } })));
  PublishRequest request = MakeRequest("p", { { "a", 0 } });
  request.changes_.front().body_.push_back('\xff');
  CHECK_THROWS(PublishRequestError, PublishTransaction(request));
}

TEST(ConfigPublisher, MalformedRowIsUnavailable)
{
  table_.Rows().Apply(
    { { { .kind_ = TableOperation::Kind::Insert, .key_ = "config/a", .value_ = "damaged" } } });
  PublishAndExpect<PublishUnavailable>(MakeRequest("p-1", { { "a", 0 } }));
}

} // namespace boragepier
