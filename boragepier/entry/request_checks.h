#ifndef BORAGEPIER_ENTRY_REQUEST_CHECKS_H
#define BORAGEPIER_ENTRY_REQUEST_CHECKS_H

#include <optional>
#include <string>
#include <string_view>

#include "boragepier/base/errors.h"
#include "boragepier/base/ids.h"
#include "boragepier/base/outcome.h"
#include "boragepier/base/time.h"
#include "boragepier/config/caller_key.h"
#include "boragepier/config/route_config.h"
#include "boragepier/config/service_config.h"
#include "boragepier/entry/wire_dialect.h"
#include "boragepier/http/message.h"

namespace boragepier {

// Header fields of boragepier's own interface (docs/interface.md).
inline constexpr std::string_view kDeadlineHeader = "Boragepier-Deadline-Ms";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr std::string_view kOutcomeHeader = "Boragepier-Outcome";
inline constexpr std::string_view kRequestIdHeader = "Boragepier-Request-Id";
inline constexpr std::string_view kReplayedHeader = "Boragepier-Replayed";
inline constexpr std::string_view kLoadHeader = "Boragepier-Load";
inline constexpr std::string_view kNotRunHeader = "Boragepier-Not-Run";
inline constexpr std::string_view kDrainingHeader = "Boragepier-Draining";

/// Thrown to refuse a request before it is sent to any upstream.
class RequestRefusedError : public Error
{
public:
  explicit RequestRefusedError(RefusalReason aReason)
    : Error(std::string(ToString(aReason)))
    , reason_(aReason)
  {
  }
  RefusalReason Reason() const { return reason_; }

private:
  RefusalReason reason_;
};

/// Extracts the path of a request target in origin or absolute form.
/// @param aTarget target of the request line
/// @return the path without the query; refers to aTarget
/// @throws RequestRefusedError (MalformedRequest) if the target has no path, or the path contains
///   dot segments, plain or percent-encoded: an upstream that resolves them would serve a path
///   other than the one that boragepier matched with routes and rules
std::string_view
ParseRequestPath(std::string_view aTarget);

/// @return the request id that the caller set; nothing if it set none, or if the dialect lets
///   boragepier set request ids
/// @throws RequestRefusedError (MalformedRequest) if the id is not 1 to 128 visible ASCII
///   characters, or if there are different ids
std::optional<RequestId>
ParseCallerRequestId(const http::Request& aRequest, const WireDialect& aDialect);

/// @return the time limit that the caller requested; nothing if there is none or it is invalid
std::optional<Duration>
ParseRequestedTimeLimit(const http::Request& aRequest, const WireDialect& aDialect);

/// @return digest of the key by which the caller identifies itself; nothing if there is none, or if
///   there are several
std::optional<KeyDigest>
ParseCallerKey(const http::Request& aRequest, const WireDialect& aDialect);

/// Options of one request: what the caller requested in header fields, within the limits of the
/// service or route.
struct CallOptions
{
  Repeatability repeatability_ = Repeatability::AtMostOnce;
  Duration timeLimit_{};     ///< deadline, counted from the arrival of the request
  Duration latencyTarget_{}; ///< from the arrival; a later response is of little use
  std::optional<std::string> idempotencyKey_;
};

/// Validates a request and resolves its options.
/// @param aRequest the request
/// @param aPath its path
/// @param aConfig configuration of the service that the path belongs to
/// @param aDialect names the header fields
/// @throws RequestRefusedError if the body exceeds the limit of the service, the deadline or the
///   key is invalid, or a required key is missing
CallOptions
ResolveCallOptions(const http::Request& aRequest,
                   std::string_view aPath,
                   const ServiceConfig& aConfig,
                   const WireDialect& aDialect = NativeDialect());

/// Validates a request that matched a route and resolves its options, which the route determines
/// instead of the service. Idempotency keys are not used.
/// @throws RequestRefusedError if the deadline is invalid
CallOptions
ResolveCallOptions(const http::Request& aRequest,
                   const RouteConfig& aRoute,
                   const WireDialect& aDialect);

/// @return a hash of method, target and body, which shows whether two requests with the same
///   idempotency key are the same request
std::string
FingerprintRequest(const http::Request& aRequest);

/// Removes all header fields that start with "Boragepier-", in any case, so that neither callers
/// nor upstreams can forge them.
void
RemoveReservedFields(http::Headers& aHeaders);

/// @param aHeaders headers of a response of an upstream
/// @return the number of in-flight requests in the Boragepier-Load field, or nothing if the field
///   is missing or invalid
std::optional<std::uint32_t>
ParseLoadHeader(const http::Headers& aHeaders);

} // namespace boragepier

#endif
