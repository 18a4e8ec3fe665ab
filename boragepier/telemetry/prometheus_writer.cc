#include "boragepier/telemetry/prometheus_writer.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <stdexcept>

#include "boragepier/base/descriptor_budget.h"
#include "boragepier/base/internal_error.h"

namespace boragepier {

namespace {

constexpr std::array kMetricCatalogue = {
  MetricInfo{ "boragepier_ready", "gauge", "1 if /ready returns 200" },
  MetricInfo{ "boragepier_draining", "gauge", "1 while the instance drains after SIGTERM" },
  MetricInfo{ "boragepier_peers", "gauge", "open streams to other instances" },
  MetricInfo{ "boragepier_instances", "gauge", "live instances known to this instance" },
  MetricInfo{ "boragepier_caller_connections", "gauge", "open connections from callers" },
  MetricInfo{ "boragepier_refused_connections_total",
              "counter",
              "connections from callers that were refused at the connection limit" },
  MetricInfo{ "boragepier_descriptors",
              "gauge",
              "open descriptors of the process; absent if the system does not list them" },
  MetricInfo{ "boragepier_descriptor_limit", "gauge", "descriptors that the process may open" },
  MetricInfo{ "boragepier_descriptor_shortages_total",
              "counter",
              "connections that were not opened, or were closed at once, because a descriptor or "
              "memory for a socket was missing" },
  MetricInfo{ "boragepier_body_bytes",
              "gauge",
              "bytes of bodies of requests and answers that are held" },
  MetricInfo{ "boragepier_body_budget_bytes",
              "gauge",
              "greatest number of bytes of bodies that may be held" },
  MetricInfo{ "boragepier_body_refusals_total",
              "counter",
              "requests refused as body-budget-exceeded" },
  MetricInfo{ "boragepier_quota_messages_total",
              "counter",
              "messages about quotas of teams sent to other instances" },
  MetricInfo{ "boragepier_quota_grants_total",
              "counter",
              "requests for which the instance granted credit as owner of a share of a quota" },
  MetricInfo{ "boragepier_quota_denials_total",
              "counter",
              "answers with which the instance denied credit as owner" },
  MetricInfo{ "boragepier_quota_silent_owners_total",
              "counter",
              "times that an owner did not answer in time or could not be reached" },
  MetricInfo{ "boragepier_control_processor_seconds_total",
              "counter",
              "CPU time of the control thread" },
  MetricInfo{ "boragepier_control_bytes_total", "counter", "bytes sent by the control thread" },
  MetricInfo{ "boragepier_directory_age_seconds",
              "gauge",
              "time since the store was last known to hold nothing newer than the instance; 0 "
              "without data" },
  MetricInfo{ "boragepier_routing_tables_total",
              "counter",
              "changes of the routes, services, upstreams or instances that were applied" },
  MetricInfo{ "boragepier_built_routes_total",
              "counter",
              "routes that were built for these changes; the others were kept" },
  MetricInfo{ "boragepier_unanswered_requests_total",
              "counter",
              "requests that were read completely and whose connection ended before the complete "
              "response, by cause" },
  MetricInfo{ "boragepier_unrouted_requests_total",
              "counter",
              "requests refused before they were routed, by the reasons that have occurred" },
  MetricInfo{ "boragepier_internal_errors_total",
              "counter",
              "unexpected errors that ended one request, answer, message or task, by its kind" },
  MetricInfo{ "boragepier_split_requests_total",
              "counter",
              "requests of routes with several services, by the service selected" },
  MetricInfo{ "boragepier_team_requests_total",
              "counter",
              "requests of callers with the key of a team; the teams after the first 200 of the "
              "process count as the empty name" },
  MetricInfo{ "boragepier_team_refusals_total",
              "counter",
              "refused ones of these, by the reasons that have occurred" },
  MetricInfo{ "boragepier_config_version",
              "gauge",
              "version of the configuration in force; 0 without a configuration" },
  MetricInfo{ "boragepier_requests_total", "counter", "requests, by outcome" },
  MetricInfo{ "boragepier_refusals_total", "counter", "refused requests, by reason" },
  MetricInfo{ "boragepier_retries_total",
              "counter",
              "attempts after the first of a request, by reason" },
  MetricInfo{ "boragepier_attempt_failures_total",
              "counter",
              "failed attempts, by kind of failure" },
  MetricInfo{ "boragepier_claims_total",
              "counter",
              "claims of requests with an idempotency key, by result" },
  MetricInfo{ "boragepier_ejections_total", "counter", "ejections of upstreams" },
  MetricInfo{ "boragepier_upstream_pauses_total",
              "counter",
              "refusals with which an upstream asked for a pause (Retry-After)" },
  MetricInfo{ "boragepier_upstream_paused_seconds_total",
              "counter",
              "time for which upstreams were or will be left out because they asked for it" },
  MetricInfo{ "boragepier_ignored_pauses_total",
              "counter",
              "refusals of upstreams whose Retry-After is no number of seconds up to an hour" },
  MetricInfo{ "boragepier_foreign_responses_total",
              "counter",
              "attempts and probes on whose connection a response to another request, or a part of "
              "it, arrived" },
  MetricInfo{ "boragepier_probes_total", "counter", "probes sent to upstreams" },
  MetricInfo{ "boragepier_probe_budget_per_second",
              "gauge",
              "probes per second that this instance may send" },
  MetricInfo{ "boragepier_probe_budget_share",
              "gauge",
              "probes sent divided by probes allowed, in the last complete window of 10 s" },
  MetricInfo{ "boragepier_latency_seconds", "summary", "time from arrival to answer" },
  MetricInfo{ "boragepier_added_latency_seconds",
              "summary",
              "part of the latency without an attempt in flight at an upstream" },
  MetricInfo{ "boragepier_request_duration_seconds",
              "histogram",
              "time from arrival to answer or refusal" },
  MetricInfo{ "boragepier_queue_wait_seconds",
              "histogram",
              "time that a request waited in the admission queue" },
  MetricInfo{ "boragepier_attempt_duration_seconds",
              "histogram",
              "time from the dispatch of an attempt to its end" },
};

std::string
FormatNumber(double aValue)
{
  std::array<char, 32> buffer{};
  const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), aValue);
  return { buffer.data(), result.ptr };
}

