#ifndef BORAGEPIER_STATE_CLAIM_SERVICE_H
#define BORAGEPIER_STATE_CLAIM_SERVICE_H

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "boragepier/base/ids.h"
#include "boragepier/base/random.h"
#include "boragepier/ports/table_store.h"
#include "boragepier/state/claim_settler.h"
#include "boragepier/state/claim_types.h"

namespace boragepier {

namespace internal {

/// A claim without result.
struct PendingClaim
{
  std::uint64_t token_ = 0;
  std::string rowKey_;
  ClaimRecord record_;
  MonotonicTime deadline_;
  int requests_ = 0;
  bool insertLost_ = false; ///< an insert may have taken effect or may still do so
  ClaimCallback done_;      ///< empty after Cancel()
};

} // namespace internal

/// Claims calls that must run at most once (docs/design.md, section 5). Reads no clock: time is
/// passed in. The owner calls Advance() at NextWake(), and at least every second while claims are
/// pending, because deadlines of background requests start at the last time that was passed in. One
/// thread only. A result is delivered from a table callback, soon after the caller's deadline at
/// the latest, and never from inside Claim().
template<TableStore Table>
class ClaimService
{
public:
  /// @param aTable outlives the service
  /// @param aInstance makes claim ids of different instances differ whatever their seeds are
  /// @param aRandom seeded from the system's entropy source: two runs of an instance that draw the
  ///   same claim ids would both take one row for their own
  ClaimService(Table& aTable,
               const InstanceId& aInstance,
               Random aRandom,
               ClaimOptions aOptions = {})
    : table_(aTable)
    , instance_(aInstance.Text())
    , random_(aRandom)
    , options_(aOptions)
    , settler_(aTable, options_, counters_)
  {
  }
  ClaimService(const ClaimService&) = delete;
  ClaimService& operator=(const ClaimService&) = delete;

  /// Claims a call.
  /// @param aDone runs exactly once, unless the claim is cancelled. Granted means that nobody else
  ///   dispatches this call; the caller's deadline may have passed by then.
  ClaimToken Claim(const ClaimRequest& aRequest, MonotonicTime aNow, ClaimCallback aDone)
  {
    now_ = std::max(now_, aNow);
    auto pending = std::make_shared<internal::PendingClaim>();
    pending->token_ = ++lastToken_;
    pending->rowKey_ = ClaimRowKey(aRequest.service_, aRequest.key_);
    pending->deadline_ = aRequest.deadline_;
    pending->record_ = ClaimRecord{ .claimId_ = NewClaimId(),
                                    .fingerprint_ = aRequest.fingerprint_,
                                    .created_ = aRequest.wallTime_ };
    pending->done_ = std::move(aDone);
    pending_.emplace(pending->token_, pending);
    SendInsert(pending);
    return static_cast<ClaimToken>(pending->token_);
  }

  /// Gives up a claim without result, because the caller left or its deadline passed. The callback
  /// does not run. If the insert took effect or may do so, the key is released in the background.
  /// @return false if the result was delivered already
  bool Cancel(ClaimToken aToken, MonotonicTime aNow)
  {
    now_ = std::max(now_, aNow);
    const auto found = pending_.find(static_cast<std::uint64_t>(aToken));
    if (found == pending_.end()) {
      return false;
    }
    found->second->done_ = nullptr;
    pending_.erase(found);
    return true;
  }

  /// Records the answer of the dispatched call; retried in the background.
  void RecordAnswer(ClaimHandle aHandle, RecordedAnswer aAnswer, MonotonicTime aNow)
  {
    now_ = std::max(now_, aNow);
    const auto record =
      std::make_shared<ClaimRecord>(WithAnswer(aHandle.Record(), std::move(aAnswer)));
    TableOperation update{ .kind_ = TableOperation::Kind::Update,
                           .key_ = aHandle.RowKey(),
                           .value_ = EncodeClaimRecord(*record),
                           .expectedRevision_ = aHandle.Revision() };
    Send(std::move(update),
         now_ + options_.settleTimeout_,
         [this, rowKey = aHandle.RowKey(), record](const TableReply& aReply) {
           if (!IsApplied(aReply)) {
             settler_.Record(rowKey, *record, now_);
           }
         });
  }

  /// Frees the key of a call that was certainly not run; retried in the background. A repeat of the
  /// call is granted as soon as the row is deleted.
  void Release(ClaimHandle aHandle, MonotonicTime aNow)
  {
    now_ = std::max(now_, aNow);
    Delete(aHandle.RowKey(), aHandle.Record().claimId_, aHandle.Revision(), aHandle.MayLandAgain());
  }

  /// Retries releases and recordings. Call at NextWake().
  void Advance(MonotonicTime aNow)
  {
    now_ = std::max(now_, aNow);
    settler_.Advance(now_);
  }

  /// @return when Advance() has something to do, if ever; changes with each call and table answer
  std::optional<MonotonicTime> NextWake() const { return settler_.NextWake(); }

  /// @return the number of claims without result
  std::size_t PendingCount() const { return pending_.size(); }
  /// @return the number of releases and recordings that are not certain yet
  std::size_t Unsettled() const { return settler_.Unsettled(); }
  const ClaimCounters& Counters() const { return counters_; }

private:
  using PendingRef = std::shared_ptr<internal::PendingClaim>;

  std::string NewClaimId()
  {
    return instance_ + '-' + std::to_string(random_()) + '-' + std::to_string(random_());
  }

