#ifndef BORAGEPIER_ENTRY_PIPELINE_DEPENDENCIES_H
#define BORAGEPIER_ENTRY_PIPELINE_DEPENDENCIES_H

#include <concepts>
#include <functional>
#include <memory>

#include "boragepier/base/time.h"
#include "boragepier/entry/call_observer.h"
#include "boragepier/entry/service_router.h"
#include "boragepier/entry/wire_dialect.h"
#include "boragepier/http/client.h"
#include "boragepier/net/event_loop.h"
#include "boragepier/ports/scheduler.h"
#include "boragepier/quota/quota_gate.h"
#include "boragepier/state/claim_service.h"

namespace boragepier {

/// Sends requests to upstreams, each exactly once. http::Client in production.
template<typename T>
concept RequestSender = requires(T& aSender,
                                 const http::Target& aTarget,
                                 std::shared_ptr<const http::Request> aRequest,
                                 const http::SendOptions& aOptions,
                                 std::function<void(http::SendResult)> aDone,
                                 http::SendId aId)
{
  {
    aSender.Send(aTarget, aRequest, aOptions, aDone)
    } -> std::same_as<http::SendId>;
  {
    aSender.Cancel(aId)
    } -> std::same_as<Outcome>;
  // Ends the requests to a target of which nothing was written yet, as Withdrawn.
  aSender.Withdraw(aTarget);
};

/// Ensures that at most one of several requests with the same idempotency key runs.
/// BatchedClaimService in production.
template<typename T>
concept ClaimCoordinator = requires(T& aClaims,
                                    ClaimRequest aRequest,
                                    MonotonicTime aNow,
                                    std::function<void(ClaimResult)> aDone,
                                    ClaimHandle aHandle,
                                    RecordedAnswer aAnswer)
{
  aClaims.Claim(aRequest, aNow, aDone);
  aClaims.RecordAnswer(std::move(aHandle), aAnswer, aNow);
  aClaims.Release(std::move(aHandle), aNow);
};

/// Objects that the requests of one traffic thread share.
template<Scheduler S, RequestSender R, ClaimCoordinator C>
struct PipelineDependencies
{
  S& scheduler_;
  R& sender_;
  C& claims_;
  ServiceRouter& router_;
  CallObserver& observer_;
  std::function<WallTime()> wallClockNow_; ///< for records that outlive the process
  const WireDialect& dialect_ = NativeDialect();
  QuotaGate* quotas_ = nullptr; ///< null if the quotas of teams are not kept
};

} // namespace boragepier

#endif
