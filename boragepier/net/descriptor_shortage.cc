#include "boragepier/net/descriptor_shortage.h"

#include <atomic>
#include <cerrno>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace boragepier::net {

namespace {

std::atomic<std::uint64_t> shortageCount = 0;

bool
IsSystemError(const boost::system::error_code& aError, int aNumber)
{
  return aError == boost::system::error_code(aNumber, boost::system::system_category());
}

} // namespace

bool
IsLocalLimit(const boost::system::error_code& aError)
{
  return IsDescriptorLimit(aError) || IsSystemError(aError, ENOBUFS) ||
         IsSystemError(aError, ENOMEM);
}

bool
IsDescriptorLimit(const boost::system::error_code& aError)
{
  return IsSystemError(aError, EMFILE) || IsSystemError(aError, ENFILE);
}

void
CountDescriptorShortage()
{
  shortageCount.fetch_add(1, std::memory_order_relaxed);
}

std::uint64_t
DescriptorShortageCount()
{
  return shortageCount.load(std::memory_order_relaxed);
}

SpareDescriptor::SpareDescriptor()
{
  Restore();
}

SpareDescriptor::~SpareDescriptor()
{
  if (descriptor_ >= 0) {
    ::close(descriptor_);
  }
}

bool
SpareDescriptor::Restore()
{
  if (descriptor_ >= 0) {
    return true;
  }
  descriptor_ = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  return descriptor_ >= 0 || (errno != EMFILE && errno != ENFILE);
}

bool
SpareDescriptor::CloseNextConnection(int aListener)
{
  if (descriptor_ >= 0) {
    ::close(descriptor_);
    descriptor_ = -1;
  }
  const int connection = ::accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (connection >= 0) {
    ::close(connection);
  }
  Restore();
  return connection >= 0;
}

} // namespace boragepier::net
