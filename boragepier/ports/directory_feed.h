#ifndef BORAGEPIER_PORTS_DIRECTORY_FEED_H
#define BORAGEPIER_PORTS_DIRECTORY_FEED_H

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "boragepier/base/ids.h"
#include "boragepier/base/time.h"
#include "boragepier/config/route_config.h"
#include "boragepier/config/upstream_endpoint.h"

namespace boragepier {

/// What a store keeps for the fleet.
enum class FeedTopic : std::uint8_t
{
  Configuration, ///< one FleetConfig
  Upstreams,     ///< an UpstreamEntry for each upstream
  Instances,     ///< an InstanceEntry for each entry instance that ever started
};
inline constexpr std::size_t kFeedTopics = 3;

/// An upstream as it registered itself.
struct UpstreamEntry
{
  ServiceName service_;
  UpstreamEndpoint endpoint_;
};

/// An entry instance as it registered itself.
struct InstanceEntry
{
  InstanceId id_;
  std::string address_;    ///< IP address under which other instances reach it
  std::uint16_t port_ = 0; ///< the same
  double capacity_ = 0;    ///< for relaying news; instances with more come first

  friend bool operator==(const InstanceEntry&, const InstanceEntry&) = default;
};

/// An entry that cannot be read. It stands for nothing, also if it could be read before.
struct UnreadableEntry
{
  std::string error_;
};

/// An entry was removed.
struct RemovedEntry
{};

/// One entry of a topic as the store keeps it.
struct FeedRow
{
  std::string key_;           ///< unique in the topic
  std::uint64_t version_ = 0; ///< position of its last change
  bool removed_ = false;
  std::string value_; ///< in the format of the store; empty if removed

  friend bool operator==(const FeedRow&, const FeedRow&) = default;
};

/// One entry of a topic with its meaning.
struct FeedItem
{
  std::string key_;
  std::variant<UnreadableEntry, RemovedEntry, FleetConfig, UpstreamEntry, InstanceEntry> value_;
};

/// How a call to the store ended.
enum class FeedStatus : std::uint8_t
{
  Ok,
  HistoryLost, ///< the changes since the given position are not kept any more
  Refused,     ///< the store answered and did nothing
  Unreachable, ///< no answer, or one that cannot be read
};

/// Answer of the store.
struct FeedPage
{
  FeedStatus status_ = FeedStatus::Unreachable;
  std::vector<FeedRow> rows_;
  std::uint64_t position_ = 0; ///< up to which the rows are complete
  std::string error_;          ///< why the status is not Ok
};

using FeedCallback = std::function<void(FeedPage)>;

/// Reads the entries that a store keeps and waits for their changes. Callbacks run exactly once,
/// later, in the thread of the caller.
template<typename T>
concept DirectoryFeed = requires(T& aFeed,
                                 FeedTopic aTopic,
                                 std::uint64_t aPosition,
                                 Duration aWait,
                                 const InstanceEntry& aInstance,
                                 const FeedRow& aRow,
                                 MonotonicTime aNow,
                                 FeedCallback aDone)
{
  /// All entries of a topic.
  aFeed.Read(aTopic, aDone);
  /// The entries that changed after aPosition, as soon as there are some, or none after aWait.
  aFeed.Wait(aTopic, aPosition, aWait, aDone);
  /// Registers an instance; an entry that is there already is replaced.
  aFeed.Register(aInstance, aDone);
  /// What a row means; never fails. aNow is the time at which it was read.
  {
    aFeed.Decode(aTopic, aRow, aNow)
    } -> std::same_as<FeedItem>;
};

} // namespace boragepier

#endif
