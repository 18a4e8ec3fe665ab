#include "testing/load/generator.h"

#include <algorithm>
#include <random>
#include <utility>

namespace boragepier::testing {

namespace {

// An open loop must not wait for a free connection, so the limit is above any expected concurrency.
constexpr std::size_t kMaxConnections = 10'000;

} // namespace

LoadGenerator::LoadGenerator(net::EventLoop& aLoop,
                             LoadSettings aSettings,
                             std::function<void()> aOnDone)
  : loop_(aLoop)
  , settings_(std::move(aSettings))
  , onDone_(std::move(aOnDone))
  , client_(aLoop)
  , operationRandom_(settings_.seed_)
  , arrivalRandom_(settings_.seed_ + 1)
  , report_(settings_.requestCount_)
{
}

void
LoadGenerator::Start()
{
  start_ = loop_.Now();
  nextArrival_ = start_;
  if (settings_.requestsPerSecond_ > 0) {
    SendDueRequests();
    return;
  }
  for (std::uint64_t i = 0; i < std::min(settings_.outstandingRequests_, settings_.requestCount_);
       ++i) {
    SendNextRequest();
  }
}

// Sends all requests that are due, including those whose time passed while the event loop was busy,
// so that the mean rate stays as set.
void
LoadGenerator::SendDueRequests()
{
  while (sentCount_ < settings_.requestCount_) {
    if (const Duration wait = nextArrival_ - loop_.Now(); wait > Duration(0)) {
      loop_.After(wait, [this] { SendDueRequests(); });
      return;
    }
    SendNextRequest();
    const double gapSeconds =
      std::exponential_distribution<double>(settings_.requestsPerSecond_)(arrivalRandom_);
    nextArrival_ += FromMilliseconds(gapSeconds * 1000);
  }
}

LoadGenerator::Operation
LoadGenerator::MakeNextOperation()
{
  auto request = std::make_shared<http::Request>();
  Operation operation;
  const std::string sequenceNumber = std::to_string(sentCount_);
  if (std::uniform_real_distribution<double>(0, 100)(operationRandom_) < settings_.ordersPercent_) {
    operation.idempotencyKey_ =
      settings_.keyPrefix_ + "-" + std::to_string(settings_.seed_) + "-" + sequenceNumber;
    request->method_ = "POST";
    request->target_ = settings_.orderPath_ + "?op=" + sequenceNumber;
    request->headers_.Add("Idempotency-Key", operation.idempotencyKey_);
    request->body_ = "order " + std::to_string(operationRandom_());
  } else {
    request->method_ = "GET";
    request->target_ = settings_.lookupPath_ + "?op=" + sequenceNumber;
  }
  if (settings_.deadlineMs_ > 0) {
    request->headers_.Add("Boragepier-Deadline-Ms", std::to_string(settings_.deadlineMs_));
  }
  operation.request_ = std::move(request);
  return operation;
}

void
LoadGenerator::SendNextRequest()
{
  Operation operation = MakeNextOperation();
  const http::Target& target = settings_.targets_[sentCount_ % settings_.targets_.size()];
  ++sentCount_;
  http::SendOptions options;
  options.timeout_ = settings_.timeout_;
  options.maxConnections_ = kMaxConnections;
  const auto request = operation.request_;
  client_.Send(target,
               request,
               options,
               [this, operation = std::move(operation)](const http::SendResult& aResult) {
                 OnRequestEnded(operation, aResult);
               });
}

void
LoadGenerator::OnRequestEnded(const Operation& aOperation, const http::SendResult& aResult)
{
  report_.Record(*aOperation.request_, aOperation.idempotencyKey_, aResult);
  if (++endedCount_ == settings_.requestCount_) {
    elapsed_ = loop_.Now() - start_;
    onDone_();
  } else if (settings_.requestsPerSecond_ <= 0 && sentCount_ < settings_.requestCount_) {
    SendNextRequest();
  }
}

} // namespace boragepier::testing
