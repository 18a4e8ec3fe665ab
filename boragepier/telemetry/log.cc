#include "boragepier/telemetry/log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <charconv>
#include <chrono>
#include <ctime>
#include <exception>
#include <fstream>
#include <mutex>

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include "boragepier/base/internal_error.h"
#include "boragepier/telemetry/event_rate_limiter.h"
#include "boragepier/telemetry/request_log_limiter.h"

namespace boragepier {

namespace {

constexpr std::size_t kMaxValueBytes = 256;
// Events that wait while the reader of the output is slow: those of about two seconds at
// RequestLogLimiter::kLinesPerSecond.
constexpr int kMaxBufferedEvents = 1024;

bool
NeedsNoQuoting(char aChar)
{
  return std::isalnum(static_cast<unsigned char>(aChar)) != 0 ||
         std::string_view("-._:/").find(aChar) != std::string_view::npos;
}

void
AppendEscaped(std::string& aLine, std::string_view aText)
{
  constexpr std::string_view kHex = "0123456789abcdef";
  const std::string_view truncated = aText.substr(0, kMaxValueBytes);
  if (!truncated.empty() && std::all_of(truncated.begin(), truncated.end(), NeedsNoQuoting)) {
    aLine.append(truncated);
    return;
  }
  aLine += '"';
  for (char c : truncated) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      aLine += '\\';
      aLine += c;
    } else if (byte < 0x20 || byte >= 0x7f) {
      aLine.append("\\x").append({ kHex[byte >> 4], kHex[byte & 15] });
    } else {
      aLine += c;
    }
  }
  aLine += '"';
}

template<typename Number>
void
AppendNumber(std::string& aLine, Number aNumber)
{
  std::array<char, 32> buffer{};
  std::to_chars_result result{};
  if constexpr (std::is_floating_point_v<Number>) {
    result = std::to_chars(
      buffer.data(), buffer.data() + buffer.size(), aNumber, std::chars_format::general, 6);
  } else {
    result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), aNumber);
  }
  aLine.append(buffer.data(), result.ptr);
}

log4cxx::LevelPtr
ToLog4cxxLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cxx::Level::getDebug();
    case LogLevel::Info:
      return log4cxx::Level::getInfo();
    case LogLevel::Warn:
      return log4cxx::Level::getWarn();
    case LogLevel::Error:
      break;
  }
  return log4cxx::Level::getError();
}

// Process-wide logger with its rate limits.
class LogSink
{
public:
  static LogSink& Get()
  {
    // Never destroyed, because threads may log during process exit.
    static auto* const sink = new LogSink;
    return *sink;
  }

  void Configure(LogLevel aLevel, const std::string& aFile, LogOutput aOutput)
  {
    const auto layout =
      std::make_shared<log4cxx::PatternLayout>("%d{yyyy-MM-ddTHH:mm:ss.SSSZ}{UTC} %p %m%n");
    log4cxx::AppenderPtr appender;
    if (aFile.empty()) {
      appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, aOutput == LogOutput::StandardOutput ? "System.out" : "System.err");
    } else {
      // log4cxx reports a failure to open the file only on standard error.
      if (!std::ofstream(aFile, std::ios::app)) {
        throw LogError("cannot open the log file " + aFile + " for appending");
      }
      appender = std::make_shared<log4cxx::FileAppender>(layout, aFile, true);
    }
    if (aFile.empty()) {
      // The reader of a pipe may stall; events are then dropped instead of blocking the thread that
      // logs.
      const auto buffered = std::make_shared<log4cxx::AsyncAppender>();
      buffered->setBlocking(false);
      buffered->setBufferSize(kMaxBufferedEvents);
      buffered->addAppender(appender);
      appender = buffered;
    }
    const std::lock_guard lock(mutex_);
    logger_->removeAllAppenders();
    logger_->addAppender(appender);
    logger_->setLevel(ToLog4cxxLevel(aLevel));
    level_ = aLevel;
  }

  bool Enabled(LogLevel aLevel) const { return aLevel >= level_; }

  EventRateLimiter::Decision Admit(EventId aEvent, std::string_view aSubject)
  {
    const std::lock_guard lock(mutex_);
    return eventLimiter_.Admit(aEvent, aSubject, std::chrono::steady_clock::now());
  }

  bool AdmitRequestEvent(bool aHighPriority)
  {
    const std::lock_guard lock(mutex_);
    return requestLimiter_.Admit(aHighPriority, std::chrono::steady_clock::now());
  }

  std::uint64_t TakeSuppressedRequestEvents()
  {
    const std::lock_guard lock(mutex_);
    return requestLimiter_.TakeSuppressed();
  }

  std::vector<EventRateLimiter::SuppressedEvents> TakeSuppressed(bool aIncludeOpenWindows)
  {
    const std::lock_guard lock(mutex_);
    return eventLimiter_.TakeSuppressed(std::chrono::steady_clock::now(), aIncludeOpenWindows);
  }

  void Write(LogLevel aLevel, const std::string& aLine)
  {
    try {
      logger_->forcedLog(
        ToLog4cxxLevel(aLevel), aLine, log4cxx::spi::LocationInfo::getLocationUnavailable());
    } catch (const std::exception&) {
      // A full disk costs the event, not the request or the process that logs it.
    }
  }

