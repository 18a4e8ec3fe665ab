#ifndef BORAGEPIER_CONTROL_FLEET_FIXTURE_H
#define BORAGEPIER_CONTROL_FLEET_FIXTURE_H

// A fleet of control planes in virtual time, with a store, a list and a transport that lose,
// repeat, delay and reorder. For tests only.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "boragepier/base/random.h"
#include "boragepier/control/control_plane.h"
#include "boragepier/peer/peer_codec.h"

namespace boragepier::fleet {

/// Runs tasks in order of time.
class VirtualClock
{
public:
  using Task = std::function<void()>;
  std::uint64_t At(MonotonicTime aTime, Task aTask)
  {
    tasks_.emplace(std::pair(aTime, ++last_), std::move(aTask));
    times_[last_] = aTime;
    return last_;
  }
  bool Cancel(std::uint64_t aId)
  {
    const auto found = times_.find(aId);
    if (found == times_.end()) {
      return false;
    }
    tasks_.erase({ found->second, aId });
    times_.erase(found);
    return true;
  }
  void RunFor(Duration aDuration)
  {
    const MonotonicTime end = now_ + aDuration;
    while (!tasks_.empty() && tasks_.begin()->first.first <= end) {
      auto node = tasks_.extract(tasks_.begin());
      now_ = std::max(now_, node.key().first);
      times_.erase(node.key().second);
      node.mapped()();
    }
    now_ = end;
  }
  MonotonicTime Now() const { return now_; }

private:
  std::map<std::pair<MonotonicTime, std::uint64_t>, Task> tasks_;
  std::map<std::uint64_t, MonotonicTime> times_;
  std::uint64_t last_ = 0;
  MonotonicTime now_{ std::chrono::hours(1) };
};

/// Share of messages that are lost or repeated, and bounds of the delay.
struct Network
{
  double loss_ = 0;
  double repeat_ = 0;
  Duration minDelay_ = std::chrono::milliseconds(1);
  Duration maxDelay_ = std::chrono::milliseconds(5);
};

class Fleet;

/// One instance. Its tasks run only while it exists.
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
               PeerMessageCallback aMessage,
               PeerUnreachableCallback aUnreachable)
    {
      onMessage_ = std::move(aMessage);
      onUnreachable_ = std::move(aUnreachable);
    }
    PeerCounters Counters() const { return counters_; }
    Instance& owner_;
    PeerMessageCallback onMessage_;
    PeerUnreachableCallback onUnreachable_;
    PeerCounters counters_;
  };
  using Plane = ControlPlane<Store, List, Transport, Loop>;

  Instance(Fleet& aFleet, int aNumber, std::uint64_t aSeed);
  /// Checks the invariants and keeps the table.
  void Check(std::shared_ptr<const RoutingTable> aTable);
  std::uint64_t VersionOf(const std::string& aService) const;
  const UpstreamEndpoint* FindUpstream(const std::string& aId) const;
  /// @return whether no table of this instance sends work to the upstream start
  bool KnowsLeaving(const std::string& aId, std::uint64_t aStart) const;

  Fleet& fleet_;
  int number_;
  Loop loop_{ *this };
  Store store_{ *this };
  List list_{ *this };
  Transport transport_{ *this, {}, {}, {} };
  Plane plane_;
  std::shared_ptr<const RoutingTable> table_ = std::make_shared<RoutingTable>();
  std::map<ServiceName, std::uint64_t> versions_;
  std::map<UpstreamId, std::uint64_t> departed_; ///< highest start number seen as leaving
};

/// The fleet and the platform.
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
  /// Writes a configuration to the store, as a publish does.
  ConfigRecord Publish(const std::string& aService, const std::string& aBody = "body");
  ListedProcess& AddUpstream(const std::string& aId, const std::string& aService);
  ListedProcess* FindListed(const std::string& aId);
  /// Runs until the condition holds at all instances.
  /// @return the time it took, or aLimit + 1 ns
  Duration Until(Duration aLimit, const std::function<bool(const Instance&)>& aCondition);
  bool Connected(int aLeft, int aRight) const { return GroupOf(aLeft) == GroupOf(aRight); }
  int GroupOf(int aNumber) const
  {
    const auto found = group_.find(aNumber);
    return found == group_.end() ? 0 : found->second;
  }
  Duration Delay();
  double Chance() { return static_cast<double>(random_()) / 18446744073709551616.0; }

  VirtualClock clock_;
  Random random_;
  Network network_;
  std::map<int, std::shared_ptr<Instance>> instances_;
  std::map<int, int> group_;             ///< instances of different groups cannot reach each other
  std::set<int> storeGroups_ = { 0, 1 }; ///< groups that reach store and list
  bool storeDown_ = false;
  bool listDown_ = false;
  ConfigHead head_;
  std::map<std::string, std::string> rows_;
  std::map<std::string, std::uint64_t> published_;
  std::vector<ListedProcess> listed_;
  std::uint64_t storeReads_ = 0;
  std::uint64_t listReads_ = 0;
  std::vector<std::string> violations_;
};

} // namespace boragepier::fleet

#endif
