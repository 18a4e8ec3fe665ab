#include "testing/load/report.h"

#include <nlohmann/json.hpp>

#include "testing/upstream/echo.h"

namespace boragepier::testing {

LoadReport::LoadReport(std::size_t aCount)
  : latencies_(boost::accumulators::tag::tail<boost::accumulators::right>::cache_size = aCount)
{
}

void
LoadReport::Record(const http::Request& aRequest,
                   std::string_view aKey,
                   const http::SendResult& aResult)
{
  ++count_;
  const std::string outcome = Classify(aResult);
  ++outcomes_[outcome];
  if (!aKey.empty()) {
    keys_.push_back({ std::string(aKey), outcome, aResult.response_.status_ });
  }
  if (aResult.outcome_ != Outcome::Answered) {
    ++lost_;
    ++failures_[std::string(ToString(aResult.failure_))];
    return;
  }
  const http::Response& response = aResult.response_;
  ++statuses_[std::to_string(response.status_)];
  if (response.status_ == 200) {
    if (!EchoMatches(aRequest, response.body_)) {
      ++wrong_;
    }
    latencies_(ToMilliseconds(aResult.latency_));
    ++latencyCount_;
  }
  if (response.headers_.Get("Boragepier-Replayed")) {
    ++replayed_;
  }
  const auto problem = nlohmann::json::parse(response.body_, nullptr, false);
  if (response.status_ >= 400 && problem.is_object() && problem.contains("reason")) {
    ++reasons_[problem.value("reason", "")];
  }
}

// A target that is an upstream sends no outcome header.
std::string
LoadReport::Classify(const http::SendResult& aResult)
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
LoadReport::Quantile(double aProbability) const
{
  namespace accumulators = boost::accumulators;
  if (latencyCount_ == 0) {
    return 0;
  }
  return accumulators::quantile(latencies_, accumulators::quantile_probability = aProbability);
}

std::string
LoadReport::ToJson(Duration aElapsed) const
{
  const double seconds = ToMilliseconds(aElapsed) / 1000;
  return nlohmann::json{
    { "count", count_ },
    { "lost", lost_ },
    { "wrong", wrong_ },
    { "replayed", replayed_ },
    { "outcomes", outcomes_ },
    { "statuses", statuses_ },
    { "reasons", reasons_ },
    { "failures", failures_ },
    { "seconds", seconds },
    { "perSecond", static_cast<double>(count_) / seconds },
    { "latencyMs",
      { { "p50", Quantile(0.5) }, { "p99", Quantile(0.99) }, { "p99.9", Quantile(0.999) } } },
  }
    .dump();
}

void
LoadReport::WriteKeys(std::ostream& aStream) const
{
  for (const auto& [key, outcome, status] : keys_) {
    aStream << key << " " << outcome << " " << status << "\n";
  }
}

} // namespace boragepier::testing
