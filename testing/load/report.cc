#include "testing/load/report.h"

#include <nlohmann/json.hpp>

#include "testing/upstream/echo.h"

namespace boragepier::testing {

LoadRunReport::LoadRunReport(std::size_t aRequestCount)
  : latenciesMs_(boost::accumulators::tag::tail<boost::accumulators::right>::cache_size =
                   aRequestCount)
{
}

void
LoadRunReport::Record(const http::Request& aRequest,
                      std::string_view aIdempotencyKey,
                      const http::SendResult& aResult)
{
  ++recordedCount_;
  const std::string outcome = OutcomeName(aResult);
  ++outcomeCounts_[outcome];
  if (!aIdempotencyKey.empty()) {
    orders_.push_back({ std::string(aIdempotencyKey), outcome, aResult.response_.status_ });
  }
  if (aResult.outcome_ != Outcome::Answered) {
    ++lostCount_;
    ++failureCounts_[std::string(ToString(aResult.failure_))];
    return;
  }
  const http::Response& response = aResult.response_;
  ++statusCounts_[std::to_string(response.status_)];
  if (response.status_ == 200) {
    if (!EchoMatches(aRequest, response.body_)) {
      ++mismatchedCount_;
    }
    latenciesMs_(ToMilliseconds(aResult.latency_));
    ++latencyCount_;
  }
  if (response.headers_.Get("Boragepier-Replayed")) {
    ++replayedCount_;
  }
  const auto errorBody = nlohmann::json::parse(response.body_, nullptr, false);
  if (response.status_ >= 400 && errorBody.is_object() && errorBody.contains("reason")) {
    ++refusalReasonCounts_[errorBody.value("reason", "")];
  }
}

// An upstream that is the target itself sends no Boragepier-Outcome header; Boragepier-Not-Run
// tells whether it ran the request.
std::string
LoadRunReport::OutcomeName(const http::SendResult& aResult)
{
  if (aResult.outcome_ != Outcome::Answered) {
    return std::string(ToString(aResult.outcome_));
  }
  if (const auto outcome = aResult.response_.headers_.Get("Boragepier-Outcome")) {
    return std::string(*outcome);
  }
  const bool notRun = aResult.response_.headers_.Get("Boragepier-Not-Run") == "true";
  return std::string(ToString(notRun ? Outcome::NotRun : Outcome::Answered));
}

double
LoadRunReport::LatencyQuantileMs(double aProbability) const
{
  namespace accumulators = boost::accumulators;
  if (latencyCount_ == 0) {
    return 0;
  }
  return accumulators::quantile(latenciesMs_, accumulators::quantile_probability = aProbability);
}

std::string
LoadRunReport::ToJson(Duration aElapsed) const
{
  const double seconds = ToMilliseconds(aElapsed) / 1000;
  return nlohmann::json{
    { "count", recordedCount_ },
    { "lost", lostCount_ },
    { "wrong", mismatchedCount_ },
    { "replayed", replayedCount_ },
    { "outcomes", outcomeCounts_ },
    { "statuses", statusCounts_ },
    { "reasons", refusalReasonCounts_ },
    { "failures", failureCounts_ },
    { "seconds", seconds },
    { "perSecond", static_cast<double>(recordedCount_) / seconds },
    { "latencyMs",
      { { "p50", LatencyQuantileMs(0.5) },
        { "p99", LatencyQuantileMs(0.99) },
        { "p99.9", LatencyQuantileMs(0.999) } } },
  }
    .dump();
}

void
LoadRunReport::WriteKeys(std::ostream& aStream) const
{
  for (const auto& [key, outcome, status] : orders_) {
    aStream << key << " " << outcome << " " << status << "\n";
  }
}

} // namespace boragepier::testing
