#include <signal.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>

#include "boragepier/base/errors.h"
#include "testing/e2e/fleet.h"
#include "testing/e2e/load_runner.h"

// Shows the whole path with processes on loopback: the two sample installations, three entry
// instances, and faults under load. Prints one table. Exits with 1 if a request was lost, an answer
// was wrong, an order ran twice, or a request was refused because of a drain, a graceful stop or a
// publish.

namespace {

using namespace boragepier;
using namespace boragepier::testing;

struct ServiceShape
{
  const char* name_;
  int upstreams_;
};

// The sizes of docs/design.md, section 1.3.
constexpr ServiceShape kServices[] = { { "stock-lookup", 15 },     { "order-entry", 7 },
                                       { "price-catalogue", 6 },   { "ring-lookup", 17 },
                                       { "recovery-booking", 12 }, { "ringing-histories", 8 } };

constexpr int kCallers = 8;
constexpr int kRequestsPerPhase = 1500;

const LoadRunner::Paths kPaths = { { "/stock/", "/rings/", "/prices/", "/histories/" },
                                   { "/orders/", "/bookings/" } };

const std::string kInstanceSettings =
  "[traffic]\ndrain-grace-ms = 1000\ndrain-limit-ms = 20000\n[log]\nlevel = error\n";

class Demo
{
public:
  explicit Demo(std::filesystem::path aExamples)
    : examples_(std::move(aExamples))
  {
  }

  // Returns whether all promises held.
  bool Run()
  {
    Start();
    PrintHeader();
    Phase("no fault", true, [] {});
    Phase("upstream drains", true, [&] { Fault("stock-lookup", R"({"mode":"drain"})"); });
    Phase("upstream fails fast", false, [&] { Fault("ring-lookup", R"({"mode":"fail-fast"})"); });
    Phase("upstream goes silent", false, [&] { Fault("order-entry", R"({"mode":"silent"})"); });
    Phase("file published", true, [&] { PublishChange(); });
    Phase("instance stops", true, [&] { StopInstance(); });
    return CheckRuns() && ok_;
  }

private:
  void Start()
  {
    for (const auto& [name, count] : kServices) {
      for (int i = 0; i < count; ++i) {
        RunningUpstream& upstream = fleet_.AddUpstream(name, { "--service-time-ms", "1" });
        first_.try_emplace(name, &upstream);
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
    for (std::size_t i = 0; i < fleet_.Instances(); ++i) {
      targets_.push_back(fleet_.Instance(i).caller_);
      for (const std::string& path : kPaths.lookups_) {
        fleet_.WaitForStatus(fleet_.Instance(i), path + "ready", 200);
      }
    }
  }

  template<typename Action>
  void Phase(const std::string& aName, bool aMayNotRefuse, Action aAction)
  {
    LoadRunner load("phase" + std::to_string(++phase_), kCallers, kPaths);
    load_ = &load;
    load.SetTargets(targets_);
    load.Start();
    load.WaitForRequests(kRequestsPerPhase / 5);
    aAction();
    load.WaitForRequests(kRequestsPerPhase);
    const LoadResult result = load.Stop();
    load_ = nullptr;
    orders_.insert(result.orders_.begin(), result.orders_.end());
    PrintRow(aName, result);
    ok_ = ok_ && result.lost_ == 0 && result.wrong_ == 0;
    if (aMayNotRefuse) {
      ok_ = ok_ && result.notRun_ == 0 && result.unknown_ == 0;
    }
  }

  void Fault(const std::string& aService, const std::string& aMode)
  {
    fleet_.ControlUpstream(*first_.at(aService), aMode);
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
    fleet_.Register(instance, true);
    instance.process_->Signal(SIGTERM);
    // The platform's balancer follows its list, which shows the instance as leaving.
    targets_.erase(targets_.begin());
    load_->SetTargets(targets_);
    ok_ = instance.process_->WaitForExit() == 0 && ok_;
    std::erase_if(targets_, [&](std::uint16_t aPort) { return aPort == instance.caller_; });
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
                aResult.wrong_,
                aResult.Quantile(0.5),
                aResult.Quantile(0.99));
    for (const auto& [reason, count] : aResult.refusals_) {
      std::printf("    refused as %s: %d\n", reason.c_str(), count);
    }
  }

  // Orders that ran twice, ran although refused as not run, or were answered and did not run.
  bool CheckRuns()
  {
    int doubled = 0;
    int ranAlthoughRefused = 0;
    std::map<std::string, int> runs;
    for (const auto& [key, count] : fleet_.RunsByKey()) {
      runs[key] = count;
      doubled += count > 1 ? 1 : 0;
    }
    int answeredNotRun = 0;
    for (const auto& [key, outcome] : orders_) {
      ranAlthoughRefused += outcome == "not-run" && runs[key] > 0 ? 1 : 0;
      answeredNotRun += outcome == "answered" && runs[key] == 0 ? 1 : 0;
    }
    std::printf("orders: %zu sent, %d doubled, %d ran although refused as not-run, "
                "%d answered without a run\n",
                orders_.size(),
                doubled,
                ranAlthoughRefused,
                answeredNotRun);
    return doubled == 0 && ranAlthoughRefused == 0 && answeredNotRun == 0;
  }

  const std::filesystem::path examples_;
  Fleet fleet_;
  std::map<std::string, RunningUpstream*> first_;
  std::vector<std::uint16_t> targets_;
  std::map<std::string, std::string> orders_;
  LoadRunner* load_ = nullptr;
  int phase_ = 0;
  bool ok_ = true;
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
    const bool ok = Demo(aArguments[1]).Run();
    std::printf("%s\n", ok ? "all promises held" : "A PROMISE WAS BROKEN");
    return ok ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "boragepier_demo: " << error.what() << "\n";
    return 1;
  }
}
