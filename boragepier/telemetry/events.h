#ifndef BORAGEPIER_TELEMETRY_EVENTS_H
#define BORAGEPIER_TELEMETRY_EVENTS_H

#include <cstdint>
#include <span>
#include <string_view>

#include "boragepier/base/log_level.h"

namespace boragepier {

/// Number of a log event. A number is never reused for another event; docs/events.md lists them
/// all.
enum class EventId : std::uint16_t
{
  InstanceStarted = 1001,
  InstanceReady = 1002,
  InstanceNotReady = 1003,
  DrainStarted = 1004,
  DrainFinished = 1005,
  DrainLimitReached = 1006,
  StartFailed = 1007,
  InternalError = 1008,
  EventsLeftOut = 1009,
  SettingsReloaded = 1010,
  SettingsRejected = 1011,
  ProcessFailed = 1012,
  StartDelayed = 1019,
  StartCancelled = 1020,
  DescriptorLimit = 1021,
  MaxConnectionsLowered = 1022,
  DescriptorShortage = 1023,

  ConfigAccepted = 2001,
  ConfigRejected = 2002,
  ConfigOutdated = 2003,
  ConfigAnnounced = 2004,
  ConfigPollFailed = 2005,

  TableUnavailable = 3001,
  TableAvailable = 3002,
  ClaimReadBack = 3003,
  ClaimOutcomeNotRecorded = 3004,
  ClaimsCollected = 3005,
  StoreUnreachable = 3006,
  StoreReachable = 3007,

  UpstreamEjected = 4001,
  UpstreamReinstated = 4002,
  UpstreamLeaving = 4003,
  UpstreamAdded = 4004,
  UpstreamRemoved = 4005,
  ConnectionsSuspected = 4006,
  AllUpstreamsUnhealthy = 4007,
  ListUnavailable = 4008,
  ListAvailable = 4009,
  UpstreamProtocolError = 4010,
  UpstreamDoubtful = 4011,
  EntryUnreadable = 4012,
  EntriesAwaited = 4013,
  UpstreamPaused = 4014,
  PauseIgnored = 4015,
  ForeignResponse = 4016,

  PeerConnected = 5001,
  PeerLost = 5002,
  PeerRefused = 5003,
  NoPeers = 5004,
  PeerBudgetExceeded = 5005,
  InstanceAdded = 5006,
  DirectorySource = 5007,
  RegistrationFailed = 5008,
  ControlDelayed = 5009,
  ZoneEvacuated = 5010,
  ZoneRestored = 5011,
  StoreRestored = 5012,
  DirectoryLoaded = 5013,
  DirectoryStale = 5014,

  RequestRefused = 6001,
  RequestOutcomeUnknown = 6002,
  ConnectionLimitReached = 6003,
  AdminRequestRefused = 6004,
  AttemptStarted = 6005,
  AttemptEnded = 6006,
  RequestEnded = 6007,
  RequestUnanswered = 6008,
  BodyBudgetExceeded = 6009,
  TeamQuotaExceeded = 6010,
  RequestNotRouted = 6011,
};

/// Entry of the event catalogue.
struct EventInfo
{
  EventId id_;
  LogLevel level_;
  std::string_view name_;    ///< as written to the log
  std::string_view meaning_; ///< what happened
  std::string_view action_;  ///< what the operator should do
};

/// @return all events, sorted by number
std::span<const EventInfo>
EventCatalogue();
/// @return the catalogue entry of an event; every enumerator has one
/// @throws std::logic_error if the catalogue lacks the event
const EventInfo&
InfoOf(EventId aEvent);

} // namespace boragepier

#endif
