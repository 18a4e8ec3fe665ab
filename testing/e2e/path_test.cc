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

// Short grace: the test takes instances off the callers' list before it ends them.
const std::string kDrainSettings = "[traffic]\ndrain-grace-ms = 300\ndrain-limit-ms = 20000\n";

const LoadRunner::Paths kPaths = { { "/orders/" }, { "/orders/" } };

http::Request
Order(const std::string& aKey, const std::string& aBody = "order")
{
  http::Request request{ "POST", "/orders/1", {}, aBody };
  request.headers_.Add(kIdempotencyKeyHeader, aKey);
  return request;
}

std::string
OutcomeOf(const http::SendResult& aResult)
{
  return std::string(aResult.response_.headers_.Get(kOutcomeHeader).value_or("none"));
}

// Every order that was answered ran once, none ran twice, and none that was refused as not run ran.
void
CheckOrders(const LoadResult& aResult, Fleet& aFleet)
{
  std::map<std::string, int> runs;
  for (const auto& [key, count] : aFleet.RunsByKey()) {
    runs[key] = count;
    CHECK_TEXT(count <= 1, key.c_str());
  }
  for (const auto& [key, outcome] : aResult.orders_) {
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
  CHECK_EQUAL(0, aResult.wrong_);
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
  for (std::size_t i = 0; i < aFleet.Instances(); ++i) {
    ports.push_back(aFleet.Instance(i).caller_);
  }
  return ports;
}

} // namespace

TEST_GROUP(Path)
{
  Fleet fleet_;

  void Prepare(int aUpstreams, int aInstances)
  {
    for (int i = 0; i < aUpstreams; ++i) {
      fleet_.AddUpstream("shop", { "--service-time-ms", "1" });
    }
    for (int i = 0; i < aInstances; ++i) {
      fleet_.AddInstance(kDrainSettings);
    }
    CHECK_EQUAL(0, fleet_.Publish("shop", ServiceText("shop", "/orders/")));
    fleet_.WaitForVersion("shop", 1);
    for (int i = 0; i < aInstances; ++i) {
      fleet_.WaitForStatus(fleet_.Instance(static_cast<std::size_t>(i)), "/orders/0", 200);
    }
  }

  std::unique_ptr<LoadRunner> StartLoad(int aCallers)
  {
    auto load = std::make_unique<LoadRunner>("load", aCallers, kPaths);
    load->SetTargets(CallerPorts(fleet_));
    load->Start();
    return load;
  }
};

TEST(Path, LookupsAndOrdersPassThroughAllInstances)
{
  Prepare(4, 3);
  const auto load = StartLoad(8);
  load->WaitForRequests(1000);
  const LoadResult result = load->Stop();
  CheckNoErrors(result);
  CheckOrders(result, fleet_);
}

// Guards against an order that runs twice because its caller repeats it through another instance.
TEST(Path, AKeySentThroughAllInstancesAtOnceRunsOnce)
{
  Prepare(4, 3);
  for (int round = 0; round < 20; ++round) {
    const std::string key = "same-" + std::to_string(round);
    std::vector<std::future<http::SendResult>> copies;
    for (int copy = 0; copy < 6; ++copy) {
      const std::uint16_t port = fleet_.Instance(static_cast<std::size_t>(copy % 3)).caller_;
      copies.push_back(std::async(std::launch::async,
                                  [&, port] { return fleet_.Client().Send(port, Order(key)); }));
    }
    int answered = 0;
    for (auto& copy : copies) {
      const std::string outcome = OutcomeOf(copy.get());
      answered += outcome == "answered" ? 1 : 0;
      CHECK_TEXT(outcome == "answered" || outcome == "unknown", outcome.c_str());
    }
    CHECK(answered >= 1);
    const http::SendResult repeat = fleet_.Client().Send(fleet_.Instance(0).caller_, Order(key));
    CHECK_TEXT(OutcomeOf(repeat) == "answered" || OutcomeOf(repeat) == "unknown", key.c_str());
    const auto other = fleet_.Client().Send(fleet_.Instance(1).caller_, Order(key, "another"));
    CHECK_EQUAL(422, other.response_.status_);
  }
  for (const auto& [key, count] : fleet_.RunsByKey()) {
    CHECK_EQUAL_TEXT(1, count, key.c_str());
  }
}

