#include "testing/e2e/load_runner.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "boragepier/entry/request_checks.h"
#include "testing/e2e/child_process.h"
#include "testing/upstream/echo.h"

namespace boragepier::testing {

LoadRunner::LoadRunner(int aCallers, std::string aLookupPath, std::string aOrderPath)
  : callers_(aCallers)
  , lookupPath_(std::move(aLookupPath))
  , orderPath_(std::move(aOrderPath))
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
    const std::string name = std::to_string(aCaller) + '-' + std::to_string(number);
    std::uint16_t port = 0;
    {
      const std::lock_guard lock(mutex_);
      port = targets_.at(static_cast<std::size_t>(aCaller + number) % targets_.size());
    }
    SendOne(client, name, !orderPath_.empty() && number % 3 == 0, port);
    ++ended_;
  }
}

void
LoadRunner::SendOne(SyncClient& aClient,
                    const std::string& aName,
                    bool aOrder,
                    std::uint16_t aPort)
{
  http::Request request;
  request.method_ = aOrder ? "POST" : "GET";
  request.target_ = (aOrder ? orderPath_ : lookupPath_) + aName;
  request.body_ = aOrder ? "order " + aName : "";
  if (aOrder) {
    request.headers_.Add(kKeyHeader, "key-" + aName);
  }
  const http::SendResult result = aClient.Send(aPort, request);
  const http::Response& response = result.response_;
  const std::string outcome(response.headers_.Get(kOutcomeHeader).value_or("none"));

  const std::lock_guard lock(mutex_);
  ++result_.sent_;
  if (aOrder) {
    result_.orders_["key-" + aName] = outcome;
  }
  if (result.outcome_ != Outcome::Answered) {
    ++result_.lost_;
  } else if (outcome != "answered") {
    const auto problem = nlohmann::json::parse(response.body_, nullptr, false);
    const bool typed = problem.is_object() && problem.contains("reason");
    ++result_.refusals_[typed ? problem["reason"].get<std::string>() : "untyped"];
  } else if (response.status_ >= 500) {
    ++result_.serverErrors_;
  } else if (!EchoMatches(request, response.body_)) {
    ++result_.wrong_;
  } else {
    ++result_.answered_;
  }
}

} // namespace boragepier::testing
