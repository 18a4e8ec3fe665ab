#include "boragepier/entry/entry_instance.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <thread>
#include <utility>

#include "boragepier/net/descriptor_shortage.h"
#include "boragepier/net/errors.h"
#include "boragepier/telemetry/log.h"

namespace boragepier {

namespace {

constexpr auto kDrainPollInterval = std::chrono::milliseconds(10);

// Adds a random part to the instance id, so that request ids differ between starts of an instance
// and `explain` cannot confuse their requests.
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

EntryInstance::EntryInstance(const Settings& aSettings, const PlatformBinding& aPlatformBinding)
  : settings_(aSettings)
  , router_(aSettings.id_, aSettings.zone_, std::random_device()())
  , telemetry_(metrics_,
               explain_,
               [this](const UpstreamEndpoint& aUpstream) {
                 control_->ReportLeaving(aUpstream.id_, aUpstream.startNumber_);
               })
  , control_(aPlatformBinding.makeControlThread_(
      aSettings,
      metrics_,
      [this](const auto& aTable) { OnRoutingTable(aTable); },
      [this] { RunPeriodicTasks(); }))
  , traffic_(aSettings,
             router_,
             telemetry_,
             RequestIdPrefix(aSettings.id_),
             aPlatformBinding.dialect_,
             control_->Quotas())
{
  LogInternalErrors();
  metrics_.SetDescriptorLimit(settings_.descriptors_.limit_);
}

EntryInstance::~EntryInstance()
{
  // Each component stops before those that it calls: the admin server calls the control thread,
  // which passes routing tables to the traffic thread.
  admin_.reset();
  control_->Stop();
  traffic_.Stop();
}

InstancePorts
EntryInstance::Start()
{
  InstancePorts ports;
  ports.peer_ = control_->Listen();
  try {
    admin_ = std::make_unique<AdminServer>(settings_.adminEndpoint_.address_,
                                           settings_.adminEndpoint_.port_,
                                           MakeAdminHooks(),
                                           settings_.descriptors_);
  } catch (const AdminAddressInUseError& error) {
    throw net::AddressInUseError(error.what());
  }
  ports.admin_ = admin_->Port();
  // Last, because connections of callers that are accepted here and closed after a failure of
  // another address would be reset.
  ports.caller_ = traffic_.Listen();
  control_->Start();
  traffic_.Start();
  Log(EventId::InstanceStarted,
      { { "instance", settings_.id_ },
        { "zone", settings_.zone_ },
        { "caller-port", ports.caller_ },
        { "peer-port", ports.peer_ },
        { "admin-port", ports.admin_ },
        { "body-budget", traffic_.GetBodyBudget().Total() } });
  return ports;
}

void
EntryInstance::OnRoutingTable(const std::shared_ptr<const RoutingTable>& aTable)
{
  const std::uint64_t builtBefore = router_.BuiltRouteCount();
  router_.Apply(*aTable, std::chrono::steady_clock::now());
  metrics_.OnRoutingTable(router_.BuiltRouteCount() - builtBefore);
  instanceCount_ = aTable->instances_.size();
  traffic_.SetFleetSize(instanceCount_);
  if (aTable->callerLimits_) {
    traffic_.SetCallerLimits(*aTable->callerLimits_);
  }
  if (router_.HasConfiguration() && !configured_.exchange(true)) {
    traffic_.ReleaseHeld();
    metrics_.SetReady(!draining_);
    Log(EventId::InstanceReady, { { "services", aTable->services_.size() } });
  }
}

void
EntryInstance::RunPeriodicTasks()
{
  metrics_.SetCallerConnectionCount(traffic_.ConnectionCount());
  ReportRefusedConnections();
  ReportBodyMemory();
  const auto services = router_.Services();
  for (const auto& service : *services) {
    const auto config = service->Config();
    const auto upstreams = service->WithBalancer(
      [](auto& aBalancer) { return aBalancer.Candidates(std::chrono::steady_clock::now()); });
    ServiceMetrics& metrics = metrics_.Service(config->name_);
    metrics.SetProbeBudget(config->probesPerUpstreamSecond_ *
                           static_cast<double>(upstreams.size()) /
                           static_cast<double>(std::max<std::size_t>(instanceCount_, 1)));
    for (const auto& [event, upstream] : upstreamMonitor_.Observe(config->name_, upstreams)) {
      if (event == EventId::UpstreamEjected) {
        metrics.OnEjection();
      }
      Log(event, { { "service", config->name_ }, { "upstream", upstream } });
    }
  }
}

void
EntryInstance::ReportRefusedConnections()
{
  const std::uint64_t refused = traffic_.RefusedConnectionCount();
  if (const std::uint64_t before = std::exchange(refusedConnections_, refused); refused > before) {
    Log(EventId::ConnectionLimitReached,
        { { "limit", settings_.maxConnections_ }, { "connections", refused - before } });
  }
  const std::uint64_t shortages = net::DescriptorShortageCount();
  if (const std::uint64_t before = std::exchange(descriptorShortages_, shortages);
      shortages > before) {
    Log(EventId::DescriptorShortage,
        { { "instance", settings_.id_ }, { "connections", shortages - before } });
  }
  metrics_.SetRefusedConnectionCounts(refused, shortages);
}

void
EntryInstance::ReportBodyMemory()
{
  const http::BodyBudget& budget = traffic_.GetBodyBudget();
  const std::uint64_t refusals = budget.Refusals();
  metrics_.SetBodyMemory({ budget.Held(), budget.Total(), refusals });
  if (const auto before = std::exchange(reportedBodyRefusals_, refusals); refusals > before) {
    Log(EventId::BodyBudgetExceeded,
        { { "instance", settings_.id_ },
          { "requests", refusals - before },
          { "held", budget.Held() },
          { "budget", budget.Total() } });
  }
}

InstanceStatus
EntryInstance::Status()
{
  const ControlStatus controlStatus = control_->Status();
  InstanceStatus status;
  status.id_ = settings_.id_;
  status.zone_ = settings_.zone_;
  status.draining_ = draining_;
  status.ready_ = configured_ && !draining_;
  if (!status.ready_) {
    status.notReadyReason_ = draining_ ? "draining" : "no configuration yet";
  }
  status.peers_ = controlStatus.peers_.size();
  status.instances_ = controlStatus.members_.size();
  const auto services = router_.Services();
  for (const auto& service : *services) {
    ServiceStatus serviceStatus;
    serviceStatus.name_ = service->Config()->name_;
    serviceStatus.version_ = service->Version();
    const auto candidates = service->WithBalancer(
      [](auto& aBalancer) { return aBalancer.Candidates(std::chrono::steady_clock::now()); });
    serviceStatus.upstreams_ = candidates.size();
    serviceStatus.leavingUpstreams_ = static_cast<std::uint64_t>(
      std::count_if(candidates.begin(), candidates.end(), [](const auto& aCandidate) {
        return aCandidate.leaving_;
      }));
    for (const CandidateInfo& candidate : candidates) {
      serviceStatus.evacuatedUpstreams_ += candidate.evacuated_ ? 1 : 0;
      serviceStatus.coldUpstreams_ += candidate.coldFor_ > Duration(0) ? 1 : 0;
    }
    status.services_.push_back(std::move(serviceStatus));
  }
  return status;
}

AdminHooks
EntryInstance::MakeAdminHooks()
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
  const auto waitUntil =
    std::chrono::steady_clock::now() + settings_.drainLimit_ - settings_.drainMargin_;
  draining_ = true;
  metrics_.SetReady(false);
  metrics_.SetDraining(true);
  Log(EventId::DrainStarted, { { "instance", settings_.id_ } });
  control_->BeginShutdown();
  traffic_.BeginDrain();
  std::this_thread::sleep_for(settings_.drainGrace_);

  traffic_.StopAccepting(waitUntil);
  while (!traffic_.Drained() && std::chrono::steady_clock::now() < waitUntil) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  const bool complete = traffic_.Drained();
  Log(complete ? EventId::DrainFinished : EventId::DrainLimitReached,
      { { "instance", settings_.id_ } });
  ReportSuppressedEvents(true);
  return complete;
}

} // namespace boragepier
