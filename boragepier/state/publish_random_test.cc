#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "boragepier/state/config_publisher.h"
#include "testing/state/fault_injection.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

using namespace std::chrono_literals;
using testing::FakeTable;
using testing::FaultGenerator;
using testing::SimulatedProcess;
using testing::TableClient;
using testing::VirtualTime;

namespace {

constexpr std::size_t kOperators = 4;
constexpr int kServices = 4;

// A process of an operator with the production publisher.
struct Operator
{
  Operator(VirtualTime& aTime, FakeTable& aTable)
    : process_(std::make_shared<SimulatedProcess>(aTime))
    , table_(aTable, process_)
  {
  }
  std::shared_ptr<SimulatedProcess> process_;
  TableClient table_;
  ConfigPublisher<TableClient> publisher_{ table_ };
};

class Simulation
{
public:
  explicit Simulation(std::uint64_t aSeed)
    : faults_(aSeed)
  {
    table_.SetFaultInjector([this](const TableRequest&) { return faults_.NextTableFault(); });
    table_.SetObserver([this](const TableRequest&) { ObserveTable(); });
    for (std::size_t index = 0; index < kOperators; ++index) {
      StartOperator(index);
    }
  }

  void Run(int aSteps)
  {
    while (aSteps-- > 0) {
      time_.RunOne();
    }
    faults_.Stop();
    time_.RunUntil(time_.Now() + 60s);
    Require(changeCount_ == HeadSerial(),
            "the serial of the head does not match the number of changes");
    for (const auto& [id, reported] : reportedResults_) {
      Require(reported == "published" || reported == "unknown" || !appliedPublishes_.contains(id),
              "a publish was applied but reported as not applied");
      Require(reported != "published" || appliedPublishes_.contains(id),
              "a publish was reported as applied but was not");
    }
  }

  const std::map<std::string, int>& EventCounts() const { return eventCounts_; }
  const std::string& Violation() const { return violation_; }

private:
  void Require(bool aCondition, const char* aInvariant)
  {
    if (!aCondition && violation_.empty()) {
      violation_ = aInvariant;
    }
  }

  static ServiceName Service(std::size_t aIndex)
  {
    return ServiceName("s" + std::to_string(aIndex));
  }

  // Compares the rows with those before the last request.
  void ObserveTable()
  {
    std::map<std::string, std::size_t> written;
    for (int index = 0; index < kServices; ++index) {
      const auto row = table_.Rows().Rows().find(ConfigRowKey(Service(index)));
      if (row == table_.Rows().Rows().end()) {
        continue;
      }
      const ConfigRecord record = DecodeConfigRecord(row->second.value_);
      ConfigRecord& lastRecord = lastRecords_[index];
      if (record == lastRecord) {
        continue;
      }
      Require(record.version_ == lastRecord.version_ + 1, "a version did not increase by one");
      ++written[record.publishId_];
      ++changeCount_;
      lastRecord = record;
    }
    for (const auto& [id, count] : written) {
      Require(count == serviceCounts_.at(id), "a publish was applied in part");
      Require(appliedPublishes_.insert(id).second, "a publish was applied twice");
    }
  }

  std::uint64_t HeadSerial()
  {
    const auto head = table_.Rows().Rows().find(std::string(kConfigHeadKey));
    return head == table_.Rows().Rows().end() ? 0 : DecodeConfigHead(head->second.value_).serial_;
  }

  void StartOperator(std::size_t aIndex)
  {
    operators_[aIndex] = std::make_unique<Operator>(time_, table_);
    ScheduleNextPublish(aIndex);
  }

  void ScheduleNextPublish(std::size_t aIndex)
  {
    operators_[aIndex]->process_->StepAfter(faults_.UpTo(200ms), [this, aIndex] {
      if (faults_.Percent(2)) {
        operators_[aIndex]->process_->Pause(faults_.UpTo(15s));
        ScheduleNextPublish(aIndex);
      } else {
        Publish(aIndex, MakeRequest());
      }
    });
  }

