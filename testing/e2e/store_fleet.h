#ifndef BORAGEPIER_TESTING_E2E_STORE_FLEET_H
#define BORAGEPIER_TESTING_E2E_STORE_FLEET_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "boragepier/net/event_loop.h"
#include "platform/store_stand_in.h"
#include "testing/e2e/child_process.h"
#include "testing/e2e/store_settings.h"
#include "testing/wire/loop_thread.h"

namespace boragepier::testing {

/// A stand-in of the users' store, and instances of the real binary with the binding to it. Until
/// the test registers upstreams, a request to a route gets 503, any other one 404.
class StoreFleet
{
public:
  /// Writes a configuration and starts the instances.
  /// @param aMoreSettings further sections of their settings
  StoreFleet(std::size_t aInstances,
             const std::string& aConfig,
             const std::string& aMoreSettings = "")
  {
    Publish(aConfig);
    for (std::size_t i = 0; i < aInstances; ++i) {
      settings_.push_back(
        std::make_unique<StoreSettings>("front-" + std::to_string(i), storePort_, aMoreSettings));
      instances_.push_back(std::make_unique<ChildProcess>(
        BORAGEPIER_BINARY, std::vector<std::string>{ "--settings", settings_.back()->Path() }));
      ports_.push_back(instances_.back()->ReadPort("listening"));
    }
  }

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

  ChildProcess& Instance(std::size_t aIndex) { return *instances_.at(aIndex); }
  /// @return the ports of the instances for callers
  const std::vector<std::uint16_t>& Ports() const { return ports_; }

private:
  net::EventLoop loop_;
  metastore::StoreStandIn store_{ loop_ };
  const std::uint16_t storePort_ = store_.Listen("127.0.0.1", 0);
  LoopThread thread_{ loop_ };
  std::vector<std::unique_ptr<StoreSettings>> settings_;
  std::vector<std::unique_ptr<ChildProcess>> instances_;
  std::vector<std::uint16_t> ports_;
};

} // namespace boragepier::testing

#endif
