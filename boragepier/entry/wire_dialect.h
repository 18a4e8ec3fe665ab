#ifndef BORAGEPIER_ENTRY_WIRE_DIALECT_H
#define BORAGEPIER_ENTRY_WIRE_DIALECT_H

#include <optional>
#include <string>
#include <string_view>

#include "boragepier/config/upstream_endpoint.h"
#include "boragepier/decision/service_balancer.h"
#include "boragepier/http/message.h"

namespace boragepier {

/// What an upstream says of itself in a response.
struct UpstreamSigns
{
  std::optional<LoadReport> load_;
  bool draining_ = false; ///< it is leaving, or the address belongs to another upstream now
  bool notRun_ = false;   ///< it certifies that it did not run the request
};

/// How requests and responses of an installation carry what boragepier needs to know: names of
/// header fields, and readers for fields with a format of their own. Empty names stand for what the
/// installation does not have.
struct WireDialect
{
  /// Milliseconds that are left, from callers and to upstreams.
  std::string deadlineField_;
  /// Names a request. Set by callers and echoed by upstreams if callerNamesRequests_, else set by
  /// boragepier.
  std::string requestIdField_;
  bool callerNamesRequests_ = false;
  /// Identifies an operation across repetitions by its caller.
  std::string keyField_;
  /// A successful response without this field did not come from an upstream.
  std::string signatureField_;
  /// Tells an upstream which one is meant.
  std::string expectedUpstreamField_;

  /// Reads the signs in a response to a request or a probe.
  UpstreamSigns (*readSigns_)(const http::Response&) = nullptr;
  /// @return whether a response to a probe came from the upstream that was probed; also true if it
  ///   does not say
  bool (*isFrom_)(const http::Response&, const UpstreamEndpoint&) = nullptr;
};

/// @return the dialect of boragepier's own interface (docs/interface.md)
const WireDialect&
OwnDialect();

} // namespace boragepier

#endif
