#ifndef BORAGEPIER_STATE_CLAIM_RECONCILER_H
#define BORAGEPIER_STATE_CLAIM_RECONCILER_H

#include <algorithm>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "boragepier/base/time.h"
#include "boragepier/ports/table_store.h"
#include "boragepier/state/claim_types.h"

namespace boragepier {

/// Retries releases and recordings of claims whose first write was not confirmed. Each retry reads
/// the claim row and writes only if it still holds this claim without an answer, so retries are
/// idempotent. All rows that are due share one request, so an outage does not multiply the load on
/// the table. Not thread-safe.
template<TableStore Table>
class ClaimReconciler
{
public:
  /// @param aTable,aOptions,aCounters outlive the reconciler
  ClaimReconciler(Table& aTable, const ClaimOptions& aOptions, ClaimCounters& aCounters)
    : table_(aTable)
    , options_(aOptions)
    , counters_(aCounters)
  {
  }

  /// Deletes the row of a claim whose call was not dispatched.
  /// @param aLateInsertPossible an insert of the claim may still be applied: checks for the row
  ///   until the retry window ends, also after it was deleted
  void Release(const std::string& aRowKey,
               const std::string& aClaimId,
               bool aLateInsertPossible,
               MonotonicTime aNow)
  {
    Enqueue(
      Task{ .rowKey_ = aRowKey, .claimId_ = aClaimId, .lateInsertPossible_ = aLateInsertPossible },
      aNow);
  }

  /// Updates the row of a claim with its answer.
  void Record(const std::string& aRowKey, const ClaimRecord& aRecord, MonotonicTime aNow)
  {
    Enqueue(Task{ .rowKey_ = aRowKey,
                  .claimId_ = aRecord.claimId_,
                  .value_ = EncodeClaimRecord(aRecord) },
            aNow);
  }

  /// Sends the retries that are due. Call at NextWake().
  void Advance(MonotonicTime aNow)
  {
    now_ = std::max(now_, aNow);
    tasks_.remove_if([&](const Task& aTask) {
      const bool expired = !aTask.inFlight_ && aTask.retryUntil_ <= now_;
      counters_.abandonedRetries_ += expired && !aTask.finalStateSeen_ ? 1 : 0;
      return expired;
    });
    if (!requestInFlight_) {
      ReadDueRows();
    }
  }

  /// @return when Advance() is next due, or nothing while a request is in flight or no task is left
  std::optional<MonotonicTime> NextWake() const
  {
    std::optional<MonotonicTime> earliest;
    for (const Task& task : tasks_) {
      if (!requestInFlight_) {
        earliest = std::min(earliest.value_or(MonotonicTime::max()),
                            std::min(task.nextRetry_, task.retryUntil_));
      }
    }
    return earliest;
  }

  /// @return the number of rows that have not been seen in their final state. Does not count
  ///   deleted rows that are only checked for late inserts.
  std::size_t PendingRetryCount() const
  {
    return static_cast<std::size_t>(std::count_if(
      tasks_.begin(), tasks_.end(), [](const Task& aTask) { return !aTask.finalStateSeen_; }));
  }

private:
  /// A release or recording that has not been confirmed.
  struct Task
  {
    std::string rowKey_;
    std::string claimId_;
    std::optional<std::string> value_{}; ///< the row with the answer; empty for a release
    bool lateInsertPossible_ = false;
    bool finalStateSeen_ = false; ///< from then on the row is only checked for late inserts
    bool inFlight_ = false;       ///< in the request in flight
    MonotonicTime nextRetry_{};
    MonotonicTime retryUntil_{};
    Duration retryDelay_{};
  };
  using TaskRef = typename std::list<Task>::iterator;
  using Batch = std::vector<TaskRef>;

  void Enqueue(Task aTask, MonotonicTime aNow)
  {
    now_ = std::max(now_, aNow);
    if (tasks_.size() >= options_.maxPendingRetries_) {
      ++counters_.abandonedRetries_;
      return;
    }
    aTask.retryDelay_ = options_.initialRetryDelay_;
    aTask.nextRetry_ = now_ + aTask.retryDelay_;
    aTask.retryUntil_ = now_ + options_.retryWindow_;
    tasks_.push_back(std::move(aTask));
  }

