#ifndef BORAGEPIER_DIRECTORY_DIRECTORY_FAKES_H
#define BORAGEPIER_DIRECTORY_DIRECTORY_FAKES_H

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "boragepier/directory/directory_watch.h"
#include "boragepier/entry/pipeline_fakes.h"

namespace boragepier {

/// Makes a configuration. The first route has a time limit of as many seconds as the version, the
/// others are the same in all versions.
inline FleetConfig
MakeConfig(std::uint64_t aVersion, int aRouteCount = 1)
{
  FleetConfig config;
  config.version_ = aVersion;
  for (int i = 0; i < aRouteCount; ++i) {
    RouteConfig& route = config.routes_.emplace_back();
    route.name_ = "r-" + std::to_string(i);
    route.host_ = "a.example";
    route.pathPrefix_ = "/x" + std::to_string(i) + '/';
    route.services_ = { { ServiceName("s"), 1 } };
  }
  config.routes_.front().timeLimit_ = std::chrono::seconds(aVersion);
  config.services_.emplace_back().name_ = ServiceName("s");
  return config;
}

inline DecodedFeedRow
UpstreamItem(const std::string& aId, bool aLeaving = false)
{
  UpstreamEntry entry;
  entry.service_ = ServiceName("s");
  entry.endpoint_ = { UpstreamId(aId), "127.0.0.1", 80, ZoneName("z"), 1, aLeaving };
  return { aId, entry };
}

/// Row of the fake store. The value of a configuration is its version, followed by a space and the
/// number of routes if that is not 1; that of an instance is its relay capacity and availability
/// zone; that of an upstream is not looked at.
inline FeedRow
MakeRow(const std::string& aKey, std::uint64_t aVersion, const std::string& aValue = {})
{
  return { aKey, aVersion, false, aValue };
}

/// Value of the row of a configuration, with about as many bytes as it takes in the users' store.
inline std::string
ConfigRowValue(std::uint64_t aVersion, int aRouteCount)
{
  constexpr std::size_t kBytesPerRoute = 150;
  return std::to_string(aVersion) + ' ' + std::to_string(aRouteCount) + ' ' +
         std::string(kBytesPerRoute * static_cast<std::size_t>(aRouteCount), 'x');
}

inline std::string
InstanceRowValue(const InstanceEntry& aInstance)
{
  return std::to_string(aInstance.relayCapacity_) + ' ' + aInstance.zone_.Text();
}

/// Decodes the rows of the fake store.
class RowDecoder
{
public:
  DecodedConfig DecodeConfig(const FeedRow& aRow) const
  {
    if (aRow.removed_) {
      return RemovedEntry{};
    }
    if (aRow.value_.empty()) {
      return UnreadableEntry{ "empty" };
    }
    std::size_t versionSize = 0;
    const std::uint64_t version = std::stoull(aRow.value_, &versionSize);
    return versionSize == aRow.value_.size()
             ? MakeConfig(version)
             : MakeConfig(version, std::stoi(aRow.value_.substr(versionSize)));
  }

  DecodedFeedRow Decode(FeedTopic aTopic, const FeedRow& aRow, MonotonicTime) const
  {
    if (aRow.removed_) {
      return { aRow.key_, RemovedEntry{} };
    }
    if (aTopic == FeedTopic::Upstreams) {
      return UpstreamItem(aRow.key_);
    }
    const std::size_t space = aRow.value_.find(' ');
    return { aRow.key_,
             InstanceEntry{ InstanceId(aRow.key_),
                            "127.0.0.1",
                            7,
                            std::stod(aRow.value_.substr(0, space)),
                            ZoneName(aRow.value_.substr(space + 1)) } };
  }
};

class FakeTransport;

/// Network between the fake instances and the store: a delay, and a link with limited bandwidth for
/// each instance.
struct FakeNetwork
{
  explicit FakeNetwork(FakeScheduler& aScheduler)
    : scheduler_(aScheduler)
  {
  }

  struct Link
  {
    ZoneName zone_;
    double bytesPerMs_ = 1e9;
    MonotonicTime sendingUntil_{};
    MonotonicTime receivingUntil_{};
    std::uint64_t bytesSent_ = 0;

    Duration TimeFor(std::size_t aBytes) const
    {
      return FromMilliseconds(static_cast<double>(aBytes) / bytesPerMs_);
    }
  };

  FakeScheduler& scheduler_;
  std::map<InstanceId, FakeTransport*> transports_; ///< of the running instances
  std::set<InstanceId> isolated_;                   ///< whose messages are lost silently
  Duration delay_ = std::chrono::milliseconds(2);
  std::map<InstanceId, Link> links_;
  std::uint64_t crossZoneBytes_ = 0; ///< between instances

