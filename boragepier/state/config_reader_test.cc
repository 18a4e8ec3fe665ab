#include "boragepier/state/config_reader.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

ServiceConfig
ParseStub(std::string_view, std::string_view aName)
{
  ServiceConfig config;
  config.name_ = ServiceName(std::string(aName));
  return config;
}

TableReply
ReplyWith(const std::string& aKey, const std::string& aValue)
{
  TableReply reply{ TableReply::Status::Done, {} };
  reply.results_.emplace_back();
  reply.results_.back().row_ = TableRow{ aKey, aValue, 1 };
  return reply;
}

} // namespace

TEST_GROUP(ConfigReader)
{
  ConfigReader reader_;
  ConfigRegistry registry_{ ParseStub };
  ConfigHead head_;

  ConfigReader::Step ReadHead()
  {
    reader_.Begin();
    return reader_.OnReply(ReplyWith("config-head", EncodeConfigHead(head_)), registry_);
  }
};

// Guards against reading rows that peers have already sent.
TEST(ConfigReader, OnlyChangedRowsAreRead)
{
  const ServiceName stock("stock");
  head_.Append(stock, 1);
  head_.Append(ServiceName("orders"), 1);
  registry_.Accept({ stock, 1, "p", "b" });
  ConfigReader::Step step = ReadHead();
  CHECK_EQUAL(1U, step.nextRequest_->operations_.size());
  STRCMP_EQUAL("config/orders", step.nextRequest_->operations_[0].key_.c_str());

  const ConfigRecord orders{ ServiceName("orders"), 1, "p", "b" };
  step = reader_.OnReply(ReplyWith("config/orders", EncodeConfigRecord(orders)), registry_);
  CHECK(!step.nextRequest_ && step.records_.size() == 1 && step.records_[0] == orders);
  CHECK_EQUAL(2U, reader_.SyncedSerial());
  CHECK(!ReadHead().nextRequest_);
}

// Guards against missing changes that are no longer listed in the head.
TEST(ConfigReader, AReaderThatMissedTooManyChangesScansAllRows)
{
  for (std::size_t i = 1; i <= kConfigHeadChanges; ++i) {
    head_.Append(ServiceName("stock"), i);
  }
  CHECK(ReadHead().nextRequest_->operations_[0].kind_ == TableOperation::Kind::Get);
  head_.Append(ServiceName("stock"), kConfigHeadChanges + 1);
  const ConfigReader::Step step = ReadHead();
  CHECK(step.nextRequest_->operations_[0].kind_ == TableOperation::Kind::Scan);

  TableReply page{ TableReply::Status::Done, {} };
  page.results_.emplace_back();
  for (int i = 100; i < 200; ++i) {
    const ConfigRecord record{ ServiceName("s" + std::to_string(i)), 1, "p", "b" };
    page.results_[0].scanned_.push_back(
      { ConfigRowKey(record.service_), EncodeConfigRecord(record), 1 });
  }
  const ConfigReader::Step nextStep = reader_.OnReply(page, registry_);
  CHECK_EQUAL(100U, nextStep.records_.size());
  STRCMP_EQUAL("config/s199", nextStep.nextRequest_->operations_[0].startAfter_.c_str());
  CHECK_EQUAL(0U, reader_.SyncedSerial());
  page.results_[0].scanned_.resize(3);
  CHECK(!reader_.OnReply(page, registry_).nextRequest_);
  CHECK_EQUAL(kConfigHeadChanges + 1, reader_.SyncedSerial());
}

// Guards against a failed read that counts as complete, and against undecodable rows that are not
// reported.
TEST(ConfigReader, FailuresAreReportedAndRetried)
{
  head_.Append(ServiceName("stock"), 1);
  CHECK(ReadHead().nextRequest_.has_value());
  CHECK(reader_.OnReply({}, registry_).tableFailed_);
  CHECK_EQUAL(0U, reader_.SyncedSerial());
  CHECK(ReadHead().nextRequest_.has_value());
  const ConfigReader::Step step = reader_.OnReply(ReplyWith("config/stock", "damaged"), registry_);
  CHECK_EQUAL(1U, step.rowErrors_.size());
  reader_.Begin();
  CHECK_EQUAL(1U, reader_.OnReply(ReplyWith("config-head", "{}"), registry_).rowErrors_.size());
}

} // namespace boragepier
