#include "boragepier/entry/traffic_thread.h"

#include <algorithm>
#include <random>
#include <utility>

#include "boragepier/entry/process_environment.h"
#include "boragepier/entry/refusal.h"
#include "boragepier/entry/request_checks.h"

namespace boragepier {

namespace {

// Bounds the delay after which claims that waited for the write budget are sent.
constexpr Duration kClaimTickInterval = std::chrono::milliseconds(10);
// Without claims, a tick only publishes connectionCount_ and drained_ to other threads.
constexpr Duration kKeylessTickInterval = std::chrono::milliseconds(100);
// At the connection limit, callers that are idle for this time make room for others. Common HTTP
// servers close idle connections after this time, so that callers are prepared for it.
constexpr Duration kReplaceableIdleTime = std::chrono::seconds(5);

// Interval of WatchBodyMemory().
constexpr Duration kMemoryWatchInterval = std::chrono::milliseconds(100);

// A configuration follows the start of an instance within a fraction of a second.
constexpr Duration kNotConfiguredRetryAfter = std::chrono::milliseconds(100);

// Bodies of this size in total leave enough free memory behind to return it to the system.
constexpr std::size_t kReturnedBodyBytes = 8 << 20;

Random
MakeEntropySeededRandom()
{
  std::random_device device;
  const auto randomWord = [&] { return (std::uint64_t{ device() } << 32U) | device(); };
  return Random(randomWord(), randomWord());
}

http::ServerLimits
ServerLimitsFrom(const Settings& aSettings)
{
  http::ServerLimits limits;
  limits.maxHeader_ = aSettings.maxHeader_;
  limits.maxBody_ = aSettings.maxRequestBody_;
  limits.idleTimeout_ = aSettings.idleTimeout_;
  limits.requestTimeout_ = aSettings.requestTimeout_;
  limits.maxConnections_ = aSettings.maxConnections_;
  limits.maxRefusedConnections_ = aSettings.descriptors_.callersRefused_;
  limits.replaceableIdleTime_ = kReplaceableIdleTime;
  return limits;
}

} // namespace

TrafficThread::TrafficThread(const Settings& aSettings,
                             ServiceRouter& aRouter,
                             CallObserver& aObserver,
                             std::string aIdPrefix,
                             const WireDialect& aDialect,
                             QuotaGate* aQuotas)
  : settings_(aSettings)
  , router_(aRouter)
  , limitsFromConfiguration_(aSettings.storeEndpoint_.port_ != 0)
  , bodyBudget_(std::make_shared<http::BodyBudget>(BodyBudgetBytes(aSettings)))
  , client_(loop_, bodyBudget_)
  , platform_(loop_, client_, PlatformOptionsFrom(aSettings))
  , table_(platform_)
  , claims_(table_, aSettings.id_, MakeEntropySeededRandom())
  , pipeline_({ loop_, client_, claims_, aRouter, aObserver, WallClockNow, aDialect, aQuotas },
              std::move(aIdPrefix),
              1)
  , server_(
      loop_,
      ServerLimitsFrom(aSettings),
      [this](std::shared_ptr<http::Exchange> aExchange) { pipeline_.Handle(std::move(aExchange)); },
      [this](RefusalReason aReason) { return MakeServerRefusal(aReason); },
      bodyBudget_)
{
  client_.SetMaxConnections(aSettings.descriptors_.upstreams_);
  server_.SetUnansweredCallback(
    [&aObserver](UnansweredCause aCause) { aObserver.OnUnanswered(aCause); });
  server_.SetRefusedCallback(
    [&aObserver](const http::ServerRefusal& aRefusal) { aObserver.OnNotRouted(aRefusal); });
}

TrafficThread::~TrafficThread()
{
  Stop();
}

std::uint16_t
TrafficThread::Listen()
{
  return server_.Listen(settings_.callerEndpoint_.address_, settings_.callerEndpoint_.port_);
}

void
TrafficThread::Start()
{
  loop_.Post([this] { Tick(); });
  thread_ = std::thread([this] { loop_.Run(); });
}

void
TrafficThread::SetFleetSize(std::size_t aInstances)
{
  loop_.Post([this, aInstances] { claims_.SetLiveInstances(aInstances); });
}

void
TrafficThread::SetCallerLimits(const CallerLimits& aLimits)
{
  loop_.Post([this, aLimits] {
    http::ServerLimits limits = ServerLimitsFrom(settings_);
    limits.maxHeader_ = aLimits.maxHeader_;
    limits.maxBody_ = aLimits.maxBody_;
    limits.headerTimeout_ = aLimits.headerTimeout_;
    limits.idleTimeout_ = aLimits.idleTimeout_;
    server_.SetLimits(limits);
  });
}

void
TrafficThread::ReleaseHeld()
{
  loop_.Post([this] { pipeline_.ReleaseHeld(); });
}

void
TrafficThread::BeginDrain()
{
  loop_.Post([this] { server_.BeginDrain(); });
}

void
TrafficThread::StopAccepting(MonotonicTime aDrainLimit)
{
  loop_.Post([this, aDrainLimit] {
    pipeline_.RefuseDeadlinesAfter(aDrainLimit);
    server_.StopAccepting();
    stoppedAccepting_ = true;
  });
}

void
TrafficThread::Stop()
{
  if (thread_.joinable()) {
    loop_.Stop();
    thread_.join();
  }
}

http::Response
TrafficThread::MakeServerRefusal(RefusalReason aReason) const
{
  Duration retryAfter{};
  const bool tooLarge =
    aReason == RefusalReason::HeaderTooLarge || aReason == RefusalReason::BodyTooLarge;
  if (tooLarge && limitsFromConfiguration_ && !router_.HasConfiguration()) {
    // The limits of the settings are no reason to refuse for good.
    return MakeRefusalResponse(
      RefusalReason::NotConfigured, Outcome::NotRun, RequestId(), kNotConfiguredRetryAfter);
  }
  if (aReason == RefusalReason::BodyBudgetExceeded) {
    retryAfter = bodyHoldTime_.Mean();
  }
  return MakeRefusalResponse(aReason, Outcome::NotRun, RequestId(), retryAfter);
}

// The allocator keeps the memory of released bodies, which large bodies then cannot use.
void
TrafficThread::WatchBodyMemory()
{
  const MonotonicTime now = loop_.Now();
  const std::size_t held = bodyBudget_->Held();
  bodyHoldTime_.Observe(held, bodyBudget_->Released(), now);
  mostBodyBytes_ = std::max(mostBodyBytes_, held);
  if (mostBodyBytes_ >= kReturnedBodyBytes && held <= mostBodyBytes_ / 2) {
    ReturnFreeMemory();
    mostBodyBytes_ = held;
  }
}

void
TrafficThread::Tick()
{
  if (const MonotonicTime now = loop_.Now(); now >= nextMemoryWatch_) {
    nextMemoryWatch_ = now + kMemoryWatchInterval;
    WatchBodyMemory();
  }
  const bool claimsEnabled = settings_.storeEndpoint_.port_ == 0;
  loop_.After(claimsEnabled ? kClaimTickInterval : kKeylessTickInterval, [this] { Tick(); });
  if (claimsEnabled) {
    claims_.Advance(loop_.Now());
  }
  connectionCount_ = server_.ConnectionCount();
  refusedConnectionCount_ = server_.RefusedConnectionCount();
  drained_ = stoppedAccepting_ && server_.ConnectionCount() == 0 && claims_.NothingPending();
}

} // namespace boragepier
