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
  ClaimService<FakeTable> others_{ table_, InstanceId("i-2"), Random(1) };
  std::vector<InjectedFault> faults_;

  // Injects these faults into the next requests, one each; later requests succeed.
  void Expect(std::vector<InjectedFault> aFaults)
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

  ClaimRequest Call(const std::string& aFingerprint = "f-1")
  {
    return { ServiceName("order-entry"), "key-1", aFingerprint, time_.Now() + 1s, WallTime(5s) };
  }

  ClaimResult Claim(ClaimService<FakeTable> & aClaims, const std::string& aFingerprint = "f-1")
  {
    std::optional<ClaimResult> result;
    aClaims.Claim(Call(aFingerprint), time_.Now(), [&](ClaimResult aResult) {
      CHECK_FALSE(result.has_value());
      result = std::move(aResult);
    });
    CHECK_FALSE(result.has_value());
    time_.RunUntil(time_.Now() + 2s);
    CHECK_TRUE(result.has_value());
    return std::move(*result);
  }

  ClaimHandle Grant()
  {
    return std::get<Granted>(Claim(claims_)).handle_;
  }

  void Settle()
  {
    for (int step = 0; step < 2000; ++step) {
      time_.RunUntil(time_.Now() + 50ms);
      claims_.Advance(time_.Now());
    }
    CHECK_EQUAL(0U, claims_.Unsettled());
  }

  static InjectedFault LostAfter()
  {
    return { .answered_ = false };
  }
  static InjectedFault LostBefore()
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
  ClaimHandle handle = Grant();
  CHECK(std::holds_alternative<InProgress>(Claim(others_)));
  claims_.RecordAnswer(std::move(handle), { 201, { { "X-A", "b" } }, "made" }, time_.Now());
  const ClaimResult repeat = Claim(others_);
  CHECK(std::get<Replay>(repeat).answer_ == (RecordedAnswer{ 201, { { "X-A", "b" } }, "made" }));
}

// The figures of docs/state.md: a call costs two writes of one row and no read.
TEST(ClaimService, CallCostsTwoWritesAndNoRead)
{
  ClaimHandle handle = Grant();
  claims_.RecordAnswer(
    std::move(handle), { 200, { { "Content-Type", "application/json" } }, "{}" }, time_.Now());
  Settle();
  CHECK_EQUAL(2U, table_.Writes());
  CHECK_EQUAL(0U, table_.Reads());
  const TableRow& row = table_.Rows().Rows().begin()->second;
  std::printf(
    "\nrow with key of %zu bytes and answer of 2: %zu bytes\n", row.key_.size(), row.value_.size());
}

// Guards against answering one request with the answer of another.
TEST(ClaimService, OtherFingerprintIsKeyReused)
{
  ClaimHandle handle = Grant();
  claims_.RecordAnswer(std::move(handle), { 200, {}, "a" }, time_.Now());
  CHECK(std::holds_alternative<KeyReused>(Claim(others_, "f-2")));
}

TEST(ClaimService, ReleasedKeyCanBeClaimedAgain)
{
  ClaimHandle handle = Grant();
  claims_.Release(std::move(handle), time_.Now());
  CHECK(std::holds_alternative<Granted>(Claim(others_)));
}

// Guards against a claim that blocks its own call because only the answer to the insert was lost.
TEST(ClaimService, LostInsertAnswerIsResolvedByReadingBack)
{
  Expect({ { .answered_ = false } });
  ClaimRequest call = Call();
  // The store reports the loss before the caller's deadline, as a broken connection does.
  std::optional<ClaimResult> result;
  bool lost = false;
  struct BreakingTable
  {
    FakeTable& table_;
    bool& lost_;
    void Submit(TableRequest aRequest, MonotonicTime aDeadline, TableCallback aDone)
    {
      const auto deadline = std::exchange(lost_, true) ? aDeadline : aDeadline - 900ms;
      table_.Submit(std::move(aRequest), deadline, std::move(aDone));
    }
  } breaking{ table_, lost };
  ClaimService<BreakingTable> claims(breaking, InstanceId("i-3"), Random(1));
  claims.Claim(call, time_.Now(), [&](ClaimResult aResult) { result = std::move(aResult); });
  time_.RunUntil(time_.Now() + 2s);
  CHECK(std::holds_alternative<Granted>(*result));
  CHECK_EQUAL(1U, claims.Counters().resolvedByReadBack_);
}

// Guards against a key that stays claimed although its caller was told that nothing was sent.
TEST(ClaimService, LostInsertIsReleasedAfterTheDeadline)
{
  Expect({ LostAfter() });
  CHECK(std::holds_alternative<StoreUnavailable>(Claim(claims_)));
  Settle();
  CHECK(std::holds_alternative<Granted>(Claim(others_)));
}

// Guards against an insert that takes effect after the release looked for it.
TEST(ClaimService, LateInsertIsReleased)
{
  Expect({ { .answered_ = false, .requestDelay_ = 20s } });
  CHECK(std::holds_alternative<StoreUnavailable>(Claim(claims_)));
  Settle();
  CHECK(table_.Rows().Rows().empty());
  CHECK(std::holds_alternative<Granted>(Claim(others_)));
}

TEST(ClaimService, CancelledClaimIsReleased)
{
  const ClaimToken token =
    claims_.Claim(Call(), time_.Now(), [](const ClaimResult&) { FAIL("cancelled"); });
  CHECK_TRUE(claims_.Cancel(token, time_.Now()));
  CHECK_FALSE(claims_.Cancel(token, time_.Now()));
  Settle();
  CHECK(table_.Rows().Rows().empty());
}

