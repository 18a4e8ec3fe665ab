#ifndef BORAGEPIER_HTTP_SERVER_CONNECTION_H
#define BORAGEPIER_HTTP_SERVER_CONNECTION_H

#include <functional>
#include <memory>

#include "boragepier/http/request_reader.h"
#include "boragepier/http/server.h"
#include "boragepier/net/deadline.h"
#include "boragepier/net/tcp_stream.h"

namespace boragepier::http {

class ServerConnection;

/// What a connection needs from its server.
class ServerContext
{
public:
  ServerContext() = default;
  ServerContext(const ServerContext&) = delete;
  ServerContext& operator=(const ServerContext&) = delete;
  virtual ~ServerContext() = default;

  virtual net::EventLoop& Loop() = 0;
  virtual const ServerLimits& Limits() const = 0;
  virtual bool Draining() const = 0;
  virtual void Handle(std::shared_ptr<Exchange> aExchange) = 0;
  virtual Response Refuse(RefusalReason aReason) = 0;
  /// The number of requests read but not completely answered changed.
  virtual void OnRequestCount(int aChange) = 0;
  /// The connection closed; the server gives it up.
  virtual void OnClosed(ServerConnection& aConnection) = 0;
};

/// One connection of a caller. Requests are handled one at a time, so that pipelined ones are
/// answered in order.
class ServerConnection
  : public std::enable_shared_from_this<ServerConnection>
  , private net::StreamEvents
{
public:
  ServerConnection(ServerContext& aContext, std::shared_ptr<net::TcpStream> aStream);
  ~ServerConnection() override;

  void Start();
  /// Refuses the connection: a refusal is sent without waiting for a request.
  void StartRefused(RefusalReason aReason);
  void CloseIfIdle();
  /// Closes at once. An exchange in progress is not told.
  void Close();

private:
  class ServerExchange;

  enum class State : std::uint8_t
  {
    Reading,   // between requests, or part of a request has arrived
    Handling,  // the handler has the request
    Writing,   // the response is being sent
    Lingering, // the last response was sent; input is discarded until the caller closes
    Closed,
  };

  void OnInput(std::string_view aBytes) override;
  void OnDrained() override;
  void OnEnd(net::StreamEnd aEnd) override;

  void Advance();
  bool ReadNext();
  void HandleRequest();
  void SendResponse(const Response& aResponse);
  void SendRefusal(RefusalReason aReason);
  void OnResponseSent();
  void OnDeadline();
  void SetReadDeadline();
  void LimitInput();

  ServerContext& context_;
  std::shared_ptr<net::TcpStream> stream_;
  RequestReader reader_;
  InputBuffer input_;
  net::Deadline deadline_;
  std::weak_ptr<ServerExchange> exchange_;
  State state_ = State::Reading;
  bool counted_ = false; // the current request is included in the server's count
  bool advancing_ = false;
  bool requestStarted_ = false;
  MonotonicTime startedAt_; ///< arrival of the first byte of the request; valid if requestStarted_
  bool closeAfterResponse_ = false;
  bool toHead_ = false;
};

} // namespace boragepier::http

#endif
