#ifndef BORAGEPIER_ENTRY_PROCESS_ENVIRONMENT_H
#define BORAGEPIER_ENTRY_PROCESS_ENVIRONMENT_H

#include "boragepier/base/time.h"
#include "boragepier/config/settings.h"
#include "boragepier/platform/http_platform.h"

namespace boragepier {

/// @param aSettings settings of the instance
/// @return the options with which the threads of the instance connect to the platform
platform::PlatformOptions
PlatformOptionsFrom(const Settings& aSettings);

/// Raises the soft limit of the process on descriptors to the hard limit, divides the descriptors
/// and logs the result. To be called once, at the start.
/// @param aSettings settings of the instance
/// @return the settings with Settings::descriptors_, and with Settings::maxConnections_ lowered to
///   what the limit allows
Settings
FitToDescriptorLimit(Settings aSettings);

/// @return the current wall-clock time, for records that outlive the process
WallTime
WallClockNow();

/// @return CPU time of the calling thread since its start
Duration
ThreadCpuTime();

/// Sets up the allocator so that the memory of large bodies goes back to the system when they are
/// released. Call before other threads start.
void
ConfigureAllocator();

/// Returns the free memory that the allocator keeps to the system. Thread-safe.
void
ReturnFreeMemory();

} // namespace boragepier

#endif
