#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <vector>

#include "boragepier/directory/directory_fakes.h"

#include <CppUTest/TestHarness.h>

// A fleet of 472 instances in five availability zones before 1,080 upstreams, in virtual time.

namespace boragepier {

namespace {

constexpr int kZoneCount = 5;
constexpr std::array<int, kZoneCount> kSmallInstances = { 88, 101, 96, 87, 85 };
constexpr int kLargeInstances = 3; // of each zone
constexpr double kSmallMbps = 20;
constexpr double kLargeMbps = 200;
constexpr int kUpstreamCount = 1080;
constexpr std::size_t kUpstreamRowBytes = 240;
// Rates of the store, of which the fleet may use a tenth.
constexpr std::size_t kReadsPerSecond = 16000;
constexpr std::size_t kWritesPerSecond = 3200;

} // namespace

TEST_GROUP(RelayFleet)
{
  FakeScheduler scheduler_;
  FakeStore store_{ scheduler_ };
  FakeNetwork network_{ scheduler_ };
  std::vector<InstanceEntry> entries_;
  std::map<InstanceId, FakeInstance*> running_;
  std::vector<std::unique_ptr<FakeInstance>> instances_; // also those that were stopped
  Random random_{ 1 };

  void setup() override
  {
    store_.position_ = 0;
    for (int zone = 0; zone < kZoneCount; ++zone) {
      for (int i = 0; i < kLargeInstances + kSmallInstances[static_cast<std::size_t>(zone)]; ++i) {
        const double mbps = i < kLargeInstances ? kLargeMbps : kSmallMbps;
        const InstanceId id("i-" + std::to_string(zone) + '-' + std::to_string(i));
        entries_.push_back({ id, "127.0.0.1", 7, mbps, ZoneName("z-" + std::to_string(zone)) });
        network_.links_[id].zone_ = entries_.back().zone_;
        network_.links_[id].bytesPerMs_ = mbps * 125;
      }
    }
  }

  void PutAll()
  {
    store_.Put(FeedTopic::Configuration, "config", "1");
    for (int i = 0; i < kUpstreamCount; ++i) {
      PutUpstream(i);
    }
  }

  void PutUpstream(int aNumber)
  {
    store_.Put(
      FeedTopic::Upstreams, "u-" + std::to_string(aNumber), std::string(kUpstreamRowBytes, 'x'));
  }

  void Start(const InstanceEntry& aEntry, bool aFleetStarts)
  {
    network_.isolated_.erase(aEntry.id_);
    instances_.push_back(
      std::make_unique<FakeInstance>(scheduler_, store_, network_, aEntry, random_()));
    running_[aEntry.id_] = instances_.back().get();
    instances_.back()->watch_.Start(aFleetStarts);
  }

  // Starts instances in any order within 0.3 s.
  void StartAll(std::span<const InstanceEntry> aEntries, bool aFleetStarts)
  {
    for (const InstanceEntry& entry : aEntries) {
      const Duration delay = std::chrono::milliseconds(random_(300));
      scheduler_.After(delay, [this, entry, aFleetStarts] { Start(entry, aFleetStarts); });
    }
  }

  void Stop(std::span<const InstanceEntry> aEntries, bool aSilently)
  {
    for (const InstanceEntry& entry : aEntries) {
      running_.at(entry.id_)->Stop(aSilently);
      running_.erase(entry.id_);
    }
  }

  // Starts the whole fleet for the first time, and waits until it is calm.
  void StartCalmFleet()
  {
    PutAll();
    StartAll(entries_, true);
    scheduler_.Advance(std::chrono::seconds(9));
  }

  // The instance that made the most calls to the store.
  std::span<const InstanceEntry> FindRoot() const
  {
    const auto& counts = store_.callCounts_;
    const auto root =
      std::max_element(counts.begin(), counts.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      });
    const auto entry = std::find_if(entries_.begin(), entries_.end(), [&](const auto& aEntry) {
      return aEntry.id_ == root->first;
    });
    return std::span(&*entry, 1);
  }

  std::size_t CountUpToDate()
  {
    return static_cast<std::size_t>(
      std::count_if(running_.begin(), running_.end(), [&](const auto& aInstance) {
        const DirectoryState& state = aInstance.second->watch_.State();
        return state.ConfigVersion() > 0 && state.UpstreamCount() == kUpstreamCount;
      }));
  }

  // Time from now until all running instances have the configuration and all upstreams.
  Duration TimeUntilUpToDate(Duration aLimit)
  {
    const MonotonicTime start = scheduler_.Now();
    while (scheduler_.Now() - start < aLimit && CountUpToDate() < running_.size()) {
      scheduler_.Advance(std::chrono::milliseconds(50));
    }
    return scheduler_.Now() - start;
  }

