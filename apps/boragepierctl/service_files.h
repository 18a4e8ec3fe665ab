#ifndef BORAGEPIER_APPS_BORAGEPIERCTL_SERVICE_FILES_H
#define BORAGEPIER_APPS_BORAGEPIERCTL_SERVICE_FILES_H

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "boragepier/config/service_config.h"

namespace boragepier::ctl {

/// File name suffix of service files.
inline constexpr std::string_view kServiceFileSuffix = ".service.ini";

/// A service file that was read and validated.
struct ServiceFile
{
  std::string path_;
  std::string text_; ///< content of the file
  ServiceConfig config_;
};

/// Finds all service files below directories, recursively. A path of a file is returned whatever
/// its suffix.
/// @param aPaths directories or files
/// @return the paths in alphabetical order, each once
/// @throws FilesInvalidError if a directory cannot be read or no service file is found
std::vector<std::string>
FindServiceFiles(std::span<const std::string> aPaths);

/// Reads and validates files, and checks that no service name or path prefix occurs twice.
/// @return the files in the given order
/// @throws FilesInvalidError with the first error of each file and all duplicates, one per line
std::vector<ServiceFile>
ReadServiceFiles(std::span<const std::string> aPaths);

} // namespace boragepier::ctl

#endif
