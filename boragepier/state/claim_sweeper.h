#ifndef BORAGEPIER_STATE_CLAIM_SWEEPER_H
#define BORAGEPIER_STATE_CLAIM_SWEEPER_H

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "boragepier/base/ids.h"
#include "boragepier/base/time.h"
#include "boragepier/ports/table_store.h"
#include "boragepier/state/claim_record.h"
#include "boragepier/state/rendezvous.h"

namespace boragepier {

/// Limits of ClaimSweeper.
struct ClaimSweeperOptions
{
  std::chrono::milliseconds retention_ = std::chrono::hours(24);
  /// Added to the retention: the instance that made a claim and the one that sweeps it compare
  /// times of different clocks.
  std::chrono::milliseconds clockSkewMargin_ = std::chrono::minutes(5);
  /// Time between the starts of two passes over all claims.
  std::chrono::milliseconds passInterval_ = std::chrono::hours(6);
  /// Time between two pages. Limits a pass to 50 of the 2,000 reads per second of the platform and
  /// to 25,000 rows per second, which is enough for 5,500 claims per second.
  Duration pageInterval_ = std::chrono::milliseconds(20);
  std::size_t maxPageRows_ = 500;
  std::size_t minPageRows_ = 10; ///< also added to the page size after each successful page
  Duration requestTimeout_ = std::chrono::seconds(5); ///< of one table request
};

/// Event counts of ClaimSweeper, for telemetry.
struct ClaimSweeperCounters
{
  std::uint64_t pages_ = 0; ///< pages requested
  std::uint64_t failedPages_ = 0;
  std::uint64_t deletedRows_ = 0;
  std::uint64_t malformedRows_ = 0; ///< not deleted, because their age is unknown
};

/// Deletes claim rows older than the retention. Every instance has a sweeper; rendezvous hashing
/// selects the instance that runs a pass. Two sweepers may run at the same time: a row is deleted
/// only at the revision at which it was found to be expired. Time is passed in; the sweeper reads
/// no clock. Not thread-safe.
template<TableStore Table>
class ClaimSweeper
{
public:
  /// @param aTable outlives the sweeper
  ClaimSweeper(Table& aTable, InstanceId aSelf, const ClaimSweeperOptions& aOptions = {})
    : table_(aTable)
    , self_(std::move(aSelf))
    , options_(aOptions)
    , pageRows_(aOptions.maxPageRows_)
  {
  }
  ClaimSweeper(const ClaimSweeper&) = delete;
  ClaimSweeper& operator=(const ClaimSweeper&) = delete;

  /// Sets the instances among which the owner of a pass is selected. Two instances with different
  /// views may both run a pass, or neither may.
  /// @param aInstances live entry instances, including this one
  void SetInstances(std::span<const InstanceId> aInstances)
  {
    instances_.assign(aInstances.begin(), aInstances.end());
  }

  /// Reads the next page if this instance owns the pass and the page is due. Call at NextWake().
  void Advance(MonotonicTime aNow, WallTime aWallNow)
  {
    now_ = aNow;
    wallNow_ = aWallNow;
    const std::int64_t currentPass = aWallNow.time_since_epoch() / options_.passInterval_;
    // A pass that takes longer than its interval is continued: if it were restarted, the rows with
    // the last keys would never be reached.
    if (currentPass != passNumber_ && (passFinished_ || cursor_.empty() || !OwnsPass())) {
      passNumber_ = currentPass;
      passFinished_ = false;
      cursor_.clear();
    }
    if (!requestInFlight_ && !passFinished_ && now_ >= nextPageTime_ && OwnsPass()) {
      ReadPage();
    }
  }

  /// @return when to call Advance() next
  MonotonicTime NextWake() const
  {
    // The owner changes with the set of live instances, so it is checked every few seconds.
    return requestInFlight_ || passFinished_ || !OwnsPass() ? now_ + std::chrono::seconds(5)
                                                            : nextPageTime_;
  }

  const ClaimSweeperCounters& Counters() const { return counters_; }

private:
  bool OwnsPass() const
  {
    return RendezvousOwner(instances_, "claim-sweep/" + std::to_string(passNumber_)) == self_;
  }

  template<typename Function>
  void Send(const TableRequest& aRequest, Function aDone)
  {
    requestInFlight_ = true;
    table_.Submit(aRequest,
                  now_ + options_.requestTimeout_,
                  [this, alive = std::weak_ptr(alive_), aDone](const TableReply& aReply) {
                    if (!alive.expired()) {
                      requestInFlight_ = false;
                      aDone(aReply);
                    }
                  });
  }

  void ReadPage()
  {
    ++counters_.pages_;
    nextPageTime_ = now_ + options_.pageInterval_;
    TableRequest request;
    request.operations_.push_back({ .kind_ = TableOperation::Kind::Scan,
                                    .key_ = std::string(kClaimKeyPrefix),
                                    .startAfter_ = cursor_,
                                    .limit_ = pageRows_ });
    Send(request, [this](const TableReply& aReply) {
      if (aReply.status_ == TableReply::Status::Done && aReply.results_.size() == 1) {
        pageRows_ = std::min(pageRows_ + options_.minPageRows_, options_.maxPageRows_);
        OnPageRead(aReply.results_.front().scanned_);
      } else {
        // A page of claims with large recorded answers can exceed the size limit of a table reply.
        ++counters_.failedPages_;
        pageRows_ = std::max(pageRows_ / 2, options_.minPageRows_);
      }
    });
  }

  void OnPageRead(std::span<const TableRow> aRows)
  {
    if (aRows.empty()) {
      passFinished_ = true;
      return;
    }
    cursor_ = aRows.back().key_;
    TableRequest request;
    for (const TableRow& row : aRows) {
      if (IsExpired(row)) {
        request.operations_.push_back({ .kind_ = TableOperation::Kind::Delete,
                                        .key_ = row.key_,
                                        .expectedRevision_ = row.revision_ });
      }
    }
    if (!request.operations_.empty()) {
      Send(request, [this](const TableReply& aReply) {
        counters_.deletedRows_ += std::ranges::count_if(
          aReply.results_, [](const TableOperationResult& aResult) { return aResult.applied_; });
      });
    }
  }

  bool IsExpired(const TableRow& aRow)
  {
    try {
      return DecodeClaimRecord(aRow.value_).created_ + options_.retention_ +
               options_.clockSkewMargin_ <
             wallNow_;
    } catch (const ClaimRecordError&) {
      ++counters_.malformedRows_;
      return false;
    }
  }

  Table& table_;
  InstanceId self_;
  ClaimSweeperOptions options_;
  ClaimSweeperCounters counters_;
  std::vector<InstanceId> instances_;
  std::size_t pageRows_;
  std::string cursor_;
  std::int64_t passNumber_ = -1;
  bool passFinished_ = false;
  bool requestInFlight_ = false;
  MonotonicTime now_;
  MonotonicTime nextPageTime_;
  WallTime wallNow_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0); ///< expires for callbacks on destruction
};

} // namespace boragepier

#endif
