#include "boragepier/entry/control_thread.h"

#include <ctime>
#include <random>
#include <utility>

#include "boragepier/config/service_file.h"
#include "boragepier/entry/process_environment.h"
#include "boragepier/telemetry/log.h"

namespace boragepier {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
std::vector<PeerEndpoint>
SeedsOf(const Settings& aSettings)
{
  std::vector<PeerEndpoint> seeds;
  for (const Endpoint& seed : aSettings.seeds_) {
    seeds.push_back({ InstanceId(), seed.address_, seed.port_ });
  }
  return seeds;
}

Duration
ThreadProcessorTime()
{
  std::timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

ControlThread::ControlThread(const Settings& aSettings,
                             Metrics& aMetrics,
                             RoutingCallback aOnRouting,
                             std::function<void()> aOnSecond)
  : settings_(aSettings)
  , metrics_(aMetrics)
  , onRouting_(std::move(aOnRouting))
  , onSecond_(std::move(aOnSecond))
  , client_(loop_)
  , platform_(loop_, client_, PlatformOptionsOf(aSettings))
  , table_(platform_)
  , list_(platform_)
  , peers_(loop_)
  , sweeper_(table_, aSettings.id_)
{
}

ControlThread::~ControlThread()
{
  Stop();
}

std::uint16_t
ControlThread::Start()
{
  lastTick_ = loop_.Now().time_since_epoch().count();
  const std::uint16_t port = peers_.Listen(settings_.peer_.address_, settings_.peer_.port_);
  const PeerEndpoint self{ settings_.id_, settings_.peer_.address_, port };
  ControlOptions options(self, ParseServiceFile);
  options.WithSeeds(SeedsOf(settings_)).WithRandomSeed(std::random_device()());
  plane_ = std::make_unique<Plane>(loop_, table_, list_, peers_, std::move(options));
  plane_->OnRoutingChanged([this](auto aTable) { OnRouting(std::move(aTable)); });
  plane_->OnError([](const std::string& aError) {
    Log(EventId::ConfigRejected, { { "error", aError } });
  });
  loop_.Post([this] {
    plane_->Start();
    Tick();
    EverySecond();
  });
  thread_ = std::thread([this] { loop_.Run(); });
  return port;
}

void
ControlThread::Stop()
{
  if (thread_.joinable()) {
    loop_.Stop();
    thread_.join();
  }
}

void
ControlThread::OnRouting(std::shared_ptr<const RoutingTable> aTable)
{
  sweeper_.SetInstances(aTable->instances_);
  metrics_.SetInstanceCount(aTable->instances_.size());
  for (const ServiceRoute& route : aTable->services_) {
    ServiceMetrics& service = metrics_.Service(route.config_.name_);
    if (service.ConfigVersion() != route.version_) {
      service.SetConfigVersion(route.version_);
      Log(EventId::ConfigAccepted,
          { { "service", route.config_.name_ }, { "version", route.version_ } });
    }
  }
  onRouting_(std::move(aTable));
}

bool
ControlThread::Responsive() const
{
  const MonotonicTime last{ Duration(lastTick_) };
  return loop_.Now() - last < kAskTimeout;
}

void
ControlThread::Tick()
{
  lastTick_ = loop_.Now().time_since_epoch().count();
  sweeper_.Advance(loop_.Now(), WallNow());
  const PeerCounters traffic = peers_.Counters();
  metrics_.SetControlThreadUsage(ThreadProcessorTime(), traffic.bytesSent_);
  ReportSuppressedEvents();
  loop_.After(kTickInterval, [this] { Tick(); });
}

void
ControlThread::EverySecond()
{
  const ControlStatus status = plane_->Status();
  metrics_.SetPeerCount(status.peers_.size());
  for (const EventId event : watch_.Observe(status)) {
    Log(event, { { "instance", settings_.id_ } });
  }
  onSecond_();
  loop_.After(std::chrono::seconds(1), [this] { EverySecond(); });
}

void
ControlThread::ReportLeaving(const UpstreamId& aUpstream, std::uint64_t aStartNumber)
{
  plane_->ReportLeaving(aUpstream, aStartNumber);
}

bool
ControlThread::Announce(ConfigRecord aRecord)
{
  return Ask(loop_, [this, record = std::move(aRecord)] { return plane_->Announce(record); });
}

void
ControlThread::BeginShutdown()
{
  loop_.Post([this] { plane_->BeginShutdown(); });
}

ControlStatus
ControlThread::Status()
{
  return Ask(loop_, [this] { return plane_->Status(); });
}

} // namespace boragepier
