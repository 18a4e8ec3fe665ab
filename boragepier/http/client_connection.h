#ifndef BORAGEPIER_HTTP_CLIENT_CONNECTION_H
#define BORAGEPIER_HTTP_CLIENT_CONNECTION_H

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "boragepier/http/client.h"
#include "boragepier/http/response_reader.h"
#include "boragepier/net/deadline_timer.h"
#include "boragepier/net/tcp_stream.h"

namespace boragepier::http {

class ClientConnection;

/// Receives the events of a ClientConnection. The connection may be closed during each call.
class ClientConnectionHandler
{
public:
  ClientConnectionHandler() = default;
  ClientConnectionHandler(const ClientConnectionHandler&) = delete;
  ClientConnectionHandler& operator=(const ClientConnectionHandler&) = delete;
  virtual ~ClientConnectionHandler() = default;

  /// The request ended.
  /// @param aReusable if false, the connection is already closed
  virtual void OnRequestEnded(ClientConnection& aConnection,
                              SendResult aResult,
                              bool aReusable) = 0;
  /// An idle connection was closed because the peer closed it or sent unexpected bytes.
  virtual void OnIdleClosed(ClientConnection& aConnection) = 0;
};

/// A connection to a target with at most one request in flight. The constructor starts to connect.
/// Loop thread only.
class ClientConnection : private net::StreamHandler
{
public:
  ClientConnection(net::EventLoop& aLoop,
                   ConnectionId aId,
                   const Target& aTarget,
                   ClientConnectionHandler& aHandler,
                   std::shared_ptr<BodyBudget> aBudget);
  ~ClientConnection() override;

  /// Sends a request as soon as the connection is established. No other request may be in flight.
  /// @param aOptions those about the response apply
  void Send(SendId aId, std::shared_ptr<const Request> aRequest, const SendOptions& aOptions);
  void Close();

  ConnectionId Id() const { return id_; }
  const Target& GetTarget() const { return target_; }
  /// @return id of the request in flight, or of the last one
  SendId CurrentSendId() const { return sendId_; }
  /// @return the outcome if the request in flight were aborted now: Unknown if the kernel has
  /// accepted any byte of it, else NotRun
  Outcome OutcomeIfAborted() const;
  bool Connected() const { return connected_; }
  /// @return false if the idle connection was closed by the peer or has received unexpected bytes
  bool CanBeReused() const { return !stream_->Closed() && !stream_->HasUndeliveredInput(); }
  /// @return time of the last complete response, or of connecting if there was none
  MonotonicTime LastActivity() const { return lastActivity_; }
  /// @return time at which writing of the request in flight began
  MonotonicTime RequestWriteTime() const { return requestWriteTime_; }
  /// @return true if a part of the response to the request in flight has been received
  bool ResponseStarted() const { return requestWriteTime_ < lastInput_; }
  /// @return time at which bytes last arrived
  MonotonicTime LastInput() const { return lastInput_; }
  /// @return true if no complete response has been received on this connection
  bool HasNoResponseYet() const { return responseCount_ == 0; }
  /// @return true if a response to another request came before that of the request in flight
  bool ForeignResponseSkipped() const { return foreignResponseSkipped_; }

private:
  void OnConnected() override;
  void OnInput(std::string_view aBytes) override;
  void OnEnd(net::StreamEnd aEnd) override;

  void ReadResponse();
  void WriteCurrentRequest();
  void ExpectResponse();
  bool HandleUnlessOwn();
  void OnComplete();
  void Fail(AttemptFailure aFailure);

  net::EventLoop& loop_;
  const ConnectionId id_;
  const Target target_;
  ClientConnectionHandler& handler_;
  std::shared_ptr<net::TcpStream> stream_;
  std::string hostField_; ///< value of the Host field if a request has none
  InputBuffer input_;
  const std::shared_ptr<BodyBudget> budget_;
  net::DeadlineTimer memoryTimer_; ///< runs while the response waits for memory
  std::optional<ResponseReader> reader_;
  std::shared_ptr<const Request> request_; ///< null while idle
  ResponseFields responseFields_;
  bool answeredWithoutId_ = false; ///< by a response without an id to a request without one
  std::size_t maxResponseBodyBytes_ = 0;
  bool foreignResponseSkipped_ = false;
  SendId sendId_{};
  std::uint64_t bytesWrittenBefore_ = 0; ///< by the stream, before the request in flight
  std::uint64_t responseCount_ = 0;
  MonotonicTime lastActivity_{};
  MonotonicTime requestWriteTime_{};
  MonotonicTime lastInput_{};
  bool connected_ = false;
};

} // namespace boragepier::http

#endif
