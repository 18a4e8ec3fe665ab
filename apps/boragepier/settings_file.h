#ifndef BORAGEPIER_APPS_BORAGEPIER_SETTINGS_FILE_H
#define BORAGEPIER_APPS_BORAGEPIER_SETTINGS_FILE_H

#include <chrono>
#include <optional>
#include <string>

#include "boragepier/config/settings.h"

namespace boragepier {

/// The settings file of an instance, which another program may be writing at any time. A text
/// counts only if two reads in a row return it, because a part of a file can be valid.
class SettingsFile
{
public:
  /// Interval between the reads of a file that has changed.
  static constexpr std::chrono::milliseconds kSettleTime{ 20 };

  explicit SettingsFile(std::string aPath);

  const std::string& Path() const { return path_; }

  /// @return the text of the file, which may be incomplete
  /// @throws ConfigError if the file cannot be read
  std::string Read() const;

  /// Reads the file. To be called again after kSettleTime while Unsettled().
  /// @return the settings, if they differ from those returned before or ForceReload() was called,
  ///   and the text is the one of the previous read
  /// @throws ConfigError if the file cannot be read, or for invalid settings, once for each text
  std::optional<Settings> ReadChange();

  /// @return whether the last read returned a text that the next read has to confirm
  bool Unsettled() const { return unsettled_; }

  /// Makes ReadChange() return the settings even if they have not changed.
  void ForceReload() { force_ = true; }

private:
  const std::string path_;
  std::optional<std::string> accepted_; ///< text for which ReadChange() returned or threw
  std::optional<std::string> previous_; ///< text of the previous read
  bool unsettled_ = false;
  bool force_ = false;
};

} // namespace boragepier

#endif
