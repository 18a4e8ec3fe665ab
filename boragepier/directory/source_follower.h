#ifndef BORAGEPIER_DIRECTORY_SOURCE_FOLLOWER_H
#define BORAGEPIER_DIRECTORY_SOURCE_FOLLOWER_H

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "boragepier/directory/directory_timing.h"
#include "boragepier/directory/relay_tree.h"
#include "boragepier/directory/store_view.h"

namespace boragepier {

/// Chooses the instance from which this one receives the changes of the store: its source. Reads no
/// clock and does no I/O; the owner sends the PeerSubscribe messages.
class SourceFollower
{
public:
  explicit SourceFollower(const DirectoryTiming& aTiming)
    : timing_(aTiming)
  {
  }

  /// Replaces the candidates after a change of the relay tree. The current source stays in use
  /// until the preferred one has confirmed its data, so that no instance is without a source
  /// because the list of instances changes.
  /// @param aRole role of this instance; the root has no candidates
  void SetRole(RelayRole aRole, MonotonicTime aNow)
  {
    role_ = std::move(aRole);
    if (role_.IsRoot()) {
      source_.reset();
    } else if (!source_) {
      Select(0, aNow);
    } else if (!IsCurrent(role_.sources_.front().id_)) {
      preferredTriedAt_.reset();
    }
  }

  const RelayRole& Role() const { return role_; }
  /// @return the current source, if there is one
  const std::optional<InstanceEntry>& Source() const { return source_; }
  bool IsCurrent(const InstanceId& aId) const { return source_ && source_->id_ == aId; }
  /// @return whether the current source was adopted and is not one of the candidates either
  bool IsAdopted() const
  {
    return source_ && adopted_ && Find(source_->id_) == role_.sources_.end();
  }
  bool IsPreferred(const InstanceId& aId) const
  {
    return !role_.sources_.empty() && role_.sources_.front().id_ == aId;
  }

  /// Goes on to the next candidate. There is no source after the last one, until the preferred one
  /// replies again.
  /// @param aWrapAround starts again with the first candidate instead
  void SelectNext(bool aWrapAround, MonotonicTime aNow)
  {
    if (!source_) {
      return;
    }
    const auto current = Find(source_->id_);
    auto next = current == role_.sources_.end()
                  ? std::size_t{ 0 }
                  : static_cast<std::size_t>(current - role_.sources_.begin()) + 1;
    if (next >= role_.sources_.size()) {
      if (!aWrapAround || role_.sources_.empty()) {
        source_.reset();
        preferredTriedAt_ = aNow;
        return;
      }
      next = 0;
    }
    Select(next, aNow);
  }

  /// Makes an instance the source that need not be a candidate, until SelectNext() or the preferred
  /// one replaces it. To be called if there is no source.
  void Adopt(const InstanceEntry& aSource, MonotonicTime aNow)
  {
    Follow(aSource, aNow);
    adopted_ = true;
    replied_ = true;
  }

  /// Gives up the source of the root, which reads the store again.
  void ReleaseAdopted()
  {
    if (role_.IsRoot()) {
      source_.reset();
    }
  }

  /// Goes back to the first candidate if the current one is in another availability zone and the
  /// first one is not.
  void SkipSourcesOutside(const ZoneName& aZone, MonotonicTime aNow)
  {
    if (source_ && source_->zone_ != aZone && role_.sources_.front().zone_ == aZone) {
      Select(0, aNow);
    }
  }

  /// Records that the current or the preferred source has fresh data, or none yet and waits for it.
  /// @param aMayReturn whether the preferred one becomes the source if it is another
  void OnReply(const InstanceId& aSender, bool aMayReturn, MonotonicTime aNow)
  {
    if (aMayReturn && IsPreferred(aSender) && !IsCurrent(aSender)) {
      Select(0, aNow);
    }
    if (IsCurrent(aSender)) {
      aliveAt_ = aNow;
    }
  }

  /// Records a reply before this instance has any data. The sender becomes the source if it is a
  /// candidate and the current one has not replied since it was chosen.
  void OnFirstReply(const InstanceId& aSender, MonotonicTime aNow)
  {
    if (IsCurrent(aSender)) {
      replied_ = true;
      return;
    }
    const auto found = Find(aSender);
    if (source_ && !replied_ && found != role_.sources_.end()) {
      Select(static_cast<std::size_t>(found - role_.sources_.begin()), aNow);
      replied_ = true;
    }
  }

  /// @return whether the current source has replied before this instance had any data
  bool HasReplied() const { return replied_; }
  /// @return whether the current source was chosen, or last replied, longer than this ago
  bool IsSilentFor(Duration aDuration, MonotonicTime aNow) const
  {
    return source_ && aNow - aliveAt_ > aDuration;
  }
  /// @return whether the current source was chosen longer than this ago
  bool IsInUseFor(Duration aDuration, MonotonicTime aNow) const
  {
    return source_ && aNow - selectedAt_ > aDuration;
  }

  /// @return the instances to send PeerSubscribe to now: the current source and, at intervals, the
  /// preferred one if it is another
  /// @param aAskPreferred includes the preferred one now
  std::vector<InstanceEntry> Renewals(MonotonicTime aNow, bool aAskPreferred)
  {
    std::vector<InstanceEntry> receivers;
    if (source_) {
      receivers.push_back(*source_);
    }
    if (role_.sources_.empty() || IsCurrent(role_.sources_.front().id_)) {
      return receivers;
    }
    if (aAskPreferred || !preferredTriedAt_ ||
        aNow - *preferredTriedAt_ > timing_.preferredSourceRetryInterval_) {
      preferredTriedAt_ = aNow;
      receivers.push_back(role_.sources_.front());
    }
    return receivers;
  }

private:
  std::vector<InstanceEntry>::const_iterator Find(const InstanceId& aId) const
  {
    return std::find_if(role_.sources_.begin(),
                        role_.sources_.end(),
                        [&](const InstanceEntry& aSource) { return aSource.id_ == aId; });
  }

  void Select(std::size_t aIndex, MonotonicTime aNow) { Follow(role_.sources_[aIndex], aNow); }

  void Follow(const InstanceEntry& aSource, MonotonicTime aNow)
  {
    source_ = aSource;
    aliveAt_ = aNow;
    selectedAt_ = aNow;
    adopted_ = false;
    replied_ = false;
  }

  const DirectoryTiming& timing_;
  RelayRole role_;
  std::optional<InstanceEntry> source_;
  bool adopted_ = false;                          ///< by Adopt()
  MonotonicTime selectedAt_;                      ///< when the source was chosen
  MonotonicTime aliveAt_;                         ///< when it was chosen or last replied
  bool replied_ = false;                          ///< to OnFirstReply() since it was chosen
  std::optional<MonotonicTime> preferredTriedAt_; ///< when it was last tried beside the current one
};

} // namespace boragepier

#endif
