#ifndef BORAGEPIER_STATE_WRITE_QUEUE_H
#define BORAGEPIER_STATE_WRITE_QUEUE_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "boragepier/base/time.h"
#include "boragepier/ports/table_store.h"

namespace boragepier {

/// Limits of WriteBatcher.
struct WriteBatcherOptions
{
  /// Table requests with writes that all instances together may send. The platform accepts several
  /// hundred writes per second.
  double fleetWritesPerSecond_ = 300;
  /// Capacity of the token bucket: as many requests as the rate limit allows in this time, but at
  /// least one. Lets single writes be sent at once at low load.
  Duration burstDuration_ = std::chrono::milliseconds(250);
  std::size_t maxBatchRows_ = 100;       ///< operations of one table request
  std::size_t maxBatchBytes_ = 1 << 20;  ///< keys and values of one table request
  std::size_t maxQueuedRows_ = 4096;     ///< requests that exceed this are refused
  std::size_t maxQueuedBytes_ = 8 << 20; ///< requests that exceed this are refused
};

/// Event counts of WriteBatcher, for telemetry.
struct WriteBatcherCounters
{
  std::uint64_t requests_ = 0;   ///< table requests sent
  std::uint64_t rows_ = 0;       ///< operations in the requests sent
  std::uint64_t refused_ = 0;    ///< not sent: queue full, or no token before the deadline
  std::uint64_t unanswered_ = 0; ///< sent, but no reply before the deadline
};

/// Queue, token bucket and deadlines of WriteBatcher, which sends the batches. Not thread-safe.
class WriteQueue
{
public:
  /// A write request that is queued, or sent and not completed.
  struct PendingWrite
  {
    TableRequest request_;
    std::size_t rows_ = 0;
    std::size_t bytes_ = 0;
    TableCallback done_; ///< empty after it was called
    bool sent_ = false;
    std::multimap<MonotonicTime, std::shared_ptr<PendingWrite>>::iterator deadlinePosition_;
  };
  using PendingWriteRef = std::shared_ptr<PendingWrite>;

  /// Write requests that are sent as one table request.
  struct Batch
  {
    TableRequest request_;
    MonotonicTime deadline_; ///< the latest deadline of its writes
    std::vector<PendingWriteRef> writes_;
  };

  explicit WriteQueue(const WriteBatcherOptions& aOptions);

  /// See WriteBatcher::SetLiveInstances().
  void SetLiveInstances(std::size_t aCount);
  /// Queues a request or refuses it. A refusal is reported by the next Expire().
  void Enqueue(TableRequest aRequest, MonotonicTime aDeadline, TableCallback aDone);
  /// Advances the time and adds the tokens earned since the last call.
  /// @param aNow ignored if not later than before
  void RefillTokens(MonotonicTime aNow);
  /// Completes the requests whose deadline has passed: with Unknown if they were sent, otherwise
  /// with Unavailable.
  void Expire();
  /// Takes a token and removes a batch from the queue.
  /// @return the batch to send now, or nothing if the queue is empty or no token is available
  std::optional<Batch> TakeBatch();
  /// Completes each write of a batch with its part of the reply.
  void CompleteBatch(const Batch& aBatch, TableReply aReply);
  /// @return when RefillTokens(), Expire() and TakeBatch() are next due, or nothing if no request
  ///   is pending
  std::optional<MonotonicTime> NextWake() const;

  /// @return the number of operations that wait to be sent
  std::size_t QueuedRows() const { return queuedRows_; }
  const WriteBatcherCounters& Counters() const { return counters_; }

private:
  bool CanAccept(const PendingWrite& aWrite, MonotonicTime aDeadline) const;
  double TokenCapacity() const;
  void CompleteWrite(PendingWrite& aWrite, TableReply aReply);
  void SubtractFromQueueSize(const PendingWrite& aWrite);
  void DropCompletedWrites();

  WriteBatcherOptions options_;
  WriteBatcherCounters counters_;
  double tokensPerSecond_; ///< a table request takes one token
  double tokens_ = 0;
  MonotonicTime now_;
  std::deque<PendingWriteRef> queue_;
  std::size_t queuedRows_ = 0;
  std::size_t queuedBytes_ = 0;
  /// Queued and sent requests by deadline; refused ones with the earliest possible time.
  std::multimap<MonotonicTime, PendingWriteRef> deadlines_;
};

} // namespace boragepier

#endif
