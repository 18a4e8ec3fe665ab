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

// Guards against a key that is freed while a repeat can still arrive, and against rows that stay.
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
  CHECK_EQUAL(600U, first.Counters().deleted_ + second.Counters().deleted_);
  // Exactly one of them worked: three pages with rows and the empty one that ends the pass.
  CHECK_EQUAL(4U, first.Counters().pages_ + second.Counters().pages_);
}

// Guards against two sweepers with different views deleting what the other already deleted and a
// caller claimed again.
TEST(ClaimSweeper, TwoAtOnceAreHarmless)
{
  Insert("claim/a/old", kStart - 30h);
  const InstanceId one("i-1");
  const InstanceId two("i-2");
  ClaimSweeper<FakeTable> first(table_, one);
  ClaimSweeper<FakeTable> second(table_, two);
  first.SetInstances(std::span(&one, 1));
  second.SetInstances(std::span(&two, 1));
  // The deletion by the second one arrives after the row was deleted and claimed again.
  table_.SetFaultInjector([&, deletes = 0](const TableRequest& aRequest) mutable {
    const bool late = HoldsWrite(aRequest) && ++deletes == 2;
    return testing::InjectedFault{ .requestDelay_ = late ? 1s : 1ms };
  });
  Run(std::array{ &first, &second }, 500ms);
  Insert("claim/a/old", kStart);
  Run(std::array{ &first, &second }, 2s);
  CHECK_EQUAL(1U, table_.Rows().Rows().size());
  CHECK_EQUAL(1U, first.Counters().deleted_ + second.Counters().deleted_);
}

// Guards against a sweep that ends for good because one page was too large or the table was down.
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
  const InstanceId one("i-1");
  ClaimSweeper<FakeTable> sweeper(table_, one);
  sweeper.SetInstances(std::span(&one, 1));
  Run(std::array{ &sweeper }, 5s);
  CHECK(table_.Rows().Rows().empty());
}

TEST(ClaimSweeper, PassesStartAgain)
{
  const InstanceId one("i-1");
  ClaimSweeperOptions options;
  options.passInterval_ = 10s;
  ClaimSweeper<FakeTable> sweeper(table_, one, options);
  sweeper.SetInstances(std::span(&one, 1));
  Run(std::array{ &sweeper }, 29s);
  CHECK_EQUAL(3U, sweeper.Counters().pages_);
}

// Guards against rows at the end of the key space that no pass ever reaches.
TEST(ClaimSweeper, PassLongerThanItsIntervalGoesOn)
{
  for (int row = 0; row < 100; ++row) {
    Insert("claim/a/" + std::to_string(row), kStart - 30h);
  }
  const InstanceId one("i-1");
  ClaimSweeperOptions options;
  options.passInterval_ = 1s;
  options.maxPageRows_ = 1;
  options.minPageRows_ = 1;
  ClaimSweeper<FakeTable> sweeper(table_, one, options);
  sweeper.SetInstances(std::span(&one, 1));
  Run(std::array{ &sweeper }, 10s);
  CHECK(table_.Rows().Rows().empty());
}

TEST_GROUP(Rendezvous){};

TEST(Rendezvous, LeavingInstanceMovesOnlyItsOwnTasks)
{
  const std::array all{ InstanceId("a"), InstanceId("b"), InstanceId("c"), InstanceId("d") };
  const std::array fewer{ InstanceId("d"), InstanceId("b"), InstanceId("a") };
  int moved = 0;
  for (int task = 0; task < 1000; ++task) {
    const std::string name = std::to_string(task);
    const InstanceId before = RendezvousOwner(all, name);
    CHECK(before == InstanceId("c") || before == RendezvousOwner(fewer, name));
    moved += before == InstanceId("c") ? 1 : 0;
  }
  CHECK(moved > 200 && moved < 300);
  CHECK(RendezvousOwner({}, "x").Empty());
}

} // namespace boragepier
