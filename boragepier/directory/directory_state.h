#ifndef BORAGEPIER_DIRECTORY_DIRECTORY_STATE_H
#define BORAGEPIER_DIRECTORY_DIRECTORY_STATE_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "boragepier/directory/config_assembly.h"
#include "boragepier/ports/directory_feed.h"
#include "boragepier/state/routing_table.h"

namespace boragepier {

/// Settings that apply to all instances together and are not part of the configuration.
struct FleetSettings
{
  double retryRatio_ = 0.1; ///< retry budget: extra attempts per request to a service
  double retrySlack_ = 0;   ///< extra attempts to a service per window on top of the ratio
  Duration retryWindow_ = std::chrono::seconds(10); ///< window of the retry budget
  double probesPerUpstreamSecond_ = 20;             ///< limit on probes of one upstream
  /// Interval at which upstreams renew their entries.
  Duration heartbeatInterval_ = std::chrono::milliseconds(1500);
  double coldOverage_ = 1; ///< tolerated multiple of the request rate of a cold upstream
  double coldSlack_ = 0;   ///< tolerated requests beyond that in one second
};

/// Kinds of changes in the directory, for logs.
enum class DirectoryEventType : std::uint8_t
{
  ConfigAccepted,
  ConfigOutdated, ///< a version below the active one was ignored
  UpstreamAdded,
  UpstreamLeaving,
  UpstreamRemoved,
  UpstreamEntryMissing, ///< entry missing after an outage of the store; kept until the grace period
                        ///< ends
  GracePeriodStarted,   ///< grace period began: entries may have expired in an outage of the store
  EntryUnreadable,
  InstanceAdded,
  RegistrationFailed, ///< a call that registers instances failed
  ZoneEvacuated,      ///< the upstreams of an availability zone receive nothing from now on
  Loaded,             ///< configuration and upstreams are complete for the first time
  ZoneRestored,       ///< the evacuation of an availability zone was withdrawn
  StoreRestored,      ///< the store was restored from an older copy: all entries are read anew
};

/// One change in the directory.
struct DirectoryEvent
{
  DirectoryEventType type_;
  /// Key of the entry, version of the configuration, era of the store, or duration of the outage in
  /// milliseconds.
  std::string subject_;
  std::string detail_; ///< service, error or reason; may be empty
};

/// Configuration, upstreams and instances as read from a store. Reads no clock and does no I/O.
///
/// The version of the configuration never decreases within an era of the store.
///
/// During an outage of the store, live upstreams cannot renew their entries, so the entries may
/// expire; the upstreams register again soon after the outage. An entry that disappears within
/// kReregistrationGrace of the end of an outage is therefore kept until that period is over. An
/// outage is detected from the time between two observations of the store by any instance: if only
/// some instances cannot reach the store, no entry expires. An instance that could reach neither
/// the store nor the others takes its own gap for an outage, until another instance reports that it
/// has observed the store in that time.
///
/// A store that was restored from an older copy lacks what was written since. Upstreams register
/// again as after an outage, and so do instances: entries that are missing in the restored store
/// are kept for the grace period, which no observation of another instance ends.
class DirectoryState
{
public:
  /// Grace period after an outage of the store, in which upstreams register expired entries again.
  static constexpr Duration kReregistrationGrace = std::chrono::milliseconds(2500);

  /// @param aSelf this instance, which is in every routing table
  /// @param aSettings settings that apply to all instances together
  DirectoryState(InstanceId aSelf, const FleetSettings& aSettings);

  /// Replaces the settings, for example after a reload.
  void SetFleetSettings(const FleetSettings& aSettings);

