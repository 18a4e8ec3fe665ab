#include "boragepier/entry/traffic_thread.h"

#include <random>
#include <utility>

#include "boragepier/entry/process_environment.h"
#include "boragepier/entry/refusal.h"
#include "boragepier/entry/request_checks.h"

namespace boragepier {

namespace {

// Claims that wait for the write budget leave with this delay at most.
constexpr Duration kClaimsTick = std::chrono::milliseconds(10);
// Where requests carry no keys, a tick only tells the other threads how far draining has come.
constexpr Duration kIdleTick = std::chrono::milliseconds(100);

Random
EntropySeeded()
{
  std::random_device device;
  const auto word = [&] { return (std::uint64_t{ device() } << 32U) | device(); };
  return Random(word(), word());
}

http::ServerLimits
LimitsOf(const Settings& aSettings)
{
  http::ServerLimits limits;
  limits.maxHeader_ = aSettings.maxHeader_;
  limits.maxBody_ = aSettings.maxRequestBody_;
  limits.idleTimeout_ = aSettings.idleTimeout_;
  limits.requestTimeout_ = aSettings.requestTimeout_;
  limits.maxConnections_ = aSettings.maxConnections_;
  return limits;
}

} // namespace

TrafficThread::TrafficThread(const Settings& aSettings,
                             ServiceDirectory& aDirectory,
                             CallObserver& aObserver,
                             std::string aIdPrefix,
                             const WireDialect& aDialect)
  : settings_(aSettings)
  , client_(loop_)
  , platform_(loop_, client_, PlatformOptionsOf(aSettings))
  , table_(platform_)
  , claims_(table_, aSettings.id_, EntropySeeded())
  , pipeline_({ loop_, client_, claims_, aDirectory, aObserver, WallNow, aDialect },
              std::move(aIdPrefix),
              1)
  , server_(
      loop_,
      LimitsOf(aSettings),
      [this](std::shared_ptr<http::Exchange> aExchange) { pipeline_.Handle(std::move(aExchange)); },
      [](RefusalReason aReason) { return MakeRefusal(aReason, Outcome::NotRun, RequestId()); })
{
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
  loop_.Post([this, aInstances] { claims_.SetSharers(aInstances); });
}

void
TrafficThread::SetCallerLimits(const CallerLimits& aLimits)
{
  loop_.Post([this, aLimits] {
    http::ServerLimits limits = LimitsOf(settings_);
    limits.maxHeader_ = aLimits.maxHeader_;
    limits.maxBody_ = aLimits.maxBody_;
    limits.headerTimeout_ = aLimits.headerTimeout_;
    limits.idleTimeout_ = aLimits.idleTimeout_;
    server_.SetLimits(limits);
  });
}

void
TrafficThread::BeginDrain()
{
  loop_.Post([this] { server_.BeginDrain(); });
}

void
TrafficThread::StopAccepting()
{
  loop_.Post([this] {
    server_.StopAccepting();
    server_.CloseIdle();
    stopAccepting_ = true;
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

void
TrafficThread::Tick()
{
  const bool keyed = settings_.storeEndpoint_.port_ == 0;
  if (keyed) {
    claims_.Advance(loop_.Now());
  }
  connections_ = server_.ConnectionCount();
  idle_ = stopAccepting_ && server_.RequestsInProgress() == 0 && claims_.Settled();
  loop_.After(keyed ? kClaimsTick : kIdleTick, [this] { Tick(); });
}

} // namespace boragepier
