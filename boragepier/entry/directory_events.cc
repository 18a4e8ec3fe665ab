#include "boragepier/entry/directory_thread.h"

#include <algorithm>

namespace boragepier {

namespace {

EventId
EventIdFor(DirectoryEventType aType)
{
  switch (aType) {
    case DirectoryEventType::ConfigAccepted:
      return EventId::ConfigAccepted;
    case DirectoryEventType::ConfigOutdated:
      return EventId::ConfigOutdated;
    case DirectoryEventType::UpstreamAdded:
      return EventId::UpstreamAdded;
    case DirectoryEventType::UpstreamLeaving:
      return EventId::UpstreamLeaving;
    case DirectoryEventType::UpstreamRemoved:
      return EventId::UpstreamRemoved;
    case DirectoryEventType::GracePeriodStarted:
      return EventId::EntriesAwaited;
    case DirectoryEventType::UpstreamEntryMissing:
      return EventId::UpstreamDoubtful;
    case DirectoryEventType::EntryUnreadable:
      return EventId::EntryUnreadable;
    case DirectoryEventType::RegistrationFailed:
      return EventId::RegistrationFailed;
    case DirectoryEventType::ZoneEvacuated:
      return EventId::ZoneEvacuated;
    case DirectoryEventType::ZoneRestored:
      return EventId::ZoneRestored;
    case DirectoryEventType::StoreRestored:
      return EventId::StoreRestored;
    case DirectoryEventType::Loaded:
      return EventId::DirectoryLoaded;
    case DirectoryEventType::InstanceAdded:
      break;
  }
  return EventId::InstanceAdded;
}

} // namespace

FleetSettings
FleetLimitsFrom(const Settings& aSettings)
{
  return { aSettings.retryRatio_,        aSettings.retrySlack_,
           aSettings.retryWindow_,       aSettings.probesPerUpstreamSecond_,
           aSettings.heartbeatInterval_, aSettings.coldOverage_,
           aSettings.coldSlack_ };
}

void
LogTeamRefused(const TeamName& aTeam, const InstanceId& aOwner, Duration aRetryAfter)
{
  Log(EventId::TeamQuotaExceeded,
      { { "team", aTeam }, { "owner", aOwner }, { "credit", 0 }, { "retryAfterMs", aRetryAfter } });
}

QuotaRules
QuotaRulesFrom(const Settings& aSettings)
{
  return { aSettings.quotaWindow_, aSettings.quotaOverage_, aSettings.quotaSlack_ };
}

double
RelayCapacity(const Settings& aSettings)
{
  constexpr double kMbpsPerCore = 1000;
  return std::min(aSettings.processorCores_ * kMbpsPerCore, aSettings.linkMbps_);
}

void
LogDirectoryEvent(const DirectoryEvent& aEvent, std::string_view aSource)
{
  Log(EventIdFor(aEvent.type_),
      { { "subject", aEvent.subject_ }, { "detail", aEvent.detail_ }, { "source", aSource } });
}

} // namespace boragepier
