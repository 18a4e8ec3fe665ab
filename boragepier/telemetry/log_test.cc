#include "boragepier/telemetry/log.h"

#include <cstdio>
#include <fstream>
#include <iterator>
#include <set>
#include <thread>
#include <vector>

#include "boragepier/base/ids.h"
#include "boragepier/telemetry/flood_limiter.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

std::vector<std::string>
LinesOf(const std::string& aFile)
{
  std::ifstream stream(aFile);
  std::vector<std::string> lines;
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

std::string
FieldText(const LogField& aField)
{
  std::string text;
  aField.AppendTo(text);
  return text;
}

} // namespace

TEST_GROUP(Log)
{
  const std::string file_ = "log_test.out";
  void setup() override
  {
    std::remove(file_.c_str());
  }
  void teardown() override
  {
    ConfigureLog(LogLevel::Warn, "");
    std::remove(file_.c_str());
  }
};

// Guards against an event without an entry, and against a number that stands for two events.
TEST(Log, CatalogueIsOrderedAndComplete)
{
  std::set<std::string_view> names;
  int last = 0;
  for (const EventInfo& info : EventCatalogue()) {
    CHECK(static_cast<int>(info.id_) > last);
    last = static_cast<int>(info.id_);
    CHECK(names.insert(info.name_).second);
    CHECK(!info.meaning_.empty() && !info.action_.empty());
  }
  CHECK(InfoOf(EventId::AdminRequestRefused).name_ == "admin-request-refused");
}

TEST(Log, EventsBelowTheLevelAreNotWritten)
{
  ConfigureLog(LogLevel::Info, file_);
  Log(EventId::ConfigOutdated, { { "service", "a" } });
  Log(EventId::ConfigAccepted, { { "service", ServiceName("a") }, { "version", 7 } });
  const auto lines = LinesOf(file_);
  CHECK_EQUAL(1U, lines.size());
  STRCMP_EQUAL("INFO event=2001 name=config-accepted service=a version=7",
               lines[0].substr(lines[0].find(' ') + 1).c_str());
}

// Guards against a value from a caller that forges a line or a field.
TEST(Log, ValuesAreEscapedAndShortened)
{
  STRCMP_EQUAL("k=\"a\\x0aERROR b=\\\"c\\\"\"", FieldText({ "k", "a\nERROR b=\"c\"" }).c_str());
  STRCMP_EQUAL("k=\"\"", FieldText({ "k", "" }).c_str());
  STRCMP_EQUAL("k=\"\\xff\"", FieldText({ "k", "\xff" }).c_str());
  CHECK_EQUAL(2U + 256U, FieldText({ "k", std::string(5000, 'x') }).size());
  STRCMP_EQUAL("k=1.5", FieldText({ "k", Duration(std::chrono::microseconds(1500)) }).c_str());
  STRCMP_EQUAL("k=true", FieldText({ "k", true }).c_str());
}

// Guards against a flood that fills the log, and against one that is left out silently.
TEST(Log, FloodsAreLimitedAndCounted)
{
  FloodLimiter limiter;
  MonotonicTime now;
  const auto admit = [&](std::string_view aSubject) {
    return limiter.Admit(EventId::UpstreamEjected, aSubject, now);
  };
  for (std::uint32_t i = 0; i < FloodLimiter::kPerWindow; ++i) {
    CHECK(admit("a").write_);
  }
  CHECK(!admit("a").write_ && !admit("a").write_);
  CHECK(admit("b").write_);
  CHECK(limiter.Collect(now, false).empty());
  now += FloodLimiter::kWindow;
  const auto after = admit("a");
  CHECK(after.write_);
  CHECK_EQUAL(2U, after.leftOut_);
  CHECK(limiter.Collect(now, true).empty());
}

// Guards against subjects chosen by callers that take memory without bound.
TEST(Log, SubjectsBeyondTheLimitShareOneState)
{
  FloodLimiter limiter;
  const MonotonicTime now;
  std::uint32_t written = 0;
  const std::size_t subjects = FloodLimiter::kMaxSubjects + 1000;
  for (std::size_t i = 0; i < subjects; ++i) {
    written += limiter.Admit(EventId::PeerRefused, std::to_string(i), now).write_ ? 1 : 0;
  }
  CHECK_EQUAL(FloodLimiter::kMaxSubjects + FloodLimiter::kPerWindow, written);
  const auto leftOut = limiter.Collect(now, true);
  CHECK_EQUAL(1U, leftOut.size());
  CHECK_EQUAL(subjects - written, leftOut[0].count_);
}

// Guards against lines of several threads that are mixed or lost without being counted.
TEST(Log, ThreadsWriteWholeLinesAndTheRestIsCounted)
{
  ConfigureLog(LogLevel::Info, file_);
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
  ReportLeftOutEvents(true);
  std::size_t seen = 0;
  for (const std::string& line : LinesOf(file_)) {
    if (line.find(" event=5002 ") != std::string::npos) {
      ++seen;
    }
    for (std::string_view key : { " count=", " left-out=" }) {
      if (const auto at = line.find(key); at != std::string::npos) {
        seen += std::stoul(line.substr(at + key.size()));
      }
    }
  }
  CHECK_EQUAL(2000U, seen);
}

TEST(Log, FileThatCannotBeOpenedIsAnError)
{
  CHECK_THROWS(LogError, ConfigureLog(LogLevel::Info, "no-such-directory/log"));
}

} // namespace boragepier
