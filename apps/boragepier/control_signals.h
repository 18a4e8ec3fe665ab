#ifndef BORAGEPIER_APPS_BORAGEPIER_CONTROL_SIGNALS_H
#define BORAGEPIER_APPS_BORAGEPIER_CONTROL_SIGNALS_H

#include <chrono>
#include <optional>

namespace boragepier {

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and in threads that it starts later, so that
/// they are delivered through WaitForSignal() only. Safe before the initializers of the C++ library
/// have run.
void
BlockControlSignals();

/// Waits for SIGTERM, SIGINT or SIGHUP, which must be blocked.
/// @return the signal, or nothing after the timeout
std::optional<int>
WaitForSignal(std::chrono::milliseconds aTimeout);

/// Waits for SIGTERM or SIGINT; discards SIGHUP.
/// @return whether one of them arrived within the timeout
bool
StopRequested(std::chrono::milliseconds aTimeout);

} // namespace boragepier

#endif
