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

/// A call that must run at most once.
struct ClaimRequest
{
  ServiceName service_;
  std::string key_;         ///< Idempotency-Key of the caller; never stored or logged
  std::string fingerprint_; ///< see RequestFingerprint()
  MonotonicTime deadline_;  ///< of the caller
  WallTime wallTime_;       ///< now; starts the retention of the claim
};

/// The right to dispatch one call. Exists once for each granted claim: give it to
/// ClaimService::RecordAnswer() or ClaimService::Release(), or drop it when the outcome is unknown.
class ClaimHandle
{
public:
  ClaimHandle(std::string aRowKey, ClaimRecord aRecord, std::uint64_t aRevision, bool aMayLandAgain)
    : rowKey_(std::move(aRowKey))
    , record_(std::move(aRecord))
    , revision_(aRevision)
    , mayLandAgain_(aMayLandAgain)
  {
  }
  ClaimHandle(ClaimHandle&&) = default;
  ClaimHandle& operator=(ClaimHandle&&) = default;
  ClaimHandle(const ClaimHandle&) = delete;
  ClaimHandle& operator=(const ClaimHandle&) = delete;

  const std::string& RowKey() const { return rowKey_; }
  const ClaimRecord& Record() const { return record_; }
  std::uint64_t Revision() const { return revision_; }
  /// @return whether an insert of this claim was lost and can still take effect after a release
  bool MayLandAgain() const { return mayLandAgain_; }

private:
  std::string rowKey_;
  ClaimRecord record_;
  std::uint64_t revision_;
  bool mayLandAgain_;
};

/// The caller may dispatch, after checking its deadline again.
struct Granted
{
  ClaimHandle handle_;
};
/// The call ran before: this was its answer.
struct Replay
{
  RecordedAnswer answer_;
};
/// The call ran before; its answer was too large to be kept. answer_ has no body.
struct ReplayWithoutBody
{
  RecordedAnswer answer_;
};
/// The key is claimed and no outcome is recorded: the call runs, or its outcome is unknown.
struct InProgress
{};
/// The key belongs to a different request.
struct KeyReused
{};
/// The table did not answer in time. Nothing was dispatched under this claim.
struct StoreUnavailable
{};

using ClaimResult =
  std::variant<Granted, Replay, ReplayWithoutBody, InProgress, KeyReused, StoreUnavailable>;
using ClaimCallback = std::function<void(ClaimResult)>;

/// Refers to a claim that has no result yet; never reused.
enum class ClaimToken : std::uint64_t
{
};

/// Limits of ClaimService.
struct ClaimOptions
{
  /// Table requests for one claim: insert, read back, insert again, read back.
  int maxRequestsPerClaim_ = 4;
  /// For how long releases and recordings are retried. Covers short outages of the table; a claim
  /// that is not settled by then stays in progress until it is swept.
  Duration settleWindow_ = std::chrono::seconds(60);
  Duration settleTimeout_ = std::chrono::seconds(2); ///< of one table request
  Duration firstRetry_ = std::chrono::milliseconds(100);
  Duration longestRetry_ = std::chrono::seconds(5);
  std::size_t settleBatch_ = 100; ///< rows of one background request
  /// Claims waiting to be settled. At 4096 rows with recorded answers of a few KiB the queue takes
  /// some 16 MB of the 128 MB of an instance.
  std::size_t maxUnsettled_ = 4096;
};

/// What ClaimService did; for telemetry.
struct ClaimCounters
{
  std::uint64_t granted_ = 0;
  std::uint64_t resolvedByReadBack_ = 0; ///< granted although the insert's answer was lost
  std::uint64_t storeUnavailable_ = 0;
  std::uint64_t settleRetries_ = 0;
  std::uint64_t settleDropped_ = 0; ///< given up; their keys stay in progress until swept
  std::uint64_t damagedRows_ = 0;
};

} // namespace boragepier

#endif
