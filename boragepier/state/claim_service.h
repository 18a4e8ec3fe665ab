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
#include "boragepier/state/claim_reconciler.h"
#include "boragepier/state/claim_types.h"

namespace boragepier {

namespace internal {

/// A claim whose result has not been delivered.
struct PendingClaim
{
  std::uint64_t token_ = 0;
  std::string rowKey_;
  ClaimRecord record_;
  MonotonicTime deadline_;
  int requests_ = 0;                  ///< table requests sent
  bool insertOutcomeUnknown_ = false; ///< an insert got no reply and may be applied at any time
  ClaimCallback done_;                ///< empty after Cancel()
};

} // namespace internal

/// Makes sure that a call with an idempotency key is dispatched at most once in the fleet. A claim
/// inserts a row for the key; the instance whose insert is applied may dispatch the call, all
/// others find the row and learn its state. See docs/design.md, section 5.
///
/// Time is passed in; the service reads no clock. The owner calls Advance() at NextWake(), and at
/// least every second while claims are pending: the deadlines of background requests are counted
/// from the last time that was passed in. A result is delivered from a table callback, shortly
/// after the caller's deadline at the latest, and never from inside Claim(). Not thread-safe.
template<TableStore Table>
class ClaimService
{
public:
  /// @param aTable outlives the service
  /// @param aInstance part of each claim id, so that ids of two instances differ even with equal
  ///   seeds
  /// @param aRandom seeded from the system's entropy source. If an instance generated the same ids
  ///   after a restart, it would treat rows of its previous run as its own.
  ClaimService(Table& aTable,
               const InstanceId& aInstance,
               Random aRandom,
               ClaimOptions aOptions = {})
    : table_(aTable)
    , instanceId_(aInstance.Text())
    , random_(aRandom)
    , options_(aOptions)
    , reconciler_(aTable, options_, counters_)
  {
  }
  ClaimService(const ClaimService&) = delete;
  ClaimService& operator=(const ClaimService&) = delete;

  /// Claims the key of a call.
  /// @param aDone called exactly once, unless the claim is cancelled. After Granted no other claim
  ///   of the key is granted until the claim row is deleted. The caller's deadline may have passed
  ///   when aDone is called.
  /// @return identifies the claim for Cancel()
  ClaimToken Claim(const ClaimRequest& aRequest, MonotonicTime aNow, ClaimCallback aDone)
  {
    now_ = std::max(now_, aNow);
    auto pending = std::make_shared<internal::PendingClaim>();
    pending->token_ = ++lastToken_;
    pending->rowKey_ = ClaimRowKey(aRequest.service_, aRequest.idempotencyKey_);
    pending->deadline_ = aRequest.deadline_;
    pending->record_ = ClaimRecord{ .claimId_ = NewClaimId(),
                                    .fingerprint_ = aRequest.fingerprint_,
                                    .created_ = aRequest.arrivalTime_ };
    pending->done_ = std::move(aDone);
    pending_.emplace(pending->token_, pending);
    SendInsert(pending);
    return static_cast<ClaimToken>(pending->token_);
  }

  /// Cancels a pending claim, because the caller left or its deadline passed. The callback is not
  /// called. If the insert was or may be applied, the key is released in the background.
  /// @return false if the result has been delivered
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

  /// Stores the answer of the dispatched call in its claim row. Failed writes are retried in the
  /// background.
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
         now_ + options_.writeTimeout_,
         [this, rowKey = aHandle.RowKey(), record](const TableReply& aReply) {
           if (!IsApplied(aReply)) {
             reconciler_.Record(rowKey, *record, now_);
           }
         });
  }

  /// Deletes the claim row of a call that is known not to have run. Failed writes are retried in
  /// the background. Once the row is deleted, the key can be claimed again.
  void Release(ClaimHandle aHandle, MonotonicTime aNow)
  {
    now_ = std::max(now_, aNow);
    DeleteRow(aHandle.RowKey(),
              aHandle.Record().claimId_,
              aHandle.Revision(),
              aHandle.LateInsertPossible());
  }

  /// Retries the releases and recordings that are due. Call at NextWake().
  void Advance(MonotonicTime aNow)
  {
    now_ = std::max(now_, aNow);
    reconciler_.Advance(now_);
  }

  /// @return when Advance() is next due, or nothing if no retry is waiting. May change with each
  ///   call of a member function and each reply of the table.
  std::optional<MonotonicTime> NextWake() const { return reconciler_.NextWake(); }

  /// @return the number of claims whose result has not been delivered
  std::size_t PendingCount() const { return pending_.size(); }
  /// @return the number of releases and recordings whose write is to be retried
  std::size_t PendingRetryCount() const { return reconciler_.PendingRetryCount(); }
  const ClaimCounters& Counters() const { return counters_; }

