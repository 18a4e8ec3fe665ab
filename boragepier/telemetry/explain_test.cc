#include "boragepier/telemetry/explain.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

ExplainRecord
MakeRecord(const std::string& aId)
{
  ExplainRecord record;
  record.id_ = RequestId(aId);
  record.method_ = "GET";
  record.path_ = "/stock/1?token=secret";
  return record;
}

CandidateInfo
MakeCandidate(const std::string& aId, double aExpectedWaitMs)
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
    store.Add(MakeRecord("r" + std::to_string(i)));
  }
  CHECK(!store.Find("r1"));
  CHECK(store.Find("r2") != nullptr);
  const auto last = store.Last(10);
  CHECK_EQUAL(3U, last.size());
  CHECK(last[0]->id_.View() == "r4" && last[2]->id_.View() == "r2");
  CHECK_EQUAL(1U, store.Last(1).size());
}

// A query may hold secrets, which operators must not see.
TEST(Explain, QueryIsRemoved)
{
  ExplainStore store(1);
  store.Add(MakeRecord("r"));
  CHECK(store.Find("r")->path_ == "/stock/1");
}

// Records of services with many upstreams must stay bounded, and truncation must keep the chosen
// upstream.
TEST(Explain, KeepsTheChosenCandidateAndThoseWithTheShortestWait)
{
  ExplainRecord record = MakeRecord("r");
  record.attempts_.resize(20);
  for (int i = 0; i < 1000; ++i) {
    record.attempts_[0].candidates_.push_back(MakeCandidate("u" + std::to_string(i), i));
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

// The JSON library throws on invalid UTF-8 unless it is told to replace it.
TEST(Explain, JsonHasEveryFieldAndReplacesInvalidUtf8)
{
  ExplainRecord record = MakeRecord("r");
  record.path_ = "/\xff\"";
  record.refusal_ = RefusalReason::DeadlineExpired;
  record.attempts_.push_back({ .upstream_ = UpstreamId("u1"),
                               .retryReason_ = RetryReason::ConnectionLost,
                               .failure_ = AttemptFailure::Timeout,
                               .candidates_ = { MakeCandidate("u1", 0) } });
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