  /// Applies changed parts of the configuration. They take effect with ActivateConfig().
  void ApplyConfigParts(std::span<const FeedRow> aParts);
  /// Puts the parts that were applied into force, unless their version is lower than the active
  /// one of the same era. To be called when they are those of one version.
  /// @param aEra era of the store from which the parts are
  void ActivateConfig(std::uint64_t aEra);
  /// Records an entry that was ignored.
  void OnUnreadable(const std::string& aKey, const std::string& aError);
  /// Applies changed evacuations, which are in force until they are removed.
  /// @param aRows rows of FeedTopic::Evacuations
  void ApplyEvacuations(std::span<const FeedRow> aRows);
  /// Records that the store was restored from an older copy. The changes that are applied from now
  /// on replace the entries by those of the restored store.
  /// @param aEra era of the restored store
  void OnStoreRestored(std::uint64_t aEra);
  /// Starts to keep the instances whose entries are missing in the restored store. To be called
  /// before the changes of the instances that were read are applied.
  void OnInstancesObserved(MonotonicTime aNow);
  /// Applies changed entries of upstreams and instances.
  void ApplyChanges(std::span<const DecodedFeedRow> aItems, MonotonicTime aNow);
  /// Records that this or another instance read the entries of the upstreams from the store. To be
  /// called before the changes that were read are applied.
  /// @param aObservedAt time at which the store held these entries, not after aNow
  void OnUpstreamsObserved(MonotonicTime aObservedAt, MonotonicTime aNow);
  /// Records that another instance observed the entries of the upstreams in a period without an
  /// outage of the store. To be called before OnUpstreamsObserved(). Ends the grace period if that
  /// period covers the time that counted as an outage, and removes the missing upstreams.
  /// @param aSince start of the period
  /// @param aUntil end of the period: the time of the last observation
  void OnObservedElsewhere(MonotonicTime aSince, MonotonicTime aUntil, MonotonicTime aNow);
  /// @return start of the period in which this or another instance has observed the entries of the
  /// upstreams without an outage of the store, or nothing without an observation
  std::optional<MonotonicTime> ObservedSince() const { return observedSince_; }
  /// @return whether upstreams whose entries are missing are kept
  bool InGracePeriod(MonotonicTime aNow) const { return aNow < graceUntil_; }
  /// Removes the upstreams and instances whose entries are still missing at the end of the grace
  /// period.
  void RemoveMissing(MonotonicTime aNow);
  /// @return when to call RemoveMissing(), or nothing if no entry is missing
  std::optional<MonotonicTime> NextRemoval() const;

  /// @return whether the routing table or the registered instances changed since the last call
  bool TakeRoutingChanged();
  /// @return whether the registered instances changed since the last call
  bool TakeInstancesChanged();
  /// @return the changes since the last call
  std::vector<DirectoryEvent> TakeEvents();
  /// Builds the routing table.
  /// @return the table, without services if no configuration is known yet
  std::shared_ptr<const RoutingTable> MakeRoutingTable() const;
  /// @return the registered instances, with this one only if it is registered
  std::vector<InstanceEntry> Instances() const;
  /// @return whether the instance is registered with exactly these data
  bool IsListed(const InstanceEntry& aInstance) const;
  /// @return the number of upstreams of all services
  std::size_t UpstreamCount() const { return upstreams_.size(); }
  /// @return version of the active configuration, or 0 if none is known yet
  std::uint64_t ConfigVersion() const
  {
    return assembly_.Active() ? assembly_.Active()->version_ : 0;
  }

private:
  /// Shortest outage, in heartbeat intervals, in which entries may expire. An entry expires three
  /// intervals after its last renewal, and one of them may have passed before the outage.
  static constexpr int kMinOutageHeartbeats = 2;

  struct Upstream
  {
    UpstreamEntry entry_;
    bool missing_ = false; ///< disappeared after an outage; removed when the grace period ends
  };

  void ApplyItem(const DecodedFeedRow& aItem, MonotonicTime aNow);
  void ApplyValue(const std::string& aKey, const UpstreamEntry& aEntry, MonotonicTime aNow);
  void ApplyValue(const std::string& aKey, const InstanceEntry& aEntry, MonotonicTime aNow);
  void ApplyValue(const std::string& aKey, const UnreadableEntry& aEntry, MonotonicTime aNow);
  void ApplyValue(const std::string& aKey, const RemovedEntry& aEntry, MonotonicTime aNow);
  /// @return the shortest time without an observation in which entries may expire
  Duration MinOutage() const { return kMinOutageHeartbeats * settings_.heartbeatInterval_; }
  void RemoveUpstream(const std::string& aKey, MonotonicTime aNow);
  void SetMissing(Upstream& aUpstream, bool aMissing);
  void RemoveMissingUpstreams(MonotonicTime aNow);
  void RemoveMissingInstances(MonotonicTime aNow);

  const InstanceId self_;
  FleetSettings settings_;
  std::uint64_t settingsVersion_ = 0; ///< increases with each change of settings_
  ConfigAssembly assembly_;
  std::map<std::string, Upstream> upstreams_;
  int missingCount_ = 0; ///< number of them that are missing
  std::map<std::string, InstanceEntry> instances_;
  std::set<std::string> missingInstances_; ///< those of instances_ that the restored store lacks
  std::set<ZoneName> evacuatedZones_;
  std::optional<MonotonicTime> upstreamsObservedAt_; ///< latest OnUpstreamsObserved()
  std::optional<MonotonicTime> observedSince_;       ///< see ObservedSince()
  MonotonicTime lastSeenBeforeOutage_{}; ///< last observation before the outage of the grace period
  MonotonicTime graceUntil_{};
  bool graceOfRestore_ = false; ///< the grace period follows a restore, so it is not ended early
  MonotonicTime instanceGraceUntil_{};
  // The first entries of the restored store are not applied yet.
  bool upstreamRestorePending_ = false;
  bool instanceRestorePending_ = false;
  bool routingChanged_ = false;
  bool instancesChanged_ = false;
  std::vector<DirectoryEvent> events_;
};

} // namespace boragepier

#endif
