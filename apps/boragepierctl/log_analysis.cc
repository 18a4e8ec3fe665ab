#include "apps/boragepierctl/log_analysis.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <ostream>
#include <set>
#include <sstream>

#include <nlohmann/json.hpp>

#include "boragepier/telemetry/events.h"

namespace boragepier::ctl {

namespace {

// Context lines start this long before the first line of the request. Earlier events hardly
// affect the statistics from which upstreams are chosen.
constexpr double kContextWindowSeconds = 5;
constexpr std::size_t kMaxContextLines = 20; // about one screen
// An attempt, or the wait in the queue, explains the duration of a request if it took at least this
// share of it.
constexpr double kDominantShare = 0.5;
// Slowness from which an upstream is described as slow. Slowness is the service time as a multiple
// of the usual one; it is 0 without a load report.
constexpr double kSlownessThreshold = 1.5;

bool
IsEvent(const LogLine& aLine, EventId aEvent)
{
  return aLine.eventId_ == static_cast<int>(aEvent);
}

// Returns the seconds since midnight UTC of the time of a line.
double
SecondsOfDay(const LogLine& aLine)
{
  int hours = 0;
  int minutes = 0;
  double seconds = 0;
  char colon = 0;
  std::istringstream(aLine.time_.substr(11)) >> hours >> colon >> minutes >> colon >> seconds;
  return 3600 * hours + 60 * minutes + seconds;
}

std::string
FormatMs(double aMilliseconds)
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(aMilliseconds < 10 ? 1 : 0) << aMilliseconds << " ms";
  return text.str();
}

std::string
TextField(const LogLine& aLine, std::string_view aField)
{
  return std::string(aLine.Field(aField));
}

std::string
DescribeAttemptStart(const LogLine& aLine)
{
  const double reportAgeMs = aLine.Number("reportAgeMs");
  const std::string reason = TextField(aLine, "reason");
  std::string text = "attempt " + TextField(aLine, "attempt") + " sent to " +
                     TextField(aLine, "upstream") + " " + FormatMs(aLine.Number("afterMs")) +
                     " after arrival";
  text += reason == "first" ? "" : ", reason " + reason;
  text += "; the upstream had " + TextField(aLine, "own") +
          " requests in flight from this instance and about " + TextField(aLine, "others") +
          " from others, slowness " + TextField(aLine, "slowness") + ", reported " +
          FormatMs(reportAgeMs) + " earlier; " + TextField(aLine, "known") + " upstreams known";
  return text;
}

std::string
DescribeAttemptEnd(const LogLine& aLine)
{
  std::string text = "attempt at " + TextField(aLine, "upstream") + " ended after " +
                     FormatMs(aLine.Number("latencyMs")) + ": " + TextField(aLine, "outcome");
  if (aLine.Field("failure") != "none") {
    text += ", " + TextField(aLine, "failure");
  }
  if (aLine.Number("status") > 0) {
    text += ", status " + TextField(aLine, "status");
  }
  return text;
}

std::string
DescribeRequestEnd(const LogLine& aLine)
{
  std::string text = "request to " + TextField(aLine, "service") + " " + TextField(aLine, "path");
  if (!aLine.Field("team").empty()) {
    text += " of team " + TextField(aLine, "team");
  }
  text += " ended after " + FormatMs(aLine.Number("latencyMs")) + " of " +
          FormatMs(aLine.Number("deadlineMs")) + ": " + TextField(aLine, "outcome");
  if (aLine.Field("reason") != "none") {
    text += ", " + TextField(aLine, "reason");
  }
  text += ", " + TextField(aLine, "attempts") + " attempts, waited " +
          FormatMs(aLine.Number("queuedMs")) + " in the queue, configuration " +
          TextField(aLine, "config");
  if (aLine.Number("retryAfterMs") > 0) {
    text += ", Retry-After " + FormatMs(aLine.Number("retryAfterMs"));
  }
  return text;
}

std::string
DescribeLine(const LogLine& aLine)
{
  if (IsEvent(aLine, EventId::AttemptStarted)) {
    return DescribeAttemptStart(aLine);
  }
  if (IsEvent(aLine, EventId::AttemptEnded)) {
    return DescribeAttemptEnd(aLine);
  }
  if (IsEvent(aLine, EventId::RequestEnded)) {
    return DescribeRequestEnd(aLine);
  }
  std::string text = aLine.name_;
  for (const auto& [name, value] : aLine.fields_) {
    if (!value.empty()) {
      text.append(" ").append(name).append("=").append(value);
    }
  }
  return text;
}

const LogLine*
FindLast(const std::vector<LogLine>& aLines, EventId aEvent)
{
  const auto found = std::find_if(
    aLines.rbegin(), aLines.rend(), [&](const LogLine& aLine) { return IsEvent(aLine, aEvent); });
  return found == aLines.rend() ? nullptr : &*found;
}

// Finds the start of the attempt that ended with aEnd: the last one at the same upstream.
const LogLine*
FindAttemptStart(const std::vector<LogLine>& aLines, const LogLine& aEnd)
{
  const auto found = std::find_if(aLines.rbegin(), aLines.rend(), [&](const LogLine& aLine) {
    return IsEvent(aLine, EventId::AttemptStarted) &&
           aLine.Field("upstream") == aEnd.Field("upstream");
  });
  return found == aLines.rend() ? nullptr : &*found;
}

std::string
CauseOfRefusal(const LogLine& aEnd)
{
  std::string cause = "refused (" + TextField(aEnd, "reason") + ") without being run";
  if (aEnd.Number("candidates") > 0) {
    cause += ": of " + TextField(aEnd, "candidates") + " upstreams " + TextField(aEnd, "slow") +
             " were slow; the shortest expected wait for a slot at the others was " +
             FormatMs(aEnd.Number("leastWaitMs")) + "; the request had waited " +
             FormatMs(aEnd.Number("queuedMs"));
  } else if (aEnd.Field("reason") == "no-route") {
    cause += ": configuration " + TextField(aEnd, "config") + " has no route for host and path";
  } else if (aEnd.Field("reason") == "no-upstream") {
    cause += ": no upstream of the service was known";
  } else if (aEnd.Field("reason") == "not-configured") {
    cause += ": the instance had started but had no configuration yet";
  }
  return cause;
}

// Describes a request whose outcome is unknown: names each failed attempt in order, because
// attempts that failed earlier may explain it better than the last one, which may just have been
// cancelled.
std::string
CauseOfUnknownOutcome(const std::vector<LogLine>& aLines, const LogLine& aEnd)
{
  std::string cause = "answer lost (" + TextField(aEnd, "reason") + ")";
  std::string failures;
  for (const LogLine& line : aLines) {
    if (IsEvent(line, EventId::AttemptEnded) && line.Field("failure") != "none") {
      failures += (failures.empty() ? ": " : "; then ") + TextField(line, "upstream") +
                  " failed with " + TextField(line, "failure") + " after " +
                  FormatMs(line.Number("latencyMs"));
    }
  }
  return cause + failures + "; the request may have run";
}

std::string
CauseOfDuration(const std::vector<LogLine>& aLines, const LogLine& aEnd)
{
  const double totalMs = aEnd.Number("latencyMs");
  if (aEnd.Number("queuedMs") >= kDominantShare * totalMs) {
    return "most of the time was spent in the queue: every upstream was full or too slow";
  }
  const LogLine* longest = nullptr;
  for (const LogLine& line : aLines) {
    const bool isLonger =
      longest == nullptr || line.Number("latencyMs") > longest->Number("latencyMs");
    longest = IsEvent(line, EventId::AttemptEnded) && isLonger ? &line : longest;
  }
  if (longest == nullptr || longest->Number("latencyMs") < kDominantShare * totalMs) {
    return "the time was spent in several attempts, none of which took half of it";
  }
  std::string cause = "most of the time was spent at " + TextField(*longest, "upstream");
  if (const LogLine* const start = FindAttemptStart(aLines, *longest)) {
    const double slowness = start->Number("slowness");
    cause +=
      slowness >= kSlownessThreshold
        ? ", which was slow when it was chosen (slowness " + TextField(*start, "slowness") + ")"
        : ", which was not slow when it was chosen and had " + TextField(*start, "own") +
            " requests in flight from this instance";
  }
  if (longest->Field("failure") != "none") {
    cause += "; the attempt failed with " + TextField(*longest, "failure");
  }
  return cause;
}

std::string
CauseOf(const std::vector<LogLine>& aLines)
{
  const LogLine* const end = FindLast(aLines, EventId::RequestEnded);
  if (end == nullptr) {
    return "the end of the request is not in these logs: the instance was killed, or the line was "
           "left out (see events-left-out)";
  }
  if (end->Field("abandoned") == "true") {
    return "the caller abandoned the request; until then " + CauseOfDuration(aLines, *end);
  }
  if (end->Field("outcome") == "not-run") {
    return CauseOfRefusal(*end);
  }
  if (end->Field("outcome") == "unknown") {
    return CauseOfUnknownOutcome(aLines, *end);
  }
  return CauseOfDuration(aLines, *end);
}

// Whether a line of one of the sources is about one of the upstreams or about the instance itself,
// and not about a request. Events with numbers below 2000 concern the instance.
bool
IsContextLine(const LogLine& aLine,
              const std::set<std::string_view>& aUpstreams,
              const std::set<std::string_view>& aSources)
{
  if (!aLine.Field("request").empty() || !aSources.contains(aLine.source_)) {
    return false;
  }
  const bool aboutUpstream =
    aUpstreams.contains(aLine.Field("upstream")) || aUpstreams.contains(aLine.Field("subject"));
  const bool aboutInstance = IsEvent(aLine, EventId::ConfigAccepted) ||
                             IsEvent(aLine, EventId::StoreUnreachable) ||
                             IsEvent(aLine, EventId::StoreReachable) || aLine.eventId_ < 2000;
  return aboutUpstream || aboutInstance;
}

bool
IsEarlier(const LogLine& aLeft, const LogLine& aRight)
{
  return aLeft.time_ < aRight.time_;
}

} // namespace

