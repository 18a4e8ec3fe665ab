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

  PublishRequest Request(const std::string& aId,
                         const std::vector<std::pair<std::string, std::uint64_t>>& aBases)
  {
    PublishRequest request{ .publishId_ = aId, .deadline_ = time_.Now() + 10s };
    for (const auto& [service, base] : aBases) {
      request.changes_.push_back({ ServiceName(service), base, aId + " body" });
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
  Expected Get(const PublishRequest& aRequest)
  {
    PublishResult result = Publish(aRequest);
    CHECK_TRUE(std::holds_alternative<Expected>(result));
    return std::get<Expected>(result);
  }

  std::optional<ConfigRecord> Present(const std::string& aService)
  {
    const auto& rows = table_.Rows().Rows();
    const auto row = rows.find(ConfigRowKey(ServiceName(aService)));
    return row == rows.end() ? std::nullopt : std::optional(DecodeConfigRecord(row->second.value_));
  }

  ConfigHead Head()
  {
    return DecodeConfigHead(table_.Rows().Rows().at(std::string(kConfigHeadKey)).value_);
  }

  // Does something before the write with the given number takes effect, and injects a fault into
  // it.
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

  // Another operator's publish, applied at once.
  void OtherPublish(const std::string& aId, const std::string& aService, std::uint64_t aBase)
  {
    PublishAttempt attempt(Request(aId, { { aService, aBase } }));
    const auto write =
      attempt.OnRead({ TableReply::Status::Done, table_.Rows().Apply(attempt.ReadRequest()) });
    table_.Rows().Apply(std::get<TableRequest>(write));
  }
};

TEST(ConfigPublisher, WritesAllServicesAndTheHead)
{
  CHECK_EQUAL(2U, Get<Published>(Request("p-1", { { "a", 0 }, { "b", 0 } })).records_.size());
  Get<Published>(Request("p-2", { { "b", 1 } }));
  CHECK_EQUAL(1U, Present("a")->version_);
  CHECK_EQUAL(2U, Present("b")->version_);
  CHECK_EQUAL(3U, Head().serial_);
  CHECK_EQUAL(2U, table_.Writes());
  CHECK_EQUAL(2U, table_.Reads());
}

// Guards against a publish of which only a part takes effect.
TEST(ConfigPublisher, ConflictOnOneServiceChangesNothing)
{
  OtherPublish("p-1", "b", 0);
  const auto conflict = Get<PublishConflict>(Request("p-2", { { "a", 0 }, { "b", 0 } }));
  STRCMP_EQUAL("b", conflict.Service().Text().c_str());
  CHECK_EQUAL(0U, conflict.ExpectedVersion());
  CHECK_EQUAL(1U, conflict.PresentVersion());
  STRCMP_EQUAL("p-1", conflict.Winner().c_str());
  CHECK_FALSE(Present("a").has_value());
}

TEST(ConfigPublisher, ConflictBetweenReadAndWriteIsFound)
{
  BeforeWrite(1, [this] { OtherPublish("p-1", "a", 0); });
  STRCMP_EQUAL("p-1", Get<PublishConflict>(Request("p-2", { { "a", 0 } })).Winner().c_str());
}

// Guards against a conflict between operators of different services.
TEST(ConfigPublisher, ConflictOnTheHeadAloneIsRetried)
{
  BeforeWrite(1, [this] { OtherPublish("p-1", "b", 0); });
  Get<Published>(Request("p-2", { { "a", 0 } }));
  CHECK_EQUAL(2U, Head().serial_);
}

TEST(ConfigPublisher, LostAnswerIsResolvedByReadingBack)
{
  BeforeWrite(1, [] {}, { .answered_ = false });
  Get<Published>(Request("p-1", { { "a", 0 } }));
  CHECK_EQUAL(1U, table_.Writes());
  CHECK_EQUAL(1U, Head().serial_);
}

// Guards against a publish that takes effect twice because its first write was late.
TEST(ConfigPublisher, LateWriteDoesNotApplyTwice)
{
  BeforeWrite(1, [] {}, { .answered_ = false, .requestDelay_ = 5s });
  Get<Published>(Request("p-1", { { "a", 0 } }));
  CHECK_EQUAL(1U, Head().serial_);
  CHECK_EQUAL(1U, Present("a")->version_);
}

TEST(ConfigPublisher, RepeatWithTheSameIdIsHarmless)
{
  PublishRequest request = Request("p-1", { { "a", 0 } });
  Get<Published>(request);
  request.repeated_ = true;
  request.deadline_ = time_.Now() + 10s;
  Get<Published>(request);
  CHECK_EQUAL(1U, Head().serial_);
}

// Guards against telling an operator that nothing is in effect when it may have been for a while.
TEST(ConfigPublisher, ReplacedAfterALostAnswerIsUnknown)
{
  OtherPublish("p-0", "a", 0);
  OtherPublish("p-1", "a", 1);
  OtherPublish("p-2", "a", 2);
  PublishRequest request = Request("p-9", { { "a", 1 } });
  Get<PublishConflict>(request);
  request.repeated_ = true;
  request.deadline_ = time_.Now() + 10s;
  Get<PublishUnknown>(request);
}

TEST(ConfigPublisher, RefusedIsUnavailableAndLostForeverIsUnknown)
{
  table_.SetFaultInjector([](const TableRequest&) { return InjectedFault{ .refused_ = true }; });
  Get<PublishUnavailable>(Request("p-1", { { "a", 0 } }));
  table_.SetFaultInjector([](const TableRequest& aRequest) {
    return InjectedFault{ .applied_ = !HoldsWrite(aRequest) };
  });
  Get<PublishUnknown>(Request("p-1", { { "a", 0 } }));
}

TEST(ConfigPublisher, InvalidRequestsAreErrors)
{
  CHECK_THROWS(PublishRequestError, PublishAttempt(Request("", { { "a", 0 } })));
  CHECK_THROWS(PublishRequestError, PublishAttempt(Request("p", {})));
  CHECK_THROWS(PublishRequestError, PublishAttempt(Request("p", { { "a", 0 }, { "a", 1 } })));
  PublishRequest request = Request("p", { { "a", 0 } });
  request.changes_.front().body_.push_back('\xff');
  CHECK_THROWS(PublishRequestError, PublishAttempt(request));
}

TEST(ConfigPublisher, DamagedRowIsUnavailable)
{
  table_.Rows().Apply(
    { { { .kind_ = TableOperation::Kind::Insert, .key_ = "config/a", .value_ = "damaged" } } });
  Get<PublishUnavailable>(Request("p-1", { { "a", 0 } }));
}

} // namespace boragepier
