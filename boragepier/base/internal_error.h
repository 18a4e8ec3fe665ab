#ifndef BORAGEPIER_BASE_INTERNAL_ERROR_H
#define BORAGEPIER_BASE_INTERNAL_ERROR_H

#include <cstdint>
#include <string_view>
#include <utility>

namespace boragepier {

/// What an unexpected exception ended. Everything else in the process goes on.
enum class ErrorScope : std::uint8_t
{
  Request,      ///< one request of a caller
  Answer,       ///< one answer of an upstream or of the store
  PeerMessage,  ///< one message of another instance
  StoreEntry,   ///< one entry of the store
  AdminRequest, ///< one request to the admin surface
  Connection,   ///< one connection
  Task,         ///< one task or timer of an event loop
};
inline constexpr int kErrorScopeCount = 7;

/// @return the name used in logs and counters, for example "peer-message"
std::string_view
ToString(ErrorScope aScope);

/// Counts the exception that is being handled and passes its text to the callback. Call in a catch
/// block. Thread-safe.
void
ReportInternalError(ErrorScope aScope) noexcept;

/// @return number of reports since the start of the process. Thread-safe.
std::uint64_t
InternalErrorCount(ErrorScope aScope) noexcept;

/// Receives each report, in the thread that reports.
using InternalErrorCallback = void (*)(ErrorScope aScope, std::string_view aText);

/// Replaces the callback; null for none, as initially. Thread-safe.
void
SetInternalErrorCallback(InternalErrorCallback aCallback) noexcept;

/// Runs aFunction at a point where an exception must not pass on to the caller, such as a callback
/// of an event loop. An exception is reported.
/// @return whether aFunction returned without an exception
template<typename Function>
bool
RunContained(ErrorScope aScope, Function&& aFunction) noexcept
{
  try {
    std::forward<Function>(aFunction)();
    return true;
  } catch (...) {
    ReportInternalError(aScope);
    return false;
  }
}

} // namespace boragepier

#endif
