#include "boragepier/state/claim_service.h"

#include <array>
#include <cstdio>
#include <vector>

#include "testing/state/fake_table.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

using namespace std::chrono_literals;
using testing::FakeTable;
using testing::InjectedFault;
using testing::VirtualTime;

TEST_GROUP(ClaimService)
{
  VirtualTime time_;
  FakeTable table_{ time_ };
  ClaimService<FakeTable> claims_{ table_, InstanceId("i-1"), Random(1) };
  ClaimService<FakeTable> otherInstanceClaims_{ table_, InstanceId("i-2"), Random(1) };
  std::vector<InjectedFault> faults_;

  // Injects these faults into the next requests, one each; later requests succeed.
  void SetNextFaults(std::vector<InjectedFault> aFaults)
  {
    faults_ = std::move(aFaults);
    table_.SetFaultInjector([this](const TableRequest&) {
      if (faults_.empty()) {
        return InjectedFault{};
      }
      const InjectedFault fault = faults_.front();
      faults_.erase(faults_.begin());
      return fault;
    });
  }

  ClaimRequest MakeRequest(const std::string& aFingerprint = "f-1")
  {
    return { ServiceName("order-entry"), "key-1", aFingerprint, time_.Now() + 1s, WallTime(5s) };
  }

  ClaimResult Claim(ClaimService<FakeTable> & aClaims, const std::string& aFingerprint = "f-1")
  {
    std::optional<ClaimResult> result;
    aClaims.Claim(MakeRequest(aFingerprint), time_.Now(), [&](ClaimResult aResult) {
      CHECK_FALSE(result.has_value());
      result = std::move(aResult);
    });
    CHECK_FALSE(result.has_value());
    time_.RunUntil(time_.Now() + 2s);
    CHECK_TRUE(result.has_value());
    return std::move(*result);
  }

  ClaimHandle ClaimGranted()
  {
    return std::get<Granted>(Claim(claims_)).handle_;
  }

  void RunRetries()
  {
    for (int step = 0; step < 2000; ++step) {
      time_.RunUntil(time_.Now() + 50ms);
      claims_.Advance(time_.Now());
    }
    CHECK_EQUAL(0U, claims_.PendingRetryCount());
  }

  static InjectedFault ReplyLost()
  {
    return { .answered_ = false };
  }
  static InjectedFault RequestLost()
  {
    return { .applied_ = false };
  }
  static InjectedFault Refused()
  {
    return { .refused_ = true };
  }
};

TEST(ClaimService, SecondClaimIsInProgressUntilTheAnswerIsRecordedAndThenReplays)
{
  ClaimHandle handle = ClaimGranted();
  CHECK(std::holds_alternative<InProgress>(Claim(otherInstanceClaims_)));
  claims_.RecordAnswer(std::move(handle), { 201, { { "X-A", "b" } }, "made" }, time_.Now());
  const ClaimResult repeat = Claim(otherInstanceClaims_);
  CHECK(std::get<Replay>(repeat).answer_ == (RecordedAnswer{ 201, { { "X-A", "b" } }, "made" }));
}

// Guards the cost stated in docs/state.md: a call needs two writes of one row and no read.
TEST(ClaimService, CallCostsTwoWritesAndNoRead)
{
  ClaimHandle handle = ClaimGranted();
  claims_.RecordAnswer(
    std::move(handle), { 200, { { "Content-Type", "application/json" } }, "{}" }, time_.Now());
  RunRetries();
  CHECK_EQUAL(2U, table_.Writes());
  CHECK_EQUAL(0U, table_.Reads());
  const TableRow& row = table_.Rows().Rows().begin()->second;
  std::printf("\nclaim row: key of %zu bytes, value of %zu bytes with a body of 2 bytes\n",
              row.key_.size(),
              row.value_.size());
}

// Guards against replaying the recorded answer to a different request with the same key.
TEST(ClaimService, OtherFingerprintIsKeyReused)
{
  ClaimHandle handle = ClaimGranted();
  claims_.RecordAnswer(std::move(handle), { 200, {}, "a" }, time_.Now());
  CHECK(std::holds_alternative<KeyReused>(Claim(otherInstanceClaims_, "f-2")));
}

TEST(ClaimService, ReleasedKeyCanBeClaimedAgain)
{
  ClaimHandle handle = ClaimGranted();
  claims_.Release(std::move(handle), time_.Now());
  CHECK(std::holds_alternative<Granted>(Claim(otherInstanceClaims_)));
}

