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

/// Time between two digests.
inline constexpr Duration kDigestInterval = std::chrono::milliseconds(500);
/// Peers that receive a digest each time.
inline constexpr std::size_t kDigestPeers = 2;
/// Peers that receive news at once.
inline constexpr std::size_t kNewsPeers = 4;

/// Bounds of the exchange.
struct GossipLimits
{
  /// Average of encoded messages for each direction. Both directions and the framing of the
  /// transport stay below 16 KB.
  double bytesPerSecond_ = 7000;
  std::size_t queuedMessages_ = 64; ///< replies that wait for the budget
  std::size_t pendingNews_ = 256;   ///< entries that wait to be sent as news
  std::size_t messageBytes_ =
    std::size_t{ 4 } * 1024; ///< a message is ended after the entry that exceeds this
};

/// Exchanges state with other instances: digests to random peers, news at once, and pulls of what
/// is missing. Takes messages and time, changes FleetState and returns messages to send.
///
/// Any message may be lost: what news does not reach, the comparison of digests finds.
class Gossip
{
public:
  struct Outgoing
  {
    PeerEndpoint peer_;
    PeerMessage message_;
  };

  /// @param aState outlives this object
  /// @param aSeed of the choice of peers
  Gossip(FleetState& aState, std::uint64_t aSeed, GossipLimits aLimits = {});

  /// Queues digests. To be called every kDigestInterval.
  void Tick();

  /// Handles a message.
  /// @param aSender the peer
  /// @param aBytes size of the encoded message
  /// @return configurations of the message that were rejected
  std::vector<std::string> OnMessage(const PeerEndpoint& aSender,
                                     PeerMessage aMessage,
                                     std::size_t aBytes,
                                     MonotonicTime aNow);

  /// Queues an entry of FleetState as news.
  /// @param aKey service, key of the process or name of the upstream
  /// @param aOrigin whether this instance is where the fleet learns of the entry. A configuration
  ///        is then sent as a whole; else its version is, and peers that lack it pull it.
  void AddNews(PeerSection aSection, const std::string& aKey, bool aOrigin);

  /// Tells peers that this instance is shutting down, now and in each digest.
  void AnnounceLeaving();

  /// @return the next message to send now, or nothing if there is none or the budget is used up
  std::optional<Outgoing> Next(MonotonicTime aNow);
  /// The last message of Next() was sent.
  void OnSent(std::size_t aBytes, MonotonicTime aNow);
  /// @return when to call Next() again, or nothing if no message waits
  std::optional<Duration> Wait(MonotonicTime aNow);

  /// @return messages and news given up because of the limits
  std::uint64_t Dropped() const { return dropped_; }

private:
  struct Pulled
  {
    EntryVersion version_;
    MonotonicTime time_;
  };
  using News = std::map<std::pair<PeerSection, std::string>, bool>;

  void Handle(const PeerEndpoint& aSender, const PeerDigest& aDigest);
  void Handle(const PeerEndpoint& aSender, const PeerKeyVersions& aHeads);
  void Handle(const PeerEndpoint& aSender, const PeerPull& aPull);
  void Handle(const PeerEndpoint& aSender, PeerConfigs& aConfigs);
  void Handle(const PeerEndpoint& aSender, const PeerProcesses& aProcesses);
  void Handle(const PeerEndpoint& aSender, const PeerDepartures& aDepartures);
  void Handle(const PeerEndpoint& aSender, const PeerMembers& aMembers);

  void SendHeads(const PeerEndpoint& aPeer,
                 PeerSection aSection,
                 std::span<const std::uint32_t> aSums);
  void SendNewer(const PeerEndpoint& aPeer, const PeerKeyVersions& aHeads);
  void SendMembers(const PeerEndpoint& aPeer, std::size_t aCount);
  void RelayMember(const MemberEntry& aMember);
  bool ShouldPull(PeerSection aSection, const PeerKeyVersions::KeyVersion& aHead);
  void Reply(const PeerEndpoint& aPeer, PeerMessage aMessage);
  void FlushNews();
  std::vector<PeerMessage> TakeNews();
  PeerDigest OwnDigest() const;
  std::vector<PeerEndpoint> RandomPeers(std::size_t aCount);
  void Push(std::deque<Outgoing>& aQueue, std::size_t aLimit, Outgoing aItem);

  FleetState& state_;
  Random random_;
  GossipLimits limits_;
  TokenBucket sendBudget_;
  TokenBucket receiveBudget_;
  MonotonicTime now_{};
  bool leaving_ = false;
  std::uint64_t ticks_ = 0;
  std::uint64_t dropped_ = 0;
  News news_;
  std::deque<Outgoing> urgent_;
  std::deque<Outgoing> replies_;
  std::deque<Outgoing> digests_;
  std::map<std::pair<PeerSection, std::string>, Pulled> pulled_;
  std::vector<std::string> errors_;
};

} // namespace boragepier

#endif