RequestTrace
TraceRequest(const std::vector<LogLine>& aLines, std::string_view aRequestId)
{
  RequestTrace trace;
  std::copy_if(aLines.begin(),
               aLines.end(),
               std::back_inserter(trace.lines_),
               [&](const LogLine& aLine) { return aLine.Field("request") == aRequestId; });
  if (trace.lines_.empty()) {
    return trace;
  }
  std::stable_sort(trace.lines_.begin(), trace.lines_.end(), IsEarlier);
  std::set<std::string_view> upstreams;
  std::set<std::string_view> sources;
  for (const LogLine& line : trace.lines_) {
    sources.insert(line.source_);
    if (const auto upstream = line.Field("upstream"); !upstream.empty()) {
      upstreams.insert(upstream);
    }
  }
  const double contextStart = SecondsOfDay(trace.lines_.front()) - kContextWindowSeconds;
  const std::string& lastTime = trace.lines_.back().time_;
  for (const LogLine& line : aLines) {
    if (line.time_ <= lastTime && SecondsOfDay(line) >= contextStart &&
        IsContextLine(line, upstreams, sources)) {
      trace.contextLines_.push_back(line);
    }
  }
  std::stable_sort(trace.contextLines_.begin(), trace.contextLines_.end(), IsEarlier);
  if (trace.contextLines_.size() > kMaxContextLines) {
    trace.contextLines_.erase(trace.contextLines_.begin(),
                              trace.contextLines_.end() - kMaxContextLines);
  }
  trace.cause_ = CauseOf(trace.lines_);
  return trace;
}

