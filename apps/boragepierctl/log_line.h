#ifndef BORAGEPIER_APPS_BORAGEPIERCTL_LOG_LINE_H
#define BORAGEPIER_APPS_BORAGEPIERCTL_LOG_LINE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace boragepier::ctl {

/// One line of an instance's log, as docs/events.md describes it.
struct LogLine
{
  std::string source_; ///< the word before the time, such as the name of a machine, if any
  std::string time_;   ///< UTC, sorts like the time
  std::string level_;
  int event_ = 0;
  std::string name_;
  std::vector<std::pair<std::string, std::string>> fields_;

  /// @return the value of a field, empty if there is none
  std::string_view Field(std::string_view aName) const;
  /// @return the value of a field as a number, 0 if there is none
  double Number(std::string_view aName) const;
};

/// Words before the time, as log collectors write them, are skipped; the last one is the source.
/// @return nothing if the line is no event
std::optional<LogLine>
ParseLogLine(std::string_view aLine);

} // namespace boragepier::ctl

#endif
