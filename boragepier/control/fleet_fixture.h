#ifndef BORAGEPIER_CONTROL_FLEET_FIXTURE_H
#define BORAGEPIER_CONTROL_FLEET_FIXTURE_H

// A fleet of control planes in virtual time. The fake store and list can be down; the fake
// transport loses, duplicates, delays and reorders messages. For tests only.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "boragepier/base/random.h"
#include "boragepier/control/control_plane.h"
#include "boragepier/peer/peer_codec.h"

namespace boragepier::fleet {

/// Runs tasks at their due time, in order; tasks of the same time in the order of scheduling.
class VirtualClock
{
public:
  using Task = std::function<void()>;
  std::uint64_t ScheduleAt(MonotonicTime aTime, Task aTask)
  {
    tasks_.emplace(std::pair(aTime, ++lastId_), std::move(aTask));
    dueTimes_[lastId_] = aTime;
    return lastId_;
  }
  bool Cancel(std::uint64_t aId)
  {
    const auto found = dueTimes_.find(aId);
    if (found == dueTimes_.end()) {
      return false;
    }
    tasks_.erase({ found->second, aId });
    dueTimes_.erase(found);
    return true;
  }
  void RunFor(Duration aDuration)
  {
    const MonotonicTime end = now_ + aDuration;
    while (!tasks_.empty() && tasks_.begin()->first.first <= end) {
      auto node = tasks_.extract(tasks_.begin());
      now_ = std::max(now_, node.key().first);
      dueTimes_.erase(node.key().second);
      node.mapped()();
    }
    now_ = end;
  }
  MonotonicTime Now() const { return now_; }

private:
  std::map<std::pair<MonotonicTime, std::uint64_t>, Task> tasks_;
  std::map<std::uint64_t, MonotonicTime> dueTimes_;
  std::uint64_t lastId_ = 0;
  MonotonicTime now_{ std::chrono::hours(1) };
};

/// Probability that a message is lost or duplicated, and bounds of the random delay.
struct Network
{
  double lossRate_ = 0;
  double duplicationRate_ = 0;
  Duration minDelay_ = std::chrono::milliseconds(1);
  Duration maxDelay_ = std::chrono::milliseconds(5);
};

class Fleet;

/// One entry instance with its fake ports. Its tasks run only while it exists.
class Instance : public std::enable_shared_from_this<Instance>
{
public:
  struct Loop
  {
    MonotonicTime Now() const;
    std::uint64_t After(Duration aDelay, std::function<void()> aTask);
    bool Cancel(std::uint64_t aId);
    void Post(std::function<void()> aTask) { After(Duration::zero(), std::move(aTask)); }
    Instance& owner_;
  };
  struct Store
  {
    void Submit(const TableRequest& aRequest, MonotonicTime, TableCallback aDone);
    Instance& owner_;
  };
  struct List
  {
    void Fetch(ListCallback aDone);
    Instance& owner_;
  };
  struct Transport
  {
    std::size_t Send(const PeerEndpoint& aPeer, const PeerMessage& aMessage);
    void Start(const PeerEndpoint&,
               PeerMessageCallback aOnMessage,
               PeerUnreachableCallback aOnUnreachable)
    {
      onMessage_ = std::move(aOnMessage);
      onUnreachable_ = std::move(aOnUnreachable);
    }
    PeerCounters Counters() const { return counters_; }
    Instance& owner_;
    PeerMessageCallback onMessage_;
    PeerUnreachableCallback onUnreachable_;
    PeerCounters counters_;
  };
  using Plane = ControlPlane<Store, List, Transport, Loop>;

  Instance(Fleet& aFleet, int aNumber, std::uint64_t aSeed);
  /// Keeps the new routing table. Adds to Fleet::violations_ if a version decreased or a departed
  /// start of an upstream came back.
  void OnRoutingTable(std::shared_ptr<const RoutingTable> aTable);
  std::uint64_t ConfigVersionOf(const std::string& aService) const;
  const UpstreamEndpoint* FindUpstream(const std::string& aId) const;
  /// @return whether the routing table shows this start of the upstream as leaving, or a later
  /// start
  bool KnowsLeaving(const std::string& aId, std::uint64_t aStartNumber) const;

  Fleet& fleet_;
  int number_;
  Loop loop_{ *this };
  Store store_{ *this };
  List list_{ *this };
  Transport transport_{ *this, {}, {}, {} };
  Plane plane_;
  std::shared_ptr<const RoutingTable> table_ = std::make_shared<RoutingTable>();
  std::map<ServiceName, std::uint64_t> configVersions_;
  std::map<UpstreamId, std::uint64_t> departedStarts_; ///< highest start number seen as leaving
};

/// All instances, the network between them, and the fake platform.
class Fleet
{
public:
  explicit Fleet(std::uint64_t aSeed)
    : random_(aSeed)
  {
  }

  void Start(int aNumber);
  void StartAll(int aCount);
  void Kill(int aNumber) { instances_.erase(aNumber); }
  /// Writes the next version of a configuration to the store.
  ConfigRecord Publish(const std::string& aService, const std::string& aBody = "body");
  ListedProcess& AddUpstream(const std::string& aId, const std::string& aService);
  ListedProcess* FindListedProcess(const std::string& aId);
  /// Runs until the condition holds for all instances.
  /// @return the virtual time until then, or aLimit + 1 ns if it does not hold within aLimit
  Duration RunUntil(Duration aLimit, const std::function<bool(const Instance&)>& aCondition);
  bool Connected(int aLeft, int aRight) const { return PartitionOf(aLeft) == PartitionOf(aRight); }
  int PartitionOf(int aNumber) const
  {
    const auto found = partitions_.find(aNumber);
    return found == partitions_.end() ? 0 : found->second;
  }
  Duration RandomDelay();
  double RandomFraction() { return static_cast<double>(random_()) / 18446744073709551616.0; }

  VirtualClock clock_;
  Random random_;
  Network network_;
  std::map<int, std::shared_ptr<Instance>> instances_;
  /// Network partition of each instance, 0 if absent. Instances of different partitions cannot
  /// reach each other.
  std::map<int, int> partitions_;
  std::set<int> partitionsWithPlatform_ = { 0, 1 }; ///< partitions that reach store and list
  bool storeDown_ = false;
  bool listDown_ = false;
  ConfigHead configHead_;
  std::map<std::string, std::string> tableRows_;
  std::map<std::string, std::uint64_t> publishedVersions_;
  std::vector<ListedProcess> listedProcesses_;
  std::uint64_t storeReads_ = 0;
  std::uint64_t listReads_ = 0;
  std::vector<std::string> violations_;
};

} // namespace boragepier::fleet

#endif
