#include "testing/load/generator.h"

#include <algorithm>
#include <random>
#include <utility>

namespace boragepier::testing {

namespace {

// An open loop must not wait for a connection, so the limit is never reached in practice.
constexpr std::size_t kMaxConnections = 10'000;

} // namespace

LoadGenerator::LoadGenerator(net::EventLoop& aLoop,
                             LoadSettings aSettings,
                             std::function<void()> aDone)
  : loop_(aLoop)
  , settings_(std::move(aSettings))
  , done_(std::move(aDone))
  , client_(aLoop)
  , random_(settings_.seed_)
  , arrivals_(settings_.seed_ + 1)
  , report_(settings_.count_)
{
}

void
LoadGenerator::Start()
{
  start_ = loop_.Now();
  nextArrival_ = start_;
  if (settings_.rate_ > 0) {
    OnArrival();
    return;
  }
  for (std::uint64_t i = 0; i < std::min(settings_.clients_, settings_.count_); ++i) {
    SendNext();
  }
}

// Sends what is due. Arrivals that the loop missed are caught up, so that the rate holds.
void
LoadGenerator::OnArrival()
{
  while (sent_ < settings_.count_) {
    if (const Duration wait = nextArrival_ - loop_.Now(); wait > Duration(0)) {
      loop_.After(wait, [this] { OnArrival(); });
      return;
    }
    SendNext();
    const double gap = std::exponential_distribution<double>(settings_.rate_)(arrivals_);
    nextArrival_ += FromMilliseconds(gap * 1000);
  }
}

LoadGenerator::Operation
LoadGenerator::MakeOperation()
{
  auto request = std::make_shared<http::Request>();
  Operation operation;
  const std::string number = std::to_string(sent_);
  if (std::uniform_real_distribution<double>(0, 100)(random_) < settings_.ordersPercent_) {
    operation.key_ = settings_.keyPrefix_ + "-" + std::to_string(settings_.seed_) + "-" + number;
    request->method_ = "POST";
    request->target_ = settings_.orderPath_ + "?op=" + number;
    request->headers_.Add("Idempotency-Key", operation.key_);
    request->body_ = "order " + std::to_string(random_());
  } else {
    request->method_ = "GET";
    request->target_ = settings_.lookupPath_ + "?op=" + number;
  }
  if (settings_.deadlineMs_ > 0) {
    request->headers_.Add("Boragepier-Deadline-Ms", std::to_string(settings_.deadlineMs_));
  }
  operation.request_ = std::move(request);
  return operation;
}

void
LoadGenerator::SendNext()
{
  Operation operation = MakeOperation();
  const http::Target& target = settings_.targets_[sent_ % settings_.targets_.size()];
  ++sent_;
  http::SendOptions options;
  options.timeout_ = settings_.timeout_;
  options.maxConnections_ = kMaxConnections;
  const auto request = operation.request_;
  client_.Send(target,
               request,
               options,
               [this, operation = std::move(operation)](const http::SendResult& aResult) {
                 OnEnded(operation, aResult);
               });
}

void
LoadGenerator::OnEnded(const Operation& aOperation, const http::SendResult& aResult)
{
  report_.Record(*aOperation.request_, aOperation.key_, aResult);
  if (++ended_ == settings_.count_) {
    elapsed_ = loop_.Now() - start_;
    done_();
  } else if (settings_.rate_ <= 0 && sent_ < settings_.count_) {
    SendNext();
  }
}

} // namespace boragepier::testing
