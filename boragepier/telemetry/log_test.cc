#include "boragepier/telemetry/log.h"

#include <cstdio>
#include <fstream>
#include <iterator>
#include <set>
#include <thread>
#include <vector>

#include "boragepier/base/ids.h"
#include "boragepier/telemetry/event_rate_limiter.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

std::vector<std::string>
ReadLines(const std::string& aPath)
{
  std::ifstream stream(aPath);
  std::vector<std::string> lines;
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

std::string
FormatField(const LogField& aField)
{
  std::string text;
  aField.AppendTo(text);
  return text;
}

} // namespace

TEST_GROUP(Log)
{
  const std::string logPath_ = "log_test.out";
  void setup() override
  {
    std::remove(logPath_.c_str());
  }
  void teardown() override
  {
    ConfigureLog(LogLevel::Warn, "");
    std::remove(logPath_.c_str());
  }
};

// Every event needs an entry, and numbers and names must be unique.
TEST(Log, CatalogueIsOrderedAndComplete)
{
  std::set<std::string_view> names;
  int previousId = 0;
  for (const EventInfo& info : EventCatalogue()) {
    CHECK(static_cast<int>(info.id_) > previousId);
    previousId = static_cast<int>(info.id_);
    CHECK(names.insert(info.name_).second);
    CHECK(!info.meaning_.empty() && !info.action_.empty());
  }
  CHECK(InfoOf(EventId::AdminRequestRefused).name_ == "admin-request-refused");
}

TEST(Log, EventsBelowTheLevelAreNotWritten)
{
  ConfigureLog(LogLevel::Info, logPath_);
  Log(EventId::ConfigOutdated, { { "service", "a" } });
  Log(EventId::ConfigAccepted, { { "service", ServiceName("a") }, { "version", 7 } });
  const auto lines = ReadLines(logPath_);
  CHECK_EQUAL(1U, lines.size());
  STRCMP_EQUAL("INFO event=2001 name=config-accepted service=a version=7",
               lines[0].substr(lines[0].find(' ') + 1).c_str());
}

// A value sent by a caller must not be able to forge a line or a field.
TEST(Log, ValuesAreEscapedAndTruncated)
{
  STRCMP_EQUAL("k=\"a\\x0aERROR b=\\\"c\\\"\"", FormatField({ "k", "a\nERROR b=\"c\"" }).c_str());
  STRCMP_EQUAL("k=\"\"", FormatField({ "k", "" }).c_str());
  STRCMP_EQUAL("k=\"\\xff\"", FormatField({ "k", "\xff" }).c_str());
  CHECK_EQUAL(2U + 256U, FormatField({ "k", std::string(5000, 'x') }).size());
  STRCMP_EQUAL("k=1.5", FormatField({ "k", Duration(std::chrono::microseconds(1500)) }).c_str());
  STRCMP_EQUAL("k=true", FormatField({ "k", true }).c_str());
}

// Repeated events must not fill the log, and suppressed ones must be counted.
TEST(Log, RepeatedEventsAreLimitedAndCounted)
{
  EventRateLimiter limiter;
  MonotonicTime now;
  const auto admit = [&](std::string_view aSubject) {
    return limiter.Admit(EventId::UpstreamEjected, aSubject, now);
  };
  for (std::uint32_t i = 0; i < EventRateLimiter::kMaxEventsPerWindow; ++i) {
    CHECK(admit("a").write_);
  }
  CHECK(!admit("a").write_ && !admit("a").write_);
  CHECK(admit("b").write_);
  CHECK(limiter.TakeSuppressed(now, false).empty());
  now += EventRateLimiter::kWindow;
  const auto after = admit("a");
  CHECK(after.write_);
  CHECK_EQUAL(2U, after.suppressed_);
  CHECK(limiter.TakeSuppressed(now, true).empty());
}

// Subjects chosen by callers must not take memory without bound.
TEST(Log, SubjectsBeyondTheLimitShareOneWindow)
{
  EventRateLimiter limiter;
  const MonotonicTime now;
  std::uint32_t written = 0;
  const std::size_t subjects = EventRateLimiter::kMaxTrackedSubjects + 1000;
  for (std::size_t i = 0; i < subjects; ++i) {
    written += limiter.Admit(EventId::PeerRefused, std::to_string(i), now).write_ ? 1 : 0;
  }
  CHECK_EQUAL(EventRateLimiter::kMaxTrackedSubjects + EventRateLimiter::kMaxEventsPerWindow,
              written);
  const auto suppressed = limiter.TakeSuppressed(now, true);
  CHECK_EQUAL(1U, suppressed.size());
  CHECK_EQUAL(subjects - written, suppressed[0].count_);
}

// Lines of concurrent threads must not be interleaved, nor lost without being counted.
TEST(Log, ThreadsWriteWholeLinesAndSuppressedEventsAreCounted)
{
  ConfigureLog(LogLevel::Info, logPath_);
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([] {
      for (int n = 0; n < 500; ++n) {
        Log(EventId::PeerLost, { { "peer", "ThreadsWriteWholeLines" } });
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  ReportSuppressedEvents(true);
  std::size_t accountedFor = 0;
  for (const std::string& line : ReadLines(logPath_)) {
    if (line.find(" event=5002 ") != std::string::npos) {
      ++accountedFor;
    }
    for (std::string_view key : { " count=", " left-out=" }) {
      if (const auto at = line.find(key); at != std::string::npos) {
        accountedFor += std::stoul(line.substr(at + key.size()));
      }
    }
  }
  CHECK_EQUAL(2000U, accountedFor);
}

TEST(Log, FileThatCannotBeOpenedIsAnError)
{
  CHECK_THROWS(LogError, ConfigureLog(LogLevel::Info, "no-such-directory/log"));
}

} // namespace boragepier
