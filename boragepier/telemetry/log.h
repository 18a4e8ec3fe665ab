#ifndef BORAGEPIER_TELEMETRY_LOG_H
#define BORAGEPIER_TELEMETRY_LOG_H

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "boragepier/base/errors.h"
#include "boragepier/base/log_level.h"
#include "boragepier/base/outcome.h"
#include "boragepier/base/time.h"
#include "boragepier/telemetry/events.h"

namespace boragepier {

/// The log file cannot be opened for appending.
class LogError : public Error
{
public:
  using Error::Error;
};

/// One `key=value` pair of an event. Holds references to the key and to text values, which must
/// outlive the call of Log(). Never pass request bodies, header values or values of
/// Idempotency-Key.
class LogField
{
public:
  LogField(std::string_view aKey, std::string_view aValue)
    : key_(aKey)
    , value_(aValue)
  {
  }
  LogField(std::string_view aKey, const char* aValue)
    : LogField(aKey, std::string_view(aValue))
  {
  }
  LogField(std::string_view aKey, const std::string& aValue)
    : LogField(aKey, std::string_view(aValue))
  {
  }
  LogField(std::string_view aKey, bool aValue)
    : LogField(aKey, std::string_view(aValue ? "true" : "false"))
  {
  }
  template<std::integral Number>
  LogField(std::string_view aKey, Number aValue)
    : key_(aKey)
    , value_(static_cast<std::int64_t>(aValue))
  {
  }
  /// A duration, written in milliseconds. The key should end with "Ms".
  LogField(std::string_view aKey, Duration aValue)
    : key_(aKey)
    , value_(ToMilliseconds(aValue))
  {
  }
  LogField(std::string_view aKey, double aValue)
    : key_(aKey)
    , value_(aValue)
  {
  }
  /// A value of a strong string type, such as ServiceName.
  template<typename Name>
  requires requires(const Name& aName)
  {
    {
      aName.View()
      } -> std::convertible_to<std::string_view>;
  }
  LogField(std::string_view aKey, const Name& aValue)
    : LogField(aKey, std::string_view(aValue.View()))
  {
  }
  LogField(std::string_view aKey, UnansweredCause aValue)
    : LogField(aKey, ToString(aValue))
  {
  }
  LogField(std::string_view aKey, Outcome aValue)
    : LogField(aKey, ToString(aValue))
  {
  }
  LogField(std::string_view aKey, RefusalReason aValue)
    : LogField(aKey, ToString(aValue))
  {
  }
  LogField(std::string_view aKey, AttemptFailure aValue)
    : LogField(aKey, ToString(aValue))
  {
  }

  /// @return a field that is left out of the line if its value is empty
  static LogField IfNotEmpty(std::string_view aKey, std::string_view aValue)
  {
    return { aValue.empty() ? std::string_view() : aKey, aValue };
  }

  bool IsLeftOut() const { return key_.empty(); }
  /// @return the value if it is text, otherwise an empty view
  std::string_view Text() const;
  /// Appends `key=value`. Text is truncated to 256 bytes, and quoted if it is empty or contains
  /// characters other than letters, digits and `-._:/`. Quotes, backslashes and bytes outside
  /// printable ASCII are escaped, so that a value cannot forge a line or a field.
  void AppendTo(std::string& aLine) const;

private:
  std::string_view key_;
  std::variant<std::string_view, std::int64_t, double> value_;
};

/// Destination of events if no log file is given.
enum class LogOutput : std::uint8_t
{
  StandardError,
  StandardOutput,
};

/// Sets the level and the destination of the log; replaces those of an earlier call. Before the
/// first call, events of level Warn and above go to standard error. Writing to standard output or
/// standard error never blocks: events wait in a bounded buffer and are dropped while it is full.
/// @param aLevel lowest level that is written
/// @param aFile path of the file to which events are appended; empty to use aOutput
/// @param aOutput used if aFile is empty
/// @throws LogError if the file cannot be opened
void
ConfigureLog(LogLevel aLevel,
             const std::string& aFile,
             LogOutput aOutput = LogOutput::StandardError);

/// Writes an event: time in UTC, level, number, name and fields. Thread-safe. Repeated events are
/// rate-limited (EventRateLimiter); the next one written has the field `left-out=N`.
///
///   Log(EventId::ConfigAccepted, { { "service", name }, { "version", version } });
///
/// @param aEvent the event
/// @param aFields the first field is the subject, by which repeated events are recognised
void
Log(EventId aEvent, std::initializer_list<LogField> aFields = {});

/// Writes an event about one request. These events share one limit of lines per second
/// (RequestLogLimiter) instead of a limit per subject. Thread-safe.
/// @param aHighPriority whether the event may use the reserved share of the limit; set it for
///   refused, failed and retried requests
void
LogRequest(EventId aEvent, bool aHighPriority, std::initializer_list<LogField> aFields);

/// Writes EventId::InternalError for each ReportInternalError() from now on.
void
LogInternalErrors();

/// @return the line of an event with the present time, as the log would write it, without a line
///   break and without regard to levels and rate limits
std::string
FormatLogLine(EventId aEvent, std::initializer_list<LogField> aFields);

/// Writes EventId::EventsLeftOut with the counts of suppressed events that no later event has
/// reported. To be called at regular intervals. Thread-safe.
/// @param aIncludeOpenWindows whether to report rate-limit windows that have not ended; for the end
///   of the process
void
ReportSuppressedEvents(bool aIncludeOpenWindows = false);

} // namespace boragepier

#endif
