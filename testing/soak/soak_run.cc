#include "testing/soak/soak_run.h"

#include <signal.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <map>
#include <ostream>
#include <set>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

#include "testing/e2e/fleet.h"
#include "testing/e2e/load_runner.h"
#include "testing/soak/fault_proxy.h"
#include "testing/soak/soak_plan.h"
#include "testing/wire/loop_thread.h"

namespace boragepier::testing {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr const char* kService = "shop";
constexpr const char* kPathPrefix = "/orders/";
constexpr auto kPollInterval = milliseconds(20);
// Time from the end of an instance until the callers stop sending requests to it.
constexpr auto kTargetUpdateDelay = milliseconds(100);
// Default of budget.retries: additional attempts per request.
constexpr double kRetryBudgetRatio = 0.1;
// All instances must serve within this time after the last fault: requirement R7 in docs/design.md.
constexpr auto kMaxRecoveryTime = std::chrono::seconds(5);

// An instance of the fleet; its process can be replaced.
struct InstanceSlot
{
  RunningInstance* running_ = nullptr;
  std::uint64_t highestVersion_ = 0; ///< highest version that the process has reported
  int activePauses_ = 0;             ///< number of faults that pause the process now
};

struct UpstreamSlot
{
  std::unique_ptr<RunningUpstream> running_;
  std::unique_ptr<FaultProxy> proxy_;
  std::uint64_t startNumber_ = 1;
  int activePauses_ = 0;
};

class SoakRun
{
public:
  SoakRun(const SoakOptions& aOptions, std::ostream& aOutput)
    : options_(aOptions)
    , output_(aOutput)
    , load_("soak", aOptions.callers_, { { kPathPrefix }, { kPathPrefix } })
  {
    platformProxy_ = loopThread_.Run(
      [this] { return std::make_unique<FaultProxy>(loop_, fleet_.PlatformPort()); });
    fleet_.SetInstancePlatformPort(platformProxy_->Port());
    for (std::size_t i = 0; i < options_.upstreams_; ++i) {
      upstreams_.emplace_back();
      StartUpstream(i);
    }
    instanceSlots_.resize(options_.instances_);
    for (InstanceSlot& slot : instanceSlots_) {
      slot.running_ = &StartInstance();
    }
    Publish();
    for (const InstanceSlot& slot : instanceSlots_) {
      fleet_.WaitForStatus(*slot.running_, kPathPrefix, 200);
    }
    AddAllFaults();
  }

  ~SoakRun()
  {
    loopThread_.Run([this] {
      platformProxy_.reset();
      for (UpstreamSlot& upstream : upstreams_) {
        upstream.proxy_.reset();
      }
    });
  }
  SoakRun(const SoakRun&) = delete;
  SoakRun& operator=(const SoakRun&) = delete;

  SoakResult Run()
  {
    std::vector<FaultKind> kinds;
    for (const FaultActions& kind : faultActions_) {
      kinds.push_back(kind.kind_);
    }
    const auto plan = MakeSoakPlan(options_.seed_, options_.faultPeriod_, kinds);
    result_.faultCount_ = plan.size();
    SetTargets();
    load_.Start();
    RunPlan(plan);
    WaitForRecovery();
    const LoadResult load = load_.Stop();
    StopAll();
    CheckResults(load);
    return std::move(result_);
  }

private:
  struct FaultActions
  {
    FaultKind kind_;
    std::function<void(std::size_t)> begin_;
    std::function<void(std::size_t)> end_;
  };

  // --- processes ---------------------------------------------------------------------------

  void StartUpstream(std::size_t aIndex)
  {
    UpstreamSlot& slot = upstreams_[aIndex];
    const std::string id = "u" + std::to_string(aIndex + 1);
    slot.running_ = fleet_.StartUpstream(
      id,
      kService,
      { "--service-time-ms", "3", "--run-log", options_.directory_ + "/" + id + ".runs" });
    if (slot.proxy_) {
      loopThread_.Run([&] { slot.proxy_->SetTarget(slot.running_->port_); });
    } else {
      slot.proxy_ =
        loopThread_.Run([&] { return std::make_unique<FaultProxy>(loop_, slot.running_->port_); });
    }
    ListUpstream(slot, false);
  }

  void ListUpstream(const UpstreamSlot& aSlot, bool aLeaving)
  {
    fleet_.RegisterUpstream(
      aSlot.running_->id_, kService, aSlot.proxy_->Port(), aSlot.startNumber_, aLeaving);
  }