  template<typename Function>
  void Send(TableOperation aOperation, MonotonicTime aDeadline, Function aDone)
  {
    TableRequest request;
    request.operations_.push_back(std::move(aOperation));
    table_.Submit(
      std::move(request),
      aDeadline,
      [alive = std::weak_ptr(alive_), done = std::move(aDone)](const TableReply& aReply) {
        if (!alive.expired()) {
          done(aReply);
        }
      });
  }

  static bool IsComplete(const TableReply& aReply)
  {
    return aReply.status_ == TableReply::Status::Done && aReply.results_.size() == 1;
  }

  static bool IsApplied(const TableReply& aReply)
  {
    return IsComplete(aReply) && aReply.results_.front().applied_;
  }

  void SendInsert(const PendingRef& aPending)
  {
    ++aPending->requests_;
    TableOperation insert{ .kind_ = TableOperation::Kind::Insert,
                           .key_ = aPending->rowKey_,
                           .value_ = EncodeClaimRecord(aPending->record_) };
    Send(std::move(insert), aPending->deadline_, [this, aPending](const TableReply& aReply) {
      OnInserted(aPending, aReply);
    });
  }

  void OnInserted(const PendingRef& aPending, const TableReply& aReply)
  {
    if (IsComplete(aReply)) {
      OnRow(aPending, aReply.results_.front().row_);
    } else if (aReply.status_ == TableReply::Status::Unavailable) {
      Finish(aPending, StoreUnavailable{});
    } else {
      aPending->insertLost_ = true;
      ReadBack(aPending);
    }
  }

  void ReadBack(const PendingRef& aPending)
  {
    if (!aPending->done_ || ++aPending->requests_ > options_.maxRequestsPerClaim_) {
      Finish(aPending, StoreUnavailable{});
      return;
    }
    Send({ .kind_ = TableOperation::Kind::Get, .key_ = aPending->rowKey_ },
         aPending->deadline_,
         [this, aPending](const TableReply& aReply) {
           if (IsComplete(aReply)) {
             OnRow(aPending, aReply.results_.front().row_);
           } else {
             ReadBack(aPending);
           }
         });
  }

  // Decides on the row that the table holds after an insert or when it is read back.
  void OnRow(const PendingRef& aPending, const std::optional<TableRow>& aRow)
  {
    if (!aRow) {
      // The insert did not take effect yet, or the row of another claim was released meanwhile.
      if (aPending->done_ && aPending->requests_ < options_.maxRequestsPerClaim_) {
        SendInsert(aPending);
      } else {
        Finish(aPending, StoreUnavailable{});
      }
      return;
    }
    try {
      const ClaimRecord record = DecodeClaimRecord(aRow->value_);
      if (record.claimId_ == aPending->record_.claimId_) {
        Grant(aPending, aRow->revision_);
      } else {
        Finish(aPending, Classify(record, aPending->record_.fingerprint_));
      }
    } catch (const ClaimRecordError&) {
      // Whether the call ran cannot be known, as with a claim without outcome.
      ++counters_.damagedRows_;
      Finish(aPending, InProgress{});
    }
  }

  static ClaimResult Classify(const ClaimRecord& aRecord, const std::string& aFingerprint)
  {
    if (aRecord.fingerprint_ != aFingerprint) {
      return KeyReused{};
    }
    if (!aRecord.answer_) {
      return InProgress{};
    }
    if (aRecord.bodyOmitted_) {
      return ReplayWithoutBody{ *aRecord.answer_ };
    }
    return Replay{ *aRecord.answer_ };
  }

  void Grant(const PendingRef& aPending, std::uint64_t aRevision)
  {
    if (!aPending->done_) {
      Delete(aPending->rowKey_, aPending->record_.claimId_, aRevision, aPending->insertLost_);
      return;
    }
    ++counters_.granted_;
    counters_.resolvedByReadBack_ += aPending->insertLost_ ? 1 : 0;
    Deliver(aPending,
            Granted{ ClaimHandle(
              aPending->rowKey_, aPending->record_, aRevision, aPending->insertLost_) });
  }

  // Ends a claim that was not granted. Nothing was dispatched, so a lost insert is released.
  void Finish(const PendingRef& aPending, ClaimResult aResult)
  {
    if (aPending->insertLost_) {
      settler_.Release(aPending->rowKey_, aPending->record_.claimId_, true, now_);
    }
    counters_.storeUnavailable_ += std::holds_alternative<StoreUnavailable>(aResult) ? 1 : 0;
    Deliver(aPending, std::move(aResult));
  }

  void Deliver(const PendingRef& aPending, ClaimResult aResult)
  {
    pending_.erase(aPending->token_);
    if (const ClaimCallback done = std::exchange(aPending->done_, nullptr)) {
      done(std::move(aResult));
    }
  }

  void Delete(const std::string& aRowKey,
              const std::string& aClaimId,
              std::uint64_t aRevision,
              bool aMayLandAgain)
  {
    TableOperation remove{ .kind_ = TableOperation::Kind::Delete,
                           .key_ = aRowKey,
                           .expectedRevision_ = aRevision };
    Send(std::move(remove),
         now_ + options_.settleTimeout_,
         [this, aRowKey, aClaimId, aMayLandAgain](const TableReply& aReply) {
           if (aMayLandAgain || !IsApplied(aReply)) {
             settler_.Release(aRowKey, aClaimId, aMayLandAgain, now_);
           }
         });
  }

  Table& table_;
  std::string instance_;
  Random random_;
  ClaimOptions options_;
  ClaimCounters counters_;
  ClaimSettler<Table> settler_;
  std::unordered_map<std::uint64_t, PendingRef> pending_;
  std::uint64_t lastToken_ = 0;
  MonotonicTime now_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace boragepier

#endif
