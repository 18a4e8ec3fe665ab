#ifndef BORAGEPIER_TELEMETRY_EXPLAIN_H
#define BORAGEPIER_TELEMETRY_EXPLAIN_H

#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "boragepier/base/ids.h"
#include "boragepier/base/outcome.h"
#include "boragepier/base/time.h"
#include "boragepier/decision/service_balancer.h"

namespace boragepier {

/// One attempt of a request: what was chosen from, what was chosen and how it ended.
struct ExplainAttempt
{
  UpstreamId upstream_ = {};
  std::optional<RetryReason> reason_ = {}; ///< nothing for the first attempt
  Duration startedAfter_{};                ///< time from arrival to dispatch
  Outcome outcome_ = Outcome::Unknown;
  AttemptFailure failure_ = AttemptFailure::None;
  int status_ = 0; ///< 0 without an answer
  Duration latency_{};
  std::vector<CandidateInfo> candidates_ = {}; ///< as they stood when the choice was made
  std::size_t candidateCount_ = 0; ///< candidates of the choice; 0 means candidates_.size()
};

/// How one request was served.
struct ExplainRecord
{
  RequestId id_;
  ServiceName service_; ///< empty without a route
  std::string method_;
  std::string path_; ///< without the query
  WallTime arrival_;
  Duration deadline_{};             ///< time that the caller allowed
  Duration queued_{};               ///< time in the admission queue
  Duration retryAfter_{};           ///< of a refusal; zero if unknown
  std::uint64_t configVersion_ = 0; ///< of the configuration that applied
  bool replayed_ = false;
  std::vector<ExplainAttempt> attempts_;
  std::vector<CandidateInfo> refusedCandidates_; ///< of a choice that ended in a refusal
  std::optional<RefusalReason> refusal_;
  Outcome outcome_ = Outcome::Unknown;
  Duration latency_{};
};

/// Keeps the last records. Thread-safe.
class ExplainStore
{
public:
  static constexpr std::size_t kDefaultCapacity = 4096;
  /// Candidates kept of one choice: the one chosen and those with the shortest expected wait.
  /// Bounds the memory of a service with thousands of upstreams.
  static constexpr std::size_t kMaxCandidates = 16;
  static constexpr std::size_t kMaxAttempts = 16;
  static constexpr std::size_t kMaxPath = 256; ///< bytes

  using RecordPtr = std::shared_ptr<const ExplainRecord>;

  explicit ExplainStore(std::size_t aCapacity = kDefaultCapacity);

  /// Adds a record in place of the oldest. Cuts it to the limits above and removes a query.
  void Add(ExplainRecord aRecord);
  /// @return the record of a request, or null if it is not kept
  RecordPtr Find(std::string_view aRequestId) const;
  /// @return the last aCount records, or as many as there are, latest first
  std::vector<RecordPtr> Last(std::size_t aCount) const;
  std::size_t Capacity() const { return ring_.size(); }

private:
  mutable std::mutex mutex_;
  std::vector<RecordPtr> ring_;
  std::size_t next_ = 0;
};

/// @return the record as a JSON object; see docs/OPERATIONS.md
std::string
ToJson(const ExplainRecord& aRecord);
/// @return the records as a JSON array
std::string
ToJson(std::span<const ExplainStore::RecordPtr> aRecords);

} // namespace boragepier

#endif
