#ifndef BORAGEPIER_HTTP_CLIENT_H
#define BORAGEPIER_HTTP_CLIENT_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "boragepier/base/outcome.h"
#include "boragepier/base/time.h"
#include "boragepier/http/message.h"
#include "boragepier/net/event_loop.h"

namespace boragepier::http {

/// Address of the server that a request is sent to.
struct Target
{
  std::string address_; ///< IP address
  std::uint16_t port_ = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on defaulted comparisons
  friend auto operator<=>(const Target&, const Target&) = default;
};

/// Identifies a connection of one Client; values are never reused.
enum class ConnectionId : std::uint64_t
{
  None = 0
};

/// Options of one request.
struct SendOptions
{
  Duration timeout_ = std::chrono::seconds(2); ///< from Send() to the end of the response
  /// If positive, a response that has begun may end later than timeout_, as long as each of its
  /// bytes arrives within this time after the one before.
  Duration stallTimeout_{};
  Duration maxTimeout_ = std::chrono::seconds(10); ///< limit of such a response, from Send() on
  /// Use only a new connection or one that received a complete response within
  /// Client::kRecentActivityWindow.
  bool recentlyActiveOnly_ = false;
  /// Connections not to use. A target that answers twice may send the second answer when it reads
  /// the next request, so attempts with the same request id must not share a connection.
  std::vector<ConnectionId> excludedConnections_ = {};
  /// Header field in which a response names its request, with the same value as in the request. A
  /// response with another value, such as a late second answer, is skipped, and the connection is
  /// not used again. A request without a value is answered by a response without one. Refers to a
  /// text that outlives the request. If empty, the next response is that of this request.
  std::string_view requestIdField_ = {};
  /// Header fields that a response has at most once. They outlive the request.
  std::span<const std::string> singleFields_ = {};
  std::size_t maxConnections_ = 200;      ///< to this target; at the limit, requests wait
  std::size_t maxResponseBody_ = 8 << 20; ///< bytes
};

/// Result of one request. outcome_ is NotRun only if no byte of the request was written.
struct SendResult
{
  Outcome outcome_ = Outcome::NotRun;
  AttemptFailure failure_ = AttemptFailure::None;
  Response response_;          ///< valid when outcome_ is Answered
  Duration latency_{};         ///< from Send() to the result, including the wait for a connection
  bool newConnection_ = false; ///< the connection had received no response before
  bool foreignResponseSkipped_ = false;          ///< a response to another request came first
  ConnectionId connection_ = ConnectionId::None; ///< None if the request was assigned none
};

/// @return true if a response to another request, or a part of it, arrived
inline bool
HasForeignResponse(const SendResult& aResult)
{
  return aResult.foreignResponseSkipped_ || aResult.failure_ == AttemptFailure::MixedResponse;
}

/// Identifies a request of one Client; values are never reused.
enum class SendId : std::uint64_t
{
};

/// HTTP/1.1 client with one connection pool per target. It uses boragepier/net for I/O and
/// Boost.Beast for message framing. It never retries a request. A connection is reused only after a
/// complete response that no further bytes follow, so a late response cannot be taken for that of
/// another request. A response that holds a part of another one fails as MixedResponse. When a
/// request times out on an open connection, the idle connections to its target without activity
/// since the request was written are closed too. For a connection beyond SetMaxConnections(), or
/// for which the process has no descriptor, an idle one to any target is closed first; if there is
/// none, the request waits for one. Loop thread only.
class Client
{
public:
  using Callback = std::function<void(SendResult)>;

  /// Greatest age of the last complete response on a connection that
  /// SendOptions::recentlyActiveOnly_ admits.
  static constexpr Duration kRecentActivityWindow = std::chrono::seconds(1);

  /// @param aBudget pays for the bodies of responses; a response that does not fit is read when it
  ///   does, until its request times out; if null, any body fits
  explicit Client(net::EventLoop& aLoop, std::shared_ptr<BodyBudget> aBudget = nullptr);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Limits the number of connections to all targets together. Call before the first Send().
  void SetMaxConnections(std::size_t aCount);
  /// Sends a request, or queues it while the connection limit of the target, or that of all targets
  /// together, is reached. A request that ends while it waits for the latter fails as LocalLimit.
  /// @param aCallback runs exactly once in the loop thread, unless Cancel() is called; never runs
  ///   inside this call
  /// @return the id for Cancel()
  SendId Send(const Target& aTarget,
              std::shared_ptr<const Request> aRequest,
              const SendOptions& aOptions,
              Callback aCallback);
  /// Cancels a request: closes its connection and drops its callback.
  /// @return NotRun if no byte was written; otherwise Unknown, also if the request has already
  /// ended
  Outcome Cancel(SendId aId);
  /// Ends the requests to a target of which no byte was written yet, with outcome NotRun and
  /// failure Withdrawn. Their callbacks run inside this call.
  void Withdraw(const Target& aTarget);
  /// Closes the idle connections to a target, for example one that was removed.
  void CloseIdle(const Target& aTarget);
  /// @return number of open connections to a target, including those still connecting
  std::size_t ConnectionCount(const Target& aTarget) const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace boragepier::http

#endif
