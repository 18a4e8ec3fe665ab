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

/// What became of the requests of one run.
class LoadReport
{
public:
  /// @param aCount number of requests that will be recorded; all latencies are kept
  explicit LoadReport(std::size_t aCount);

  /// Records how a request ended.
  /// @param aKey idempotency key; empty for lookups
  void Record(const http::Request& aRequest,
              std::string_view aKey,
              const http::SendResult& aResult);

  /// @return one JSON object
  std::string ToJson(Duration aElapsed) const;
  /// Writes one line "KEY OUTCOME STATUS" for each order; STATUS is 0 without a response.
  void WriteKeys(std::ostream& aStream) const;
  /// @return answers that belong to another request
  std::uint64_t WrongCount() const { return wrong_; }

private:
  using Latencies = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<
      boost::accumulators::tag::tail_quantile<boost::accumulators::right>>>;

  struct KeyRecord
  {
    std::string key_;
    std::string outcome_;
    int status_ = 0;
  };

  std::string Classify(const http::SendResult& aResult);
  double Quantile(double aProbability) const;

  std::uint64_t count_ = 0;
  std::uint64_t lost_ = 0;
  std::uint64_t wrong_ = 0;
  std::uint64_t replayed_ = 0;
  std::map<std::string, std::uint64_t> outcomes_;
  std::map<std::string, std::uint64_t> reasons_;
  std::map<std::string, std::uint64_t> failures_;
  std::map<std::string, std::uint64_t> statuses_;
  Latencies latencies_;
  std::uint64_t latencyCount_ = 0;
  std::vector<KeyRecord> keys_;
};

} // namespace boragepier::testing

#endif
