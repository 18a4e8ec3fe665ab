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

LoadRunner::LoadRunner(std::string aName, int aCallers, Paths aPaths)
  : name_(std::move(aName))
  , callers_(aCallers)
  , paths_(std::move(aPaths))
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
    threads_.emplace_back([this, i] { Run(i); });
  }
}

void
LoadRunner::WaitForRequests(int aCount)
{
  const int goal = ended_ + aCount;
  const auto deadline = std::chrono::steady_clock::now() + 2 * ChildProcess::kPatience;
  while (ended_ < goal) {
    if (std::chrono::steady_clock::now() > deadline) {
      throw ChildProcessError("the callers make no progress");
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
LoadRunner::Run(int aCaller)
{
  SyncClient client;
  for (int number = 0; !stopped_; ++number) {
    std::uint16_t port = 0;
    {
      const std::lock_guard lock(mutex_);
      const auto turn = static_cast<std::size_t>(aCaller) + static_cast<std::size_t>(number);
      port = targets_[turn % targets_.size()];
    }
    SendOne(client, MakeRequest(aCaller, number), port);
    ++ended_;
  }
}

http::Request
LoadRunner::MakeRequest(int aCaller, int aNumber) const
{
  const std::string name = name_ + '-' + std::to_string(aCaller) + '-' + std::to_string(aNumber);
  const bool order = !paths_.orders_.empty() && aNumber % 3 == 0;
  const auto& paths = order ? paths_.orders_ : paths_.lookups_;
  const auto turn = static_cast<std::size_t>(aCaller) + static_cast<std::size_t>(aNumber) / 3;
  http::Request request;
  request.method_ = order ? "POST" : "GET";
  request.target_ = paths[turn % paths.size()] + name;
  if (order) {
    request.body_ = "order " + name;
    request.headers_.Add(kIdempotencyKeyHeader, "key-" + name);
  }
  return request;
}

void
LoadRunner::SendOne(SyncClient& aClient, const http::Request& aRequest, std::uint16_t aPort)
{
  const auto start = std::chrono::steady_clock::now();
  const http::SendResult result = aClient.Send(aPort, aRequest);
  const Duration latency = std::chrono::steady_clock::now() - start;
  const std::lock_guard lock(mutex_);
  result_.latenciesMs_.push_back(ToMilliseconds(latency));
  Count(aRequest, result, aPort);
}

void
LoadRunner::Count(const http::Request& aRequest,
                  const http::SendResult& aResult,
                  std::uint16_t aPort)
{
  const http::Response& response = aResult.response_;
  const std::string outcome(response.headers_.Get(kOutcomeHeader).value_or("none"));
  ++result_.sent_;
  if (const auto key = aRequest.headers_.Get(kIdempotencyKeyHeader)) {
    const bool failed = outcome == "answered" && response.status_ >= 500;
    result_.orders_[std::string(*key)] = failed ? "server-error" : outcome;
  }
  if (aResult.outcome_ != Outcome::Answered) {
    ++result_.lost_;
    ++result_.lostByPort_[aPort];
  } else if (outcome != "answered") {
    const auto problem = nlohmann::json::parse(response.body_, nullptr, false);
    const bool typed = problem.is_object() && problem.contains("reason");
    ++result_.refusals_[typed ? problem["reason"].get<std::string>() : "untyped"];
    ++(outcome == "not-run" ? result_.notRun_ : result_.unknown_);
  } else if (response.status_ >= 500) {
    ++result_.serverErrors_;
  } else if (!EchoMatches(aRequest, response.body_)) {
    ++result_.wrong_;
  } else {
    ++result_.answered_;
  }
}

} // namespace boragepier::testing
