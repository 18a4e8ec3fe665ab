#include "boragepier/decision/report_aging_model.h"

#include <algorithm>
#include <cmath>

namespace boragepier {

namespace {

// Prior assumption about aging: the confidence in a report decays exponentially with this time
// constant, in service times.
constexpr double kPriorDecayServiceTimes = 1.3;
// Weight of the prior against observed pairs. With 10 or 25 pairs, p99 rises by 0.3 ms.
constexpr double kPriorPairs = 50;
// Decay factors of the counts with every report and every pair. The overall number of requests
// changes within tens of milliseconds, the way in which reports age only within minutes.
constexpr double kOverallDecay = 0.98;
constexpr double kPairDecay = 0.995;
// Upper bounds of the age buckets, in service times; the last bucket is unbounded.
constexpr std::array<double, 9> kAgeBucketEnds = { 0.15, 0.3, 0.5, 0.75, 1.1, 1.6, 2.5, 4, 8 };

void
AddDecayed(ReportAgingModel::Values& aCounts, double& aTotal, unsigned aValue, double aDecay)
{
  for (double& count : aCounts) {
    count *= aDecay;
  }
  aCounts.at(std::min<std::size_t>(aValue, ReportAgingModel::kCountBins - 1)) += 1;
  aTotal = aTotal * aDecay + 1;
}

} // namespace

std::size_t
ReportAgingModel::AgeBucket(double aAge)
{
  static_assert(kAgeBucketEnds.size() + 1 == kAgeBuckets);
  const auto end = std::lower_bound(kAgeBucketEnds.begin(), kAgeBucketEnds.end(), aAge);
  return static_cast<std::size_t>(end - kAgeBucketEnds.begin());
}

double
ReportAgingModel::WeightedSum(const Values& aCounts, const Values& aValues)
{
  double sum = 0;
  for (std::size_t i = 0; i < kCountBins; ++i) {
    sum += aCounts[i] * aValues[i];
  }
  return sum;
}

void
ReportAgingModel::AddReport(unsigned aOthers)
{
  AddDecayed(overall_.counts_, overall_.total_, aOthers, kOverallDecay);
}

void
ReportAgingModel::AddPair(double aInterval, unsigned aEarlierOthers, unsigned aLaterOthers)
{
  Histogram& histogram = histograms_.at(AgeBucket(aInterval))
                           .at(std::min<std::size_t>(aEarlierOthers, kReportBuckets - 1));
  AddDecayed(histogram.counts_, histogram.total_, aLaterOthers, kPairDecay);
}

double
ReportAgingModel::ExpectedValueWithoutReport(const Values& aValues) const
{
  return overall_.total_ > 0 ? WeightedSum(overall_.counts_, aValues) / overall_.total_
                             : aValues[0];
}

double
ReportAgingModel::ExpectedValue(double aAge, unsigned aReportedOthers, const Values& aValues) const
{
  const std::size_t reportedOthers = std::min<std::size_t>(aReportedOthers, kCountBins - 1);
  const double confidence = std::exp(-aAge / kPriorDecayServiceTimes);
  const double prior =
    confidence * aValues[reportedOthers] + (1 - confidence) * ExpectedValueWithoutReport(aValues);
  const Histogram& histogram =
    histograms_[AgeBucket(aAge)][std::min(reportedOthers, kReportBuckets - 1)];
  return (WeightedSum(histogram.counts_, aValues) + prior * kPriorPairs) /
         (histogram.total_ + kPriorPairs);
}

} // namespace boragepier
