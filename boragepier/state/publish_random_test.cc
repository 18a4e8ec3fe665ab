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

// An operator's process with the real publisher.
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

class World
{
public:
  explicit World(std::uint64_t aSeed)
    : faults_(aSeed)
  {
    table_.SetFaultInjector([this](const TableRequest&) { return faults_.NextTableFault(); });
    table_.SetObserver([this](const TableRequest&) { ObserveTable(); });
    for (std::size_t index = 0; index < kOperators; ++index) {
      Start(index);
    }
  }

  void Run(int aSteps)
  {
    while (aSteps-- > 0) {
      time_.RunOne();
    }
    faults_.Stop();
    time_.RunUntil(time_.Now() + 60s);
    Require(changes_ == HeadSerial(), "the head does not count every change");
    for (const auto& [id, told] : told_) {
      Require(told == "published" || told == "unknown" || !inEffect_.contains(id),
              "told not in effect, but was");
      Require(told != "published" || inEffect_.contains(id), "told published, but was not");
    }
  }

  const std::map<std::string, int>& Tally() const { return tally_; }
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

  // Compares the rows after each request with those before it.
  void ObserveTable()
  {
    std::map<std::string, std::size_t> written;
    for (int index = 0; index < kServices; ++index) {
      const auto row = table_.Rows().Rows().find(ConfigRowKey(Service(index)));
      if (row == table_.Rows().Rows().end()) {
        continue;
      }
      const ConfigRecord record = DecodeConfigRecord(row->second.value_);
      ConfigRecord& before = seen_[index];
      if (record == before) {
        continue;
      }
      Require(record.version_ == before.version_ + 1, "a version did not rise by one");
      ++written[record.publishId_];
      ++changes_;
      before = record;
    }
    for (const auto& [id, count] : written) {
      Require(count == sizes_.at(id), "a publish took effect in part");
      Require(inEffect_.insert(id).second, "a publish took effect twice");
    }
  }

  std::uint64_t HeadSerial()
  {
    const auto head = table_.Rows().Rows().find(std::string(kConfigHeadKey));
    return head == table_.Rows().Rows().end() ? 0 : DecodeConfigHead(head->second.value_).serial_;
  }

  void Start(std::size_t aIndex)
  {
    operators_[aIndex] = std::make_unique<Operator>(time_, table_);
    Next(aIndex);
  }

  void Next(std::size_t aIndex)
  {
    operators_[aIndex]->process_->StepAfter(faults_.UpTo(200ms), [this, aIndex] {
      if (faults_.Percent(2)) {
        operators_[aIndex]->process_->Pause(faults_.UpTo(15s));
        Next(aIndex);
      } else {
        Publish(aIndex, MakeRequest());
      }
    });
  }

  // One to three services, based on the present version or on an old one.
  PublishRequest MakeRequest()
  {
    PublishRequest request{ .publishId_ = std::to_string(++lastId_) };
    const std::size_t first = faults_.Below(kServices);
    const std::size_t count = 1 + faults_.Below(3);
    for (std::size_t index = first; index < first + count; ++index) {
      const std::size_t service = index % kServices;
      const std::uint64_t present = seen_[service].version_;
      const std::uint64_t old = faults_.Percent(10) && present > 0 ? 1 + faults_.Below(2) : 0;
      request.changes_.push_back({ Service(service), present - std::min(old, present), "body" });
    }
    sizes_[request.publishId_] = count;
    return request;
  }

  void Publish(std::size_t aIndex, PublishRequest aRequest)
  {
    aRequest.deadline_ = time_.Now() + faults_.UpTo(10s);
    operators_[aIndex]->publisher_.Publish(
      aRequest, time_.Now(), [this, aIndex, aRequest](const PublishResult& aResult) {
        OnResult(aIndex, aRequest, aResult);
      });
    // A process that is killed in the middle leaves a publish whose result nobody learns.
    if (faults_.Percent(3)) {
      operators_[aIndex]->process_->Kill();
      time_.After(faults_.UpTo(50ms), [this, aIndex] { Start(aIndex); });
    }
  }

  void OnResult(std::size_t aIndex, PublishRequest aRequest, const PublishResult& aResult)
  {
    static constexpr std::array kNames{ "published", "conflict", "unavailable", "unknown" };
    const std::string name = kNames.at(aResult.index());
    ++tally_[name];
    told_[aRequest.publishId_] = name;
    if (name == "unknown" && faults_.Percent(50)) {
      ++tally_["repeated"];
      aRequest.repeated_ = true;
      operators_[aIndex]->process_->StepAfter(
        faults_.UpTo(200ms), [this, aIndex, aRequest] { Publish(aIndex, aRequest); });
      return;
    }
    Next(aIndex);
  }

  VirtualTime time_;
  FaultGenerator faults_;
  FakeTable table_{ time_ };
  std::array<std::unique_ptr<Operator>, kOperators> operators_;
  std::array<ConfigRecord, kServices> seen_;
  std::map<std::string, std::size_t> sizes_; // services of each publish
  std::set<std::string> inEffect_;
  std::map<std::string, std::string> told_; // what the operator was told last
  std::map<std::string, int> tally_;
  std::string violation_;
  std::uint64_t changes_ = 0;
  int lastId_ = 0;
};

constexpr int kStepsPerSeed = 6'000;
constexpr int kSeeds = 24;

} // namespace

TEST_GROUP(PublishRandom){};

// Guards against two winners, a version that falls or repeats, a publish in part or twice, and a
// false verdict, under lost, late and reordered requests, outages, pauses and crashes.
TEST(PublishRandom, InvariantsHoldUnderFaults)
{
  std::map<std::string, int> tally;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    World world(seed);
    world.Run(kStepsPerSeed);
    for (const auto& [name, count] : world.Tally()) {
      tally[name] += count;
    }
    if (!world.Violation().empty()) {
      FAIL(("seed " + std::to_string(seed) + ": " + world.Violation()).c_str());
    }
  }
  std::printf("\n%d steps", kSeeds * kStepsPerSeed);
  for (const auto& [name, count] : tally) {
    std::printf(", %s %d", name.c_str(), count);
  }
  // A test in which a case never occurs guards against nothing.
  CHECK_EQUAL(5U, tally.size());
}

} // namespace boragepier
