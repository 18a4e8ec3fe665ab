#ifndef BORAGEPIER_NET_DESCRIPTOR_SHORTAGE_H
#define BORAGEPIER_NET_DESCRIPTOR_SHORTAGE_H

#include <cstdint>

#include <boost/system/error_code.hpp>

namespace boragepier::net {

/// @return whether a socket could not be opened, accepted or connected because this machine, not
/// the peer, lacks a descriptor or memory. A lack of ports is not among them: it concerns the
/// connections to one address only.
bool
IsLocalLimit(const boost::system::error_code& aError);
/// @return whether the process or the machine has no descriptor left
bool
IsDescriptorLimit(const boost::system::error_code& aError);

/// Counts a connection that was not opened, or was closed when it was accepted, because of
/// IsLocalLimit(). Thread-safe.
void
CountDescriptorShortage();
/// @return number of these connections in this process. Thread-safe.
std::uint64_t
DescriptorShortageCount();

/// A descriptor that is kept to be able to accept, and close, a connection when no other is left.
class SpareDescriptor
{
public:
  SpareDescriptor();
  ~SpareDescriptor();
  SpareDescriptor(const SpareDescriptor&) = delete;
  SpareDescriptor& operator=(const SpareDescriptor&) = delete;

  /// Accepts one connection with the spare descriptor and closes it.
  /// @param aListener descriptor of a non-blocking listening socket
  /// @return false if no connection could be accepted
  bool CloseNextConnection(int aListener);

  /// Opens the spare descriptor again if another thread took its place meanwhile.
  /// @return false if no descriptor is left
  bool Restore();

private:
  int descriptor_ = -1; ///< -1 if none could be opened
};

} // namespace boragepier::net

#endif