double
LoadAsDouble(const std::atomic<std::uint64_t>& aCounter)
{
  return static_cast<double>(aCounter.load(std::memory_order_relaxed));
}

// Label values may hold any text.
void
AppendLabelValue(std::string& aText, std::string_view aValue)
{
  for (const char character : aValue) {
    if (character == '\n') {
      aText += "\\n";
      continue;
    }
    if (character == '\\' || character == '"') {
      aText += '\\';
    }
    aText += character;
  }
}

} // namespace

std::span<const MetricInfo>
MetricCatalogue()
{
  return kMetricCatalogue;
}

PrometheusWriter::PrometheusWriter(const Metrics& aMetrics, MonotonicTime aNow)
  : metrics_(aMetrics)
  , now_(aNow)
{
  const std::lock_guard lock(metrics_.mutex_);
  for (const auto& [name, service] : metrics_.services_) {
    service->FlushAllShards();
    services_.emplace_back(name.Empty() ? "none" : name.Text(), service.get());
  }
  std::sort(services_.begin(), services_.end());
}

void
PrometheusWriter::WriteHeader(std::string_view aName)
{
  const auto* info = std::find_if(kMetricCatalogue.begin(),
                                  kMetricCatalogue.end(),
                                  [&](const MetricInfo& aInfo) { return aInfo.name_ == aName; });
  if (info == kMetricCatalogue.end()) {
    throw std::logic_error("the metric catalogue lacks this metric");
  }
  text_.append("# HELP ").append(aName).append(" ").append(info->help_).append("\n");
  text_.append("# TYPE ").append(aName).append(" ").append(info->type_).append("\n");
}

