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

/// Version of the messages below. A peer with another version is disconnected.
inline constexpr unsigned kPeerProtocolVersion = 3;
/// Largest encoded message in bytes. Holds one configuration of kMaxConfigBodyBytes bytes, or the
/// rows of a store up to kMaxNewsBytes.
inline constexpr std::size_t kMaxPeerMessage = std::size_t{ 160 } * 1024;
/// Rows of one PeerNews in bytes, unless a single one is larger. A row has 64 KiB at most.
inline constexpr std::size_t kMaxNewsBytes = std::size_t{ 64 } * 1024;
/// Largest number of elements in one list of a message.
inline constexpr std::size_t kMaxPeerItems = 1024;
/// Largest round that is accepted, so that adding to one never overflows.
inline constexpr std::uint64_t kMaxRound = std::uint64_t{ 1 } << 40;

/// Where an entry instance is reached by other instances.
struct PeerEndpoint
{
  InstanceId id_;
  std::string address_; ///< IP address
  std::uint16_t port_ = 0;

  friend bool operator==(const PeerEndpoint&, const PeerEndpoint&) = default;
};

/// Version of one replicated entry; the larger one wins.
struct EntryVersion
{
  std::uint64_t major_ = 0; ///< configuration version, or start number of a process
  std::uint64_t minor_ = 0; ///< order among entries with the same major_

  // clang-tidy 14 misreads the defaulted comparison.
  friend auto operator<=>(const EntryVersion&,
                          const EntryVersion&) = default; // NOLINT(modernize-use-nullptr)
};

/// The replicated sets. Values are part of the protocol.
enum class PeerSection : std::uint8_t
{
  Configs = 0,
  Processes = 1,
  Departures = 2,
};
inline constexpr std::size_t kPeerSections = 3;

/// Checksums of what the sender holds, one for each bucket of each section.
struct PeerDigest
{
  std::uint64_t round_ = 0;        ///< see Rounds in docs/peers.md
  std::uint64_t configSerial_ = 0; ///< changes of the store that the sender holds
  std::uint64_t listRound_ = 0;    ///< round of the latest fetch of the list that the sender holds
  bool leaving_ = false;           ///< the sender is shutting down
  std::vector<std::uint32_t> configs_;
  std::vector<std::uint32_t> processes_;
  std::vector<std::uint32_t> departures_;
  friend bool operator==(const PeerDigest&, const PeerDigest&) = default;
};

/// Keys and versions of all entries that the sender holds in some buckets, or, without buckets, of
/// some new entries.
struct PeerHeads
{
  struct Head
  {
    std::string key_;
    EntryVersion version_;
    friend bool operator==(const Head&, const Head&) = default;
  };
  PeerSection section_ = PeerSection::Configs;
  std::vector<std::uint16_t> buckets_;
  std::vector<Head> heads_;
  friend bool operator==(const PeerHeads&, const PeerHeads&) = default;
};

/// Asks for entries.
struct PeerPull
{
  PeerSection section_ = PeerSection::Configs;
  std::vector<std::string> keys_;
  friend bool operator==(const PeerPull&, const PeerPull&) = default;
};

/// Configurations.
struct PeerConfigs
{
  std::vector<ConfigRecord> records_;
  friend bool operator==(const PeerConfigs&, const PeerConfigs&) = default;
};

/// One process of the platform's list, with the round in which an instance saw it change.
struct ProcessEntry
{
  ListedProcess process_;
  std::uint64_t round_ = 0;
  bool missing_ = false; ///< the list no longer holds the process
};

/// Entries of the platform's list.
struct PeerProcesses
{
  std::vector<ProcessEntry> entries_;
};

/// An upstream start that is leaving or gone.
struct Departure
{
  UpstreamId upstream_;
  std::uint64_t startNumber_ = 0;
  std::uint64_t round_ = 0; ///< round of the latest signal
  friend bool operator==(const Departure&, const Departure&) = default;
};

/// Departures of upstreams.
struct PeerDepartures
{
  std::uint64_t round_ = 0; ///< of the sender, to which the rounds of the entries refer
  std::vector<Departure> entries_;
  friend bool operator==(const PeerDepartures&, const PeerDepartures&) = default;
};

/// An instance that was heard from.
struct MemberEntry
{
  PeerEndpoint endpoint_;
  std::uint64_t round_ = 0; ///< round in which it was heard from last
  bool leaving_ = false;
  friend bool operator==(const MemberEntry&, const MemberEntry&) = default;
};

/// Instances that the sender knows of.
struct PeerMembers
{
  std::vector<MemberEntry> members_;
  friend bool operator==(const PeerMembers&, const PeerMembers&) = default;
};

/// Asks another instance to send what it reads from the store, for a short time.
struct PeerFollow
{
  std::uint64_t sentAtMs_ = 0;           ///< by the monotonic clock of the sender
  std::vector<std::uint64_t> positions_; ///< of each topic, up to which the sender knows the rows
  friend bool operator==(const PeerFollow&, const PeerFollow&) = default;
};

/// What the sender read from the store and the receiver does not know yet.
struct PeerNews
{
  struct Topic
  {
    std::uint64_t from_ = 0;     ///< position that the rows continue
    std::uint64_t position_ = 0; ///< up to which the receiver then knows the rows
    std::uint64_t ageMs_ = 0;    ///< time since the store was seen, when the message was made
    bool complete_ = false;      ///< the store had no further rows then
    std::vector<FeedRow> rows_;
    friend bool operator==(const Topic&, const Topic&) = default;
  };
  bool storeAnswers_ = false;
  // These two tell the receiver the age of the message by its own clock, however long it was under
  // way.
  std::uint64_t followSentAtMs_ = 0; ///< sentAtMs_ of the last PeerFollow of the receiver
  std::uint64_t followHeldMs_ = 0;   ///< time from its arrival to the sending of this message
  std::vector<Topic> topics_;        ///< in the order of FeedTopic
  friend bool operator==(const PeerNews&, const PeerNews&) = default;
};

/// A message between two instances. The index of the alternative is part of the protocol.
using PeerMessage = std::variant<PeerDigest,
                                 PeerHeads,
                                 PeerPull,
                                 PeerConfigs,
                                 PeerProcesses,
                                 PeerDepartures,
                                 PeerMembers,
                                 PeerFollow,
                                 PeerNews>;

} // namespace boragepier

#endif
