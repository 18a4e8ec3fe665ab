#ifndef BORAGEPIER_HTTP_SERVER_H
#define BORAGEPIER_HTTP_SERVER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "boragepier/base/outcome.h"
#include "boragepier/base/time.h"
#include "boragepier/http/message.h"
#include "boragepier/net/event_loop.h"

namespace boragepier::http {

/// How a caller left before the response.
enum class CallerEnd : std::uint8_t
{
  /// It ended its sending side a moment ago. It has closed the connection, or waits for the
  /// response: Respond() still sends it.
  HalfClosed,
  Gone, ///< the connection broke
};

/// A request received by a Server, and the means to respond to it. Destroying it before
/// Respond() closes the connection. Loop thread only.
class Exchange
{
public:
  virtual ~Exchange() = default;
  virtual const Request& GetRequest() const = 0;
  /// @return time at which the request had been read completely
  virtual MonotonicTime Arrival() const = 0;
  /// Sends the response. Call exactly once for each request; ignored if the caller has
  /// disconnected.
  virtual void Respond(Response aResponse) = 0;
  /// Closes the connection without a response.
  virtual void Abort() = 0;
  /// Sets a callback that runs if the caller leaves before Respond(): once with HalfClosed when a
  /// grace period has passed since the end of its input, and once with Gone when the connection
  /// breaks. For what has happened before, the callback is posted to the loop.
  virtual void SetAbandonedCallback(std::function<void(CallerEnd)> aCallback) = 0;
};

/// Size limits, timeouts and the connection limit of a Server.
struct ServerLimits
{
  std::size_t maxHeader_ = 16 << 10;                   ///< bytes; status 431 above
  std::size_t maxBody_ = 1 << 20;                      ///< bytes; status 413 above
  Duration idleTimeout_ = std::chrono::seconds(60);    ///< between requests on a connection
  Duration headerTimeout_ = std::chrono::seconds(30);  ///< from its first to its last byte
  Duration requestTimeout_ = std::chrono::seconds(30); ///< per request read or response write
  /// After the end of a caller's input, in which its requests are handled as usual. Most callers
  /// that end their input have closed the connection, and work for those is to stop within 500 ms.
  Duration halfCloseGrace_ = std::chrono::milliseconds(250);
  std::size_t maxConnections_ = 4096; ///< further ones get a refusal (Overloaded) and are closed
  /// Connections that may be open in addition while they are refused; a further one replaces the
  /// one that was refused first.
  std::size_t maxRefusedConnections_ = 64;
  /// At maxConnections_, a new connection replaces the one that is idle for longest if it is idle
  /// for at least this time.
  Duration replaceableIdleTime_ = Duration::max();
};

/// A request that the server refused itself, before it reached the handler.
struct ServerRefusal
{
  RefusalReason reason_ = RefusalReason::MalformedRequest;
  std::optional<std::uint64_t> declaredBody_; ///< bytes; nothing if the request states no length
  std::size_t maxHeader_ = 0;                 ///< bytes; limit that applied to the request
  std::size_t maxBody_ = 0;                   ///< bytes; limit that applied to the request
};

/// HTTP/1.1 server. It uses boragepier/net for I/O and Boost.Beast for message framing. Malformed
/// and oversized requests are refused and never reach the handler.
/// A request whose handler throws is closed without a response.
class Server
{
public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;
  /// Creates the response to a request or connection that the server itself refuses.
  using RefusalFormatter = std::function<Response(RefusalReason)>;

  /// @param aBudget pays for the bodies of requests; what does not fit is refused before it is read
  ///   (BodyBudgetExceeded); if null, any body fits
  Server(net::EventLoop& aLoop,
         ServerLimits aLimits,
         Handler aHandler,
         RefusalFormatter aRefusalFormatter,
         std::shared_ptr<BodyBudget> aBudget = nullptr);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Sets a callback for requests that were read completely and whose connection ended before the
  /// complete response. Call before the loop runs, or in the loop thread.
  void SetUnansweredCallback(std::function<void(UnansweredCause)> aCallback);
  /// Sets a callback for requests that the server refuses itself. Not called for connections
  /// refused because of maxConnections_. Call before the loop runs, or in the loop thread.
  void SetRefusedCallback(std::function<void(const ServerRefusal&)> aCallback);
  /// Starts to accept connections. Call before the loop runs, or in the loop thread.
  /// @param aAddress IP address
  /// @param aPort TCP port; 0 selects a free port
  /// @return the port in use
  /// @throws net::ListenError if the address cannot be used
  std::uint16_t Listen(const std::string& aAddress, std::uint16_t aPort);

  /// Changes the limits, also for open connections. A request that has begun keeps its limits. The
  /// idle timeout counts from the beginning of the idle time; a lowered one closes no connection
  /// before its length has passed since the change. Loop thread only.
  void SetLimits(const ServerLimits& aLimits);
  /// Starts to drain: each further response has "Connection: close" and closes its connection. Idle
  /// connections stay open, because a request on one of them may already be on its way. New
  /// connections are still accepted. Loop thread only.
  void BeginDrain();
  /// Stops accepting connections and closes those on which no byte of a request is pending. Those
  /// on which a part of a request has arrived stay open for it, also if they had not been accepted
  /// yet. Call after BeginDrain(). Loop
  /// thread only.
  void StopAccepting();
  /// @return number of open connections, including those being refused, and those that stay open
  /// for their caller to read the last response. At 0 after StopAccepting(), no further request
  /// reaches the handler, and the end of the process discards no response. Loop thread only.
  std::size_t ConnectionCount() const;
  /// @return number of connections refused so far because of maxConnections_. Loop thread only.
  std::uint64_t RefusedConnectionCount() const;

private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace boragepier::http

#endif