void
PrometheusWriter::WriteSample(std::string_view aName,
                              std::initializer_list<Label> aLabels,
                              double aValue)
{
  text_ += aName;
  std::string_view separator = "{";
  for (const auto& [label, value] : aLabels) {
    text_.append(separator).append(label).append("=\"");
    AppendLabelValue(text_, value);
    text_.append("\"");
    separator = ",";
  }
  text_.append(aLabels.size() > 0 ? "} " : " ").append(FormatNumber(aValue)).append("\n");
}

void
PrometheusWriter::WriteGauge(std::string_view aName, double aValue)
{
  WriteHeader(aName);
  WriteSample(aName, {}, aValue);
}

template<typename Function>
void
PrometheusWriter::WritePerService(std::string_view aName, Function aValueOf)
{
  WriteHeader(aName);
  for (const auto& [service, metrics] : services_) {
    WriteSample(aName, { { "service", service } }, aValueOf(*metrics));
  }
}

template<typename Enum, int Count>
void
PrometheusWriter::WriteCounters(std::string_view aName,
                                std::string_view aLabel,
                                EnumCounters<Enum, Count> ServiceMetrics::*aCounters)
{
  WriteHeader(aName);
  for (const auto& [service, metrics] : services_) {
    for (int i = 0; i < Count; ++i) {
      const auto value = static_cast<Enum>(i);
      WriteSample(aName,
                  { { "service", service }, { aLabel, ToString(value) } },
                  static_cast<double>((metrics->*aCounters).Get(value)));
    }
  }
}

void
PrometheusWriter::WriteSummary(std::string_view aName, LatencyWindow ServiceMetrics::*aWindow)
{
  constexpr std::array<std::string_view, 3> kLabels = { "0.5", "0.99", "0.999" };
  static_assert(kLabels.size() == LatencyWindow::kQuantiles.size());
  const std::string count = std::string(aName) + "_count";
  const std::string sum = std::string(aName) + "_sum";
  WriteHeader(aName);
  for (const auto& [service, metrics] : services_) {
    const std::lock_guard lock(metrics->mutex_);
    const LatencyWindow& window = metrics->*aWindow;
    if (const auto quantiles = window.Quantiles(now_); quantiles) {
      for (std::size_t i = 0; i < kLabels.size(); ++i) {
        WriteSample(
          aName, { { "service", service }, { "quantile", kLabels[i] } }, (*quantiles)[i] / 1000);
      }
    }
    WriteSample(sum, { { "service", service } }, window.SumSeconds());
    WriteSample(count, { { "service", service } }, static_cast<double>(window.Count()));
  }
}

void
PrometheusWriter::WriteHistogram(std::string_view aName,
                                 LatencyHistogram ServiceMetrics::*aHistogram)
{
  const std::string bucket = std::string(aName) + "_bucket";
  const std::string count = std::string(aName) + "_count";
  const std::string sum = std::string(aName) + "_sum";
  WriteHeader(aName);
  for (const auto& [service, metrics] : services_) {
    const LatencyHistogram& histogram = metrics->*aHistogram;
    const std::string& name = service;
    const std::uint64_t totalCount =
      histogram.VisitBuckets([&](double aUpperSeconds, std::uint64_t aCount) {
        WriteSample(bucket,
                    { { "service", name }, { "le", FormatNumber(aUpperSeconds) } },
                    static_cast<double>(aCount));
      });
    WriteSample(bucket, { { "service", name }, { "le", "+Inf" } }, static_cast<double>(totalCount));
    WriteSample(sum, { { "service", name } }, histogram.SumSeconds());
    WriteSample(count, { { "service", name } }, static_cast<double>(totalCount));
  }
}

