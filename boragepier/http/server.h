#ifndef BORAGEPIER_HTTP_SERVER_H
#define BORAGEPIER_HTTP_SERVER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "boragepier/base/outcome.h"
#include "boragepier/base/time.h"
#include "boragepier/http/message.h"
#include "boragepier/net/event_loop.h"

namespace boragepier::http {

/// One request in progress on the server side. Loop thread only.
class Exchange
{
public:
  virtual ~Exchange() = default;
  virtual const Request& GetRequest() const = 0;
  /// Time at which the request was completely read.
  virtual MonotonicTime Arrival() const = 0;
  /// Sends the response. Exactly once for each request; ignored if the caller has left.
  virtual void Respond(Response aResponse) = 0;
  /// Closes the connection without a response.
  virtual void Abort() = 0;
  /// Sets a function that runs once if the caller leaves before Respond().
  virtual void OnAbandoned(std::function<void()> aFunction) = 0;
};

/// Limits on what callers may send and how slowly.
struct ServerLimits
{
  std::size_t maxHeader_ = 16 << 10;                   ///< bytes; more is answered with 431
  std::size_t maxBody_ = 1 << 20;                      ///< bytes; more is answered with 413
  Duration idleTimeout_ = std::chrono::seconds(60);    ///< between requests of a connection
  Duration headerTimeout_ = std::chrono::seconds(30);  ///< from first byte to end of the header
  Duration requestTimeout_ = std::chrono::seconds(30); ///< from first to last byte of a request
  std::size_t maxConnections_ = 4096;
};

/// HTTP/1.1 server: boragepier/net streams, Boost.Beast framing. Requests that violate the framing
/// rules are refused here and never reach the handler.
class Server
{
public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;
  /// Makes the response for a request that is refused by the server itself.
  using RefusalWriter = std::function<Response(RefusalReason)>;

  Server(net::EventLoop& aLoop,
         ServerLimits aLimits,
         Handler aHandler,
         RefusalWriter aRefusalWriter);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Starts to accept connections. Before the loop runs, or in the loop thread.
  /// @param aAddress IP address
  /// @param aPort TCP port; 0 lets the system choose
  /// @return the port
  /// @throws net::ListenError if the address cannot be used
  std::uint16_t Listen(const std::string& aAddress, std::uint16_t aPort);

  /// Changes the limits. Connections that are open keep the limits on size. Loop thread only.
  void SetLimits(const ServerLimits& aLimits);
  /// From now on each response closes its connection ("Connection: close"). Idle connections stay
  /// open: a caller may have sent a request on one that has not arrived yet. New connections are
  /// still accepted. Loop thread only.
  void BeginDrain();
  /// Closes the connections on which no request has begun. Loop thread only.
  void CloseIdle();
  /// Stops accepting. Loop thread only.
  void StopAccepting();
  /// @return requests read but not completely answered. Loop thread only.
  std::size_t RequestsInProgress() const;
  std::size_t ConnectionCount() const;

private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace boragepier::http

#endif
