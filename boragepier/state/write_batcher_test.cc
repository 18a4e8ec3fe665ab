#include "boragepier/state/write_batcher.h"

#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "testing/state/fake_table.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

using namespace std::chrono_literals;
using testing::FakeTable;
using testing::VirtualTime;

TEST_GROUP(WriteBatcher)
{
  using Status = TableReply::Status;

  VirtualTime time_;
  FakeTable table_{ time_ };
  WriteBatcher<FakeTable> batcher_{ table_ };
  std::map<Status, int> replies_;
  int nextKey_ = 0;
  Duration maxLatency_{};
  Duration totalLatency_{};

  void Insert(Duration aTimeout = 10s, bool aAtomic = false)
  {
    TableRequest request{ { { .kind_ = TableOperation::Kind::Insert,
                              .key_ = "k" + std::to_string(nextKey_++) } },
                          aAtomic };
    batcher_.Submit(
      request, time_.Now() + aTimeout, [this, start = time_.Now()](const TableReply& aReply) {
        ++replies_[aReply.status_];
        maxLatency_ = std::max(maxLatency_, time_.Now() - start);
        totalLatency_ += time_.Now() - start;
        CHECK(aReply.status_ != Status::Done || aReply.results_.size() == 1);
      });
  }

  // Runs the virtual time and advances the batcher when it is due.
  void RunFor(Duration aLength)
  {
    const MonotonicTime end = time_.Now() + aLength;
    batcher_.Advance(time_.Now());
    while (true) {
      const MonotonicTime wake = batcher_.NextWake().value_or(end);
      time_.RunUntil(std::min({ end, std::max(wake, time_.Now()), time_.Now() + 1ms }));
      batcher_.Advance(time_.Now());
      if (time_.Now() >= end) {
        return;
      }
    }
  }

  // Submits writes at a constant rate for 10 s of virtual time, then waits for them.
  void SubmitAtRate(int aPerSecond)
  {
    for (int tick = 0; tick < 10000; ++tick) {
      for (int count = tick * aPerSecond / 1000; count < (tick + 1) * aPerSecond / 1000; ++count) {
        Insert();
      }
      RunFor(1ms);
    }
    RunFor(10s);
  }
};

TEST(WriteBatcher, SingleWriteIsSentAtOnce)
{
  batcher_.Advance(time_.Now());
  Insert();
  CHECK_EQUAL(1U, table_.Writes());
}

// Guards against a fleet that exceeds the write limit of the platform. Prints the figures used in
// docs/state.md.
TEST(WriteBatcher, RequestsStayWithinTheShareAtAnyRate)
{
  batcher_.SetLiveInstances(15);
  for (const int rate : { 5, 20, 200, 1500 }) {
    const WriteBatcherCounters before = batcher_.Counters();
    replies_.clear();
    maxLatency_ = totalLatency_ = {};
    SubmitAtRate(rate);
    const auto requests = batcher_.Counters().requests_ - before.requests_;
    std::printf("\n%d writes/s offered: %.1f requests/s, %.1f rows each, %.1f ms mean, %.1f ms max",
                rate,
                static_cast<double>(requests) / 10,
                static_cast<double>(rate) * 10 / static_cast<double>(requests),
                ToMilliseconds(totalLatency_) / (rate * 10),
                ToMilliseconds(maxLatency_));
    CHECK_EQUAL(rate * 10, replies_[Status::Done]);
    // A rate of 20 per second for 10 s, a burst of 5, and the request after the last write.
    CHECK(requests <= 20 * 10 + 5 + 1);
  }
}

TEST(WriteBatcher, ChangedShareTakesEffect)
{
  batcher_.SetLiveInstances(300);
  batcher_.Advance(time_.Now());
  for (int count = 0; count < 10; ++count) {
    Insert();
  }
  CHECK_EQUAL(1U, table_.Writes());
  RunFor(1100ms);
  CHECK_EQUAL(2U, table_.Writes());
  CHECK_EQUAL(10, replies_[Status::Done]);
}

// Guards against sending a write after its caller received Unavailable.
TEST(WriteBatcher, QueuedWriteIsRefusedAtItsDeadlineAndNeverSent)
{
  batcher_.SetLiveInstances(300);
  batcher_.Advance(time_.Now());
  Insert();
  Insert(100ms);
  RunFor(500ms);
  CHECK_EQUAL(1, replies_[Status::Unavailable]);
  RunFor(5s);
  CHECK_EQUAL(1U, table_.Rows().Rows().size());
}

// Guards against a write that is not completed before the latest deadline in its batch.
TEST(WriteBatcher, SentWriteIsUnknownAtItsOwnDeadline)
{
  table_.SetFaultInjector(
    [](const TableRequest&) { return testing::InjectedFault{ .answered_ = false }; });
  batcher_.SetLiveInstances(300);
  batcher_.Advance(time_.Now());
  Insert();
  Insert(1500ms);
  Insert(10s);
  RunFor(1600ms);
  CHECK_EQUAL(1, replies_[Status::Unknown]);
  RunFor(20s);
  CHECK_EQUAL(3, replies_[Status::Unknown]);
}

TEST(WriteBatcher, FullQueueRefusesWithoutSending)
{
  WriteBatcherOptions options;
  options.maxQueuedRows_ = 3;
  WriteBatcher<FakeTable> batcher(table_, options);
  batcher.SetLiveInstances(300);
  int refused = 0;
  for (int count = 0; count < 6; ++count) {
    batcher.Submit(
      { { { .kind_ = TableOperation::Kind::Insert, .key_ = std::to_string(count) } } },
      time_.Now() + 10s,
      [&](const TableReply& aReply) { refused += aReply.status_ == Status::Unavailable ? 1 : 0; });
  }
  CHECK_EQUAL(0, refused);
  batcher.Advance(time_.Now());
  CHECK_EQUAL(2, refused);
}

// Guards against an atomic request that shares a batch with other requests.
TEST(WriteBatcher, AtomicRequestsAreNotBatched)
{
  batcher_.SetLiveInstances(300);
  batcher_.Advance(time_.Now());
  Insert();
  Insert();
  Insert(10s, true);
  Insert();
  RunFor(8s);
  CHECK_EQUAL(4U, table_.Writes());
  CHECK_EQUAL(4, replies_[Status::Done]);
}

TEST(WriteBatcher, ReadsPassThrough)
{
  batcher_.SetLiveInstances(300);
  for (int count = 0; count < 5; ++count) {
    batcher_.Submit({ { { .key_ = "k" } } }, time_.Now() + 1s, [](const TableReply&) {});
  }
  CHECK_EQUAL(5U, table_.Reads());
}

} // namespace boragepier
