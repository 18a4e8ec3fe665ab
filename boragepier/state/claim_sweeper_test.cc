#include "boragepier/state/claim_sweeper.h"

#include <array>

#include "testing/state/fake_table.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

using namespace std::chrono_literals;
using testing::FakeTable;
using testing::VirtualTime;

TEST_GROUP(ClaimSweeper)
{
  static constexpr WallTime kStart = WallTime(std::chrono::hours(1000));

  VirtualTime time_;
  FakeTable table_{ time_ };
  MonotonicTime start_ = time_.Now();

  void Insert(const std::string& aKey, WallTime aCreated)
  {
    table_.Rows().Apply({ { { .kind_ = TableOperation::Kind::Insert,
                              .key_ = aKey,
                              .value_ = EncodeClaimRecord({ "c", "f", aCreated }) } } });
  }

  void Run(std::span<ClaimSweeper<FakeTable>* const> aSweepers, Duration aLength)
  {
    for (const MonotonicTime end = time_.Now() + aLength; time_.Now() < end;) {
      const auto sinceStart =
        std::chrono::duration_cast<std::chrono::milliseconds>(time_.Now() - start_);
      for (ClaimSweeper<FakeTable>* sweeper : aSweepers) {
        sweeper->Advance(time_.Now(), kStart + sinceStart);
      }
      time_.RunUntil(time_.Now() + 50ms);
    }
  }
};

// Guards against deleting claims within their retention, and against expired rows that remain.
TEST(ClaimSweeper, DeletesOnlyRowsOlderThanTheRetention)
{
  for (int row = 0; row < 1200; ++row) {
    Insert("claim/a/" + std::to_string(row), kStart - (row % 2 == 0 ? 25h : 23h));
  }
  Insert("config/a", kStart - 100h);
  table_.Rows().Apply(
    { { { .kind_ = TableOperation::Kind::Insert, .key_ = "claim/a/x", .value_ = "damaged" } } });
  const std::array instances{ InstanceId("i-1"), InstanceId("i-2") };
  ClaimSweeper<FakeTable> first(table_, instances[0]);
  ClaimSweeper<FakeTable> second(table_, instances[1]);
  first.SetInstances(instances);
  second.SetInstances(instances);
  Run(std::array{ &first, &second }, 5s);
  CHECK_EQUAL(602U, table_.Rows().Rows().size());
  CHECK_EQUAL(600U, first.Counters().deletedRows_ + second.Counters().deletedRows_);
  // Only one sweeper ran the pass: three pages with rows and the empty page that ends it.
  CHECK_EQUAL(4U, first.Counters().pages_ + second.Counters().pages_);
}

// Guards against deleting a new claim: two sweepers with different views delete the same expired
// row, and the key is claimed again between the two deletions.
TEST(ClaimSweeper, ConcurrentSweepersDoNotDeleteNewClaims)
{
  Insert("claim/a/old", kStart - 30h);
  const InstanceId firstId("i-1");
  const InstanceId secondId("i-2");
  ClaimSweeper<FakeTable> first(table_, firstId);
  ClaimSweeper<FakeTable> second(table_, secondId);
  first.SetInstances(std::span(&firstId, 1));
  second.SetInstances(std::span(&secondId, 1));
  // The second delete request is applied after the row was deleted and inserted again.
  table_.SetFaultInjector([&, deletes = 0](const TableRequest& aRequest) mutable {
    const bool late = HoldsWrite(aRequest) && ++deletes == 2;
    return testing::InjectedFault{ .requestDelay_ = late ? 1s : 1ms };
  });
  Run(std::array{ &first, &second }, 500ms);
  Insert("claim/a/old", kStart);
  Run(std::array{ &first, &second }, 2s);
  CHECK_EQUAL(1U, table_.Rows().Rows().size());
  CHECK_EQUAL(1U, first.Counters().deletedRows_ + second.Counters().deletedRows_);
}

// Guards against a pass that stops because a page was too large or the table was unavailable.
TEST(ClaimSweeper, FailedPagesAreReadAgainWithFewerRows)
{
  for (int row = 0; row < 400; ++row) {
    Insert("claim/a/" + std::to_string(row), kStart - 30h);
  }
  table_.SetFaultInjector([](const TableRequest& aRequest) {
    const TableOperation& first = aRequest.operations_.front();
    return testing::InjectedFault{ .refused_ = first.kind_ == TableOperation::Kind::Scan &&
                                               first.limit_ > 100 };
  });
  const InstanceId firstId("i-1");
  ClaimSweeper<FakeTable> sweeper(table_, firstId);
  sweeper.SetInstances(std::span(&firstId, 1));
  Run(std::array{ &sweeper }, 5s);
  CHECK(table_.Rows().Rows().empty());
}

TEST(ClaimSweeper, NewPassStartsAfterEachInterval)
{
  const InstanceId firstId("i-1");
  ClaimSweeperOptions options;
  options.passInterval_ = 10s;
  ClaimSweeper<FakeTable> sweeper(table_, firstId, options);
  sweeper.SetInstances(std::span(&firstId, 1));
  Run(std::array{ &sweeper }, 29s);
  CHECK_EQUAL(3U, sweeper.Counters().pages_);
}

// Guards against rows with the last keys that are never reached because each pass starts over.
TEST(ClaimSweeper, PassLongerThanItsIntervalIsContinued)
{
  for (int row = 0; row < 100; ++row) {
    Insert("claim/a/" + std::to_string(row), kStart - 30h);
  }
  const InstanceId firstId("i-1");
  ClaimSweeperOptions options;
  options.passInterval_ = 1s;
  options.maxPageRows_ = 1;
  options.minPageRows_ = 1;
  ClaimSweeper<FakeTable> sweeper(table_, firstId, options);
  sweeper.SetInstances(std::span(&firstId, 1));
  Run(std::array{ &sweeper }, 10s);
  CHECK(table_.Rows().Rows().empty());
}

TEST_GROUP(Rendezvous){};

TEST(Rendezvous, LeavingInstanceMovesOnlyItsOwnTasks)
{
  const std::array allInstances{
    InstanceId("a"), InstanceId("b"), InstanceId("c"), InstanceId("d")
  };
  const std::array withoutC{ InstanceId("d"), InstanceId("b"), InstanceId("a") };
  int moved = 0;
  for (int task = 0; task < 1000; ++task) {
    const std::string name = std::to_string(task);
    const InstanceId before = RendezvousOwner(allInstances, name);
    CHECK(before == InstanceId("c") || before == RendezvousOwner(withoutC, name));
    moved += before == InstanceId("c") ? 1 : 0;
  }
  CHECK(moved > 200 && moved < 300);
  CHECK(RendezvousOwner({}, "x").Empty());
}

} // namespace boragepier
