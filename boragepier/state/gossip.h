#ifndef BORAGEPIER_STATE_GOSSIP_H
#define BORAGEPIER_STATE_GOSSIP_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "boragepier/base/random.h"
#include "boragepier/base/token_bucket.h"
#include "boragepier/ports/peer_message.h"
#include "boragepier/state/fleet_state.h"

namespace boragepier {

/// Interval at which digests are sent.
inline constexpr Duration kDigestInterval = std::chrono::milliseconds(500);
/// Number of random peers to which a digest is sent each time.
inline constexpr std::size_t kDigestFanout = 2;
/// Number of random peers to which a new entry is pushed at once. Each of them that did not know it
/// pushes it further.
inline constexpr std::size_t kPushFanout = 4;

/// Limits of Gossip.
struct GossipLimits
{
  /// Average size of encoded messages per second, for sending and for receiving. Both together with
  /// the framing of the transport stay below 16 KB/s.
  double bytesPerSecond_ = 7000;
  std::size_t maxQueuedMessages_ = 64; ///< of one queue; the oldest message is dropped beyond that
  /// Entries that wait to be pushed; further ones are dropped.
  std::size_t maxPendingUpdates_ = 256;
  /// Once a message has this size, no further entry is added to it.
  std::size_t targetMessageBytes_ = std::size_t{ 4 } * 1024;
};

/// Replicates FleetState among the entry instances. New entries are pushed to random peers at once.
/// In addition, instances regularly send a digest of their state to random peers; two instances
/// whose digests differ exchange entry versions and then the entries that one of them lacks.
///
/// Any message may be lost: the digests repair what a push did not reach. The class handles
/// messages, updates FleetState and queues messages; the owner sends them. Time is passed in. Not
/// thread-safe.
class Gossip
{
public:
  /// A message to send.
  struct Outgoing
  {
    PeerEndpoint peer_;
    PeerMessage message_;
  };

  /// @param aState outlives this object
  /// @param aSeed seed for the random selection of peers
  Gossip(FleetState& aState, std::uint64_t aSeed, GossipLimits aLimits = {});

  /// Queues digests and, less often, a sample of the known instances. Call every kDigestInterval.
  void Tick();

  /// Handles a message from a peer.
  /// @param aBytes size of the encoded message
  /// @return one error text for each configuration in the message that was rejected
  std::vector<std::string> OnMessage(const PeerEndpoint& aSender,
                                     PeerMessage aMessage,
                                     std::size_t aBytes,
                                     MonotonicTime aNow);

  /// Queues a new or changed entry of FleetState to be pushed to peers.
  /// @param aKey name of the service, ProcessList::KeyOf(), or name of the upstream
  /// @param aIsOrigin whether the entry entered the fleet at this instance. A large configuration
  ///   is then pushed whole; otherwise only its version is, and peers that lack it pull it.
  void QueueUpdate(PeerSection aSection, const std::string& aKey, bool aIsOrigin);

  /// Tells random peers that this instance is shutting down, at once and in each later digest.
  void AnnounceLeaving();

  /// @return the next message to send now, or nothing if none is queued or the byte budget is used
  ///   up
  std::optional<Outgoing> NextMessage(MonotonicTime aNow);
  /// Charges the message last returned by NextMessage() to the byte budget.
  /// @param aBytes its encoded size
  void OnSent(std::size_t aBytes, MonotonicTime aNow);
  /// @return the time after which the budget allows the next message, or nothing if none is queued
  std::optional<Duration> TimeUntilNextMessage(MonotonicTime aNow);

  /// @return the number of messages and entries dropped because of GossipLimits
  std::uint64_t DroppedCount() const { return droppedCount_; }

private:
  // A version that was requested from a peer.
  struct RecentPull
  {
    EntryVersion version_;
    MonotonicTime time_;
  };
  // Whether the entry entered the fleet at this instance, by section and key.
  using PendingUpdates = std::map<std::pair<PeerSection, std::string>, bool>;

  void Handle(const PeerEndpoint& aSender, const PeerDigest& aDigest);
  void Handle(const PeerEndpoint& aSender, const PeerKeyVersions& aKeyVersions);
  void Handle(const PeerEndpoint& aSender, const PeerPull& aPull);
  void Handle(const PeerEndpoint& aSender, PeerConfigs& aConfigs);
  void Handle(const PeerEndpoint& aSender, const PeerProcesses& aProcesses);
  void Handle(const PeerEndpoint& aSender, const PeerDepartures& aDepartures);
  void Handle(const PeerEndpoint& aSender, const PeerMembers& aMembers);

  void OfferVersions(const PeerEndpoint& aPeer,
                     PeerSection aSection,
                     std::span<const std::uint32_t> aChecksums);
  void SendNewerEntries(const PeerEndpoint& aPeer, const PeerKeyVersions& aKeyVersions);
  void SendMembers(const PeerEndpoint& aPeer, std::size_t aCount);
  void RelayMember(const MemberEntry& aMember);
  bool ShouldPull(PeerSection aSection, const PeerKeyVersions::KeyVersion& aKeyVersion);
  void Reply(const PeerEndpoint& aPeer, PeerMessage aMessage);
  void QueuePushMessages();
  std::vector<PeerMessage> BuildPushMessages();
  PeerDigest OwnDigest() const;
  std::vector<PeerEndpoint> RandomPeers(std::size_t aCount);
  void PushBounded(std::deque<Outgoing>& aQueue, std::size_t aLimit, Outgoing aItem);

  FleetState& state_;
  Random random_;
  GossipLimits limits_;
  TokenBucket sendBudget_;
  TokenBucket receiveBudget_;
  MonotonicTime now_{};
  bool leaving_ = false;
  std::uint64_t ticks_ = 0;
  std::uint64_t droppedCount_ = 0;
  PendingUpdates pendingUpdates_;
  std::deque<Outgoing> pushQueue_;
  std::deque<Outgoing> replyQueue_;
  std::deque<Outgoing> digestQueue_;
  std::map<std::pair<PeerSection, std::string>, RecentPull> recentPulls_;
  std::vector<std::string> configErrors_;
};

} // namespace boragepier

#endif
