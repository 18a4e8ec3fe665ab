#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "apps/boragepierctl/ctl_errors.h"
#include "boragepier/base/outcome.h"
#include "boragepier/config/service_file.h"
#include "boragepier/config/service_keys.h"
#include "boragepier/config/settings.h"
#include "boragepier/telemetry/events.h"
#include "boragepier/telemetry/prometheus_writer.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

namespace fs = std::filesystem;

const fs::path kSourceRoot = BORAGEPIER_SOURCE_DIR;

std::string
ReadFile(const fs::path& aPath)
{
  std::ifstream file(aPath);
  CHECK_TEXT(file.is_open(), aPath.c_str());
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Returns the rows of the table below a heading, without its header row and delimiter row.
std::vector<std::string>
ReadTableRows(const std::string& aPage, const std::string& aHeading)
{
  std::istringstream text(ReadFile(kSourceRoot / "docs" / aPage));
  std::vector<std::string> rows;
  bool inside = false;
  for (std::string line; std::getline(text, line);) {
    if (line.starts_with("#")) {
      inside = line.substr(line.find_first_not_of("# ")) == aHeading;
    } else if (inside && line.starts_with("|")) {
      rows.push_back(line);
    }
  }
  CHECK_TEXT(rows.size() > 2, ("no table below " + aHeading).c_str());
  rows.erase(rows.begin(), rows.begin() + 2);
  return rows;
}

std::string
MakeRow(std::initializer_list<std::string_view> aCells)
{
  std::string row = "|";
  for (std::string_view cell : aCells) {
    row.append(" ").append(cell).append(" |");
  }
  return row;
}

std::string
CodeSpan(std::string_view aText)
{
  return aText.empty() ? std::string() : "`" + std::string(aText) + "`";
}

// Returns the EventId enumerator of an event, for example "ConfigAccepted" for "config-accepted".
std::string
EnumeratorName(std::string_view aName)
{
  std::string enumerator;
  bool upper = true;
  for (char letter : aName) {
    if (letter != '-') {
      enumerator += upper ? static_cast<char>(letter - 'a' + 'A') : letter;
    }
    upper = letter == '-';
  }
  return enumerator;
}

// Checks that the table below a heading consists of the rows that are generated from the code.
void
CheckRows(const std::string& aPage,
          const std::string& aHeading,
          const std::vector<std::string>& aExpected)
{
  const std::vector<std::string> rows = ReadTableRows(aPage, aHeading);
  for (const std::string& row : aExpected) {
    const std::string message = std::string(aPage).append(" lacks the row ").append(row);
    CHECK_TEXT(std::find(rows.begin(), rows.end(), row) != rows.end(), message.c_str());
  }
  for (const std::string& row : rows) {
    const std::string message = std::string(aPage).append(" has the unexpected row ").append(row);
    CHECK_TEXT(std::find(aExpected.begin(), aExpected.end(), row) != aExpected.end(),
               message.c_str());
  }
  CHECK_EQUAL(aExpected.size(), rows.size());
}

std::vector<std::string>
MakeKeyRows(std::span<const KeyInfo> aKeys)
{
  std::vector<std::string> rows;
  for (const KeyInfo& info : aKeys) {
    const std::string value = info.required_ ? "required" : CodeSpan(info.default_);
    rows.push_back(MakeRow({ CodeSpan(std::string(info.section_) + "." + std::string(info.name_)),
                             TypeName(info.type_),
                             info.unit_,
                             RangeText(info),
                             value,
                             info.meaning_ }));
  }
  return rows;
}

} // namespace

TEST_GROUP(Docs){};

TEST(Docs, ConfigurationListsEveryKey)
{
  CheckRows("configuration.md", "Keys of a service file", MakeKeyRows(Describe(ServiceKeys())));
  CheckRows("configuration.md", "Keys of a settings file", MakeKeyRows(Describe(SettingsKeys())));
}

TEST(Docs, EventsListsTheCatalogue)
{
  constexpr std::array<std::string_view, 4> kLevels = { "debug", "info", "warn", "error" };
  std::vector<std::string> rows;
  for (const EventInfo& info : EventCatalogue()) {
    rows.push_back(MakeRow({ std::to_string(static_cast<int>(info.id_)),
                             CodeSpan(info.name_),
                             kLevels.at(static_cast<std::size_t>(info.level_)),
                             info.meaning_,
                             info.action_ }));
  }
  CheckRows("events.md", "Catalogue", rows);
}

