#ifndef BORAGEPIER_HTTP_SERVER_CONNECTION_H
#define BORAGEPIER_HTTP_SERVER_CONNECTION_H

#include <functional>
#include <memory>
#include <optional>

#include "boragepier/http/request_reader.h"
#include "boragepier/http/server.h"
#include "boragepier/net/deadline_timer.h"
#include "boragepier/net/tcp_stream.h"

namespace boragepier::http {

class ServerConnection;

/// Interface of the server as seen by its connections.
class ServerContext
{
public:
  ServerContext() = default;
  ServerContext(const ServerContext&) = delete;
  ServerContext& operator=(const ServerContext&) = delete;
  virtual ~ServerContext() = default;

  virtual net::EventLoop& Loop() = 0;
  virtual const ServerLimits& Limits() const = 0;
  /// @return what pays for the bodies of requests; null if any fits
  virtual const std::shared_ptr<BodyBudget>& Budget() const = 0;
  virtual bool Draining() const = 0;
  /// @return whether Server::StopAccepting() was called, so that idle connections are to be closed
  virtual bool AcceptingStopped() const = 0;
  virtual void Handle(std::shared_ptr<Exchange> aExchange) = 0;
  virtual Response MakeRefusal(RefusalReason aReason) = 0;
  /// A request is refused without the handler.
  virtual void OnRefused(const ServerRefusal& aRefusal) = 0;
  /// A request was read completely, and its connection ends before the complete response.
  virtual void OnUnanswered(UnansweredCause aCause) = 0;
  /// The connection was closed; the server releases it.
  virtual void OnClosed(ServerConnection& aConnection) = 0;
};

/// A connection from a caller. It handles one request at a time, so that responses to pipelined
/// requests keep their order. Loop thread only.
class ServerConnection
  : public std::enable_shared_from_this<ServerConnection>
  , private net::StreamHandler
{
public:
  ServerConnection(ServerContext& aContext, std::shared_ptr<net::TcpStream> aStream);
  ~ServerConnection() override;

  /// Starts to read requests.
  void Start();
  /// Starts the connection by sending a refusal, without waiting for a request.
  void StartRefused(RefusalReason aReason);
  /// Closes the connection if no byte of a request is pending.
  /// @return whether it was closed
  bool CloseIfIdle();
  /// @return the time since which a request is awaited; nothing if a part of one was received or it
  /// is being handled
  std::optional<MonotonicTime> IdleSince() const;
  /// Adjusts the deadline of an idle connection to the present idle timeout.
  void ApplyIdleTimeout();
  /// Closes immediately, without running the abandoned callback of an exchange in progress.
  /// @param aCause reported if a request that was read completely has no complete response yet
  void Close(UnansweredCause aCause);

private:
  class ServerExchange;

  enum class State : std::uint8_t
  {
    Reading,   // idle, or part of a request has been received
    Handling,  // the handler has not responded yet
    Writing,   // the response is being sent
    Lingering, // the last response was written; input is discarded until the caller closes
    Closed,
  };

  void OnInput(std::string_view aBytes) override;
  void OnOutputFlushed() override;
  bool OnInputEnded() override;
  void OnEnd(net::StreamEnd aEnd) override;

  void ProcessInput();
  bool ProcessNextRequest();
  void HandleRequest();
  void SendResponse(const Response& aResponse);
  void ReportRefusal(RefusalReason aReason);
  void SendRefusal(RefusalReason aReason);
  void OnResponseSent();
  void OnTimeout();
  void SetReadTimeout();
  void SetIdleDeadline(MonotonicTime aDeadline);
  void ApplyReadAheadLimit();

  ServerContext& context_;
  std::shared_ptr<net::TcpStream> stream_;
  /// Of the request that is being read; a change of the limits applies to those that begin later.
  ServerLimits requestLimits_;
  RequestReader reader_;
  InputBuffer input_;
  BodyCharge inputCharge_; ///< for the bytes of input_ that await the end of a request
  net::DeadlineTimer timeout_;
  std::weak_ptr<ServerExchange> exchange_;
  State state_ = State::Reading;
  MonotonicTime lingerEnd_{}; ///< valid while lingering
  bool processingInput_ = false;
  bool requestStarted_ = false;
  MonotonicTime idleSince_{};      ///< valid while no part of a request was received
  MonotonicTime idleDeadline_{};   ///< likewise
  MonotonicTime requestStartTime_; ///< arrival of its first byte; valid if requestStarted_
  /// When the caller ended its sending side; it may wait for responses to what it has sent.
  std::optional<MonotonicTime> inputEndTime_;
  bool closeAfterResponse_ = false;
  bool requestIsHead_ = false;
};

} // namespace boragepier::http

#endif
