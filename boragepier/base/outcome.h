#ifndef BORAGEPIER_BASE_OUTCOME_H
#define BORAGEPIER_BASE_OUTCOME_H

#include <cstdint>
#include <string_view>

namespace boragepier {

/// What is known about the execution of a request or an attempt after it ended. A request has the
/// largest value among its attempts.
enum class Outcome : std::uint8_t
{
  NotRun,   ///< not executed: nothing was sent, or the upstream stated that it did not execute it
  Answered, ///< a complete response arrived
  Unknown,  ///< no complete response arrived; it may have been executed
};

/// Why boragepier answered a request with an error of its own. Each reason has an HTTP status, a
/// name on the wire and a counter.
enum class RefusalReason : std::uint8_t
{
  MalformedRequest,
  HeaderTooLarge,
  BodyTooLarge,
  NoRoute,               ///< no route or service matches host and path
  KeyRequired,           ///< the service requires an Idempotency-Key, which is missing
  KeyInvalid,            ///< the Idempotency-Key is malformed
  KeyReused,             ///< the Idempotency-Key belongs to a request with other contents
  InProgress,            ///< a request with the same Idempotency-Key has not ended yet
  ResponseNotRecorded,   ///< already executed; the response was too large to be recorded
  ClaimStoreUnavailable, ///< the claim of the Idempotency-Key could not be read or written
  Overloaded,            ///< load shedding: the queue is full or the wait would be too long
  QueueTimeout,          ///< the request waited in the queue for too long
  NoUpstream,            ///< no upstream is available, or none could be connected to
  DeadlineExpired,
  UpstreamLost,      ///< the connection to the upstream broke after the request was sent
  UpstreamTimeout,   ///< the upstream did not answer in time
  UpstreamTruncated, ///< the response was cut off or malformed
  ResponseTooLarge,
  ShuttingDown,
  NotConfigured,      ///< the instance has not received a configuration yet
  CallerLeft,         ///< the caller ended its input and may have closed the connection
  InternalError,      ///< an unexpected error ended the request
  BodyBudgetExceeded, ///< the body does not fit in the memory for bodies now
  ResponseNotAwaited, ///< as CallerLeft, for a request that may have run
  UpstreamsPaused,    ///< all upstreams of the service have asked for a pause
  KeyRejected,        ///< the request has no key of a team
  QuotaExceeded,      ///< the team has used up its quota
  UpstreamsCold,      ///< all upstreams are cold and have as many requests as they can take
  UnconfirmedRefusal, ///< the upstream refused the request, and does not certify that it did not
                      ///< run
};
inline constexpr int kRefusalReasonCount = 29;

/// Why an attempt did not yield a complete response.
enum class AttemptFailure : std::uint8_t
{
  None,              ///< a complete response arrived
  ConnectFailed,     ///< the connection could not be established
  LocalLimit,        ///< this instance had no descriptor or memory for a connection
  NothingWritten,    ///< the connection broke before the first byte of the request was written
  Refused,           ///< the upstream stated that it did not execute the request
  ConnectionLost,    ///< the connection broke after the request was written, before any response
  Timeout,           ///< no complete response in time; the connection is closed
  Truncated,         ///< the response was cut off
  MalformedResponse, ///< the response violates HTTP framing
  ResponseTooLarge,  ///< the response exceeds the limit of the service
  Cancelled,         ///< by boragepier: the caller disconnected, or another attempt succeeded
  Withdrawn,         ///< not sent yet when the upstream asked for a pause
  MixedResponse,     ///< the response holds a part of another one
};
inline constexpr int kAttemptFailureCount = 13;

/// Why a further attempt was sent. Each reason has a counter.
enum class RetryReason : std::uint8_t
{
  ConnectFailed,     ///< no connection was established, or nothing was written to it
  Refused,           ///< the upstream stated that it did not execute the request
  ConnectionLost,    ///< the connection broke before a complete response; repeatable requests only
  AttemptTimeout,    ///< no response within the attempt timeout; repeatable requests only
  TruncatedResponse, ///< the response was cut off; repeatable requests only
  ServerError,       ///< a 5xx response; repeatable requests only
  Hedge,             ///< the first attempt exceeded the hedging delay; repeatable requests only
};
inline constexpr int kRetryReasonCount = 7;

/// Why a connection ended before the complete response to a request that was read completely.
enum class UnansweredCause : std::uint8_t
{
  CallerClosed, ///< the caller closed or reset the connection
  WriteTimeout, ///< the caller did not accept the response in time
  Aborted,      ///< the handler gave up the request without a response
  ProcessExit,  ///< the server was destroyed, as at the end of the drain limit
};
inline constexpr int kUnansweredCauseCount = 4;

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
/// @return the name used in logs and counters, for example "caller-closed"
std::string_view
ToString(UnansweredCause aCause);
/// @return the HTTP status of the error response for this reason
int
HttpStatusOf(RefusalReason aReason);

} // namespace boragepier

#endif
