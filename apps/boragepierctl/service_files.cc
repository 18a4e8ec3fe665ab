#include "apps/boragepierctl/service_files.h"

#include <filesystem>
#include <fstream>
#include <map>
#include <set>

#include "apps/boragepierctl/ctl_errors.h"
#include "boragepier/config/ini_reader.h"
#include "boragepier/config/service_file.h"

namespace boragepier::ctl {

namespace {

namespace fs = std::filesystem;

// Reads at most one byte more than the parser accepts, so that it still rejects longer files.
std::string
ReadText(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::string text(kMaxIniTextBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad() || !file.is_open()) {
    throw ConfigError(aPath, 0, "", "the file cannot be read");
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

// Appends an error for each service name and path prefix that occurs in more than one file.
void
AppendDuplicates(std::span<const ServiceFile> aFiles, std::string& aErrors)
{
  std::map<std::string, std::string> pathByName;
  std::map<std::string, std::string> pathByPrefix;
  for (const ServiceFile& file : aFiles) {
    const auto checkUnique =
      [&](auto& aPathByValue, const std::string& aValue, std::string_view aKey) {
        if (const auto [entry, added] = aPathByValue.emplace(aValue, file.path_); !added) {
          aErrors.append(file.path_ + ": service." + std::string(aKey) + ": value " +
                         Quoted(aValue) + " is also in " + entry->second + "\n");
        }
      };
    checkUnique(pathByName, file.config_.name_.Text(), "name");
    checkUnique(pathByPrefix, file.config_.pathPrefix_, "path-prefix");
  }
}

} // namespace

std::vector<std::string>
FindServiceFiles(std::span<const std::string> aPaths)
{
  std::set<std::string> found;
  for (const std::string& path : aPaths) {
    std::error_code error;
    if (fs::is_regular_file(path, error)) {
      found.insert(path);
      continue;
    }
    for (fs::recursive_directory_iterator entry(path, error), end; !error && entry != end;
         entry.increment(error)) {
      if (entry->is_regular_file() && entry->path().string().ends_with(kServiceFileSuffix)) {
        found.insert(entry->path().lexically_normal().string());
      }
    }
    if (error) {
      throw FilesInvalidError(path + ": " + error.message() +
                              "; give directories that exist and can be read");
    }
  }
  if (found.empty()) {
    throw FilesInvalidError("there is no file *" + std::string(kServiceFileSuffix) +
                            " below the given directories; check the paths");
  }
  return { found.begin(), found.end() };
}

std::vector<ServiceFile>
ReadServiceFiles(std::span<const std::string> aPaths)
{
  std::vector<ServiceFile> files;
  std::string errors;
  for (const std::string& path : aPaths) {
    try {
      std::string text = ReadText(path);
      ServiceConfig config = ParseServiceFile(text, path);
      files.push_back({ path, std::move(text), std::move(config) });
    } catch (const ConfigError& error) {
      errors.append(error.what()).append("\n");
    }
  }
  AppendDuplicates(files, errors);
  if (!errors.empty()) {
    throw FilesInvalidError(errors + "correct the files; docs/configuration.md lists all keys");
  }
  return files;
}

} // namespace boragepier::ctl
