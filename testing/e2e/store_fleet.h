#ifndef BORAGEPIER_TESTING_E2E_STORE_FLEET_H
#define BORAGEPIER_TESTING_E2E_STORE_FLEET_H

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "boragepier/net/event_loop.h"
#include "platform/store_stand_in.h"
#include "testing/e2e/child_process.h"
#include "testing/wire/loop_thread.h"

namespace boragepier::testing {

/// A stand-in of the users' store, and instances of the real binary with the binding to it. There
/// are no upstreams: a request to a route gets 503, any other one 404.
class StoreFleet
{
public:
  /// Writes a configuration and starts the instances.
  StoreFleet(std::size_t aInstances, const std::string& aConfig)
  {
    Publish(aConfig);
    for (std::size_t i = 0; i < aInstances; ++i) {
      settings_.push_back(std::filesystem::temp_directory_path() /
                          ("boragepier-store-fleet-" + std::to_string(storePort_) + '-' +
                           std::to_string(i) + ".ini"));
      std::ofstream(settings_.back()) << "[instance]\nid = front-" << i
                                      << "\nzone = a\n[store]\naddress = 127.0.0.1:" << storePort_
                                      << "\n[fleet]\nfirst-start = true\n";
      instances_.push_back(std::make_unique<ChildProcess>(
        BORAGEPIER_BINARY, std::vector<std::string>{ "--settings", settings_.back().string() }));
      ports_.push_back(instances_.back()->ReadPort("listening"));
    }
  }

  ~StoreFleet()
  {
    instances_.clear();
    for (const std::filesystem::path& path : settings_) {
      std::filesystem::remove(path);
    }
  }
  StoreFleet(const StoreFleet&) = delete;
  StoreFleet& operator=(const StoreFleet&) = delete;

  /// Runs a function with the store in its thread.
  /// @return its result
  template<typename Function>
  auto RunWithStore(Function aFunction)
  {
    return thread_.Run([&] { return aFunction(store_); });
  }

  /// Writes a configuration to the store.
  void Publish(const std::string& aConfig)
  {
    RunWithStore([&](auto& aStore) { aStore.Put("op", "config", aConfig); });
  }

  /// @return the ports of the instances for callers
  const std::vector<std::uint16_t>& Ports() const { return ports_; }

private:
  net::EventLoop loop_;
  metastore::StoreStandIn store_{ loop_ };
  const std::uint16_t storePort_ = store_.Listen("127.0.0.1", 0);
  LoopThread thread_{ loop_ };
  std::vector<std::filesystem::path> settings_;
  std::vector<std::unique_ptr<ChildProcess>> instances_;
  std::vector<std::uint16_t> ports_;
};

} // namespace boragepier::testing

#endif
