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
  /// Table requests with writes that all instances together may send. The platform takes several
  /// hundred writes per second.
  double fleetWritesPerSecond_ = 300;
  /// Requests saved up while there is nothing to write, as a length of time at the limit. Lets
  /// single writes leave at once at low load.
  Duration burst_ = std::chrono::milliseconds(250);
  std::size_t maxRows_ = 100;            ///< of one table request
  std::size_t maxBytes_ = 1 << 20;       ///< of one table request
  std::size_t maxQueuedRows_ = 4096;     ///< more are refused
  std::size_t maxQueuedBytes_ = 8 << 20; ///< more are refused
};

/// What WriteBatcher did; for telemetry.
struct WriteBatcherCounters
{
  std::uint64_t requests_ = 0; ///< table requests with writes
  std::uint64_t rows_ = 0;     ///< operations in them
  std::uint64_t refused_ = 0;  ///< not sent: queue full, or no turn before the deadline
  std::uint64_t lost_ = 0;     ///< sent, no answer before the deadline
};

/// The part of WriteBatcher that does not depend on the table: queue, token bucket, deadlines.
class WriteQueue
{
public:
  /// A write request that waits or was sent.
  struct Member
  {
    TableRequest request_;
    std::size_t rows_ = 0;
    std::size_t bytes_ = 0;
    TableCallback done_; ///< empty once it ran
    bool sent_ = false;
    std::multimap<MonotonicTime, std::shared_ptr<Member>>::iterator expiry_;
  };
  using MemberRef = std::shared_ptr<Member>;

  /// Writes that leave in one table request.
  struct Batch
  {
    TableRequest request_;
    MonotonicTime deadline_;
    std::vector<MemberRef> members_;
  };

  explicit WriteQueue(const WriteBatcherOptions& aOptions);

  void SetLiveInstances(std::size_t aCount);
  /// Queues a request, or refuses it; the refusal is delivered by Expire().
  void Add(TableRequest aRequest, MonotonicTime aDeadline, TableCallback aDone);
  /// Adds tokens. @param aNow never decreases
  void Refill(MonotonicTime aNow);
  /// Answers the requests whose deadline has passed: Unavailable if not sent, else Unknown.
  void Expire();
  /// @return the next batch that may leave now, if any
  std::optional<Batch> Take();
  /// Hands the reply to each member of a batch.
  void Complete(const Batch& aBatch, TableReply aReply);
  /// @return when Refill(), Expire() and Take() have something to do, if ever
  std::optional<MonotonicTime> NextWake() const;

  std::size_t QueuedRows() const { return queuedRows_; }
  const WriteBatcherCounters& Counters() const { return counters_; }

private:
  bool HasRoom(const Member& aMember, MonotonicTime aDeadline) const;
  double Capacity() const;
  void Answer(Member& aMember, TableReply aReply);
  void Unqueue(const Member& aMember);
  void DropAnswered();

  WriteBatcherOptions options_;
  WriteBatcherCounters counters_;
  double rate_; ///< tokens per second
  double tokens_ = 0;
  MonotonicTime now_;
  std::deque<MemberRef> queue_;
  std::size_t queuedRows_ = 0;
  std::size_t queuedBytes_ = 0;
  std::multimap<MonotonicTime, MemberRef> expiries_;
};

} // namespace boragepier

#endif
