#ifndef BORAGEPIER_TESTING_WIRE_DESCRIPTORS_TAKEN_H
#define BORAGEPIER_TESTING_WIRE_DESCRIPTORS_TAKEN_H

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

namespace boragepier::testing {

/// Lets the process open no further descriptor until destroyed, except one for each that it closes.
class DescriptorsTaken
{
public:
  DescriptorsTaken()
  {
    ::getrlimit(RLIMIT_NOFILE, &limit_);
    const int firstFree = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    ::close(firstFree);
    const rlimit noneLeft{ static_cast<rlim_t>(firstFree), limit_.rlim_max };
    ::setrlimit(RLIMIT_NOFILE, &noneLeft);
  }
  ~DescriptorsTaken() { ::setrlimit(RLIMIT_NOFILE, &limit_); }
  DescriptorsTaken(const DescriptorsTaken&) = delete;
  DescriptorsTaken& operator=(const DescriptorsTaken&) = delete;

private:
  rlimit limit_{};
};

} // namespace boragepier::testing

#endif
