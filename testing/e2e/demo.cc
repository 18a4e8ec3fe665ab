#include <signal.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>

#include "boragepier/base/errors.h"
#include "testing/e2e/fleet.h"
#include "testing/e2e/load_runner.h"

// Runs the two example installations with three entry instances as processes on loopback, injects
// faults under load and prints a table of the results. Exits with 1 if a request was lost, a
// response belonged to another request, an order ran twice, or a request was refused during a
// drain, a graceful stop or a publish.

namespace {

using namespace boragepier;
using namespace boragepier::testing;

struct ServiceSize
{
  const char* name_;
  int upstreams_;
};

// Number of upstreams by service, from docs/design.md, section 1.3.
constexpr ServiceSize kServices[] = { { "stock-lookup", 15 },     { "order-entry", 7 },
                                      { "price-catalogue", 6 },   { "ring-lookup", 17 },
                                      { "recovery-booking", 12 }, { "ringing-histories", 8 } };

constexpr int kCallers = 8;
constexpr int kRequestsPerPhase = 1500;

const LoadRunner::PathPrefixes kPathPrefixes = {
  { "/stock/", "/rings/", "/prices/", "/histories/" },
  { "/orders/", "/bookings/" }
};

const std::string kInstanceSettings =
  "[traffic]\ndrain-grace-ms = 1000\ndrain-limit-ms = 20000\n[log]\nlevel = error\n";

class Demo
{
public:
  explicit Demo(std::filesystem::path aExamples)
    : examples_(std::move(aExamples))
  {
  }

  // Returns whether all checks passed.
  bool Run()
  {
    Start();
    PrintHeader();
    RunPhase("no fault", true, [] {});
    RunPhase(
      "upstream drains", true, [&] { SetUpstreamMode("stock-lookup", R"({"mode":"drain"})"); });
    RunPhase("upstream fails fast", false, [&] {
      SetUpstreamMode("ring-lookup", R"({"mode":"fail-fast"})");
    });
    RunPhase(
      "upstream is silent", false, [&] { SetUpstreamMode("order-entry", R"({"mode":"silent"})"); });
    RunPhase("configuration published", true, [&] { PublishChange(); });
    RunPhase("instance stops", true, [&] { StopInstance(); });
    return CheckOrderRuns() && passed_;
  }

private:
  void Start()
  {
    for (const auto& [name, count] : kServices) {
      for (int i = 0; i < count; ++i) {
        RunningUpstream& upstream = fleet_.AddUpstream(name, { "--service-time-ms", "1" });
        firstUpstreams_.try_emplace(name, &upstream);
      }
    }
    for (int i = 0; i < 3; ++i) {
      fleet_.AddInstance(kInstanceSettings);
    }
    if (fleet_.PublishDirectory(examples_) != 0) {
      throw Error("boragepierctl publish failed");
    }
    for (const auto& [name, count] : kServices) {
      fleet_.WaitForVersion(name, 1);
    }
    for (std::size_t i = 0; i < fleet_.InstanceCount(); ++i) {
      callerPorts_.push_back(fleet_.Instance(i).callerPort_);
      for (const std::string& path : kPathPrefixes.lookupPrefixes_) {
        fleet_.WaitForStatus(fleet_.Instance(i), path + "ready", 200);
      }
    }
  }

  template<typename Action>
  void RunPhase(const std::string& aName, bool aExpectsNoRefusals, Action aAction)
  {
    LoadRunner load("phase" + std::to_string(++phaseNumber_), kCallers, kPathPrefixes);
    activeLoad_ = &load;
    load.SetTargets(callerPorts_);
    load.Start();
    load.WaitForRequests(kRequestsPerPhase / 5);
    aAction();
    load.WaitForRequests(kRequestsPerPhase);
    const LoadResult result = load.Stop();
    activeLoad_ = nullptr;
    orderOutcomes_.insert(result.orderOutcomes_.begin(), result.orderOutcomes_.end());
    PrintRow(aName, result);
    passed_ = passed_ && result.lost_ == 0 && result.mismatched_ == 0;
    if (aExpectsNoRefusals) {
      passed_ = passed_ && result.notRun_ == 0 && result.unknown_ == 0;
    }
  }

