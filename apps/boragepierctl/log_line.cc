#include "apps/boragepierctl/log_line.h"

#include <algorithm>
#include <charconv>

namespace boragepier::ctl {

namespace {

// Removes the next space-separated word from the front of a line and returns it without quotes.
// Quoted parts may contain spaces, and quotes and backslashes escaped by a backslash.
std::string
ConsumeWord(std::string_view& aLine)
{
  aLine.remove_prefix(std::min(aLine.find_first_not_of(' '), aLine.size()));
  std::string word;
  bool quoted = false;
  std::size_t i = 0;
  for (; i < aLine.size() && (quoted || aLine[i] != ' '); ++i) {
    if (aLine[i] == '"') {
      quoted = !quoted;
    } else if (quoted && aLine[i] == '\\' && i + 1 < aLine.size() &&
               (aLine[i + 1] == '"' || aLine[i + 1] == '\\')) {
      word += aLine[++i];
    } else {
      word += aLine[i];
    }
  }
  aLine.remove_prefix(i);
  return word;
}

// Whether a word has the form of 2026-01-31T08:15:30.123Z.
bool
IsTimestamp(std::string_view aWord)
{
  return aWord.size() == 24 && aWord[4] == '-' && aWord[10] == 'T' && aWord.back() == 'Z';
}

template<typename Number>
Number
ParseNumberOrZero(std::string_view aText)
{
  Number number{};
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return error == std::errc() ? number : Number{};
}

} // namespace

std::string_view
LogLine::Field(std::string_view aName) const
{
  const auto found = std::find_if(
    fields_.begin(), fields_.end(), [&](const auto& aField) { return aField.first == aName; });
  return found == fields_.end() ? std::string_view() : found->second;
}

double
LogLine::Number(std::string_view aName) const
{
  return ParseNumberOrZero<double>(Field(aName));
}

std::optional<LogLine>
ParseLogLine(std::string_view aLine)
{
  LogLine line;
  std::string word = ConsumeWord(aLine);
  while (!word.empty() && !IsTimestamp(word)) {
    line.source_ = std::exchange(word, ConsumeWord(aLine));
  }
  if (word.empty()) {
    return std::nullopt;
  }
  line.time_ = std::move(word);
  line.level_ = ConsumeWord(aLine);
  while (!(word = ConsumeWord(aLine)).empty()) {
    const std::size_t equals = word.find('=');
    if (equals == std::string::npos) {
      return std::nullopt;
    }
    std::string name = word.substr(0, equals);
    std::string value = word.substr(equals + 1);
    if (name == "event") {
      line.eventId_ = ParseNumberOrZero<int>(value);
    } else if (name == "name" && line.name_.empty()) {
      line.name_ = std::move(value);
    } else {
      line.fields_.emplace_back(std::move(name), std::move(value));
    }
  }
  return line.eventId_ == 0 ? std::nullopt : std::optional(std::move(line));
}

} // namespace boragepier::ctl
