#ifndef BORAGEPIER_TELEMETRY_PROMETHEUS_WRITER_H
#define BORAGEPIER_TELEMETRY_PROMETHEUS_WRITER_H

#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "boragepier/telemetry/metrics.h"

namespace boragepier {

/// Catalogue entry of a metric; used for the output and the documentation.
struct MetricInfo
{
  std::string_view name_;
  std::string_view type_; ///< "gauge", "counter", "summary" or "histogram"
  std::string_view help_;
};

/// @return all metrics, in the order of the output
std::span<const MetricInfo>
MetricCatalogue();

/// Formats Metrics in the Prometheus text format 0.0.4.
class PrometheusWriter
{
public:
  /// Moves all buffered samples into the latency windows.
  /// @param aMetrics must outlive the writer
  /// @param aNow time of the scrape
  PrometheusWriter(const Metrics& aMetrics, MonotonicTime aNow);

  /// @return all metrics, in the order of the catalogue
  std::string Write() &&;

private:
  using Services = std::vector<std::pair<std::string, const ServiceMetrics*>>;
  using Label = std::pair<std::string_view, std::string_view>;

  void WriteHeader(std::string_view aName);
  void WriteSample(std::string_view aName, std::initializer_list<Label> aLabels, double aValue);
  void WriteGauge(std::string_view aName, double aValue);
  template<typename Function>
  void WritePerService(std::string_view aName, Function aValueOf);
  template<typename Enum, int Count>
  void WriteCounters(std::string_view aName,
                     std::string_view aLabel,
                     EnumCounters<Enum, Count> ServiceMetrics::*aCounters);
  void WriteSummary(std::string_view aName, LatencyWindow ServiceMetrics::*aWindow);
  void WriteHistogram(std::string_view aName, LatencyHistogram ServiceMetrics::*aHistogram);
  void WriteInstance();
  void WriteUnanswered();
  void WriteUnroutedRequests();
  void WriteInternalErrors();
  void WriteSplitRequests();
  void WriteTeams();
  void WriteServices();

  const Metrics& metrics_;
  MonotonicTime now_;
  Services services_;
  std::string text_;
};

} // namespace boragepier

#endif
