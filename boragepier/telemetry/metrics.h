#ifndef BORAGEPIER_TELEMETRY_METRICS_H
#define BORAGEPIER_TELEMETRY_METRICS_H

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "boragepier/base/ids.h"
#include "boragepier/base/outcome.h"
#include "boragepier/base/time.h"
#include "boragepier/telemetry/latency_histogram.h"
#include "boragepier/telemetry/latency_window.h"

namespace boragepier {

/// Result of an operation on the claim of a request with an idempotency key.
enum class ClaimEvent : std::uint8_t
{
  Claimed,          ///< the key was free; the request may be dispatched
  Replayed,         ///< the recorded answer was returned
  InProgress,       ///< refused: the key is claimed and has no recorded outcome
  KeyReused,        ///< refused: the key was used for a different request
  StoreUnavailable, ///< refused: the table service did not answer
  Released,         ///< deleted, because the request definitely did not run
  Recorded,         ///< the answer was recorded
  RecordFailed,     ///< the answer could not be recorded
};
inline constexpr int kClaimEventCount = 8;

/// @return the label value used in metrics, for example "in-progress"
std::string_view
ToString(ClaimEvent aEvent);

/// Measurements of one completed request.
struct RequestSample
{
  Outcome outcome_ = Outcome::NotRun;
  std::optional<RefusalReason> refusal_ = {}; ///< empty if an answer was passed on
  Duration latency_{};                        ///< from arrival to the answer or refusal
  Duration addedLatency_{};                   ///< part of latency_ without an attempt in flight
  Duration queueTime_{};                      ///< part of latency_ spent in the admission queue
};

/// One counter per value of an enumeration. Thread-safe.
template<typename Enum, int Count>
class EnumCounters
{
public:
  void Add(Enum aValue)
  {
    counters_.at(static_cast<std::size_t>(aValue)).fetch_add(1, std::memory_order_relaxed);
  }
  std::uint64_t Get(Enum aValue) const
  {
    return counters_.at(static_cast<std::size_t>(aValue)).load(std::memory_order_relaxed);
  }

private:
  std::array<std::atomic<std::uint64_t>, Count> counters_{};
};

/// Metrics of one service in one instance. Thread-safe. Metrics::Service() takes a lock, so code
/// that handles many requests of a service should keep the reference.
class ServiceMetrics
{
public:
  /// Records a completed request.
  void OnRequest(const RequestSample& aSample, MonotonicTime aNow);
  /// @param aLatency from dispatch to the end of the attempt
  void OnAttempt(Duration aLatency) { attemptDurations_.Add(aLatency); }
  void OnRetry(RetryReason aReason) { retries_.Add(aReason); }
  void OnAttemptFailure(AttemptFailure aFailure) { attemptFailures_.Add(aFailure); }
  void OnClaim(ClaimEvent aEvent) { claims_.Add(aEvent); }
  /// @param aAdded by how much the pauses that an upstream asked for have become longer
  void OnPause(Duration aAdded)
  {
    pauseCount_.fetch_add(1, std::memory_order_relaxed);
    pausedNs_.fetch_add(static_cast<std::uint64_t>(aAdded.count()), std::memory_order_relaxed);
  }
  void OnForeignResponse() { foreignResponseCount_.fetch_add(1, std::memory_order_relaxed); }
  void OnPauseIgnored() { ignoredPauseCount_.fetch_add(1, std::memory_order_relaxed); }
  void OnEjection() { ejectionCount_.fetch_add(1, std::memory_order_relaxed); }
  void OnProbe(MonotonicTime aNow);

  /// @param aPerSecond probes per second that this instance may send for the service
  void SetProbeBudget(double aPerSecond) { probeBudgetPerSecond_ = aPerSecond; }
  void SetConfigVersion(std::uint64_t aVersion) { configVersion_ = aVersion; }
  std::uint64_t ConfigVersion() const { return configVersion_; }

private:
  friend class PrometheusWriter;

  static constexpr Duration kProbeWindow = std::chrono::seconds(10);
  static constexpr std::size_t kShardCount = 4;
  static constexpr std::size_t kSamplesPerShard = 32;

