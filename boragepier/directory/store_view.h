#ifndef BORAGEPIER_DIRECTORY_STORE_VIEW_H
#define BORAGEPIER_DIRECTORY_STORE_VIEW_H

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "boragepier/directory/feed_mirror.h"
#include "boragepier/ports/peer_message.h"

namespace boragepier {

inline constexpr std::array<FeedTopic, kFeedTopicCount> kFeedTopics = { FeedTopic::Configuration,
                                                                        FeedTopic::Upstreams,
                                                                        FeedTopic::Instances,
                                                                        FeedTopic::Evacuations };

/// Topics that are read from the store. Evacuations come with the configuration.
inline constexpr std::array kReadTopics = { FeedTopic::Configuration,
                                            FeedTopic::Upstreams,
                                            FeedTopic::Instances };

/// @return whether routing needs the topic up to date; the list of instances may be out of date
constexpr bool
IsRoutingTopic(FeedTopic aTopic)
{
  return aTopic != FeedTopic::Instances;
}

/// Position of one reader in each topic, indexed by FeedTopic.
using FeedPositions = std::array<std::uint64_t, kFeedTopicCount>;

/// What an instance knows of the store: the rows of each topic, and until when they are known to be
/// complete. Reads no clock and does no I/O.
///
/// Rows from another instance may come in several messages. Until the last one, they continue only
/// with messages of the same sender: another one may have passed the positions in between with
/// other rows. They are not passed on before the last one either, because the transfer may be given
/// up. The configuration is complete only if it agrees with its digest (see config_parts.h).
///
/// A store that was restored from an older copy gives positions and versions out again. They are
/// ordered within an era only: once a newer era is known, all rows of each topic are collected anew
/// and replace those of the older era together, also if their positions are lower. Until then the
/// older ones stay in use, but they are neither confirmed nor passed on.
class StoreView
{
public:
  /// Records the era of a response of the store, or of a message of another instance. To be called
  /// before its rows are applied.
  /// @return whether the era is newer than that of rows that are known, so that all rows must be
  /// read
  bool ObserveEra(std::uint64_t aEra);
  /// @return the newest era observed; 0 if none was
  std::uint64_t Era() const { return era_; }
  /// @return the era of the rows of a topic
  std::uint64_t Era(FeedTopic aTopic) const { return StateOf(aTopic).era_; }
  /// @return whether rows of a routing topic are still those of an older era
  bool IsBehindEra() const
  {
    return std::any_of(kFeedTopics.begin(), kFeedTopics.end(), [&](FeedTopic aTopic) {
      return IsRoutingTopic(aTopic) && Era(aTopic) < era_;
    });
  }

  /// Applies a response of the store. Ends a transfer from another instance.
  /// @param aChangesOnly whether it holds the changes since Position(), not all rows
  /// @param aObservedAt time at which the store held nothing newer
  /// @return the rows that changed, or nothing if the response is older than Position() or Era(),
  /// or
  ///   holds changes to rows of an older era
  std::optional<std::vector<FeedRow>> ApplyResponse(FeedTopic aTopic,
                                                    const FeedResponse& aResponse,
                                                    bool aChangesOnly,
                                                    MonotonicTime aObservedAt);
  /// Applies one topic of a message of another instance. If the sender misses removals of rows that
  /// this instance may have (RemovalGap), all rows are collected anew, over several messages, and
  /// replace those known so far once they are complete.
  /// @param aSender instance that sent the message
  /// @param aEra era of the message
  /// @param aObservedAt time at which the store held nothing newer than the sender's rows
  /// @return the rows that changed, or nothing if the message does not continue
  /// SubscribePosition() or is of an older era,
  ///   or is a part of a transfer while another one is in progress
  std::optional<std::vector<FeedRow>> ApplyUpdate(FeedTopic aTopic,
                                                  const InstanceId& aSender,
                                                  std::uint64_t aEra,
                                                  const PeerStoreUpdate::Topic& aUpdate,
                                                  MonotonicTime aObservedAt);
  /// Records that the store no longer has the changes since Position(), so that all rows must be
  /// read. The rows known so far stay in use.
  void OnHistoryLost(FeedTopic aTopic) { StateOf(aTopic).synced_ = false; }
  /// Gives up the transfers from all instances but one.
  /// @param aSource instance that is followed from now on, if there is one
  void AbandonOtherTransfers(const std::optional<InstanceId>& aSource);

