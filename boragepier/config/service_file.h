#ifndef BORAGEPIER_CONFIG_SERVICE_FILE_H
#define BORAGEPIER_CONFIG_SERVICE_FILE_H

#include <string>
#include <string_view>

#include "boragepier/base/errors.h"
#include "boragepier/config/service_config.h"

namespace boragepier {

/// A service file or settings file that cannot be accepted. Names file, line, key, value and the
/// accepted range.
class ConfigError : public Error
{
public:
  ConfigError(std::string aFile, int aLine, std::string aKey, const std::string& aReason);

  const std::string& File() const { return file_; }
  int Line() const { return line_; }
  const std::string& Key() const { return key_; }

private:
  std::string file_;
  int line_;
  std::string key_;
};

/// Parses a service file (INI) and checks every key. Unknown keys are errors.
/// @param aText contents of the file
/// @param aFileName name used in errors
/// @return the configuration, with defaults for the keys that are left out
/// @throws ConfigError for the first thing that is wrong
ServiceConfig
ParseServiceFile(std::string_view aText, std::string_view aFileName);

} // namespace boragepier

#endif