TEST(ClaimService, ReleaseIsRetriedWhenItsAnswerOrRequestIsLost)
{
  for (const InjectedFault& fault : { LostAfter(), LostBefore(), Refused() }) {
    ClaimHandle handle = Grant();
    Expect({ fault, Refused() });
    claims_.Release(std::move(handle), time_.Now());
    Settle();
    CHECK(table_.Rows().Rows().empty());
  }
}

// Guards against a release that deletes the row of a later claim of the same key.
TEST(ClaimService, LateReleaseLeavesALaterClaimAlone)
{
  ClaimHandle handle = Grant();
  Expect({ { .requestDelay_ = 10s } });
  claims_.Release(std::move(handle), time_.Now());
  time_.RunUntil(time_.Now() + 3s);
  claims_.Advance(time_.Now());
  time_.RunUntil(time_.Now() + 1s);
  CHECK(std::holds_alternative<Granted>(Claim(others_)));
  Settle();
  CHECK(std::holds_alternative<InProgress>(Claim(others_)));
}

TEST(ClaimService, RecordingIsRetried)
{
  for (const InjectedFault& fault : { LostAfter(), LostBefore(), Refused() }) {
    ClaimHandle handle = Grant();
    Expect({ fault, Refused() });
    claims_.RecordAnswer(std::move(handle), { 200, {}, "a" }, time_.Now());
    Settle();
    CHECK(std::holds_alternative<Replay>(Claim(others_)));
    const TableRow row = table_.Rows().Rows().begin()->second;
    table_.Rows().Apply({ { { .kind_ = TableOperation::Kind::Delete,
                              .key_ = row.key_,
                              .expectedRevision_ = row.revision_ } } });
  }
}

// Guards against a graceful shutdown that waits for the whole window in which a lost insert may
// still take effect.
TEST(ClaimService, AReleaseIsSettledOnceItsRowIsGone)
{
  Expect({ LostAfter(), Refused(), Refused(), Refused(), Refused() });
  CHECK(std::holds_alternative<StoreUnavailable>(Claim(claims_)));
  CHECK(claims_.Unsettled() > 0);
  for (int step = 0; step < 100; ++step) {
    time_.RunUntil(time_.Now() + 50ms);
    claims_.Advance(time_.Now());
  }
  CHECK(table_.Rows().Rows().empty());
  CHECK_EQUAL(0U, claims_.Unsettled());
}

TEST(ClaimService, RefusedInsertIsStoreUnavailable)
{
  Expect({ Refused() });
  CHECK(std::holds_alternative<StoreUnavailable>(Claim(claims_)));
  CHECK_EQUAL(0U, claims_.Unsettled());
}

TEST(ClaimService, LargeAnswerIsRecordedWithoutBody)
{
  ClaimHandle handle = Grant();
  claims_.RecordAnswer(
    std::move(handle), { 200, {}, std::string(kMaxRecordedBody + 1, 'x') }, time_.Now());
  const ClaimResult repeat = Claim(others_);
  CHECK_EQUAL(200, std::get<ReplayWithoutBody>(repeat).answer_.status_);
}

TEST(ClaimService, DamagedRowIsInProgress)
{
  table_.Rows().Apply({ { { .kind_ = TableOperation::Kind::Insert,
                            .key_ = ClaimRowKey(ServiceName("order-entry"), "key-1"),
                            .value_ = "damaged" } } });
  CHECK(std::holds_alternative<InProgress>(Claim(claims_)));
}

// Guards against a table callback that reaches a service that no longer exists.
TEST(ClaimService, CallbacksAfterDestructionAreIgnored)
{
  {
    ClaimService<FakeTable> gone(table_, InstanceId("i-9"), Random(1));
    gone.Claim(Call(), time_.Now(), [](const ClaimResult&) { FAIL("destroyed"); });
  }
  time_.RunUntil(time_.Now() + 2s);
}

TEST_GROUP(ClaimRecord){};

TEST(ClaimRecord, RecordSurvivesEncodingWithAnyBytes)
{
  ClaimRecord record{ "c-1", "f-1", WallTime(123ms), std::nullopt };
  CHECK(DecodeClaimRecord(EncodeClaimRecord(record)) == record);
  record = WithAnswer(record, { 200, { { "A", "\xff" } }, std::string("\0\xfe", 2) });
  CHECK(DecodeClaimRecord(EncodeClaimRecord(record)) == record);
}

// Guards against replaying framing of the connection on which the first answer came.
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

TEST(ClaimRecord, DamagedRowsAreErrors)
{
  const std::string whole = EncodeClaimRecord({ "c-1", "f-1", WallTime(123ms), std::nullopt });
  for (std::size_t length = 0; length < whole.size(); ++length) {
    CHECK_THROWS(ClaimRecordError, DecodeClaimRecord(whole.substr(0, length)));
  }
  CHECK_THROWS(ClaimRecordError, DecodeClaimRecord(whole + "x"));
}

TEST(ClaimRecord, FingerprintDependsOnTheDivisionOfParts)
{
  const std::array<std::string_view, 2> left{ "ab", "c" };
  const std::array<std::string_view, 2> right{ "a", "bc" };
  CHECK(RequestFingerprint(left) != RequestFingerprint(right));
  CHECK(RequestFingerprint(left) == RequestFingerprint(left));
}

} // namespace boragepier
