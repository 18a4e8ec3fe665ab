#ifndef BORAGEPIER_TELEMETRY_PROCESS_FAILURE_H
#define BORAGEPIER_TELEMETRY_PROCESS_FAILURE_H

namespace boragepier {

/// Writes EventId::ProcessFailed to a file descriptor when an exception that nothing catches, or
/// SIGSEGV, SIGBUS or SIGFPE, ends the process. Bypasses the buffer of the log, which would be
/// lost. The exit status stays that of the exception or signal. Call before threads start.
/// @param aDescriptor open for as long as the process runs
void
ReportProcessFailureTo(int aDescriptor);

} // namespace boragepier

#endif