// Guards against refusing a call because of its own claim row, when the insert was applied but its
// reply was lost.
TEST(ClaimService, LostInsertReplyIsResolvedByReadingBack)
{
  SetNextFaults({ { .answered_ = false } });
  ClaimRequest request = MakeRequest();
  // The table reports Unknown before the caller's deadline, as when a connection breaks.
  std::optional<ClaimResult> result;
  bool firstRequestSent = false;
  struct DisconnectingTable
  {
    FakeTable& table_;
    bool& firstRequestSent_;
    void Submit(TableRequest aRequest, MonotonicTime aDeadline, TableCallback aDone)
    {
      const auto deadline = std::exchange(firstRequestSent_, true) ? aDeadline : aDeadline - 900ms;
      table_.Submit(std::move(aRequest), deadline, std::move(aDone));
    }
  } disconnecting{ table_, firstRequestSent };
  ClaimService<DisconnectingTable> claims(disconnecting, InstanceId("i-3"), Random(1));
  claims.Claim(request, time_.Now(), [&](ClaimResult aResult) { result = std::move(aResult); });
  time_.RunUntil(time_.Now() + 2s);
  CHECK(std::holds_alternative<Granted>(*result));
  CHECK_EQUAL(1U, claims.Counters().resolvedByReadBack_);
}

// Guards against a key that stays claimed after the caller was told that the call was not
// dispatched.
TEST(ClaimService, UnansweredInsertIsReleasedAfterTheDeadline)
{
  SetNextFaults({ ReplyLost() });
  CHECK(std::holds_alternative<StoreUnavailable>(Claim(claims_)));
  RunRetries();
  CHECK(std::holds_alternative<Granted>(Claim(otherInstanceClaims_)));
}

// Guards against a row that stays because a delayed insert was applied after the release had found
// no row.
TEST(ClaimService, LateInsertIsReleased)
{
  SetNextFaults({ { .answered_ = false, .requestDelay_ = 20s } });
  CHECK(std::holds_alternative<StoreUnavailable>(Claim(claims_)));
  RunRetries();
  CHECK(table_.Rows().Rows().empty());
  CHECK(std::holds_alternative<Granted>(Claim(otherInstanceClaims_)));
}

TEST(ClaimService, CancelledClaimIsReleased)
{
  const ClaimToken token = claims_.Claim(
    MakeRequest(), time_.Now(), [](const ClaimResult&) { FAIL("callback of a cancelled claim"); });
  CHECK_TRUE(claims_.Cancel(token, time_.Now()));
  CHECK_FALSE(claims_.Cancel(token, time_.Now()));
  RunRetries();
  CHECK(table_.Rows().Rows().empty());
}

TEST(ClaimService, ReleaseIsRetriedWhenItsReplyOrRequestIsLost)
{
  for (const InjectedFault& fault : { ReplyLost(), RequestLost(), Refused() }) {
    ClaimHandle handle = ClaimGranted();
    SetNextFaults({ fault, Refused() });
    claims_.Release(std::move(handle), time_.Now());
    RunRetries();
    CHECK(table_.Rows().Rows().empty());
  }
}

// Guards against a delayed delete of a release that removes the row of a later claim of the key.
TEST(ClaimService, LateReleaseLeavesALaterClaimAlone)
{
  ClaimHandle handle = ClaimGranted();
  SetNextFaults({ { .requestDelay_ = 10s } });
  claims_.Release(std::move(handle), time_.Now());
  time_.RunUntil(time_.Now() + 3s);
  claims_.Advance(time_.Now());
  time_.RunUntil(time_.Now() + 1s);
  CHECK(std::holds_alternative<Granted>(Claim(otherInstanceClaims_)));
  RunRetries();
  CHECK(std::holds_alternative<InProgress>(Claim(otherInstanceClaims_)));
}

TEST(ClaimService, RecordingIsRetried)
{
  for (const InjectedFault& fault : { ReplyLost(), RequestLost(), Refused() }) {
    ClaimHandle handle = ClaimGranted();
    SetNextFaults({ fault, Refused() });
    claims_.RecordAnswer(std::move(handle), { 200, {}, "a" }, time_.Now());
    RunRetries();
    CHECK(std::holds_alternative<Replay>(Claim(otherInstanceClaims_)));
    const TableRow row = table_.Rows().Rows().begin()->second;
    table_.Rows().Apply({ { { .kind_ = TableOperation::Kind::Delete,
                              .key_ = row.key_,
                              .expectedRevision_ = row.revision_ } } });
  }
}

// Guards against a graceful shutdown that waits for the whole retry window, during which a delayed
// insert may still be applied.
TEST(ClaimService, ReleaseIsConfirmedOnceItsRowIsDeleted)
{
  SetNextFaults({ ReplyLost(), Refused(), Refused(), Refused(), Refused() });
  CHECK(std::holds_alternative<StoreUnavailable>(Claim(claims_)));
  CHECK(claims_.PendingRetryCount() > 0);
  for (int step = 0; step < 100; ++step) {
    time_.RunUntil(time_.Now() + 50ms);
    claims_.Advance(time_.Now());
  }
  CHECK(table_.Rows().Rows().empty());
  CHECK_EQUAL(0U, claims_.PendingRetryCount());
}

