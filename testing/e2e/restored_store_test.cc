#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "boragepier/net/event_loop.h"
#include "platform/store_stand_in.h"
#include "testing/e2e/child_process.h"
#include "testing/wire/loop_thread.h"
#include "testing/wire/raw_socket.h"

#include <CppUTest/TestHarness.h>

namespace boragepier::testing {

namespace {

constexpr int kInstanceCount = 3;

// A configuration with one route, whose prefix is the version.
std::string
MakeConfig(unsigned aVersion)
{
  std::array<char, 9> version{};
  std::snprintf(version.data(), version.size(), "%08x", aVersion);
  return std::string(R"({"version":")") + version.data() +
         R"(","routes":[{"name":"r","host":"a","prefix":"/)" + std::to_string(aVersion) +
         R"(/","kind":"safe","service":"s"}],"services":[{"name":"s","health_path":"/health"}]})";
}

} // namespace

// Runs the real binary with the binding to the users' store, before a store that is restored from
// an older copy. There are no upstreams: a request to a route gets 503, any other one 404.
TEST_GROUP(RestoredStore)
{
  net::EventLoop loop_;
  metastore::StoreStandIn store_{ loop_ };
  const std::uint16_t storePort_ = store_.Listen("127.0.0.1", 0);
  std::unique_ptr<LoopThread> thread_ = std::make_unique<LoopThread>(loop_);
  std::vector<std::filesystem::path> settings_;
  std::vector<std::unique_ptr<ChildProcess>> instances_;
  std::vector<std::uint16_t> ports_;

  void setup() override
  {
    Publish(10);
    for (int i = 0; i < kInstanceCount; ++i) {
      settings_.push_back(
        std::filesystem::temp_directory_path() /
        ("boragepier-restored-" + std::to_string(storePort_) + '-' + std::to_string(i) + ".ini"));
      std::ofstream(settings_.back()) << "[instance]\nid = front-" << i
                                      << "\nzone = a\n[store]\naddress = 127.0.0.1:" << storePort_
                                      << "\n[fleet]\nfirst-start = true\n";
      instances_.push_back(std::make_unique<ChildProcess>(
        BORAGEPIER_BINARY, std::vector<std::string>{ "--settings", settings_.back().string() }));
      ports_.push_back(instances_.back()->ReadPort("listening"));
    }
  }

  void teardown() override
  {
    instances_.clear();
    thread_.reset();
    for (const std::filesystem::path& path : settings_) {
      std::filesystem::remove(path);
    }
  }

  void Publish(unsigned aVersion)
  {
    thread_->Run([&] { store_.Put("op", "config", MakeConfig(aVersion)); });
  }

  bool IsInForce(std::uint16_t aPort, unsigned aVersion)
  {
    RawSocket caller(aPort);
    caller.Send("GET /" + std::to_string(aVersion) + "/ HTTP/1.1\r\nHost: a\r\n\r\n");
    return caller.ReadMessage().starts_with("HTTP/1.1 503");
  }

  void WaitForVersion(unsigned aVersion, unsigned aOtherVersion)
  {
    for (const std::uint16_t port : ports_) {
      WaitUntil([&] { return IsInForce(port, aVersion) && !IsInForce(port, aOtherVersion); });
    }
  }

  void WaitForInstances(std::size_t aCount)
  {
    WaitUntil([&] { return thread_->Run([&] { return store_.RowCount("instances"); }) == aCount; });
  }
};

// Guards against processes that keep the version that the copy lacks, miss one that is written at a
// version of the store that was given out before, or do not register again.
TEST(RestoredStore, EveryInstanceTakesTheCopyAndWhatIsWrittenToItLater)
{
  WaitForVersion(10, 12);
  thread_->Run([&] { store_.TakeCopy(); });
  Publish(12);
  WaitForVersion(12, 10);
  WaitForInstances(kInstanceCount);
  thread_->Run([&] { store_.Restore(); });
  WaitForVersion(10, 12);
  WaitForInstances(kInstanceCount);
  Publish(11);
  WaitForVersion(11, 10);
  thread_->Run([&] {
    store_.Restore();
    store_.Put("op", "config", MakeConfig(9));
    store_.Put("op", "config", MakeConfig(14));
  });
  WaitForVersion(14, 11);
  WaitForInstances(kInstanceCount);
  CHECK(IsInForce(ports_.front(), 14));
}

} // namespace boragepier::testing