  RunningInstance& StartInstance()
  {
    ++startedInstances_;
    std::string settings = "[traffic]\ndrain-grace-ms = 300\ndrain-limit-ms = 20000\n";
    settings += "[log]\nfile = " + options_.directory_ + "/instance-" +
                std::to_string(startedInstances_) + ".log\n";
    std::string seeds;
    for (const InstanceSlot& slot : instanceSlots_) {
      if (slot.running_ != nullptr) {
        seeds +=
          (seeds.empty() ? "127.0.0.1:" : ",127.0.0.1:") + std::to_string(slot.running_->peerPort_);
      }
    }
    return fleet_.AddInstance(settings + (seeds.empty() ? "" : "[peers]\nseeds = " + seeds + "\n"));
  }

  // Starts a new process in a slot. Retries later if the platform refuses to register it.
  void StartReplacement(std::size_t aSlot)
  {
    InstanceSlot& slot = instanceSlots_[aSlot];
    try {
      slot = { &StartInstance(), 0, 0 };
      SetTargets();
    } catch (const ChildProcessError&) {
      ScheduleTask(milliseconds(300), [this, aSlot] { StartReplacement(aSlot); });
    }
  }

  void MarkAsLeaving(const RunningInstance& aInstance)
  {
    try {
      fleet_.RegisterInstance(aInstance, true);
    } catch (const ChildProcessError& error) {
      output_ << "  instance could not be registered as leaving: " << error.what() << "\n";
    }
  }

  void SetTargets()
  {
    std::vector<std::uint16_t> ports;
    for (const InstanceSlot& slot : instanceSlots_) {
      if (slot.running_ != nullptr) {
        ports.push_back(slot.running_->callerPort_);
      }
    }
    if (!ports.empty()) {
      load_.SetTargets(ports);
    }
  }

  static void Pause(const ChildProcess& aProcess, int& aPauses)
  {
    if (aPauses++ == 0) {
      aProcess.Signal(SIGSTOP);
    }
  }

  static void Resume(const ChildProcess& aProcess, int& aPauses)
  {
    if (aPauses > 0 && --aPauses == 0) {
      aProcess.Signal(SIGCONT);
    }
  }

  // Removes the process from its slot, resumes it if it is paused, and returns it.
  RunningInstance* VacateSlot(std::size_t aSlot)
  {
    InstanceSlot& slot = instanceSlots_[aSlot];
    RunningInstance* const oldInstance = std::exchange(slot.running_, nullptr);
    if (oldInstance != nullptr && slot.activePauses_ > 0) {
      oldInstance->process_->Signal(SIGCONT);
    }
    slot.activePauses_ = 0;
    return oldInstance;
  }

  void StopGracefully(std::size_t aSlot)
  {
    RunningInstance* const oldInstance = VacateSlot(aSlot);
    if (oldInstance == nullptr) {
      return;
    }
    oldInstance->process_->Signal(SIGTERM);
    MarkAsLeaving(*oldInstance);
    stopping_.push_back(oldInstance);
    ScheduleTask(kTargetUpdateDelay, [this] { SetTargets(); });
  }

  void Kill(std::size_t aSlot)
  {
    RunningInstance* const oldInstance = VacateSlot(aSlot);
    if (oldInstance == nullptr) {
      return;
    }
    disturbedPorts_.insert(oldInstance->callerPort_);
    oldInstance->process_->Signal(SIGKILL);
    oldInstance->process_->WaitForExit();
    MarkAsLeaving(*oldInstance);
    ScheduleTask(kTargetUpdateDelay, [this] { SetTargets(); });
  }

  void Publish()
  {
    const std::string deadline = std::to_string(2000 + ++publishedVersion_);
    const std::string text =
      MakeServiceFile(kService, kPathPrefix, "[deadline]\ndefault-ms = " + deadline + "\n");
    if (fleet_.Publish(kService, text) != 0) {
      result_.violations_.emplace_back("a publish failed although the platform had no fault");
    }
  }

  // --- faults ------------------------------------------------------------------------------

  void AddFault(const std::string& aName,
                std::size_t aTargetCount,
                int aWeight,
                std::function<void(std::size_t)> aBegin,
                std::function<void(std::size_t)> aEnd)
  {
    faultActions_.push_back(
      { { aName, aTargetCount, aWeight }, std::move(aBegin), std::move(aEnd) });
  }

