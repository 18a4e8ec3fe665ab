#ifndef BORAGEPIER_PORTS_DIRECTORY_FEED_H
#define BORAGEPIER_PORTS_DIRECTORY_FEED_H

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "boragepier/base/ids.h"
#include "boragepier/base/time.h"
#include "boragepier/config/route_config.h"
#include "boragepier/config/upstream_endpoint.h"

namespace boragepier {

/// The sets of entries that the directory store keeps for the fleet.
enum class FeedTopic : std::uint8_t
{
  Configuration, ///< one row with a FleetConfig
  Upstreams,     ///< an UpstreamEntry for each upstream
  Instances,     ///< an InstanceEntry for each entry instance that was ever started
  Evacuations,   ///< a row without a value for each evacuated availability zone
};
inline constexpr std::size_t kFeedTopicCount = 4;

/// An upstream as registered by itself.
struct UpstreamEntry
{
  ServiceName service_;
  UpstreamEndpoint endpoint_;
};

/// An entry instance as registered by itself.
struct InstanceEntry
{
  InstanceId id_;
  std::string address_;      ///< IP address on which it accepts other instances
  std::uint16_t port_ = 0;   ///< port on which it accepts other instances
  double relayCapacity_ = 0; ///< for relaying store updates; larger values are preferred as relays
  ZoneName zone_;            ///< availability zone; may be empty

  friend bool operator==(const InstanceEntry&, const InstanceEntry&) = default;
};

/// An entry that cannot be decoded. It counts as absent, even if an earlier version was valid.
struct UnreadableEntry
{
  std::string error_; ///< why it cannot be decoded
};

/// An entry that was removed from the store.
struct RemovedEntry
{};

/// One entry of a topic in the encoding of the store.
struct FeedRow
{
  std::string key_;           ///< unique in the topic
  std::uint64_t version_ = 0; ///< position of its last change in the change log of the topic
  bool removed_ = false;
  std::string value_; ///< encoded by the store; empty if removed

  friend bool operator==(const FeedRow&, const FeedRow&) = default;
};

/// Positions between which a copy of a topic misses removals: of a row that was both written and
/// removed after after_ and before before_, the copy knows nothing.
struct RemovalGap
{
  std::uint64_t after_ = 0;
  std::uint64_t before_ = 0;

  friend bool operator==(const RemovalGap&, const RemovalGap&) = default;
};

/// A FeedRow of upstreams or instances after decoding.
struct DecodedFeedRow
{
  std::string key_;
  std::variant<UnreadableEntry, RemovedEntry, UpstreamEntry, InstanceEntry> value_;
};

/// The row of the configuration after decoding.
using DecodedConfig = std::variant<UnreadableEntry, RemovedEntry, FleetConfig>;

/// Result of a call to the store.
enum class FeedStatus : std::uint8_t
{
  Ok,
  HistoryLost, ///< the store has discarded changes after the given position; read all entries
  Refused,     ///< the store rejected the call; it had no effect
  Unreachable, ///< no response, or one that cannot be decoded
};

/// Response of the store.
struct FeedResponse
{
  FeedStatus status_ = FeedStatus::Unreachable;
  std::vector<FeedRow> rows_;
  std::uint64_t position_ = 0; ///< position in the change log up to which the rows are complete
  std::string error_;          ///< reason, if the status is not Ok
  /// Steady clock of the store when it created the response, if it says so.
  std::optional<Duration> storeTime_;
  /// Rows of Evacuations up to position_, by the name of the zone. They come with the rows of
  /// Configuration and are not read on their own.
  std::vector<FeedRow> evacuations_;
  /// Increases when the store was restored from an older copy, after which positions and versions
  /// are given out again. Also set if the status is not Ok; 0 if the store does not say it.
  std::uint64_t era_ = 0;
};

using FeedCallback = std::function<void(FeedResponse)>;

/// Largest number of instances in one call of Register().
inline constexpr std::size_t kMaxRegistrations = 100;

/// Client of the directory store: reads entries and waits for changes (long polling). Each callback
/// runs exactly once, after the function returned, in the thread that called the function. Read()
/// and Wait() are not called for Evacuations.
template<typename T>
concept DirectoryFeed = requires(T& aFeed,
                                 FeedTopic aTopic,
                                 std::uint64_t aPosition,
                                 Duration aWait,
                                 std::span<const InstanceEntry> aInstances,
                                 const FeedRow& aRow,
                                 MonotonicTime aNow,
                                 FeedCallback aDone)
{
  /// Reads all entries of a topic.
  aFeed.Read(aTopic, aDone);
  /// Reads the entries that changed after aPosition. The store responds as soon as there are any,
  /// or without rows after aWait.
  aFeed.Wait(aTopic, aPosition, aWait, aDone);
  /// Registers up to kMaxRegistrations instances; replaces existing entries with the same ids.
  aFeed.Register(aInstances, aDone);
  /// Decodes a row of upstreams or instances read at aNow. Does not throw: a malformed row becomes
  /// an UnreadableEntry.
  {
    aFeed.Decode(aTopic, aRow, aNow)
    } -> std::same_as<DecodedFeedRow>;
  /// Decodes a row of the configuration in the same way.
  {
    aFeed.DecodeConfig(aRow)
    } -> std::same_as<DecodedConfig>;
};

} // namespace boragepier

#endif
