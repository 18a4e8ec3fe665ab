#ifndef BORAGEPIER_DIRECTORY_DIRECTORY_STATE_H
#define BORAGEPIER_DIRECTORY_DIRECTORY_STATE_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "boragepier/ports/directory_feed.h"
#include "boragepier/state/routing_table.h"

namespace boragepier {

/// Limits on all instances together that the settings give and the configuration leaves open.
struct FleetTerms
{
  double retryRatio_ = 0.1; ///< extra attempts per request to a service
  double retrySlack_ = 0;   ///< further extra attempts to a service in a window
  Duration retryWindow_ = std::chrono::seconds(10);
  double probesPerUpstreamSecond_ = 20;
  Duration heartbeat_ = std::chrono::milliseconds(1500); ///< in which upstreams renew their entries
};

/// What changed in the state, for logs.
enum class DirectoryChange : std::uint8_t
{
  ConfigAccepted,
  ConfigOutdated, ///< a version that is not above the one in force was ignored
  UpstreamAdded,
  UpstreamLeaving,
  UpstreamRemoved,
  UpstreamDoubtful, ///< its entry is missing after an outage of the store; kept for now
  EntriesAwaited,   ///< after an outage of the store, in which entries may have lapsed
  EntryUnreadable,
  InstanceAdded,
};

/// One change with what it concerns.
struct DirectoryEvent
{
  DirectoryChange change_;
  std::string subject_; ///< id of the upstream or instance, or the version
  std::string detail_;
};

/// Configuration, upstreams and instances as read from a store. Reads no clock and does no I/O.
///
/// The version of the configuration only rises. Entries of upstreams may lapse in an outage of the
/// store although the upstreams live; they come back soon after. So an entry that goes missing
/// within kReturnGrace of the end of an outage is kept until that time has passed. An outage is
/// seen from the time between two sights of the store by whichever instance: trouble that only some
/// instances have with the store makes no entry lapse.
class DirectoryState
{
public:
  /// Time after the return of the store in which lapsed entries are registered again.
  static constexpr Duration kReturnGrace = std::chrono::milliseconds(2500);

  /// @param aSelf this instance, always a member
  DirectoryState(InstanceId aSelf, const FleetTerms& aTerms);

  /// Changes the limits, as after a reload of the settings.
  void SetTerms(const FleetTerms& aTerms);

  /// Takes in changed entries.
  void OnChanges(std::span<const DecodedFeedRow> aItems, MonotonicTime aNow);
  /// The entries of upstreams in the store were seen by this or another instance. Called before
  /// the changes that were seen are taken in.
  /// @param aSeenAt when, not after aNow
  void OnUpstreamsSeen(MonotonicTime aSeenAt, MonotonicTime aNow);
  /// Removes the upstreams whose time has run out.
  void Advance(MonotonicTime aNow);
  /// @return when Advance() must be called, if there is a reason
  std::optional<MonotonicTime> NextAdvance() const;

  /// @return whether something relevant for routing changed since the last call
  bool TakeChanged();
  /// @return what happened since the last call
  std::vector<DirectoryEvent> TakeEvents();
  /// @return the routing table; without services while no configuration is known
  std::shared_ptr<const RoutingTable> Table() const;
  /// @return the registered instances
  std::vector<InstanceEntry> Instances() const;
  std::uint64_t ConfigVersion() const { return config_ ? config_->version_ : 0; }

private:
  /// An entry lapses after three heartbeats, of which one may have passed before the outage.
  static constexpr int kLapseHeartbeats = 2;

  struct Upstream
  {
    UpstreamEntry entry_;
    bool missing_ = false; ///< since an outage; removed when the grace time ends
  };

  void OnItem(const DecodedFeedRow& aItem, MonotonicTime aNow);
  void OnValue(const std::string& aKey, const FleetConfig& aConfig, MonotonicTime aNow);
  void OnValue(const std::string& aKey, const UpstreamEntry& aEntry, MonotonicTime aNow);
  void OnValue(const std::string& aKey, const InstanceEntry& aEntry, MonotonicTime aNow);
  void OnValue(const std::string& aKey, const UnreadableEntry& aEntry, MonotonicTime aNow);
  void OnValue(const std::string& aKey, const RemovedEntry& aEntry, MonotonicTime aNow);
  void RemoveUpstream(const std::string& aKey, MonotonicTime aNow);

  const InstanceId self_;
  FleetTerms terms_;
  std::uint64_t termsVersion_ = 0; ///< rises with each change of terms_
  std::shared_ptr<const FleetConfig> config_;
  std::map<std::string, Upstream> upstreams_;
  std::map<std::string, InstanceEntry> instances_;
  std::optional<MonotonicTime> seenAt_; ///< last sight of the entries of upstreams
  MonotonicTime graceUntil_{};
  bool changed_ = false;
  std::vector<DirectoryEvent> events_;
};

} // namespace boragepier

#endif
