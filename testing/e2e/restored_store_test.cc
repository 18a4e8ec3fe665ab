#include <array>
#include <cstdio>
#include <string>

#include "testing/e2e/store_fleet.h"
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

// Runs the real binary before a store that is restored from an older copy.
TEST_GROUP(RestoredStore)
{
  StoreFleet fleet_{ kInstanceCount, MakeConfig(10) };

  void Publish(unsigned aVersion)
  {
    fleet_.Publish(MakeConfig(aVersion));
  }

  bool IsInForce(std::uint16_t aPort, unsigned aVersion)
  {
    RawSocket caller(aPort);
    caller.Send("GET /" + std::to_string(aVersion) + "/ HTTP/1.1\r\nHost: a\r\n\r\n");
    return caller.ReadMessage().starts_with("HTTP/1.1 503");
  }

  void WaitForVersion(unsigned aVersion, unsigned aOtherVersion)
  {
    for (const std::uint16_t port : fleet_.Ports()) {
      WaitUntil([&] { return IsInForce(port, aVersion) && !IsInForce(port, aOtherVersion); });
    }
  }

  void WaitForInstances(std::size_t aCount)
  {
    WaitUntil([&] {
      return fleet_.RunWithStore([](auto& aStore) { return aStore.RowCount("instances"); }) ==
             aCount;
    });
  }
};

// Guards against processes that keep the version that the copy lacks, miss one that is written at a
// version of the store that was given out before, or do not register again.
TEST(RestoredStore, EveryInstanceTakesTheCopyAndWhatIsWrittenToItLater)
{
  WaitForVersion(10, 12);
  fleet_.RunWithStore([](auto& aStore) { aStore.TakeCopy(); });
  Publish(12);
  WaitForVersion(12, 10);
  WaitForInstances(kInstanceCount);
  fleet_.RunWithStore([](auto& aStore) { aStore.Restore(); });
  WaitForVersion(10, 12);
  WaitForInstances(kInstanceCount);
  Publish(11);
  WaitForVersion(11, 10);
  fleet_.RunWithStore([](auto& aStore) {
    aStore.Restore();
    aStore.Put("op", "config", MakeConfig(9));
    aStore.Put("op", "config", MakeConfig(14));
  });
  WaitForVersion(14, 11);
  WaitForInstances(kInstanceCount);
  CHECK(IsInForce(fleet_.Ports().front(), 14));
}

} // namespace boragepier::testing
