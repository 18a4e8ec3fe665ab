#include "boragepier/base/descriptor_budget.h"

#include <algorithm>
#include <filesystem>
#include <system_error>

#include <sys/resource.h>

namespace boragepier {

namespace {

// The shares of a greater limit would only grow beyond what an instance can use.
constexpr std::size_t kMaxLimit = std::size_t{ 1 } << 20U;

constexpr std::size_t kMinFiles = 16;
constexpr std::size_t kMaxFiles = 200;
constexpr std::size_t kListeners = 10;
constexpr std::size_t kMinStoreConnections = 4; // one per topic that is waited for, and one more
constexpr std::size_t kMaxStoreConnections = 64;
constexpr std::size_t kMinControl = 8;
constexpr std::size_t kMaxControl = std::size_t{ 2 } * 1024 + kMaxStoreConnections;
constexpr std::size_t kMinAdmin = 8;
constexpr std::size_t kMaxAdmin = 128;
constexpr std::size_t kMinRefused = 4;
constexpr std::size_t kMaxRefused = 64;

std::size_t
Clamp(rlim_t aValue)
{
  return static_cast<std::size_t>(std::min<rlim_t>(aValue, kMaxLimit));
}

// Takes a share of what remains.
std::size_t
Take(std::size_t& aRemaining, std::size_t aShare)
{
  aRemaining -= std::min(aRemaining, aShare);
  return aShare;
}

} // namespace

ProcessDescriptorLimit
RaiseDescriptorLimit()
{
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return { kMaxLimit, kMaxLimit };
  }
  const rlim_t initial = limit.rlim_cur;
  if (limit.rlim_cur < limit.rlim_max) {
    limit.rlim_cur = limit.rlim_max;
    if (::setrlimit(RLIMIT_NOFILE, &limit) != 0) {
      limit.rlim_cur = initial;
    }
  }
  return { Clamp(initial), Clamp(limit.rlim_cur) };
}

std::optional<std::size_t>
CountOpenDescriptors()
{
  std::error_code error;
  std::size_t count = 0;
  for (std::filesystem::directory_iterator next("/proc/self/fd", error), end; !error && next != end;
       next.increment(error)) {
    ++count;
  }
  if (error || count == 0) {
    return std::nullopt;
  }
  return count - 1; // the directory itself
}

DescriptorShares
DivideDescriptors(std::size_t aLimit, std::size_t aMaxCallers)
{
  DescriptorShares shares;
  std::size_t remaining = std::min(aLimit, kMaxLimit);
  shares.limit_ = remaining;
  shares.files_ = Take(remaining, std::clamp(remaining / 20, kMinFiles, kMaxFiles));
  shares.listeners_ = Take(remaining, kListeners);
  const std::size_t control = Take(remaining, std::clamp(remaining / 8, kMinControl, kMaxControl));
  shares.storeConnections_ = std::clamp(control / 4, kMinStoreConnections, kMaxStoreConnections);
  shares.peersOutgoing_ = (control - shares.storeConnections_) / 2;
  shares.peersIncoming_ = control - shares.storeConnections_ - shares.peersOutgoing_;
  const std::size_t admin = Take(remaining, std::clamp(remaining / 8, kMinAdmin, kMaxAdmin));
  shares.admin_ = admin / 2;
  shares.adminRefused_ = admin - shares.admin_;
  shares.callersRefused_ = Take(remaining, std::clamp(remaining / 8, kMinRefused, kMaxRefused));
  shares.callers_ = std::max<std::size_t>(std::min(aMaxCallers, remaining / 2), 1);
  shares.upstreams_ = std::max<std::size_t>(remaining - std::min(remaining, shares.callers_), 1);
  return shares;
}

} // namespace boragepier