// Guards against requests that are refused or cut off because an upstream leaves.
TEST(Path, ADrainingUpstreamCausesNoError)
{
  Prepare(5, 3);
  const auto load = StartLoad(6);
  load->WaitForRequests(200);
  fleet_.ControlUpstream(fleet_.Upstream(0), R"({"mode":"drain","forMs":200})");
  load->WaitForRequests(1500);
  const LoadResult result = load->Stop();
  CheckNoErrors(result);
  CheckOrders(result, fleet_);
}

// Guards against requests that are cut off or refused when instances are replaced one by one.
TEST(Path, RollingReplacementOfAllInstancesCausesNoError)
{
  Prepare(5, 3);
  const auto load = StartLoad(6);
  for (std::size_t i = 0; i < 3; ++i) {
    load->WaitForRequests(200);
    RunningInstance& fresh = fleet_.AddInstance(kDrainSettings);
    fleet_.WaitForStatus(fresh, "/orders/0", 200);
    RunningInstance& old = fleet_.Instance(i);
    fleet_.Register(old, true);
    old.process_->Signal(SIGTERM);
    // The platform's balancer learns of it while the old instance still accepts.
    std::vector<std::uint16_t> ports = CallerPorts(fleet_);
    ports.erase(ports.begin(), ports.begin() + static_cast<std::ptrdiff_t>(i) + 1);
    load->SetTargets(ports);
    CHECK_EQUAL(0, old.process_->WaitForExit());
  }
  load->WaitForRequests(300);
  const LoadResult result = load->Stop();
  CheckNoErrors(result);
  CheckOrders(result, fleet_);
}

// Guards against a changed configuration that fails requests in progress.
TEST(Path, PublishingUnderLoadCausesNoError)
{
  Prepare(4, 3);
  const auto load = StartLoad(6);
  for (int version = 2; version <= 6; ++version) {
    load->WaitForRequests(100);
    const std::string deadline = std::to_string(2000 + version);
    const std::string text =
      ServiceText("shop", "/orders/", "[deadline]\ndefault-ms = " + deadline + "\n");
    CHECK_EQUAL(0, fleet_.Publish("shop", text));
    fleet_.WaitForVersion("shop", static_cast<std::uint64_t>(version));
  }
  const LoadResult result = load->Stop();
  CheckNoErrors(result);
  CheckOrders(result, fleet_);
}

// Guards against lookups that depend on the table, and against orders that run without a claim.
TEST(Path, WithoutTheTableLookupsGoOnAndOrdersAreRefusedTruly)
{
  Prepare(4, 2);
  fleet_.ControlPlatform(R"({"table_down":true,"list_down":true})");
  for (int i = 0; i < 50; ++i) {
    const auto lookup =
      fleet_.Client().Send(fleet_.Instance(0).caller_, { "GET", "/orders/9", {}, "" });
    CHECK_EQUAL(200, lookup.response_.status_);
  }
  const auto order = fleet_.Client().Send(fleet_.Instance(0).caller_, Order("outage"));
  CHECK_EQUAL(503, order.response_.status_);
  STRCMP_EQUAL("unknown", OutcomeOf(order).c_str());
  CHECK(fleet_.RunsByKey().empty());
  fleet_.ControlPlatform(R"({"table_down":false,"list_down":false})");
  const auto repeat = fleet_.Client().Send(fleet_.Instance(1).caller_, Order("outage"));
  STRCMP_EQUAL("answered", OutcomeOf(repeat).c_str());
}

// Guards against an instance that cannot start during an outage of the platform.
TEST(Path, AnInstanceThatStartsDuringAnOutageIsServedByItsPeers)
{
  Prepare(4, 2);
  fleet_.ControlPlatform(R"({"table_down":true,"list_down":true})");
  RunningInstance& fresh = fleet_.AddInstance(
    "[peers]\nseeds = 127.0.0.1:" + std::to_string(fleet_.Instance(0).peer_) + "\n");
  fleet_.WaitForVersion("shop", 1);
  fleet_.WaitForStatus(fresh, "/orders/0", 200);
}

