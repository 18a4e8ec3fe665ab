#include "testing/upstream/upstream.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

#include <nlohmann/json.hpp>

#include "testing/upstream/echo.h"

namespace boragepier::testing {

namespace {

constexpr Duration kRegisterRetry = std::chrono::milliseconds(200);

std::optional<MonotonicTime>
DeadlineOf(const http::Request& aRequest, MonotonicTime aNow)
{
  const auto text = aRequest.headers_.Get("Boragepier-Deadline-Ms");
  std::uint32_t milliseconds = 0;
  if (!text ||
      std::from_chars(text->data(), text->data() + text->size(), milliseconds).ec != std::errc()) {
    return std::nullopt;
  }
  return aNow + std::chrono::milliseconds(milliseconds);
}

} // namespace

Upstream::Upstream(net::EventLoop& aLoop, UpstreamSettings aSettings)
  : loop_(aLoop)
  , settings_(std::move(aSettings))
  , client_(aLoop)
  , listener_(std::make_unique<net::TcpListener>(
      aLoop,
      settings_.address_,
      settings_.port_,
      [this](std::shared_ptr<net::TcpStream> aStream) { OnAccepted(std::move(aStream)); }))
  , random_(settings_.seed_.value_or(0))
{
  if (!settings_.runLog_.empty()) {
    runLog_.open(settings_.runLog_, std::ios::app);
  }
  Register();
}

Upstream::~Upstream()
{
  queue_.clear();
  for (const auto& [key, connection] : std::exchange(connections_, {})) {
    connection->Close();
  }
}

void
Upstream::OnAccepted(std::shared_ptr<net::TcpStream> aStream)
{
  const auto connection = std::make_shared<CallerConnection>(
    std::move(aStream),
    [this](const Connection& aConnection, http::Request aRequest) {
      OnRequest(aConnection, std::move(aRequest));
    },
    [this](CallerConnection& aConnection) { OnClosed(aConnection); });
  connections_.emplace(connection.get(), connection);
  connection->Start();
}

// A caller that has left takes its queued request with it. One that runs already goes on.
void
Upstream::OnClosed(CallerConnection& aConnection)
{
  std::erase_if(queue_, [&](const Job& aJob) { return aJob.connection_.get() == &aConnection; });
  if (const auto node = connections_.extract(&aConnection); !node.empty()) {
    loop_.DeferDestruction(node.mapped());
  }
}

void
Upstream::OnRequest(const Connection& aConnection, http::Request aRequest)
{
  if (aRequest.target_.starts_with("/control/")) {
    OnControl(aConnection, aRequest);
    return;
  }
  if (aRequest.method_ == "OPTIONS" && aRequest.target_ == "*") {
    // A probe: has no effect and takes no slot.
    aConnection->Respond(MakeResponse(200, ""));
    return;
  }
  const MonotonicTime now = loop_.Now();
  if (faults_.failFast_) {
    aConnection->Respond(MakeResponse(500, "failing fast"));
    return;
  }
  const bool busy = running_ >= settings_.slots_ && queue_.size() >= faults_.shedAbove_;
  if (busy || (faults_.draining_ && now >= faults_.refuseFrom_)) {
    Refuse(aConnection, 503);
    return;
  }
  const auto deadline = DeadlineOf(aRequest, now);
  queue_.push_back({ aConnection, std::move(aRequest), deadline, now, {} });
  StartJobs(now);
}

// Timers are up to a millisecond late. A job that waited for a slot is therefore timed from the
// moment at which the slot became free, so that the capacity is as configured.
void
Upstream::StartJobs(MonotonicTime aSlotFreeSince)
{
  while (running_ < settings_.slots_ && !queue_.empty()) {
    auto job = std::make_shared<Job>(std::move(queue_.front()));
    queue_.pop_front();
    if (job->deadline_ && loop_.Now() >= *job->deadline_) {
      Refuse(job->connection_, 504);
    } else {
      const MonotonicTime start = std::max(job->arrival_, aSlotFreeSince);
      Run(std::move(job), start);
    }
  }
}

void
Upstream::Run(std::shared_ptr<Job> aJob, MonotonicTime aStart)
{
  ++running_;
  ++totalRuns_;
  const auto key = aJob->request_.headers_.Get("Idempotency-Key");
  if (key) {
    ++runs_[std::string(*key)];
  }
  if (runLog_.is_open()) {
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    runLog_ << sinceEpoch / std::chrono::milliseconds(1) << ' ' << aJob->request_.target_ << ' '
            << key.value_or("-") << std::endl; // NOLINT(performance-avoid-endl)
  }
  aJob->end_ = aStart + DrawServiceTime();
  const Duration left = aJob->end_ - loop_.Now();
  loop_.After(std::max(left, Duration(0)), [this, job = std::move(aJob)] { OnRunEnded(*job); });
}

void
Upstream::OnRunEnded(const Job& aJob)
{
  const http::Response response = MakeResponse(200, MakeEcho(aJob.request_, settings_.id_));
  --running_;
  if (faults_.silentAfterRun_) {
    aJob.connection_->Silence();
  } else if (faults_.truncate_) {
    aJob.connection_->RespondTruncated(response);
  } else {
    aJob.connection_->Respond(response);
  }
  StartJobs(aJob.end_);
}

Duration
Upstream::DrawServiceTime()
{
  double milliseconds = ToMilliseconds(settings_.serviceTime_) * faults_.straggleFactor_;
  if (loop_.Now() < faults_.coldUntil_) {
    milliseconds *= faults_.coldFactor_;
  }
  if (settings_.seed_ && milliseconds > 0) {
    milliseconds = std::exponential_distribution<double>(1 / milliseconds)(random_);
  }
  return FromMilliseconds(milliseconds);
}

void
Upstream::Refuse(const Connection& aConnection, int aStatus)
{
  http::Response response = MakeResponse(aStatus, "not run");
  response.headers_.Add("Boragepier-Not-Run", "true");
  aConnection->Respond(response);
}

// The request that is answered is still counted in the load that is reported.
http::Response
Upstream::MakeResponse(int aStatus, std::string aBody) const
{
  http::Response response;
  response.status_ = aStatus;
  response.body_ = std::move(aBody);
  if (!faults_.noReport_) {
    const std::size_t held = faults_.misreport_ ? 0 : running_ + queue_.size();
    response.headers_.Add("Boragepier-Load", "in-flight=" + std::to_string(held));
  }
  if (faults_.draining_) {
    response.headers_.Add("Boragepier-Draining", "true");
  }
  return response;
}

void
Upstream::OnControl(const Connection& aConnection, const http::Request& aRequest)
{
  http::Response response;
  response.status_ = 200;
  if (aRequest.method_ == "GET" && aRequest.target_ == "/control/runs") {
    response.headers_.Add("Content-Type", "application/json");
    response.body_ = RunsAsJson();
  } else if (aRequest.method_ == "POST" && aRequest.target_ == "/control/mode") {
    try {
      SetMode(aRequest);
    } catch (const InvalidMode& error) {
      response.status_ = 400;
      response.body_ = error.what();
    }
  } else {
    response.status_ = 404;
  }
  aConnection->Respond(response);
  if (std::exchange(faults_.silenceExisting_, false)) {
    for (const auto& [key, connection] : connections_) {
      if (connection != aConnection) {
        connection->Silence();
      }
    }
  }
}

void
Upstream::SetMode(const http::Request& aRequest)
{
  const bool wasDraining = faults_.draining_;
  faults_ = ApplyMode(faults_, aRequest.body_, loop_.Now());
  if (faults_.draining_ != wasDraining) {
    Register();
  }
}

std::string
Upstream::RunsAsJson() const
{
  return nlohmann::json{
    { "total", totalRuns_ }, { "runs", runs_ }, { "inFlight", running_ + queue_.size() }
  }.dump();
}

void
Upstream::Register()
{
  if (!settings_.platform_) {
    return;
  }
  if (std::exchange(registering_, true)) {
    registerAgain_ = true;
    return;
  }
  registerAgain_ = false;
  auto request = std::make_shared<http::Request>();
  request->method_ = "PUT";
  request->target_ = "/instances/" + settings_.id_;
  request->headers_.Add("Content-Type", "application/json");
  request->body_ = nlohmann::json{
    { "id", settings_.id_ },
    { "role", "upstream" },
    { "service", settings_.service_ },
    { "address", settings_.address_ },
    { "port", Port() },
    { "zone", settings_.zone_ },
    { "start_number", settings_.startNumber_ },
    { "peer_port", 0 },
    { "leaving", faults_.draining_ }
  }.dump();
  client_.Send(*settings_.platform_, request, {}, [this](const http::SendResult& aResult) {
    registering_ = false;
    const bool done = aResult.outcome_ == Outcome::Answered && aResult.response_.status_ < 300;
    if (!done) {
      loop_.After(kRegisterRetry, [this] { Register(); });
    } else if (registerAgain_) {
      Register();
    }
  });
}

} // namespace boragepier::testing
