#include "boragepier/telemetry/metrics.h"

namespace boragepier {

namespace {

// Returns a consecutive index of the calling thread, so that up to kShardCount threads use
// different shards.
std::size_t
ThreadIndex()
{
  static std::atomic<std::size_t> next = 0;
  thread_local const std::size_t index = next.fetch_add(1, std::memory_order_relaxed);
  return index;
}

} // namespace

std::string_view
ToString(ClaimEvent aEvent)
{
  // Indexed by ClaimEvent.
  constexpr std::array<std::string_view, kClaimEventCount> kNames = {
    "claimed",           "replayed", "in-progress", "key-reused",
    "store-unavailable", "released", "recorded",    "record-failed"
  };
  return kNames.at(static_cast<std::size_t>(aEvent));
}

void
ServiceMetrics::OnRequest(const RequestSample& aSample, MonotonicTime aNow)
{
  outcomes_.Add(aSample.outcome_);
  if (aSample.refusal_) {
    refusals_.Add(*aSample.refusal_);
  }
  requestDurations_.Add(aSample.latency_);
  queueWaits_.Add(aSample.queueTime_);
  SampleShard& shard = shards_[ThreadIndex() % kShardCount];
  const std::lock_guard lock(shard.mutex_);
  shard.samples_[shard.count_++] = { aSample.latency_, aSample.addedLatency_ };
  shard.latestSampleTime_ = aNow;
  if (shard.count_ == kSamplesPerShard) {
    FlushShard(shard);
  }
}

void
ServiceMetrics::FlushShard(SampleShard& aShard) const
{
  const std::lock_guard lock(mutex_);
  for (std::size_t i = 0; i < aShard.count_; ++i) {
    latency_.Add(aShard.samples_[i].first, aShard.latestSampleTime_);
    addedLatency_.Add(aShard.samples_[i].second, aShard.latestSampleTime_);
  }
  aShard.count_ = 0;
}

void
ServiceMetrics::FlushAllShards() const
{
  for (SampleShard& shard : shards_) {
    const std::lock_guard lock(shard.mutex_);
    FlushShard(shard);
  }
}

void
ServiceMetrics::OnProbe(MonotonicTime aNow)
{
  probeCount_.fetch_add(1, std::memory_order_relaxed);
  const std::lock_guard lock(mutex_);
  if (const Duration age = aNow - probeWindowStart_; age >= kProbeWindow) {
    probesInLastWindow_ = age < 2 * kProbeWindow ? probesInWindow_ : 0;
    probesInWindow_ = 0;
    probeWindowStart_ = aNow;
  }
  ++probesInWindow_;
}

double
ServiceMetrics::ProbeBudgetShare(MonotonicTime aNow) const
{
  const Duration age = aNow - probeWindowStart_;
  const double budget = probeBudgetPerSecond_ * std::chrono::duration<double>(kProbeWindow).count();
  if (budget <= 0 || age >= 2 * kProbeWindow) {
    return 0;
  }
  const std::uint64_t sent = age >= kProbeWindow ? probesInWindow_ : probesInLastWindow_;
  return static_cast<double>(sent) / budget;
}

ServiceMetrics&
Metrics::Service(const ServiceName& aName)
{
  const std::lock_guard lock(mutex_);
  auto& service = services_[aName];
  if (!service) {
    service = std::make_unique<ServiceMetrics>();
  }
  return *service;
}

void
Metrics::OnSplitRequest(std::string_view aRoute, const ServiceName& aService)
{
  std::pair key(std::string(aRoute), aService.Text());
  const std::lock_guard lock(mutex_);
  if (const auto found = splitRequests_.find(key); found != splitRequests_.end()) {
    ++found->second;
  } else if (splitRequests_.size() < kMaxSplitCounters) {
    splitRequests_.emplace(std::move(key), 1);
  }
}

void
Metrics::OnTeamRequest(const TeamName& aTeam, std::optional<RefusalReason> aRefusal)
{
  const std::lock_guard lock(mutex_);
  auto team = teams_.find(aTeam.View());
  if (team == teams_.end() && teams_.size() < kMaxTeamCounters) {
    team = teams_.try_emplace(aTeam.Text()).first;
  }
  TeamCounters& counters = team == teams_.end() ? otherTeams_ : team->second;
  ++counters.requests_;
  if (aRefusal) {
    ++counters.refusals_[*aRefusal];
  }
}

void
Metrics::SetBodyMemory(const BodyMemory& aMemory)
{
  bodyBytesHeld_ = aMemory.heldBytes_;
  bodyBudgetBytes_ = aMemory.budgetBytes_;
  bodyRefusals_ = aMemory.refusals_;
}

void
Metrics::SetQuotas(const QuotaWork& aWork)
{
  quotaMessages_ = aWork.messagesSent_;
  quotaGrants_ = aWork.granted_;
  quotaDenials_ = aWork.denials_;
  quotaSilences_ = aWork.silences_;
}

void
Metrics::SetControlThreadUsage(Duration aCpuTime, std::uint64_t aBytesSent)
{
  controlThreadCpuNs_ = aCpuTime.count();
  controlThreadBytesSent_ = aBytesSent;
}

} // namespace boragepier
