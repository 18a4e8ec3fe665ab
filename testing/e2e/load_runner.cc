#include "testing/e2e/load_runner.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "boragepier/entry/request_checks.h"
#include "testing/e2e/child_process.h"
#include "testing/upstream/echo.h"

namespace boragepier::testing {

double
LoadResult::Quantile(double aFraction) const
{
  if (latenciesMs_.empty()) {
    return 0;
  }
  std::vector<double> sorted = latenciesMs_;
  const auto rank = static_cast<std::ptrdiff_t>(aFraction * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
  return sorted[static_cast<std::size_t>(rank)];
}

LoadRunner::LoadRunner(std::string aName, int aCallers, PathPrefixes aPathPrefixes)
  : name_(std::move(aName))
  , callers_(aCallers)
  , pathPrefixes_(std::move(aPathPrefixes))
{
}

LoadRunner::~LoadRunner()
{
  Stop();
}

void
LoadRunner::SetTargets(std::vector<std::uint16_t> aPorts)
{
  const std::lock_guard lock(mutex_);
  targets_ = std::move(aPorts);
}

void
LoadRunner::Start()
{
  for (int i = 0; i < callers_; ++i) {
    threads_.emplace_back([this, i] { RunCaller(i); });
  }
}

void
LoadRunner::WaitForRequests(int aCount)
{
  const int targetCount = completedRequests_ + aCount;
  const auto deadline = std::chrono::steady_clock::now() + 2 * ChildProcess::kTimeout;
  while (completedRequests_ < targetCount) {
    if (std::chrono::steady_clock::now() > deadline) {
      throw ChildProcessError("timed out waiting for requests of the callers to complete");
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

LoadResult
LoadRunner::Stop()
{
  stopped_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  return result_;
}

void
LoadRunner::RunCaller(int aCaller)
{
  SyncClient client;
  for (int sequenceNumber = 0; !stopped_; ++sequenceNumber) {
    std::uint16_t port = 0;
    {
      const std::lock_guard lock(mutex_);
      const auto index =
        static_cast<std::size_t>(aCaller) + static_cast<std::size_t>(sequenceNumber);
      port = targets_[index % targets_.size()];
    }
    SendAndRecord(client, MakeRequest(aCaller, sequenceNumber), port);
    ++completedRequests_;
  }
}

http::Request
LoadRunner::MakeRequest(int aCaller, int aSequenceNumber) const
{
  const std::string requestName =
    name_ + '-' + std::to_string(aCaller) + '-' + std::to_string(aSequenceNumber);
  const bool isOrder = !pathPrefixes_.orderPrefixes_.empty() && aSequenceNumber % 3 == 0;
  const auto& prefixes = isOrder ? pathPrefixes_.orderPrefixes_ : pathPrefixes_.lookupPrefixes_;
  const auto index =
    static_cast<std::size_t>(aCaller) + static_cast<std::size_t>(aSequenceNumber) / 3;
  http::Request request;
  request.method_ = isOrder ? "POST" : "GET";
  request.target_ = prefixes[index % prefixes.size()] + requestName;
  if (isOrder) {
    request.body_ = "order " + requestName;
    request.headers_.Add(kIdempotencyKeyHeader, "key-" + requestName);
  }
  return request;
}

void
LoadRunner::SendAndRecord(SyncClient& aClient, const http::Request& aRequest, std::uint16_t aPort)
{
  const auto start = std::chrono::steady_clock::now();
  const http::SendResult result = aClient.Send(aPort, aRequest);
  const Duration latency = std::chrono::steady_clock::now() - start;
  const std::lock_guard lock(mutex_);
  result_.latenciesMs_.push_back(ToMilliseconds(latency));
  RecordResult(aRequest, result, aPort);
}

void
LoadRunner::RecordResult(const http::Request& aRequest,
                         const http::SendResult& aResult,
                         std::uint16_t aPort)
{
  const http::Response& response = aResult.response_;
  const std::string outcome(response.headers_.Get(kOutcomeHeader).value_or("none"));
  ++result_.sent_;
  if (const auto key = aRequest.headers_.Get(kIdempotencyKeyHeader)) {
    const bool serverError = outcome == "answered" && response.status_ >= 500;
    result_.orderOutcomes_[std::string(*key)] = serverError ? "server-error" : outcome;
  }
  if (aResult.outcome_ != Outcome::Answered) {
    ++result_.lost_;
    ++result_.lostByPort_[aPort];
  } else if (outcome != "answered") {
    const auto problem = nlohmann::json::parse(response.body_, nullptr, false);
    const bool hasReason = problem.is_object() && problem.contains("reason");
    ++result_.refusals_[hasReason ? problem["reason"].get<std::string>() : "untyped"];
    ++(outcome == "not-run" ? result_.notRun_ : result_.unknown_);
  } else if (response.status_ >= 500) {
    ++result_.serverErrors_;
  } else if (!EchoMatches(aRequest, response.body_)) {
    ++result_.mismatched_;
  } else {
    ++result_.answered_;
  }
}

} // namespace boragepier::testing