  /// @return position up to which rows of the topic are known; 0 if none are
  std::uint64_t Position(FeedTopic aTopic) const { return StateOf(aTopic).mirror_.Position(); }
  /// @return position up to which all rows are known as of one moment: after it changes are to be
  /// requested from the store, and up to it they are passed on
  std::uint64_t CompletePosition(FeedTopic aTopic) const
  {
    return StateOf(aTopic).completePosition_;
  }
  /// @return whether a transfer of any topic from this instance is in progress
  bool IsTransferringFrom(const InstanceId& aSource) const
  {
    return std::any_of(topics_.begin(), topics_.end(), [&](const TopicState& aTopic) {
      return aTopic.transferFrom_ == aSource;
    });
  }
  /// @return whether the rows are those of one moment, rather than those of an unfinished transfer
  bool IsComplete(FeedTopic aTopic) const
  {
    return !StateOf(aTopic).partial_ && !IsRelisting(aTopic);
  }
  /// @return CompletePosition() of all topics
  FeedPositions CompletePositions() const;
  /// @return position after which rows are to be requested from another instance: Position(), or a
  /// lower one during a transfer from a third instance and while all rows are collected anew
  std::uint64_t SubscribePosition(FeedTopic aTopic, const InstanceId& aSource) const;
  /// @return the positions for a subscription in all topics
  FeedPositions SubscribePositions(const InstanceId& aSource) const;
  /// @return whether all rows are being collected anew from other instances
  bool IsRelisting(FeedTopic aTopic) const { return StateOf(aTopic).relisted_ != nullptr; }
  /// @return whether the changes since Position() can be requested, rather than all rows
  bool IsSynced(FeedTopic aTopic) const { return StateOf(aTopic).synced_; }
  /// @return whether configuration and upstreams are both known, up to date or not
  bool HasRoutingData() const;
  /// @return time at which the routing topics were both known to be complete, if they ever were
  std::optional<MonotonicTime> ConfirmedAt() const;

  /// Returns what a subscriber lacks of a topic. Rows of an older era than Era() are left out.
  /// @param aFrom position up to which it has the rows
  /// @param aMaxBytes limit on the size of the rows
  PeerStoreUpdate::Topic UpdateSince(FeedTopic aTopic,
                                     std::uint64_t aFrom,
                                     std::size_t aMaxBytes,
                                     MonotonicTime aNow) const;

private:
  struct TopicState
  {
    FeedMirror mirror_;
    std::uint64_t era_ = 0;                    ///< of the rows of the mirror
    bool synced_ = false;                      ///< the mirror has all rows up to its position
    std::optional<MonotonicTime> confirmedAt_; ///< when the store last held nothing newer
    /// The rows collected anew so far; null unless IsRelisting().
    std::unique_ptr<FeedMirror> relisted_;
    std::uint64_t completePosition_ = 0;     ///< of the mirror before the transfer in progress
    std::optional<InstanceId> transferFrom_; ///< sender of the transfer in progress
    bool partial_ = false; ///< the mirror has rows of a transfer that was not finished
  };

  /// @return whether all rows of a topic are those of one moment, as far as a digest tells
  static bool IsConsistent(FeedTopic aTopic, const FeedMirror& aMirror);
  static void AbandonTransfer(TopicState& aTopic);
  /// Begins to collect all rows anew. Those known so far stay in use.
  static void StartRelisting(TopicState& aTopic);
  /// Replaces the rows of a topic by all rows of the store in a newer era.
  std::vector<FeedRow> EnterEra(FeedTopic aTopic, FeedMirror&& aRows);
  TopicState& StateOf(FeedTopic aTopic) { return topics_[static_cast<std::size_t>(aTopic)]; }
  const TopicState& StateOf(FeedTopic aTopic) const
  {
    return topics_[static_cast<std::size_t>(aTopic)];
  }

  std::uint64_t era_ = 0; ///< see Era()
  std::array<TopicState, kFeedTopicCount> topics_;
};

} // namespace boragepier

#endif
