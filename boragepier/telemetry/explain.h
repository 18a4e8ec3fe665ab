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

/// One attempt of a request: the candidates, the chosen upstream and the outcome.
struct ExplainAttempt
{
  UpstreamId upstream_ = {};
  std::optional<RetryReason> retryReason_ = {}; ///< empty for the first attempt
  Duration startedAfter_{};                     ///< from arrival of the request to dispatch
  Outcome outcome_ = Outcome::Unknown;
  AttemptFailure failure_ = AttemptFailure::None;
  int status_ = 0;                             ///< HTTP status; 0 without an answer
  Duration latency_{};                         ///< from dispatch to the end of the attempt
  std::vector<CandidateInfo> candidates_ = {}; ///< at the time of the choice
  std::size_t candidateCount_ = 0;             ///< before truncation; 0 means candidates_.size()
};

/// Record of how one request was served.
struct ExplainRecord
{
  RequestId id_;
  ServiceName service_; ///< empty if no route matched
  std::string route_;   ///< name of the route; empty if the path prefix of the service matched
  TeamName team_;       ///< of the caller; empty without one
  std::string method_;
  std::string path_; ///< without the query
  WallTime arrival_;
  Duration deadline_{};                           ///< time allowed by the caller
  Duration queueTime_{};                          ///< time in the admission queue
  Duration retryAfter_{};                         ///< Retry-After of a refusal; zero if unknown
  RefusalCause returnCause_ = RefusalCause::None; ///< why the caller is to come back then
  std::uint64_t configVersion_ = 0;               ///< of the configuration used for the request
  bool replayed_ = false; ///< the answer recorded for the idempotency key was returned
  std::vector<ExplainAttempt> attempts_;
  /// Candidates of the choice that ended in the refusal.
  std::vector<CandidateInfo> refusedCandidates_;
  std::optional<RefusalReason> refusal_;
  Outcome outcome_ = Outcome::Unknown;
  Duration latency_{};
};

/// Ring buffer of the latest records. Thread-safe.
class ExplainStore
{
public:
  static constexpr std::size_t kDefaultCapacity = 4096;
  /// Candidates kept per choice: the chosen one and those with the shortest expected wait. Bounds
  /// the memory for services with thousands of upstreams.
  static constexpr std::size_t kMaxCandidates = 16;
  static constexpr std::size_t kMaxAttempts = 16;
  static constexpr std::size_t kMaxPathBytes = 256;

  using RecordPtr = std::shared_ptr<const ExplainRecord>;

  explicit ExplainStore(std::size_t aCapacity = kDefaultCapacity);

  /// Adds a record; replaces the oldest one when full. Truncates the record to the limits above and
  /// removes the query, which may hold secrets.
  void Add(ExplainRecord aRecord);
  /// @return the record of a request, or null if there is none
  RecordPtr Find(std::string_view aRequestId) const;
  /// @return up to aCount of the latest records, latest first
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
