#include "boragepier/entry/entry_instance.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <thread>

#include "boragepier/telemetry/log.h"

namespace boragepier {

namespace {

constexpr auto kDrainPoll = std::chrono::milliseconds(10);

// Request ids of two starts of the same instance must differ, so that `explain` cannot mix them up.
std::string
RequestIdPrefix(const InstanceId& aId)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::random_device device;
  std::string prefix = aId.Text() + '-';
  for (int i = 0; i < 8; ++i) {
    prefix += kDigits[device() % kDigits.size()];
  }
  return prefix + '-';
}

} // namespace

EntryInstance::EntryInstance(const Settings& aSettings, const Installation& aInstallation)
  : settings_(aSettings)
  , directory_(aSettings.id_, aSettings.zone_, std::random_device()())
  , telemetry_(metrics_,
               explain_,
               [this](const UpstreamEndpoint& aUpstream) {
                 control_->ReportLeaving(aUpstream.id_, aUpstream.startNumber_);
               })
  , control_(aInstallation.makeControl_(
      aSettings,
      metrics_,
      [this](const auto& aTable) { OnRouting(aTable); },
      [this] { OnSecond(); }))
  , traffic_(aSettings,
             directory_,
             telemetry_,
             RequestIdPrefix(aSettings.id_),
             aInstallation.dialect_)
{
}

EntryInstance::~EntryInstance()
{
  // The admin surface asks the control thread, which hands routing tables to the traffic thread.
  admin_.reset();
  control_->Stop();
  traffic_.Stop();
}

InstancePorts
EntryInstance::Start()
{
  InstancePorts ports;
  ports.caller_ = traffic_.Listen();
  ports.peer_ = control_->Start();
  traffic_.Start();
  admin_ =
    std::make_unique<AdminServer>(settings_.admin_.address_, settings_.admin_.port_, MakeHooks());
  ports.admin_ = admin_->Port();
  Log(EventId::InstanceStarted,
      { { "instance", settings_.id_ },
        { "zone", settings_.zone_ },
        { "caller-port", ports.caller_ },
        { "peer-port", ports.peer_ },
        { "admin-port", ports.admin_ } });
  return ports;
}

void
EntryInstance::OnRouting(const std::shared_ptr<const RoutingTable>& aTable)
{
  directory_.Apply(*aTable, std::chrono::steady_clock::now());
  instances_ = aTable->instances_.size();
  traffic_.SetFleetSize(instances_);
  if (aTable->limits_) {
    traffic_.SetCallerLimits(*aTable->limits_);
  }
  if (!aTable->services_.empty() && !configured_.exchange(true)) {
    metrics_.SetReady(!draining_);
    Log(EventId::InstanceReady, { { "services", aTable->services_.size() } });
  }
}

void
EntryInstance::OnSecond()
{
  metrics_.SetCallerConnectionCount(traffic_.Connections());
  const auto services = directory_.All();
  for (const auto& service : *services) {
    const auto config = service->Config();
    const auto upstreams = service->With(
      [](auto& aBalancer) { return aBalancer.Candidates(std::chrono::steady_clock::now()); });
    ServiceMetrics& metrics = metrics_.Service(config->name_);
    metrics.SetProbeBudget(config->probesPerUpstreamSecond_ *
                           static_cast<double>(upstreams.size()) /
                           static_cast<double>(std::max<std::size_t>(instances_, 1)));
    for (const auto& [event, upstream] : upstreamWatch_.Observe(config->name_, upstreams)) {
      if (event == EventId::UpstreamEjected) {
        metrics.OnEjection();
      }
      Log(event, { { "service", config->name_ }, { "upstream", upstream } });
    }
  }
}

InstanceStatus
EntryInstance::Status()
{
  const ControlStatus control = control_->Status();
  InstanceStatus status;
  status.id_ = settings_.id_;
  status.zone_ = settings_.zone_;
  status.draining_ = draining_;
  status.ready_ = configured_ && !draining_;
  if (!status.ready_) {
    status.notReadyReason_ = draining_ ? "draining" : "no configuration yet";
  }
  status.peers_ = control.peers_.size();
  status.instances_ = control.members_.size();
  const auto services = directory_.All();
  for (const auto& service : *services) {
    ServiceStatus entry;
    entry.name_ = service->Config()->name_;
    entry.version_ = service->Version();
    const auto candidates = service->With(
      [](auto& aBalancer) { return aBalancer.Candidates(std::chrono::steady_clock::now()); });
    entry.upstreams_ = candidates.size();
    entry.leavingUpstreams_ = static_cast<std::uint64_t>(std::count_if(
      candidates.begin(), candidates.end(), [](const auto& aOne) { return aOne.leaving_; }));
    status.services_.push_back(std::move(entry));
  }
  return status;
}

AdminHooks
EntryInstance::MakeHooks()
{
  return AdminHooksBuilder()
    .WithLive([this] { return control_->Responsive(); })
    .WithStatus([this] { return Status(); })
    .WithAnnounce([this](ConfigRecord aRecord) {
      return control_->Announce(std::move(aRecord)) ? AnnounceResult::Accepted
                                                    : AnnounceResult::Outdated;
    })
    .WithMetrics(metrics_)
    .WithExplain(explain_)
    .Build();
}

void
EntryInstance::Reload(const Settings& aSettings)
{
  control_->Reload(aSettings);
  Log(EventId::SettingsReloaded, { { "instance", settings_.id_ } });
}

bool
EntryInstance::Drain()
{
  const auto limit =
    std::chrono::steady_clock::now() + settings_.drainLimit_ - settings_.drainMargin_;
  draining_ = true;
  metrics_.SetReady(false);
  metrics_.SetDraining(true);
  Log(EventId::DrainStarted, { { "instance", settings_.id_ } });
  control_->BeginShutdown();
  traffic_.BeginDrain();
  std::this_thread::sleep_for(settings_.drainGrace_);

  traffic_.StopAccepting();
  while (!traffic_.Idle() && std::chrono::steady_clock::now() < limit) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  const bool complete = traffic_.Idle();
  Log(complete ? EventId::DrainFinished : EventId::DrainLimitReached,
      { { "instance", settings_.id_ } });
  ReportSuppressedEvents(true);
  return complete;
}

} // namespace boragepier
