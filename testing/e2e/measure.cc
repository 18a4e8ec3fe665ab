#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

#include "boragepier/base/errors.h"
#include "testing/e2e/fleet.h"
#include "testing/wire/raw_socket.h"

// Benchmarks the programs as separate processes over loopback, for docs/benchmarks.md and
// docs/CAPACITY.md.
//   boragepier_measure path      added latency, requests per second and memory of one instance
//   boragepier_measure control   processor time and memory of idle instances by upstreams

namespace {

using namespace boragepier;
using namespace boragepier::testing;
using nlohmann::json;

constexpr int kUpstreamCount = 4;

/// Processor time and resident memory of a process, read from /proc.
struct ProcessUsage
{
  double processorSeconds_ = 0;
  double memoryMb_ = 0;
};

ProcessUsage
ReadProcessUsage(int aPid)
{
  const std::string directory = "/proc/" + std::to_string(aPid);
  std::ifstream stat(directory + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  ProcessUsage usage;
  usage.processorSeconds_ = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream status(directory + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) {
      usage.memoryMb_ = std::stod(line.substr(6)) / 1024;
    }
  }
  return usage;
}

/// Settings of the load tool. With a call rate the load is open-loop; otherwise each client sends
/// its next call after the response to the last one.
struct LoadSettings
{
  int clients_ = 1;
  int callsPerSecond_ = 0; ///< 0: closed loop
  int callCount_ = 0;
};

json
RunLoad(const std::string& aTargets, const LoadSettings& aLoad)
{
  ChildProcess load(BORAGEPIER_TESTING_LOAD,
                    { "--targets",
                      aTargets,
                      "--clients",
                      std::to_string(aLoad.clients_),
                      "--rate",
                      std::to_string(aLoad.callsPerSecond_),
                      "--count",
                      std::to_string(aLoad.callCount_),
                      "--lookup-path",
                      "/shop/",
                      "--deadline-ms",
                      "0" });
  json result = json::parse(load.ReadToEnd());
  load.WaitForExit();
  return result;
}

void
PrintLoad(const std::string& aName, const json& aResult, double aProcessorSeconds)
{
  const json& latency = aResult.at("latencyMs");
  std::printf("%-24s %9.0f %8.3f %8.3f %8.3f %6d %6d",
              aName.c_str(),
              aResult.at("perSecond").get<double>(),
              latency.at("p50").get<double>(),
              latency.at("p99").get<double>(),
              latency.at("p99.9").get<double>(),
              aResult.at("lost").get<int>(),
              aResult.at("wrong").get<int>());
  if (aProcessorSeconds > 0) {
    std::printf(" %12.0f", aResult.at("count").get<double>() / aProcessorSeconds);
  }
  std::printf("\n");
}

/// Benchmark of one instance in front of upstreams with a service time of 0.
class PathMeasurement
{
public:
  PathMeasurement()
  {
    for (int i = 0; i < kUpstreamCount; ++i) {
      const auto& upstream =
        fleet_.AddUpstream("shop", { "--service-time-ms", "0", "--slots", "64" });
      directTargets_ += (i == 0 ? "" : ",") + ("127.0.0.1:" + std::to_string(upstream.port_));
    }
    fleet_.AddInstance("[log]\nlevel = error\n");
    if (fleet_.Publish("shop", MakeServiceFile("shop", "/shop/", "[choice]\nslots = 64\n")) != 0) {
      throw Error("boragepierctl publish failed");
    }
    fleet_.WaitForVersion("shop", 1);
    fleet_.WaitForUpstreams(Instance(), "shop", kUpstreamCount);
    fleet_.WaitForStatus(Instance(), "/shop/0", 200);
  }

  RunningInstance& Instance() { return fleet_.Instance(0); }

  /// Sends the same load directly to the upstreams and through the instance, and prints both
  /// results with the added latency.
  void CompareDirectAndProxied(const std::string& aName, const LoadSettings& aLoad)
  {
    const json direct = RunLoad(directTargets_, aLoad);
    const ProcessUsage start = ReadProcessUsage(Instance().process_->Pid());
    const json proxied = RunLoad("127.0.0.1:" + std::to_string(Instance().callerPort_), aLoad);
    const ProcessUsage end = ReadProcessUsage(Instance().process_->Pid());
    PrintLoad(aName + " direct", direct, 0);
    PrintLoad(aName + " proxied", proxied, end.processorSeconds_ - start.processorSeconds_);
    const auto addedLatencyMs = [&](const char* aQuantile) {
      return proxied.at("latencyMs").at(aQuantile).get<double>() -
             direct.at("latencyMs").at(aQuantile).get<double>();
    };
    std::printf("%-24s %9s %8.3f %8.3f\n",
                (aName + " added").c_str(),
                "",
                addedLatencyMs("p50"),
                addedLatencyMs("p99"));
  }

