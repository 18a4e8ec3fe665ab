#include "boragepier/entry/process_environment.h"

#include <algorithm>

#include "boragepier/base/descriptor_budget.h"
#include "boragepier/telemetry/log.h"

namespace boragepier {

platform::PlatformOptions
PlatformOptionsFrom(const Settings& aSettings)
{
  platform::PlatformOptions options;
  options.target_ = { aSettings.platformEndpoint_.address_, aSettings.platformEndpoint_.port_ };
  return options;
}

Settings
FitToDescriptorLimit(Settings aSettings)
{
  const ProcessDescriptorLimit processLimit = RaiseDescriptorLimit();
  const std::size_t limit = aSettings.fileDescriptors_ == 0
                              ? processLimit.current_
                              : std::min(aSettings.fileDescriptors_, processLimit.current_);
  const DescriptorShares shares = DivideDescriptors(limit, aSettings.maxConnections_);
  Log(EventId::DescriptorLimit,
      { { "limit", limit },
        { "process-limit", processLimit.current_ },
        { "initial-process-limit", processLimit.initial_ },
        { "callers", shares.callers_ },
        { "upstreams", shares.upstreams_ } });
  if (shares.callers_ < aSettings.maxConnections_) {
    Log(EventId::MaxConnectionsLowered,
        { { "configured", aSettings.maxConnections_ },
          { "allowed", shares.callers_ },
          { "descriptors", limit } });
  }
  aSettings.maxConnections_ = shares.callers_;
  aSettings.descriptors_ = shares;
  return aSettings;
}

WallTime
WallClockNow()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace boragepier
