#include "boragepier/entry/request_checks.h"

#include <CppUTest/TestHarness.h>

namespace boragepier {

namespace {

ServiceConfig
Orders()
{
  ServiceConfig config;
  config.name_ = ServiceName("order-entry");
  config.pathPrefix_ = "/orders/";
  config.keyRequired_ = true;
  config.maxDeadline_ = std::chrono::seconds(5);
  return config;
}

RefusalReason
ReasonFor(const http::Request& aRequest)
{
  try {
    CheckTerms(aRequest, PathOf(aRequest.target_), Orders());
  } catch (const RequestRefused& refused) {
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

// Guards against a path that selects one rule here and another after the upstream resolves it.
TEST(RequestChecks, DotSegmentsAreRefusedHoweverTheyAreWritten)
{
  for (const char* target :
       { "/a/../orders", "/a/%2e%2E/b", "/./a", "/a/..", "relative", "*", "" }) {
    CHECK_THROWS(RequestRefused, PathOf(target));
  }
  CHECK(PathOf("/a/...b/c..d?e=../f") == "/a/...b/c..d");
  CHECK(PathOf("http://host/a?b") == "/a");
}

TEST(RequestChecks, AnOrderWithoutKeyIsRefusedWhereKeysAreRequired)
{
  CHECK(ReasonFor(request_) == RefusalReason::KeyRequired);
  request_.headers_.Add("idempotency-key", "k 1");
  CHECK(ReasonFor(request_) == RefusalReason::KeyInvalid);
  request_.headers_.Set("Idempotency-Key", std::string(129, 'k'));
  CHECK(ReasonFor(request_) == RefusalReason::KeyInvalid);
}

TEST(RequestChecks, ABodyPastTheLimitOfTheServiceIsRefused)
{
  request_.headers_.Add("Idempotency-Key", "k-1");
  request_.body_ = std::string(Orders().maxRequestBody_ + 1, 'x');
  CHECK(ReasonFor(request_) == RefusalReason::BodyTooLarge);
}

TEST(RequestChecks, DeadlinesAreNumbersAndBoundedByTheService)
{
  request_.headers_.Add("Idempotency-Key", "k-1");
  for (const char* value : { "-1", "1.5", "abc", "", "99999999999999999999" }) {
    request_.headers_.Set("Boragepier-Deadline-Ms", value);
    CHECK(ReasonFor(request_) == RefusalReason::MalformedRequest);
  }
  request_.headers_.Set("Boragepier-Deadline-Ms", "60000");
  const CallTerms terms = CheckTerms(request_, "/orders/new", Orders());
  CHECK(terms.timeLimit_ == std::chrono::seconds(5));
  CHECK(terms.repeatability_ == Repeatability::AtMostOnce);
}

// Guards against two different requests that share a key being taken for the same one.
TEST(RequestChecks, FingerprintSeparatesMethodTargetAndBody)
{
  const std::string original = FingerprintOf(request_);
  http::Request shifted = request_;
  shifted.target_ += "b";
  shifted.body_ = "ody";
  CHECK(FingerprintOf(shifted) != original);
  CHECK(FingerprintOf(request_) == original);
}

TEST(RequestChecks, ReservedFieldsAreRemovedWhateverTheirCase)
{
  http::Headers headers;
  headers.Add("BORAGEPIER-Not-Run", "true");
  headers.Add("Accept", "*/*");
  RemoveReservedFields(headers);
  CHECK(!headers.Get(kNotRunHeader));
  CHECK(headers.Get("Accept").has_value());
}

TEST(RequestChecks, AnInvalidLoadReportIsIgnored)
{
  http::Headers headers;
  headers.Set(kLoadHeader, "in-flight=3");
  CHECK(ReportedLoad(headers) == 3U);
  for (const char* value : { "in-flight=", "in-flight=-1", "3", "in-flight=3x" }) {
    headers.Set(kLoadHeader, value);
    CHECK(!ReportedLoad(headers));
  }
}

} // namespace boragepier