  void Reschedule(Task& aTask)
  {
    aTask.inFlight_ = false;
    aTask.retryDelay_ = std::min(aTask.retryDelay_ * 2, options_.maxRetryDelay_);
    aTask.nextRetry_ = now_ + aTask.retryDelay_;
  }

  // The row is in its final state. If a late insert can create it again, it is checked again.
  void OnFinalState(TaskRef aTask)
  {
    if (!aTask->lateInsertPossible_) {
      tasks_.erase(aTask);
      return;
    }
    aTask->finalStateSeen_ = true;
    Reschedule(*aTask);
  }

  void ReadDueRows()
  {
    Batch batch;
    TableRequest request;
    for (auto task = tasks_.begin(); task != tasks_.end(); ++task) {
      if (batch.size() < options_.maxRowsPerRetry_ && task->nextRetry_ <= now_) {
        task->inFlight_ = true;
        batch.push_back(task);
        request.operations_.push_back(
          { .kind_ = TableOperation::Kind::Get, .key_ = task->rowKey_ });
      }
    }
    if (!batch.empty()) {
      ++counters_.retryRequests_;
      Send(std::move(request), std::move(batch), &ClaimReconciler::OnRowsRead);
    }
  }

  void Send(TableRequest aRequest,
            Batch aBatch,
            void (ClaimReconciler::*aOnReply)(TableReply, Batch))
  {
    requestInFlight_ = true;
    table_.Submit(std::move(aRequest),
                  now_ + options_.writeTimeout_,
                  [this, alive = std::weak_ptr(alive_), batch = std::move(aBatch), aOnReply](
                    TableReply aReply) mutable {
                    if (alive.expired()) {
                      return;
                    }
                    requestInFlight_ = false;
                    const bool complete = aReply.status_ == TableReply::Status::Done &&
                                          aReply.results_.size() == batch.size();
                    if (complete) {
                      (this->*aOnReply)(std::move(aReply), std::move(batch));
                    } else {
                      std::ranges::for_each(batch, [&](TaskRef aTask) { Reschedule(*aTask); });
                    }
                  });
  }

  void OnRowsRead(TableReply aReply, Batch aBatch)
  {
    Batch toWrite;
    TableRequest request;
    for (std::size_t index = 0; index < aBatch.size(); ++index) {
      const TaskRef task = aBatch[index];
      if (const auto& row = aReply.results_[index].row_; row && NeedsWrite(*row, *task)) {
        request.operations_.push_back(
          { .kind_ = task->value_ ? TableOperation::Kind::Update : TableOperation::Kind::Delete,
            .key_ = task->rowKey_,
            .value_ = task->value_.value_or(std::string()),
            .expectedRevision_ = row->revision_ });
        toWrite.push_back(task);
      } else {
        OnFinalState(task);
      }
    }
    if (!toWrite.empty()) {
      Send(std::move(request), std::move(toWrite), &ClaimReconciler::OnRowsWritten);
    }
  }

  bool NeedsWrite(const TableRow& aRow, const Task& aTask)
  {
    try {
      const ClaimRecord record = DecodeClaimRecord(aRow.value_);
      return record.claimId_ == aTask.claimId_ && !record.answer_;
    } catch (const ClaimRecordError&) {
      ++counters_.malformedRows_;
      return false;
    }
  }

  void OnRowsWritten(TableReply aReply, Batch aBatch)
  {
    for (std::size_t index = 0; index < aBatch.size(); ++index) {
      if (aReply.results_[index].applied_) {
        OnFinalState(aBatch[index]);
      } else {
        Reschedule(*aBatch[index]);
      }
    }
  }

  Table& table_;
  const ClaimOptions& options_;
  ClaimCounters& counters_;
  std::list<Task> tasks_;
  bool requestInFlight_ = false; ///< at most one at a time
  MonotonicTime now_;
  /// Callbacks hold a weak pointer to it and do nothing once it is destroyed.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace boragepier

#endif
