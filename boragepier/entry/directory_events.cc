#include "boragepier/entry/directory_thread.h"

#include <algorithm>

namespace boragepier {

namespace {

EventId
EventOf(DirectoryChange aChange)
{
  switch (aChange) {
    case DirectoryChange::ConfigAccepted:
      return EventId::ConfigAccepted;
    case DirectoryChange::ConfigOutdated:
      return EventId::ConfigOutdated;
    case DirectoryChange::UpstreamAdded:
      return EventId::UpstreamAdded;
    case DirectoryChange::UpstreamLeaving:
      return EventId::UpstreamLeaving;
    case DirectoryChange::UpstreamRemoved:
      return EventId::UpstreamRemoved;
    case DirectoryChange::EntriesAwaited:
      return EventId::EntriesAwaited;
    case DirectoryChange::UpstreamDoubtful:
      return EventId::UpstreamDoubtful;
    case DirectoryChange::EntryUnreadable:
      return EventId::EntryUnreadable;
    case DirectoryChange::InstanceAdded:
      break;
  }
  return EventId::InstanceAdded;
}

} // namespace

FleetTerms
TermsOf(const Settings& aSettings)
{
  return { aSettings.retryRatio_,
           aSettings.retrySlack_,
           aSettings.retryWindow_,
           aSettings.probesPerUpstreamSecond_,
           aSettings.heartbeatInterval_ };
}

double
RelayCapacity(const Settings& aSettings)
{
  constexpr double kMbpsPerCore = 1000;
  return std::min(aSettings.processorCores_ * kMbpsPerCore, aSettings.linkMbps_);
}

void
LogDirectoryEvent(const DirectoryEvent& aEvent)
{
  Log(EventOf(aEvent.change_),
      { { "subject", aEvent.subject_ }, { "detail", aEvent.detail_ }, { "source", "store" } });
}

} // namespace boragepier
