#ifndef BORAGEPIER_APPS_BORAGEPIERCTL_LOG_LINE_H
#define BORAGEPIER_APPS_BORAGEPIERCTL_LOG_LINE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace boragepier::ctl {

/// One event from an instance's log. docs/events.md describes the format.
struct LogLine
{
  std::string source_; ///< word before the time, such as a host name; empty if none
  std::string time_;   ///< UTC, ISO 8601 with milliseconds; sorts lexically
  std::string level_;
  int eventId_ = 0;                                         ///< number of the EventId
  std::string name_;                                        ///< of the event, such as request-ended
  std::vector<std::pair<std::string, std::string>> fields_; ///< in the order of the line, unquoted

  /// @return the value of a field, or an empty text if it is missing
  std::string_view Field(std::string_view aName) const;
  /// @return the value of a field as a number, or 0 if it is missing or not a number
  double Number(std::string_view aName) const;
};

/// Parses a log line. Log collectors may put words before the time; the last one becomes the
/// source, the others are ignored.
/// @return nothing if the line is not an event
std::optional<LogLine>
ParseLogLine(std::string_view aLine);

} // namespace boragepier::ctl

#endif