  /// Buffers the samples of some threads until they are added to the latency windows. Without it,
  /// threads wait for each other's P² update: with 4 threads, recording a request takes 1.7 µs.
  struct alignas(64) SampleShard
  {
    std::mutex mutex_;
    /// Total and added latency of each request.
    std::array<std::pair<Duration, Duration>, kSamplesPerShard> samples_;
    std::size_t count_ = 0;
    MonotonicTime latestSampleTime_; ///< used for all samples when they are flushed
  };

  /// Moves the samples of a shard into the latency windows. The caller holds the lock of the shard.
  void FlushShard(SampleShard& aShard) const;
  /// Moves the samples of all shards into the latency windows.
  void FlushAllShards() const;

  /// @return probes sent divided by probes allowed, in the last complete window. The caller holds
  ///   mutex_.
  double ProbeBudgetShare(MonotonicTime aNow) const;

  EnumCounters<Outcome, 3> outcomes_;
  EnumCounters<RefusalReason, kRefusalReasonCount> refusals_;
  EnumCounters<RetryReason, kRetryReasonCount> retries_;
  EnumCounters<AttemptFailure, kAttemptFailureCount> attemptFailures_;
  EnumCounters<ClaimEvent, kClaimEventCount> claims_;
  LatencyHistogram requestDurations_;
  LatencyHistogram queueWaits_;
  LatencyHistogram attemptDurations_;
  std::atomic<std::uint64_t> ejectionCount_ = 0;
  std::atomic<std::uint64_t> pauseCount_ = 0;
  std::atomic<std::uint64_t> pausedNs_ = 0;
  std::atomic<std::uint64_t> ignoredPauseCount_ = 0;
  std::atomic<std::uint64_t> foreignResponseCount_ = 0;
  std::atomic<std::uint64_t> probeCount_ = 0;
  std::atomic<double> probeBudgetPerSecond_ = 0;
  std::atomic<std::uint64_t> configVersion_ = 0;

  mutable std::array<SampleShard, kShardCount> shards_;
  mutable std::mutex mutex_; ///< guards the members below; locked after the mutex of a shard
  mutable LatencyWindow latency_;
  mutable LatencyWindow addedLatency_;
  MonotonicTime probeWindowStart_;
  std::uint64_t probesInWindow_ = 0;
  std::uint64_t probesInLastWindow_ = 0;
};

/// Memory for the bodies of requests and answers.
struct BodyMemory
{
  std::uint64_t heldBytes_ = 0;
  std::uint64_t budgetBytes_ = 0; ///< greatest number of bytes held at the same time
  std::uint64_t refusals_ = 0;    ///< requests refused because their body did not fit
};

/// Work of an instance for the quotas of teams, since its start.
struct QuotaWork
{
  std::uint64_t messagesSent_ = 0; ///< to other instances
  std::uint64_t granted_ = 0;      ///< requests for which the instance granted credit
  std::uint64_t denials_ = 0;      ///< answers with which it denied credit
  std::uint64_t silences_ = 0;     ///< questions that were not answered in time
};

/// Metrics of one instance. Thread-safe.
///
///   ServiceMetrics& service = metrics.Service(name);
///   service.OnRequest({ .outcome_ = Outcome::Answered, .latency_ = latency }, now);
///   std::string text = metrics.WritePrometheus(now);
class Metrics
{
public:
  /// Adds the service if it is new. Services are never removed, so names taken from requests would
  /// take memory without bound.
  /// @param aName a configured service, or the empty name for requests that match no service
  /// @return the metrics of the service; valid as long as this object
  ServiceMetrics& Service(const ServiceName& aName);

  /// Counts a request of a route with several services. Only the first kMaxSplitCounters pairs of
  /// route and service are counted, because a pair is never removed.
  /// @param aRoute name of the route
  /// @param aService service that was selected for the request
  void OnSplitRequest(std::string_view aRoute, const ServiceName& aService);
  /// Counts a completed request of a team. The teams after the first kMaxTeamCounters are counted
  /// together, because a team is never removed.
  /// @param aTeam name of a team of the configuration
  /// @param aRefusal nothing if an answer was passed on
  void OnTeamRequest(const TeamName& aTeam, std::optional<RefusalReason> aRefusal);
  /// Counts a request that was read completely and got no complete response.
  void OnUnanswered(UnansweredCause aCause) { unanswered_.Add(aCause); }
  /// Counts a request that was refused before it was routed.
  void OnNotRouted(RefusalReason aReason) { unrouted_.Add(aReason); }
  /// Counts a routing table that was applied.
  /// @param aBuiltRoutes routes that were built for it; the others were kept
  void OnRoutingTable(std::uint64_t aBuiltRoutes)
  {
    routingTableCount_.fetch_add(1, std::memory_order_relaxed);
    builtRouteCount_.fetch_add(aBuiltRoutes, std::memory_order_relaxed);
  }