  // Changes one to three services, based on the current version or an older one.
  PublishRequest MakeRequest()
  {
    PublishRequest request{ .publishId_ = std::to_string(++lastPublishId_) };
    const std::size_t first = faults_.Below(kServices);
    const std::size_t count = 1 + faults_.Below(3);
    for (std::size_t index = first; index < first + count; ++index) {
      const std::size_t service = index % kServices;
      const std::uint64_t currentVersion = lastRecords_[service].version_;
      const std::uint64_t versionsBehind =
        faults_.Percent(10) && currentVersion > 0 ? 1 + faults_.Below(2) : 0;
      request.changes_.push_back(
        { Service(service), currentVersion - std::min(versionsBehind, currentVersion), "body" });
    }
    serviceCounts_[request.publishId_] = count;
    return request;
  }

  void Publish(std::size_t aIndex, PublishRequest aRequest)
  {
    aRequest.deadline_ = time_.Now() + faults_.UpTo(10s);
    operators_[aIndex]->publisher_.Publish(
      aRequest, time_.Now(), [this, aIndex, aRequest](const PublishResult& aResult) {
        OnResult(aIndex, aRequest, aResult);
      });
    // If the process is killed, nobody receives the result of the publish.
    if (faults_.Percent(3)) {
      operators_[aIndex]->process_->Kill();
      time_.After(faults_.UpTo(50ms), [this, aIndex] { StartOperator(aIndex); });
    }
  }

  void OnResult(std::size_t aIndex, PublishRequest aRequest, const PublishResult& aResult)
  {
    static constexpr std::array kResultNames{ "published", "conflict", "unavailable", "unknown" };
    const std::string name = kResultNames.at(aResult.index());
    ++eventCounts_[name];
    reportedResults_[aRequest.publishId_] = name;
    if (name == "unknown" && faults_.Percent(50)) {
      ++eventCounts_["repeated"];
      aRequest.repeated_ = true;
      operators_[aIndex]->process_->StepAfter(
        faults_.UpTo(200ms), [this, aIndex, aRequest] { Publish(aIndex, aRequest); });
      return;
    }
    ScheduleNextPublish(aIndex);
  }

  VirtualTime time_;
  FaultGenerator faults_;
  FakeTable table_{ time_ };
  std::array<std::unique_ptr<Operator>, kOperators> operators_;
  std::array<ConfigRecord, kServices> lastRecords_;
  std::map<std::string, std::size_t> serviceCounts_; // number of services by publish id
  std::set<std::string> appliedPublishes_;
  std::map<std::string, std::string> reportedResults_; // last result by publish id
  std::map<std::string, int> eventCounts_;
  std::string violation_;
  std::uint64_t changeCount_ = 0;
  int lastPublishId_ = 0;
};

constexpr int kStepsPerSeed = 6'000;
constexpr int kSeeds = 24;

} // namespace

TEST_GROUP(PublishRandom){};

// Guards against versions that decrease or repeat, publishes that are applied in part or twice, and
// wrong results, with lost, late and reordered table requests, outages of the table, and pauses and
// crashes of publishers.
TEST(PublishRandom, InvariantsHoldUnderFaults)
{
  std::map<std::string, int> eventCounts;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed);
    simulation.Run(kStepsPerSeed);
    for (const auto& [name, count] : simulation.EventCounts()) {
      eventCounts[name] += count;
    }
    if (!simulation.Violation().empty()) {
      FAIL(("seed " + std::to_string(seed) + ": " + simulation.Violation()).c_str());
    }
  }
  std::printf("\n%d steps", kSeeds * kStepsPerSeed);
  for (const auto& [name, count] : eventCounts) {
    std::printf(", %s %d", name.c_str(), count);
  }
  // Every case must occur at least once, or the test does not cover it.
  CHECK_EQUAL(5U, eventCounts.size());
}

} // namespace boragepier
