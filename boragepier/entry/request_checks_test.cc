#include "boragepier/entry/request_checks.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

ServiceConfig
OrderServiceConfig()
{
  ServiceConfig config;
  config.name_ = ServiceName("order-entry");
  config.pathPrefix_ = "/orders/";
  config.keyRequired_ = true;
  config.maxDeadline_ = std::chrono::seconds(5);
  return config;
}

RefusalReason
RefusalReasonOf(const http::Request& aRequest)
{
  try {
    ResolveCallOptions(aRequest, ParseRequestPath(aRequest.target_), OrderServiceConfig());
  } catch (const RequestRefusedError& refused) {
    return refused.Reason();
  }
  FAIL("the request was accepted");
  return RefusalReason::NoRoute;
}

} // namespace

TEST_GROUP(RequestChecks)
{
  http::Request request_{ "POST", "/orders/new?x=1", {}, "body" };
};

// Guards against a path that matches one rule here and another one once the upstream resolves it.
TEST(RequestChecks, DotSegmentsAreRefusedInAnyEncoding)
{
  for (const char* target :
       { "/a/../orders", "/a/%2e%2E/b", "/./a", "/a/..", "relative", "*", "" }) {
    CHECK_THROWS(RequestRefusedError, ParseRequestPath(target));
  }
  CHECK(ParseRequestPath("/a/...b/c..d?e=../f") == "/a/...b/c..d");
  CHECK(ParseRequestPath("http://host/a?b") == "/a");
}

TEST(RequestChecks, MissingAndInvalidKeysAreRefusedWhereKeysAreRequired)
{
  CHECK(RefusalReasonOf(request_) == RefusalReason::KeyRequired);
  request_.headers_.Add("idempotency-key", "k 1");
  CHECK(RefusalReasonOf(request_) == RefusalReason::KeyInvalid);
  request_.headers_.Set("Idempotency-Key", std::string(129, 'k'));
  CHECK(RefusalReasonOf(request_) == RefusalReason::KeyInvalid);
}

TEST(RequestChecks, BodyAboveTheLimitOfTheServiceIsRefused)
{
  request_.headers_.Add("Idempotency-Key", "k-1");
  request_.body_ = std::string(OrderServiceConfig().maxRequestBody_ + 1, 'x');
  CHECK(RefusalReasonOf(request_) == RefusalReason::BodyTooLarge);
}

TEST(RequestChecks, InvalidDeadlinesAreRefusedAndLongOnesCapped)
{
  request_.headers_.Add("Idempotency-Key", "k-1");
  for (const char* value : { "-1", "1.5", "abc", "", "99999999999999999999" }) {
    request_.headers_.Set("Boragepier-Deadline-Ms", value);
    CHECK(RefusalReasonOf(request_) == RefusalReason::MalformedRequest);
  }
  request_.headers_.Set("Boragepier-Deadline-Ms", "60000");
  const CallOptions options = ResolveCallOptions(request_, "/orders/new", OrderServiceConfig());
  CHECK(options.timeLimit_ == std::chrono::seconds(5));
  CHECK(options.repeatability_ == Repeatability::AtMostOnce);
}

// Guards against a request id that cannot be sent back, logged or compared as it is.
TEST(RequestChecks, CallerRequestIdIsVisibleAsciiOfAtMost128Bytes)
{
  WireDialect dialect = NativeDialect();
  CHECK(!ParseCallerRequestId(request_, dialect));
  request_.headers_.Set(dialect.requestIdField_, "\xff\xfe");
  CHECK(!ParseCallerRequestId(request_, dialect)); // the caller's field has no meaning
  dialect.callerSetsRequestId_ = true;
  for (const std::string& id : { std::string("\xff\xfe"),
                                 std::string("a b"),
                                 std::string("a\x7f"),
                                 std::string(),
                                 std::string(129, 'a') }) {
    request_.headers_.Set(dialect.requestIdField_, id);
    CHECK_THROWS(RequestRefusedError, ParseCallerRequestId(request_, dialect));
  }
  const std::string longestId(128, '~');
  request_.headers_.Set(dialect.requestIdField_, longestId);
  request_.headers_.Add(dialect.requestIdField_, longestId);
  CHECK(ParseCallerRequestId(request_, dialect) == RequestId(longestId));
  request_.headers_.Add(dialect.requestIdField_, "another");
  CHECK_THROWS(RequestRefusedError, ParseCallerRequestId(request_, dialect));
}

// Guards against taking two different requests with the same key for one request.
TEST(RequestChecks, FingerprintSeparatesTargetAndBody)
{
  const std::string original = FingerprintRequest(request_);
  http::Request shiftedBoundary = request_;
  shiftedBoundary.target_ += "b";
  shiftedBoundary.body_ = "ody";
  CHECK(FingerprintRequest(shiftedBoundary) != original);
  CHECK(FingerprintRequest(request_) == original);
}

TEST(RequestChecks, ReservedFieldsAreRemovedInAnyCase)
{
  http::Headers headers;
  headers.Add("BORAGEPIER-Not-Run", "true");
  headers.Add("Accept", "*/*");
  RemoveReservedFields(headers);
  CHECK(!headers.Get(kNotRunHeader));
  CHECK(headers.Get("Accept").has_value());
}

TEST(RequestChecks, InvalidLoadFieldIsIgnored)
{
  http::Headers headers;
  headers.Set(kLoadHeader, "in-flight=3");
  CHECK(ParseLoadHeader(headers) == 3U);
  for (const char* value : { "in-flight=", "in-flight=-1", "3", "in-flight=3x" }) {
    headers.Set(kLoadHeader, value);
    CHECK(!ParseLoadHeader(headers));
  }
}

} // namespace boragepier