  void SetReady(bool aReady) { ready_ = aReady; }
  void SetDraining(bool aDraining) { draining_ = aDraining; }
  void SetPeerCount(std::uint64_t aCount) { peerCount_ = aCount; }
  void SetInstanceCount(std::uint64_t aCount) { instanceCount_ = aCount; }
  void SetCallerConnectionCount(std::uint64_t aCount) { callerConnectionCount_ = aCount; }
  /// @param aCount descriptors that the process may have open
  void SetDescriptorLimit(std::uint64_t aCount) { descriptorLimit_ = aCount; }
  /// @param aAtLimit connections from callers that were refused at the connection limit
  /// @param aWithoutDescriptor connections that got no descriptor
  void SetRefusedConnectionCounts(std::uint64_t aAtLimit, std::uint64_t aWithoutDescriptor)
  {
    refusedConnectionCount_ = aAtLimit;
    descriptorShortageCount_ = aWithoutDescriptor;
  }
  void SetBodyMemory(const BodyMemory& aMemory);
  void SetQuotas(const QuotaWork& aWork);
  /// @param aCpuTime CPU time of the control thread since the start of the process
  /// @param aBytesSent bytes that the control thread has sent to peers and the platform since then
  void SetControlThreadUsage(Duration aCpuTime, std::uint64_t aBytesSent);
  /// @param aAge time since the store was last known to hold nothing newer; 0 without data
  void SetDirectoryAge(Duration aAge) { directoryAgeNs_ = aAge.count(); }

  /// @return all metrics in the Prometheus text format 0.0.4
  std::string WritePrometheus(MonotonicTime aNow) const;

private:
  friend class PrometheusWriter;

  static constexpr std::size_t kMaxSplitCounters = 1000;
  static constexpr std::size_t kMaxTeamCounters = 200;

  struct TeamCounters
  {
    std::uint64_t requests_ = 0;
    std::map<RefusalReason, std::uint64_t> refusals_; ///< by the reasons that have occurred
  };

  mutable std::mutex mutex_; ///< guards services_, splitRequests_ and the counters of teams
  std::unordered_map<ServiceName, std::unique_ptr<ServiceMetrics>> services_;
  /// Number of requests by route and service.
  std::map<std::pair<std::string, std::string>, std::uint64_t> splitRequests_;
  std::map<std::string, TeamCounters, std::less<>> teams_;
  TeamCounters otherTeams_; ///< of all teams that have no counters of their own
  EnumCounters<UnansweredCause, kUnansweredCauseCount> unanswered_;
  EnumCounters<RefusalReason, kRefusalReasonCount> unrouted_;
  std::atomic<std::uint64_t> routingTableCount_ = 0;
  std::atomic<std::uint64_t> builtRouteCount_ = 0;
  std::atomic<bool> ready_ = false;
  std::atomic<bool> draining_ = false;
  std::atomic<std::uint64_t> peerCount_ = 0;
  std::atomic<std::uint64_t> instanceCount_ = 0;
  std::atomic<std::uint64_t> callerConnectionCount_ = 0;
  std::atomic<std::uint64_t> refusedConnectionCount_ = 0;
  std::atomic<std::uint64_t> descriptorShortageCount_ = 0;
  std::atomic<std::uint64_t> descriptorLimit_ = 0;
  std::atomic<std::uint64_t> bodyBytesHeld_ = 0;
  std::atomic<std::uint64_t> bodyBudgetBytes_ = 0;
  std::atomic<std::uint64_t> bodyRefusals_ = 0;
  std::atomic<std::uint64_t> quotaMessages_ = 0;
  std::atomic<std::uint64_t> quotaGrants_ = 0;
  std::atomic<std::uint64_t> quotaDenials_ = 0;
  std::atomic<std::uint64_t> quotaSilences_ = 0;
  std::atomic<std::int64_t> controlThreadCpuNs_ = 0;
  std::atomic<std::uint64_t> controlThreadBytesSent_ = 0;
  std::atomic<Duration::rep> directoryAgeNs_ = 0;
};

} // namespace boragepier

#endif
