#ifndef BORAGEPIER_ENTRY_WIRE_DIALECT_H
#define BORAGEPIER_ENTRY_WIRE_DIALECT_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "boragepier/config/upstream_endpoint.h"
#include "boragepier/decision/service_balancer.h"
#include "boragepier/http/client.h"
#include "boragepier/http/message.h"

namespace boragepier {

/// State of an upstream, as read from the header of one of its responses.
struct UpstreamFeedback
{
  std::optional<LoadReport> load_;
  bool draining_ = false; ///< it is leaving, or its address belongs to another upstream now
  bool notRun_ = false;   ///< it certifies that it did not run the request
  /// It refused the request (503 with Retry-After) and wants none for this time.
  std::optional<Duration> pause_;
  /// How long it stays cold; zero if it is warm. In responses to probes.
  std::optional<Duration> coldRemaining_;
  bool invalidPause_ = false; ///< it asked for a pause with a value that is ignored
};

/// Longest pause that an upstream can ask for. A larger value is ignored.
inline constexpr Duration kMaxPause = std::chrono::hours(1);

/// Reads the pause that an upstream asks for with a refusal: status 503 with Retry-After, in
/// seconds that may have a fraction. A value that is negative, not a number (a date, for example)
/// or above kMaxPause is ignored.
void
ParsePause(const http::Response& aResponse, UpstreamFeedback& aFeedback);

/// Header fields through which boragepier exchanges deadlines, request ids, idempotency keys and
/// the state of upstreams with callers and upstreams: their names, and functions that read fields
/// whose format differs between platforms. An empty name means that the platform has no such field.
struct WireDialect
{
  /// Time until the deadline of the request, in milliseconds. Set by callers, and by boragepier
  /// towards upstreams.
  std::string deadlineField_;
  /// Request id. If callerSetsRequestId_, callers set it and upstreams echo it; otherwise
  /// boragepier sets it.
  std::string requestIdField_;
  bool callerSetsRequestId_ = false;
  /// Idempotency key, the same in all requests with which a caller repeats one operation.
  std::string idempotencyKeyField_;
  /// Present in every successful response of an upstream. A response with a status below 300 that
  /// lacks it does not come from an upstream.
  std::string signatureField_;
  /// Upstreams never encode bodies. A response with Content-Encoding does not come from an
  /// upstream.
  bool bodiesAreNotEncoded_ = false;
  /// Id of the upstream that a request is meant for, so that another one can refuse it.
  std::string expectedUpstreamField_;
  /// Fields of responses that have one value. A response in which one of them occurs twice consists
  /// of parts of two.
  std::vector<std::string> singleFields_;
  /// Key by which a caller identifies itself as one of a team. Never passed on.
  std::string callerKeyField_;
  /// Name of the team of the caller, set towards upstreams.
  std::string teamField_;

  /// Callers honour Retry-After, also with a fraction of a second, and send a refused request again
  /// to another instance, with the time that is left as its deadline.
  bool callersReturn_ = false;

  /// @return whether a status tells callers that the request was not run and never will be, so that
  ///   they send any request with it again
  bool (*promisesNotRun_)(int aStatus) = nullptr;

  /// Reads the state of the upstream from its response to a request or a probe.
  UpstreamFeedback (*parseFeedback_)(const http::Response&) = nullptr;
  /// @return whether a response to a probe comes from the probed upstream; also true if it does not
  ///   identify its sender
  bool (*isFromUpstream_)(const http::Response&, const UpstreamEndpoint&) = nullptr;

  /// Sets by which fields the response to a request or a probe is told from others.
  /// @param aOptions refers to texts of this object afterwards
  void SetResponseFields(http::SendOptions& aOptions) const;
};

/// @return the dialect of boragepier's own interface, see docs/interface.md
const WireDialect&
NativeDialect();

} // namespace boragepier

#endif
