#include "boragepier/state/write_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace boragepier {

WriteQueue::WriteQueue(const WriteBatcherOptions& aOptions)
  : options_(aOptions)
  , rate_(aOptions.fleetWritesPerSecond_)
{
  tokens_ = Capacity();
}

void
WriteQueue::SetLiveInstances(std::size_t aCount)
{
  rate_ = options_.fleetWritesPerSecond_ / static_cast<double>(std::max<std::size_t>(aCount, 1));
  tokens_ = std::min(tokens_, Capacity());
}

double
WriteQueue::Capacity() const
{
  return std::max(1.0, rate_ * std::chrono::duration<double>(options_.burst_).count());
}

void
WriteQueue::Add(TableRequest aRequest, MonotonicTime aDeadline, TableCallback aDone)
{
  auto member = std::make_shared<Member>();
  member->rows_ = aRequest.operations_.size();
  for (const TableOperation& operation : aRequest.operations_) {
    member->bytes_ += operation.key_.size() + operation.value_.size();
  }
  member->request_ = std::move(aRequest);
  member->done_ = std::move(aDone);
  const bool hasRoom = HasRoom(*member, aDeadline);
  queuedRows_ += member->rows_;
  queuedBytes_ += member->bytes_;
  // A refused request expires with the next Expire(): the callback must not run inside Submit().
  member->expiry_ = expiries_.emplace(hasRoom ? aDeadline : MonotonicTime::min(), member);
  if (hasRoom) {
    queue_.push_back(std::move(member));
  }
}

// A request that cannot have its turn before its deadline is refused early, so that the caller
// learns it while there is time for something else.
bool
WriteQueue::HasRoom(const Member& aMember, MonotonicTime aDeadline) const
{
  if (queuedRows_ + aMember.rows_ > options_.maxQueuedRows_ ||
      queuedBytes_ + aMember.bytes_ > options_.maxQueuedBytes_) {
    return false;
  }
  const double requestsAhead =
    std::max(static_cast<double>(queuedRows_) / static_cast<double>(options_.maxRows_),
             static_cast<double>(queuedBytes_) / static_cast<double>(options_.maxBytes_));
  const double wait = std::max(0.0, requestsAhead - tokens_) / rate_;
  return now_ + FromMilliseconds(wait * 1000) <= aDeadline;
}

void
WriteQueue::Refill(MonotonicTime aNow)
{
  if (aNow <= now_) {
    return;
  }
  const double seconds = std::chrono::duration<double>(aNow - now_).count();
  tokens_ = std::min(tokens_ + seconds * rate_, Capacity());
  now_ = aNow;
}

void
WriteQueue::Expire()
{
  while (!expiries_.empty() && expiries_.begin()->first <= now_) {
    const MemberRef member = expiries_.begin()->second;
    if (member->sent_) {
      ++counters_.lost_;
      Answer(*member, { TableReply::Status::Unknown, {} });
    } else {
      ++counters_.refused_;
      Unqueue(*member);
      Answer(*member, { TableReply::Status::Unavailable, {} });
    }
  }
  DropAnswered();
}

void
WriteQueue::Unqueue(const Member& aMember)
{
  queuedRows_ -= aMember.rows_;
  queuedBytes_ -= aMember.bytes_;
}

void
WriteQueue::DropAnswered()
{
  while (!queue_.empty() && !queue_.front()->done_) {
    queue_.pop_front();
  }
}

void
WriteQueue::Answer(Member& aMember, TableReply aReply)
{
  expiries_.erase(aMember.expiry_);
  if (const TableCallback done = std::exchange(aMember.done_, nullptr)) {
    done(std::move(aReply));
  }
}

std::optional<WriteQueue::Batch>
WriteQueue::Take()
{
  DropAnswered();
  if (queue_.empty() || tokens_ < 1) {
    return std::nullopt;
  }
  tokens_ -= 1;
  Batch batch;
  std::size_t rows = 0;
  std::size_t bytes = 0;
  while (!queue_.empty()) {
    const MemberRef member = queue_.front();
    if (!member->done_) {
      queue_.pop_front();
      continue;
    }
    const bool first = batch.members_.empty();
    const bool fits =
      rows + member->rows_ <= options_.maxRows_ && bytes + member->bytes_ <= options_.maxBytes_;
    if (!first && (!fits || member->request_.atomic_ || batch.request_.atomic_)) {
      break;
    }
    queue_.pop_front();
    Unqueue(*member);
    member->sent_ = true;
    rows += member->rows_;
    bytes += member->bytes_;
    batch.request_.atomic_ = member->request_.atomic_;
    batch.deadline_ = std::max(batch.deadline_, member->expiry_->first);
    std::ranges::move(member->request_.operations_, std::back_inserter(batch.request_.operations_));
    batch.members_.push_back(member);
  }
  ++counters_.requests_;
  counters_.rows_ += rows;
  return batch;
}

void
WriteQueue::Complete(const Batch& aBatch, TableReply aReply)
{
  std::size_t rows = 0;
  for (const MemberRef& member : aBatch.members_) {
    rows += member->rows_;
  }
  if (aReply.status_ == TableReply::Status::Done && aReply.results_.size() != rows) {
    aReply = { TableReply::Status::Unknown, {} };
  }
  auto next = std::make_move_iterator(aReply.results_.begin());
  for (const MemberRef& member : aBatch.members_) {
    TableReply own{ aReply.status_, {} };
    if (aReply.status_ == TableReply::Status::Done) {
      const auto last = next + static_cast<std::ptrdiff_t>(member->rows_);
      own.results_.assign(next, last);
      next = last;
    }
    if (member->done_) {
      Answer(*member, std::move(own));
    }
  }
}

std::optional<MonotonicTime>
WriteQueue::NextWake() const
{
  std::optional<MonotonicTime> next;
  if (!expiries_.empty()) {
    next = expiries_.begin()->first;
  }
  if (!queue_.empty()) {
    // One nanosecond more, so that rounding never leaves the token just short of whole.
    const double wait = std::max(0.0, 1 - tokens_) / rate_ * 1000;
    const MonotonicTime turn = now_ + FromMilliseconds(wait) + Duration(tokens_ < 1 ? 1 : 0);
    next = std::min(next.value_or(turn), turn);
  }
  return next;
}

} // namespace boragepier