  /// Runs a task when bytes that reach the link of an instance now have all arrived.
  void Receive(const InstanceId& aTo, std::size_t aBytes, std::function<void()> aTask)
  {
    Link& link = links_[aTo];
    link.receivingUntil_ = std::max(link.receivingUntil_, scheduler_.Now()) + link.TimeFor(aBytes);
    scheduler_.After(link.receivingUntil_ - scheduler_.Now(), std::move(aTask));
  }

  /// Runs a task when bytes sent now have all arrived.
  void Send(const InstanceId& aFrom,
            const InstanceId& aTo,
            std::size_t aBytes,
            std::function<void()> aTask)
  {
    Link& link = links_[aFrom];
    link.sendingUntil_ = std::max(link.sendingUntil_, scheduler_.Now()) + link.TimeFor(aBytes);
    link.bytesSent_ += aBytes;
    if (link.zone_ != links_[aTo].zone_) {
      crossZoneBytes_ += aBytes;
    }
    scheduler_.After(link.sendingUntil_ - scheduler_.Now() + delay_,
                     [this, aTo, aBytes, task = std::move(aTask)]() mutable {
                       Receive(aTo, aBytes, std::move(task));
                     });
  }
};

/// Carries messages between the instances of one test in virtual time. A message to an instance
/// that is not running makes it unreachable; further messages are dropped for a time that doubles
/// with each failure.
class FakeTransport
{
public:
  FakeTransport(FakeNetwork& aNetwork, InstanceId aSelf)
    : network_(aNetwork)
    , selfId_(std::move(aSelf))
  {
  }

  void Start(const PeerEndpoint& aSelf,
             PeerMessageCallback aOnMessage,
             PeerUnreachableCallback aOnUnreachable)
  {
    self_ = aSelf;
    onMessage_ = std::move(aOnMessage);
    onUnreachable_ = std::move(aOnUnreachable);
    network_.transports_[aSelf.id_] = this;
  }

  /// Ends the instance: it neither sends nor receives from now on.
  /// @param aSilently others do not notice, as after a loss of power
  void Stop(bool aSilently)
  {
    stopped_ = true;
    network_.transports_.erase(selfId_);
    if (aSilently) {
      network_.isolated_.insert(selfId_);
    }
  }

  std::size_t Send(const PeerEndpoint& aPeer, const PeerMessage& aMessage)
  {
    const auto unreachable = unreachable_.find(aPeer.id_);
    if (stopped_ || (unreachable != unreachable_.end() &&
                     network_.scheduler_.Now() < unreachable->second.until_)) {
      return 0;
    }
    const std::size_t size = SizeOf(aMessage);
    network_.Send(selfId_,
                  aPeer.id_,
                  size,
                  [this, to = aPeer.id_, message = std::make_shared<PeerMessage>(aMessage), size] {
                    Deliver(to, *message, size);
                  });
    return size;
  }

  PeerCounters Counters() const { return {}; }

private:
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(50);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(10);

  struct Backoff
  {
    MonotonicTime until_{};
    Duration next_ = kInitialBackoff;
  };

  // Size of an encoded message with its framing, about.
  static std::size_t SizeOf(const PeerMessage& aMessage)
  {
    constexpr std::size_t kMessageBytes = 120;
    constexpr std::size_t kItemBytes = 12;
    std::size_t size = kMessageBytes;
    if (const auto* const subscribe = std::get_if<PeerSubscribe>(&aMessage)) {
      size += subscribe->registrations_.size() * 5 * kItemBytes;
    } else if (const auto* const update = std::get_if<PeerStoreUpdate>(&aMessage)) {
      for (const PeerStoreUpdate::Topic& topic : update->topics_) {
        for (const FeedRow& row : topic.rows_) {
          size += row.key_.size() + row.value_.size() + kItemBytes;
        }
      }
    }
    return size;
  }

  void Deliver(const InstanceId& aTo, const PeerMessage& aMessage, std::size_t aSize)
  {
    if (network_.isolated_.contains(aTo) || network_.isolated_.contains(selfId_)) {
      return;
    }
    if (const auto found = network_.transports_.find(aTo); found != network_.transports_.end()) {
      unreachable_.erase(aTo);
      found->second->onMessage_(self_, aMessage, aSize);
    } else if (!stopped_) {
      Backoff& backoff = unreachable_[aTo];
      backoff.until_ = network_.scheduler_.Now() + backoff.next_;
      backoff.next_ = std::min(2 * backoff.next_, kMaxBackoff);
      onUnreachable_(aTo);
    }
  }

