#include "apps/boragepierctl/log_story.h"

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

// What happened to an upstream or an instance this long before a request may explain it: the time
// after which statistics of a minute ago have faded, and no more than a screen of lines.
constexpr double kAroundSeconds = 5;
constexpr std::size_t kMostAround = 20;
// An attempt explains a late answer if it took this share of the whole.
constexpr double kMainShare = 0.5;
// A machine with this pace or more is called slow; 1 is its usual pace.
constexpr double kSlow = 1.5;

bool
Is(const LogLine& aLine, EventId aEvent)
{
  return aLine.event_ == static_cast<int>(aEvent);
}

// Seconds of the day, for example of 2026-01-31T08:15:30.123Z.
double
SecondsOf(const LogLine& aLine)
{
  int hours = 0;
  int minutes = 0;
  double seconds = 0;
  char colon = 0;
  std::istringstream(aLine.time_.substr(11)) >> hours >> colon >> minutes >> colon >> seconds;
  return 3600 * hours + 60 * minutes + seconds;
}

std::string
Milliseconds(double aValue)
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(aValue < 10 ? 1 : 0) << aValue << " ms";
  return text.str();
}

std::string
Text(const LogLine& aLine, std::string_view aField)
{
  return std::string(aLine.Field(aField));
}

std::string
DescribeStart(const LogLine& aLine)
{
  const double age = aLine.Number("reportAgeMs");
  const std::string reason = Text(aLine, "reason");
  std::string text = "attempt " + Text(aLine, "attempt") + " sent to " + Text(aLine, "upstream") +
                     " " + Milliseconds(aLine.Number("afterMs")) + " after arrival";
  text += reason == "first" ? "" : ", because of " + reason;
  text += "; it had " + Text(aLine, "own") + " requests of this instance and about " +
          Text(aLine, "others") + " of others, pace " + Text(aLine, "slowness") + ", told " +
          Milliseconds(age) + " before; " + Text(aLine, "known") + " upstreams known";
  return text;
}

std::string
DescribeAttemptEnd(const LogLine& aLine)
{
  std::string text = "attempt at " + Text(aLine, "upstream") + " ended after " +
                     Milliseconds(aLine.Number("latencyMs")) + ": " + Text(aLine, "outcome");
  if (aLine.Field("failure") != "none") {
    text += ", " + Text(aLine, "failure");
  }
  if (aLine.Number("status") > 0) {
    text += ", status " + Text(aLine, "status");
  }
  return text;
}

std::string
DescribeEnd(const LogLine& aLine)
{
  std::string text = "request to " + Text(aLine, "service") + " " + Text(aLine, "path") +
                     " ended after " + Milliseconds(aLine.Number("latencyMs")) + " of " +
                     Milliseconds(aLine.Number("deadlineMs")) + ": " + Text(aLine, "outcome");
  if (aLine.Field("reason") != "none") {
    text += ", " + Text(aLine, "reason");
  }
  text += ", " + Text(aLine, "attempts") + " attempts, waited " +
          Milliseconds(aLine.Number("queuedMs")) + " in the queue, configuration " +
          Text(aLine, "config");
  if (aLine.Number("retryAfterMs") > 0) {
    text += ", Retry-After " + Milliseconds(aLine.Number("retryAfterMs"));
  }
  return text;
}

std::string
Describe(const LogLine& aLine)
{
  if (Is(aLine, EventId::AttemptStarted)) {
    return DescribeStart(aLine);
  }
  if (Is(aLine, EventId::AttemptEnded)) {
    return DescribeAttemptEnd(aLine);
  }
  if (Is(aLine, EventId::RequestEnded)) {
    return DescribeEnd(aLine);
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
    aLines.rbegin(), aLines.rend(), [&](const LogLine& aLine) { return Is(aLine, aEvent); });
  return found == aLines.rend() ? nullptr : &*found;
}

// Start of the attempt at the same upstream that ended with aEnd.
const LogLine*
StartOf(const std::vector<LogLine>& aLines, const LogLine& aEnd)
{
  const auto found = std::find_if(aLines.rbegin(), aLines.rend(), [&](const LogLine& aLine) {
    return Is(aLine, EventId::AttemptStarted) && aLine.Field("upstream") == aEnd.Field("upstream");
  });
  return found == aLines.rend() ? nullptr : &*found;
}

