#ifndef BORAGEPIER_STATE_CLAIM_SETTLER_H
#define BORAGEPIER_STATE_CLAIM_SETTLER_H

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

/// Brings claim rows to their final state in the background when the first attempt had no certain
/// answer: deletes the rows of released claims and records answers. Reads rows again and changes
/// only those that still hold the claim without an answer, so repeating a step is harmless. All due
/// rows share one request, so an outage does not multiply the load on the table.
template<TableStore Table>
class ClaimSettler
{
public:
  /// aTable and aCounters outlive the settler.
  ClaimSettler(Table& aTable, const ClaimOptions& aOptions, ClaimCounters& aCounters)
    : table_(aTable)
    , options_(aOptions)
    , counters_(aCounters)
  {
  }

  /// Deletes the row of a claim that was not dispatched.
  /// @param aMayLandAgain an insert of the claim may still take effect: keeps looking for the row
  void Release(const std::string& aRowKey,
               const std::string& aClaimId,
               bool aMayLandAgain,
               MonotonicTime aNow)
  {
    Add(Task{ .rowKey_ = aRowKey, .claimId_ = aClaimId, .mayLandAgain_ = aMayLandAgain }, aNow);
  }

  /// Replaces the row of a claim by one with its answer.
  void Record(const std::string& aRowKey, const ClaimRecord& aRecord, MonotonicTime aNow)
  {
    Add(Task{ .rowKey_ = aRowKey,
              .claimId_ = aRecord.claimId_,
              .value_ = EncodeClaimRecord(aRecord) },
        aNow);
  }

  /// Sends what is due. Call at NextWake().
  void Advance(MonotonicTime aNow)
  {
    now_ = std::max(now_, aNow);
    tasks_.remove_if([&](const Task& aTask) {
      const bool over = !aTask.inFlight_ && aTask.giveUp_ <= now_;
      counters_.settleDropped_ += over && !aTask.settledOnce_ ? 1 : 0;
      return over;
    });
    if (!busy_) {
      ReadDueRows();
    }
  }

  /// @return when Advance() has something to do, if ever
  std::optional<MonotonicTime> NextWake() const
  {
    std::optional<MonotonicTime> next;
    for (const Task& task : tasks_) {
      if (!busy_) {
        next = std::min(next.value_or(MonotonicTime::max()), std::min(task.due_, task.giveUp_));
      }
    }
    return next;
  }

  /// @return the number of claims that wait to be settled; not of those whose row is in its final
  ///   state and only watched for an insert that was lost on the way
  std::size_t Unsettled() const
  {
    return static_cast<std::size_t>(std::count_if(
      tasks_.begin(), tasks_.end(), [](const Task& aTask) { return !aTask.settledOnce_; }));
  }

private:
  struct Task
  {
    std::string rowKey_;
    std::string claimId_;
    std::optional<std::string> value_{}; ///< the row with the answer; absent for a release
    bool mayLandAgain_ = false;
    bool settledOnce_ = false; ///< seen in its final state; only watched since
    bool inFlight_ = false;
    MonotonicTime due_{};
    MonotonicTime giveUp_{};
    Duration delay_{};
  };
  using TaskRef = typename std::list<Task>::iterator;
  using Batch = std::vector<TaskRef>;

  void Add(Task aTask, MonotonicTime aNow)
  {
    now_ = std::max(now_, aNow);
    if (tasks_.size() >= options_.maxUnsettled_) {
      ++counters_.settleDropped_;
      return;
    }
    aTask.delay_ = options_.firstRetry_;
    aTask.due_ = now_ + aTask.delay_;
    aTask.giveUp_ = now_ + options_.settleWindow_;
    tasks_.push_back(std::move(aTask));
  }

  void Reschedule(Task& aTask)
  {
    aTask.inFlight_ = false;
    aTask.delay_ = std::min(aTask.delay_ * 2, options_.longestRetry_);
    aTask.due_ = now_ + aTask.delay_;
  }

  // The row is in its final state. A lost insert can bring the row back, so it is looked up again.
  void Settled(TaskRef aTask)
  {
    if (!aTask->mayLandAgain_) {
      tasks_.erase(aTask);
      return;
    }
    aTask->settledOnce_ = true;
    Reschedule(*aTask);
  }

  void ReadDueRows()
  {
    Batch batch;
    TableRequest request;
    for (auto task = tasks_.begin(); task != tasks_.end(); ++task) {
      if (batch.size() < options_.settleBatch_ && task->due_ <= now_) {
        task->inFlight_ = true;
        batch.push_back(task);
        request.operations_.push_back(
          { .kind_ = TableOperation::Kind::Get, .key_ = task->rowKey_ });
      }
    }
    if (!batch.empty()) {
      ++counters_.settleRetries_;
      Send(std::move(request), std::move(batch), &ClaimSettler::OnRows);
    }
  }

  void Send(TableRequest aRequest, Batch aBatch, void (ClaimSettler::*aNext)(TableReply, Batch))
  {
    busy_ = true;
    table_.Submit(std::move(aRequest),
                  now_ + options_.settleTimeout_,
                  [this, alive = std::weak_ptr(alive_), batch = std::move(aBatch), aNext](
                    TableReply aReply) mutable {
                    if (alive.expired()) {
                      return;
                    }
                    busy_ = false;
                    const bool complete = aReply.status_ == TableReply::Status::Done &&
                                          aReply.results_.size() == batch.size();
                    if (complete) {
                      (this->*aNext)(std::move(aReply), std::move(batch));
                    } else {
                      std::ranges::for_each(batch, [&](TaskRef aTask) { Reschedule(*aTask); });
                    }
                  });
  }

  void OnRows(TableReply aReply, Batch aBatch)
  {
    Batch changed;
    TableRequest request;
    for (std::size_t index = 0; index < aBatch.size(); ++index) {
      const TaskRef task = aBatch[index];
      if (const auto& row = aReply.results_[index].row_; row && NeedsChange(*row, *task)) {
        request.operations_.push_back(
          { .kind_ = task->value_ ? TableOperation::Kind::Update : TableOperation::Kind::Delete,
            .key_ = task->rowKey_,
            .value_ = task->value_.value_or(std::string()),
            .expectedRevision_ = row->revision_ });
        changed.push_back(task);
      } else {
        Settled(task);
      }
    }
    if (!changed.empty()) {
      Send(std::move(request), std::move(changed), &ClaimSettler::OnChanged);
    }
  }

  bool NeedsChange(const TableRow& aRow, const Task& aTask)
  {
    try {
      const ClaimRecord record = DecodeClaimRecord(aRow.value_);
      return record.claimId_ == aTask.claimId_ && !record.answer_;
    } catch (const ClaimRecordError&) {
      ++counters_.damagedRows_;
      return false;
    }
  }

  void OnChanged(TableReply aReply, Batch aBatch)
  {
    for (std::size_t index = 0; index < aBatch.size(); ++index) {
      if (aReply.results_[index].applied_) {
        Settled(aBatch[index]);
      } else {
        Reschedule(*aBatch[index]);
      }
    }
  }

  Table& table_;
  const ClaimOptions& options_;
  ClaimCounters& counters_;
  std::list<Task> tasks_;
  bool busy_ = false; ///< one request at a time
  MonotonicTime now_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace boragepier

#endif
