#include "boragepier/entry/refusal.h"

#include <array>
#include <charconv>
#include <string>

#include <nlohmann/json.hpp>

#include "boragepier/base/json_text.h"
#include "boragepier/entry/request_checks.h"

namespace boragepier {

namespace {

// Sent if it is unknown when capacity will be available.
constexpr std::string_view kDefaultRetryAfterSeconds = "1";
// Sent while shutting down: another instance can serve the request at once.
constexpr std::string_view kOtherInstanceRetryAfterSeconds = "0";

std::string
FormatRetryAfter(Duration aRetryAfter)
{
  if (aRetryAfter <= Duration(0)) {
    return std::string(kDefaultRetryAfterSeconds);
  }
  std::array<char, 32> buffer{};
  const auto [end, error] = std::to_chars(buffer.data(),
                                          buffer.data() + buffer.size(),
                                          ToMilliseconds(aRetryAfter) / 1000,
                                          std::chars_format::fixed,
                                          3);
  return error == std::errc() ? std::string(buffer.data(), end)
                              : std::string(kDefaultRetryAfterSeconds);
}

} // namespace

http::Response
MakeRefusalResponse(RefusalReason aReason,
                    Outcome aOutcome,
                    const RequestId& aRequestId,
                    Duration aRetryAfter)
{
  http::Response response;
  response.status_ = HttpStatusOf(aReason);
  response.headers_.Add("Content-Type", "application/problem+json");
  response.headers_.Add(kOutcomeHeader, ToString(aOutcome));
  nlohmann::json problem{ { "type", "about:blank" },
                          { "title", ToString(aReason) },
                          { "status", response.status_ },
                          { "reason", ToString(aReason) },
                          { "outcome", ToString(aOutcome) } };
  if (!aRequestId.Empty()) {
    response.headers_.Add(kRequestIdHeader, aRequestId.View());
    problem["request-id"] = aRequestId.Text();
  }
  if (response.status_ == 503 || response.status_ == 429) {
    response.headers_.Add("Retry-After",
                          aReason == RefusalReason::ShuttingDown
                            ? std::string(kOtherInstanceRetryAfterSeconds)
                            : FormatRetryAfter(aRetryAfter));
  }
  response.body_ = SerializeJson(problem);
  return response;
}

} // namespace boragepier
