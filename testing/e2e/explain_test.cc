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
  const std::string log_ = (fleet_.Directory() / "instance.log").string();

  void Prepare(const std::string& aServiceSettings)
  {
    fleet_.AddUpstream("shop", { "--service-time-ms", "1", "--slots", "1" });
    fleet_.AddInstance("[log]\nfile = " + log_ + "\n");
    CHECK_EQUAL(0, fleet_.Publish("shop", ServiceText("shop", "/orders/", aServiceSettings)));
    fleet_.WaitForStatus(fleet_.Instance(0), "/orders/0", 200);
  }

  // Sends an order that must fail, and returns the cause that the log alone gives for it.
  std::string CauseOfFailure()
  {
    http::Request order{ "POST", "/orders/1", {}, "order" };
    order.headers_.Add(kIdempotencyKeyHeader, "key-1");
    const auto result = fleet_.Client().Send(fleet_.Instance(0).caller_, order);
    CHECK(result.response_.status_ != 200);
    const std::string id(result.response_.headers_.Get(kRequestIdHeader).value_or(""));
    return TraceWithEnd(id).cause_;
  }

  // The instance writes the line of the end after it has answered.
  ctl::RequestTrace TraceWithEnd(const std::string& aId) const
  {
    const auto limit = std::chrono::steady_clock::now() + ChildProcess::kPatience;
    while (true) {
      ctl::RequestTrace trace = TraceRequest(ReadLog(), aId);
      const bool ended =
        std::any_of(trace.lines_.begin(), trace.lines_.end(), [](const ctl::LogLine& aLine) {
          return aLine.eventId_ == static_cast<int>(EventId::RequestEnded);
        });
      if (ended || std::chrono::steady_clock::now() > limit) {
        return trace;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

  std::vector<ctl::LogLine> ReadLog() const
  {
    std::vector<ctl::LogLine> lines;
    std::ifstream input(log_);
    std::string text;
    while (std::getline(input, text)) {
      if (auto line = ctl::ParseLogLine(text)) {
        lines.push_back(*std::move(line));
      }
    }
    return lines;
  }

  static void CheckNames(const std::string& aCause, std::initializer_list<const char*> aParts)
  {
    for (const char* const part : aParts) {
      CHECK_TEXT(aCause.find(part) != std::string::npos, (aCause + " lacks " + part).c_str());
    }
  }
};

// Guards against logs from which a lost answer cannot be traced to its upstream.
TEST(ExplainFromLogs, NameAnUpstreamThatNeverAnswers)
{
  Prepare("[deadline]\ndefault-ms = 300\n");
  fleet_.ControlUpstream(fleet_.Upstream(0), R"({"mode":"silent-after-run"})");
  CheckNames(CauseOfFailure(), { "lost", "u1", "timeout" });
}

TEST(ExplainFromLogs, NameAnUpstreamThatCutsItsAnswersOff)
{
  Prepare("");
  fleet_.ControlUpstream(fleet_.Upstream(0), R"({"mode":"truncate"})");
  CheckNames(CauseOfFailure(), { "lost", "u1", "truncated" });
}

TEST(ExplainFromLogs, NameTheUnavailableStore)
{
  Prepare("");
  fleet_.ControlPlatform(R"({"table_down":true})");
  CheckNames(CauseOfFailure(), { "claim-store-unavailable" });
}

TEST(ExplainFromLogs, NameAMissingUpstream)
{
  Prepare("");
  fleet_.ControlUpstream(fleet_.Upstream(0), R"({"mode":"shed","limit":0})");
  fleet_.ControlUpstream(fleet_.Upstream(0), R"({"mode":"drain","forMs":0,"add":true})");
  CheckNames(CauseOfFailure(), { "without being run" });
}

} // namespace boragepier::testing