TEST(ClaimService, RefusedInsertIsStoreUnavailable)
{
  SetNextFaults({ Refused() });
  CHECK(std::holds_alternative<StoreUnavailable>(Claim(claims_)));
  CHECK_EQUAL(0U, claims_.PendingRetryCount());
}

TEST(ClaimService, LargeAnswerIsRecordedWithoutBody)
{
  ClaimHandle handle = ClaimGranted();
  claims_.RecordAnswer(
    std::move(handle), { 200, {}, std::string(kMaxRecordedBodyBytes + 1, 'x') }, time_.Now());
  const ClaimResult repeat = Claim(otherInstanceClaims_);
  CHECK_EQUAL(200, std::get<ReplayWithoutBody>(repeat).answer_.status_);
}

TEST(ClaimService, MalformedRowIsInProgress)
{
  table_.Rows().Apply({ { { .kind_ = TableOperation::Kind::Insert,
                            .key_ = ClaimRowKey(ServiceName("order-entry"), "key-1"),
                            .value_ = "damaged" } } });
  CHECK(std::holds_alternative<InProgress>(Claim(claims_)));
}

// Guards against table callbacks that use a destroyed service.
TEST(ClaimService, CallbacksAfterDestructionAreIgnored)
{
  {
    ClaimService<FakeTable> destroyed(table_, InstanceId("i-9"), Random(1));
    destroyed.Claim(MakeRequest(), time_.Now(), [](const ClaimResult&) {
      FAIL("callback after the service was destroyed");
    });
  }
  time_.RunUntil(time_.Now() + 2s);
}

TEST_GROUP(ClaimRecord){};

TEST(ClaimRecord, EncodedRecordWithArbitraryBytesDecodesToItself)
{
  ClaimRecord record{ "c-1", "f-1", WallTime(123ms), std::nullopt };
  CHECK(DecodeClaimRecord(EncodeClaimRecord(record)) == record);
  record = WithAnswer(record, { 200, { { "A", "\xff" } }, std::string("\0\xfe", 2) });
  CHECK(DecodeClaimRecord(EncodeClaimRecord(record)) == record);
}

// Guards against a row of another writer whose answer cannot be written as a response.
TEST(ClaimRecord, AnswerThatIsNoResponseIsAnError)
{
  const ClaimRecord claim{ "c-1", "f-1", WallTime(123ms), std::nullopt };
  for (const RecordedAnswer& answer :
       { RecordedAnswer{ 1000, {}, "" },
         RecordedAnswer{ 199, {}, "" },
         RecordedAnswer{ 200, { { "A", std::string(70000, 'x') } }, "" },
         RecordedAnswer{ 200, { { std::string(70000, 'x'), "" } }, "" } }) {
    const std::string encoded = EncodeClaimRecord(WithAnswer(claim, answer));
    CHECK_THROWS(ClaimRecordError, DecodeClaimRecord(encoded));
  }
}

// Guards against replaying fields that applied only to the connection of the first answer.
TEST(ClaimRecord, HopByHopFieldsAreNotRecorded)
{
  const ClaimRecord record = WithAnswer({},
                                        { 200,
                                          { { "connection", "close, X-Hop" },
                                            { "x-hop", "1" },
                                            { "Content-Length", "3" },
                                            { "Upgrade", "h2c" },
                                            { "X-Kept", "1" } },
                                          "abc" });
  CHECK_EQUAL(1U, record.answer_->headers_.size());
  STRCMP_EQUAL("X-Kept", record.answer_->headers_.front().first.c_str());
}

TEST(ClaimRecord, MalformedRowsAreErrors)
{
  const std::string encoded = EncodeClaimRecord({ "c-1", "f-1", WallTime(123ms), std::nullopt });
  for (std::size_t length = 0; length < encoded.size(); ++length) {
    CHECK_THROWS(ClaimRecordError, DecodeClaimRecord(encoded.substr(0, length)));
  }
  CHECK_THROWS(ClaimRecordError, DecodeClaimRecord(encoded + "x"));
}

TEST(ClaimRecord, FingerprintDependsOnThePartBoundaries)
{
  const std::array<std::string_view, 2> oneDivision{ "ab", "c" };
  const std::array<std::string_view, 2> otherDivision{ "a", "bc" };
  CHECK(RequestFingerprint(oneDivision) != RequestFingerprint(otherDivision));
  CHECK(RequestFingerprint(oneDivision) == RequestFingerprint(oneDivision));
}

} // namespace boragepier
