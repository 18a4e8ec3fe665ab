#include "boragepier/base/internal_error.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <exception>

namespace boragepier {

namespace {

// In the order of ErrorScope.
constexpr std::array<std::string_view, kErrorScopeCount> kErrorScopeNames = {
  "request", "answer", "peer-message", "store-entry", "admin", "connection", "task",
};

std::array<std::atomic<std::uint64_t>, kErrorScopeCount> counts{};
std::atomic<InternalErrorCallback> callback = nullptr;

void
PassOnText(InternalErrorCallback aCallback, ErrorScope aScope)
{
  try {
    throw;
  } catch (const std::exception& error) {
    aCallback(aScope, error.what());
  } catch (...) {
    aCallback(aScope, "an exception that is not derived from std::exception");
  }
}

} // namespace

std::string_view
ToString(ErrorScope aScope)
{
  return kErrorScopeNames.at(static_cast<std::size_t>(aScope));
}

void
ReportInternalError(ErrorScope aScope) noexcept
{
  counts[static_cast<std::size_t>(aScope)].fetch_add(1, std::memory_order_relaxed);
  if (const InternalErrorCallback current = callback) {
    try {
      PassOnText(current, aScope);
    } catch (...) { // NOLINT(bugprone-empty-catch)
      // The report is lost if memory is exhausted; it is counted all the same.
    }
  }
}

std::uint64_t
InternalErrorCount(ErrorScope aScope) noexcept
{
  return counts[static_cast<std::size_t>(aScope)].load(std::memory_order_relaxed);
}

void
SetInternalErrorCallback(InternalErrorCallback aCallback) noexcept
{
  callback = aCallback;
}

} // namespace boragepier
