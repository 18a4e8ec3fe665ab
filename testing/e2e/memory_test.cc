#include <cstddef>
#include <fstream>
#include <future>
#include <string>
#include <vector>

#include "testing/e2e/fleet.h"
#include "testing/wire/raw_socket.h"

#include <CppUTest/TestHarness.h>

namespace boragepier::testing {

namespace {

constexpr std::size_t kDefaultMemoryMb = 256; // instance.memory-mb
constexpr std::size_t kUploadBytes = 60'000'000;
constexpr int kUploads = 5;

// Returns the greatest resident memory that a process has had, in bytes.
std::size_t
PeakResidentBytes(pid_t aPid)
{
  std::ifstream status("/proc/" + std::to_string(aPid) + "/status");
  for (std::string word; status >> word;) {
    if (word == "VmHWM:") {
      std::size_t kilobytes = 0;
      status >> kilobytes;
      return kilobytes * 1024;
    }
  }
  return 0;
}

std::string
Upload(std::uint16_t aPort, int aNumber)
{
  RawSocket socket(aPort);
  socket.Send("POST /orders/1 HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k" + std::to_string(aNumber) +
              "\r\nBoragepier-Deadline-Ms: 20000\r\nConnection: close\r\nContent-Length: " +
              std::to_string(kUploadBytes) + "\r\n\r\n");
  socket.Send(std::string(kUploadBytes, 'x'));
  return socket.ReadMessage();
}

} // namespace

TEST_GROUP(Memory)
{
  Fleet fleet_;
};

// Guards against a process that is killed, with every request it holds, because uploads within the
// limits exceed the memory of its machine.
TEST(Memory, UploadsWithinTheLimitsStayWithinTheMemory)
{
  fleet_.AddUpstream("shop", { "--service-time-ms", "1000", "--slots", "100" });
  RunningInstance& instance = fleet_.AddInstance();
  CHECK_EQUAL(0,
              fleet_.Publish("shop",
                             MakeServiceFile("shop", "/orders/") +
                               "[limits]\nmax-request-body-bytes = 64000000\n"));
  fleet_.WaitForVersion("shop", 1);
  fleet_.WaitForStatus(instance, "/orders/0", 200);

  std::vector<std::future<std::string>> uploads;
  uploads.reserve(kUploads);
  for (int i = 0; i < kUploads; ++i) {
    uploads.push_back(
      std::async(std::launch::async, [port = instance.callerPort_, i] { return Upload(port, i); }));
  }
  int refused = 0;
  for (auto& upload : uploads) {
    if (const std::string response = upload.get(); response.starts_with("HTTP/1.1 503")) {
      ++refused;
      STRCMP_CONTAINS("Retry-After: ", response.c_str());
      STRCMP_CONTAINS("Boragepier-Outcome: not-run", response.c_str());
    } else {
      CHECK_TEXT(response.starts_with("HTTP/1.1 200"), response.c_str());
    }
  }
  CHECK(PeakResidentBytes(instance.process_->Pid()) < kDefaultMemoryMb * 1'000'000);
  CHECK(refused > 0);
  CHECK(refused < kUploads);
  fleet_.WaitForStatus(instance, "/orders/0", 200);
}

} // namespace boragepier::testing