std::string
CauseOfRefusal(const LogLine& aEnd)
{
  std::string cause = "refused (" + Text(aEnd, "reason") + ") without being run";
  if (aEnd.Number("candidates") > 0) {
    cause += ": of " + Text(aEnd, "candidates") + " upstreams " + Text(aEnd, "slow") +
             " were slow, the best of the others promised a slot after " +
             Milliseconds(aEnd.Number("leastWaitMs")) + "; the request had waited " +
             Milliseconds(aEnd.Number("queuedMs"));
  } else if (aEnd.Field("reason") == "no-route") {
    cause += ": configuration " + Text(aEnd, "config") + " has no route for host and path";
  } else if (aEnd.Field("reason") == "no-upstream") {
    cause += ": no upstream of the service was known";
  } else if (aEnd.Field("reason") == "not-configured") {
    cause += ": the instance had started and did not have a configuration yet";
  }
  return cause;
}

// The attempt that explains a request whose outcome is unknown: one that had failed before the
// others were cancelled.
std::string
CauseOfLoss(const std::vector<LogLine>& aLines, const LogLine& aEnd)
{
  std::string cause = "lost (" + Text(aEnd, "reason") + ")";
  std::string failures;
  for (const LogLine& line : aLines) {
    if (Is(line, EventId::AttemptEnded) && line.Field("failure") != "none") {
      failures += (failures.empty() ? ": " : "; then ") + Text(line, "upstream") + " failed with " +
                  Text(line, "failure") + " after " + Milliseconds(line.Number("latencyMs"));
    }
  }
  return cause + failures + "; it may have run";
}

std::string
CauseOfDuration(const std::vector<LogLine>& aLines, const LogLine& aEnd)
{
  const double whole = aEnd.Number("latencyMs");
  if (aEnd.Number("queuedMs") >= kMainShare * whole) {
    return "most of the time passed in the queue: every upstream was full or too slow";
  }
  const LogLine* longest = nullptr;
  for (const LogLine& line : aLines) {
    const bool longer =
      longest == nullptr || line.Number("latencyMs") > longest->Number("latencyMs");
    longest = Is(line, EventId::AttemptEnded) && longer ? &line : longest;
  }
  if (longest == nullptr || longest->Number("latencyMs") < kMainShare * whole) {
    return "several attempts one after the other";
  }
  std::string cause = "most of the time passed at " + Text(*longest, "upstream");
  if (const LogLine* const start = StartOf(aLines, *longest)) {
    const double pace = start->Number("slowness");
    cause += pace >= kSlow
               ? ", which was slow when it was chosen (pace " + Text(*start, "slowness") + ")"
               : ", which had its usual pace when it was chosen and " + Text(*start, "own") +
                   " requests of this instance";
  }
  if (longest->Field("failure") != "none") {
    cause += "; the attempt failed with " + Text(*longest, "failure");
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
    return "the caller left; until then " + CauseOfDuration(aLines, *end);
  }
  if (end->Field("outcome") == "not-run") {
    return CauseOfRefusal(*end);
  }
  if (end->Field("outcome") == "unknown") {
    return CauseOfLoss(aLines, *end);
  }
  return CauseOfDuration(aLines, *end);
}

// Whether a line tells of an upstream or of the instance itself rather than of a request.
bool
IsAround(const LogLine& aLine,
         const std::set<std::string_view>& aUpstreams,
         const std::set<std::string_view>& aSources)
{
  if (!aLine.Field("request").empty() || !aSources.contains(aLine.source_)) {
    return false;
  }
  const bool aboutUpstream =
    aUpstreams.contains(aLine.Field("upstream")) || aUpstreams.contains(aLine.Field("subject"));
  const bool aboutInstance = Is(aLine, EventId::ConfigAccepted) ||
                             Is(aLine, EventId::StoreUnreachable) ||
                             Is(aLine, EventId::StoreReachable) || aLine.event_ < 2000;
  return aboutUpstream || aboutInstance;
}

