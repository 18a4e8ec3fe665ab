#ifndef BORAGEPIER_TESTING_UPSTREAM_CALLER_CONNECTION_H
#define BORAGEPIER_TESTING_UPSTREAM_CALLER_CONNECTION_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "boragepier/http/input_buffer.h"
#include "boragepier/http/request_reader.h"
#include "boragepier/net/tcp_stream.h"

namespace boragepier::testing {

/// Server side of one HTTP connection to the simulated upstream. Handles one request at a time.
/// Unlike http::Server, it can truncate a response and stop responding on an open connection. Must
/// be owned by a std::shared_ptr. Loop thread only.
class CallerConnection
  : public std::enable_shared_from_this<CallerConnection>
  , private net::StreamHandler
{
public:
  /// Called with each complete request; answer it with Respond() or RespondTruncated().
  using RequestHandler = std::function<void(std::shared_ptr<CallerConnection>, http::Request)>;
  using CloseHandler = std::function<void(CallerConnection&)>;

  CallerConnection(std::shared_ptr<net::TcpStream> aStream,
                   RequestHandler aOnRequest,
                   CloseHandler aOnClose);
  ~CallerConnection() override;

  /// Starts to read requests.
  void Start() { stream_->Start(*this); }
  /// Sends a complete response.
  void Respond(const http::Response& aResponse);
  /// Sends a response without the last byte of its body, then closes the connection.
  void RespondTruncated(const http::Response& aResponse);
  /// Stops reading and sending; the connection stays open.
  void Silence() { silent_ = true; }
  /// Closes the connection and calls the close handler once.
  void Close();

private:
  void OnInput(std::string_view aBytes) override;
  void OnOutputFlushed() override;
  void OnEnd(net::StreamEnd aEnd) override;
  /// Passes buffered requests to the handler until one of them is in progress.
  void HandleInput();

  std::shared_ptr<net::TcpStream> stream_;
  RequestHandler onRequest_;
  CloseHandler onClose_;
  http::RequestReader reader_;
  http::InputBuffer input_;
  bool requestInProgress_ = false;
  bool handlingInput_ = false; ///< guards HandleInput() against recursion
  bool isHead_ = false;        ///< the request in progress is a HEAD
  bool closeAfterWrite_ = false;
  bool silent_ = false;
  bool closed_ = false;
};

} // namespace boragepier::testing

#endif
