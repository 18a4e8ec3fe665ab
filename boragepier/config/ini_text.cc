#include "boragepier/config/ini_text.h"

#include <algorithm>
#include <mutex>
#include <optional>

#include <ini.h>

#include "boragepier/config/service_file.h"

namespace boragepier {

namespace {

constexpr std::string_view kSpace = " \t\r\n\v\f";

std::string_view
Trimmed(std::string_view aText)
{
  const std::size_t first = aText.find_first_not_of(kSpace);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kSpace) - first + 1);
}

// inih keeps these options in variables of the process. The heap buffer is used because the size of
// the stack buffer is fixed at 200 bytes.
void
SetIniOptions()
{
  static std::once_flag once;
  std::call_once(once, [] {
    ini_use_stack = false;
    ini_allow_realloc = false;
    ini_max_line = static_cast<int>(kMaxIniLine) + 8;
    ini_initial_alloc = ini_max_line;
  });
}

// State of one run of inih. Errors are kept and thrown after the run, because an exception must not
// pass through the C code of inih.
struct Run
{
  std::string_view rest_;
  std::string_view fileName_;
  std::span<const std::string_view> sections_;
  int line_ = 0;
  std::vector<IniEntry> entries_;
  std::optional<ConfigError> error_;

  void Fail(std::string aKey, const std::string& aReason)
  {
    if (!error_) {
      error_.emplace(std::string(fileName_), line_, std::move(aKey), aReason);
    }
  }

  void CheckSection(std::string_view aLine)
  {
    const std::size_t close = aLine.find(']');
    if (close == std::string_view::npos) {
      Fail(std::string(aLine.substr(0, 64)), "\"]\" is missing");
      return;
    }
    const std::string_view name = aLine.substr(1, close - 1);
    const std::string_view behind = Trimmed(aLine.substr(close + 1));
    if (std::find(sections_.begin(), sections_.end(), name) == sections_.end()) {
      std::string accepted;
      for (std::string_view section : sections_) {
        accepted.append(accepted.empty() ? "" : ", ").append(section);
      }
      Fail(std::string(name.substr(0, 64)), "unknown section; accepted are " + accepted);
    } else if (!behind.empty() && behind.front() != ';' && behind.front() != '#') {
      Fail(std::string(name), "unexpected text " + Quoted(behind) + " after the section");
    }
  }

  void CheckLine(std::string_view aLine)
  {
    if (aLine.size() > kMaxIniLine) {
      Fail("", "the line is longer than " + std::to_string(kMaxIniLine) + " bytes");
    }
    if (aLine.find('\0') != std::string_view::npos) {
      Fail("", "the line contains a NUL byte");
    }
    const std::string_view content = Trimmed(aLine);
    const bool continuation =
      !aLine.empty() && kSpace.find(aLine.front()) != std::string_view::npos;
    if (!content.empty() && content.front() == '[' && !continuation) {
      CheckSection(content);
    }
  }
};

// Reader of inih, like fgets. Ends the text at the first error, so that a line that inih would
// cut is not handed to it.
char*
NextLine(char* aBuffer, int aSize, void* aRun)
{
  Run& run = *static_cast<Run*>(aRun);
  if (run.rest_.empty() || run.error_) {
    return nullptr;
  }
  const std::size_t end = run.rest_.find('\n');
  const std::string_view line = run.rest_.substr(0, end);
  run.rest_.remove_prefix(end == std::string_view::npos ? run.rest_.size() : end + 1);
  ++run.line_;
  run.CheckLine(line);
  if (run.error_ || line.size() + 2 > static_cast<std::size_t>(aSize)) {
    run.Fail("", "the line is too long");
    return nullptr;
  }
  std::copy(line.begin(), line.end(), aBuffer);
  aBuffer[line.size()] = '\n';
  aBuffer[line.size() + 1] = '\0';
  return aBuffer;
}

int
OnEntry(void* aRun, const char* aSection, const char* aKey, const char* aValue)
{
  Run& run = *static_cast<Run*>(aRun);
  if (run.error_) {
    return 1;
  }
  IniEntry entry{ aSection, aKey, aValue, run.line_ };
  const auto same = [&](const IniEntry& aOther) {
    return aOther.section_ == entry.section_ && aOther.key_ == entry.key_;
  };
  if (entry.section_.empty()) {
    run.Fail(entry.key_, "the key stands before the first section");
  } else if (const auto first = std::find_if(run.entries_.begin(), run.entries_.end(), same);
             first != run.entries_.end()) {
    run.Fail(entry.section_ + "." + entry.key_,
             "value " + Quoted(entry.value_) + " repeats the key of line " +
               std::to_string(first->line_) +
               "; a key is accepted once, and a line that begins with a space continues the key "
               "above it");
  } else {
    run.entries_.push_back(std::move(entry));
  }
  return 1;
}

} // namespace

std::string
Quoted(std::string_view aText)
{
  constexpr std::size_t kShown = 80;
  std::string quoted = "\"";
  for (char c : aText.substr(0, kShown)) {
    quoted += (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) ? '?' : c;
  }
  return quoted + (aText.size() > kShown ? "...\"" : "\"");
}

std::vector<IniEntry>
ReadIni(std::string_view aText,
        std::string_view aFileName,
        std::span<const std::string_view> aSections)
{
  if (aText.size() > kMaxIniText) {
    throw ConfigError(std::string(aFileName),
                      0,
                      "",
                      "the file has " + std::to_string(aText.size()) +
                        " bytes; accepted are 0 to " + std::to_string(kMaxIniText));
  }
  SetIniOptions();
  Run run{ .rest_ = aText,
           .fileName_ = aFileName,
           .sections_ = aSections,
           .line_ = 0,
           .entries_ = {},
           .error_ = {} };
  const int status = ini_parse_stream(&NextLine, &run, &OnEntry, &run);
  if (status < 0) {
    throw std::bad_alloc();
  }
  if (status > 0 && (!run.error_ || status < run.error_->Line())) {
    throw ConfigError(
      std::string(aFileName), status, "", "the line is neither \"[section]\" nor \"key = value\"");
  }
  if (run.error_) {
    throw *run.error_;
  }
  return std::move(run.entries_);
}

} // namespace boragepier
