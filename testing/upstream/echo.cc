#include "testing/upstream/echo.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace boragepier::testing {

namespace {

std::uint64_t
HashBody(std::string_view aBody)
{
  return XXH3_64bits(aBody.data(), aBody.size());
}

} // namespace

std::string
MakeEcho(const http::Request& aRequest, std::string_view aUpstream)
{
  return nlohmann::json{
    { "method", aRequest.method_ },
    { "target", aRequest.target_ },
    { "bodyHash", HashBody(aRequest.body_) },
    { "key", aRequest.headers_.Get("Idempotency-Key").value_or("") },
    { "upstream", aUpstream }
  }.dump();
}

bool
EchoMatches(const http::Request& aRequest, std::string_view aBody)
{
  const auto echo = nlohmann::json::parse(aBody, nullptr, false);
  try {
    return echo.is_object() && echo.value("target", "") == aRequest.target_ &&
           echo.value("method", "") == aRequest.method_ &&
           echo.value("bodyHash", std::uint64_t(0)) == HashBody(aRequest.body_) &&
           echo.value("key", "") == aRequest.headers_.Get("Idempotency-Key").value_or("");
  } catch (const nlohmann::json::type_error&) {
    return false;
  }
}

} // namespace boragepier::testing
