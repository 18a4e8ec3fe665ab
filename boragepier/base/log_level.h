#ifndef BORAGEPIER_BASE_LOG_LEVEL_H
#define BORAGEPIER_BASE_LOG_LEVEL_H

#include <cstdint>

namespace boragepier {

/// Severity of a log event, from least to most severe.
enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warn,
  Error,
};

} // namespace boragepier

#endif