void
WriteRequestTrace(const RequestTrace& aTrace, std::ostream& aOutput)
{
  const auto write = [&](const LogLine& aLine) {
    aOutput << aLine.time_ << " " << aLine.source_ << (aLine.source_.empty() ? "" : " ")
            << DescribeLine(aLine) << "\n";
  };
  if (!aTrace.contextLines_.empty()) {
    aOutput << "upstreams and instances before and during the request:\n";
    std::for_each(aTrace.contextLines_.begin(), aTrace.contextLines_.end(), write);
  }
  aOutput << "the request:\n";
  std::for_each(aTrace.lines_.begin(), aTrace.lines_.end(), write);
  aOutput << "cause: " << aTrace.cause_ << "\n";
}

void
WriteLogSummary(const std::vector<LogLine>& aLines, bool aJson, std::ostream& aOutput)
{
  using Counts = std::map<std::string, std::uint64_t>;
  std::map<std::string, Counts> tables;
  Counts routed;
  std::uint64_t requests = 0;
  std::uint64_t leftOut = 0;
  for (const LogLine& line : aLines) {
    if (IsEvent(line, EventId::RequestEnded)) {
      ++requests;
      if (!line.Field("route").empty()) {
        ++routed[TextField(line, "route") + " config=" + TextField(line, "config") + " " +
                 TextField(line, "service")];
      }
      const bool abandoned = line.Field("abandoned") == "true";
      if (!abandoned && line.Field("reason") == "none") {
        continue;
      }
      const std::string reason = abandoned ? "caller-left" : TextField(line, "reason");
      ++tables["requests by reason"][reason + " " + TextField(line, "outcome")];
      ++tables["requests by service"]
              [line.Field("service").empty() ? "(none)" : TextField(line, "service")];
      if (!line.Field("team").empty()) {
        ++tables["requests by team and reason"][TextField(line, "team") + " " + reason];
      }
      ++tables["requests by second"][line.time_.substr(0, 19) + "Z"];
    } else if (IsEvent(line, EventId::AttemptEnded) && line.Field("failure") != "none" &&
               line.Field("failure") != "cancelled") {
      ++tables["attempts by failure"][TextField(line, "failure")];
      ++tables["attempts by upstream"][TextField(line, "upstream")];
    } else if (IsEvent(line, EventId::EventsLeftOut)) {
      leftOut += static_cast<std::uint64_t>(line.Number("count"));
    }
  }
  if (aJson) {
    aOutput << nlohmann::json{ { "requests", requests },
                               { "eventsLeftOut", leftOut },
                               { "failed", tables },
                               { "routed", routed } }
                 .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
            << "\n";
    return;
  }
  aOutput << requests << " requests ended, " << leftOut << " events left out by instances\n";
  const auto writeTable = [&](const std::string& aTitle, const Counts& aCounts) {
    aOutput << "\n" << aTitle << "\n";
    for (const auto& [name, count] : aCounts) {
      aOutput << std::setw(8) << count << "  " << name << "\n";
    }
  };
  for (const auto& [title, counts] : tables) {
    writeTable("failed " + title, counts);
  }
  if (!routed.empty()) {
    writeTable("requests by route, configuration and service", routed);
  }
}

} // namespace boragepier::ctl