  void AddLinkFault(const std::string& aName, LinkFault aFault)
  {
    const auto set = [this](std::size_t aIndex, LinkFault aNow) {
      FaultProxy& proxy = aIndex < upstreams_.size() ? *upstreams_[aIndex].proxy_ : *platformProxy_;
      loopThread_.Run([&] { proxy.SetFault(aNow); });
    };
    AddFault(
      aName,
      upstreams_.size() + 1,
      2,
      [set, aFault](std::size_t aIndex) { set(aIndex, aFault); },
      [set](std::size_t aIndex) { set(aIndex, LinkFault::None); });
  }

  void AddPlatformFault(const std::string& aName, const std::string& aOn, const std::string& aOff)
  {
    AddFault(
      aName,
      1,
      1,
      [this, aOn](std::size_t) {
        ++activePlatformFaults_;
        fleet_.ControlPlatform(aOn);
      },
      [this, aOff](std::size_t) {
        --activePlatformFaults_;
        fleet_.ControlPlatform(aOff);
      });
  }

  void AddUpstreamFault(const std::string& aName, const std::string& aMode)
  {
    const auto set = [this](std::size_t aIndex, const std::string& aText) {
      if (upstreams_[aIndex].activePauses_ == 0) {
        fleet_.ControlUpstream(*upstreams_[aIndex].running_, aText);
      }
    };
    AddFault(
      aName,
      upstreams_.size(),
      1,
      [set, aMode](std::size_t aIndex) { set(aIndex, aMode); },
      [set](std::size_t aIndex) { set(aIndex, R"({"mode":"normal"})"); });
  }

  void AddAllFaults()
  {
    AddLinkFault("link-delay", LinkFault::Delay);
    AddLinkFault("link-reset", LinkFault::Reset);
    AddLinkFault("link-silence", LinkFault::Silence);
    AddLinkFault("link-cut-forward", LinkFault::CutForward);
    AddLinkFault("link-cut-backward", LinkFault::CutBackward);
    AddUpstreamFault("upstream-fails", R"({"mode":"fail-fast"})");
    AddUpstreamFault("upstream-truncates", R"({"mode":"truncate"})");
    AddUpstreamFault("upstream-loses-answers", R"({"mode":"silent-after-run"})");
    AddUpstreamFault("upstream-slow", R"({"mode":"straggle","factor":20})");
    AddUpstreamFault("upstream-sheds", R"({"mode":"shed","limit":1})");
    if (options_.upstreamPauses_) {
      AddUpstreamFault("upstream-pauses", R"({"mode":"pause","retryAfter":"0.8"})");
    }
    AddPlatformFault("table-down", R"({"table_down":true})", R"({"table_down":false})");
    AddPlatformFault("list-down", R"({"list_down":true})", R"({"list_down":false})");
    AddPlatformFault("platform-slow", R"({"slow_ms":60})", R"({"slow_ms":0})");
    AddPlatformFault("write-answers-lost",
                     R"({"lose_next_write_answers":10})",
                     R"({"lose_next_write_answers":0})");
    AddProcessFaults();
  }

  void AddProcessFaults()
  {
    AddFault(
      "instance-paused",
      instanceSlots_.size(),
      3,
      [this](std::size_t aSlot) {
        if (InstanceSlot& slot = instanceSlots_[aSlot]; slot.running_ != nullptr) {
          disturbedPorts_.insert(slot.running_->callerPort_);
          Pause(*slot.running_->process_, slot.activePauses_);
        }
      },
      [this](std::size_t aSlot) {
        if (InstanceSlot& slot = instanceSlots_[aSlot]; slot.running_ != nullptr) {
          Resume(*slot.running_->process_, slot.activePauses_);
        }
      });
    const auto startReplacement = [this](std::size_t aSlot) {
      if (instanceSlots_[aSlot].running_ == nullptr) {
        StartReplacement(aSlot);
      }
    };
    AddFault(
      "instance-killed",
      instanceSlots_.size(),
      3,
      [this](std::size_t aIndex) { Kill(aIndex); },
      startReplacement);
    AddFault(
      "instance-stopped",
      instanceSlots_.size(),
      3,
      [this](std::size_t aIndex) { StopGracefully(aIndex); },
      startReplacement);
    AddFault(
      "instance-reloaded",
      instanceSlots_.size(),
      1,
      [this](std::size_t aSlot) {
        if (instanceSlots_[aSlot].running_ != nullptr) {
          instanceSlots_[aSlot].running_->process_->Signal(SIGHUP);
        }
      },
      [](std::size_t) {});
    AddFault(
      "upstream-paused",
      upstreams_.size(),
      2,
      [this](std::size_t aIndex) {
        Pause(*upstreams_[aIndex].running_->process_, upstreams_[aIndex].activePauses_);
      },
      [this](std::size_t aIndex) {
        Resume(*upstreams_[aIndex].running_->process_, upstreams_[aIndex].activePauses_);
      });
    AddFault(
      "upstream-restarted",
      upstreams_.size(),
      2,
      [this](std::size_t aIndex) {
        UpstreamSlot& slot = upstreams_[aIndex];
        slot.running_->process_->Signal(SIGKILL);
        slot.running_->process_->WaitForExit();
        slot.activePauses_ = 0;
        ++slot.startNumber_;
        StartUpstream(aIndex);
      },
      [](std::size_t) {});
    AddFault(
      "upstream-leaves",
      upstreams_.size(),
      1,
      [this](std::size_t aIndex) { ListUpstream(upstreams_[aIndex], true); },
      [this](std::size_t aIndex) {
        ++upstreams_[aIndex].startNumber_;
        ListUpstream(upstreams_[aIndex], false);
      });
    AddFault(
      "publish",
      1,
      2,
      [this](std::size_t) {
        if (activePlatformFaults_ == 0) {
          Publish();
        }
      },
      [](std::size_t) {});
  }

