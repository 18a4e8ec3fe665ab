#ifndef BORAGEPIER_PORTS_PEER_MESSAGE_H
#define BORAGEPIER_PORTS_PEER_MESSAGE_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "boragepier/base/ids.h"
#include "boragepier/ports/directory_feed.h"
#include "boragepier/ports/instance_list.h"
#include "boragepier/state/config_record.h"

namespace boragepier {

/// Version of the messages below. A peer with a different version is disconnected.
inline constexpr unsigned kPeerProtocolVersion = 8;
/// Largest encoded message in bytes. Large enough for one configuration of kMaxConfigBodyBytes, or
/// for store rows of kMaxStoreUpdateBytes.
inline constexpr std::size_t kMaxPeerMessageBytes = std::size_t{ 1280 } * 1024;
/// Total size in bytes of the rows of one PeerStoreUpdate, of which each topic that is read from
/// the store gets an equal share. Rows of one version are not split, so they, or a single row, may
/// exceed the share: the row of a configuration with a thousand routes has about 200 KB.
inline constexpr std::size_t kMaxStoreUpdateBytes = std::size_t{ 64 } * 1024;
/// Largest number of elements in any list of a message.
inline constexpr std::size_t kMaxPeerItems = 1024;
/// Largest gossip round that is accepted from a peer, so that adding to a round cannot overflow.
inline constexpr std::uint64_t kMaxRound = std::uint64_t{ 1 } << 40;

/// Address on which an entry instance accepts connections from other instances.
struct PeerEndpoint
{
  InstanceId id_;
  std::string address_; ///< IP address
  std::uint16_t port_ = 0;

  friend bool operator==(const PeerEndpoint&, const PeerEndpoint&) = default;
};

/// Version of one replicated entry; the entry with the larger version wins.
struct EntryVersion
{
  std::uint64_t major_ = 0; ///< version of a configuration, or start number of a process
  std::uint64_t minor_ = 0; ///< orders entries with the same major_

