#ifndef BORAGEPIER_BASE_OUTCOME_H
#define BORAGEPIER_BASE_OUTCOME_H

#include <cstdint>
#include <string_view>

namespace boragepier {

/// What is known about a request or an attempt after it ended. Values are in order of certainty:
/// a request whose attempts ended differently has the largest value among them.
enum class Outcome : std::uint8_t
{
  NotRun,   ///< certainly not run: nothing was sent, or the upstream certified it
  Answered, ///< a complete answer arrived
  Unknown,  ///< it may have run; no complete answer arrived
};

/// Why a request was refused. Each has a status code, a name on the wire and a counter.
enum class RefusalReason : std::uint8_t
{
  MalformedRequest,
  HeaderTooLarge,
  BodyTooLarge,
  NoRoute,
  KeyRequired,
  KeyInvalid,
  KeyReused,
  InProgress,
  AnswerNotKept, ///< it ran before; its answer was too large to be recorded
  ClaimStoreUnavailable,
  Overloaded,
  QueueTimeout,
  NoUpstream,
  DeadlineExpired,
  UpstreamLost,
  UpstreamTimeout,
  UpstreamTruncated,
  ResponseTooLarge,
  ShuttingDown,
  NotConfigured, ///< the instance does not know any configuration yet
};
inline constexpr int kRefusalReasonCount = 20;

/// How an attempt failed to bring a complete answer.
enum class AttemptFailure : std::uint8_t
{
  None,              ///< a complete answer arrived
  ConnectFailed,     ///< no connection could be made
  NothingWritten,    ///< the connection broke before the first byte of the request was written
  Refused,           ///< the upstream certified that it did not run the request
  ConnectionLost,    ///< the connection broke after the request was written, before any answer
  Timeout,           ///< no complete answer in time; the connection is closed
  Truncated,         ///< the answer was cut off
  MalformedResponse, ///< the answer violates HTTP framing
  ResponseTooLarge,  ///< the answer exceeds the limit of the service
  Cancelled,         ///< given up by boragepier: the caller left, or another attempt answered
};
inline constexpr int kAttemptFailureCount = 10;

/// Why another attempt was sent. Each has a counter.
enum class RetryReason : std::uint8_t
{
  ConnectFailed,     ///< no connection was made, or nothing was written to it
  Refused,           ///< the upstream certified that it did not run the request
  ConnectionLost,    ///< the connection ended before a complete answer; repeatable calls only
  AttemptTimeout,    ///< no answer within the attempt's time; repeatable calls only
  TruncatedResponse, ///< the answer was cut off; repeatable calls only
  ServerError,       ///< a 5xx answer; repeatable calls only
  Hedge,             ///< the first attempt is slow; repeatable calls only
};
inline constexpr int kRetryReasonCount = 7;

/// @return the name used in headers, for example "not-run"
std::string_view
ToString(Outcome aOutcome);
/// @return the name used in problem documents and counters, for example "no-route"
std::string_view
ToString(RefusalReason aReason);
/// @return the name used in counters, for example "connect-failed"
std::string_view
ToString(RetryReason aReason);
/// @return the name used in logs and explain records, for example "connection-lost"
std::string_view
ToString(AttemptFailure aFailure);
/// @return the HTTP status of a refusal for this reason
int
StatusOf(RefusalReason aReason);

} // namespace boragepier

#endif
