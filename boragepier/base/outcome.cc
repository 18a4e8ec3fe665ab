#include "boragepier/base/outcome.h"

#include <array>
#include <cstddef>

namespace boragepier {

namespace {

struct RefusalInfo
{
  std::string_view name_;
  int status_;
};

// In the order of RefusalReason.
constexpr std::array<RefusalInfo, kRefusalReasonCount> kRefusalInfos = { {
  { "malformed-request", 400 },    { "header-too-large", 431 },
  { "body-too-large", 413 },       { "no-route", 404 },
  { "key-required", 400 },         { "key-invalid", 400 },
  { "key-reused", 422 },           { "in-progress", 409 },
  { "answer-not-kept", 409 },      { "claim-store-unavailable", 503 },
  { "overloaded", 503 },           { "queue-timeout", 503 },
  { "no-upstream", 503 },          { "deadline-expired", 504 },
  { "upstream-lost", 502 },        { "upstream-timeout", 504 },
  { "upstream-truncated", 502 },   { "response-too-large", 502 },
  { "shutting-down", 503 },        { "not-configured", 503 },
  { "caller-left", 503 },          { "internal-error", 500 },
  { "body-budget-exceeded", 503 }, { "response-not-awaited", 504 },
  { "upstreams-paused", 503 },     { "key-rejected", 401 },
  { "quota-exceeded", 429 },       { "upstreams-cold", 503 },
  { "unconfirmed-refusal", 502 },
} };

// In the order of RetryReason.
constexpr std::array<std::string_view, kRetryReasonCount> kRetryReasonNames = {
  "connect-failed",     "refused",      "connection-lost", "attempt-timeout",
  "truncated-response", "server-error", "hedge",
};

// In the order of AttemptFailure.
constexpr std::array<std::string_view, kAttemptFailureCount> kAttemptFailureNames = {
  "none",
  "connect-failed",
  "local-limit",
  "nothing-written",
  "refused",
  "connection-lost",
  "timeout",
  "truncated",
  "malformed-response",
  "response-too-large",
  "cancelled",
  "withdrawn",
  "mixed-response",
};

// In the order of UnansweredCause.
constexpr std::array<std::string_view, kUnansweredCauseCount> kUnansweredCauseNames = {
  "caller-closed",
  "write-timeout",
  "aborted",
  "process-exit",
};

} // namespace

std::string_view
ToString(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::NotRun:
      return "not-run";
    case Outcome::Answered:
      return "answered";
    case Outcome::Unknown:
      break;
  }
  return "unknown";
}

std::string_view
ToString(RefusalReason aReason)
{
  return kRefusalInfos.at(static_cast<std::size_t>(aReason)).name_;
}

std::string_view
ToString(RetryReason aReason)
{
  return kRetryReasonNames.at(static_cast<std::size_t>(aReason));
}

std::string_view
ToString(AttemptFailure aFailure)
{
  return kAttemptFailureNames.at(static_cast<std::size_t>(aFailure));
}

std::string_view
ToString(UnansweredCause aCause)
{
  return kUnansweredCauseNames.at(static_cast<std::size_t>(aCause));
}

int
HttpStatusOf(RefusalReason aReason)
{
  return kRefusalInfos.at(static_cast<std::size_t>(aReason)).status_;
}

} // namespace boragepier
