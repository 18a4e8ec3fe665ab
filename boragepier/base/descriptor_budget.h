#ifndef BORAGEPIER_BASE_DESCRIPTOR_BUDGET_H
#define BORAGEPIER_BASE_DESCRIPTOR_BUDGET_H

#include <cstddef>
#include <limits>
#include <optional>

namespace boragepier {

/// Limits of the process on open descriptors (RLIMIT_NOFILE).
struct ProcessDescriptorLimit
{
  std::size_t initial_ = 0; ///< soft limit at the start
  std::size_t current_ = 0; ///< soft limit now
};

/// Raises the soft limit to the hard limit.
/// @return the limits; current_ is initial_ if the system refuses to raise it
ProcessDescriptorLimit
RaiseDescriptorLimit();

/// @return number of open descriptors of the process; nothing if the system does not list them
std::optional<std::size_t>
CountOpenDescriptors();

/// Greatest number of descriptors that each part of an instance may have open. The defaults apply
/// to parts that run without an instance, for example in tests.
struct DescriptorShares
{
  std::size_t limit_ = 0;             ///< the limit that was divided; 0 for the defaults
  std::size_t files_ = 200;           ///< standard streams, log, settings, event loops
  std::size_t listeners_ = 10;        ///< listening sockets, and connections being accepted
  std::size_t storeConnections_ = 64; ///< of the control thread, to the store or platform
  std::size_t peersOutgoing_ = 1024;  ///< connections to other instances
  std::size_t peersIncoming_ = 1024;  ///< connections from other instances
  std::size_t admin_ = 64;            ///< connections to the admin address
  std::size_t adminRefused_ = 64;     ///< further ones that are being refused
  std::size_t callers_ = 4096;        ///< connections from callers
  std::size_t callersRefused_ = 64;   ///< further ones that are being refused
  std::size_t upstreams_ = std::numeric_limits<std::size_t>::max(); ///< connections to upstreams

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on defaulted comparisons
  friend bool operator==(const DescriptorShares&, const DescriptorShares&) = default;
};

/// Smallest limit whose shares do not exceed it. With a lower one some descriptors may be missing.
inline constexpr std::size_t kMinDescriptorLimit = 64;

/// Divides the descriptors of a process. Callers get at most as many connections as upstreams, so
/// that each of them can have a request in progress.
/// @param aLimit greatest number of open descriptors of the process
/// @param aMaxCallers wanted number of connections from callers, which is never exceeded
DescriptorShares
DivideDescriptors(std::size_t aLimit, std::size_t aMaxCallers);

} // namespace boragepier

#endif
