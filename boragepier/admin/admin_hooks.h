#ifndef BORAGEPIER_ADMIN_ADMIN_HOOKS_H
#define BORAGEPIER_ADMIN_ADMIN_HOOKS_H

#include <cstdint>
#include <functional>

#include "boragepier/admin/instance_status.h"
#include "boragepier/base/errors.h"
#include "boragepier/state/config_record.h"
#include "boragepier/telemetry/explain.h"
#include "boragepier/telemetry/metrics.h"

namespace boragepier {

/// AdminHooksBuilder::Build() was called without a hook that is needed.
class AdminHooksError : public Error
{
public:
  using Error::Error;
};

/// What became of an announced configuration.
enum class AnnounceResult : std::uint8_t
{
  Accepted, ///< in force, or handed to the control thread to be put into force
  Outdated, ///< not newer than the one in force
};

/// Where the admin surface takes its data from. The functions run in the thread of the admin
/// server; they must be thread-safe and soon return.
struct AdminHooks
{
  std::function<bool()> live_;
  std::function<InstanceStatus()> status_;
  /// Receives a record whose body has been parsed successfully.
  std::function<AnnounceResult(ConfigRecord)> announce_;
  const Metrics* metrics_ = nullptr;
  const ExplainStore* explain_ = nullptr;
};

/// Builds AdminHooks.
///
///   AdminHooks hooks = AdminHooksBuilder()
///                        .WithStatus([&] { return control.Status(); })
///                        .WithAnnounce([&](ConfigRecord r) { return control.Announce(r); })
///                        .WithMetrics(metrics)
///                        .WithExplain(explain)
///                        .Build();
class AdminHooksBuilder
{
public:
  /// @param aFunction whether the process makes progress; without it /live returns 200 always
  AdminHooksBuilder& WithLive(std::function<bool()> aFunction);
  AdminHooksBuilder& WithStatus(std::function<InstanceStatus()> aFunction);
  AdminHooksBuilder& WithAnnounce(std::function<AnnounceResult(ConfigRecord)> aFunction);
  /// @param aMetrics outlives the server
  AdminHooksBuilder& WithMetrics(const Metrics& aMetrics);
  /// @param aStore outlives the server
  AdminHooksBuilder& WithExplain(const ExplainStore& aStore);

  /// @throws AdminHooksError if anything but WithLive() is missing
  AdminHooks Build() const;

private:
  AdminHooks hooks_;
};

} // namespace boragepier

#endif
