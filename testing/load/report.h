#ifndef BORAGEPIER_TESTING_LOAD_REPORT_H
#define BORAGEPIER_TESTING_LOAD_REPORT_H

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

#include "boragepier/http/client.h"

namespace boragepier::testing {

/// Results of the requests of one load run.
class LoadRunReport
{
public:
  /// @param aRequestCount number of requests that will be recorded; sizes the store of latencies
  explicit LoadRunReport(std::size_t aRequestCount);

  /// Records how a request ended.
  /// @param aIdempotencyKey empty for lookups, which WriteKeys() leaves out
  void Record(const http::Request& aRequest,
              std::string_view aIdempotencyKey,
              const http::SendResult& aResult);

  /// @return one JSON object with counts, request rate and latency percentiles
  std::string ToJson(Duration aElapsed) const;
  /// Writes one line "KEY OUTCOME STATUS" for each order; STATUS is 0 without a response.
  void WriteKeys(std::ostream& aStream) const;
  /// @return number of answers with status 200 whose body does not echo the request
  std::uint64_t MismatchCount() const { return mismatchedCount_; }

private:
  using Latencies = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<
      boost::accumulators::tag::tail_quantile<boost::accumulators::right>>>;

  struct OrderRecord
  {
    std::string key_;
    std::string outcome_;
    int status_ = 0;
  };

  /// @return the outcome as the target states it, or as the client saw it without an answer
  std::string OutcomeName(const http::SendResult& aResult);
  /// @return a latency quantile in ms; 0 without latencies
  double LatencyQuantileMs(double aProbability) const;

  std::uint64_t recordedCount_ = 0;
  std::uint64_t lostCount_ = 0;
  std::uint64_t mismatchedCount_ = 0;
  std::uint64_t replayedCount_ = 0;
  std::map<std::string, std::uint64_t> outcomeCounts_;
  std::map<std::string, std::uint64_t> refusalReasonCounts_;
  std::map<std::string, std::uint64_t> failureCounts_;
  std::map<std::string, std::uint64_t> statusCounts_;
  Latencies latenciesMs_;
  std::uint64_t latencyCount_ = 0;
  std::vector<OrderRecord> orders_;
};

} // namespace boragepier::testing

#endif
