#include "boragepier/entry/refusal.h"

#include <nlohmann/json.hpp>

#include "boragepier/entry/request_checks.h"

namespace boragepier {

http::Response
MakeRefusal(RefusalReason aReason, Outcome aOutcome, const RequestId& aRequestId)
{
  http::Response response;
  response.status_ = StatusOf(aReason);
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
  if (response.status_ == 503) {
    response.headers_.Add("Retry-After", "1");
  }
  response.body_ = problem.dump();
  return response;
}

} // namespace boragepier
