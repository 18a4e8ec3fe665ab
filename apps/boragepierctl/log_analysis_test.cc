#include "apps/boragepierctl/log_analysis.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

namespace boragepier::ctl {

namespace {

std::vector<LogLine>
ParseLog(const std::string& aText)
{
  std::vector<LogLine> lines;
  std::istringstream input(aText);
  std::string text;
  while (std::getline(input, text)) {
    if (auto line = ParseLogLine(text)) {
      lines.push_back(*std::move(line));
    }
  }
  return lines;
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

// Log of request r-1, which was sent to an upstream that had become slow, and of events that its
// instance recorded before. The lines of the second instance concern other requests.
constexpr const char* kSlowUpstreamLog =
  R"(front-2 2026-01-21T04:06:24.001Z INFO event=5007 name=directory-source source=store
front-1 2026-01-21T04:06:24.101Z INFO event=2001 name=config-accepted subject=7 detail="" source=store
front-1 2026-01-21T04:06:24.201Z INFO event=4003 name=upstream-leaving subject=u-1 detail=orders source=store
front-1 2026-01-21T04:06:25.198Z INFO event=6005 name=attempt-started request=r-1 service=orders attempt=1 reason=first upstream=u-1 afterMs=1.5 own=2 others=0 slowness=7 reportAgeMs=9.8723 standing=1 known=15
front-2 2026-01-21T04:06:25.200Z INFO event=6005 name=attempt-started request=r-2 service=orders attempt=1 reason=first upstream=u-1 afterMs=1.5 own=0 others=0 slowness=1 reportAgeMs=3 standing=1 known=15
front-1 2026-01-21T04:06:26.198Z INFO event=6006 name=attempt-ended request=r-1 upstream=u-1 outcome=answered failure=none status=200 latencyMs=1000
front-1 2026-01-21T04:06:26.199Z INFO event=6007 name=request-ended request=r-1 service=orders path=/a config=7 outcome=answered reason=none abandoned=false latencyMs=1002 queuedMs=1.2 deadlineMs=2000 retryAfterMs=0 attempts=1
)";

} // namespace

TEST_GROUP(LogLine){};

// Guards against values with spaces or escaped quotes that shift the fields after them.
TEST(LogLine, SourceAndQuotedValuesAreParsed)
{
  const auto line = ParseLogLine(
    R"(  12.5 host-3 2026-01-31T08:15:30.123Z WARN event=2002 name=config-rejected error="a \"b\" c" x=-1.5)");
  CHECK(line.has_value());
  STRCMP_EQUAL("host-3", line->source_.c_str());
  STRCMP_EQUAL("WARN", line->level_.c_str());
  CHECK_EQUAL(2002, line->eventId_);
  CHECK(line->Field("error") == "a \"b\" c");
  DOUBLES_EQUAL(-1.5, line->Number("x"), 0);
  CHECK(line->Field("y").empty());
}

TEST(LogLine, LinesThatAreNotEventsAreSkipped)
{
  for (const char* const text : { "",
                                  "listening 8080",
                                  "2026-01-31T08:15:30.123Z INFO started",
                                  "2026-01-31T08:15:30.123Z" }) {
    CHECK(!ParseLogLine(text));
  }
}

TEST_GROUP(LogAnalysis){};

TEST(LogAnalysis, RequestLinesAndContextOfItsUpstreamsAreFound)
{
  const RequestTrace trace = TraceRequest(ParseLog(kSlowUpstreamLog), "r-1");
  CHECK_EQUAL(3, trace.lines_.size());
  CHECK_EQUAL(2, trace.contextLines_.size());
  CHECK(Contains(trace.cause_, "u-1"));
  CHECK(Contains(trace.cause_, "slow when it was chosen (slowness 7)"));
  std::ostringstream text;
  WriteRequestTrace(trace, text);
  CHECK(Contains(text.str(), "upstream-leaving subject=u-1"));
  CHECK(Contains(text.str(), "cause: "));
  CHECK(TraceRequest(ParseLog(kSlowUpstreamLog), "r-3").lines_.empty());
}

TEST(LogAnalysis, CauseOfARefusalNamesReasonAndWaits)
{
  const auto trace = TraceRequest(
    ParseLog(
      "2026-01-21T04:06:26.199Z INFO event=6007 name=request-ended request=r service=s path=/a "
      "config=7 outcome=not-run reason=overloaded abandoned=false latencyMs=3 queuedMs=1 "
      "deadlineMs=800 retryAfterMs=1200 attempts=0 candidates=12 slow=5 leastWaitMs=950\n"),
    "r");
  CHECK(Contains(trace.cause_, "overloaded"));
  CHECK(Contains(trace.cause_, "950 ms"));
  CHECK(Contains(trace.cause_, "of 12 upstreams 5 were slow"));
  CHECK(Contains(trace.cause_, "had waited 1.0 ms"));
}

// Guards against a cause that names only the last failed attempt.
TEST(LogAnalysis, CauseOfAnUnknownOutcomeNamesEachFailedAttempt)
{
  const auto trace = TraceRequest(
    ParseLog(
      "2026-01-21T04:06:26.100Z INFO event=6006 name=attempt-ended request=r upstream=u-1 "
      "outcome=not-run failure=connect-failed status=0 latencyMs=3\n"
      "2026-01-21T04:06:26.198Z INFO event=6006 name=attempt-ended request=r upstream=u-2 "
      "outcome=unknown failure=connection-lost status=0 latencyMs=90\n"
      "2026-01-21T04:06:26.199Z INFO event=6007 name=request-ended request=r service=s path=/a "
      "config=7 outcome=unknown reason=upstream-lost abandoned=false latencyMs=99 queuedMs=1 "
      "deadlineMs=800 retryAfterMs=0 attempts=2\n"),
    "r");
  CHECK(Contains(trace.cause_, "u-1 failed with connect-failed"));
  CHECK(Contains(trace.cause_, "u-2 failed with connection-lost"));
}

// Guards against a cause derived from incomplete logs, for example after the instance was killed.
TEST(LogAnalysis, MissingRequestEndIsReported)
{
  const auto trace = TraceRequest(
    ParseLog(
      "2026-01-21T04:06:26.100Z INFO event=6005 name=attempt-started request=r upstream=u-1\n"),
    "r");
  CHECK(Contains(trace.cause_, "the end of the request is not in these logs"));
}

TEST(LogAnalysis, SummaryCountsFailuresAndLeftOutEvents)
{
  const auto lines = ParseLog(
    std::string(kSlowUpstreamLog) +
    "2026-01-21T04:06:26.199Z INFO event=6007 name=request-ended request=r service=s path=/a "
    "config=7 outcome=not-run reason=overloaded abandoned=false latencyMs=3\n"
    "2026-01-21T04:06:26.100Z INFO event=6006 name=attempt-ended request=r upstream=u-2 "
    "outcome=unknown failure=timeout status=0 latencyMs=3\n"
    "2026-01-21T04:06:26.100Z INFO event=6006 name=attempt-ended request=r upstream=u-3 "
    "outcome=unknown failure=cancelled status=0 latencyMs=3\n"
    "2026-01-21T04:06:27.100Z WARN event=1009 name=events-left-out of-event=6007 count=40\n");
  std::ostringstream json;
  WriteLogSummary(lines, true, json);
  CHECK(Contains(json.str(), "\"eventsLeftOut\":40"));
  CHECK(Contains(json.str(), "\"overloaded not-run\":1"));
  CHECK(Contains(json.str(), "\"u-2\":1"));
  CHECK(!Contains(json.str(), "cancelled"));
  std::ostringstream text;
  WriteLogSummary(lines, false, text);
  CHECK(Contains(text.str(), "2 requests ended, 40 events left out"));
}

// Guards against a team over its limits that cannot be told from the logs.
TEST(LogAnalysis, TeamsAreShown)
{
  const auto lines =
    ParseLog("2026-01-21T04:06:26.199Z INFO event=6007 name=request-ended request=r service=s "
             "team=north path=/a config=7 outcome=not-run reason=quota-exceeded abandoned=false\n");
  std::ostringstream text;
  WriteLogSummary(lines, false, text);
  CHECK(Contains(text.str(), "failed requests by team and reason"));
  CHECK(Contains(text.str(), "1  north quota-exceeded"));
  std::ostringstream trace;
  WriteRequestTrace(TraceRequest(lines, "r"), trace);
  CHECK(Contains(trace.str(), "request to s /a of team north ended"));
}

// Guards against a split whose shares cannot be told from the logs.
TEST(LogAnalysis, SummaryCountsRequestsByRouteVersionAndService)
{
  std::string log;
  for (const char* service : { "a", "b", "a" }) {
    log += std::string("2026-01-21T04:06:26.199Z INFO event=6007 name=request-ended request=r ") +
           "service=" + service + " route=split path=/a config=7 outcome=answered reason=none\n";
  }
  std::ostringstream json;
  WriteLogSummary(ParseLog(log), true, json);
  CHECK(Contains(json.str(), "\"split config=7 a\":2"));
  CHECK(Contains(json.str(), "\"split config=7 b\":1"));
  std::ostringstream text;
  WriteLogSummary(ParseLog(log), false, text);
  CHECK(Contains(text.str(), "       2  split config=7 a\n"));
}

} // namespace boragepier::ctl
