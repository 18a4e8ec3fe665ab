#ifndef BORAGEPIER_ENTRY_BATCHED_CLAIM_SERVICE_H
#define BORAGEPIER_ENTRY_BATCHED_CLAIM_SERVICE_H

#include <cstddef>
#include <utility>

#include "boragepier/base/ids.h"
#include "boragepier/base/random.h"
#include "boragepier/base/time.h"
#include "boragepier/ports/table_store.h"
#include "boragepier/state/claim_service.h"
#include "boragepier/state/write_batcher.h"

namespace boragepier {

/// Forwards requests to a table and counts those that have no reply yet.
template<TableStore Table>
class PendingRequestCounter
{
public:
  /// @param aTable must outlive this object
  explicit PendingRequestCounter(Table& aTable)
    : table_(aTable)
  {
  }

  void Submit(TableRequest aRequest, MonotonicTime aDeadline, TableCallback aDone)
  {
    ++pending_;
    table_.Submit(
      std::move(aRequest), aDeadline, [this, done = std::move(aDone)](TableReply aReply) {
        --pending_;
        done(std::move(aReply));
      });
  }

  /// @return the number of requests without a reply
  std::size_t Pending() const { return pending_; }

private:
  Table& table_;
  std::size_t pending_ = 0;
};

/// Claims idempotency keys for one traffic thread: a ClaimService whose table writes go through a
/// WriteBatcher. Satisfies ClaimCoordinator. Not thread-safe.
template<TableStore Table>
class BatchedClaimService
{
public:
  /// @param aTable must outlive this object
  /// @param aInstance id of this instance; part of each claim id
  /// @param aRandom makes claim ids unique; must be seeded from the system's entropy source
  BatchedClaimService(Table& aTable, const InstanceId& aInstance, Random aRandom)
    : counter_(aTable)
    , batcher_(counter_)
    , service_(batcher_, aInstance, aRandom)
  {
  }

  /// Claims a key; see ClaimService::Claim().
  void Claim(ClaimRequest aRequest, MonotonicTime aNow, ClaimCallback aDone)
  {
    batcher_.Advance(aNow);
    service_.Claim(std::move(aRequest), aNow, std::move(aDone));
  }

  /// Records the answer of a claimed request, retrying in the background.
  void RecordAnswer(ClaimHandle aHandle, RecordedAnswer aAnswer, MonotonicTime aNow)
  {
    batcher_.Advance(aNow);
    service_.RecordAnswer(std::move(aHandle), std::move(aAnswer), aNow);
  }

  /// Frees the key of a claimed request that was not run, retrying in the background.
  void Release(ClaimHandle aHandle, MonotonicTime aNow)
  {
    batcher_.Advance(aNow);
    service_.Release(std::move(aHandle), aNow);
  }

  /// Sends batches and retries that are due. Call every few milliseconds.
  void Advance(MonotonicTime aNow)
  {
    batcher_.Advance(aNow);
    service_.Advance(aNow);
  }

  /// Sets the number of live instances, which share the write budget of the table. May be inexact.
  void SetLiveInstances(std::size_t aCount) { batcher_.SetLiveInstances(aCount); }

  /// @return whether every claim has its result, no request to the table is queued or in flight,
  ///   and no recorded answer or release waits for a retry
  bool NothingPending() const
  {
    return service_.PendingCount() == 0 && service_.PendingRetryCount() == 0 &&
           batcher_.QueuedRows() == 0 && counter_.Pending() == 0;
  }

  const ClaimCounters& Counters() const { return service_.Counters(); }

private:
  PendingRequestCounter<Table> counter_;
  WriteBatcher<PendingRequestCounter<Table>> batcher_;
  ClaimService<WriteBatcher<PendingRequestCounter<Table>>> service_;
};

} // namespace boragepier

#endif