void
PrometheusWriter::WriteInstance()
{
  WriteGauge("boragepier_ready", metrics_.ready_ ? 1 : 0);
  WriteGauge("boragepier_draining", metrics_.draining_ ? 1 : 0);
  WriteGauge("boragepier_peers", LoadAsDouble(metrics_.peerCount_));
  WriteGauge("boragepier_instances", LoadAsDouble(metrics_.instanceCount_));
  WriteGauge("boragepier_caller_connections", LoadAsDouble(metrics_.callerConnectionCount_));
  WriteGauge("boragepier_refused_connections_total",
             LoadAsDouble(metrics_.refusedConnectionCount_));
  WriteHeader("boragepier_descriptors");
  if (const auto count = CountOpenDescriptors()) {
    WriteSample("boragepier_descriptors", {}, static_cast<double>(*count));
  }
  WriteGauge("boragepier_descriptor_limit", LoadAsDouble(metrics_.descriptorLimit_));
  WriteGauge("boragepier_descriptor_shortages_total",
             LoadAsDouble(metrics_.descriptorShortageCount_));
  WriteGauge("boragepier_body_bytes", LoadAsDouble(metrics_.bodyBytesHeld_));
  WriteGauge("boragepier_body_budget_bytes", LoadAsDouble(metrics_.bodyBudgetBytes_));
  WriteGauge("boragepier_body_refusals_total", LoadAsDouble(metrics_.bodyRefusals_));
  WriteGauge("boragepier_quota_messages_total", LoadAsDouble(metrics_.quotaMessages_));
  WriteGauge("boragepier_quota_grants_total", LoadAsDouble(metrics_.quotaGrants_));
  WriteGauge("boragepier_quota_denials_total", LoadAsDouble(metrics_.quotaDenials_));
  WriteGauge("boragepier_quota_silent_owners_total", LoadAsDouble(metrics_.quotaSilences_));
  WriteGauge("boragepier_control_processor_seconds_total",
             static_cast<double>(metrics_.controlThreadCpuNs_.load()) / 1e9);
  WriteGauge("boragepier_control_bytes_total", LoadAsDouble(metrics_.controlThreadBytesSent_));
  WriteGauge("boragepier_directory_age_seconds",
             static_cast<double>(metrics_.directoryAgeNs_.load()) / 1e9);
  WriteGauge("boragepier_routing_tables_total", LoadAsDouble(metrics_.routingTableCount_));
  WriteGauge("boragepier_built_routes_total", LoadAsDouble(metrics_.builtRouteCount_));
}

void
PrometheusWriter::WriteUnanswered()
{
  constexpr std::string_view kName = "boragepier_unanswered_requests_total";
  WriteHeader(kName);
  for (int i = 0; i < kUnansweredCauseCount; ++i) {
    const auto cause = static_cast<UnansweredCause>(i);
    WriteSample(kName,
                { { "cause", ToString(cause) } },
                static_cast<double>(metrics_.unanswered_.Get(cause)));
  }
}

void
PrometheusWriter::WriteUnroutedRequests()
{
  constexpr std::string_view kName = "boragepier_unrouted_requests_total";
  WriteHeader(kName);
  for (int i = 0; i < kRefusalReasonCount; ++i) {
    const auto reason = static_cast<RefusalReason>(i);
    if (const std::uint64_t count = metrics_.unrouted_.Get(reason); count > 0) {
      WriteSample(kName, { { "reason", ToString(reason) } }, static_cast<double>(count));
    }
  }
}

void
PrometheusWriter::WriteInternalErrors()
{
  constexpr std::string_view kName = "boragepier_internal_errors_total";
  WriteHeader(kName);
  for (int i = 0; i < kErrorScopeCount; ++i) {
    const auto scope = static_cast<ErrorScope>(i);
    WriteSample(
      kName, { { "where", ToString(scope) } }, static_cast<double>(InternalErrorCount(scope)));
  }
}

void
PrometheusWriter::WriteSplitRequests()
{
  constexpr std::string_view kName = "boragepier_split_requests_total";
  WriteHeader(kName);
  const std::lock_guard lock(metrics_.mutex_);
  for (const auto& [key, count] : metrics_.splitRequests_) {
    const auto& [route, service] = key;
    WriteSample(kName, { { "route", route }, { "service", service } }, static_cast<double>(count));
  }
}

