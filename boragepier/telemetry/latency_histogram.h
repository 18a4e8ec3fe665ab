#ifndef BORAGEPIER_TELEMETRY_LATENCY_HISTOGRAM_H
#define BORAGEPIER_TELEMETRY_LATENCY_HISTOGRAM_H

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <tuple>

#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include "boragepier/base/time.h"

namespace boragepier {

/// Histogram of durations with fixed buckets; counts accumulate for the lifetime of the process.
/// Thread-safe and lock-free.
class LatencyHistogram
{
public:
  void Add(Duration aLatency)
  {
    histogram_(ToMilliseconds(aLatency));
    sumNs_.fetch_add(static_cast<std::uint64_t>(aLatency.count()), std::memory_order_relaxed);
  }

  /// Visits the buckets in rising order.
  /// @param aVisitor called with the upper bound of each bucket in seconds and the cumulative count
  ///   of values below it
  /// @return the count of all values, including those above the last bucket
  template<typename Visitor>
  std::uint64_t VisitBuckets(Visitor aVisitor) const
  {
    const BucketAxis& axis = histogram_.axis();
    std::uint64_t cumulativeCount = histogram_.at(-1).load();
    for (int i = 0; i < axis.size(); ++i) {
      cumulativeCount += histogram_.at(i).load();
      aVisitor(axis.bin(i).upper() / 1000, cumulativeCount);
    }
    return cumulativeCount + histogram_.at(axis.size()).load();
  }

  double SumSeconds() const { return static_cast<double>(sumNs_.load()) / 1e9; }

private:
  using BucketAxis = boost::histogram::axis::variable<double>;
  using BucketCount = boost::histogram::accumulators::thread_safe<std::uint64_t>;

  // Upper bounds in milliseconds: three buckets per decade, at the values that latency objectives
  // usually name.
  boost::histogram::histogram<std::tuple<BucketAxis>, boost::histogram::dense_storage<BucketCount>>
    histogram_ =
      boost::histogram::make_histogram_with(boost::histogram::dense_storage<BucketCount>(),
                                            BucketAxis{ 0.0,
                                                        1.0,
                                                        2.5,
                                                        5.0,
                                                        10.0,
                                                        25.0,
                                                        50.0,
                                                        100.0,
                                                        250.0,
                                                        500.0,
                                                        1000.0,
                                                        2500.0,
                                                        5000.0,
                                                        10000.0 });
  std::atomic<std::uint64_t> sumNs_ = 0;
};

} // namespace boragepier

#endif
