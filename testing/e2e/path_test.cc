#include <signal.h>

#include <cstdio>
#include <future>
#include <map>
#include <memory>

#include "boragepier/entry/request_checks.h"
#include "testing/e2e/fleet.h"
#include "testing/e2e/load_runner.h"

#include <CppUTest/TestHarness.h>

namespace boragepier::testing {

namespace {

// A short grace period suffices, as the tests update the targets of the callers at each stop.
const std::string kDrainSettings = "[traffic]\ndrain-grace-ms = 300\ndrain-limit-ms = 20000\n";

const LoadRunner::PathPrefixes kPathPrefixes = { { "/orders/" }, { "/orders/" } };

http::Request
MakeOrder(const std::string& aKey, const std::string& aBody = "order")
{
  http::Request request{ "POST", "/orders/1", {}, aBody };
  request.headers_.Add(kIdempotencyKeyHeader, aKey);
  return request;
}

std::string
GetOutcome(const http::SendResult& aResult)
{
  return std::string(aResult.response_.headers_.Get(kOutcomeHeader).value_or("none"));
}

// Checks that no order ran twice, each answered order ran once, and no order with outcome "not-run"
// ran.
void
CheckOrders(const LoadResult& aResult, Fleet& aFleet)
{
  std::map<std::string, int> runs;
  for (const auto& [key, count] : aFleet.RunsByKey()) {
    runs[key] = count;
    CHECK_TEXT(count <= 1, key.c_str());
  }
  for (const auto& [key, outcome] : aResult.orderOutcomes_) {
    if (outcome == "answered") {
      CHECK_EQUAL_TEXT(1, runs[key], key.c_str());
    } else if (outcome == "not-run") {
      CHECK_EQUAL_TEXT(0, runs[key], key.c_str());
    }
  }
}

void
CheckNoErrors(const LoadResult& aResult)
{
  CHECK_EQUAL(0, aResult.lost_);
  CHECK_EQUAL(0, aResult.mismatched_);
  CHECK_EQUAL(0, aResult.serverErrors_);
  for (const auto& [reason, count] : aResult.refusals_) {
    CHECK_EQUAL_TEXT(0, count, reason.c_str());
  }
  CHECK_EQUAL(aResult.sent_, aResult.answered_);
}

std::vector<std::uint16_t>
CallerPorts(Fleet& aFleet)
{
  std::vector<std::uint16_t> ports;
  for (std::size_t i = 0; i < aFleet.InstanceCount(); ++i) {
    ports.push_back(aFleet.Instance(i).callerPort_);
  }
  return ports;
}

} // namespace

TEST_GROUP(Path)
{
  Fleet fleet_;

  void StartFleet(int aUpstreams, int aInstances)
  {
    for (int i = 0; i < aUpstreams; ++i) {
      fleet_.AddUpstream("shop", { "--service-time-ms", "1" });
    }
    for (int i = 0; i < aInstances; ++i) {
      fleet_.AddInstance(kDrainSettings);
    }
    CHECK_EQUAL(0, fleet_.Publish("shop", MakeServiceFile("shop", "/orders/")));
    fleet_.WaitForVersion("shop", 1);
    for (int i = 0; i < aInstances; ++i) {
      fleet_.WaitForStatus(fleet_.Instance(static_cast<std::size_t>(i)), "/orders/0", 200);
    }
  }

  std::unique_ptr<LoadRunner> StartLoad(int aCallers)
  {
    auto load = std::make_unique<LoadRunner>("load", aCallers, kPathPrefixes);
    load->SetTargets(CallerPorts(fleet_));
    load->Start();
    return load;
  }
};

TEST(Path, LookupsAndOrdersSucceedThroughAllInstances)
{
  StartFleet(4, 3);
  const auto load = StartLoad(8);
  load->WaitForRequests(1000);
  const LoadResult result = load->Stop();
  CheckNoErrors(result);
  CheckOrders(result, fleet_);
}

// Guards against an order that runs twice because its caller retries it through another instance.
TEST(Path, ConcurrentOrdersWithOneKeyRunOnce)
{
  StartFleet(4, 3);
  for (int round = 0; round < 20; ++round) {
    const std::string key = "same-" + std::to_string(round);
    std::vector<std::future<http::SendResult>> attempts;
    for (int attempt = 0; attempt < 6; ++attempt) {
      const std::uint16_t port = fleet_.Instance(static_cast<std::size_t>(attempt % 3)).callerPort_;
      attempts.push_back(std::async(
        std::launch::async, [&, port] { return fleet_.Client().Send(port, MakeOrder(key)); }));
    }
    int answered = 0;
    for (auto& attempt : attempts) {
      const std::string outcome = GetOutcome(attempt.get());
      answered += outcome == "answered" ? 1 : 0;
      CHECK_TEXT(outcome == "answered" || outcome == "unknown", outcome.c_str());
    }
    CHECK(answered >= 1);
    const http::SendResult repeated =
      fleet_.Client().Send(fleet_.Instance(0).callerPort_, MakeOrder(key));
    CHECK_TEXT(GetOutcome(repeated) == "answered" || GetOutcome(repeated) == "unknown",
               key.c_str());
    const auto changedBody =
      fleet_.Client().Send(fleet_.Instance(1).callerPort_, MakeOrder(key, "another"));
    CHECK_EQUAL(422, changedBody.response_.status_);
  }
  for (const auto& [key, count] : fleet_.RunsByKey()) {
    CHECK_EQUAL_TEXT(1, count, key.c_str());
  }
}

// Guards against requests that fail or are refused while an upstream drains.
TEST(Path, ADrainingUpstreamCausesNoError)
{
  StartFleet(5, 3);
  const auto load = StartLoad(6);
  load->WaitForRequests(200);
  fleet_.ControlUpstream(fleet_.Upstream(0), R"({"mode":"drain","forMs":200})");
  load->WaitForRequests(1500);
  const LoadResult result = load->Stop();
  CheckNoErrors(result);
  CheckOrders(result, fleet_);
}

// Guards against requests that fail or are refused during a rolling replacement of the instances.
TEST(Path, RollingReplacementOfAllInstancesCausesNoError)
{
  StartFleet(5, 3);
  const auto load = StartLoad(6);
  for (std::size_t i = 0; i < 3; ++i) {
    load->WaitForRequests(200);
    RunningInstance& newInstance = fleet_.AddInstance(kDrainSettings);
    fleet_.WaitForStatus(newInstance, "/orders/0", 200);
    RunningInstance& oldInstance = fleet_.Instance(i);
    fleet_.RegisterInstance(oldInstance, true);
    oldInstance.process_->Signal(SIGTERM);
    // The callers stop using the old instance while it still accepts connections.
    std::vector<std::uint16_t> ports = CallerPorts(fleet_);
    ports.erase(ports.begin(), ports.begin() + static_cast<std::ptrdiff_t>(i) + 1);
    load->SetTargets(ports);
    CHECK_EQUAL(0, oldInstance.process_->WaitForExit());
  }
  load->WaitForRequests(300);
  const LoadResult result = load->Stop();
  CheckNoErrors(result);
  CheckOrders(result, fleet_);
}

// Guards against a configuration change that fails requests in progress.
TEST(Path, PublishingUnderLoadCausesNoError)
{
  StartFleet(4, 3);
  const auto load = StartLoad(6);
  for (int version = 2; version <= 6; ++version) {
    load->WaitForRequests(100);
    const std::string deadline = std::to_string(2000 + version);
    const std::string text =
      MakeServiceFile("shop", "/orders/", "[deadline]\ndefault-ms = " + deadline + "\n");
    CHECK_EQUAL(0, fleet_.Publish("shop", text));
    fleet_.WaitForVersion("shop", static_cast<std::uint64_t>(version));
  }
  const LoadResult result = load->Stop();
  CheckNoErrors(result);
  CheckOrders(result, fleet_);
}

// Guards against lookups that depend on the table and against orders that run without a claim.
TEST(Path, TableOutageRefusesOrdersAndServesLookups)
{
  StartFleet(4, 2);
  fleet_.ControlPlatform(R"({"table_down":true,"list_down":true})");
  for (int i = 0; i < 50; ++i) {
    const auto lookup =
      fleet_.Client().Send(fleet_.Instance(0).callerPort_, { "GET", "/orders/9", {}, "" });
    CHECK_EQUAL(200, lookup.response_.status_);
  }
  const auto order = fleet_.Client().Send(fleet_.Instance(0).callerPort_, MakeOrder("outage"));
  CHECK_EQUAL(503, order.response_.status_);
  STRCMP_EQUAL("unknown", GetOutcome(order).c_str());
  CHECK(fleet_.RunsByKey().empty());
  fleet_.ControlPlatform(R"({"table_down":false,"list_down":false})");
  const auto repeated = fleet_.Client().Send(fleet_.Instance(1).callerPort_, MakeOrder("outage"));
  STRCMP_EQUAL("answered", GetOutcome(repeated).c_str());
}

// Guards against an instance that cannot start during a platform outage.
TEST(Path, InstanceStartedDuringAnOutageGetsItsConfigurationFromPeers)
{
  StartFleet(4, 2);
  fleet_.ControlPlatform(R"({"table_down":true,"list_down":true})");
  RunningInstance& newInstance = fleet_.AddInstance(
    "[peers]\nseeds = 127.0.0.1:" + std::to_string(fleet_.Instance(0).peerPort_) + "\n");
  fleet_.WaitForVersion("shop", 1);
  fleet_.WaitForStatus(newInstance, "/orders/0", 200);
}

// Guards against an order that runs twice because its instance was paused: the caller retries the
// order through another instance, and the first one resumes after the order's deadline.
TEST(Path, APausedInstanceDoesNotRunAnOrderTwice)
{
  StartFleet(4, 3);
  const auto load = StartLoad(6);
  load->WaitForRequests(100);
  std::vector<std::future<http::SendResult>> paused;
  paused.reserve(10);
  fleet_.Instance(0).process_->Pause();
  for (int i = 0; i < 10; ++i) {
    paused.push_back(std::async(std::launch::async, [&, i] {
      return fleet_.Client().Send(fleet_.Instance(0).callerPort_,
                                  MakeOrder("paused-" + std::to_string(i)));
    }));
  }
  load->SetTargets({ fleet_.Instance(1).callerPort_, fleet_.Instance(2).callerPort_ });
  std::map<std::string, std::string> outcomes;
  for (int i = 0; i < 10; ++i) {
    const std::string key = "paused-" + std::to_string(i);
    outcomes[key] =
      GetOutcome(fleet_.Client().Send(fleet_.Instance(1).callerPort_, MakeOrder(key)));
  }
  fleet_.Instance(0).process_->Signal(SIGCONT);
  for (auto& result : paused) {
    result.wait();
  }
  const LoadResult result = load->Stop();
  CheckOrders(result, fleet_);
  CHECK_EQUAL(0, result.mismatched_);
  std::map<std::string, int> runs;
  for (const auto& [key, count] : fleet_.RunsByKey()) {
    runs[key] = count;
  }
  for (const auto& [key, outcome] : outcomes) {
    STRCMP_EQUAL("answered", outcome.c_str());
    CHECK_EQUAL_TEXT(1, runs[key], key.c_str());
  }
}

// Guards against orders that run twice, and failures at other instances, after an instance is
// killed.
TEST(Path, AKilledInstanceLosesOnlyItsOwnConnections)
{
  StartFleet(4, 3);
  const auto load = StartLoad(6);
  load->WaitForRequests(200);
  fleet_.Instance(0).process_->Signal(SIGKILL);
  load->SetTargets({ fleet_.Instance(1).callerPort_, fleet_.Instance(2).callerPort_ });
  load->WaitForRequests(500);
  const LoadResult result = load->Stop();
  CheckOrders(result, fleet_);
  CHECK_EQUAL(0, result.mismatched_);
  CHECK_EQUAL(0, result.serverErrors_);
  CHECK(result.refusals_.empty());
  // Each of the 6 callers can lose the requests that it sends before its targets are updated.
  CHECK(result.lost_ <= 12);
}

// Guards against probes that upstreams run as requests, and against an unused probe budget.
TEST(Path, ProbesAreSentAndRunNoRequest)
{
  for (int i = 0; i < 3; ++i) {
    fleet_.AddUpstream("shop", { "--service-time-ms", "5" });
  }
  fleet_.AddInstance(kDrainSettings);
  const std::string budget =
    "[budget]\nprobes-per-upstream-second = 200\nretries = 0\nhedges = 0\n";
  CHECK_EQUAL(0, fleet_.Publish("shop", MakeServiceFile("shop", "/orders/", budget)));
  fleet_.WaitForVersion("shop", 1);
  fleet_.WaitForStatus(fleet_.Instance(0), "/orders/0", 200);
  const int before = fleet_.TotalRuns();
  LoadRunner load("load", 12, { { "/orders/" }, {} });
  load.SetTargets(CallerPorts(fleet_));
  load.Start();
  load.WaitForRequests(600);
  const LoadResult result = load.Stop();
  CheckNoErrors(result);
  CHECK_EQUAL(result.sent_, fleet_.TotalRuns() - before);
  const std::string metrics = fleet_.Client().Get(fleet_.Instance(0).adminPort_, "/metrics");
  const std::string name = "boragepier_probes_total{service=\"shop\"} ";
  const std::size_t position = metrics.find(name);
  CHECK(position != std::string::npos);
  CHECK(std::stoul(metrics.substr(position + name.size())) > 0);
}

// Guards against lost requests and repeated runs when the platform and upstreams fail together.
TEST(Path, PlatformAndUpstreamFaultsRunNoOrderTwice)
{
  StartFleet(6, 2);
  const auto load = StartLoad(6);
  load->WaitForRequests(200);
  fleet_.ControlPlatform(R"({"lose_next_write_answers":20,"slow_ms":20})");
  fleet_.ControlUpstream(fleet_.Upstream(0), R"({"mode":"fail-fast"})");
  load->WaitForRequests(300);
  fleet_.ControlPlatform(R"({"slow_ms":0,"table_down":true})");
  fleet_.ControlUpstream(fleet_.Upstream(1), R"({"mode":"silent-after-run"})");
  load->WaitForRequests(300);
  fleet_.ControlPlatform(R"({"table_down":false})");
  load->WaitForRequests(300);
  const LoadResult result = load->Stop();
  CheckOrders(result, fleet_);
  CHECK_EQUAL(0, result.lost_);
  CHECK_EQUAL(0, result.mismatched_);
}

// Guards against a publish that does not reach every instance if the table fails right after it.
TEST(Path, PublishReachesFifteenInstancesAlthoughTheStoreFails)
{
  StartFleet(2, 15);
  const std::string text = MakeServiceFile("shop", "/orders/", "[deadline]\ndefault-ms = 1900\n");
  CHECK_EQUAL(0, fleet_.Publish("shop", text));
  fleet_.ControlPlatform(R"({"table_down":true,"list_down":true})");
  const auto start = std::chrono::steady_clock::now();
  fleet_.WaitForVersion("shop", 2);
  const Duration propagationTime = std::chrono::steady_clock::now() - start;
  std::printf("all 15 instances use the published version after %.0f ms\n",
              ToMilliseconds(propagationTime));
}

// Guards against lost requests and repeated runs caused by faults of upstreams.
TEST(Path, UpstreamFaultsLoseNoRequest)
{
  StartFleet(6, 2);
  const auto load = StartLoad(6);
  load->WaitForRequests(200);
  fleet_.ControlUpstream(fleet_.Upstream(0), R"({"mode":"fail-fast"})");
  fleet_.ControlUpstream(fleet_.Upstream(1), R"({"mode":"silent"})");
  fleet_.ControlUpstream(fleet_.Upstream(2), R"({"mode":"truncate"})");
  load->WaitForRequests(1500);
  const LoadResult result = load->Stop();
  CheckOrders(result, fleet_);
  CHECK_EQUAL(0, result.lost_);
  CHECK_EQUAL(0, result.mismatched_);
}

// Guards against upstreams that ask for a pause and go on getting requests: from the queues of
// connections, by retries, and when all of them pause. Real connections, one connection for each
// instance and upstream, so that requests wait for it.
TEST(Path, PausedUpstreamsGetNoRequests)
{
  constexpr int kMaxRequestsInPause = 2;
  StartFleet(3, 2);
  CHECK_EQUAL(
    0,
    fleet_.Publish(
      "shop", MakeServiceFile("shop", "/orders/", "[choice]\nconnections-per-upstream = 2\n")));
  fleet_.WaitForVersion("shop", 2);
  const auto load = StartLoad(24);
  load->WaitForRequests(200);
  for (const std::size_t pausing : { 1U, 2U, 3U, 3U }) {
    for (std::size_t i = 0; i < pausing; ++i) {
      fleet_.ControlUpstream(fleet_.Upstream(i), R"({"mode":"pause","retryAfter":"1.7"})");
    }
    load->WaitForRequests(400);
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    for (std::size_t i = 0; i < pausing; ++i) {
      fleet_.ControlUpstream(fleet_.Upstream(i), R"({"mode":"normal"})");
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2000));
    fleet_.WaitForStatus(fleet_.Instance(0), "/orders/0", 200);
    fleet_.WaitForStatus(fleet_.Instance(1), "/orders/0", 200);
    CHECK_COMPARE(fleet_.MostRequestsInPause(), <=, kMaxRequestsInPause);
  }
  const LoadResult result = load->Stop();
  CheckOrders(result, fleet_);
  CHECK_EQUAL(0, result.lost_);
}

} // namespace boragepier::testing
