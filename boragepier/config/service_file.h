#ifndef BORAGEPIER_CONFIG_SERVICE_FILE_H
#define BORAGEPIER_CONFIG_SERVICE_FILE_H

#include <string>
#include <string_view>

#include "boragepier/base/errors.h"
#include "boragepier/config/service_config.h"

namespace boragepier {

/// An error in a service file or settings file. The message has the form "FILE:LINE: KEY: REASON",
/// in which line and key can be missing.
class ConfigError : public Error
{
public:
  /// @param aLine line number from 1, or 0 if the error concerns no single line
  /// @param aKey for example "queue.limit", or empty
  ConfigError(std::string aFile, int aLine, std::string aKey, const std::string& aReason);

  const std::string& File() const { return file_; }
  int Line() const { return line_; }
  const std::string& Key() const { return key_; }

private:
  std::string file_;
  int line_;
  std::string key_;
};

/// Parses a service file (INI) and checks all values. Unknown keys are errors.
/// @param aText contents of the file
/// @param aFileName name used in errors
/// @return the configuration, with defaults for keys that do not occur
/// @throws ConfigError for the first error
ServiceConfig
ParseServiceFile(std::string_view aText, std::string_view aFileName);

} // namespace boragepier

#endif
