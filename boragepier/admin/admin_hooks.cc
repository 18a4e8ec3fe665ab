#include "boragepier/admin/admin_hooks.h"

#include <utility>

namespace boragepier {

AdminHooksBuilder&
AdminHooksBuilder::WithLive(std::function<bool()> aFunction)
{
  hooks_.live_ = std::move(aFunction);
  return *this;
}

AdminHooksBuilder&
AdminHooksBuilder::WithStatus(std::function<InstanceStatus()> aFunction)
{
  hooks_.status_ = std::move(aFunction);
  return *this;
}

AdminHooksBuilder&
AdminHooksBuilder::WithAnnounce(std::function<AnnounceResult(ConfigRecord)> aFunction)
{
  hooks_.announce_ = std::move(aFunction);
  return *this;
}

AdminHooksBuilder&
AdminHooksBuilder::WithMetrics(const Metrics& aMetrics)
{
  hooks_.metrics_ = &aMetrics;
  return *this;
}

AdminHooksBuilder&
AdminHooksBuilder::WithExplain(const ExplainStore& aStore)
{
  hooks_.explain_ = &aStore;
  return *this;
}

AdminHooks
AdminHooksBuilder::Build() const
{
  if (!hooks_.status_ || !hooks_.announce_ || !hooks_.metrics_ || !hooks_.explain_) {
    throw AdminHooksError(
      "a required admin hook is missing; status, announce, metrics and explain must be set");
  }
  AdminHooks hooks = hooks_;
  if (!hooks.live_) {
    hooks.live_ = [] { return true; };
  }
  return hooks;
}

} // namespace boragepier
