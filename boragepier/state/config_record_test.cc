#include "boragepier/state/config_record.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

TEST_GROUP(ConfigRecord){};

TEST(ConfigRecord, EncodedRecordDecodesToItself)
{
  const ConfigRecord record{ ServiceName("stock-lookup"), 7, "p-1", "[service]\nname = x\n" };
  CHECK(DecodeConfigRecord(EncodeConfigRecord(record)) == record);
}

// Guards against accepting rows that cannot be decoded.
TEST(ConfigRecord, MalformedRowsAreErrors)
{
  CHECK_THROWS(ConfigRecordError, DecodeConfigRecord("{\"service\":\"a\"}"));
  CHECK_THROWS(ConfigRecordError, DecodeConfigHead("not json"));
  CHECK_THROWS(ConfigRecordError, DecodeConfigHead("{\"serial\":1,\"changes\":[[1]]}"));
}

TEST(ConfigRecord, HeadKeepsTheLatestChanges)
{
  ConfigHead head;
  for (std::uint64_t version = 1; version <= kConfigHeadChanges + 3; ++version) {
    head.Append(ServiceName("ring-lookup"), version);
  }
  CHECK_EQUAL(kConfigHeadChanges, head.changes_.size());
  CHECK_EQUAL(kConfigHeadChanges + 3, head.serial_);
  CHECK_EQUAL(4U, head.changes_.front().serial_);
  CHECK(DecodeConfigHead(EncodeConfigHead(head)) == head);
}

} // namespace boragepier
