#include "boragepier/telemetry/explain.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

ExplainRecord
Record(const std::string& aId)
{
  ExplainRecord record;
  record.id_ = RequestId(aId);
  record.method_ = "GET";
  record.path_ = "/stock/1?token=secret";
  return record;
}

CandidateInfo
Candidate(const std::string& aId, double aExpectedWaitMs)
{
  CandidateInfo candidate;
  candidate.id_ = UpstreamId(aId);
  candidate.expectedWaitMs_ = aExpectedWaitMs;
  return candidate;
}

} // namespace

TEST_GROUP(Explain){};

TEST(Explain, KeepsTheLastRecords)
{
  ExplainStore store(3);
  CHECK(store.Last(10).empty());
  for (int i = 0; i < 5; ++i) {
    store.Add(Record("r" + std::to_string(i)));
  }
  CHECK(!store.Find("r1"));
  CHECK(store.Find("r2") != nullptr);
  const auto last = store.Last(10);
  CHECK_EQUAL(3U, last.size());
  CHECK(last[0]->id_.View() == "r4" && last[2]->id_.View() == "r2");
  CHECK_EQUAL(1U, store.Last(1).size());
}

// Guards against a secret in a query that is shown to operators.
TEST(Explain, QueryIsRemoved)
{
  ExplainStore store(1);
  store.Add(Record("r"));
  CHECK(store.Find("r")->path_ == "/stock/1");
}

// Guards against records of a large service that take memory without bound, and against a cut that
// removes the upstream that was chosen.
TEST(Explain, CandidatesAreCutToTheBestAndTheChosen)
{
  ExplainRecord record = Record("r");
  record.attempts_.resize(20);
  for (int i = 0; i < 1000; ++i) {
    record.attempts_[0].candidates_.push_back(Candidate("u" + std::to_string(i), i));
  }
  record.attempts_[0].upstream_ = UpstreamId("u999");
  ExplainStore store(1);
  store.Add(record);
  const auto kept = store.Find("r");
  CHECK_EQUAL(ExplainStore::kMaxAttempts, kept->attempts_.size());
  const ExplainAttempt& first = kept->attempts_[0];
  CHECK_EQUAL(ExplainStore::kMaxCandidates, first.candidates_.size());
  CHECK_EQUAL(1000U, first.candidateCount_);
  CHECK(first.candidates_[0].id_.View() == "u999" && first.candidates_[1].id_.View() == "u0");
}

// Guards against a path with arbitrary bytes that makes the JSON output fail.
TEST(Explain, JsonHasEveryFieldAndAcceptsAnyBytes)
{
  ExplainRecord record = Record("r");
  record.path_ = "/\xff\"";
  record.refusal_ = RefusalReason::DeadlineExpired;
  record.attempts_.push_back({ .upstream_ = UpstreamId("u1"),
                               .reason_ = RetryReason::ConnectionLost,
                               .failure_ = AttemptFailure::Timeout,
                               .candidates_ = { Candidate("u1", 0) } });
  ExplainStore store;
  store.Add(record);
  const auto json = nlohmann::json::parse(ToJson(store.Last(1))).at(0);
  CHECK(json.at("requestId") == "r" && json.at("refusal") == "deadline-expired");
  CHECK(json.at("attempts").at(0).at("reason") == "connection-lost");
  CHECK(json.at("attempts").at(0).at("failure") == "timeout");
  CHECK(json.at("attempts").at(0).at("candidates").at(0).at("upstream") == "u1");
  CHECK(nlohmann::json::parse(ToJson(*store.Find("r"))) == json);
}

} // namespace boragepier