  FakeNetwork& network_;
  const InstanceId selfId_;
  PeerEndpoint self_;
  PeerMessageCallback onMessage_;
  PeerUnreachableCallback onUnreachable_;
  std::map<InstanceId, Backoff> unreachable_;
  bool stopped_ = false;
};

/// State of the store that the instances of one test share.
class FakeStore
{
public:
  explicit FakeStore(FakeScheduler& aScheduler)
    : scheduler_(aScheduler)
  {
  }

  void Put(FeedTopic aTopic, const std::string& aKey, const std::string& aValue)
  {
    const FeedRow row = MakeRow(aKey, ++position_, aValue);
    rows_[aTopic][aKey] = row;
    changedAt_[aTopic] = position_;
  }

  void Remove(FeedTopic aTopic, const std::string& aKey)
  {
    rows_[aTopic][aKey] = { aKey, ++position_, true, {} };
    changedAt_[aTopic] = position_;
  }

  std::vector<FeedRow> ChangesSince(FeedTopic aTopic, std::uint64_t aPosition)
  {
    std::vector<FeedRow> rows;
    if (changedAt_[aTopic] <= aPosition) {
      return rows;
    }
    for (const auto& [key, row] : rows_[aTopic]) {
      if (row.version_ > aPosition) {
        rows.push_back(row);
      }
    }
    return rows;
  }

  /// Keeps a copy to which Restore() returns.
  void TakeCopy() { copy_ = { position_, rows_, changedAt_ }; }

  /// Returns to the last copy, in a new era.
  void Restore()
  {
    position_ = copy_.position_;
    rows_ = copy_.rows_;
    changedAt_ = copy_.changedAt_;
    ++era_;
  }

  /// Counts calls that arrive now.
  void CountCalls(const InstanceId& aCaller, std::size_t aCount, bool aWrite)
  {
    callCounts_[aCaller] += static_cast<int>(aCount);
    auto& counts = aWrite ? writesBySecond_ : readsBySecond_;
    const auto second =
      std::chrono::duration_cast<std::chrono::seconds>(scheduler_.Now().time_since_epoch()).count();
    counts[second] += aCount;
  }

  struct Copy
  {
    std::uint64_t position_ = 1;
    std::map<FeedTopic, std::map<std::string, FeedRow>> rows_;
    std::map<FeedTopic, std::uint64_t> changedAt_;
  };

  FakeScheduler& scheduler_;
  std::uint64_t position_ = 1;
  std::uint64_t era_ = 0;
  Copy copy_;
  std::map<FeedTopic, std::map<std::string, FeedRow>> rows_;
  std::map<FeedTopic, std::uint64_t> changedAt_; ///< position of the last change
  std::map<InstanceId, int> callCounts_;
  std::map<std::int64_t, std::size_t> readsBySecond_;
  std::map<std::int64_t, std::size_t> writesBySecond_;
  std::set<InstanceId> unansweredInstances_; ///< whose calls are never answered
  Duration answerDelay_{};                   ///< of each answer, after it was composed
  MonotonicTime writingUntil_{};             ///< end of the last transaction
};

/// Calls of one instance to the fake store, in virtual time. A call that is not answered fails
/// after 1.5 s.
class FakeFeed : public RowDecoder
{
public:
  FakeFeed(FakeStore& aStore, FakeNetwork& aNetwork, InstanceId aSelf)
    : store_(aStore)
    , network_(aNetwork)
    , self_(std::move(aSelf))
  {
  }

  void Read(FeedTopic aTopic, const FeedCallback& aDone)
  {
    const std::size_t pages = store_.rows_[aTopic].size() / kRowsPerPage + 1;
    Call(pages, aTopic, 0, store_.scheduler_.Now(), [aDone](FeedResponse aResponse) {
      const auto isRemoved = [](const FeedRow& aRow) { return aRow.removed_; };
      std::erase_if(aResponse.rows_, isRemoved);
      std::erase_if(aResponse.evacuations_, isRemoved);
      aDone(std::move(aResponse));
    });
  }

  void Wait(FeedTopic aTopic, std::uint64_t aPosition, Duration aWait, const FeedCallback& aDone)
  {
    Call(1, aTopic, aPosition, store_.scheduler_.Now() + aWait, aDone);
  }

  void Register(std::span<const InstanceEntry> aInstances, const FeedCallback& aDone)
  {
    if (stopped_) {
      return;
    }
    store_.CountCalls(self_, 1, true);
    // Transactions are executed one after the other, and refused if too many wait.
    const MonotonicTime now = store_.scheduler_.Now();
    if (store_.writingUntil_ > now + kMaxWriteQueue) {
      store_.scheduler_.After(kStoreDelay, [this, aDone] {
        aDone({ FeedStatus::Refused, {}, 0, "status 429", {}, {}, store_.era_ });
      });
      return;
    }
    store_.writingUntil_ = std::max(store_.writingUntil_, now) + kTransactionTime;
    store_.scheduler_.After(
      store_.writingUntil_ - now + kStoreDelay,
      [this, aDone, instances = std::vector(aInstances.begin(), aInstances.end())] {
        for (const InstanceEntry& instance : instances) {
          store_.Put(FeedTopic::Instances, instance.id_.Text(), InstanceRowValue(instance));
        }
        aDone({ FeedStatus::Ok, {}, 0, {}, {}, {}, store_.era_ });
      });
  }

