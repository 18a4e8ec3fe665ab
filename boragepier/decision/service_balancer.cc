#include "boragepier/decision/service_balancer.h"

#include "boragepier/decision/service_balancer_impl.h"

namespace boragepier {

ServiceBalancer::ServiceBalancer(ServiceConfig aConfig, ZoneName aLocalZone, std::uint64_t aSeed)
  : impl_(std::make_unique<Impl>(std::move(aConfig), std::move(aLocalZone), aSeed))
{
}

ServiceBalancer::~ServiceBalancer() = default;

void
ServiceBalancer::SetConfig(ServiceConfig aConfig, MonotonicTime aNow)
{
  impl_->SetConfig(std::move(aConfig), aNow);
}

void
ServiceBalancer::SetUpstreams(std::span<const UpstreamEndpoint> aUpstreams, MonotonicTime aNow)
{
  impl_->SetUpstreams(aUpstreams, aNow);
}

void
ServiceBalancer::SetFleet(const InstanceId& aSelf,
                          std::span<const InstanceId> aInstances,
                          MonotonicTime)
{
  impl_->SetFleet(aSelf, aInstances);
}

RoutingDecision
ServiceBalancer::Submit(const CallInfo& aCall, MonotonicTime aNow)
{
  return impl_->Submit(aCall, aNow);
}

void
ServiceBalancer::OnAttemptEnded(const AttemptReport& aReport, MonotonicTime aNow)
{
  impl_->OnAttemptEnded(aReport, aNow);
}

void
ServiceBalancer::MarkLeaving(UpstreamHandle aUpstream)
{
  impl_->MarkLeaving(aUpstream);
}

Duration
ServiceBalancer::BeginPause(UpstreamHandle aUpstream, Duration aDuration, MonotonicTime aNow)
{
  return impl_->BeginPause(aUpstream, aDuration, aNow);
}

Duration
ServiceBalancer::RetryAfterAllPause(MonotonicTime aNow)
{
  return impl_->RetryAfterAllPause(aNow);
}

void
ServiceBalancer::RecogniseReturn(CallInfo&, Duration, MonotonicTime)
{
}

ReturnAdvice
ServiceBalancer::Advise(const CallInfo&, RefusalCause aCause, Duration aRetryAfter, MonotonicTime)
{
  return { aCause, aRetryAfter };
}

std::vector<ReleasedCall>
ServiceBalancer::Release(MonotonicTime aNow)
{
  return impl_->Release(aNow);
}

std::optional<MonotonicTime>
ServiceBalancer::NextRelease() const
{
  return impl_->NextRelease();
}

bool
ServiceBalancer::CancelQueued(std::uint64_t aCallId, MonotonicTime)
{
  return impl_->CancelQueued(aCallId);
}

RetryDecision
ServiceBalancer::DecideRetry(const CallInfo& aCall,
                             const AttemptReport& aReport,
                             MonotonicTime aNow)
{
  return impl_->DecideRetry(aCall, aReport, aNow);
}

std::optional<Duration>
ServiceBalancer::HedgeDelay(const CallInfo& aCall, MonotonicTime aNow) const
{
  return impl_->HedgeDelay(aCall, aNow);
}

std::optional<UpstreamHandle>
ServiceBalancer::DecideHedge(const CallInfo& aCall, MonotonicTime aNow)
{
  return impl_->DecideHedge(aCall, aNow);
}

Duration
ServiceBalancer::AttemptTimeout(const CallInfo& aCall, MonotonicTime aNow) const
{
  return impl_->AttemptTimeout(aCall, aNow);
}

std::optional<UpstreamHandle>
ServiceBalancer::NextProbe(MonotonicTime aNow)
{
  return impl_->NextProbe(aNow);
}

void
ServiceBalancer::OnProbeEnded(UpstreamHandle aUpstream,
                              std::optional<LoadReport> aLoad,
                              Duration aRoundTrip,
                              MonotonicTime aNow)
{
  impl_->OnProbeEnded(aUpstream, aLoad, aRoundTrip, aNow);
}

std::shared_ptr<const UpstreamEndpoint>
ServiceBalancer::Endpoint(UpstreamHandle aUpstream) const
{
  return impl_->Endpoint(aUpstream);
}

std::optional<UpstreamHandle>
ServiceBalancer::Find(const UpstreamId& aId) const
{
  return impl_->Find(aId);
}

unsigned
ServiceBalancer::ConnectionLimit() const
{
  return impl_->ConnectionLimit();
}

std::vector<CandidateInfo>
ServiceBalancer::Candidates(MonotonicTime aNow) const
{
  return impl_->Candidates(aNow);
}

std::size_t
ServiceBalancer::QueueLength() const
{
  return impl_->QueueLength();
}

} // namespace boragepier