// Guards against a page that documents an event as written although no code writes it.
TEST(Docs, EventsNamesThoseThatAreNotWritten)
{
  std::string sources;
  for (const char* directory : { "boragepier", "apps" }) {
    for (const auto& entry : fs::recursive_directory_iterator(kSourceRoot / directory)) {
      const std::string name = entry.path().filename().string();
      const bool source = name.ends_with(".cc") || name.ends_with(".h");
      if (source && !name.starts_with("events.") && !name.ends_with("_test.cc")) {
        sources += ReadFile(entry.path());
      }
    }
  }
  const std::string page = ReadFile(kSourceRoot / "docs" / "events.md");
  const std::string list = page.substr(page.find("## Not written by this release"));
  for (const EventInfo& info : EventCatalogue()) {
    const bool written =
      sources.find("EventId::" + EnumeratorName(info.name_)) != std::string::npos;
    const bool listed = list.find("- " + CodeSpan(info.name_) + "\n") != std::string::npos;
    CHECK_TEXT(written != listed, std::string(info.name_).c_str());
  }
}

// Compares the columns of reason and status; the columns after them are free text.
TEST(Docs, InterfaceListsEveryRefusal)
{
  std::vector<std::string> expected;
  for (int i = 0; i < kRefusalReasonCount; ++i) {
    const auto reason = static_cast<RefusalReason>(i);
    expected.push_back("| " + CodeSpan(ToString(reason)) + " | " +
                       std::to_string(HttpStatusOf(reason)) + " | ");
  }
  const std::vector<std::string> rows = ReadTableRows("interface.md", "Refusals");
  CHECK_EQUAL(expected.size(), rows.size());
  for (std::size_t i = 0; i < rows.size(); ++i) {
    CHECK_TEXT(rows[i].starts_with(expected[i]),
               (rows[i] + " does not start with " + expected[i]).c_str());
  }
}

TEST(Docs, OperationsListsExitCodesAndMetrics)
{
  std::vector<std::string> codes;
  for (const ctl::ExitCodeInfo& info : ctl::ExitCodes()) {
    codes.push_back(MakeRow(
      { std::to_string(static_cast<int>(info.code_)), CodeSpan(info.name_), info.meaning_ }));
  }
  CheckRows("OPERATIONS.md", "Exit codes of boragepierctl", codes);
  std::vector<std::string> metrics;
  for (const MetricInfo& info : MetricCatalogue()) {
    metrics.push_back(MakeRow({ CodeSpan(info.name_), info.type_, info.help_ }));
  }
  CheckRows("OPERATIONS.md", "Metrics", metrics);
}

// Guards against links to missing pages.
TEST(Docs, LinkedPagesExist)
{
  for (const auto& entry : fs::directory_iterator(kSourceRoot / "docs")) {
    const std::string text = ReadFile(entry.path());
    for (std::size_t at = text.find("]("); at != std::string::npos; at = text.find("](", at + 1)) {
      const std::string target = text.substr(at + 2, text.find_first_of(")#", at + 2) - at - 2);
      if (!target.empty() && target.find("://") == std::string::npos) {
        CHECK_TEXT(fs::exists(entry.path().parent_path() / target),
                   (entry.path().filename().string() + " links to " + target).c_str());
      }
    }
  }
}

// Guards against an example that this release rejects or that would run an order twice.
TEST(Docs, ExamplesAreAcceptedAndSafe)
{
  std::map<std::string, ServiceConfig> services;
  for (const auto& entry : fs::recursive_directory_iterator(kSourceRoot / "examples")) {
    const std::string name = entry.path().filename().string();
    if (name.ends_with(".service.ini")) {
      ServiceConfig config = ParseServiceFile(ReadFile(entry.path()), name);
      services.emplace(config.name_.Text(), config);
    } else if (name == "instance.ini") {
      ParseSettings(ReadFile(entry.path()), name);
    }
  }
  CHECK_EQUAL(6U, services.size());
  const ServiceConfig& orders = services.at("order-entry");
  const ServiceConfig& bookings = services.at("recovery-booking");
  CHECK(orders.keyRequired_ && bookings.keyRequired_);
  CHECK(RepeatabilityOf(orders, "POST", "/orders/") == Repeatability::AtMostOnce);
  CHECK(RepeatabilityOf(bookings, "POST", "/bookings/") == Repeatability::AtMostOnce);
  CHECK(services.at("ringing-histories").trafficClass_ == TrafficClass::Background);
  CHECK(services.at("ring-lookup").probesPerUpstreamSecond_ >
        services.at("stock-lookup").probesPerUpstreamSecond_);
}

} // namespace boragepier
