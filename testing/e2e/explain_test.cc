#include <algorithm>
#include <chrono>
#include <fstream>
#include <thread>

#include "apps/boragepierctl/log_analysis.h"
#include "boragepier/entry/request_checks.h"
#include "boragepier/telemetry/events.h"
#include "testing/e2e/fleet.h"

#include <CppUTest/TestHarness.h>

namespace boragepier::testing {

TEST_GROUP(ExplainFromLogs)
{
  Fleet fleet_;
  const std::string logPath_ = (fleet_.Directory() / "instance.log").string();

  void StartFleet(const std::string& aServiceSettings)
  {
    fleet_.AddUpstream("shop", { "--service-time-ms", "1", "--slots", "1" });
    fleet_.AddInstance("[log]\nfile = " + logPath_ + "\n");
    CHECK_EQUAL(0, fleet_.Publish("shop", MakeServiceFile("shop", "/orders/", aServiceSettings)));
    fleet_.WaitForStatus(fleet_.Instance(0), "/orders/0", 200);
  }

  // Sends an order that is expected to fail.
  // Returns the cause that is derived from the log file alone.
  std::string ExplainFailedOrder()
  {
    http::Request order{ "POST", "/orders/1", {}, "order" };
    order.headers_.Add(kIdempotencyKeyHeader, "key-1");
    const auto result = fleet_.Client().Send(fleet_.Instance(0).callerPort_, order);
    CHECK(result.response_.status_ != 200);
    const std::string id(result.response_.headers_.Get(kRequestIdHeader).value_or(""));
    return WaitForCompleteStory(id).cause_;
  }

  // Waits for the line of the end of the request, which the instance writes after it has responded.
  ctl::RequestTrace WaitForCompleteStory(const std::string& aId) const
  {
    const auto deadline = std::chrono::steady_clock::now() + ChildProcess::kTimeout;
    while (true) {
      ctl::RequestTrace trace = TraceRequest(ReadLog(), aId);
      const bool complete =
        std::any_of(trace.lines_.begin(), trace.lines_.end(), [](const ctl::LogLine& aLine) {
          return aLine.eventId_ == static_cast<int>(EventId::RequestEnded);
        });
      if (complete || std::chrono::steady_clock::now() > deadline) {
        return trace;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

  std::vector<ctl::LogLine> ReadLog() const
  {
    std::vector<ctl::LogLine> lines;
    std::ifstream input(logPath_);
    std::string text;
    while (std::getline(input, text)) {
      if (auto line = ctl::ParseLogLine(text)) {
        lines.push_back(*std::move(line));
      }
    }
    return lines;
  }

  static void CheckContainsAll(const std::string& aCause, std::initializer_list<const char*> aParts)
  {
    for (const char* const part : aParts) {
      CHECK_TEXT(aCause.find(part) != std::string::npos, (aCause + " lacks " + part).c_str());
    }
  }
};

// Guards against logs from which a lost response cannot be attributed to its upstream.
TEST(ExplainFromLogs, NameAnUpstreamThatDoesNotRespond)
{
  StartFleet("[deadline]\ndefault-ms = 300\n");
  fleet_.ControlUpstream(fleet_.Upstream(0), R"({"mode":"silent-after-run"})");
  CheckContainsAll(ExplainFailedOrder(), { "lost", "u1", "timeout" });
}

TEST(ExplainFromLogs, NameAnUpstreamThatTruncatesResponses)
{
  StartFleet("");
  fleet_.ControlUpstream(fleet_.Upstream(0), R"({"mode":"truncate"})");
  CheckContainsAll(ExplainFailedOrder(), { "lost", "u1", "truncated" });
}

TEST(ExplainFromLogs, NameTheUnavailableStore)
{
  StartFleet("");
  fleet_.ControlPlatform(R"({"table_down":true})");
  CheckContainsAll(ExplainFailedOrder(), { "claim-store-unavailable" });
}

TEST(ExplainFromLogs, NameTheRefusalOfTheOnlyUpstream)
{
  StartFleet("");
  fleet_.ControlUpstream(fleet_.Upstream(0), R"({"mode":"shed","limit":0})");
  fleet_.ControlUpstream(fleet_.Upstream(0), R"({"mode":"drain","forMs":0,"add":true})");
  CheckContainsAll(ExplainFailedOrder(), { "without being run" });
}

} // namespace boragepier::testing