// Guards against an order that is sent by an instance that was paused past its deadline, after the
// caller repeated it elsewhere.
TEST(Path, APausedInstanceDoesNotRunAnOrderTwice)
{
  Prepare(4, 3);
  const auto load = StartLoad(6);
  load->WaitForRequests(100);
  std::vector<std::future<http::SendResult>> paused;
  paused.reserve(10);
  fleet_.Instance(0).process_->Pause();
  for (int i = 0; i < 10; ++i) {
    paused.push_back(std::async(std::launch::async, [&, i] {
      return fleet_.Client().Send(fleet_.Instance(0).caller_, Order("paused-" + std::to_string(i)));
    }));
  }
  load->SetTargets({ fleet_.Instance(1).caller_, fleet_.Instance(2).caller_ });
  std::map<std::string, std::string> outcomes;
  for (int i = 0; i < 10; ++i) {
    const std::string key = "paused-" + std::to_string(i);
    outcomes[key] = OutcomeOf(fleet_.Client().Send(fleet_.Instance(1).caller_, Order(key)));
  }
  fleet_.Instance(0).process_->Signal(SIGCONT);
  for (auto& result : paused) {
    result.wait();
  }
  const LoadResult result = load->Stop();
  CheckOrders(result, fleet_);
  CHECK_EQUAL(0, result.wrong_);
  std::map<std::string, int> runs;
  for (const auto& [key, count] : fleet_.RunsByKey()) {
    runs[key] = count;
  }
  for (const auto& [key, outcome] : outcomes) {
    STRCMP_EQUAL("answered", outcome.c_str());
    CHECK_EQUAL_TEXT(1, runs[key], key.c_str());
  }
}

// Guards against a killed instance whose orders are lost silently or run again.
TEST(Path, AKilledInstanceLosesOnlyItsOwnConnections)
{
  Prepare(4, 3);
  const auto load = StartLoad(6);
  load->WaitForRequests(200);
  fleet_.Instance(0).process_->Signal(SIGKILL);
  load->SetTargets({ fleet_.Instance(1).caller_, fleet_.Instance(2).caller_ });
  load->WaitForRequests(500);
  const LoadResult result = load->Stop();
  CheckOrders(result, fleet_);
  CHECK_EQUAL(0, result.wrong_);
  CHECK_EQUAL(0, result.serverErrors_);
  CHECK(result.refusals_.empty());
  // Each caller can lose the requests that it sent before it learnt of the end.
  CHECK(result.lost_ <= 12);
}

// Guards against probes that run as requests, and against a budget that is never used.
TEST(Path, ProbesTakeNoSlotAndRunNothing)
{
  for (int i = 0; i < 3; ++i) {
    fleet_.AddUpstream("shop", { "--service-time-ms", "5" });
  }
  fleet_.AddInstance(kDrainSettings);
  const std::string budget =
    "[budget]\nprobes-per-upstream-second = 200\nretries = 0\nhedges = 0\n";
  CHECK_EQUAL(0, fleet_.Publish("shop", ServiceText("shop", "/orders/", budget)));
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
  const std::string metrics = fleet_.Client().Get(fleet_.Instance(0).admin_, "/metrics");
  const std::string name = "boragepier_probes_total{service=\"shop\"} ";
  const std::size_t position = metrics.find(name);
  CHECK(position != std::string::npos);
  CHECK(std::stoul(metrics.substr(position + name.size())) > 0);
}

// Guards against a platform and upstreams that fail at the same time.
TEST(Path, AnOutageTogetherWithFaultyUpstreamsDoublesNothing)
{
  Prepare(6, 2);
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
  CHECK_EQUAL(0, result.wrong_);
}

// Guards against a publish that does not reach every instance when the store fails right after it.
TEST(Path, FifteenInstancesTakeOverAPublishAlthoughTheStoreFails)
{
  Prepare(2, 15);
  const std::string text = ServiceText("shop", "/orders/", "[deadline]\ndefault-ms = 1900\n");
  CHECK_EQUAL(0, fleet_.Publish("shop", text));
  fleet_.ControlPlatform(R"({"table_down":true,"list_down":true})");
  const auto start = std::chrono::steady_clock::now();
  fleet_.WaitForVersion("shop", 2);
  const Duration spent = std::chrono::steady_clock::now() - start;
  std::printf("in force at 15 instances after %.0f ms\n", ToMilliseconds(spent));
}

// Guards against faults of upstreams that reach callers of lookups, or that double an order.
TEST(Path, FaultyUpstreamsAreSurvived)
{
  Prepare(6, 2);
  const auto load = StartLoad(6);
  load->WaitForRequests(200);
  fleet_.ControlUpstream(fleet_.Upstream(0), R"({"mode":"fail-fast"})");
  fleet_.ControlUpstream(fleet_.Upstream(1), R"({"mode":"silent"})");
  fleet_.ControlUpstream(fleet_.Upstream(2), R"({"mode":"truncate"})");
  load->WaitForRequests(1500);
  const LoadResult result = load->Stop();
  CheckOrders(result, fleet_);
  CHECK_EQUAL(0, result.lost_);
  CHECK_EQUAL(0, result.wrong_);
}

} // namespace boragepier::testing
