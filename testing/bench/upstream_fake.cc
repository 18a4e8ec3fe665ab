#include "testing/bench/upstream_fake.h"

#include <algorithm>

namespace boragepier::bench {

namespace {

constexpr double kWarmingMs = 3000;
// After a zone is lost, open connections swallow requests for this long; later no connection can
// be made.
constexpr Duration kSilentAfterLoss = std::chrono::milliseconds(300);

} // namespace

void
UpstreamFake::Begin(const Fault& aFault, MonotonicTime aNow)
{
  ++active_.at(static_cast<std::size_t>(aFault.kind_));
  if (aFault.kind_ == FaultKind::Straggler) {
    stragglerFactor_ = aFault.factor_;
  } else if (aFault.kind_ == FaultKind::ColdStart) {
    coldFactor_ = aFault.factor_;
    coldSince_ = aNow;
  } else if (aFault.kind_ == FaultKind::ZoneLoss) {
    lostSince_ = aNow;
  }
}

void
UpstreamFake::End(const Fault& aFault)
{
  --active_.at(static_cast<std::size_t>(aFault.kind_));
}

UpstreamFake::Admission
UpstreamFake::Arrive(const Work& aWork, MonotonicTime aNow)
{
  if (Has(FaultKind::ZoneLoss)) {
    return aNow < lostSince_ + kSilentAfterLoss ? Admission::Vanished : Admission::NoHost;
  }
  if (Has(FaultKind::FailFast)) {
    return Admission::Failed;
  }
  if (Has(FaultKind::Shedding) && running_ >= slots_) {
    return Admission::Shed;
  }
  queue_.push_back(aWork);
  return Admission::Accepted;
}

std::optional<std::pair<UpstreamFake::Work, Duration>>
UpstreamFake::Start(MonotonicTime aNow)
{
  if (queue_.empty() || running_ >= slots_) {
    return std::nullopt;
  }
  const Work work = queue_.front();
  queue_.pop_front();
  ++running_;
  double factor = Has(FaultKind::Straggler) ? stragglerFactor_ : 1;
  if (Has(FaultKind::ColdStart)) {
    const double warm = std::min(1.0, ToMilliseconds(aNow - coldSince_) / kWarmingMs);
    factor *= coldFactor_ + (1 - coldFactor_) * warm;
  }
  return std::pair(work, FromMilliseconds(work.workMs_ * factor / speed_));
}

bool
UpstreamFake::Cancel(std::uint64_t aAttempt)
{
  return std::erase_if(queue_, [&](const Work& aWork) { return aWork.attempt_ == aAttempt; }) > 0;
}

std::optional<unsigned>
UpstreamFake::Report(bool aAnswering, MonotonicTime aNow)
{
  if (Has(FaultKind::ReportsStop)) {
    return std::nullopt;
  }
  const unsigned self = aAnswering ? 1 : 0;
  if (Has(FaultKind::MisleadingReports) || Has(FaultKind::FailFast)) {
    return self;
  }
  if (reportLag_ <= Duration(0)) {
    return running_ + static_cast<unsigned>(queue_.size()) + self;
  }
  if (aNow >= reportTime_ + reportLag_) {
    reportTime_ = aNow;
    reported_ = running_ + static_cast<unsigned>(queue_.size());
  }
  return reported_ + self;
}

} // namespace boragepier::bench
