#include "boragepier/state/write_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace boragepier {

WriteQueue::WriteQueue(const WriteBatcherOptions& aOptions)
  : options_(aOptions)
  , tokensPerSecond_(aOptions.fleetWritesPerSecond_)
{
  tokens_ = TokenCapacity();
}

void
WriteQueue::SetLiveInstances(std::size_t aCount)
{
  tokensPerSecond_ =
    options_.fleetWritesPerSecond_ / static_cast<double>(std::max<std::size_t>(aCount, 1));
  tokens_ = std::min(tokens_, TokenCapacity());
}

double
WriteQueue::TokenCapacity() const
{
  return std::max(
    1.0, tokensPerSecond_ * std::chrono::duration<double>(options_.burstDuration_).count());
}

void
WriteQueue::Enqueue(TableRequest aRequest, MonotonicTime aDeadline, TableCallback aDone)
{
  auto write = std::make_shared<PendingWrite>();
  write->rows_ = aRequest.operations_.size();
  for (const TableOperation& operation : aRequest.operations_) {
    write->bytes_ += operation.key_.size() + operation.value_.size();
  }
  write->request_ = std::move(aRequest);
  write->done_ = std::move(aDone);
  const bool accepted = CanAccept(*write, aDeadline);
  queuedRows_ += write->rows_;
  queuedBytes_ += write->bytes_;
  // A refused request is completed by the next Expire(), because a callback must not be called from
  // inside Submit().
  write->deadlinePosition_ = deadlines_.emplace(accepted ? aDeadline : MonotonicTime::min(), write);
  if (accepted) {
    queue_.push_back(std::move(write));
  }
}

// A request that would get no token before its deadline is refused at once, so that the caller has
// time left to react.
bool
WriteQueue::CanAccept(const PendingWrite& aWrite, MonotonicTime aDeadline) const
{
  if (queuedRows_ + aWrite.rows_ > options_.maxQueuedRows_ ||
      queuedBytes_ + aWrite.bytes_ > options_.maxQueuedBytes_) {
    return false;
  }
  const double requestsAhead =
    std::max(static_cast<double>(queuedRows_) / static_cast<double>(options_.maxBatchRows_),
             static_cast<double>(queuedBytes_) / static_cast<double>(options_.maxBatchBytes_));
  const double wait = std::max(0.0, requestsAhead - tokens_) / tokensPerSecond_;
  return now_ + FromMilliseconds(wait * 1000) <= aDeadline;
}

void
WriteQueue::RefillTokens(MonotonicTime aNow)
{
  if (aNow <= now_) {
    return;
  }
  const double seconds = std::chrono::duration<double>(aNow - now_).count();
  tokens_ = std::min(tokens_ + seconds * tokensPerSecond_, TokenCapacity());
  now_ = aNow;
}

void
WriteQueue::Expire()
{
  while (!deadlines_.empty() && deadlines_.begin()->first <= now_) {
    const PendingWriteRef write = deadlines_.begin()->second;
    if (write->sent_) {
      ++counters_.unanswered_;
      CompleteWrite(*write, { TableReply::Status::Unknown, {} });
    } else {
      ++counters_.refused_;
      SubtractFromQueueSize(*write);
      CompleteWrite(*write, { TableReply::Status::Unavailable, {} });
    }
  }
  DropCompletedWrites();
}

void
WriteQueue::SubtractFromQueueSize(const PendingWrite& aWrite)
{
  queuedRows_ -= aWrite.rows_;
  queuedBytes_ -= aWrite.bytes_;
}

void
WriteQueue::DropCompletedWrites()
{
  while (!queue_.empty() && !queue_.front()->done_) {
    queue_.pop_front();
  }
}

void
WriteQueue::CompleteWrite(PendingWrite& aWrite, TableReply aReply)
{
  deadlines_.erase(aWrite.deadlinePosition_);
  if (const TableCallback done = std::exchange(aWrite.done_, nullptr)) {
    done(std::move(aReply));
  }
}

std::optional<WriteQueue::Batch>
WriteQueue::TakeBatch()
{
  DropCompletedWrites();
  if (queue_.empty() || tokens_ < 1) {
    return std::nullopt;
  }
  tokens_ -= 1;
  Batch batch;
  std::size_t rows = 0;
  std::size_t bytes = 0;
  while (!queue_.empty()) {
    const PendingWriteRef write = queue_.front();
    if (!write->done_) {
      queue_.pop_front();
      continue;
    }
    const bool first = batch.writes_.empty();
    const bool fits = rows + write->rows_ <= options_.maxBatchRows_ &&
                      bytes + write->bytes_ <= options_.maxBatchBytes_;
    if (!first && (!fits || write->request_.atomic_ || batch.request_.atomic_)) {
      break;
    }
    queue_.pop_front();
    SubtractFromQueueSize(*write);
    write->sent_ = true;
    rows += write->rows_;
    bytes += write->bytes_;
    batch.request_.atomic_ = write->request_.atomic_;
    batch.deadline_ = std::max(batch.deadline_, write->deadlinePosition_->first);
    std::ranges::move(write->request_.operations_, std::back_inserter(batch.request_.operations_));
    batch.writes_.push_back(write);
  }
  ++counters_.requests_;
  counters_.rows_ += rows;
  return batch;
}

void
WriteQueue::CompleteBatch(const Batch& aBatch, TableReply aReply)
{
  std::size_t rows = 0;
  for (const PendingWriteRef& write : aBatch.writes_) {
    rows += write->rows_;
  }
  if (aReply.status_ == TableReply::Status::Done && aReply.results_.size() != rows) {
    aReply = { TableReply::Status::Unknown, {} };
  }
  auto next = std::make_move_iterator(aReply.results_.begin());
  for (const PendingWriteRef& write : aBatch.writes_) {
    TableReply writeReply{ aReply.status_, {} };
    if (aReply.status_ == TableReply::Status::Done) {
      const auto last = next + static_cast<std::ptrdiff_t>(write->rows_);
      writeReply.results_.assign(next, last);
      next = last;
    }
    if (write->done_) {
      CompleteWrite(*write, std::move(writeReply));
    }
  }
}

std::optional<MonotonicTime>
WriteQueue::NextWake() const
{
  std::optional<MonotonicTime> next;
  if (!deadlines_.empty()) {
    next = deadlines_.begin()->first;
  }
  if (!queue_.empty()) {
    // One nanosecond is added, so that after rounding the token is complete at that time.
    const double wait = std::max(0.0, 1 - tokens_) / tokensPerSecond_ * 1000;
    const MonotonicTime tokenTime = now_ + FromMilliseconds(wait) + Duration(tokens_ < 1 ? 1 : 0);
    next = std::min(next.value_or(tokenTime), tokenTime);
  }
  return next;
}

} // namespace boragepier
