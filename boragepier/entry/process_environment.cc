#include "boragepier/entry/process_environment.h"

namespace boragepier {

platform::PlatformOptions
PlatformOptionsFrom(const Settings& aSettings)
{
  platform::PlatformOptions options;
  options.target_ = { aSettings.platformEndpoint_.address_, aSettings.platformEndpoint_.port_ };
  return options;
}

WallTime
WallClockNow()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace boragepier
