#include "boragepier/entry/process_environment.h"

#include <malloc.h>

#include <algorithm>
#include <ctime>

#include "boragepier/base/descriptor_budget.h"
#include "boragepier/telemetry/log.h"

namespace boragepier {

namespace {

#ifdef __GLIBC__
// With a fixed threshold, the allocator does not learn to keep large blocks.
constexpr int kMappedBlockBytes = 1 << 20;
constexpr int kKeptHeapBytes = 4 << 20;
constexpr int kArenas = 2;
#endif

} // namespace

Duration
ThreadCpuTime()
{
  std::timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

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

void
ConfigureAllocator()
{
#ifdef __GLIBC__
  static_cast<void>(mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes));
  static_cast<void>(mallopt(M_TRIM_THRESHOLD, kKeptHeapBytes));
  static_cast<void>(mallopt(M_ARENA_MAX, kArenas));
#endif
}

void
ReturnFreeMemory()
{
#ifdef __GLIBC__
  static_cast<void>(malloc_trim(0));
#endif
}

WallTime
WallClockNow()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace boragepier
