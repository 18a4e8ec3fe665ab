#ifndef BORAGEPIER_HTTP_CLIENT_CONNECTION_H
#define BORAGEPIER_HTTP_CLIENT_CONNECTION_H

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "boragepier/http/client.h"
#include "boragepier/http/response_reader.h"
#include "boragepier/net/tcp_stream.h"

namespace boragepier::http {

class ClientConnection;

/// What a connection tells its client. The connection may be given up in each call.
class ClientConnectionEvents
{
public:
  ClientConnectionEvents() = default;
  ClientConnectionEvents(const ClientConnectionEvents&) = delete;
  ClientConnectionEvents& operator=(const ClientConnectionEvents&) = delete;
  virtual ~ClientConnectionEvents() = default;

  /// The request ended. If aReusable is false the connection is closed.
  virtual void OnRequestEnded(ClientConnection& aConnection,
                              SendResult aResult,
                              bool aReusable) = 0;
  /// The connection closed while it was idle.
  virtual void OnIdleClosed(ClientConnection& aConnection) = 0;
};

/// One connection to a target, which carries one request at a time. Loop thread only.
class ClientConnection : private net::StreamEvents
{
public:
  ClientConnection(net::EventLoop& aLoop, const Target& aTarget, ClientConnectionEvents& aEvents);
  ~ClientConnection() override;

  /// Sends a request, after connecting if necessary. Only if none is in progress.
  void Send(SendId aId, std::shared_ptr<const Request> aRequest, std::size_t aMaxResponseBody);
  void Close();

  const Target& GetTarget() const { return target_; }
  /// @return the request in progress
  SendId CurrentSend() const { return sendId_; }
  /// @return Unknown if a byte of the request in progress was given to the system, else NotRun
  Outcome OutcomeIfGivenUp() const;
  bool Connected() const { return connected_; }
  /// @return false if the peer closed the idle connection, or sent bytes that nobody asked for
  bool Usable() const { return !stream_->Closed() && !stream_->HasUndeliveredInput(); }
  /// @return time of the last complete answer, or of connecting
  MonotonicTime LastProofOfLife() const { return lastProofOfLife_; }
  /// @return time at which the request in progress was written
  MonotonicTime RequestWritten() const { return requestWritten_; }
  bool IsNew() const { return answers_ == 0; }

private:
  void OnConnected() override;
  void OnInput(std::string_view aBytes) override;
  void OnEnd(net::StreamEnd aEnd) override;

  void WriteNow();
  void OnComplete();
  void Fail(AttemptFailure aFailure);

  net::EventLoop& loop_;
  const Target target_;
  ClientConnectionEvents& events_;
  std::shared_ptr<net::TcpStream> stream_;
  std::string host_;
  InputBuffer input_;
  std::optional<ResponseReader> reader_;
  std::shared_ptr<const Request> request_;
  SendId sendId_{};
  std::uint64_t writtenBefore_ = 0;
  std::uint64_t answers_ = 0;
  MonotonicTime lastProofOfLife_{};
  MonotonicTime requestWritten_{};
  bool connected_ = false;
};

} // namespace boragepier::http

#endif
