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

/// One connection to the stand-in upstream. http::Server is not used, as it cannot send what a
/// faulty upstream sends. Handles one request at a time.
class CallerConnection
  : public std::enable_shared_from_this<CallerConnection>
  , private net::StreamHandler
{
public:
  using RequestHandler = std::function<void(std::shared_ptr<CallerConnection>, http::Request)>;
  using CloseHandler = std::function<void(CallerConnection&)>;

  CallerConnection(std::shared_ptr<net::TcpStream> aStream,
                   RequestHandler aOnRequest,
                   CloseHandler aOnClose);
  ~CallerConnection() override;

  void Start() { stream_->Start(*this); }
  /// Sends a complete response.
  void Respond(const http::Response& aResponse);
  /// Sends a response without the last byte of its body and closes.
  void RespondTruncated(const http::Response& aResponse);
  /// From now on nothing is read or sent, and the connection stays open.
  void Silence() { silent_ = true; }
  void Close();

private:
  void OnInput(std::string_view aBytes) override;
  void OnOutputFlushed() override;
  void OnEnd(net::StreamEnd aEnd) override;
  void Advance();

  std::shared_ptr<net::TcpStream> stream_;
  RequestHandler onRequest_;
  CloseHandler onClose_;
  http::RequestReader reader_;
  http::InputBuffer input_;
  bool handling_ = false;
  bool advancing_ = false;
  bool toHead_ = false;
  bool closeWhenSent_ = false;
  bool silent_ = false;
  bool closed_ = false;
};

} // namespace boragepier::testing

#endif