  void PrintMemory(const char* aName)
  {
    fleet_.WaitForStatus(Instance(), "/shop/0", 200);
    std::printf(
      "memory %s: %.1f MB\n", aName, ReadProcessUsage(Instance().process_->Pid()).memoryMb_);
  }

private:
  Fleet fleet_;
  std::string directTargets_;
};

void
MeasurePath()
{
  constexpr int kIdleConnections = 1000;
  PathMeasurement path;
  std::printf("%-24s %9s %8s %8s %8s %6s %6s %12s\n",
              "load",
              "calls/s",
              "p50 ms",
              "p99 ms",
              "p99.9 ms",
              "lost",
              "wrong",
              "calls/core-s");
  path.CompareDirectAndProxied("1 client", { .clients_ = 1, .callCount_ = 10000 });
  path.CompareDirectAndProxied("2 clients", { .clients_ = 2, .callCount_ = 30000 });
  path.CompareDirectAndProxied("8 clients", { .clients_ = 8, .callCount_ = 60000 });
  path.CompareDirectAndProxied("64 clients", { .clients_ = 64, .callCount_ = 60000 });
  path.CompareDirectAndProxied("5000/s", { .callsPerSecond_ = 5000, .callCount_ = 25000 });
  path.PrintMemory("of the instance");
  std::vector<RawSocket> idleConnections;
  idleConnections.reserve(kIdleConnections);
  for (int i = 0; i < kIdleConnections; ++i) {
    idleConnections.emplace_back(path.Instance().callerPort_);
  }
  path.PrintMemory("with 1,000 idle callers");
  path.CompareDirectAndProxied("2 clients, 1000 idle", { .clients_ = 2, .callCount_ = 30000 });
  path.CompareDirectAndProxied("64 clients, 1000 idle", { .clients_ = 64, .callCount_ = 60000 });
}

void
MeasureControl(int aServices, int aUpstreams)
{
  constexpr auto kMeasurementTime = std::chrono::seconds(20);
  Fleet fleet;
  for (int i = 0; i < 3; ++i) {
    fleet.AddInstance("[log]\nlevel = error\n");
  }
  for (int i = 0; i < aServices; ++i) {
    const std::string name = "service-" + std::to_string(i);
    fleet.WriteServiceFile(name, MakeServiceFile(name, "/s" + std::to_string(i) + "/"));
  }
  if (fleet.PublishServiceFiles() != 0) {
    throw Error("boragepierctl publish failed");
  }
  for (int i = 0; i < aUpstreams; ++i) {
    fleet.RegisterUpstream("upstream-" + std::to_string(i),
                           "service-" + std::to_string(i % aServices),
                           static_cast<std::uint16_t>(10000 + i));
  }
  fleet.WaitForVersion("service-" + std::to_string(aServices - 1), 1);
  const int upstreamsPerService = aUpstreams / aServices;
  for (std::size_t i = 0; i < fleet.InstanceCount(); ++i) {
    fleet.WaitForUpstreams(
      fleet.Instance(i), "service-0", static_cast<std::uint64_t>(upstreamsPerService));
  }
  std::this_thread::sleep_for(std::chrono::seconds(5));
  std::vector<ProcessUsage> start;
  for (std::size_t i = 0; i < fleet.InstanceCount(); ++i) {
    start.push_back(ReadProcessUsage(fleet.Instance(i).process_->Pid()));
  }
  std::this_thread::sleep_for(kMeasurementTime);
  for (std::size_t i = 0; i < fleet.InstanceCount(); ++i) {
    const ProcessUsage end = ReadProcessUsage(fleet.Instance(i).process_->Pid());
    const double share = (end.processorSeconds_ - start[i].processorSeconds_) /
                         std::chrono::duration<double>(kMeasurementTime).count();
    std::printf(
      "%8d %9d %9zu %10.2f %9.1f\n", aServices, aUpstreams, i + 1, share * 100, end.memoryMb_);
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::string measurement = aCount == 2 ? aArguments[1] : "";
  try {
    if (measurement == "path") {
      MeasurePath();
    } else if (measurement == "control") {
      std::printf("%8s %9s %9s %10s %9s\n", "services", "upstreams", "instance", "core %", "MB");
      MeasureControl(6, 65);
      MeasureControl(46, 440);
      MeasureControl(460, 4400);
    } else {
      std::cerr << "usage: boragepier_measure path|control\n";
      return 2;
    }
  } catch (const std::exception& error) {
    std::cerr << "boragepier_measure: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
