#include "boragepier/config/ini_reader.h"

#include <algorithm>
#include <mutex>
#include <optional>

#include <ini.h>

#include "boragepier/config/service_file.h"

namespace boragepier {

namespace {

constexpr std::string_view kWhitespace = " \t\r\n\v\f";

std::string_view
Trimmed(std::string_view aText)
{
  const std::size_t first = aText.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kWhitespace) - first + 1);
}

// inih keeps its options in global variables. The heap buffer is used because the size of the stack
// buffer is fixed at 200 bytes.
void
ConfigureInih()
{
  static std::once_flag once;
  std::call_once(once, [] {
    ini_use_stack = false;
    ini_allow_realloc = false;
    // The buffer also holds the line break and a NUL byte.
    ini_max_line = static_cast<int>(kMaxIniLineBytes) + 8;
    ini_initial_alloc = ini_max_line;
  });
}

// State of one call to ini_parse_stream(). Errors are stored and thrown after the call, because an
// exception must not propagate through the C code of inih.
struct ParseState
{
  std::string_view remaining_;
  std::string_view fileName_;
  std::span<const std::string_view> sections_;
  int line_ = 0; // number of the last line handed to inih
  std::vector<IniEntry> entries_;
  std::optional<ConfigError> error_;

  void SetError(std::string aKey, const std::string& aReason)
  {
    if (!error_) {
      error_.emplace(std::string(fileName_), line_, std::move(aKey), aReason);
    }
  }

  void CheckSection(std::string_view aLine)
  {
    const std::size_t close = aLine.find(']');
    if (close == std::string_view::npos) {
      SetError(std::string(aLine.substr(0, 64)), "\"]\" is missing");
      return;
    }
    const std::string_view name = aLine.substr(1, close - 1);
    const std::string_view trailing = Trimmed(aLine.substr(close + 1));
    if (std::find(sections_.begin(), sections_.end(), name) == sections_.end()) {
      std::string accepted;
      for (std::string_view section : sections_) {
        accepted.append(accepted.empty() ? "" : ", ").append(section);
      }
      SetError(std::string(name.substr(0, 64)), "unknown section; accepted are " + accepted);
    } else if (!trailing.empty() && trailing.front() != ';' && trailing.front() != '#') {
      SetError(std::string(name),
               "unexpected text " + Quoted(trailing) + " after the section header");
    }
  }

  void CheckLine(std::string_view aLine)
  {
    if (aLine.size() > kMaxIniLineBytes) {
      SetError("", "the line is longer than " + std::to_string(kMaxIniLineBytes) + " bytes");
    }
    if (aLine.find('\0') != std::string_view::npos) {
      SetError("", "the line contains a NUL byte");
    }
    const std::string_view content = Trimmed(aLine);
    // After an entry an indented line continues the value, even if it starts with "[".
    const bool continuation =
      !aLine.empty() && kWhitespace.find(aLine.front()) != std::string_view::npos;
    if (!content.empty() && content.front() == '[' && !continuation) {
      CheckSection(content);
    }
  }
};

// Line reader for inih with the interface of fgets. Reports the end of the text at the first error,
// so that inih never receives a line that it would truncate.
char*
ReadNextLine(char* aBuffer, int aSize, void* aState)
{
  ParseState& state = *static_cast<ParseState*>(aState);
  if (state.remaining_.empty() || state.error_) {
    return nullptr;
  }
  const std::size_t end = state.remaining_.find('\n');
  const std::string_view line = state.remaining_.substr(0, end);
  state.remaining_.remove_prefix(end == std::string_view::npos ? state.remaining_.size() : end + 1);
  ++state.line_;
  state.CheckLine(line);
  if (state.error_ || line.size() + 2 > static_cast<std::size_t>(aSize)) {
    state.SetError("", "the line is too long");
    return nullptr;
  }
  std::copy(line.begin(), line.end(), aBuffer);
  aBuffer[line.size()] = '\n';
  aBuffer[line.size() + 1] = '\0';
  return aBuffer;
}

// Handler for inih, which calls it for each entry, and for each continuation line with the key of
// the entry. Returns 1 in all cases, because inih takes 0 for a syntax error.
int
OnEntry(void* aState, const char* aSection, const char* aKey, const char* aValue)
{
  ParseState& state = *static_cast<ParseState*>(aState);
  if (state.error_) {
    return 1;
  }
  IniEntry entry{ aSection, aKey, aValue, state.line_ };
  const auto hasSameKey = [&](const IniEntry& aOther) {
    return aOther.section_ == entry.section_ && aOther.key_ == entry.key_;
  };
  if (entry.section_.empty()) {
    state.SetError(entry.key_, "the key stands before the first section header");
  } else if (const auto previous =
               std::find_if(state.entries_.begin(), state.entries_.end(), hasSameKey);
             previous != state.entries_.end()) {
    state.SetError(
      entry.section_ + "." + entry.key_,
      "value " + Quoted(entry.value_) + " repeats the key of line " +
        std::to_string(previous->line_) +
        "; each key may occur once, and an indented line continues the value of the key "
        "above it");
  } else {
    state.entries_.push_back(std::move(entry));
  }
  return 1;
}

} // namespace

std::string
Quoted(std::string_view aText)
{
  constexpr std::size_t kMaxShownCharacters = 80;
  std::string quoted = "\"";
  for (char c : aText.substr(0, kMaxShownCharacters)) {
    quoted += (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) ? '?' : c;
  }
  return quoted + (aText.size() > kMaxShownCharacters ? "...\"" : "\"");
}

std::vector<IniEntry>
ParseIni(std::string_view aText,
         std::string_view aFileName,
         std::span<const std::string_view> aSections)
{
  if (aText.size() > kMaxIniTextBytes) {
    throw ConfigError(std::string(aFileName),
                      0,
                      "",
                      "the file has " + std::to_string(aText.size()) +
                        " bytes; accepted are 0 to " + std::to_string(kMaxIniTextBytes));
  }
  ConfigureInih();
  ParseState state{ .remaining_ = aText,
                    .fileName_ = aFileName,
                    .sections_ = aSections,
                    .line_ = 0,
                    .entries_ = {},
                    .error_ = {} };
  const int status = ini_parse_stream(&ReadNextLine, &state, &OnEntry, &state);
  if (status < 0) {
    throw std::bad_alloc();
  }
  // A positive status is the number of the first line that inih could not parse. inih continues
  // after it, so of this line and the stored error the first one is reported.
  if (status > 0 && (!state.error_ || status < state.error_->Line())) {
    throw ConfigError(
      std::string(aFileName), status, "", "the line is neither \"[section]\" nor \"key = value\"");
  }
  if (state.error_) {
    throw *state.error_;
  }
  return std::move(state.entries_);
}

} // namespace boragepier
