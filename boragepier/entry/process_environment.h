#ifndef BORAGEPIER_ENTRY_PROCESS_ENVIRONMENT_H
#define BORAGEPIER_ENTRY_PROCESS_ENVIRONMENT_H

#include "boragepier/base/time.h"
#include "boragepier/config/settings.h"
#include "boragepier/platform/http_platform.h"

namespace boragepier {

/// @param aSettings settings of the instance
/// @return how the threads of the instance reach the platform
platform::PlatformOptions
PlatformOptionsOf(const Settings& aSettings);

/// @return civil time now, for records that outlive the process
WallTime
WallNow();

} // namespace boragepier

#endif
