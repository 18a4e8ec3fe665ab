#include "boragepier/net/event_loop.h"

#include <array>
#include <chrono>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "boragepier/base/internal_error.h"

#include <CppUTest/TestHarness.h>

namespace boragepier::net {

TEST_GROUP(EventLoop)
{
  using Socket = boost::asio::local::stream_protocol::socket;

  EventLoop loop_;
};

// Guards against requests that time out although their response had arrived while the thread was
// stalled.
TEST(EventLoop, InputReadyBeforeATimerIsDueIsHandledFirst)
{
  constexpr std::size_t kConnections = 200;
  std::vector<Socket> readers;
  std::vector<Socket> writers;
  std::array<char, 1> readBuffer{};
  std::string order;
  for (std::size_t i = 0; i < kConnections; ++i) {
    readers.emplace_back(loop_.Context());
    writers.emplace_back(loop_.Context());
    boost::asio::local::connect_pair(readers.back(), writers.back());
    readers.back().async_read_some(
      boost::asio::buffer(readBuffer),
      [&](const boost::system::error_code&, std::size_t) { order += 'i'; });
  }
  loop_.After(std::chrono::milliseconds(20), [&] {
    order += 't';
    loop_.Stop();
  });
  loop_.Post([&] {
    for (Socket& writer : writers) {
      boost::asio::write(writer, boost::asio::buffer("x", 1));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
  });
  loop_.Run();
  CHECK_EQUAL(std::string(kConnections, 'i') + 't', order);
}

// Guards against starvation of timers under continuous input.
TEST(EventLoop, TimersRunWhileInputIsAlwaysReady)
{
  int rounds = 0;
  std::function<void()> repostItself = [&] {
    ++rounds;
    boost::asio::post(loop_.Context(), [&] { repostItself(); });
  };
  repostItself();
  loop_.After(std::chrono::milliseconds(10), [&] { loop_.Stop(); });
  loop_.Run();
  CHECK(rounds > 0);
}

// Guards against one callback that throws and so ends the thread with all other requests.
TEST(EventLoop, TaskTimerAndIoCallbackThatThrowEndAlone)
{
  const std::uint64_t countBefore = InternalErrorCount(ErrorScope::Task);
  std::string order;
  loop_.Post([] { throw std::runtime_error("task"); });
  loop_.Post([&] { order += 'p'; });
  boost::asio::post(loop_.Context(), [] { throw 1; });
  boost::asio::post(loop_.Context(), [&] { order += 'i'; });
  loop_.After(Duration(0), [] { throw std::runtime_error("timer"); });
  loop_.After(std::chrono::milliseconds(10), [&] {
    order += 't';
    loop_.Stop();
  });
  loop_.Run();
  CHECK_EQUAL(std::string("pit"), order);
  CHECK_EQUAL(3U, InternalErrorCount(ErrorScope::Task) - countBefore);
}

} // namespace boragepier::net