  int TotalCalls() const
  {
    int calls = 0;
    for (const auto& [id, count] : store_.callCounts_) {
      calls += count;
    }
    return calls;
  }

  void CheckStoreRates() const
  {
    for (const auto& [second, count] : store_.readsBySecond_) {
      CHECK_COMPARE(count, <=, kReadsPerSecond / 10);
    }
    for (const auto& [second, count] : store_.writesBySecond_) {
      CHECK_COMPARE(count, <=, kWritesPerSecond / 10);
    }
  }

  // Changes the configuration and checks that all running instances have it in time.
  void CheckChangeArrives()
  {
    store_.Put(FeedTopic::Configuration, "config", "2");
    scheduler_.Advance(std::chrono::milliseconds(2500));
    for (const auto& [id, instance] : running_) {
      CHECK_EQUAL(2, instance->watch_.State().ConfigVersion());
    }
  }

  std::size_t CountListed()
  {
    return static_cast<std::size_t>(
      std::count_if(running_.begin(), running_.end(), [&](const auto& aInstance) {
        return aInstance.second->watch_.State().Instances().size() == entries_.size();
      }));
  }

  void Print(const char* aWhat, int aCalls, std::uint64_t aCrossZoneBytes)
  {
    std::size_t reads = 0;
    std::size_t writes = 0;
    for (const auto& [second, count] : store_.readsBySecond_) {
      reads = std::max(reads, count);
    }
    for (const auto& [second, count] : store_.writesBySecond_) {
      writes = std::max(writes, count);
    }
    int sourceChanges = 0;
    for (const auto& [id, instance] : running_) {
      sourceChanges += instance->sourceChanges_;
    }
    std::uint64_t mostSent = 0;
    for (const auto& [id, link] : network_.links_) {
      mostSent = std::max(mostSent, link.bytesSent_);
    }
    UT_PRINT(StringFromFormat("%s: %d calls, at most %d reads and %d writes in a second, "
                              "%.1f MB between zones, %.1f MB from the busiest instance, "
                              "%d changes of source",
                              aWhat,
                              aCalls,
                              static_cast<int>(reads),
                              static_cast<int>(writes),
                              static_cast<double>(aCrossZoneBytes) / 1e6,
                              static_cast<double>(mostSent) / 1e6,
                              sourceChanges)
               .asCharString());
  }
};

// The whole fleet starts for the first time: nobody is listed. Guards against instances that all
// read the store because their sources have no data yet.
TEST(RelayFleet, FirstStartTakesFewCallsAndCrossesZonesOnce)
{
  for (const InstanceEntry& entry : entries_) {
    Start(entry, true);
  }
  // The first entries appear in the store only after the first instances have read it.
  scheduler_.Advance(std::chrono::milliseconds(200));
  PutAll();
  scheduler_.Advance(std::chrono::seconds(5));
  Print("first start", TotalCalls(), network_.crossZoneBytes_);
  CHECK_EQUAL(entries_.size(), CountUpToDate());
  CHECK_EQUAL(entries_.size(), CountListed());
  CHECK_COMPARE(TotalCalls(), <=, 1100);
  CheckStoreRates();
  // All rows are about 0.4 MB, with the list of instances.
  CHECK_COMPARE(network_.crossZoneBytes_, <=, 10'000'000);
}

// All machines lose power and start again, with everybody listed.
TEST(RelayFleet, RestartOfAllTakesFewCalls)
{
  StartCalmFleet();
  const int before = TotalCalls();
  store_.readsBySecond_.clear();
  Stop(entries_, true);
  StartAll(entries_, false);
  scheduler_.Advance(std::chrono::milliseconds(300));
  const Duration time = TimeUntilUpToDate(std::chrono::seconds(10));
  scheduler_.Advance(std::chrono::seconds(3));
  Print("restart of all", TotalCalls() - before, network_.crossZoneBytes_);
  CHECK_EQUAL(entries_.size(), CountUpToDate());
  CHECK_COMPARE(ToMilliseconds(time), <=, 2000);
  CHECK_COMPARE(TotalCalls() - before, <=, 700);
  CheckStoreRates();
}