bool
IsEarlier(const LogLine& aLeft, const LogLine& aRight)
{
  return aLeft.time_ < aRight.time_;
}

} // namespace

RequestStory
FindStory(const std::vector<LogLine>& aLines, std::string_view aId)
{
  RequestStory story;
  std::copy_if(aLines.begin(),
               aLines.end(),
               std::back_inserter(story.lines_),
               [&](const LogLine& aLine) { return aLine.Field("request") == aId; });
  if (story.lines_.empty()) {
    return story;
  }
  std::stable_sort(story.lines_.begin(), story.lines_.end(), IsEarlier);
  std::set<std::string_view> upstreams;
  std::set<std::string_view> sources;
  for (const LogLine& line : story.lines_) {
    sources.insert(line.source_);
    if (const auto upstream = line.Field("upstream"); !upstream.empty()) {
      upstreams.insert(upstream);
    }
  }
  const double first = SecondsOf(story.lines_.front()) - kAroundSeconds;
  const std::string& last = story.lines_.back().time_;
  for (const LogLine& line : aLines) {
    if (line.time_ <= last && SecondsOf(line) >= first && IsAround(line, upstreams, sources)) {
      story.around_.push_back(line);
    }
  }
  std::stable_sort(story.around_.begin(), story.around_.end(), IsEarlier);
  if (story.around_.size() > kMostAround) {
    story.around_.erase(story.around_.begin(), story.around_.end() - kMostAround);
  }
  story.cause_ = CauseOf(story.lines_);
  return story;
}

void
WriteStory(const RequestStory& aStory, std::ostream& aOutput)
{
  const auto write = [&](const LogLine& aLine) {
    aOutput << aLine.time_ << " " << aLine.source_ << (aLine.source_.empty() ? "" : " ")
            << Describe(aLine) << "\n";
  };
  if (!aStory.around_.empty()) {
    aOutput << "before and during it:\n";
    std::for_each(aStory.around_.begin(), aStory.around_.end(), write);
  }
  aOutput << "the request:\n";
  std::for_each(aStory.lines_.begin(), aStory.lines_.end(), write);
  aOutput << "cause: " << aStory.cause_ << "\n";
}

void
WriteLogSummary(const std::vector<LogLine>& aLines, bool aJson, std::ostream& aOutput)
{
  using Counts = std::map<std::string, std::uint64_t>;
  std::map<std::string, Counts> tables;
  std::uint64_t requests = 0;
  std::uint64_t leftOut = 0;
  for (const LogLine& line : aLines) {
    if (Is(line, EventId::RequestEnded)) {
      ++requests;
      const bool left = line.Field("abandoned") == "true";
      if (!left && line.Field("reason") == "none") {
        continue;
      }
      const std::string reason = left ? "caller-left" : Text(line, "reason");
      ++tables["requests by reason"][reason + " " + Text(line, "outcome")];
      ++tables["requests by service"]
              [line.Field("service").empty() ? "(none)" : Text(line, "service")];
      ++tables["requests by second"][line.time_.substr(0, 19) + "Z"];
    } else if (Is(line, EventId::AttemptEnded) && line.Field("failure") != "none" &&
               line.Field("failure") != "cancelled") {
      ++tables["attempts by failure"][Text(line, "failure")];
      ++tables["attempts by upstream"][Text(line, "upstream")];
    } else if (Is(line, EventId::EventsLeftOut)) {
      leftOut += static_cast<std::uint64_t>(line.Number("count"));
    }
  }
  if (aJson) {
    aOutput << nlohmann::json{ { "requests", requests },
                               { "eventsLeftOut", leftOut },
                               { "failed", tables } }
                 .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
            << "\n";
    return;
  }
  aOutput << requests << " ends of requests read, " << leftOut << " events left out by instances\n";
  for (const auto& [title, counts] : tables) {
    aOutput << "\nfailed " << title << "\n";
    for (const auto& [name, count] : counts) {
      aOutput << std::setw(8) << count << "  " << name << "\n";
    }
  }
}

} // namespace boragepier::ctl