  // clang-tidy 14 reports a false positive for the defaulted comparison.
  friend auto operator<=>(const EntryVersion&,
                          const EntryVersion&) = default; // NOLINT(modernize-use-nullptr)
};

/// The replicated sets of entries. The values are part of the protocol.
enum class PeerSection : std::uint8_t
{
  Configs = 0,
  Processes = 1,
  Departures = 2,
};
inline constexpr std::size_t kPeerSectionCount = 3;

/// Checksums of the sender's entries, one per bucket of each section (anti-entropy). Buckets whose
/// checksums differ are compared by PeerKeyVersions.
struct PeerDigest
{
  std::uint64_t round_ = 0; ///< gossip round of the sender, see Rounds in docs/peers.md
  /// Serial up to which the sender has all published configuration changes.
  std::uint64_t configSerial_ = 0;
  std::uint64_t listRound_ = 0; ///< round of the latest process list that the sender has
  bool leaving_ = false;        ///< the sender is shutting down
  std::vector<std::uint32_t> configs_;
  std::vector<std::uint32_t> processes_;
  std::vector<std::uint32_t> departures_;
  friend bool operator==(const PeerDigest&, const PeerDigest&) = default;
};

/// Keys and versions of all entries of the sender in the given buckets or, without buckets, of some
/// new entries.
struct PeerKeyVersions
{
  struct KeyVersion
  {
    std::string key_;
    EntryVersion version_;
    friend bool operator==(const KeyVersion&, const KeyVersion&) = default;
  };
  PeerSection section_ = PeerSection::Configs;
  std::vector<std::uint16_t> buckets_;
  std::vector<KeyVersion> keyVersions_;
  friend bool operator==(const PeerKeyVersions&, const PeerKeyVersions&) = default;
};

/// Requests entries by key.
struct PeerPull
{
  PeerSection section_ = PeerSection::Configs;
  std::vector<std::string> keys_;
  friend bool operator==(const PeerPull&, const PeerPull&) = default;
};

/// Replicated configurations.
struct PeerConfigs
{
  std::vector<ConfigRecord> records_;
  friend bool operator==(const PeerConfigs&, const PeerConfigs&) = default;
};

/// One process of the platform's list.
struct ProcessEntry
{
  ListedProcess process_;
  std::uint64_t round_ = 0; ///< in which an instance observed the latest change of the entry
  bool missing_ = false;    ///< the list no longer contains the process
};

/// Entries of the platform's list.
struct PeerProcesses
{
  std::vector<ProcessEntry> entries_;
};

/// An upstream that is draining or has exited. Applies to the start with this number and to all
/// earlier ones.
struct Departure
{
  UpstreamId upstream_;
  std::uint64_t startNumber_ = 0;
  std::uint64_t round_ = 0; ///< in which the latest signal of the departure was received
  friend bool operator==(const Departure&, const Departure&) = default;
};

/// Departures of upstreams.
struct PeerDepartures
{
  /// Current round of the sender. If it is behind, receivers convert the rounds of the entries.
  std::uint64_t round_ = 0;
  std::vector<Departure> entries_;
  friend bool operator==(const PeerDepartures&, const PeerDepartures&) = default;
};

/// An entry instance that has sent a message.
struct MemberEntry
{
  PeerEndpoint endpoint_;
  std::uint64_t round_ = 0; ///< in which its last message arrived
  bool leaving_ = false;
  friend bool operator==(const MemberEntry&, const MemberEntry&) = default;
};

/// Instances known to the sender.
struct PeerMembers
{
  std::vector<MemberEntry> members_;
  friend bool operator==(const PeerMembers&, const PeerMembers&) = default;
};

/// Subscribes for a short time to what the receiver learns from the store; sent again to renew the
/// subscription.
struct PeerSubscribe
{
  std::uint64_t sentAtMs_ = 0;           ///< on the monotonic clock of the sender
  std::vector<std::uint64_t> positions_; ///< per topic, up to which the sender has all rows
  /// Instances that the receiver is asked to register in the store, usually none.
  std::vector<InstanceEntry> registrations_;
  std::uint64_t era_ = 0; ///< newest era of the store that the sender knows (FeedResponse::era_);
                          ///< the positions are positions in this era
  friend bool operator==(const PeerSubscribe&, const PeerSubscribe&) = default;
};

/// Store rows that the sender has and the receiver, a subscriber, does not have yet.
struct PeerStoreUpdate
{
  struct Topic
  {
    std::uint64_t from_ = 0;     ///< position after which the rows start
    std::uint64_t position_ = 0; ///< position up to which the receiver has all rows afterwards; 0
                                 ///< if the sender knows nothing about the topic
    std::uint64_t ageMs_ = 0;    ///< staleness of the sender's rows when it created the message
    bool complete_ = false;      ///< the sender has no rows beyond position_
    std::vector<FeedRow> rows_;
    /// Gaps of the sender that end after from_. A receiver that has rows whose removal may be
    /// missed there needs all rows, and subscribes again from position 0.
    std::vector<RemovalGap> gaps_;
    friend bool operator==(const Topic&, const Topic&) = default;
  };
  bool storeAnswers_ = false; ///< the store is reachable and the sender's rows are up to date
  bool pending_ = false;      ///< the sender has just started and has no rows to send yet
  // From the next two the receiver computes, on its own clock, when the message was created,
  // however long the delivery took.
  std::uint64_t subscribeSentAtMs_ = 0; ///< sentAtMs_ of the last PeerSubscribe of the receiver
  std::uint64_t subscribeHeldMs_ = 0;   ///< time from its arrival to the creation of this message
  /// Time from the start of the period in which the sender has observed the entries of the
  /// upstreams without an outage of the store to the creation of this message. The period ends
  /// ageMs_ of that topic before the message.
  std::uint64_t observedForMs_ = 0;
  std::vector<Topic> topics_; ///< in the order of FeedTopic
  std::uint64_t era_ = 0;     ///< era of the store to which all rows and positions belong
  friend bool operator==(const PeerStoreUpdate&, const PeerStoreUpdate&) = default;
};

/// Asks the owner of shares of the quotas of teams for credit.
struct PeerQuotaRequest
{
  struct Item
  {
    std::uint64_t team_ = 0;
    std::uint32_t share_ = 0;
    std::uint32_t wanted_ = 0; ///< requests
    friend bool operator==(const Item&, const Item&) = default;
  };
  std::uint64_t sequence_ = 0; ///< unique among the requests of the sender
  std::vector<Item> items_;
  friend bool operator==(const PeerQuotaRequest&, const PeerQuotaRequest&) = default;
};

/// Answers a PeerQuotaRequest.
struct PeerQuotaGrant
{
  struct Item
  {
    std::uint64_t team_ = 0;
    std::uint32_t share_ = 0;
    std::uint32_t granted_ = 0;     ///< requests
    std::uint32_t deniedForMs_ = 0; ///< time in which the receiver should not ask again; 0 if it
                                    ///< got all that it wanted
    friend bool operator==(const Item&, const Item&) = default;
  };
  std::uint64_t sequence_ = 0; ///< of the request
  std::vector<Item> items_;
  friend bool operator==(const PeerQuotaGrant&, const PeerQuotaGrant&) = default;
};

/// A message between two instances. The order of the alternatives is part of the protocol.
using PeerMessage = std::variant<PeerDigest,
                                 PeerKeyVersions,
                                 PeerPull,
                                 PeerConfigs,
                                 PeerProcesses,
                                 PeerDepartures,
                                 PeerMembers,
                                 PeerSubscribe,
                                 PeerStoreUpdate,
                                 PeerQuotaRequest,
                                 PeerQuotaGrant>;

} // namespace boragepier

#endif