// More than half of the fleet loses power for two seconds.
TEST(RelayFleet, LossAndReturnOfHalfOfTheFleetCausesNoStormOfCalls)
{
  StartCalmFleet();
  const int before = TotalCalls();
  std::vector<InstanceEntry> lost = entries_;
  std::shuffle(lost.begin(), lost.end(), random_);
  lost.resize(entries_.size() * 55 / 100);
  Stop(lost, true);
  scheduler_.Advance(std::chrono::seconds(2));
  StartAll(lost, false);
  scheduler_.Advance(std::chrono::milliseconds(300));
  const Duration time = TimeUntilUpToDate(std::chrono::seconds(10));
  scheduler_.Advance(std::chrono::seconds(5));
  Print("loss and return of half", TotalCalls() - before, network_.crossZoneBytes_);
  CHECK_EQUAL(entries_.size(), CountUpToDate());
  CHECK_COMPARE(ToMilliseconds(time), <=, 2000);
  CHECK_COMPARE(TotalCalls() - before, <=, 900);
  CheckStoreRates();
}

// The root is lost silently. Changes reach everybody in time, and few instances read the store.
TEST(RelayFleet, LossOfTheRootCausesFewCalls)
{
  StartCalmFleet();
  const int before = TotalCalls();
  Stop(FindRoot(), true);
  CheckChangeArrives();
  scheduler_.Advance(std::chrono::seconds(10));
  Print("loss of the root", TotalCalls() - before, network_.crossZoneBytes_);
  CHECK_COMPARE(TotalCalls() - before, <=, 200);
}

// The root is gone for good, and an instance is added. Guards against a list of instances that
// nobody reads any more, and against an instance that registers itself again and again.
TEST(RelayFleet, InstanceIsAddedAfterTheRootIsGone)
{
  StartCalmFleet();
  Stop(FindRoot(), true);
  scheduler_.Advance(std::chrono::seconds(6));
  const int before = TotalCalls();
  const InstanceEntry added{ InstanceId("i-new"), "127.0.0.1", 7, kSmallMbps, ZoneName("z-2") };
  network_.links_[added.id_].zone_ = added.zone_;
  network_.links_[added.id_].bytesPerMs_ = kSmallMbps * 125;
  entries_.push_back(added);
  Start(added, false);
  scheduler_.Advance(std::chrono::seconds(20));
  Print("instance added without the root", TotalCalls() - before, network_.crossZoneBytes_);
  CHECK_EQUAL(running_.size(), CountListed());
  // One reader asks for two topics a second, and for the list of instances.
  CHECK_COMPARE(TotalCalls() - before, <=, 60);
}

// A zone is lost silently.
TEST(RelayFleet, LossOfAZoneCausesFewCalls)
{
  StartCalmFleet();
  const int before = TotalCalls();
  std::vector<InstanceEntry> lost;
  std::copy_if(entries_.begin(), entries_.end(), std::back_inserter(lost), [&](const auto& aEntry) {
    return aEntry.zone_ == entries_.front().zone_;
  });
  Stop(lost, true);
  CheckChangeArrives();
  scheduler_.Advance(std::chrono::seconds(10));
  Print("loss of a zone", TotalCalls() - before, network_.crossZoneBytes_);
  CHECK_COMPARE(TotalCalls() - before, <=, 250);
}

// Upstreams change 30 times a second. Guards against changes that are sent across zones for each
// instance, and against a link that cannot carry them.
TEST(RelayFleet, ManyChangesCrossZonesOnce)
{
  StartCalmFleet();
  const int callsBefore = TotalCalls();
  const std::uint64_t bytesBefore = network_.crossZoneBytes_;
  std::map<InstanceId, std::uint64_t> sentBefore;
  for (const auto& [id, link] : network_.links_) {
    sentBefore[id] = link.bytesSent_;
  }
  constexpr int kSeconds = 10;
  constexpr int kChanges = 30 * kSeconds;
  for (int i = 0; i < kChanges; ++i) {
    PutUpstream(i);
    scheduler_.Advance(std::chrono::milliseconds(1000) / 30);
  }
  Print("30 changes a second", TotalCalls() - callsBefore, network_.crossZoneBytes_ - bytesBefore);
  CHECK_COMPARE(TotalCalls() - callsBefore, <=, 10 * kSeconds);
  // Each change, of 0.3 KB, to four zones, and the same again for the renewal of subscriptions.
  CHECK_COMPARE(
    network_.crossZoneBytes_ - bytesBefore, <=, std::uint64_t{ 2 } * kChanges * 4 * 300);
  for (const auto& [id, link] : network_.links_) {
    // At most a tenth of the bandwidth.
    CHECK_COMPARE(static_cast<double>(link.bytesSent_ - sentBefore[id]),
                  <=,
                  link.bytesPerMs_ * 1000 * kSeconds / 10);
  }
}

} // namespace boragepier