  /// Ends the instance: no call is answered any more, and none is counted.
  void Stop() { stopped_ = true; }

private:
  static constexpr std::size_t kRowsPerPage = 500;
  static constexpr Duration kStoreDelay = std::chrono::milliseconds(4);
  static constexpr Duration kPollInterval = std::chrono::milliseconds(4);
  static constexpr Duration kTransactionTime = std::chrono::microseconds(6667);
  static constexpr Duration kMaxWriteQueue = std::chrono::seconds(1);
  static constexpr Duration kTimeout = std::chrono::milliseconds(1500);

  void Call(std::size_t aPages,
            FeedTopic aTopic,
            std::uint64_t aPosition,
            MonotonicTime aUntil,
            const FeedCallback& aDone)
  {
    if (stopped_) {
      return;
    }
    store_.CountCalls(self_, aPages, false);
    store_.scheduler_.After(kStoreDelay * static_cast<int>(aPages),
                            [=, this] { Poll(aTopic, aPosition, aUntil, aDone); });
  }

  void Poll(FeedTopic aTopic,
            std::uint64_t aPosition,
            MonotonicTime aUntil,
            const FeedCallback& aDone)
  {
    if (stopped_) {
      return;
    }
    if (store_.unansweredInstances_.contains(self_)) {
      store_.scheduler_.After(kTimeout, [this, aDone] {
        if (!stopped_) {
          aDone({ FeedStatus::Unreachable, {}, 0, "timeout", {}, {}, 0 });
        }
      });
      return;
    }
    if (aPosition > store_.position_) {
      aDone({ FeedStatus::HistoryLost, {}, 0, "status 410", {}, {}, store_.era_ });
      return;
    }
    FeedResponse response{
      FeedStatus::Ok, store_.ChangesSince(aTopic, aPosition), store_.position_, {}, {}, {},
      store_.era_
    };
    if (aTopic == FeedTopic::Configuration) {
      response.evacuations_ = store_.ChangesSince(FeedTopic::Evacuations, aPosition);
    }
    const MonotonicTime now = store_.scheduler_.Now();
    if (response.rows_.empty() && response.evacuations_.empty() && now < aUntil) {
      store_.scheduler_.After(kPollInterval, [=, this] { Poll(aTopic, aPosition, aUntil, aDone); });
      return;
    }
    std::size_t size = 100;
    for (const FeedRow& row : response.rows_) {
      size += row.key_.size() + row.value_.size() * 4 / 3 + 60;
    }
    response.storeTime_ = now.time_since_epoch();
    const auto sent = std::make_shared<FeedResponse>(std::move(response));
    store_.scheduler_.After(store_.answerDelay_, [=, this] {
      network_.Receive(self_, size, [this, aDone, sent] {
        if (!stopped_) {
          aDone(std::move(*sent));
        }
      });
    });
  }

  FakeStore& store_;
  FakeNetwork& network_;
  const InstanceId self_;
  bool stopped_ = false;
};

/// One instance with its calls and messages.
struct FakeInstance
{
  FakeInstance(FakeScheduler& aScheduler,
               FakeStore& aStore,
               FakeNetwork& aNetwork,
               const InstanceEntry& aEntry,
               std::uint64_t aSeed)
    : feed_(aStore, aNetwork, aEntry.id_)
    , peers_(aNetwork, aEntry.id_)
    , watch_(aScheduler, feed_, peers_, aEntry, FleetSettings{}, DirectoryTiming{}, aSeed)
  {
    watch_.OnStoreReachableChanged(
      [this](bool aReachable, const auto&) { reachabilityReports_.push_back(aReachable); });
    watch_.OnSourceChanged([this](const auto&) { ++sourceChanges_; });
  }

  /// Ends the instance. The object remains, because timers refer to it.
  void Stop(bool aSilently)
  {
    stopped_ = true;
    feed_.Stop();
    peers_.Stop(aSilently);
  }

  FakeFeed feed_;
  FakeTransport peers_;
  DirectoryWatch<FakeScheduler, FakeFeed, FakeTransport> watch_;
  std::vector<bool> reachabilityReports_;
  int sourceChanges_ = 0;
  bool stopped_ = false;
};

} // namespace boragepier

#endif
