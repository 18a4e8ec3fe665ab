#ifndef BORAGEPIER_STATE_WRITE_BATCHER_H
#define BORAGEPIER_STATE_WRITE_BATCHER_H

#include <memory>
#include <optional>
#include <utility>

#include "boragepier/base/time.h"
#include "boragepier/ports/table_store.h"
#include "boragepier/state/write_queue.h"

namespace boragepier {

/// A table whose writes share requests. Writes leave at once while this instance is below its share
/// of the fleet's write budget; above it they wait for the next token and leave together. Requests
/// without writes pass straight through. Reads no clock: it counts with the time of the last
/// Advance(), so an old time can only delay a write, never exceed the budget. One thread only.
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

  /// @param aCount live entry instances, this one included; a hint
  void SetLiveInstances(std::size_t aCount) { queue_->SetLiveInstances(aCount); }

  /// See TableStore. Unavailable if the queue is full or the request cannot leave in time.
  /// Afterwards NextWake() may have changed.
  void Submit(TableRequest aRequest, MonotonicTime aDeadline, TableCallback aDone)
  {
    if (!HoldsWrite(aRequest)) {
      table_.Submit(std::move(aRequest), aDeadline, std::move(aDone));
      return;
    }
    queue_->Add(std::move(aRequest), aDeadline, std::move(aDone));
    SendBatches();
  }

  /// Sends and expires what is due. Call before Submit() if time has passed, and at NextWake().
  void Advance(MonotonicTime aNow)
  {
    queue_->Refill(aNow);
    queue_->Expire();
    SendBatches();
  }

  /// @return when Advance() has something to do, if ever
  std::optional<MonotonicTime> NextWake() const { return queue_->NextWake(); }
  std::size_t QueuedRows() const { return queue_->QueuedRows(); }
  const WriteBatcherCounters& Counters() const { return queue_->Counters(); }

private:
  void SendBatches()
  {
    while (std::optional<WriteQueue::Batch> batch = queue_->Take()) {
      auto sent = std::make_shared<WriteQueue::Batch>(std::move(*batch));
      TableRequest request = std::move(sent->request_);
      table_.Submit(std::move(request),
                    sent->deadline_,
                    [queue = std::weak_ptr(queue_), sent](TableReply aReply) {
                      if (const auto alive = queue.lock()) {
                        alive->Complete(*sent, std::move(aReply));
                      }
                    });
    }
  }

  Table& table_;
  std::shared_ptr<WriteQueue> queue_;
};

} // namespace boragepier

#endif
