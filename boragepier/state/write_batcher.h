#ifndef BORAGEPIER_STATE_WRITE_BATCHER_H
#define BORAGEPIER_STATE_WRITE_BATCHER_H

#include <memory>
#include <optional>
#include <utility>

#include "boragepier/base/time.h"
#include "boragepier/ports/table_store.h"
#include "boragepier/state/write_queue.h"

namespace boragepier {

/// Combines write requests to a table and limits their rate with a token bucket. The rate is an
/// equal share of the write budget of the fleet. A write is sent at once if a token is available;
/// otherwise it waits and is sent in one batch with other writes. Requests without writes are
/// passed on unchanged. Satisfies TableStore.
///
/// Time is passed in; the batcher reads no clock. It uses the time of the last Advance(): an old
/// time can delay a write but never exceed the budget. Not thread-safe.
template<TableStore Table>
class WriteBatcher
{
public:
  /// @param aTable outlives the batcher
  explicit WriteBatcher(Table& aTable, const WriteBatcherOptions& aOptions = {})
    : table_(aTable)
    , queue_(std::make_shared<WriteQueue>(aOptions))
  {
  }
  WriteBatcher(const WriteBatcher&) = delete;
  WriteBatcher& operator=(const WriteBatcher&) = delete;

  /// Sets the number of instances that share the write budget of the fleet.
  /// @param aCount live entry instances, including this one; 0 counts as 1
  void SetLiveInstances(std::size_t aCount) { queue_->SetLiveInstances(aCount); }

  /// See TableStore. The status is Unavailable if the queue is full or the request cannot be sent
  /// before its deadline, and Unknown if it was sent but has no reply at its deadline. May change
  /// NextWake().
  void Submit(TableRequest aRequest, MonotonicTime aDeadline, TableCallback aDone)
  {
    if (!HoldsWrite(aRequest)) {
      table_.Submit(std::move(aRequest), aDeadline, std::move(aDone));
      return;
    }
    queue_->Enqueue(std::move(aRequest), aDeadline, std::move(aDone));
    SendBatches();
  }

  /// Sends the batches that are due and completes requests whose deadline has passed. Call at
  /// NextWake(), and before Submit() if time has passed.
  void Advance(MonotonicTime aNow)
  {
    queue_->RefillTokens(aNow);
    queue_->Expire();
    SendBatches();
  }

  /// @return when Advance() is next due, or nothing if no request is pending
  std::optional<MonotonicTime> NextWake() const { return queue_->NextWake(); }
  /// @return the number of operations that wait to be sent
  std::size_t QueuedRows() const { return queue_->QueuedRows(); }
  const WriteBatcherCounters& Counters() const { return queue_->Counters(); }

private:
  void SendBatches()
  {
    while (std::optional<WriteQueue::Batch> batch = queue_->TakeBatch()) {
      auto sent = std::make_shared<WriteQueue::Batch>(std::move(*batch));
      TableRequest request = std::move(sent->request_);
      table_.Submit(std::move(request),
                    sent->deadline_,
                    [queue = std::weak_ptr(queue_), sent](TableReply aReply) {
                      if (const auto alive = queue.lock()) {
                        alive->CompleteBatch(*sent, std::move(aReply));
                      }
                    });
    }
  }

  Table& table_;
  std::shared_ptr<WriteQueue> queue_;
};

} // namespace boragepier

#endif
