#ifndef BORAGEPIER_NET_SOCKET_STREAM_H
#define BORAGEPIER_NET_SOCKET_STREAM_H

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "boragepier/net/tcp_stream.h"

namespace boragepier::net {

/// TcpStream over a Boost.Asio socket. Input is read when it is delivered and not before, so that
/// HasUndeliveredInput() sees all that has arrived.
class SocketStream
  : public TcpStream
  , public std::enable_shared_from_this<SocketStream>
{
public:
  using Socket = boost::asio::ip::tcp::socket;

  /// @param aLoop outlives the stream
  /// @param aSocket a socket of the loop's context; connected, or for Connect()
  SocketStream(EventLoop& aLoop, Socket aSocket);

  void Connect(const std::string& aAddress, std::uint16_t aPort, StreamEvents& aEvents);
  void Start(StreamEvents& aEvents) override;
  void Write(std::string aBytes) override;
  void ShutdownOutput() override;
  void PauseInput(bool aPause) override;
  void Close() override;

  bool Closed() const override { return events_ == nullptr; }
  bool Drained() const override { return output_.empty(); }
  std::uint64_t BytesWritten() const override { return bytesWritten_; }
  bool HasUndeliveredInput() const override;

private:
  using ErrorCode = boost::system::error_code;

  void Prepare();
  void BeginRead();
  void TryWrite();
  void OnWritten(std::size_t aCount);
  void EndLater(StreamEnd aEnd);
  void End(StreamEnd aEnd);
  void OnConnectEnded(const ErrorCode& aError);
  void OnInputReady(const ErrorCode& aError);
  void OnOutputReady(const ErrorCode& aError);

  EventLoop& loop_;
  StreamEvents* events_ = nullptr;
  Socket socket_;
  std::vector<char> readBuffer_;
  std::deque<std::string> output_;
  std::size_t outputOffset_ = 0; ///< within the first element of output_
  std::uint64_t bytesWritten_ = 0;
  bool connecting_ = false;
  bool inputPaused_ = false;
  bool reading_ = false;    ///< waits for input
  bool writing_ = false;    ///< waits until output is possible
  bool delivering_ = false; ///< readBuffer_ is in use by OnInput()
  bool ended_ = false;
};

} // namespace boragepier::net

#endif
