#include "boragepier/entry/control_plane_thread.h"

#include <random>
#include <utility>

#include "boragepier/config/service_file.h"
#include "boragepier/entry/process_environment.h"
#include "boragepier/telemetry/log.h"

namespace boragepier {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);

std::vector<PeerEndpoint>
PeerSeedsFrom(const Settings& aSettings)
{
  std::vector<PeerEndpoint> seeds;
  for (const Endpoint& seed : aSettings.seedPeers_) {
    seeds.push_back({ InstanceId(), seed.address_, seed.port_ });
  }
  return seeds;
}

peer::PeerLimits
PeerLimitsFrom(const DescriptorShares& aDescriptors)
{
  peer::PeerLimits limits;
  limits.maxIncomingConnections_ = aDescriptors.peersIncoming_;
  limits.maxOutgoingConnections_ = aDescriptors.peersOutgoing_;
  return limits;
}

} // namespace

ControlPlaneThread::ControlPlaneThread(const Settings& aSettings,
                                       Metrics& aMetrics,
                                       RoutingCallback aOnRoutingTable,
                                       std::function<void()> aPeriodicTask)
  : settings_(aSettings)
  , metrics_(aMetrics)
  , onRoutingTable_(std::move(aOnRoutingTable))
  , periodicTask_(std::move(aPeriodicTask))
  , client_(loop_)
  , platform_(loop_, client_, PlatformOptionsFrom(aSettings))
  , table_(platform_)
  , list_(platform_)
  , peers_(loop_, PeerLimitsFrom(aSettings.descriptors_))
  , sweeper_(table_, aSettings.id_)
{
  client_.SetMaxConnections(aSettings.descriptors_.storeConnections_);
}

ControlPlaneThread::~ControlPlaneThread()
{
  Stop();
}

std::uint16_t
ControlPlaneThread::Listen()
{
  lastTickNs_ = loop_.Now().time_since_epoch().count();
  const std::uint16_t port =
    peers_.Listen(settings_.peerEndpoint_.address_, settings_.peerEndpoint_.port_);
  const PeerEndpoint self{ settings_.id_, settings_.peerEndpoint_.address_, port };
  ControlOptions options(self, ParseServiceFile);
  options.WithSeeds(PeerSeedsFrom(settings_)).WithRandomSeed(std::random_device()());
  plane_ = std::make_unique<Plane>(loop_, table_, list_, peers_, std::move(options));
  plane_->OnRoutingChanged([this](auto aTable) { OnRoutingTable(std::move(aTable)); });
  plane_->OnConfigRejected([](const std::string& aError) {
    Log(EventId::ConfigRejected, { { "error", aError } });
  });
  loop_.Post([this] {
    plane_->Start();
    Tick();
    RunEverySecond();
  });
  return port;
}

void
ControlPlaneThread::Start()
{
  thread_ = std::thread([this] { loop_.Run(); });
}

void
ControlPlaneThread::Stop()
{
  if (thread_.joinable()) {
    loop_.Stop();
    thread_.join();
  }
}

void
ControlPlaneThread::OnRoutingTable(std::shared_ptr<const RoutingTable> aTable)
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
  onRoutingTable_(std::move(aTable));
}

bool
ControlPlaneThread::Responsive() const
{
  const MonotonicTime lastTick{ Duration(lastTickNs_) };
  return loop_.Now() - lastTick < kResponseTimeout;
}

void
ControlPlaneThread::Tick()
{
  loop_.After(kTickInterval, [this] { Tick(); });
  lastTickNs_ = loop_.Now().time_since_epoch().count();
  sweeper_.Advance(loop_.Now(), WallClockNow());
  const PeerCounters peerCounters = peers_.Counters();
  metrics_.SetControlThreadUsage(ThreadCpuTime(), peerCounters.bytesSent_);
  ReportSuppressedEvents();
}

void
ControlPlaneThread::RunEverySecond()
{
  loop_.After(std::chrono::seconds(1), [this] { RunEverySecond(); });
  const ControlStatus status = plane_->Status();
  metrics_.SetPeerCount(status.peers_.size());
  for (const EventId event : monitor_.Observe(status)) {
    Log(event, { { "instance", settings_.id_ } });
  }
  periodicTask_();
}

void
ControlPlaneThread::ReportLeaving(const UpstreamId& aUpstream, std::uint64_t aStartNumber)
{
  plane_->ReportLeaving(aUpstream, aStartNumber);
}

bool
ControlPlaneThread::Announce(ConfigRecord aRecord)
{
  return CallInLoop(loop_,
                    [this, record = std::move(aRecord)] { return plane_->Announce(record); });
}

void
ControlPlaneThread::BeginShutdown()
{
  loop_.Post([this] { plane_->BeginShutdown(); });
}

ControlStatus
ControlPlaneThread::Status()
{
  return CallInLoop(loop_, [this] { return plane_->Status(); });
}

} // namespace boragepier
