#include <array>
#include <string>
#include <vector>

#include "boragepier/platform/base64.h"
#include "boragepier/platform/instance_codec.h"
#include "boragepier/platform/table_codec.h"

#include <CppUTest/TestHarness.h>

namespace boragepier::platform {

using Kind = TableOperation::Kind;

TEST_GROUP(PlatformCodec){ static TableRequest MakeRequest(){ TableRequest request;
request.operations_.push_back({ .kind_ = Kind::Insert, .key_ = "k1", .value_ = "a\xff" });
request.operations_.push_back({ .kind_ = Kind::Delete, .key_ = "k2", .expectedRevision_ = 5 });
request.operations_.push_back(
  { .kind_ = Kind::Scan, .key_ = "s/", .startAfter_ = "s/a", .limit_ = 2 });
return request;
}

static std::vector<TableOperationResult>
MakeResults()
{
  return { { true, TableRow{ "k1", "a\xff", 9 }, {} },
           { false, TableRow{ "k2", "other", 6 }, {} },
           { true, std::nullopt, { { "s/b", "x", 1 }, { "s/c", "y", 2 } } } };
}

template<typename Damage>
static void
CheckDamagedResultsRejected(Damage aDamage)
{
  std::vector<TableOperationResult> results = MakeResults();
  aDamage(results);
  CHECK_THROWS(ProtocolError, DecodeTableResults(EncodeTableResults(results), MakeRequest()));
}
}
;

TEST(PlatformCodec, Base64RoundTripsAnyBytes)
{
  std::string bytes;
  for (int length = 0; length < 300; ++length) {
    const std::string text = EncodeBase64(bytes);
    CHECK_EQUAL((bytes.size() + 2) / 3 * 4, text.size());
    CHECK(DecodeBase64(text) == bytes);
    bytes.push_back(static_cast<char>(length * 37));
  }
  STRCMP_EQUAL("Zm9vYg==", EncodeBase64("foob").c_str());
}

TEST(PlatformCodec, InvalidBase64IsRejected)
{
  for (const char* text : { "Z", "Zg", "Zg=", "Zg===", "Zh==", "Zm9v!", "====", "Zg==Zg==", " " }) {
    CHECK_FALSE(DecodeBase64(text).has_value());
  }
}

TEST(PlatformCodec, RequestAndResultsRoundTrip)
{
  const TableRequest request = DecodeTableRequest(EncodeTableRequest(MakeRequest()));
  CHECK_EQUAL(3U, request.operations_.size());
  CHECK(request.operations_[0].kind_ == Kind::Insert);
  STRCMP_EQUAL("a\xff", request.operations_[0].value_.c_str());
  CHECK_EQUAL(5U, request.operations_[1].expectedRevision_);
  STRCMP_EQUAL("s/a", request.operations_[2].startAfter_.c_str());
  CHECK_EQUAL(2U, request.operations_[2].limit_);
  const auto results = DecodeTableResults(EncodeTableResults(MakeResults()), request);
  CHECK_EQUAL(9U, results[0].row_->revision_);
  CHECK_FALSE(results[1].applied_);
  CHECK_EQUAL(2U, results[2].scanned_.size());
}

// Guards against a truncated response that is taken for a complete one.
TEST(PlatformCodec, TruncatedResultsAreRejected)
{
  const std::string complete = EncodeTableResults(MakeResults());
  for (std::size_t length = 0; length < complete.size(); ++length) {
    CHECK_THROWS(ProtocolError, DecodeTableResults(complete.substr(0, length), MakeRequest()));
  }
}

// Guards against taking the response to another request for the response to this one.
TEST(PlatformCodec, ResultsThatContradictTheRequestAreRejected)
{
  using Results = std::vector<TableOperationResult>;
  CheckDamagedResultsRejected([](Results& aResults) { aResults.pop_back(); });
  CheckDamagedResultsRejected([](Results& aResults) { aResults[0].row_->key_ = "k9"; });
  CheckDamagedResultsRejected([](Results& aResults) { aResults[0].row_->value_ = "b"; });
  CheckDamagedResultsRejected([](Results& aResults) { aResults[0].row_->revision_ = 0; });
  CheckDamagedResultsRejected([](Results& aResults) { aResults[0].row_.reset(); });
  CheckDamagedResultsRejected([](Results& aResults) {
    aResults[0].applied_ = false;
    aResults[0].row_.reset();
  });
  CheckDamagedResultsRejected([](Results& aResults) { aResults[1].applied_ = true; });
  CheckDamagedResultsRejected([](Results& aResults) { aResults[2].applied_ = false; });
  CheckDamagedResultsRejected([](Results& aResults) { aResults[2].scanned_[1].key_ = "t/c"; });
  CheckDamagedResultsRejected([](Results& aResults) { aResults[2].scanned_[0].key_ = "s/a"; });
  CheckDamagedResultsRejected(
    [](Results& aResults) { std::swap(aResults[2].scanned_[0], aResults[2].scanned_[1]); });
  CheckDamagedResultsRejected([](Results& aResults) {
    aResults[2].scanned_.push_back({ "s/d", "z", 3 });
  });
}

TEST(PlatformCodec, PartlyAppliedAtomicRequestIsRejected)
{
  TableRequest request = MakeRequest();
  request.atomic_ = true;
  CHECK_THROWS(ProtocolError, DecodeTableResults(EncodeTableResults(MakeResults()), request));
}

TEST(PlatformCodec, RevisionThatIsNotAnUnsignedIntegerIsRejected)
{
  const TableRequest request{ { { .key_ = "k" } } };
  for (const char* revision : { "-1", "1.5", "\"1\"", "null", "99999999999999999999" }) {
    const std::string text = R"({"results":[{"applied":true,"rows":[],"row":{"key":"k","value":"",)"
                             R"("revision":)" +
                             std::string(revision) + "}}]}";
    CHECK_THROWS(ProtocolError, DecodeTableResults(text, request));
  }
}

TEST(PlatformCodec, KeyThatIsNotUtf8IsRejected)
{
  CHECK_THROWS(ProtocolError, EncodeTableRequest({ { { .key_ = "\xff" } } }));
}

TEST(PlatformCodec, OnlyNotAppliedBodiesAreRecognised)
{
  CHECK_TRUE(IsNotApplied(EncodeNotApplied("down")));
  for (const char* text : { "", "{}", "[]", "true", R"({"not_applied":false})" }) {
    CHECK_FALSE(IsNotApplied(text));
  }
}

TEST(PlatformCodec, ProcessListRoundTripsAndInvalidListsAreRejected)
{
  const ListedProcess process{ "u-1", "upstream", "stock", "127.0.0.1", 80, 0, "a", 7, true };
  const auto list = DecodeProcessList(EncodeProcessList({ process }));
  CHECK_EQUAL(1U, list.size());
  CHECK_EQUAL(7U, list[0].startNumber_);
  CHECK_TRUE(list[0].leaving_);
  CHECK_EQUAL(80U, DecodeProcess(EncodeProcess(process)).port_);
  std::string text = EncodeProcessList({ process });
  text.replace(text.find(":80,"), 4, ":65536,");
  CHECK_THROWS(ProtocolError, DecodeProcessList(text));
  CHECK_THROWS(ProtocolError, DecodeProcessList("{}"));
  CHECK_THROWS(ProtocolError, DecodeProcessList("[{}]"));
}

} // namespace boragepier::platform
