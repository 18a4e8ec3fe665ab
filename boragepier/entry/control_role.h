#ifndef BORAGEPIER_ENTRY_CONTROL_ROLE_H
#define BORAGEPIER_ENTRY_CONTROL_ROLE_H

#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <utility>

#include "boragepier/base/errors.h"
#include "boragepier/config/settings.h"
#include "boragepier/control/control_status.h"
#include "boragepier/net/event_loop.h"
#include "boragepier/state/config_record.h"
#include "boragepier/state/routing_table.h"

namespace boragepier {

/// Keeps configuration, upstreams and members of one instance up to date, in a thread of its own.
class ControlRole
{
public:
  using RoutingCallback = std::function<void(std::shared_ptr<const RoutingTable>)>;

  /// A question to the control thread waits at most this long; without progress for as long the
  /// thread counts as stuck.
  static constexpr auto kAskTimeout = std::chrono::seconds(5);

  ControlRole() = default;
  virtual ~ControlRole() = default;
  ControlRole(const ControlRole&) = delete;
  ControlRole& operator=(const ControlRole&) = delete;

  /// Opens the address for other instances, if there is one, and starts the thread.
  /// @return the port for other instances, 0 without one
  /// @throws net::ListenError if the address cannot be used
  virtual std::uint16_t Start() = 0;
  virtual void Stop() = 0;
  /// An upstream said that it is leaving. Any thread.
  virtual void ReportLeaving(const UpstreamId& aUpstream, std::uint64_t aStartNumber) = 0;
  /// Waits for the control thread to take over a record.
  /// @return whether it was newer than the one held
  /// @throws Error if it cannot be put in force, or the control thread does not answer in time
  virtual bool Announce(ConfigRecord aRecord) = 0;
  virtual void BeginShutdown() = 0;
  /// Puts the limits of changed settings into force. Any thread.
  virtual void Reload(const Settings& /*aSettings*/) {}
  /// @return whether the control thread has made progress in the last seconds
  virtual bool Responsive() const = 0;
  /// Waits for the control thread to describe its state.
  /// @throws Error if it does not answer in time
  virtual ControlStatus Status() = 0;

protected:
  /// Runs aFunction in the thread of a loop and returns its result.
  /// @throws Error if the thread does not answer in time
  template<typename Function>
  static auto Ask(net::EventLoop& aLoop, Function aFunction)
  {
    using Result = decltype(aFunction());
    auto task = std::make_shared<std::packaged_task<Result()>>(std::move(aFunction));
    auto future = task->get_future();
    aLoop.Post([task] { (*task)(); });
    if (future.wait_for(kAskTimeout) != std::future_status::ready) {
      throw Error("the control thread does not answer");
    }
    return future.get();
  }
};

} // namespace boragepier

#endif
