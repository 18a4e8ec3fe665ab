#include "boragepier/base/descriptor_budget.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

std::size_t
Sum(const DescriptorShares& aShares)
{
  return aShares.files_ + aShares.listeners_ + aShares.storeConnections_ + aShares.peersOutgoing_ +
         aShares.peersIncoming_ + aShares.admin_ + aShares.adminRefused_ + aShares.callers_ +
         aShares.callersRefused_ + aShares.upstreams_;
}

} // namespace

TEST_GROUP(DescriptorBudget){};

// Guards against shares that together exceed the limit, so that one part takes descriptors that are
// reserved for another, and against a part without any.
TEST(DescriptorBudget, SharesFitTheLimit)
{
  for (std::size_t limit = kMinDescriptorLimit; limit < 10000; ++limit) {
    for (const std::size_t maxCallers : { 1U, 100U, 2000U, 1000000U }) {
      const DescriptorShares shares = DivideDescriptors(limit, maxCallers);
      CHECK_EQUAL(limit, Sum(shares));
      CHECK(shares.callers_ >= 1 && shares.callers_ <= maxCallers);
      CHECK(shares.upstreams_ >= shares.callers_);
      CHECK(shares.files_ >= 16 && shares.storeConnections_ >= 4);
      CHECK(shares.peersOutgoing_ >= 2 && shares.peersIncoming_ >= 2);
      CHECK(shares.admin_ >= 4 && shares.adminRefused_ >= 4 && shares.callersRefused_ >= 4);
    }
  }
}

TEST(DescriptorBudget, SharesOfCommonLimits)
{
  CHECK_EQUAL(9U, DivideDescriptors(64, 4096).callers_);
  CHECK_EQUAL(77U, DivideDescriptors(256, 4096).callers_);
  CHECK_EQUAL(337U, DivideDescriptors(1024, 4096).callers_);
  CHECK_EQUAL(100U, DivideDescriptors(1024, 100).callers_);
}

// On the users' platform 200 of 4,100 descriptors are reserved for files.
TEST(DescriptorBudget, PlatformReservesDescriptorsForFiles)
{
  const DescriptorShares shares = DivideDescriptors(4100, 2000);
  CHECK_EQUAL(200U, shares.files_);
  CHECK(shares.callers_ >= 1000);
}

// Guards against a configured number of callers that is lowered although all fit.
TEST(DescriptorBudget, LargeLimitsLeaveTheSettings)
{
  for (const std::size_t limit :
       { std::size_t{ 20000 }, std::size_t{ 1 } << 20U, ~std::size_t{} }) {
    const DescriptorShares shares = DivideDescriptors(limit, 4096);
    CHECK_EQUAL(4096U, shares.callers_);
    CHECK_EQUAL(64U, shares.callersRefused_);
    CHECK_EQUAL(64U, shares.admin_);
  }
}

// Guards against an underflow with a limit below that at which an instance can work.
TEST(DescriptorBudget, TinyLimitsLeaveOneOfEach)
{
  for (std::size_t limit = 0; limit < kMinDescriptorLimit; ++limit) {
    const DescriptorShares shares = DivideDescriptors(limit, 4096);
    CHECK(shares.callers_ >= 1 && shares.callers_ < kMinDescriptorLimit);
    CHECK(shares.upstreams_ >= 1 && shares.upstreams_ < kMinDescriptorLimit);
  }
}

// Guards against a process that stays at a low soft limit although it may raise it.
TEST(DescriptorBudget, SoftLimitIsRaisedToTheHardLimit)
{
  rlimit before{};
  CHECK_EQUAL(0, getrlimit(RLIMIT_NOFILE, &before));
  const rlimit low{ 64, before.rlim_max };
  CHECK_EQUAL(0, setrlimit(RLIMIT_NOFILE, &low));
  const ProcessDescriptorLimit limit = RaiseDescriptorLimit();
  rlimit after{};
  CHECK_EQUAL(0, getrlimit(RLIMIT_NOFILE, &after));
  CHECK_EQUAL(0, setrlimit(RLIMIT_NOFILE, &before));
  CHECK(after.rlim_cur == before.rlim_max);
  CHECK_EQUAL(64U, limit.initial_);
  CHECK(limit.current_ >= limit.initial_);
}

TEST(DescriptorBudget, OpenDescriptorsAreCounted)
{
  const auto before = CountOpenDescriptors();
  const int descriptor = open("/dev/null", O_RDONLY | O_CLOEXEC);
  const auto after = CountOpenDescriptors();
  close(descriptor);
  CHECK(before && after);
  CHECK_EQUAL(*before + 1, *after);
}

} // namespace boragepier