private:
  LogSink()
    : logger_(log4cxx::Logger::getLogger("boragepier"))
  {
    logger_->setAdditivity(false);
    Configure(LogLevel::Warn, "", LogOutput::StandardError);
  }

  log4cxx::LoggerPtr logger_;
  std::atomic<LogLevel> level_ = LogLevel::Warn;
  std::mutex mutex_;
  EventRateLimiter eventLimiter_;
  RequestLogLimiter requestLimiter_;
};

std::string
FormatEvent(const EventInfo& aInfo, std::initializer_list<LogField> aFields)
{
  std::string line = "event=";
  AppendNumber(line, static_cast<int>(aInfo.id_));
  line.append(" name=").append(aInfo.name_);
  for (const LogField& field : aFields) {
    if (!field.IsLeftOut()) {
      line += ' ';
      field.AppendTo(line);
    }
  }
  return line;
}

} // namespace

std::string_view
LogField::Text() const
{
  const auto* text = std::get_if<std::string_view>(&value_);
  return text != nullptr ? *text : std::string_view();
}

void
LogField::AppendTo(std::string& aLine) const
{
  aLine.append(key_).append("=");
  std::visit(
    [&](const auto& aValue) {
      if constexpr (std::is_same_v<std::decay_t<decltype(aValue)>, std::string_view>) {
        AppendEscaped(aLine, aValue);
      } else {
        AppendNumber(aLine, aValue);
      }
    },
    value_);
}

void
ConfigureLog(LogLevel aLevel, const std::string& aFile, LogOutput aOutput)
{
  LogSink::Get().Configure(aLevel, aFile, aOutput);
}

void
Log(EventId aEvent, std::initializer_list<LogField> aFields)
{
  LogSink& sink = LogSink::Get();
  const EventInfo& info = InfoOf(aEvent);
  if (!sink.Enabled(info.level_)) {
    return;
  }
  const std::string_view subject =
    aFields.size() > 0 ? aFields.begin()->Text() : std::string_view();
  const EventRateLimiter::Decision decision = sink.Admit(aEvent, subject);
  if (!decision.write_) {
    return;
  }
  std::string line = FormatEvent(info, aFields);
  if (decision.suppressed_ > 0) {
    line += ' ';
    LogField("left-out", decision.suppressed_).AppendTo(line);
  }
  sink.Write(info.level_, line);
}

void
LogRequest(EventId aEvent, bool aHighPriority, std::initializer_list<LogField> aFields)
{
  LogSink& sink = LogSink::Get();
  const EventInfo& info = InfoOf(aEvent);
  if (sink.Enabled(info.level_) && sink.AdmitRequestEvent(aHighPriority)) {
    sink.Write(info.level_, FormatEvent(info, aFields));
  }
}

void
LogInternalErrors()
{
  SetInternalErrorCallback([](ErrorScope aScope, std::string_view aText) {
    Log(EventId::InternalError, { { "where", ToString(aScope) }, { "error", aText } });
  });
}

std::string
FormatLogLine(EventId aEvent, std::initializer_list<LogField> aFields)
{
  const EventInfo& info = InfoOf(aEvent);
  const auto now =
    std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  std::tm calendarTime{};
  ::gmtime_r(&seconds, &calendarTime);
  std::array<char, 40> date{};
  const std::size_t length =
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &calendarTime);
  const auto milliseconds = now.time_since_epoch().count() % 1000;
  std::string line(date.data(), length);
  line.append(".").append(std::to_string(1000 + milliseconds).substr(1)).append("Z ");
  line.append(ToLog4cxxLevel(info.level_)->toString()).append(" ");
  return line + FormatEvent(info, aFields);
}

void
ReportSuppressedEvents(bool aIncludeOpenWindows)
{
  LogSink& sink = LogSink::Get();
  const EventInfo& info = InfoOf(EventId::EventsLeftOut);
  if (const std::uint64_t requestEvents = sink.TakeSuppressedRequestEvents();
      requestEvents > 0 && sink.Enabled(info.level_)) {
    sink.Write(info.level_,
               FormatEvent(info, { { "of-event", "requests" }, { "count", requestEvents } }));
  }
  for (const auto& [event, count] : sink.TakeSuppressed(aIncludeOpenWindows)) {
    if (sink.Enabled(info.level_)) {
      sink.Write(
        info.level_,
        FormatEvent(info, { { "of-event", static_cast<int>(event) }, { "count", count } }));
    }
  }
}

} // namespace boragepier
