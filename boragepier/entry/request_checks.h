#ifndef BORAGEPIER_ENTRY_REQUEST_CHECKS_H
#define BORAGEPIER_ENTRY_REQUEST_CHECKS_H

#include <optional>
#include <string>
#include <string_view>

#include "boragepier/base/errors.h"
#include "boragepier/base/outcome.h"
#include "boragepier/base/time.h"
#include "boragepier/config/route_config.h"
#include "boragepier/config/service_config.h"
#include "boragepier/entry/wire_dialect.h"
#include "boragepier/http/message.h"

namespace boragepier {

inline constexpr std::string_view kDeadlineHeader = "Boragepier-Deadline-Ms";
inline constexpr std::string_view kKeyHeader = "Idempotency-Key";
inline constexpr std::string_view kOutcomeHeader = "Boragepier-Outcome";
inline constexpr std::string_view kRequestIdHeader = "Boragepier-Request-Id";
inline constexpr std::string_view kReplayedHeader = "Boragepier-Replayed";
inline constexpr std::string_view kLoadHeader = "Boragepier-Load";
inline constexpr std::string_view kNotRunHeader = "Boragepier-Not-Run";
inline constexpr std::string_view kDrainingHeader = "Boragepier-Draining";

/// A request that is refused before any work is done for it.
class RequestRefused : public Error
{
public:
  explicit RequestRefused(RefusalReason aReason)
    : Error(std::string(ToString(aReason)))
    , reason_(aReason)
  {
  }
  RefusalReason Reason() const { return reason_; }

private:
  RefusalReason reason_;
};

/// Path of a request target in origin or absolute form.
/// @param aTarget target of the request line
/// @return the path without the query
/// @throws RequestRefused (malformed-request) for a target that is not a path, or whose path holds
///   dot segments, plain or percent-encoded: an upstream that resolves them would apply another
///   rule of the service file than boragepier did
std::string_view
PathOf(std::string_view aTarget);

/// What the caller asked for in headers, checked against the service.
struct CallTerms
{
  Repeatability repeatability_ = Repeatability::AtMostOnce;
  Duration timeLimit_{};           ///< from the arrival of the request
  Duration latencyTarget_{};       ///< from the arrival; a later answer is of little use
  std::optional<std::string> key_; ///< Idempotency-Key
};

/// @param aRequest the request
/// @param aPath its path
/// @param aConfig the service that it belongs to
/// @return the terms
/// @throws RequestRefused for a body past the limit of the service, an invalid deadline or key, or
/// a
///   missing key
CallTerms
CheckTerms(const http::Request& aRequest,
           std::string_view aPath,
           const ServiceConfig& aConfig,
           const WireDialect& aDialect = OwnDialect());

/// The same for a request that belongs to a route: the route's terms go before the service's.
CallTerms
CheckTerms(const http::Request& aRequest, const RouteConfig& aRoute, const WireDialect& aDialect);

/// @return hash of method, target and body, by which a key that is used for two different requests
///   is recognised
std::string
FingerprintOf(const http::Request& aRequest);

/// Removes the fields that only boragepier may set, so that neither callers nor upstreams can forge
/// them.
void
RemoveReservedFields(http::Headers& aHeaders);

/// @param aHeaders headers of an answer
/// @return the requests in flight that the upstream reports, or nothing if the field is missing or
///   invalid
std::optional<std::uint32_t>
ReportedLoad(const http::Headers& aHeaders);

} // namespace boragepier

#endif
