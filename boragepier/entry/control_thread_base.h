#ifndef BORAGEPIER_ENTRY_CONTROL_THREAD_BASE_H
#define BORAGEPIER_ENTRY_CONTROL_THREAD_BASE_H

#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <utility>

#include "boragepier/base/errors.h"
#include "boragepier/config/settings.h"
#include "boragepier/control/control_status.h"
#include "boragepier/net/event_loop.h"
#include "boragepier/quota/quota_gate.h"
#include "boragepier/state/config_record.h"
#include "boragepier/state/routing_table.h"

namespace boragepier {

/// Base class of the control threads of an instance. A control thread keeps the configuration, the
/// upstreams and the list of live instances up to date.
class ControlThreadBase
{
public:
  /// Receives each new routing table, in the control thread.
  using RoutingCallback = std::function<void(std::shared_ptr<const RoutingTable>)>;

  /// Longest time that other threads wait for a result of the control thread. A control thread that
  /// makes no progress for this time is reported as not responsive.
  static constexpr auto kResponseTimeout = std::chrono::seconds(5);

  ControlThreadBase() = default;
  virtual ~ControlThreadBase() = default;
  ControlThreadBase(const ControlThreadBase&) = delete;
  ControlThreadBase& operator=(const ControlThreadBase&) = delete;

  /// Listens for other instances, if the implementation has peers. Call once.
  /// @return the port for other instances; 0 without peers
  /// @throws net::ListenError if the address cannot be used
  virtual std::uint16_t Listen() = 0;
  /// Starts the thread; call after Listen(). Functions that wait for the thread may be called
  /// before.
  virtual void Start() = 0;
  /// Ends the thread and waits for it. Safe to call more than once.
  virtual void Stop() = 0;
  /// Reports an upstream whose response showed that it is leaving. Thread-safe.
  /// @param aStartNumber identifies the start of the upstream that is leaving; later starts under
  ///   the same id are not affected
  virtual void ReportLeaving(const UpstreamId& aUpstream, std::uint64_t aStartNumber) = 0;
  /// Hands a configuration record to the control thread and waits for the result.
  /// @return whether the record is newer than the one held
  /// @throws Error if the record cannot be applied, or the control thread does not respond within
  ///   kResponseTimeout
  virtual bool Announce(ConfigRecord aRecord) = 0;
  /// Tells the other instances that this one is shutting down. Thread-safe.
  virtual void BeginShutdown() = 0;
  /// Applies the limits of changed settings. Does nothing unless overridden. Thread-safe.
  virtual void Reload(const Settings& /*aSettings*/) {}
  /// @return keeps the quotas of teams; null if this control thread doesn't
  virtual QuotaGate* Quotas() { return nullptr; }
  /// @return whether the control thread has made progress within kResponseTimeout. Thread-safe.
  virtual bool Responsive() const = 0;
  /// Queries the state of the control thread and waits for the result. Thread-safe.
  /// @throws Error if the control thread does not respond within kResponseTimeout
  virtual ControlStatus Status() = 0;

protected:
  /// Runs aFunction in the thread of aLoop and waits for its result.
  /// @throws Error if there is no result within kResponseTimeout
  template<typename Function>
  static auto CallInLoop(net::EventLoop& aLoop, Function aFunction)
  {
    using Result = decltype(aFunction());
    auto task = std::make_shared<std::packaged_task<Result()>>(std::move(aFunction));
    auto future = task->get_future();
    aLoop.Post([task] { (*task)(); });
    if (future.wait_for(kResponseTimeout) != std::future_status::ready) {
      throw Error("the control thread did not respond");
    }
    return future.get();
  }
};

} // namespace boragepier

#endif
