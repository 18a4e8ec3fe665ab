#include "boragepier/telemetry/explain.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "boragepier/base/json_text.h"

namespace boragepier {

namespace {

using nlohmann::json;

// Truncates the list to kMaxCandidates: the chosen candidate, which comes first, and those with the
// shortest expected wait.
void
TruncateCandidates(std::vector<CandidateInfo>& aCandidates, const UpstreamId& aChosen)
{
  if (aCandidates.size() <= ExplainStore::kMaxCandidates) {
    return;
  }
  const auto end = aCandidates.begin() + ExplainStore::kMaxCandidates;
  std::partial_sort(aCandidates.begin(),
                    end,
                    aCandidates.end(),
                    [&](const CandidateInfo& aLeft, const CandidateInfo& aRight) {
                      const bool leftChosen = aLeft.id_ == aChosen;
                      const bool rightChosen = aRight.id_ == aChosen;
                      return leftChosen != rightChosen
                               ? leftChosen
                               : aLeft.expectedWaitMs_ < aRight.expectedWaitMs_;
                    });
  aCandidates.erase(end, aCandidates.end());
  aCandidates.shrink_to_fit();
}

json
CandidatesToJson(const std::vector<CandidateInfo>& aCandidates)
{
  json array = json::array();
  for (const CandidateInfo& candidate : aCandidates) {
    array.push_back({ { "upstream", candidate.id_.Text() },
                      { "zone", candidate.zone_.Text() },
                      { "ownOutstanding", candidate.ownOutstanding_ },
                      { "othersEstimate", candidate.othersEstimate_ },
                      { "expectedWaitMs", candidate.expectedWaitMs_ },
                      { "standing", candidate.healthWeight_ },
                      { "leaving", candidate.leaving_ },
                      { "evacuated", candidate.evacuated_ },
                      { "coldMs", ToMilliseconds(candidate.coldFor_) },
                      { "pausedMs", ToMilliseconds(candidate.pausedFor_) } });
  }
  return array;
}

json
AttemptToJson(const ExplainAttempt& aAttempt)
{
  return { { "upstream", aAttempt.upstream_.Text() },
           { "reason",
             aAttempt.retryReason_ ? std::string(ToString(*aAttempt.retryReason_)) : "first" },
           { "startedAfterMs", ToMilliseconds(aAttempt.startedAfter_) },
           { "outcome", ToString(aAttempt.outcome_) },
           { "failure", ToString(aAttempt.failure_) },
           { "status", aAttempt.status_ },
           { "latencyMs", ToMilliseconds(aAttempt.latency_) },
           { "candidateCount", aAttempt.candidateCount_ },
           { "candidates", CandidatesToJson(aAttempt.candidates_) } };
}

json
RecordToJson(const ExplainRecord& aRecord)
{
  json attempts = json::array();
  for (const ExplainAttempt& attempt : aRecord.attempts_) {
    attempts.push_back(AttemptToJson(attempt));
  }
  return { { "requestId", aRecord.id_.Text() },
           { "service", aRecord.service_.Text() },
           { "route", aRecord.route_ },
           { "team", aRecord.team_.Text() },
           { "method", aRecord.method_ },
           { "path", aRecord.path_ },
           { "arrivalUnixMs", aRecord.arrival_.time_since_epoch().count() },
           { "deadlineMs", ToMilliseconds(aRecord.deadline_) },
           { "queuedMs", ToMilliseconds(aRecord.queueTime_) },
           { "replayed", aRecord.replayed_ },
           { "attempts", std::move(attempts) },
           { "refusedCandidates", CandidatesToJson(aRecord.refusedCandidates_) },
           { "refusal", aRecord.refusal_ ? json(ToString(*aRecord.refusal_)) : json(nullptr) },
           { "retryAdvice", ToString(aRecord.returnCause_) },
           { "retryAfterMs", ToMilliseconds(aRecord.retryAfter_) },
           { "outcome", ToString(aRecord.outcome_) },
           { "latencyMs", ToMilliseconds(aRecord.latency_) } };
}

} // namespace

ExplainStore::ExplainStore(std::size_t aCapacity)
  : ring_(std::max<std::size_t>(aCapacity, 1))
{
}

void
ExplainStore::Add(ExplainRecord aRecord)
{
  aRecord.path_.resize(std::min({ aRecord.path_.find('?'), aRecord.path_.size(), kMaxPathBytes }));
  aRecord.attempts_.resize(std::min(aRecord.attempts_.size(), kMaxAttempts));
  for (ExplainAttempt& attempt : aRecord.attempts_) {
    if (attempt.candidateCount_ == 0) {
      attempt.candidateCount_ = attempt.candidates_.size();
    }
    TruncateCandidates(attempt.candidates_, attempt.upstream_);
  }
  TruncateCandidates(aRecord.refusedCandidates_, UpstreamId());
  RecordPtr record = std::make_shared<const ExplainRecord>(std::move(aRecord));
  {
    const std::lock_guard lock(mutex_);
    ring_[next_].swap(record);
    next_ = (next_ + 1) % ring_.size();
  }
  // The replaced record is destroyed here, after the lock is released.
}

ExplainStore::RecordPtr
ExplainStore::Find(std::string_view aRequestId) const
{
  const std::lock_guard lock(mutex_);
  const auto found = std::find_if(ring_.begin(), ring_.end(), [&](const RecordPtr& aRecord) {
    return aRecord && aRecord->id_.View() == aRequestId;
  });
  return found == ring_.end() ? nullptr : *found;
}

std::vector<ExplainStore::RecordPtr>
ExplainStore::Last(std::size_t aCount) const
{
  const std::lock_guard lock(mutex_);
  std::vector<RecordPtr> records;
  for (std::size_t i = 1; i <= std::min(aCount, ring_.size()); ++i) {
    const RecordPtr& record = ring_[(next_ + ring_.size() - i) % ring_.size()];
    if (!record) {
      break;
    }
    records.push_back(record);
  }
  return records;
}

std::string
ToJson(const ExplainRecord& aRecord)
{
  return SerializeJson(RecordToJson(aRecord));
}

std::string
ToJson(std::span<const ExplainStore::RecordPtr> aRecords)
{
  json array = json::array();
  for (const ExplainStore::RecordPtr& record : aRecords) {
    array.push_back(RecordToJson(*record));
  }
  return SerializeJson(array);
}

} // namespace boragepier