private:
  using PendingRef = std::shared_ptr<internal::PendingClaim>;

  std::string NewClaimId()
  {
    return instanceId_ + '-' + std::to_string(random_()) + '-' + std::to_string(random_());
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

  static bool HasResult(const TableReply& aReply)
  {
    return aReply.status_ == TableReply::Status::Done && aReply.results_.size() == 1;
  }

  static bool IsApplied(const TableReply& aReply)
  {
    return HasResult(aReply) && aReply.results_.front().applied_;
  }

  void SendInsert(const PendingRef& aPending)
  {
    ++aPending->requests_;
    TableOperation insert{ .kind_ = TableOperation::Kind::Insert,
                           .key_ = aPending->rowKey_,
                           .value_ = EncodeClaimRecord(aPending->record_) };
    Send(std::move(insert), aPending->deadline_, [this, aPending](const TableReply& aReply) {
      OnInsertReply(aPending, aReply);
    });
  }

  void OnInsertReply(const PendingRef& aPending, const TableReply& aReply)
  {
    if (HasResult(aReply)) {
      OnRowRead(aPending, aReply.results_.front().row_);
    } else if (aReply.status_ == TableReply::Status::Unavailable) {
      FinishWithoutGrant(aPending, StoreUnavailable{});
    } else {
      aPending->insertOutcomeUnknown_ = true;
      ReadBack(aPending);
    }
  }

  void ReadBack(const PendingRef& aPending)
  {
    if (!aPending->done_ || ++aPending->requests_ > options_.maxRequestsPerClaim_) {
      FinishWithoutGrant(aPending, StoreUnavailable{});
      return;
    }
    Send({ .kind_ = TableOperation::Kind::Get, .key_ = aPending->rowKey_ },
         aPending->deadline_,
         [this, aPending](const TableReply& aReply) {
           if (HasResult(aReply)) {
             OnRowRead(aPending, aReply.results_.front().row_);
           } else {
             ReadBack(aPending);
           }
         });
  }

  // Handles the row that the table returned for an insert or a read back.
  void OnRowRead(const PendingRef& aPending, const std::optional<TableRow>& aRow)
  {
    if (!aRow) {
      // The insert has not been applied so far, or another claim of the key was released meanwhile.
      if (aPending->done_ && aPending->requests_ < options_.maxRequestsPerClaim_) {
        SendInsert(aPending);
      } else {
        FinishWithoutGrant(aPending, StoreUnavailable{});
      }
      return;
    }
    try {
      const ClaimRecord record = DecodeClaimRecord(aRow->value_);
      if (record.claimId_ == aPending->record_.claimId_) {
        Grant(aPending, aRow->revision_);
      } else {
        FinishWithoutGrant(aPending, Classify(record, aPending->record_.fingerprint_));
      }
    } catch (const ClaimRecordError&) {
      // Whether the call ran is unknown, as for a claim without a recorded answer.
      ++counters_.malformedRows_;
      FinishWithoutGrant(aPending, InProgress{});
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
      DeleteRow(
        aPending->rowKey_, aPending->record_.claimId_, aRevision, aPending->insertOutcomeUnknown_);
      return;
    }
    ++counters_.granted_;
    counters_.resolvedByReadBack_ += aPending->insertOutcomeUnknown_ ? 1 : 0;
    Deliver(aPending,
            Granted{ ClaimHandle(
              aPending->rowKey_, aPending->record_, aRevision, aPending->insertOutcomeUnknown_) });
  }

  // Ends a claim that was not granted. The call was not dispatched, so a row that an unconfirmed
  // insert may still create is deleted in the background.
  void FinishWithoutGrant(const PendingRef& aPending, ClaimResult aResult)
  {
    if (aPending->insertOutcomeUnknown_) {
      reconciler_.Release(aPending->rowKey_, aPending->record_.claimId_, true, now_);
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

  void DeleteRow(const std::string& aRowKey,
                 const std::string& aClaimId,
                 std::uint64_t aRevision,
                 bool aLateInsertPossible)
  {
    TableOperation deletion{ .kind_ = TableOperation::Kind::Delete,
                             .key_ = aRowKey,
                             .expectedRevision_ = aRevision };
    Send(std::move(deletion),
         now_ + options_.writeTimeout_,
         [this, aRowKey, aClaimId, aLateInsertPossible](const TableReply& aReply) {
           if (aLateInsertPossible || !IsApplied(aReply)) {
             reconciler_.Release(aRowKey, aClaimId, aLateInsertPossible, now_);
           }
         });
  }

  Table& table_;
  std::string instanceId_;
  Random random_;
  ClaimOptions options_;
  ClaimCounters counters_;
  ClaimReconciler<Table> reconciler_;
  std::unordered_map<std::uint64_t, PendingRef> pending_;
  std::uint64_t lastToken_ = 0;
  MonotonicTime now_;
  /// Callbacks hold a weak pointer to it and do nothing once it is destroyed.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace boragepier

#endif
