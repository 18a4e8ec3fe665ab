#include "boragepier/entry/entry_instance.h"

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

EntryInstance::EntryInstance(const Settings& aSettings)
  : settings_(aSettings)
  , directory_(aSettings.id_, aSettings.zone_, std::random_device()())
  , telemetry_(metrics_,
               explain_,
               [this](const UpstreamEndpoint& aUpstream) {
                 control_.ReportLeaving(aUpstream.id_, aUpstream.startNumber_);
               })
  , control_(aSettings, metrics_, [this](const auto& aTable) { OnRouting(aTable); })
  , traffic_(aSettings, directory_, telemetry_, RequestIdPrefix(aSettings.id_))
{
}

EntryInstance::~EntryInstance()
{
  // The admin surface asks the control thread, which hands routing tables to the traffic thread.
  admin_.reset();
  control_.Stop();
  traffic_.Stop();
}

InstancePorts
EntryInstance::Start()
{
  InstancePorts ports;
  ports.caller_ = traffic_.Listen();
  ports.peer_ = control_.Start();
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
  traffic_.SetFleetSize(aTable->instances_.size());
  if (!aTable->services_.empty() && !configured_.exchange(true)) {
    metrics_.SetReady(!draining_);
    Log(EventId::InstanceReady, { { "services", aTable->services_.size() } });
  }
}

bool
EntryInstance::Drain()
{
  draining_ = true;
  metrics_.SetReady(false);
  metrics_.SetDraining(true);
  Log(EventId::DrainStarted, { { "instance", settings_.id_ } });
  control_.BeginShutdown();
  traffic_.BeginDrain();
  std::this_thread::sleep_for(settings_.drainGrace_);

  const auto limit = std::chrono::steady_clock::now() + settings_.drainLimit_;
  traffic_.StopAccepting();
  while (!traffic_.Idle() && std::chrono::steady_clock::now() < limit) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  const bool complete = traffic_.Idle();
  Log(complete ? EventId::DrainFinished : EventId::DrainLimitReached,
      { { "instance", settings_.id_ } });
  ReportLeftOutEvents(true);
  return complete;
}

} // namespace boragepier
