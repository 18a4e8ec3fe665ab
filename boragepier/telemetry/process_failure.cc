#include "boragepier/telemetry/process_failure.h"

#include <signal.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <cstdlib>
#include <exception>
#include <string>
#include <string_view>

#include "boragepier/telemetry/log.h"

namespace boragepier {

namespace {

constexpr std::array kFatalSignals = { SIGSEGV, SIGBUS, SIGFPE };

int descriptor = STDERR_FILENO;

void
WriteText(std::string_view aText)
{
  // Nothing is left to do if this fails.
  static_cast<void>(!::write(descriptor, aText.data(), aText.size()));
}

std::string
CurrentExceptionText()
{
  const std::exception_ptr exception = std::current_exception();
  if (!exception) {
    return "std::terminate was called";
  }
  try {
    std::rethrow_exception(exception);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "an exception that is not derived from std::exception";
  }
}

[[noreturn]] void
OnTerminate()
{
  WriteText(FormatLogLine(EventId::ProcessFailed, { { "error", CurrentExceptionText() } }) + "\n");
  std::abort();
}

// Uses only functions that are safe in a signal handler. The handler is reset on entry, so the
// signal that is raised again ends the process.
void
OnFatalSignal(int aSignal)
{
  std::array<char, 8> number{};
  const auto [end, error] = std::to_chars(number.data(), number.data() + number.size(), aSignal);
  WriteText("ERROR event=1012 name=process-failed signal=");
  WriteText({ number.data(), static_cast<std::size_t>(end - number.data()) });
  WriteText("\n");
  static_cast<void>(::raise(aSignal));
}

} // namespace

void
ReportProcessFailureTo(int aDescriptor)
{
  descriptor = aDescriptor;
  std::set_terminate(OnTerminate);
  struct sigaction action = {};
  action.sa_handler = OnFatalSignal;
  action.sa_flags = static_cast<int>(SA_RESETHAND);
  sigemptyset(&action.sa_mask);
  for (const int fatalSignal : kFatalSignals) {
    sigaction(fatalSignal, &action, nullptr);
  }
}

} // namespace boragepier
