#include "apps/boragepier/settings_file.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace boragepier {

SettingsFile::SettingsFile(std::string aPath)
  : path_(std::move(aPath))
{
}

std::string
SettingsFile::Read() const
{
  std::ifstream file(path_);
  if (!file) {
    throw ConfigError(path_, 0, "", "the file cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::optional<Settings>
SettingsFile::ReadChange()
{
  unsettled_ = false;
  const auto before = std::exchange(previous_, std::nullopt);
  previous_ = Read();
  const bool settled = before == previous_;
  if (previous_ == accepted_ && !force_) {
    return std::nullopt;
  }
  if (!settled) {
    unsettled_ = true;
    return std::nullopt;
  }
  accepted_ = previous_;
  force_ = false;
  return ParseSettings(*accepted_, path_);
}

} // namespace boragepier
