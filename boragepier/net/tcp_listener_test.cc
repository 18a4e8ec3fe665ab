#include "boragepier/net/tcp_listener.h"

#include <memory>
#include <vector>

#include "boragepier/net/descriptor_shortage.h"
#include "testing/wire/descriptors_taken.h"
#include "testing/wire/loop_thread.h"
#include "testing/wire/raw_socket.h"

// Included last, because it defines a macro for new that breaks standard headers.
#include <CppUTest/TestHarness.h>

namespace boragepier::net {

using boragepier::testing::DescriptorsTaken;
using boragepier::testing::LoopThread;
using boragepier::testing::RawSocket;
using boragepier::testing::WaitUntil;

TEST_GROUP(TcpListener){};

// Guards against connections that hang while the process has no descriptor to accept them.
TEST(TcpListener, ConnectionsWithoutADescriptorAreClosedAtOnce)
{
  EventLoop loop;
  std::vector<std::shared_ptr<TcpStream>> accepted;
  TcpListener listener(loop, "127.0.0.1", 0, [&](std::shared_ptr<TcpStream> aStream) {
    accepted.push_back(std::move(aStream));
  });
  LoopThread thread(loop);
  constexpr int kCallers = 20;
  std::vector<RawSocket> callers;
  callers.reserve(kCallers);
  const std::uint64_t shortagesBefore = DescriptorShortageCount();
  std::unique_ptr<DescriptorsTaken> descriptorsTaken;
  // The loop accepts none of the connections before this returns.
  thread.Run([&] {
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back(listener.Port());
    }
    descriptorsTaken = std::make_unique<DescriptorsTaken>();
  });
  for (const RawSocket& caller : callers) {
    WaitUntil([&] { return caller.HasInput(); });
  }
  descriptorsTaken.reset();
  const std::uint64_t shortages = thread.Run([] { return DescriptorShortageCount(); });
  CHECK_EQUAL(shortagesBefore + callers.size(), shortages);
  CHECK_EQUAL(0U, thread.Run([&] { return accepted.size(); }));
  // With descriptors, connections are accepted as before.
  const RawSocket later(listener.Port());
  WaitUntil([&] { return thread.Run([&] { return accepted.size(); }) == 1; });
}

// Guards against a lack of ports towards one address that closes the connections to all others.
TEST(TcpListener, LackOfPortsIsNoLimitOfAllConnections)
{
  const auto error = [](int aNumber) {
    return boost::system::error_code(aNumber, boost::system::system_category());
  };
  CHECK(!IsLocalLimit(error(EADDRNOTAVAIL)));
  CHECK(IsLocalLimit(error(EMFILE)) && IsLocalLimit(error(ENOBUFS)));
  CHECK(IsDescriptorLimit(error(ENFILE)) && !IsDescriptorLimit(error(ENOBUFS)));
}

} // namespace boragepier::net
