#ifndef BORAGEPIER_DECISION_REPORT_AGING_MODEL_H
#define BORAGEPIER_DECISION_REPORT_AGING_MODEL_H

#include <array>
#include <cstddef>

namespace boragepier {

/// Estimates how many requests of other instances are at an upstream when its last load report has
/// aged. Learns the distribution from pairs of successive reports of the same upstream, by the time
/// between them and the earlier number.
class ReportAgingModel
{
public:
  /// Numbers of requests from 0 to kCountBins - 1 are distinguished; larger ones count as the last.
  static constexpr std::size_t kCountBins = 16;
  /// A function of the number of other instances' requests, as a table.
  using Values = std::array<double, kCountBins>;

  /// Adds a report to the distribution over all upstreams.
  /// @param aOthers reported requests of other instances
  void AddReport(unsigned aOthers);
  /// Adds two successive reports of one upstream.
  /// @param aInterval time between them, in service times
  /// @param aEarlierOthers requests of other instances in the earlier report
  /// @param aLaterOthers requests of other instances in the later report
  void AddPair(double aInterval, unsigned aEarlierOthers, unsigned aLaterOthers);

  /// @param aAge age of the report, in service times
  /// @param aReportedOthers requests of other instances in the report
  /// @param aValues function to average
  /// @return expected value of the function for the present number of other instances' requests
  double ExpectedValue(double aAge, unsigned aReportedOthers, const Values& aValues) const;
  /// @return expected value of the function at an upstream without a report
  double ExpectedValueWithoutReport(const Values& aValues) const;

private:
  static constexpr std::size_t kAgeBuckets = 10;
  static constexpr std::size_t kReportBuckets = 8;

  /// Exponentially decayed counts of observed numbers of requests.
  struct Histogram
  {
    Values counts_{};
    double total_ = 0;
  };

  static std::size_t AgeBucket(double aAge);
  static double WeightedSum(const Values& aCounts, const Values& aValues);

  /// By the age of the report and the number of requests in it.
  std::array<std::array<Histogram, kReportBuckets>, kAgeBuckets> histograms_{};
  Histogram overall_; ///< over the reports of all upstreams
};

} // namespace boragepier

#endif
