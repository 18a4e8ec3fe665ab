#ifndef BORAGEPIER_APPS_BORAGEPIERCTL_SERVICE_FILES_H
#define BORAGEPIER_APPS_BORAGEPIERCTL_SERVICE_FILES_H

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "boragepier/config/service_config.h"

namespace boragepier::ctl {

/// Ending of the names of service files.
inline constexpr std::string_view kServiceFileEnding = ".service.ini";

/// A service file that has been checked.
struct ServiceFile
{
  std::string path_;
  std::string text_;
  ServiceConfig config_;
};

/// Finds all service files below directories. A path that is a file is taken as it is.
/// @return the paths in alphabetical order, each once
/// @throws FilesInvalidError if a directory cannot be read or there is no service file
std::vector<std::string>
CollectServiceFiles(std::span<const std::string> aPaths);

/// Reads and checks files, each by itself and together.
/// @return the files in the given order
/// @throws FilesInvalidError with the first mistake of every file, one a line
std::vector<ServiceFile>
ReadServiceFiles(std::span<const std::string> aPaths);

} // namespace boragepier::ctl

#endif
