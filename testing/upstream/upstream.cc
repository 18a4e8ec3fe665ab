#include "testing/upstream/upstream.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

#include <nlohmann/json.hpp>

#include "testing/upstream/echo.h"

namespace boragepier::testing {

namespace {

constexpr Duration kRegistrationRetryDelay = std::chrono::milliseconds(200);

std::optional<MonotonicTime>
ParseDeadline(const http::Request& aRequest, MonotonicTime aNow)
{
  const auto text = aRequest.headers_.Get("Boragepier-Deadline-Ms");
  std::uint32_t milliseconds = 0;
  if (!text ||
      std::from_chars(text->data(), text->data() + text->size(), milliseconds).ec != std::errc()) {
    return std::nullopt;
  }
  return aNow + std::chrono::milliseconds(milliseconds);
}

// Returns the process that sent a request: its request ids are a prefix of its own and a number.
std::string
InstanceOf(const http::Request& aRequest)
{
  const std::string id(aRequest.headers_.Get("Boragepier-Request-Id").value_or(""));
  return id.substr(0, id.rfind('-'));
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
    [this](const ConnectionPtr& aConnection, http::Request aRequest) {
      OnRequest(aConnection, std::move(aRequest));
    },
    [this](CallerConnection& aConnection) { OnConnectionClosed(aConnection); });
  connections_.emplace(connection.get(), connection);
  connection->Start();
}

// Drops queued requests of the closed connection. A request that is already running completes.
void
Upstream::OnConnectionClosed(CallerConnection& aConnection)
{
  std::erase_if(queue_, [&](const Job& aJob) { return aJob.connection_.get() == &aConnection; });
  if (const auto node = connections_.extract(&aConnection); !node.empty()) {
    loop_.DeferDestruction(node.mapped());
  }
}

void
Upstream::OnRequest(const ConnectionPtr& aConnection, http::Request aRequest)
{
  if (aRequest.target_.starts_with("/control/")) {
    OnControl(aConnection, aRequest);
    return;
  }
  if (aRequest.method_ == "OPTIONS" && aRequest.target_ == "*") {
    // A probe has no effect and takes no slot.
    aConnection->Respond(MakeResponse(200, ""));
    return;
  }
  const MonotonicTime now = loop_.Now();
  if (faults_.failFast_) {
    aConnection->Respond(MakeResponse(500, "failing fast"));
    return;
  }
  const std::string instance = InstanceOf(aRequest);
  pauses_[instance].OnArrival(now);
  if (!faults_.retryAfter_.empty()) {
    RefuseWithPause(aConnection, instance, now);
    return;
  }
  const bool shed = running_ >= settings_.slots_ && queue_.size() >= faults_.shedQueueLength_;
  if (shed || (faults_.draining_ && now >= faults_.refuseRequestsFrom_)) {
    Refuse(aConnection, 503);
    return;
  }
  const auto deadline = ParseDeadline(aRequest, now);
  queue_.push_back({ aConnection, std::move(aRequest), deadline, now, {} });
  StartQueuedJobs(now);
}

// Timers fire up to a millisecond late. The service time of a queued job therefore starts at the
// time at which its slot became free; otherwise the delay would reduce the configured capacity.
void
Upstream::StartQueuedJobs(MonotonicTime aSlotFreeSince)
{
  while (running_ < settings_.slots_ && !queue_.empty()) {
    auto job = std::make_shared<Job>(std::move(queue_.front()));
    queue_.pop_front();
    if (job->deadline_ && loop_.Now() >= *job->deadline_) {
      Refuse(job->connection_, 504);
    } else {
      const MonotonicTime start = std::max(job->arrivalTime_, aSlotFreeSince);
      RunJob(std::move(job), start);
    }
  }
}

void
Upstream::RunJob(std::shared_ptr<Job> aJob, MonotonicTime aStart)
{
  ++running_;
  ++totalRuns_;
  const auto key = aJob->request_.headers_.Get("Idempotency-Key");
  if (key) {
    ++runsByKey_[std::string(*key)];
  }
  if (runLog_.is_open()) {
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    runLog_ << sinceEpoch / std::chrono::milliseconds(1) << ' ' << aJob->request_.target_ << ' '
            << key.value_or("-") << std::endl; // NOLINT(performance-avoid-endl)
  }
  aJob->serviceEnd_ = aStart + DrawServiceTime();
  const Duration left = aJob->serviceEnd_ - loop_.Now();
  loop_.After(std::max(left, Duration(0)), [this, job = std::move(aJob)] { OnJobEnded(*job); });
}

void
Upstream::OnJobEnded(const Job& aJob)
{
  const http::Response response = MakeResponse(200, MakeEcho(aJob.request_, settings_.id_));
  --running_;
  if (faults_.silentAfterRun_) {
    aJob.connection_->Silence();
  } else if (faults_.truncateResponses_) {
    aJob.connection_->RespondTruncated(response);
  } else {
    aJob.connection_->Respond(response);
  }
  StartQueuedJobs(aJob.serviceEnd_);
}

Duration
Upstream::DrawServiceTime()
{
  double milliseconds = ToMilliseconds(settings_.serviceTime_) * faults_.slowdownFactor_;
  if (loop_.Now() < faults_.coldStartEnd_) {
    milliseconds *= faults_.coldStartFactor_;
  }
  if (settings_.seed_ && milliseconds > 0) {
    milliseconds = std::exponential_distribution<double>(1 / milliseconds)(random_);
  }
  return FromMilliseconds(milliseconds);
}

void
Upstream::Refuse(const ConnectionPtr& aConnection, int aStatus)
{
  http::Response response = MakeResponse(aStatus, "not run");
  response.headers_.Add("Boragepier-Not-Run", "true");
  aConnection->Respond(response);
}

void
Upstream::RefuseWithPause(const ConnectionPtr& aConnection,
                          const std::string& aInstance,
                          MonotonicTime aNow)
{
  http::Response response = MakeResponse(503, "not run");
  response.headers_.Add("Boragepier-Not-Run", "true");
  response.headers_.Add("Retry-After", faults_.retryAfter_);
  aConnection->Respond(response);
  const double seconds = std::strtod(faults_.retryAfter_.c_str(), nullptr);
  pauses_[aInstance].OnRefused(FromMilliseconds(1000 * seconds), aNow);
}

void
PauseMonitor::OnRefused(Duration aPause, MonotonicTime aNow)
{
  constexpr Duration kGrace = std::chrono::milliseconds(500);
  pauses_.push_back({ aNow + kGrace, aNow + aPause });
}

void
PauseMonitor::OnArrival(MonotonicTime aNow)
{
  std::erase_if(pauses_, [&](const Pause& aPause) { return aPause.end_ <= aNow; });
  for (Pause& pause : pauses_) {
    pause.arrivals_ += aNow >= pause.countedFrom_ ? 1 : 0;
    most_ = std::max(most_, pause.arrivals_);
  }
}

// The reported load includes the request that this response answers.
http::Response
Upstream::MakeResponse(int aStatus, std::string aBody) const
{
  http::Response response;
  response.status_ = aStatus;
  response.body_ = std::move(aBody);
  if (!faults_.omitLoadReport_) {
    const std::size_t inFlight = faults_.reportZeroLoad_ ? 0 : running_ + queue_.size();
    response.headers_.Add("Boragepier-Load", "in-flight=" + std::to_string(inFlight));
  }
  if (faults_.draining_) {
    response.headers_.Add("Boragepier-Draining", "true");
  }
  return response;
}

void
Upstream::OnControl(const ConnectionPtr& aConnection, const http::Request& aRequest)
{
  http::Response response;
  response.status_ = 200;
  if (aRequest.method_ == "GET" && aRequest.target_ == "/control/runs") {
    response.headers_.Add("Content-Type", "application/json");
    response.body_ = RunsAsJson();
  } else if (aRequest.method_ == "GET" && aRequest.target_ == "/control/pauses") {
    response.body_ = PausesAsJson();
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
  if (std::exchange(faults_.silenceOpenConnections_, false)) {
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
    { "total", totalRuns_ }, { "runs", runsByKey_ }, { "inFlight", running_ + queue_.size() }
  }.dump();
}

std::string
Upstream::PausesAsJson() const
{
  int mostInPause = 0;
  for (const auto& [instance, pauses] : pauses_) {
    mostInPause = std::max(mostInPause, pauses.Most());
  }
  return nlohmann::json{ { "mostInPause", mostInPause } }.dump();
}

void
Upstream::Register()
{
  if (!settings_.platform_) {
    return;
  }
  if (std::exchange(registrationInProgress_, true)) {
    registrationOutdated_ = true;
    return;
  }
  registrationOutdated_ = false;
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
    registrationInProgress_ = false;
    const bool done = aResult.outcome_ == Outcome::Answered && aResult.response_.status_ < 300;
    if (!done) {
      loop_.After(kRegistrationRetryDelay, [this] { Register(); });
    } else if (registrationOutdated_) {
      Register();
    }
  });
}

} // namespace boragepier::testing
