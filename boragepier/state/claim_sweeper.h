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
  /// Added to the retention, because the instance that made the claim and the one that sweeps have
  /// different clocks.
  std::chrono::milliseconds clockMargin_ = std::chrono::minutes(5);
  /// One instance makes one pass over all claims in this time.
  std::chrono::milliseconds passInterval_ = std::chrono::hours(6);
  /// Between pages. At most 50 of the platform's two thousand reads a second, and 25,000 rows a
  /// second, which is enough for 5,500 claims a second.
  Duration pageInterval_ = std::chrono::milliseconds(20);
  std::size_t maxPageRows_ = 500;
  std::size_t minPageRows_ = 10;
  Duration timeout_ = std::chrono::seconds(5); ///< of one table request
};

/// What ClaimSweeper did; for telemetry.
struct ClaimSweeperCounters
{
  std::uint64_t pages_ = 0;
  std::uint64_t failedPages_ = 0;
  std::uint64_t deleted_ = 0;
  std::uint64_t damagedRows_ = 0; ///< left alone, because their age is not known
};

/// Deletes claim rows older than the retention. Every instance runs one; for each pass rendezvous
/// hashing chooses the instance that works. Two of them at once do no harm: a row is deleted only
/// at the revision at which it was found to be old. Reads no clock.
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

  /// @param aInstances live entry instances, this one included; a hint
  void SetInstances(std::span<const InstanceId> aInstances)
  {
    instances_.assign(aInstances.begin(), aInstances.end());
  }

  /// Reads the next page if this instance is chosen and the page is due.
  void Advance(MonotonicTime aNow, WallTime aWallNow)
  {
    now_ = aNow;
    wallNow_ = aWallNow;
    const std::int64_t pass = aWallNow.time_since_epoch() / options_.passInterval_;
    // A pass that takes longer than its interval goes on: starting again would never reach the rows
    // at the end.
    if (pass != pass_ && (finished_ || cursor_.empty() || !IsChosen())) {
      pass_ = pass;
      finished_ = false;
      cursor_.clear();
    }
    if (!busy_ && !finished_ && now_ >= nextPage_ && IsChosen()) {
      ReadPage();
    }
  }

  /// @return when Advance() may have something to do
  MonotonicTime NextWake() const
  {
    // The choice can change at any time, so it is looked at again every few seconds.
    return busy_ || finished_ || !IsChosen() ? now_ + std::chrono::seconds(5) : nextPage_;
  }

  const ClaimSweeperCounters& Counters() const { return counters_; }

private:
  bool IsChosen() const
  {
    return RendezvousOwner(instances_, "claim-sweep/" + std::to_string(pass_)) == self_;
  }

  template<typename Function>
  void Send(const TableRequest& aRequest, Function aDone)
  {
    busy_ = true;
    table_.Submit(aRequest,
                  now_ + options_.timeout_,
                  [this, alive = std::weak_ptr(alive_), aDone](const TableReply& aReply) {
                    if (!alive.expired()) {
                      busy_ = false;
                      aDone(aReply);
                    }
                  });
  }

  void ReadPage()
  {
    ++counters_.pages_;
    nextPage_ = now_ + options_.pageInterval_;
    TableRequest request;
    request.operations_.push_back({ .kind_ = TableOperation::Kind::Scan,
                                    .key_ = std::string(kClaimPrefix),
                                    .startAfter_ = cursor_,
                                    .limit_ = pageRows_ });
    Send(request, [this](const TableReply& aReply) {
      if (aReply.status_ == TableReply::Status::Done && aReply.results_.size() == 1) {
        pageRows_ = std::min(pageRows_ + options_.minPageRows_, options_.maxPageRows_);
        OnPage(aReply.results_.front().scanned_);
      } else {
        // A page of rows with large answers can exceed the limit on an answer: take fewer rows.
        ++counters_.failedPages_;
        pageRows_ = std::max(pageRows_ / 2, options_.minPageRows_);
      }
    });
  }

  void OnPage(std::span<const TableRow> aRows)
  {
    if (aRows.empty()) {
      finished_ = true;
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
        counters_.deleted_ += std::ranges::count_if(
          aReply.results_, [](const TableOperationResult& aResult) { return aResult.applied_; });
      });
    }
  }

  bool IsExpired(const TableRow& aRow)
  {
    try {
      return DecodeClaimRecord(aRow.value_).created_ + options_.retention_ + options_.clockMargin_ <
             wallNow_;
    } catch (const ClaimRecordError&) {
      ++counters_.damagedRows_;
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
  std::int64_t pass_ = -1;
  bool finished_ = false;
  bool busy_ = false;
  MonotonicTime now_;
  MonotonicTime nextPage_;
  WallTime wallNow_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace boragepier

#endif
