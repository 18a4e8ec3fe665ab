#ifndef BORAGEPIER_NET_SOCKET_STREAM_H
#define BORAGEPIER_NET_SOCKET_STREAM_H

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "boragepier/net/tcp_stream.h"

namespace boragepier::net {

/// TcpStream on a Boost.Asio socket. Input is read from the socket only when it is delivered, so
/// that HasUndeliveredInput() detects all input that has arrived.
class SocketStream
  : public TcpStream
  , public std::enable_shared_from_this<SocketStream>
{
public:
  using Socket = boost::asio::ip::tcp::socket;

  /// @param aLoop outlives the stream
  /// @param aSocket a socket of the loop's io_context; connected, or unopened for Connect()
  SocketStream(EventLoop& aLoop, Socket aSocket);

  /// Starts to connect; see TcpStream::Connect().
  void Connect(const std::string& aAddress, std::uint16_t aPort, StreamHandler& aHandler);
  void Start(StreamHandler& aHandler) override;
  void Write(std::string aBytes) override;
  void WriteShared(std::string_view aBytes, std::shared_ptr<const void> aOwner) override;
  void ShutdownOutput() override;
  void PauseInput(bool aPause) override;
  void Close() override;

  bool Closed() const override { return handler_ == nullptr; }
  bool OutputFlushed() const override { return outputQueue_.empty(); }
  std::uint64_t BytesWritten() const override { return bytesWritten_; }
  bool HasUndeliveredInput() const override;

private:
  struct Output
  {
    std::string bytes_;                 ///< used without owner_
    std::string_view sharedBytes_ = {}; ///< kept valid by owner_
    std::shared_ptr<const void> owner_ = nullptr;

    std::string_view View() const { return owner_ ? sharedBytes_ : bytes_; }
  };

  using ErrorCode = boost::system::error_code;

  void ConfigureSocket();
  void WaitForInput();
  void EndInput();
  void OnSocketError(const ErrorCode& aError);
  void Enqueue(Output aOutput);
  void TryWrite();
  void OnWritten(std::size_t aCount);
  template<typename Function>
  void Deliver(Function aFunction);
  void PostEnd(StreamEnd aEnd);
  void ReportEnd(StreamEnd aEnd);
  void OnConnectEnded(const ErrorCode& aError);
  void OnInputReady(const ErrorCode& aError);
  void OnOutputReady(const ErrorCode& aError);

  EventLoop& loop_;
  StreamHandler* handler_ = nullptr;
  Socket socket_;
  std::deque<Output> outputQueue_;
  std::size_t outputOffset_ = 0; ///< written bytes of the first element of outputQueue_
  std::uint64_t bytesWritten_ = 0;
  bool connecting_ = false;
  bool inputPaused_ = false;
  bool waitingForInput_ = false;  ///< a wait for input is pending
  bool waitingForOutput_ = false; ///< a wait for writability is pending
  bool deliveringInput_ = false;  ///< OnInput() is running
  bool inputEnded_ = false;       ///< the peer has ended its sending side
  bool ended_ = false;            ///< OnEnd() was or will be called
};

} // namespace boragepier::net

#endif