  // --- scheduling --------------------------------------------------------------------------

  void ScheduleTask(Duration aDelay, std::function<void()> aTask)
  {
    scheduledTasks_.emplace(std::chrono::steady_clock::now() + aDelay, std::move(aTask));
  }

  // Starts or ends a fault. An action that fails because of another active fault is skipped.
  void ApplyFault(const std::string& aText,
                  const std::function<void(std::size_t)>& aAction,
                  std::size_t aTargetIndex)
  {
    try {
      output_ << aText << std::endl; // NOLINT(performance-avoid-endl): followed during the run
      aAction(aTargetIndex);
    } catch (const ChildProcessError& error) {
      output_ << "  skipped: " << error.what() << "\n";
    }
  }

  void RunPlan(const std::vector<PlannedFault>& aPlan)
  {
    for (const PlannedFault& fault : aPlan) {
      const FaultActions& kind = faultActions_[fault.kindIndex_];
      const std::string text = std::to_string(std::llround(ToMilliseconds(fault.startOffset_))) +
                               " ms " + kind.kind_.name_ + " " + std::to_string(fault.targetIndex_);
      ScheduleTask(fault.startOffset_, [this, &kind, fault, text] {
        ApplyFault(text, kind.begin_, fault.targetIndex_);
      });
      ScheduleTask(fault.startOffset_ + fault.duration_, [this, &kind, fault, text] {
        ApplyFault("  end of " + text, kind.end_, fault.targetIndex_);
      });
    }
    while (!scheduledTasks_.empty()) {
      while (!scheduledTasks_.empty() &&
             scheduledTasks_.begin()->first <= std::chrono::steady_clock::now()) {
        const auto task = scheduledTasks_.extract(scheduledTasks_.begin());
        task.mapped()();
      }
      CheckVersions();
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  std::uint64_t ReadVersion(const RunningInstance& aInstance)
  {
    const json status =
      json::parse(fleet_.Client().Get(aInstance.adminPort_, "/status"), nullptr, false);
    if (!status.is_object() || !status.contains("services") || status["services"].empty()) {
      return 0;
    }
    return status["services"][0].value("version", std::uint64_t{ 0 });
  }

  void CheckVersions()
  {
    if (std::chrono::steady_clock::now() < nextVersionCheck_) {
      return;
    }
    nextVersionCheck_ = std::chrono::steady_clock::now() + milliseconds(200);
    for (InstanceSlot& slot : instanceSlots_) {
      if (slot.running_ == nullptr || slot.activePauses_ > 0) {
        continue;
      }
      const std::uint64_t version = ReadVersion(*slot.running_);
      if (version < slot.highestVersion_) {
        result_.violations_.push_back(slot.running_->id_ + " returned from version " +
                                      std::to_string(slot.highestVersion_) + " to " +
                                      std::to_string(version));
      }
      slot.highestVersion_ = std::max(slot.highestVersion_, version);
    }
  }

  bool IsServing(const InstanceSlot& aSlot)
  {
    return ReadVersion(*aSlot.running_) >= publishedVersion_ &&
           fleet_.Client()
               .Send(aSlot.running_->callerPort_, { "GET", kPathPrefix, {}, "" })
               .response_.status_ == 200;
  }

  void WaitForRecovery()
  {
    Publish();
    const auto start = std::chrono::steady_clock::now();
    for (const InstanceSlot& slot : instanceSlots_) {
      while (!IsServing(slot)) {
        if (std::chrono::steady_clock::now() - start > 2 * ChildProcess::kTimeout) {
          result_.violations_.push_back(slot.running_->id_ + " did not recover");
          break;
        }
        std::this_thread::sleep_for(kPollInterval);
      }
    }
    result_.recovery_ = std::chrono::steady_clock::now() - start;
    if (result_.recovery_ > kMaxRecoveryTime) {
      result_.violations_.push_back("all instances serve again only " +
                                    std::to_string(ToMilliseconds(result_.recovery_)) +
                                    " ms after the last fault");
    }
  }

  // Stops the instances gracefully, so that no attempt is in progress when runs are counted.
  void StopAll()
  {
    for (InstanceSlot& slot : instanceSlots_) {
      slot.running_->process_->Signal(SIGTERM);
      stopping_.push_back(slot.running_);
    }
    for (RunningInstance* const instance : stopping_) {
      if (const int status = instance->process_->WaitForExit(); status != 0) {
        result_.violations_.push_back(instance->id_ + " exited with status " +
                                      std::to_string(status) + " after SIGTERM");
      }
    }
  }

  // --- checks ------------------------------------------------------------------------------

  void CheckResults(const LoadResult& aLoad)
  {
    std::map<std::string, int> runs;
    int total = 0;
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      std::ifstream log(options_.directory_ + "/u" + std::to_string(i + 1) + ".runs");
      std::string line;
      while (std::getline(log, line)) {
        std::istringstream fields(line);
        std::string time;
        std::string target;
        std::string key;
        fields >> time >> target >> key;
        total += target.find("soak") == std::string::npos ? 0 : 1;
        runs[key] += 1;
      }
    }
    CheckOrders(aLoad, runs);
    result_.requests_ = aLoad.sent_;
    result_.answered_ = aLoad.answered_;
    result_.orders_ = static_cast<int>(aLoad.orderOutcomes_.size());
    if (aLoad.mismatched_ > 0) {
      result_.violations_.push_back(std::to_string(aLoad.mismatched_) +
                                    " responses belonged to another request");
    }
    for (const auto& [port, count] : aLoad.lostByPort_) {
      if (!disturbedPorts_.contains(port)) {
        result_.violations_.push_back(std::to_string(count) + " requests were lost at port " +
                                      std::to_string(port) + ", which was never killed or paused");
      }
    }
    const double maxRuns = aLoad.sent_ * (1 + kRetryBudgetRatio) + startedInstances_;
    if (total > maxRuns) {
      result_.violations_.push_back(std::to_string(total) + " runs for " +
                                    std::to_string(aLoad.sent_) + " requests");
    }
  }

  void CheckOrders(const LoadResult& aLoad, std::map<std::string, int>& aRuns)
  {
    for (const auto& [key, outcome] : aLoad.orderOutcomes_) {
      const int runs = aRuns[key];
      const bool violated =
        runs > 1 || (outcome == "answered" && runs != 1) || (outcome == "not-run" && runs != 0);
      if (violated) {
        std::ostringstream text;
        text << "order " << key << " ran " << runs << " times and has the outcome " << outcome;
        result_.violations_.push_back(text.str());
      }
    }
  }

  const SoakOptions options_;
  std::ostream& output_;
  net::EventLoop loop_;
  LoopThread loopThread_{ loop_ };
  Fleet fleet_;
  std::unique_ptr<FaultProxy> platformProxy_;
  std::vector<UpstreamSlot> upstreams_;
  std::vector<InstanceSlot> instanceSlots_;
  std::vector<RunningInstance*> stopping_;
  std::set<std::uint16_t>
    disturbedPorts_; ///< caller ports of instances that were killed or paused and may lose requests
  int startedInstances_ = 0;           ///< number of instances started so far
  std::uint64_t publishedVersion_ = 0; ///< latest published version
  int activePlatformFaults_ = 0;       ///< number of platform faults that are active now
  std::vector<FaultActions> faultActions_;
  std::multimap<MonotonicTime, std::function<void()>> scheduledTasks_;
  MonotonicTime nextVersionCheck_{};
  LoadRunner load_;
  SoakResult result_;
};

} // namespace

SoakResult
RunSoak(const SoakOptions& aOptions, std::ostream& aOutput)
{
  return SoakRun(aOptions, aOutput).Run();
}

} // namespace boragepier::testing
