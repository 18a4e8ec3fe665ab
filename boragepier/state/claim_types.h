#ifndef BORAGEPIER_STATE_CLAIM_TYPES_H
#define BORAGEPIER_STATE_CLAIM_TYPES_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <variant>

#include "boragepier/base/ids.h"
#include "boragepier/base/time.h"
#include "boragepier/state/claim_record.h"

namespace boragepier {

/// A call that may be dispatched at most once per idempotency key.
struct ClaimRequest
{
  ServiceName service_;
  std::string
    idempotencyKey_;        ///< Idempotency-Key of the caller; never logged, stored only as a hash
  std::string fingerprint_; ///< see RequestFingerprint()
  MonotonicTime deadline_;  ///< deadline of the caller
  WallTime arrivalTime_;    ///< when the call arrived; the retention starts here
};

/// The right to dispatch one call; move-only, one for each granted claim. Pass it to
/// ClaimService::RecordAnswer() or ClaimService::Release(). Destroy it if the outcome of the call
/// is unknown: the claim then stays in progress and blocks repeats of the call.
class ClaimHandle
{
public:
  ClaimHandle(std::string aRowKey,
              ClaimRecord aRecord,
              std::uint64_t aRevision,
              bool aLateInsertPossible)
    : rowKey_(std::move(aRowKey))
    , record_(std::move(aRecord))
    , revision_(aRevision)
    , lateInsertPossible_(aLateInsertPossible)
  {
  }
  ClaimHandle(ClaimHandle&&) = default;
  ClaimHandle& operator=(ClaimHandle&&) = default;
  ClaimHandle(const ClaimHandle&) = delete;
  ClaimHandle& operator=(const ClaimHandle&) = delete;

  const std::string& RowKey() const { return rowKey_; }
  const ClaimRecord& Record() const { return record_; }
  /// @return revision of the claim row when the claim was granted
  std::uint64_t Revision() const { return revision_; }
  /// @return whether an insert of this claim got no reply. A delayed copy of it may be applied
  ///   after the row was deleted.
  bool LateInsertPossible() const { return lateInsertPossible_; }

private:
  std::string rowKey_;
  ClaimRecord record_;
  std::uint64_t revision_;
  bool lateInsertPossible_;
};

/// The claim was granted. The call may be dispatched if its deadline has not passed meanwhile.
struct Granted
{
  ClaimHandle handle_;
};
/// The call was completed earlier with this answer.
struct Replay
{
  RecordedAnswer answer_;
};
/// The call was completed earlier. answer_ has no body, because the body was too large to store.
struct ReplayWithoutBody
{
  RecordedAnswer answer_;
};
/// The key is claimed and no answer is recorded: the call is still running, or its outcome is
/// unknown.
struct InProgress
{};
/// The key was used before for a request with another fingerprint.
struct KeyReused
{};
/// The claim could not be made: the table did not reply before the deadline. The call was not
/// dispatched.
struct StoreUnavailable
{};

using ClaimResult =
  std::variant<Granted, Replay, ReplayWithoutBody, InProgress, KeyReused, StoreUnavailable>;
using ClaimCallback = std::function<void(ClaimResult)>;

/// Identifies a claim for ClaimService::Cancel(). Values are not reused.
enum class ClaimToken : std::uint64_t
{
};

/// Limits of ClaimService.
struct ClaimOptions
{
  /// Table requests for one claim: insert, read back, second insert, second read back.
  int maxRequestsPerClaim_ = 4;
  /// How long a release or recording is retried. Covers short outages of the table. A claim whose
  /// write fails for this long stays in progress until its retention ends.
  Duration retryWindow_ = std::chrono::seconds(60);
  Duration writeTimeout_ = std::chrono::seconds(2); ///< of one request that releases or records
  Duration initialRetryDelay_ = std::chrono::milliseconds(100);
  Duration maxRetryDelay_ = std::chrono::seconds(5);
  std::size_t maxRowsPerRetry_ = 100; ///< rows of one retry request
  /// Releases and recordings that may wait for a retry; further ones are abandoned. With recorded
  /// answers of a few KiB, 4096 rows take about 16 MB of the 128 MB of an instance.
  std::size_t maxPendingRetries_ = 4096;
};

/// Event counts of ClaimService, for telemetry.
struct ClaimCounters
{
  std::uint64_t granted_ = 0;
  std::uint64_t resolvedByReadBack_ = 0; ///< granted although an insert got no reply
  std::uint64_t storeUnavailable_ = 0;
  std::uint64_t retryRequests_ = 0; ///< table requests that reread rows for a retry
  /// Releases and recordings that were never confirmed. A key whose claim row remains stays in
  /// progress until its retention ends.
  std::uint64_t abandonedRetries_ = 0;
  std::uint64_t malformedRows_ = 0; ///< rows that could not be decoded
};

} // namespace boragepier

#endif
