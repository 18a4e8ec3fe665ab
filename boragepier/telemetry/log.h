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

/// The log file cannot be opened.
class LogError : public Error
{
public:
  using Error::Error;
};

/// One `key=value` pair of an event. Values refer to their text; they must live until Log()
/// returns. Never pass request bodies, header values or values of Idempotency-Key.
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
  /// A length of time, written in milliseconds. The key should end with "Ms".
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
  /// A strong name, an outcome or a reason.
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

  /// @return the value if it is text, else empty
  std::string_view Text() const;
  /// Appends `key=value`. Text is shortened to 256 bytes, and quoted if it has other characters
  /// than letters, digits and `-._:/`; control characters and quotes are escaped, so that a value
  /// cannot forge a line or a field.
  void AppendTo(std::string& aLine) const;

private:
  std::string_view key_;
  std::variant<std::string_view, std::int64_t, double> value_;
};

/// Where events go if no file is given.
enum class LogOutput : std::uint8_t
{
  StandardError,
  StandardOutput,
};

/// Starts logging. Before the first call only events of level Warn and above are written, to the
/// standard error output. Replaces the destination of an earlier call. Writing to an output never
/// blocks the caller: events wait in a bounded buffer, and are dropped while nobody reads.
/// @param aLevel lowest level that is written
/// @param aFile file to which events are appended; empty for aOutput
/// @throws LogError if the file cannot be opened
void
ConfigureLog(LogLevel aLevel,
             const std::string& aFile,
             LogOutput aOutput = LogOutput::StandardError);

/// Writes an event: time in UTC, level, number, name and fields. Any thread. A flood of equal
/// events is limited (FloodLimiter); the next one written carries `left-out=N`.
///
///   Log(EventId::ConfigAccepted, { { "service", name }, { "version", version } });
///
/// @param aEvent the event
/// @param aFields what it concerns; the first field is its subject for the limit
void
Log(EventId aEvent, std::initializer_list<LogField> aFields = {});

/// Writes an event about one request. Such events are limited by a number of lines per second
/// (LineBudget) instead of by subject.
/// @param aTrouble whether the request was refused or failed
void
LogRequest(EventId aEvent, bool aTrouble, std::initializer_list<LogField> aFields);

/// Writes EventsLeftOut for floods that have ended. Called regularly by the control thread.
/// @param aAll also for floods that may still go on, at the end of the process
void
ReportLeftOutEvents(bool aAll = false);

} // namespace boragepier

#endif
