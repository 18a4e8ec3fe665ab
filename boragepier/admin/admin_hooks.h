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

/// AdminHooksBuilder::Build() was called while a required hook was missing.
class AdminHooksError : public Error
{
public:
  using Error::Error;
};

/// Result of announcing a configuration.
enum class AnnounceResult : std::uint8_t
{
  Accepted, ///< active, or handed to the control thread to be activated
  Outdated, ///< not newer than the active one
};

/// Data sources and callbacks of the admin API. The functions run in the thread of the admin
/// server; they must be thread-safe and return quickly, because they block all other admin
/// requests.
struct AdminHooks
{
  std::function<bool()> live_; ///< whether the process makes progress
  std::function<InstanceStatus()> status_;
  /// Receives a record whose version and body have been validated.
  std::function<AnnounceResult(ConfigRecord)> announce_;
  const Metrics* metrics_ = nullptr;
  const ExplainStore* explain_ = nullptr;
};

/// Collects the hooks and checks that none is missing.
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
  /// @param aFunction returns whether the process makes progress; without it /live always returns
  ///   200
  AdminHooksBuilder& WithLive(std::function<bool()> aFunction);
  AdminHooksBuilder& WithStatus(std::function<InstanceStatus()> aFunction);
  AdminHooksBuilder& WithAnnounce(std::function<AnnounceResult(ConfigRecord)> aFunction);
  /// @param aMetrics must outlive the server
  AdminHooksBuilder& WithMetrics(const Metrics& aMetrics);
  /// @param aStore must outlive the server
  AdminHooksBuilder& WithExplain(const ExplainStore& aStore);

  /// @throws AdminHooksError if any hook other than WithLive() is missing
  AdminHooks Build() const;

private:
  AdminHooks hooks_;
};

} // namespace boragepier

#endif