void
PrometheusWriter::WriteTeams()
{
  constexpr std::string_view kRequests = "boragepier_team_requests_total";
  constexpr std::string_view kRefusals = "boragepier_team_refusals_total";
  const std::lock_guard lock(metrics_.mutex_);
  const auto visitTeams = [&](auto aVisit) {
    for (const auto& [name, counters] : metrics_.teams_) {
      aVisit(std::string_view(name), counters);
    }
    if (metrics_.otherTeams_.requests_ > 0) {
      aVisit(std::string_view(), metrics_.otherTeams_);
    }
  };
  WriteHeader(kRequests);
  visitTeams([&](std::string_view aName, const auto& aCounters) {
    WriteSample(kRequests, { { "team", aName } }, static_cast<double>(aCounters.requests_));
  });
  WriteHeader(kRefusals);
  visitTeams([&](std::string_view aName, const auto& aCounters) {
    for (const auto& [reason, count] : aCounters.refusals_) {
      WriteSample(kRefusals,
                  { { "team", aName }, { "reason", ToString(reason) } },
                  static_cast<double>(count));
    }
  });
}

void
PrometheusWriter::WriteServices()
{
  using Service = ServiceMetrics;
  WritePerService("boragepier_config_version",
                  [](const Service& aService) { return LoadAsDouble(aService.configVersion_); });
  WriteCounters("boragepier_requests_total", "outcome", &Service::outcomes_);
  WriteCounters("boragepier_refusals_total", "reason", &Service::refusals_);
  WriteCounters("boragepier_retries_total", "reason", &Service::retries_);
  WriteCounters("boragepier_attempt_failures_total", "failure", &Service::attemptFailures_);
  WriteCounters("boragepier_claims_total", "result", &Service::claims_);
  WritePerService("boragepier_ejections_total",
                  [](const Service& aService) { return LoadAsDouble(aService.ejectionCount_); });
  WritePerService("boragepier_upstream_pauses_total",
                  [](const Service& aService) { return LoadAsDouble(aService.pauseCount_); });
  WritePerService("boragepier_upstream_paused_seconds_total",
                  [](const Service& aService) { return LoadAsDouble(aService.pausedNs_) / 1e9; });
  WritePerService("boragepier_ignored_pauses_total", [](const Service& aService) {
    return LoadAsDouble(aService.ignoredPauseCount_);
  });
  WritePerService("boragepier_foreign_responses_total", [](const Service& aService) {
    return LoadAsDouble(aService.foreignResponseCount_);
  });
  WritePerService("boragepier_probes_total",
                  [](const Service& aService) { return LoadAsDouble(aService.probeCount_); });
  WritePerService("boragepier_probe_budget_per_second",
                  [](const Service& aService) { return aService.probeBudgetPerSecond_.load(); });
  WritePerService("boragepier_probe_budget_share", [this](const Service& aService) {
    const std::lock_guard lock(aService.mutex_);
    return aService.ProbeBudgetShare(now_);
  });
  WriteSummary("boragepier_latency_seconds", &Service::latency_);
  WriteSummary("boragepier_added_latency_seconds", &Service::addedLatency_);
  WriteHistogram("boragepier_request_duration_seconds", &Service::requestDurations_);
  WriteHistogram("boragepier_queue_wait_seconds", &Service::queueWaits_);
  WriteHistogram("boragepier_attempt_duration_seconds", &Service::attemptDurations_);
}

std::string
PrometheusWriter::Write() &&
{
  WriteInstance();
  WriteUnanswered();
  WriteUnroutedRequests();
  WriteInternalErrors();
  WriteSplitRequests();
  WriteTeams();
  WriteServices();
  return std::move(text_);
}

std::string
Metrics::WritePrometheus(MonotonicTime aNow) const
{
  return PrometheusWriter(*this, aNow).Write();
}

} // namespace boragepier