  void SetUpstreamMode(const std::string& aService, const std::string& aMode)
  {
    fleet_.ControlUpstream(*firstUpstreams_.at(aService), aMode);
  }

  void PublishChange()
  {
    const auto copy = fleet_.Directory() / "examples";
    std::filesystem::copy(examples_, copy, std::filesystem::copy_options::recursive);
    std::ofstream(copy / "pryce" / "stock-lookup.service.ini", std::ios::app) << "# changed\n";
    if (fleet_.PublishDirectory(copy) != 0) {
      throw Error("boragepierctl publish failed");
    }
    fleet_.WaitForVersion("stock-lookup", 2);
  }

  void StopInstance()
  {
    RunningInstance& instance = fleet_.Instance(0);
    fleet_.RegisterInstance(instance, true);
    instance.process_->Signal(SIGTERM);
    // The balancer in front of the instances stops using an instance that is listed as leaving.
    callerPorts_.erase(callerPorts_.begin());
    activeLoad_->SetTargets(callerPorts_);
    passed_ = instance.process_->WaitForExit() == 0 && passed_;
    std::erase_if(callerPorts_, [&](std::uint16_t aPort) { return aPort == instance.callerPort_; });
  }

  static void PrintHeader()
  {
    std::printf("%-22s %6s %8s %7s %7s %6s %5s %5s %8s %8s\n",
                "phase",
                "sent",
                "answered",
                "not-run",
                "unknown",
                "errors",
                "lost",
                "wrong",
                "p50 ms",
                "p99 ms");
  }

  static void PrintRow(const std::string& aName, const LoadResult& aResult)
  {
    std::printf("%-22s %6d %8d %7d %7d %6d %5d %5d %8.2f %8.2f\n",
                aName.c_str(),
                aResult.sent_,
                aResult.answered_,
                aResult.notRun_,
                aResult.unknown_,
                aResult.serverErrors_,
                aResult.lost_,
                aResult.mismatched_,
                aResult.Quantile(0.5),
                aResult.Quantile(0.99));
    for (const auto& [reason, count] : aResult.refusals_) {
      std::printf("    refused as %s: %d\n", reason.c_str(), count);
    }
  }

  // Counts orders that ran more than once, ran although refused with outcome "not-run", or were
  // answered without having run. Returns whether there are none.
  bool CheckOrderRuns()
  {
    int ranMoreThanOnce = 0;
    int ranAfterRefusal = 0;
    std::map<std::string, int> runs;
    for (const auto& [key, count] : fleet_.RunsByKey()) {
      runs[key] = count;
      ranMoreThanOnce += count > 1 ? 1 : 0;
    }
    int answeredWithoutRun = 0;
    for (const auto& [key, outcome] : orderOutcomes_) {
      ranAfterRefusal += outcome == "not-run" && runs[key] > 0 ? 1 : 0;
      answeredWithoutRun += outcome == "answered" && runs[key] == 0 ? 1 : 0;
    }
    std::printf("orders: %zu sent, %d ran more than once, %d ran although refused as not-run, "
                "%d answered without a run\n",
                orderOutcomes_.size(),
                ranMoreThanOnce,
                ranAfterRefusal,
                answeredWithoutRun);
    return ranMoreThanOnce == 0 && ranAfterRefusal == 0 && answeredWithoutRun == 0;
  }

  const std::filesystem::path examples_;
  Fleet fleet_;
  std::map<std::string, RunningUpstream*> firstUpstreams_;
  std::vector<std::uint16_t> callerPorts_;
  std::map<std::string, std::string> orderOutcomes_;
  LoadRunner* activeLoad_ = nullptr;
  int phaseNumber_ = 0;
  bool passed_ = true;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    std::cerr << "usage: boragepier_demo EXAMPLES-DIRECTORY\n";
    return 2;
  }
  try {
    const bool passed = Demo(aArguments[1]).Run();
    std::printf("%s\n", passed ? "all checks passed" : "A CHECK FAILED");
    return passed ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "boragepier_demo: " << error.what() << "\n";
    return 1;
  }
}
