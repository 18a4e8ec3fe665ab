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

/// Counts the requests to a table that have no reply yet.
template<TableStore Table>
class PendingCounter
{
public:
  /// @param aTable outlives this object
  explicit PendingCounter(Table& aTable)
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

  std::size_t Pending() const { return pending_; }

private:
  Table& table_;
  std::size_t pending_ = 0;
};

/// The claims of one traffic thread: a claim service whose writes go through a batcher. Satisfies
/// ClaimGate.
template<TableStore Table>
class TrafficClaims
{
public:
  /// @param aTable outlives this object
  /// @param aInstance this instance
  /// @param aRandom seeded from the system's entropy source
  TrafficClaims(Table& aTable, const InstanceId& aInstance, Random aRandom)
    : counter_(aTable)
    , batcher_(counter_)
    , service_(batcher_, aInstance, aRandom)
  {
  }

  void Claim(ClaimRequest aRequest, MonotonicTime aNow, ClaimCallback aDone)
  {
    batcher_.Advance(aNow);
    service_.Claim(std::move(aRequest), aNow, std::move(aDone));
  }

  void RecordAnswer(ClaimHandle aHandle, RecordedAnswer aAnswer, MonotonicTime aNow)
  {
    batcher_.Advance(aNow);
    service_.RecordAnswer(std::move(aHandle), std::move(aAnswer), aNow);
  }

  void Release(ClaimHandle aHandle, MonotonicTime aNow)
  {
    batcher_.Advance(aNow);
    service_.Release(std::move(aHandle), aNow);
  }

  /// Sends batches and retries that are due; called at short intervals.
  void Advance(MonotonicTime aNow)
  {
    batcher_.Advance(aNow);
    service_.Advance(aNow);
  }

  /// @param aCount batchers of the fleet that share the write budget; a hint
  void SetSharers(std::size_t aCount) { batcher_.SetLiveInstances(aCount); }

  /// @return whether every claim is decided and every answer and release has reached the table
  bool Settled() const
  {
    return service_.PendingCount() == 0 && service_.Unsettled() == 0 &&
           batcher_.QueuedRows() == 0 && counter_.Pending() == 0;
  }

  const ClaimCounters& Counters() const { return service_.Counters(); }

private:
  PendingCounter<Table> counter_;
  WriteBatcher<PendingCounter<Table>> batcher_;
  ClaimService<WriteBatcher<PendingCounter<Table>>> service_;
};

} // namespace boragepier

#endif
